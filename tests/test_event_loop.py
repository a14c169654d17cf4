"""The event loop: priorities, unread times, handlers and timers that raise, reused descriptors."""

import socket
import time
import unittest
from types import SimpleNamespace
from unittest.mock import patch

from tests import platform_rig as rig
from tests.front_end_rig import LoopCase
from wickdyke.transport import event_loop
from wickdyke.transport.event_loop import Priority


class HandlerPriorities(LoopCase):
    """The order in which handlers are served, and handlers that raise. Each socket has a byte to read."""

    def handler(self, on_readable, priority=Priority.NORMAL):
        """Registers a handler that calls `on_readable(sock)` for a socket with a byte to read."""
        sock, peer = socket.socketpair()
        self.addCleanup(sock.close)
        self.addCleanup(peer.close)
        peer.send(b"x")
        handler = SimpleNamespace(
            priority=priority,
            readable=lambda: on_readable(sock),
            writable=lambda: None,
            broken=lambda: (self.loop.remove(sock), self.recorded.append("broken")),
        )
        self.loop.add(sock, handler)
        return handler

    def test_flooding_clients_do_not_delay_workers(self):
        for _ in range(20):
            self.handler(lambda sock: (time.sleep(0.02), self.recorded.append("client")))  # always more to read
        self.handler(lambda sock: self.recorded.append("worker"), priority=Priority.HIGH)
        for _ in range(3):
            self.loop.run_once(10.0, lambda: self.recorded.append("before_normal"))
        self.assertEqual(self.recorded, ["worker", "before_normal", "client"] * 3)

    def test_a_handler_that_raises_is_removed_alone(self):
        def raise_error(sock):
            raise KeyError("unforeseen")

        errors = []
        self.loop.on_error = errors.append
        self.handler(raise_error)
        self.handler(lambda sock: (sock.recv(1), self.recorded.append("read")))
        self.loop.call_at(0.0, raise_error, None)
        self.until(lambda: len(self.recorded) == 2)
        self.assertEqual((sorted(self.recorded), len(errors)), (["broken", "read"], 2))
        self.assertEqual(len(self.loop.handlers), 1)


class UnreadTimes(unittest.TestCase):
    """How long data may have waited unread, with a clock set by the test."""

    def setUp(self):
        self.now = 0.0
        self.addCleanup(patch.stopall)
        patch.object(event_loop, "clock", lambda: self.now).start()
        self.loop = event_loop.EventLoop()
        self.addCleanup(self.loop.close)
        self.unread_times = []
        self.more_left = False

    def client(self):
        """Adds a socket whose handler records for how long its data may have waited; returns the peer."""
        sock, peer = socket.socketpair()
        self.addCleanup(sock.close)
        self.addCleanup(peer.close)

        def readable():
            self.unread_times.append(self.loop.unread_for(sock, self.now))
            sock.recv(1)
            self.loop.data_read(sock, self.more_left)
            self.now += self.read_duration

        handler = SimpleNamespace(priority=Priority.NORMAL, readable=readable, writable=None, broken=None)
        self.loop.add(sock, handler)
        return peer

    def run_once(self):
        """Runs one iteration without a wait."""
        self.loop.run_once(0.0, lambda: None)

    def test_a_stopped_process(self):
        self.read_duration = 0.0
        client = self.client()
        self.run_once()
        client.send(b"x")
        self.now += 2000
        self.run_once()
        client.send(b"x")
        self.run_once()
        self.assertEqual(self.unread_times, [2000.0, 0.0])

    def test_stopped_between_the_poll_and_the_read(self):
        self.read_duration = 1500.0
        clients = [self.client() for _ in range(2)]
        self.run_once()
        with patch.object(event_loop, "TIME_SLICE", 1e9):
            for client in clients:
                client.send(b"x")
            self.run_once()
        self.assertEqual(self.unread_times, [0.0, 1500.0])

    def test_the_wait_of_a_poll_does_not_count(self):
        """Data ends the wait when it arrives, so only the time by which the poll exceeded its timeout counts."""
        self.read_duration = 0.0
        client = self.client()
        client.send(b"x")
        real_epoll = self.loop.epoll

        def poll(timeout, count):
            self.now += 1200 * timeout  # `timeout` is in s
            return real_epoll.poll(0, count)

        with patch.object(self.loop, "epoll", SimpleNamespace(poll=poll)):
            self.loop.run_once(100.0, lambda: None)
        (unread,) = self.unread_times
        self.assertAlmostEqual(unread, 20.0, delta=1.0)

    def test_stopped_during_the_poll(self):
        """The poll returns only the events from before the stop, so the sockets are polled again."""
        self.read_duration = 0.0
        client_before, client_during = self.client(), self.client()
        self.run_once()
        client_before.send(b"x")
        real_epoll = self.loop.epoll
        polls = []

        def poll(timeout, count):
            events = real_epoll.poll(0, count)
            if not polls:
                self.now += 3000
                client_during.send(b"x")
            polls.append(timeout)
            return events

        with patch.object(self.loop, "epoll", SimpleNamespace(poll=poll)):
            self.loop.run_once(50.0, lambda: None)
        self.assertEqual(len(polls), 2)
        self.assertEqual(self.unread_times, [2950.0, 2950.0])

    def test_stopped_beyond_a_wait_without_events(self):
        """Such a poll returns without checking for data that arrived during the stop, however short the stop was."""
        self.read_duration = 0.0
        client = self.client()
        self.run_once()
        real_epoll = self.loop.epoll

        def poll(timeout, count):
            if timeout:
                self.now += 80
                client.send(b"x")
                return []
            return real_epoll.poll(0, count)

        with patch.object(self.loop, "epoll", SimpleNamespace(poll=poll)):
            self.loop.run_once(20.0, lambda: None)
        self.assertEqual(self.unread_times, [80.0])

    def test_sockets_left_for_a_later_iteration(self):
        """Each read takes longer than the time slice: of three sockets, the last has waited for two iterations."""
        self.read_duration = 2 * event_loop.TIME_SLICE
        for client in [self.client() for _ in range(3)]:
            client.send(b"x")
        for _ in range(3):
            self.run_once()
        self.assertEqual(self.unread_times, [0.0, self.read_duration, 2 * self.read_duration])
        self.assertEqual(self.loop.unread_since, {})

    def test_data_read_in_parts_is_as_old_as_the_first_part(self):
        self.read_duration = 0.0
        client = self.client()
        self.run_once()
        client.send(b"xx")
        self.now += 2000
        self.more_left = True
        self.run_once()
        self.now += 5
        self.more_left = False
        self.run_once()
        self.now += 5
        client.send(b"x")
        self.run_once()
        self.assertEqual(self.unread_times[:2], [2000.0, 2005.0])
        self.assertLess(self.unread_times[2], 10.0)


class TimersAndReusedDescriptors(unittest.TestCase):
    """Repeated timers that raise, and descriptors that are reused within an iteration."""

    def test_a_repeated_timer_goes_on_after_it_raised(self):
        errors, calls = [], []
        loop = event_loop.EventLoop(errors.append)
        self.addCleanup(loop.close)

        def raise_error():
            calls.append(1)
            raise KeyError("unforeseen")

        loop.call_every(0.0, raise_error)
        deadline = time.monotonic() + rig.TIMEOUT
        while len(calls) < 3 and time.monotonic() < deadline:
            loop.run_once(1.0, lambda: None)
        self.assertEqual((len(calls), len(errors)), (3, 3))

    def test_a_descriptor_reused_within_an_iteration(self):
        """The events of a ready socket that a handler closes don't reach a new socket that reuses its descriptor."""
        loop, handler_calls = event_loop.EventLoop(), []
        self.addCleanup(loop.close)
        pairs = [socket.socketpair() for _ in range(2)]
        self.addCleanup(lambda: [sock.close() for pair in pairs for sock in pair])
        new_sockets = []

        def serve_one(index):
            sock = pairs[index][0]
            other = pairs[1 - index][0]
            sock.recv(1)
            fd = other.fileno()
            if new_sockets or fd < 0:
                return
            loop.remove(other)
            other.close()
            new_socket = socket.socket()
            self.addCleanup(new_socket.close)
            self.assertEqual(new_socket.fileno(), fd)
            new_sockets.append(new_socket)
            loop.add(
                new_socket,
                SimpleNamespace(
                    priority=event_loop.Priority.HIGH,
                    readable=lambda: handler_calls.append("read"),
                    writable=lambda: handler_calls.append("written"),
                    broken=lambda: None,
                ),
                write=False,
            )

        for index in range(2):
            pairs[index][1].send(b"x")
            loop.add(
                pairs[index][0],
                SimpleNamespace(
                    priority=event_loop.Priority.HIGH,
                    readable=lambda index=index: serve_one(index),
                    writable=lambda: None,
                    broken=lambda: None,
                ),
            )
        loop.run_once(10.0, lambda: None)
        self.assertEqual((len(new_sockets), handler_calls), (1, []))


if __name__ == "__main__":
    unittest.main()
