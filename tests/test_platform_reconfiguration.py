"""New configurations and outages of discovery while requests run."""

import signal
import socket
import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.acceptance_rig import CLASSES, SteppedClockCase, request
from wickdyke.platform import configuration, service


class LongOutage(SteppedClockCase):
    """Trouble that begins after a long quiet time."""

    def test_an_outage_of_discovery_then_a_drain_and_a_restart_together(self):
        source, one, two = self.made(rig.Bus()), self.worker(), self.worker()
        serving = self.front_end(one.address, two.address, bus=source.address)
        self.until(lambda: source.offsets)
        client = self.client()
        client.send(request(1))
        self.assertEqual(self.final(client, 500)[1], "answer")
        port = int(source.address.rpartition(":")[2])
        source.listener.shutdown(socket.SHUT_RDWR)
        source.close()
        self.until(lambda: serving.discovery.counts["ended"])
        self.later(90000.0, 50.0, settle=True)  # nothing but an outage: all idle connections end
        self.assertFalse(any(upstream.connections for upstream in serving.coordinator.workers.clients.values()))
        client.send(request(2, "pay"))
        self.assertEqual(self.final(client, 500), (2, "answer", b"did x"))
        again, make = rig.Bus.__new__(rig.Bus), socket.create_server
        again.offsets, again.readers = [], []
        with patch.object(rig.socket, "create_server", lambda at: make(("127.0.0.1", port))):
            rig.Listener.__init__(again)
        self.made(again)
        self.until(lambda: (self.later(50.0), again.offsets)[1], "the list's next request")
        again.event(rig.event(2, rig.instance("w0", one.address, lifecycle="DRAINING")))
        serving._request_shutdown(signal.SIGTERM, None)
        self.until(lambda: serving.endpoints.offset == 2, "the drain")
        before = len(one.received(b"invoke"))
        for at in range(3, 9):
            client.send(request(at, CLASSES[at % 3]))
            self.assertEqual(self.final(client, 500), (at, "answer", b"did x"))
        self.assertEqual(len(one.received(b"invoke")), before)
        self.now += service.GRACE_PERIOD + 1
        self.until(lambda: not serving.run_once(), "the end")
        self.assertEqual(self.faults(), [])


class Configurations(SteppedClockCase):
    """New configurations in quick succession."""

    def test_several_signals_at_once_are_one_read(self):
        old, new = self.made(rig.Bus()), self.made(rig.Bus())
        serving = self.front_end(self.worker().address, bus=old.address)
        self.until(lambda: old.offsets)
        self.write(new.address)
        for _ in range(5):
            serving._request_reload(signal.SIGHUP, None)
        self.until(lambda: new.offsets)
        for _ in range(5):
            serving.run_once()
        self.assertEqual((old.offsets, new.offsets), ([1], [1]))

    def test_replaced_between_its_read_and_what_follows(self):
        """A signal that comes as the file is being read leads to one more read: the last file counts."""
        old, new, last = (self.made(rig.Bus()) for _ in range(3))
        worker = self.worker()
        serving = self.front_end(worker.address, bus=old.address)
        self.until(lambda: old.offsets)
        self.write(new.address, worker.address)
        load, replaced = configuration.load, []

        def loaded(path):
            given = load(path)
            if not replaced:
                replaced.append(True)
                self.write(last.address, worker.address)
                serving._request_reload(signal.SIGHUP, None)
            return given

        with patch.object(configuration, "load", loaded):
            serving._request_reload(signal.SIGHUP, None)
            self.until(lambda: last.offsets)
        last.event(rig.event(2, rig.instance("w1", self.worker().address)))
        self.until(lambda: serving.endpoints.offset == 2)
        for _ in range(5):
            serving.run_once()
        self.assertEqual((len(serving.endpoints), last.offsets), (2, [1]))
        self.assertEqual(serving.discovery.address[1], int(last.address.rpartition(":")[2]))

    def test_ten_in_a_row_while_requests_run(self):
        """Each moves discovery while a request is open: each is answered, numbers go on, nothing is left behind."""
        sources, worker = [self.made(rig.Bus()) for _ in range(2)], self.worker()
        serving = self.front_end(worker.address, bus=sources[0].address)
        self.until(lambda: sources[0].offsets)
        client = self.client()
        for at in range(1, 11):
            source = sources[at % 2]
            client.send(request(at, CLASSES[at % 3], b"slow"))
            self.at_worker(1)
            self.write(source.address)
            serving._request_reload(signal.SIGHUP, None)
            many = len(source.offsets)
            self.until(
                lambda source=source, many=many: len(source.offsets) > many and serving.discovery.response_started
            )
            source.event(rig.event(at + 1, rig.instance(f"x{at}", worker.address, lifecycle="DRAINING")))
            self.until(lambda at=at: serving.endpoints.offset == at + 1)
            self.answer_held()
            self.assertEqual(self.final(client, 500), (at, "answer", b"at last"))
        self.assertEqual((sources[0].offsets, sources[1].offsets), ([1, 2, 4, 6, 8, 10], [1, 3, 5, 7, 9]))
        self.assertEqual(self.faults(), [])

    def test_half_written_then_whole(self):
        """(what the file holds at the signal) -> the old one stays in force; the next whole one is followed."""
        for cut in (0, 1, 100, -1):
            with self.subTest(cut):
                old, new, worker = self.made(rig.Bus()), self.made(rig.Bus()), self.worker()
                serving = self.front_end(worker.address, bus=old.address)
                self.until(lambda old=old, bus=serving.discovery: old.offsets and bus.response_started)
                self.write(new.address, worker.address)
                with open(self.path) as source:
                    whole = source.read()
                with open(self.path, "w") as out:
                    out.write(whole[:cut])
                serving._request_reload(signal.SIGHUP, None)
                for _ in range(5):
                    serving.run_once()
                self.assertEqual((new.offsets, serving.discovery.response_started), ([], True))
                client = self.client()
                client.send(request(1))
                self.assertEqual(self.final(client, 500)[1], "answer")
                with open(self.path, "w") as out:
                    out.write(whole)
                serving._request_reload(signal.SIGHUP, None)
                self.until(lambda new=new: new.offsets)
                self.assertEqual(new.offsets, [1])
                self.end()


if __name__ == "__main__":
    unittest.main()
