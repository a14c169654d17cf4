"""New configurations and outages of discovery while requests run."""

import signal
import socket
import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.acceptance_rig import REQUEST_CLASSES, SteppedClockCase, request
from wickdyke.platform import configuration, service


class DiscoveryOutageTest(SteppedClockCase):
    """Discovery is unreachable for a long time without requests."""

    def test_an_outage_of_discovery_followed_by_a_drain_and_a_shutdown(self):
        source, first, second = self.close_on_cleanup(rig.Bus()), self.worker(), self.worker()
        front_end = self.front_end(first.address, second.address, bus=source.address)
        self.until(lambda: source.offsets)
        client = self.client()
        client.send(request(1))
        self.assertEqual(self.final_answer(client, 500)[1], "answer")
        port = int(source.address.rpartition(":")[2])
        source.listener.shutdown(socket.SHUT_RDWR)
        source.close()
        self.until(lambda: front_end.discovery.counts["ended"])
        self.advance(90000.0, 50.0, settle=True)  # only the outage: all idle connections are closed
        self.assertFalse(any(upstream.connections for upstream in front_end.coordinator.workers.clients.values()))
        client.send(request(2, "pay"))
        self.assertEqual(self.final_answer(client, 500), (2, "answer", b"did x"))
        new_source, create_server = rig.Bus.__new__(rig.Bus), socket.create_server
        new_source.offsets, new_source.readers = [], []
        with patch.object(rig.socket, "create_server", lambda address: create_server(("127.0.0.1", port))):
            rig.Listener.__init__(new_source)
        self.close_on_cleanup(new_source)
        self.until(lambda: (self.advance(50.0), new_source.offsets)[1], "the next request for the list")
        new_source.event(rig.event(2, rig.instance("w0", first.address, lifecycle="DRAINING")))
        front_end._request_shutdown(signal.SIGTERM, None)
        self.until(lambda: front_end.endpoints.offset == 2, "the drain")
        commands_before = len(first.received(b"invoke"))
        for number in range(3, 9):
            client.send(request(number, REQUEST_CLASSES[number % 3]))
            self.assertEqual(self.final_answer(client, 500), (number, "answer", b"did x"))
        self.assertEqual(len(first.received(b"invoke")), commands_before)
        self.now += service.GRACE_PERIOD + 1
        self.until(lambda: not front_end.run_once(), "the end")
        self.assertEqual(self.logged_errors(), [])


class ReconfigurationTest(SteppedClockCase):
    """New configurations in quick succession."""

    def test_several_signals_at_once_cause_one_reload(self):
        old, new = self.close_on_cleanup(rig.Bus()), self.close_on_cleanup(rig.Bus())
        front_end = self.front_end(self.worker().address, bus=old.address)
        self.until(lambda: old.offsets)
        self.write(new.address)
        for _ in range(5):
            front_end._request_reload(signal.SIGHUP, None)
        self.until(lambda: new.offsets)
        for _ in range(5):
            front_end.run_once()
        self.assertEqual((old.offsets, new.offsets), ([1], [1]))

    def test_a_file_replaced_during_the_reload(self):
        """A signal that arrives while the file is read causes another reload, so the last file takes effect."""
        old, new, latest = (self.close_on_cleanup(rig.Bus()) for _ in range(3))
        worker = self.worker()
        front_end = self.front_end(worker.address, bus=old.address)
        self.until(lambda: old.offsets)
        self.write(new.address, worker.address)
        load, replaced = configuration.load, []

        def load_and_replace(path):
            document = load(path)
            if not replaced:
                replaced.append(True)
                self.write(latest.address, worker.address)
                front_end._request_reload(signal.SIGHUP, None)
            return document

        with patch.object(configuration, "load", load_and_replace):
            front_end._request_reload(signal.SIGHUP, None)
            self.until(lambda: latest.offsets)
        latest.event(rig.event(2, rig.instance("w1", self.worker().address)))
        self.until(lambda: front_end.endpoints.offset == 2)
        for _ in range(5):
            front_end.run_once()
        self.assertEqual((len(front_end.endpoints), latest.offsets), (2, [1]))
        self.assertEqual(front_end.discovery.address[1], int(latest.address.rpartition(":")[2]))

    def test_ten_configurations_while_requests_run(self):
        """Each moves discovery while a request is open: requests are answered, and event numbers continue."""
        sources, worker = [self.close_on_cleanup(rig.Bus()) for _ in range(2)], self.worker()
        front_end = self.front_end(worker.address, bus=sources[0].address)
        self.until(lambda: sources[0].offsets)
        client = self.client()
        for number in range(1, 11):
            source = sources[number % 2]
            client.send(request(number, REQUEST_CLASSES[number % 3], b"slow"))
            self.wait_for_commands(1)
            self.write(source.address)
            front_end._request_reload(signal.SIGHUP, None)
            connects_before = len(source.offsets)
            self.until(
                lambda source=source, connects_before=connects_before: len(source.offsets) > connects_before
                and front_end.discovery.response_started
            )
            source.event(rig.event(number + 1, rig.instance(f"x{number}", worker.address, lifecycle="DRAINING")))
            self.until(lambda number=number: front_end.endpoints.offset == number + 1)
            self.answer_held_command()
            self.assertEqual(self.final_answer(client, 500), (number, "answer", b"at last"))
        self.assertEqual((sources[0].offsets, sources[1].offsets), ([1, 2, 4, 6, 8, 10], [1, 3, 5, 7, 9]))
        self.assertEqual(self.logged_errors(), [])

    def test_a_partly_written_file_then_the_full_file(self):
        """A truncated file at the signal leaves the old configuration in force; the next complete file is applied."""
        for length in (0, 1, 100, -1):
            with self.subTest(length):
                old, new, worker = self.close_on_cleanup(rig.Bus()), self.close_on_cleanup(rig.Bus()), self.worker()
                front_end = self.front_end(worker.address, bus=old.address)
                self.until(lambda old=old, discovery=front_end.discovery: old.offsets and discovery.response_started)
                self.write(new.address, worker.address)
                with open(self.path) as source:
                    text = source.read()
                with open(self.path, "w") as out:
                    out.write(text[:length])
                front_end._request_reload(signal.SIGHUP, None)
                for _ in range(5):
                    front_end.run_once()
                self.assertEqual((new.offsets, front_end.discovery.response_started), ([], True))
                client = self.client()
                client.send(request(1))
                self.assertEqual(self.final_answer(client, 500)[1], "answer")
                with open(self.path, "w") as out:
                    out.write(text)
                front_end._request_reload(signal.SIGHUP, None)
                self.until(lambda new=new: new.offsets)
                self.assertEqual(new.offsets, [1])
                self.close_front_end()


if __name__ == "__main__":
    unittest.main()
