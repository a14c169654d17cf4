"""Drains that discovery reports while the process does not run are in force before anything that waited is sent."""

import fcntl
import select
import sys
import termios
import unittest
from types import SimpleNamespace
from unittest.mock import patch

from tests import platform_rig as rig
from tests.acceptance_rig import request, settings
from tests.front_end_rig import FullListener, wait_for
from tests.stopped_rig import STOP_DURATION, StoppedCase
from tests.test_busy_front_end import has_unread_data


class DrainsReportedMeanwhile(StoppedCase):
    """Discovery has reported a drain while the process was stopped: nothing that waited goes to that worker."""

    def test_an_attempt_that_waits_for_its_connection(self):
        """The connection is made, and the event is there to be read; the kernel reports the connection first."""
        full = FullListener(self)
        bus = self.close_on_cleanup(rig.Bus())
        self.start_front_end(full, bus=bus.address, settings=settings({"dial-timeout": 60000000}))
        self.until(lambda: bus.readers, "discovery")
        (client,) = self.connect_clients()
        client.send(request(1, d="4000"))
        upstream = self.service.coordinator.workers.clients["w0"]
        self.until(lambda: any(each.pending_commands for each in upstream.connections), "the attempt")
        (waiting,) = [each for each in upstream.connections if each.pending_commands]
        bus.event(rig.event(2, rig.instance("w0", full.address, lifecycle="DRAINING")))
        wait_for(self, lambda: has_unread_data(self.service.discovery.sock))
        self.stop_process()
        self.iterate_with_events(waiting.sock, self.service.discovery.sock)
        self.assertEqual([command for command in waiting.open_commands.values() if command.ident == b"%016x" % 1], [])
        self.assertEqual(self.service.endpoints.offset, 2)

    def iterate_with_events(self, writable, readable):
        """One iteration in which the kernel reports these two sockets, in that order."""
        loop = self.service.loop
        events = [(writable.fileno(), select.EPOLLOUT), (readable.fileno(), select.EPOLLIN)]
        with patch.object(loop, "epoll", SimpleNamespace(**{**epoll_methods(loop), "poll": lambda *_: events})):
            loop.run_once(0.0, lambda: None)

    def test_a_connection_to_discovery_that_ended(self):
        """It ended in the stop, or before it: a drain may have been reported since, and the worker is asked first."""
        for ended_before in (False, True):
            with self.subTest(ended_before=ended_before):
                worker = self.draining_worker()
                bus = self.close_on_cleanup(rig.Bus())
                self.start_front_end(worker, bus=bus.address)
                self.catch_up(bus)
                if ended_before:
                    bus.close()
                    self.until(lambda: self.service.discovery.sock is None, "the end")
                (client,) = self.connect_clients()
                client.send(request(1, d="4000"))
                if not ended_before:
                    bus.close()
                self.stop_process()
                self.assertEqual(self.final_answer(client, 4000.0, settle=False)[:2], (1, "shed"))
                self.assertEqual(worker.received(b"invoke"), [])
                self.close_front_end()

    def test_a_connection_to_discovery_that_fell_silent(self):
        """No comment came in a stop of more than a second: the worker is asked first."""
        worker = self.draining_worker()
        bus = self.close_on_cleanup(rig.Bus())
        self.start_front_end(worker, bus=bus.address)
        self.catch_up(bus)
        (client,) = self.connect_clients()
        client.send(request(1, d="4000"))
        self.stop_process(STOP_DURATION + 100.0)
        self.assertEqual(self.final_answer(client, 4000.0, settle=False)[:2], (1, "shed"))
        self.assertEqual(worker.received(b"invoke"), [])

    def test_a_connection_to_discovery_that_goes_on(self):
        """The list is as good as before: the worker is sent the request."""
        worker = self.draining_worker()
        bus = self.close_on_cleanup(rig.Bus())
        self.start_front_end(worker, bus=bus.address)
        self.catch_up(bus)
        (client,) = self.connect_clients()
        client.send(request(1, d="4000"))
        bus.send_raw(b": heartbeat\n\n")
        wait_for(self, lambda: has_unread_data(self.service.discovery.sock))
        self.stop_process(STOP_DURATION + 100.0)
        self.until(lambda: worker.received(b"invoke"), "the attempt")

    def draining_worker(self):
        """A worker that drains in the stop: it rejects work from then on, and does not prove ready."""

        def play(worker, sock, parts):
            if self.stopped and parts[0] == b"invoke":
                sock.sendall(rig.bulk(parts[1], b"AGAIN", b"-", b""))
            return self.stopped

        return self.close_on_cleanup(rig.Worker(play))

    def catch_up(self, bus):
        """Discovery has reported all events on its present connection."""
        discovery = self.service.discovery
        self.until(lambda: bus.readers and discovery.response_started, "discovery")
        self.advance(200.0)
        bus.send_raw(b": heartbeat\n\n")
        self.until(lambda: discovery.caught_up, "the heartbeat")
        self.iterate()

    def test_more_than_is_read_of_discovery_at_a_time(self):
        """The drain is behind 200 KiB of other events: a request that came in the stop does not go to that worker."""
        worker = self.worker()
        bus = self.close_on_cleanup(rig.Bus())
        self.start_front_end(worker, bus=bus.address)
        self.until(lambda: bus.readers, "discovery")
        (client,) = self.connect_clients()
        client.send(request(1, d="4000"))
        for offset in range(2, 1002):
            bus.event(rig.event(offset, rig.instance(f"x{offset}", "127.0.0.1:9", lifecycle="DRAINING")))
        bus.event(rig.event(1002, rig.instance("w0", worker.address, lifecycle="DRAINING")))
        wait_for(self, lambda: waiting_bytes(self.service.discovery.sock) > 1 << 15)
        self.stop_process()
        self.assertEqual(self.final_answer(client, 4000.0, settle=False)[:2], (1, "shed"))
        self.assertEqual(worker.received(b"invoke"), [])


def epoll_methods(loop):
    """The methods of the loop's epoll object."""
    return {name: getattr(loop.epoll, name) for name in ("register", "modify", "unregister", "close")}


def waiting_bytes(sock):
    """How many bytes there are to read."""
    count = bytearray(4)
    fcntl.ioctl(sock, termios.FIONREAD, count)
    return int.from_bytes(count, sys.byteorder)


if __name__ == "__main__":
    unittest.main()
