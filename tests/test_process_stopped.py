"""Requests, cancels and closes that arrive while the process does not run count from when they arrived."""

import errno
import fcntl
import select
import socket
import sys
import termios
import unittest
from contextlib import contextmanager
from types import SimpleNamespace
from unittest.mock import patch

from tests import platform_rig as rig
from tests.acceptance_rig import STEP, SteppedClockCase, request, settings
from tests.front_end_rig import FullListener, reset, wait_for
from tests.test_busy_front_end import peeked
from tests.test_deadlines import time_left_sent
from wickdyke.platform import client_server
from wickdyke.platform.client_connection import RETRY_AFTER
from wickdyke.transport import event_loop

STOP = 1200.0  # ms
DEADLINE_SLACK = 150  # ms by which the time passed on may exceed what is left
WAYS_TO_LEAVE = ("close", "reset", "cancel")


class StoppedCase(SteppedClockCase):
    """A front end that does not run while its clock goes on."""

    def running(self, *workers, **more):
        """A front end with that worker, which discovery has reported, after its first iterations."""
        self.stopped = False
        self.front_end(*(worker.address for worker in workers), **more)
        self.discovery_heard()
        self.iterate()

    def iterate(self, count=3):
        for _ in range(count):
            self.serving.run_once()

    def connected(self, count=1):
        """Clients whose connections wait in the backlog."""
        clients = [self.client() for _ in range(count)]
        for client in clients:
            client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return clients

    def until_later(self, done, what):
        """Steps until it is done, while time passes."""
        for _ in range(1000):
            if done():
                return
            self.later(STEP)
            self.settle()
        self.fail(f"{what} did not come")

    def stop(self, span=STOP):
        """The process does not run for so long; all that was sent by now is there afterwards."""
        self.now += span
        self.stopped = True

    def times_passed_on(self, worker, count):
        """The time that a worker was told for each of so many requests (ms)."""
        self.until_later(lambda: len(worker.received(b"invoke")) >= count, "the attempts")
        return [time_left_sent(parts) for parts in worker.received(b"invoke")]

    def assert_not_sent(self, worker):
        self.iterate(30)
        self.assertEqual(worker.received(b"invoke"), [])


class RequestsOnNewConnections(StoppedCase):
    """Connections that clients make while the process is stopped, or shortly before."""

    def assert_reduced(self, worker, count, deadline, stopped):
        for time_left in self.times_passed_on(worker, count):
            self.assertLessEqual(time_left, deadline - stopped + DEADLINE_SLACK)

    def test_one_alone(self):
        worker = self.worker()
        self.running(worker)
        (client,) = self.connected()
        client.send(request(1, d="1500"))
        self.stop()
        self.assert_reduced(worker, 1, 1500, STOP)

    def test_more_than_one_iteration_accepts(self):
        worker = self.worker()
        count = 2 * client_server.ACCEPTS_PER_EVENT + 1
        self.running(worker, limits={"cores": 1.0, "memory_mb": 64, "sockets": 1024}, settings=settings(instances=1))
        clients = self.connected(count)
        for number, client in enumerate(clients):
            client.send(request(1, d="3000", ident=f"{number:016x}"))
        self.stop()
        self.until_later(lambda: all(client.waits() for client in clients), "the answers")
        self.assertGreater(len(worker.received(b"invoke")), count // 2)
        self.assert_reduced(worker, 1, 3000, STOP)

    def test_one_whose_time_is_up_is_rejected_at_once(self):
        worker = self.worker()
        self.running(worker)
        (client,) = self.connected()
        client.send(request(1, d="600"))
        self.stop()
        self.assertEqual(self.answer(client)[:2], (1, "shed"))
        self.assert_not_sent(worker)

    def test_accepted_before_the_stop_and_not_read(self):
        worker = self.worker()
        self.running(worker)
        (client,) = self.connected()
        self.until(lambda: self.serving.client_server.clients, "the connection")
        client.send(request(1, d="1500"))
        self.stop(400.0)
        self.assert_reduced(worker, 1, 1500, 400.0)

    def test_stops_in_series_add_up(self):
        """Stopped after the accept as well as before it, each time for less than what counts alone."""
        worker = self.worker()
        self.running(worker)
        (client,) = self.connected()
        client.send(request(1, d="1500"))
        with patch.object(event_loop, "TIME_SLICE", -1.0):  # one client or listener is served in an iteration
            others = self.connected(8)
            for other in others:
                other.send(rig.alive(1))
            for _ in range(10):
                self.stop(50.0)
                self.serving.run_once()
        self.assert_reduced(worker, 1, 1500, 100.0)
        (known,) = [each for each in self.serving.client_server.clients.values() if each.last_number]
        self.assertLessEqual(known.received_at, self.now - 400.0)

    def test_one_that_asks_later_has_all_its_time(self):
        """(connected in a stop, or before it): what the connection waited for its first request counts for nothing."""
        for stopped in (0.0, STOP):
            with self.subTest(stopped=stopped):
                worker = self.worker()
                self.running(worker)
                (client,) = self.connected()
                self.stop(stopped)
                self.iterate(5)
                self.later(400.0)
                client.send(request(1, d="1500"))
                (time_left,) = self.times_passed_on(worker, 1)
                self.assertGreater(time_left, 1450)
                self.end()

    def test_those_that_connect_after_a_crowd_have_all_their_time(self):
        """The backlog is empty again, so that a later connection is no older than the last iteration."""
        worker = self.worker()
        self.running(worker)
        self.connected(10)
        self.stop()
        self.iterate(5)
        self.later(400.0)
        (client,) = self.connected()
        client.send(request(1, d="1500"))
        (time_left,) = self.times_passed_on(worker, 1)
        self.assertGreater(time_left, 1450)


class ShortOfResources(StoppedCase):
    """Connections that could not be accepted or watched as they came: their requests waited all the same."""

    def assert_reduced(self, worker, waited):
        (time_left,) = self.times_passed_on(worker, 1)
        self.assertLessEqual(time_left, 3000 - waited + DEADLINE_SLACK)

    def test_accepts_paused_for_want_of_descriptors(self):
        worker = self.worker()
        self.running(worker)
        (client,) = self.connected()
        client.send(request(1, d="3000"))
        server = self.serving.client_server
        with self.failing(server, "sock", "accept", OSError(errno.ENFILE, "Too many open files in system")):
            self.until(lambda: server.accept_paused, "the pause")
            self.stop(RETRY_AFTER - 1)
            self.iterate()
        waited = RETRY_AFTER - 1
        while not server.clients:
            self.stop(100.0)
            waited += 100.0
            self.iterate(1)
        self.assert_reduced(worker, waited)

    @contextmanager
    def failing(self, owner, name, method, error):
        """Calls of a method of `owner.name` raise."""
        real = getattr(owner, name)

        class Failing:
            def __getattr__(self, attribute):
                return getattr(real, attribute)

        def fail(*arguments, **more):
            raise error

        stand_in = Failing()
        setattr(stand_in, method, fail)
        with patch.object(owner, name, stand_in):
            yield

    def test_a_connection_that_the_kernel_does_not_watch(self):
        worker = self.worker()
        self.running(worker)
        (client,) = self.connected()
        loop = self.serving.loop
        real = loop.add

        def add(sock, handler, write=False):
            if handler.priority is event_loop.Priority.NORMAL:
                raise OSError(errno.ENOMEM, "Cannot allocate memory")
            real(sock, handler, write)

        with patch.object(loop, "add", add):
            self.until(lambda: self.serving.client_server.clients, "the connection")
            client.send(request(1, d="3000"))
            (known,) = self.serving.client_server.clients.values()
            wait_for(self, lambda: peeked(known.sock))
            self.stop()
            self.assert_reduced(worker, STOP)

    def test_a_listener_that_the_kernel_does_not_watch(self):
        worker = self.worker()
        with patch.object(event_loop.EventLoop, "add", self.add_no_listener(event_loop.EventLoop.add)):
            self.running(worker)
            self.later(5 * RETRY_AFTER)
            (client,) = self.connected()
            client.send(request(1, d="3000"))
            self.stop()
            self.assert_reduced(worker, STOP)

    def add_no_listener(self, real):
        def add(loop, sock, handler, write=False):
            if isinstance(handler, client_server.ClientServer):
                raise OSError(errno.ENOSPC, "No space left on device")
            real(loop, sock, handler, write)

        return add

    def test_the_backlog_as_the_listener_is_closed(self):
        worker = self.worker()
        self.running(worker)
        (client,) = self.connected()
        client.send(request(1, d="3000"))
        self.stop()
        self.serving.client_server.shut()
        self.serving.client_server.read_clients()
        self.assert_reduced(worker, STOP)

    def test_those_that_make_room(self):
        """All places are taken: the one that is to go is read once more, and its request is as old as the stop."""
        worker = self.worker()
        self.running(worker)
        self.serving.client_server.connection_limit = 1
        (first,) = self.connected()
        self.until(lambda: self.serving.client_server.clients, "the connection")
        first.send(request(1, d="3000"))
        self.connected()
        self.stop()
        self.assert_reduced(worker, STOP)


class DrainsReportedMeanwhile(StoppedCase):
    """Discovery has reported a drain while the process was stopped: nothing that waited goes to that worker."""

    def test_an_attempt_that_waits_for_its_connection(self):
        """The connection is made, and the event is there to be read; the kernel reports the connection first."""
        full = FullListener(self)
        bus = self.made(rig.Bus())
        self.running(full, bus=bus.address, settings=settings({"dial-timeout": 60000000}))
        self.until(lambda: bus.readers, "discovery")
        (client,) = self.connected()
        client.send(request(1, d="4000"))
        upstream = self.serving.coordinator.workers.clients["w0"]
        self.until(lambda: any(each.pending for each in upstream.connections), "the attempt")
        (waiting,) = [each for each in upstream.connections if each.pending]
        bus.event(rig.event(2, rig.instance("w0", full.address, lifecycle="DRAINING")))
        wait_for(self, lambda: peeked(self.serving.discovery.sock))
        self.stop()
        self.iterate_with_events(waiting.sock, self.serving.discovery.sock)
        self.assertEqual([command for command in waiting.open.values() if command.ident == b"%016x" % 1], [])
        self.assertEqual(self.serving.endpoints.offset, 2)

    def iterate_with_events(self, writable, readable):
        """One iteration in which the kernel reports these two sockets, in that order."""
        loop = self.serving.loop
        events = [(writable.fileno(), select.EPOLLOUT), (readable.fileno(), select.EPOLLIN)]
        with patch.object(loop, "epoll", SimpleNamespace(**{**epoll_methods(loop), "poll": lambda *_: events})):
            loop.run_once(0.0, lambda: None)

    def test_a_connection_to_discovery_that_ended(self):
        """It ended in the stop, or before it: a drain may have been reported since, and the worker is asked first."""
        for ended_before in (False, True):
            with self.subTest(ended_before=ended_before):
                worker = self.draining_worker()
                bus = self.made(rig.Bus())
                self.running(worker, bus=bus.address)
                self.catch_up(bus)
                if ended_before:
                    bus.close()
                    self.until(lambda: self.serving.discovery.sock is None, "the end")
                (client,) = self.connected()
                client.send(request(1, d="4000"))
                if not ended_before:
                    bus.close()
                self.stop()
                self.assertEqual(self.final(client, 4000.0, settle=False)[:2], (1, "shed"))
                self.assertEqual(worker.received(b"invoke"), [])
                self.end()

    def test_a_connection_to_discovery_that_fell_silent(self):
        """No comment came in a stop of more than a second: the worker is asked first."""
        worker = self.draining_worker()
        bus = self.made(rig.Bus())
        self.running(worker, bus=bus.address)
        self.catch_up(bus)
        (client,) = self.connected()
        client.send(request(1, d="4000"))
        self.stop(STOP + 100.0)
        self.assertEqual(self.final(client, 4000.0, settle=False)[:2], (1, "shed"))
        self.assertEqual(worker.received(b"invoke"), [])

    def test_a_connection_to_discovery_that_goes_on(self):
        """The list is as good as before: the worker is sent the request."""
        worker = self.draining_worker()
        bus = self.made(rig.Bus())
        self.running(worker, bus=bus.address)
        self.catch_up(bus)
        (client,) = self.connected()
        client.send(request(1, d="4000"))
        bus.send_raw(b": heartbeat\n\n")
        wait_for(self, lambda: peeked(self.serving.discovery.sock))
        self.stop(STOP + 100.0)
        self.until(lambda: worker.received(b"invoke"), "the attempt")

    def draining_worker(self):
        """A worker that drains in the stop: it rejects work from then on, and does not prove ready."""

        def play(worker, sock, parts):
            if self.stopped and parts[0] == b"invoke":
                sock.sendall(rig.bulk(parts[1], b"AGAIN", b"-", b""))
            return self.stopped

        return self.made(rig.Worker(play))

    def catch_up(self, bus):
        """Discovery has reported all events on its present connection."""
        discovery = self.serving.discovery
        self.until(lambda: bus.readers and discovery.up, "discovery")
        self.later(200.0)
        bus.send_raw(b": heartbeat\n\n")
        self.until(lambda: discovery.caught_up, "the heartbeat")
        self.iterate()

    def test_more_than_is_read_of_discovery_at_a_time(self):
        """The drain is behind 200 KiB of other events: a request that came in the stop does not go to that worker."""
        worker = self.worker()
        bus = self.made(rig.Bus())
        self.running(worker, bus=bus.address)
        self.until(lambda: bus.readers, "discovery")
        (client,) = self.connected()
        client.send(request(1, d="4000"))
        for offset in range(2, 1002):
            bus.event(rig.event(offset, rig.instance(f"x{offset}", "127.0.0.1:9", lifecycle="DRAINING")))
        bus.event(rig.event(1002, rig.instance("w0", worker.address, lifecycle="DRAINING")))
        wait_for(self, lambda: waiting_bytes(self.serving.discovery.sock) > 1 << 15)
        self.stop()
        self.assertEqual(self.final(client, 4000.0, settle=False)[:2], (1, "shed"))
        self.assertEqual(worker.received(b"invoke"), [])


def epoll_methods(loop):
    """The methods of the loop's epoll object."""
    return {name: getattr(loop.epoll, name) for name in ("register", "modify", "unregister", "close")}


def waiting_bytes(sock):
    """How many bytes there are to read."""
    count = bytearray(4)
    fcntl.ioctl(sock, termios.FIONREAD, count)
    return int.from_bytes(count, sys.byteorder)


class ClientsThatLeave(StoppedCase):
    """No attempt begins for a client that left while the process was stopped."""

    def leave(self, client, how):
        if how == "close":
            client.close()
        elif how == "reset":
            reset(client.sock)
        else:
            client.send(rig.cancel(2, 1))

    def test_right_behind_a_request_on_a_new_connection(self):
        for how in WAYS_TO_LEAVE:
            with self.subTest(how=how):
                worker = self.worker()
                self.running(worker)
                (client,) = self.connected()
                client.send(request(1, d="3000"))
                self.leave(client, how)
                self.stop()
                self.assert_not_sent(worker)
                self.end()

    def test_right_behind_a_request_on_an_open_connection(self):
        for how in WAYS_TO_LEAVE:
            with self.subTest(how=how):
                worker = self.worker()
                self.running(worker)
                (client,) = self.connected()
                client.send(rig.alive(1))
                self.answer(client)
                client.send(request(2, d="3000"))
                if how == "cancel":
                    client.send(rig.cancel(3, 2))
                else:
                    self.leave(client, how)
                self.stop()
                self.assert_not_sent(worker)
                self.end()

    def test_behind_more_than_is_read_at_a_time(self):
        """Three requests of 16 KiB and the end of the connection, or their cancels."""
        for how in WAYS_TO_LEAVE:
            with self.subTest(how=how):
                worker = self.worker()
                self.running(worker)
                (client,) = self.connected()
                client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 18)
                for number in range(1, 4):
                    client.send(request(number, d="3000", body=b"x" * (1 << 14)))
                for number in range(1, 4):
                    if how == "cancel":
                        client.send(rig.cancel(3 + number, number))
                if how != "cancel":
                    self.leave(client, how)
                self.stop()
                self.assert_not_sent(worker)
                self.end()

    def test_while_an_attempt_waits_for_its_connection(self):
        """The connection to the worker is there when the process runs again, and so is the client's leaving."""
        for how in WAYS_TO_LEAVE:
            with self.subTest(how=how):
                full = FullListener(self)
                limits = {"dial-timeout": 60000000}
                self.running(full, settings=settings(limits))
                (client,) = self.connected()
                client.send(request(1, d="4000"))
                upstream = self.serving.coordinator.workers.clients["w0"]
                self.until(lambda upstream=upstream: any(each.pending for each in upstream.connections), "the attempt")
                (waiting,) = [each for each in upstream.connections if each.pending]
                self.leave(client, how)
                self.stop()
                waiting.writable()  # as it is served first, once its connect has succeeded
                self.assertTrue(waiting.up)
                attempts = [command for command in waiting.open.values() if command.ident == b"%016x" % 1]
                self.assertEqual(attempts, [])
                self.end()


if __name__ == "__main__":
    unittest.main()
