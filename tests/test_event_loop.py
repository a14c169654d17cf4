"""The event loop: priorities, handlers and timers that raise, descriptors used again."""

import socket
import time
import unittest
from types import SimpleNamespace
from unittest.mock import patch

from tests import platform_rig as rig
from tests.front_end_rig import LoopCase
from wickdyke.transport import event_loop
from wickdyke.transport.event_loop import Priority


class Loops(LoopCase):
    """Handlers made for the purpose, on socket pairs with something to read."""

    def handler(self, act, priority=Priority.NORMAL):
        mine, theirs = socket.socketpair()
        self.addCleanup(mine.close)
        self.addCleanup(theirs.close)
        theirs.send(b"x")
        made = SimpleNamespace(
            priority=priority,
            readable=lambda: act(mine),
            writable=lambda: None,
            broken=lambda: (self.loop.remove(mine), self.recorded.append("broken")),
        )
        self.loop.add(mine, made)
        return made

    def test_who_floods_does_not_keep_workers_waiting(self):
        for _ in range(20):
            self.handler(lambda sock: (time.sleep(0.02), self.recorded.append("client")))  # always more to read
        self.handler(lambda sock: self.recorded.append("worker"), priority=Priority.HIGH)
        for _ in range(3):
            self.loop.run_once(10.0, lambda: self.recorded.append("desk"))
        self.assertEqual(self.recorded, ["worker", "desk", "client"] * 3)

    def test_one_that_breaks_ends_alone(self):
        def breaks(sock):
            raise KeyError("unforeseen")

        faults = []
        self.loop.on_error = faults.append
        self.handler(breaks)
        self.handler(lambda sock: (sock.recv(1), self.recorded.append("read")))
        self.loop.call_at(0.0, breaks, None)
        self.until(lambda: len(self.recorded) == 2)
        self.assertEqual((sorted(self.recorded), len(faults)), (["broken", "read"], 2))
        self.assertEqual(len(self.loop.handlers), 1)


class UnreadTime(unittest.TestCase):
    """For how long data may have waited unread, at times that the test sets."""

    def setUp(self):
        self.now = 0.0
        self.addCleanup(patch.stopall)
        patch.object(event_loop, "clock", lambda: self.now).start()
        self.loop = event_loop.EventLoop()
        self.addCleanup(self.loop.close)
        self.seen = []
        self.partly = False

    def client(self):
        """A socket whose handler notes for how long its data may have waited; returns the other side."""
        mine, theirs = socket.socketpair()
        self.addCleanup(mine.close)
        self.addCleanup(theirs.close)

        def readable():
            self.seen.append(self.loop.unread_for(mine, self.now))
            mine.recv(1)
            self.loop.data_read(mine, self.partly)
            self.now += self.takes

        made = SimpleNamespace(priority=Priority.NORMAL, readable=readable, writable=None, broken=None)
        self.loop.add(mine, made)
        return theirs

    def run_once(self):
        self.loop.run_once(0.0, lambda: None)

    def test_a_process_that_was_stopped(self):
        self.takes = 0.0
        client = self.client()
        self.run_once()
        client.send(b"x")
        self.now += 2000
        self.run_once()
        client.send(b"x")
        self.run_once()
        self.assertEqual(self.seen, [2000.0, 0.0])

    def test_stopped_between_the_poll_and_the_read(self):
        self.takes = 1500.0
        clients = [self.client() for _ in range(2)]
        self.run_once()
        with patch.object(event_loop, "TIME_SLICE", 1e9):
            for client in clients:
                client.send(b"x")
            self.run_once()
        self.assertEqual(self.seen, [0.0, 1500.0])

    def test_a_wait_counts_for_nothing(self):
        """Data ends the wait as it comes; only what the wait took beyond its time counts."""
        self.takes = 0.0
        client = self.client()
        client.send(b"x")
        real = self.loop.epoll

        def poll(timeout, count):
            self.now += 1200 * timeout  # which is in s
            return real.poll(0, count)

        with patch.object(self.loop, "epoll", SimpleNamespace(poll=poll)):
            self.loop.run_once(100.0, lambda: None)
        (unread,) = self.seen
        self.assertAlmostEqual(unread, 20.0, delta=1.0)

    def test_stopped_within_the_poll(self):
        """It returns what was there before the stop: the sockets are looked at again."""
        self.takes = 0.0
        before, meanwhile = self.client(), self.client()
        self.run_once()
        before.send(b"x")
        real = self.loop.epoll
        polls = []

        def poll(timeout, count):
            events = real.poll(0, count)
            if not polls:
                self.now += 3000
                meanwhile.send(b"x")
            polls.append(timeout)
            return events

        with patch.object(self.loop, "epoll", SimpleNamespace(poll=poll)):
            self.loop.run_once(50.0, lambda: None)
        self.assertEqual(len(polls), 2)
        self.assertEqual(self.seen, [2950.0, 2950.0])

    def test_a_stop_that_outlasts_a_wait_which_found_nothing(self):
        """Such a poll returns without a look at what arrived in the stop, however short that was."""
        self.takes = 0.0
        client = self.client()
        self.run_once()
        real = self.loop.epoll

        def poll(timeout, count):
            if timeout:
                self.now += 80
                client.send(b"x")
                return []
            return real.poll(0, count)

        with patch.object(self.loop, "epoll", SimpleNamespace(poll=poll)):
            self.loop.run_once(20.0, lambda: None)
        self.assertEqual(self.seen, [80.0])

    def test_who_is_left_for_a_later_iteration_waits_on(self):
        """Each reader takes longer than the slice: of three, the last has waited for two iterations."""
        self.takes = 2 * event_loop.TIME_SLICE
        for client in [self.client() for _ in range(3)]:
            client.send(b"x")
        for _ in range(3):
            self.run_once()
        self.assertEqual(self.seen, [0.0, self.takes, 2 * self.takes])
        self.assertEqual(self.loop.unread_since, {})

    def test_what_is_read_in_pieces_is_as_old_as_the_first(self):
        self.takes = 0.0
        client = self.client()
        self.run_once()
        client.send(b"xx")
        self.now += 2000
        self.partly = True
        self.run_once()
        self.now += 5
        self.partly = False
        self.run_once()
        self.now += 5
        client.send(b"x")
        self.run_once()
        self.assertEqual(self.seen[:2], [2000.0, 2005.0])
        self.assertLess(self.seen[2], 10.0)


class Timers(unittest.TestCase):
    """Repeated timers that raise, and descriptors used again within an iteration."""

    def test_what_comes_again_comes_again_after_it_failed(self):
        faults, calls = [], []
        made = event_loop.EventLoop(faults.append)
        self.addCleanup(made.close)

        def fails():
            calls.append(1)
            raise KeyError("unforeseen")

        made.call_every(0.0, fails)
        ends = time.monotonic() + rig.LONG
        while len(calls) < 3 and time.monotonic() < ends:
            made.run_once(1.0, lambda: None)
        self.assertEqual((len(calls), len(faults)), (3, 3))

    def test_a_number_that_is_used_again_within_an_iteration(self):
        """One that is served ends another and makes a new socket, which gets its number: it is told nothing."""
        made, told = event_loop.EventLoop(), []
        self.addCleanup(made.close)
        pairs = [socket.socketpair() for _ in range(2)]
        self.addCleanup(lambda: [end.close() for pair in pairs for end in pair])
        fresh = []

        def serve_one(at):
            mine = pairs[at][0]
            other = pairs[1 - at][0]
            mine.recv(1)
            number = other.fileno()
            if fresh or number < 0:
                return
            made.remove(other)
            other.close()
            new = socket.socket()
            self.addCleanup(new.close)
            self.assertEqual(new.fileno(), number)
            fresh.append(new)
            made.add(
                new,
                SimpleNamespace(
                    priority=event_loop.Priority.HIGH,
                    readable=lambda: told.append("read"),
                    writable=lambda: told.append("written"),
                    broken=lambda: None,
                ),
                write=False,
            )

        for at in range(2):
            pairs[at][1].send(b"x")
            made.add(
                pairs[at][0],
                SimpleNamespace(
                    priority=event_loop.Priority.HIGH,
                    readable=lambda at=at: serve_one(at),
                    writable=lambda: None,
                    broken=lambda: None,
                ),
            )
        made.run_once(10.0, lambda: None)
        self.assertEqual((len(fresh), told), (1, []))


if __name__ == "__main__":
    unittest.main()
