"""Effects on a gateway of changes to its endpoint list, and of workers' reports about themselves."""

import os
import socket
import threading
import time
import unittest
import unittest.mock

from tests.rig import STEP_TIMEOUT, RunningGateway, answer_hello, answers_all, read_messages, success_line, until
from tests.scripted_workers import responds_with_error
from wickdyke.config.endpoint_file import EndpointRow, format_endpoints
from wickdyke.protocol import jsonrpc, worker_messages


def _fields(row):
    return {name: getattr(row, name) for name in row.__slots__}


class ListedWorkers(unittest.TestCase):
    """Invalid lists, changed rows, and workers that drain or restart."""

    def test_an_invalid_list(self):
        """An invalid list is logged once, and the last valid one stays in force."""
        with RunningGateway() as running:
            for text in ("(workers (worker", "", '(workers (worker "w0" (adress "x")))', "(workers)) ", "\xff(("):
                lines_before = running.log_output.getvalue().count("endpoint list unusable")
                running.write_endpoints(text)
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
        """(rows written) -> the workers that are ready afterwards."""
        with RunningGateway((answers_all, answers_all)) as running:
            first, second = running.rows
            moved = EndpointRow("w0", second.address, None, None, 0, 4.0, "ready", 0)
            for rows, ready in (
                ([first], ["w0"]),
                ([first, second], ["w0", "w1"]),
                ([EndpointRow(**{**_fields(first), "state": "draining"}), second], ["w1"]),
                ([first, second], ["w0", "w1"]),
                ([EndpointRow(**{**_fields(first), "state": "gone"}), second], ["w1"]),
                ([moved], ["w0"]),
                ([], []),
                ([first, second], ["w0", "w1"]),
            ):
                running.write_endpoints(format_endpoints(rows))
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
        """A worker that answers that it drains gets no more attempts, whatever its state in the list."""
        with RunningGateway((responds_with_error(worker_messages.DRAINING), answers_all)) as running:
            client = running.client()
            for index in range(40):
                client.ask(index, program=f"p{index}")
                self.assertIn("result", client.answer())
                if not any(w.endpoint.ident == "w0" for w in running.coordinator.router.fleet.ready_workers()):
                    break
            self.assertEqual([w.endpoint.ident for w in running.coordinator.router.fleet.ready_workers()], ["w1"])
            client.close()

    def test_a_worker_that_drains_while_the_list_is_invalid(self):
        """After its first rejection with DRAINING a worker is sent nothing more; another one serves the request."""
        draining = threading.Event()
        methods_received = []

        def play(sock, number):
            source = read_messages(sock)
            answer_hello(sock, source)
            for request in source:
                if request["method"] == "probe":
                    continue
                if not draining.is_set():
                    sock.sendall(success_line(request["id"]))
                    continue
                methods_received.append(request["method"])
                code = worker_messages.DRAINING
                sock.sendall(jsonrpc.error_response(request["id"], code, "draining", b"{}") + b"\n")

        with RunningGateway((play, answers_all)) as running:
            os.unlink(os.path.join(running.folder, "workers.sexp"))
            self.assertTrue(until(lambda: "endpoint list unusable" in running.log_output.getvalue()))
            client = running.client()
            for index in range(80):
                if index == 20:
                    draining.set()
                client.ask(index, program=f"p{index % 5}")
                self.assertIn("result", client.answer())
            client.close()
            self.assertEqual(len(methods_received), 1)

    def test_a_worker_that_restarts(self):
        """A hello has the number of the worker's start: after a restart the worker counts as empty and warms up."""
        may_restart = threading.Event()

        def play(sock, number):
            source = read_messages(sock)
            answer_hello(sock, source, start=number, up=1e6 if number == 1 else 0.0)
            if number == 1:
                may_restart.wait(STEP_TIMEOUT)
                sock.shutdown(socket.SHUT_RDWR)
            for _ in source:
                pass

        with RunningGateway((play,), more="") as running:
            worker = running.coordinator.router.workers["w0"]
            may_restart.set()
            self.assertTrue(until(lambda: running.coordinator.router.workers["w0"] is not worker))
            self.assertGreater(running.coordinator.router.workers["w0"].warming_since, time.monotonic() * 1000 - 20000)


if __name__ == "__main__":
    unittest.main()
