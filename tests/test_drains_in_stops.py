"""Drains that discovery reports while the process is stopped take effect before any waiting request is sent."""

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


class DrainsInStops(StoppedCase):
    """Discovery reports a drain while the process is stopped: no waiting request is sent to that worker."""

    def test_attempt_waiting_for_its_connection(self):
        """The worker's connection is established and the event is readable; epoll reports the connection first."""
        full_listener = FullListener(self)
        bus = self.close_on_cleanup(rig.Bus())
        self.start_front_end(full_listener, bus=bus.address, settings=settings({"dial-timeout": 60000000}))
        self.until(lambda: bus.readers, "discovery")
        (client,) = self.connect_clients()
        client.send(request(1, d="4000"))
        upstream = self.service.coordinator.workers.clients["w0"]
        self.until(lambda: any(each.pending_commands for each in upstream.connections), "the attempt")
        (waiting,) = [each for each in upstream.connections if each.pending_commands]
        bus.event(rig.event(2, rig.instance("w0", full_listener.address, lifecycle="DRAINING")))
        wait_for(self, lambda: has_unread_data(self.service.discovery.sock))
        self.stop_process()
        self.iterate_with_events(waiting.sock, self.service.discovery.sock)
        self.assertEqual([command for command in waiting.open_commands.values() if command.ident == b"%016x" % 1], [])
        self.assertEqual(self.service.endpoints.offset, 2)

    def iterate_with_events(self, writable, readable):
        """Runs an iteration in which epoll reports these two sockets, in that order."""
        loop = self.service.loop
        events = [(writable.fileno(), select.EPOLLOUT), (readable.fileno(), select.EPOLLIN)]
        with patch.object(loop, "epoll", SimpleNamespace(**{**epoll_methods(loop), "poll": lambda *_: events})):
            loop.run_once(0.0, lambda: None)

    def test_ended_connection_to_discovery(self):
        """It ended in the stop or before it: as a drain may be unreported, the worker's health is checked first."""
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

    def test_silent_connection_to_discovery(self):
        """No heartbeat arrived in a stop of more than 1 s: the worker's health is checked first."""
        worker = self.draining_worker()
        bus = self.close_on_cleanup(rig.Bus())
        self.start_front_end(worker, bus=bus.address)
        self.catch_up(bus)
        (client,) = self.connect_clients()
        client.send(request(1, d="4000"))
        self.stop_process(STOP_DURATION + 100.0)
        self.assertEqual(self.final_answer(client, 4000.0, settle=False)[:2], (1, "shed"))
        self.assertEqual(worker.received(b"invoke"), [])

    def test_live_connection_to_discovery(self):
        """A heartbeat arrived in the stop, so the endpoint list is current: the request is sent."""
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
        """Returns a worker that drains from the stop on: it rejects work and answers no health check."""

        def handle(worker, sock, parts):
            if self.stopped and parts[0] == b"invoke":
                sock.sendall(rig.bulk(parts[1], b"AGAIN", b"-", b""))
            return self.stopped

        return self.close_on_cleanup(rig.Worker(handle))

    def catch_up(self, bus):
        """Waits until discovery has reported all events on its connection."""
        discovery = self.service.discovery
        self.until(lambda: bus.readers and discovery.response_started, "discovery")
        self.advance(200.0)
        bus.send_raw(b": heartbeat\n\n")
        self.until(lambda: discovery.caught_up, "the heartbeat")
        self.iterate()

    def test_more_events_than_one_read_takes(self):
        """The drain follows 200 KiB of other events: a request that arrived in the stop is not sent to that worker."""
        worker = self.worker()
        bus = self.close_on_cleanup(rig.Bus())
        self.start_front_end(worker, bus=bus.address)
        self.until(lambda: bus.readers, "discovery")
        (client,) = self.connect_clients()
        client.send(request(1, d="4000"))
        for offset in range(2, 1002):
            bus.event(rig.event(offset, rig.instance(f"x{offset}", "127.0.0.1:9", lifecycle="DRAINING")))
        bus.event(rig.event(1002, rig.instance("w0", worker.address, lifecycle="DRAINING")))
        wait_for(self, lambda: unread_size(self.service.discovery.sock) > 1 << 15)
        self.stop_process()
        self.assertEqual(self.final_answer(client, 4000.0, settle=False)[:2], (1, "shed"))
        self.assertEqual(worker.received(b"invoke"), [])


def epoll_methods(loop):
    """Returns the methods of the loop's epoll object by name."""
    return {name: getattr(loop.epoll, name) for name in ("register", "modify", "unregister", "close")}


def unread_size(sock):
    """Returns how many bytes can be read."""
    count = bytearray(4)
    fcntl.ioctl(sock, termios.FIONREAD, count)
    return int.from_bytes(count, sys.byteorder)


if __name__ == "__main__":
    unittest.main()
