"""What a gateway does as its endpoint list, or what workers report of themselves, changes."""

import os
import socket
import threading
import time
import unittest
import unittest.mock

from tests.rig import LONG, Running, hello, lines_of, ok, until, willing
from tests.scripted_workers import refuses
from wickdyke.config.endpoint_file import EndpointRow, format_endpoints
from wickdyke.protocol import jsonrpc, worker_messages


def _fields(row):
    return {name: getattr(row, name) for name in row.__slots__}


class ListedWorkers(unittest.TestCase):
    """Invalid lists, changed rows, and workers that drain or restart."""

    def test_an_invalid_list(self):
        """A list that can't be read leaves the last good one in force, and is logged once."""
        with Running() as running:
            for text in ("(workers (worker", "", '(workers (worker "w0" (adress "x")))', "(workers)) ", "\xff(("):
                lines_before = running.log_output.getvalue().count("endpoint list unusable")
                running.write(text)
                self.assertTrue(
                    until(
                        lambda lines_before=lines_before: running.log_output.getvalue().count("endpoint list unusable")
                        == lines_before + 1
                    )
                )
                client = running.client()
                client.ask(1)
                self.assertIn("result", client.answer())
                client.close()
            self.assertEqual(running.log_output.getvalue().count("endpoint list unusable"), 5)
            os.unlink(os.path.join(running.folder, "workers.sexp"))
            self.assertTrue(until(lambda: running.log_output.getvalue().count("endpoint list unusable") == 6))
            self.assertEqual(len(list(running.coordinator.router.fleet.ready_workers())), 1)

    def test_changed_rows(self):
        """(rows written) -> which workers are ready then."""
        with Running((willing, willing)) as running:
            one, two = running.rows
            moved = EndpointRow("w0", two.address, None, None, 0, 4.0, "ready", 0)
            for rows, ready in (
                ([one], ["w0"]),
                ([one, two], ["w0", "w1"]),
                ([EndpointRow(**{**_fields(one), "state": "draining"}), two], ["w1"]),
                ([one, two], ["w0", "w1"]),
                ([EndpointRow(**{**_fields(one), "state": "gone"}), two], ["w1"]),
                ([moved], ["w0"]),
                ([], []),
                ([one, two], ["w0", "w1"]),
            ):
                running.write(format_endpoints(rows))
                with self.subTest(rows=rows):
                    self.assertTrue(
                        until(
                            lambda ready=ready: sorted(
                                w.endpoint.ident for w in running.coordinator.router.fleet.ready_workers()
                            )
                            == ready
                        )
                    )

    def test_a_worker_that_reports_a_drain(self):
        """A worker that answers that it drains gets no more attempts, whatever the list says."""
        with Running((refuses(worker_messages.DRAINING), willing)) as running:
            client = running.client()
            for at in range(40):
                client.ask(at, program=f"p{at}")
                self.assertIn("result", client.answer())
                if not any(w.endpoint.ident == "w0" for w in running.coordinator.router.fleet.ready_workers()):
                    break
            self.assertEqual([w.endpoint.ident for w in running.coordinator.router.fleet.ready_workers()], ["w1"])
            client.close()

    def test_a_worker_that_drains_while_the_list_can_not_be_read(self):
        """Its first rejection says that it drains: it is sent nothing more, and another worker serves the request."""
        draining = threading.Event()
        sent = []

        def play(sock, number):
            source = lines_of(sock)
            hello(sock, source)
            for request in source:
                if request["method"] == "probe":
                    continue
                if not draining.is_set():
                    sock.sendall(ok(request["id"]))
                    continue
                sent.append(request["method"])
                code = worker_messages.DRAINING
                sock.sendall(jsonrpc.error_response(request["id"], code, "draining", b"{}") + b"\n")

        with Running((play, willing)) as running:
            os.unlink(os.path.join(running.folder, "workers.sexp"))
            self.assertTrue(until(lambda: "endpoint list unusable" in running.log_output.getvalue()))
            client = running.client()
            for at in range(80):
                if at == 20:
                    draining.set()
                client.ask(at, program=f"p{at % 5}")
                self.assertIn("result", client.answer())
            client.close()
            self.assertEqual(len(sent), 1)

    def test_a_worker_that_restarts(self):
        """The hello of a worker has the number of its start: after a restart it counts as empty and warms up."""
        again = threading.Event()

        def play(sock, number):
            source = lines_of(sock)
            hello(sock, source, start=number, up=1e6 if number == 1 else 0.0)
            if number == 1:
                again.wait(LONG)
                sock.shutdown(socket.SHUT_RDWR)
            for _ in source:
                pass

        with Running((play,), more="") as running:
            worker = running.coordinator.router.workers["w0"]
            again.set()
            self.assertTrue(until(lambda: running.coordinator.router.workers["w0"] is not worker))
            self.assertGreater(running.coordinator.router.workers["w0"].warming_since, time.monotonic() * 1000 - 20000)


if __name__ == "__main__":
    unittest.main()
