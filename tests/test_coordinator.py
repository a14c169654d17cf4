"""Requests through an in-process gateway: final answers, cancels, large payloads, and workers that do not read."""

import threading
import time
import unittest
import unittest.mock

from tests.rig import STEP_TIMEOUT, RunningGateway, answer_hello, answers_all, read_messages, until
from tests.scripted_workers import (
    answers_after,
    answers_byte_by_byte,
    ends_connection_on_run,
    responds_with_error,
    silent,
)
from wickdyke.protocol import jsonrpc, worker_messages


class FinalAnswers(unittest.TestCase):
    """Each request gets exactly one final answer, regardless of how its attempts end or what its client does."""

    def test_the_final_answer(self):
        """(workers, method) -> the final answer and its reason, received before the client's deadline."""
        for name, workers, method, answer, reason in (
            ("served", (answers_all,), "idem", "ok", None),
            ("silent", (silent,), "idem", "denied", "cancelled timeout"),
            ("silent, side-effecting", (silent,), "side", "aborted", "timeout"),
            ("answers just after the deadline", (answers_after(5),), "side", "aborted", "timeout"),
            ("answers byte by byte", (answers_byte_by_byte,), "side", "aborted", "timeout"),
            ("disconnects, side-effecting", (ends_connection_on_run,), "side", "aborted", "cut"),
            ("fails, side-effecting", (responds_with_error(worker_messages.FAILED),), "side", "aborted", "error"),
            ("full, side-effecting", (responds_with_error(worker_messages.FULL),), "side", "denied", "full"),
            ("no worker", (), "idem", "denied", "no-place"),
        ):
            with self.subTest(case=name), RunningGateway(workers, soft="400 ms", deadline="900 ms") as running:
                client = running.client()
                began_at = time.monotonic()
                client.ask(1, method)
                received = client.answer()
                elapsed = (time.monotonic() - began_at) * 1000
                data = received["result"] if "result" in received else received["error"]["data"]
                self.assertEqual(data["answer"], answer)
                self.assertIn(data.get("why", ""), reason or "")
                self.assertLess(elapsed, 900)
                client.sock.settimeout(0.3)
                with self.assertRaises(TimeoutError):
                    client.answer()  # there is no second answer
                client.close()

    def test_a_client_that_leaves(self):
        """The request of a client that disconnects or cancels is removed, and the worker receives the cancel."""
        for how in ("hang up", "cancel"):
            cancelled = threading.Event()

            def play(sock, number, cancelled=cancelled):
                source = read_messages(sock)
                answer_hello(sock, source)
                for request in source:
                    if request["method"] == "cancel":
                        cancelled.set()

            with self.subTest(how=how), RunningGateway((play,)) as running:
                client = running.client()
                client.ask("x")
                self.assertTrue(
                    until(
                        lambda running=running: running.coordinator.requests.by_id
                        and next(iter(running.coordinator.requests.by_id.values())).commands
                    )
                )
                if how == "cancel":
                    client.send(jsonrpc.notification_line("cancel", b'{"id":"x"}'))
                else:
                    client.close()
                self.assertTrue(cancelled.wait(STEP_TIMEOUT))
                self.assertTrue(until(lambda running=running: not running.coordinator.requests.by_id))
                if how == "cancel":
                    client.ask("x")  # the id can be used again
                client.close()

    def test_an_answer_after_the_cancel(self):
        """An answer is not sent once the request's cancel was read, since the client may have reused the id."""
        with RunningGateway((silent,)) as running:
            client = running.client()
            client.ask("x")
            self.assertTrue(until(lambda: running.coordinator.requests.by_id))
            first = next(iter(running.coordinator.requests.by_id.values()))
            client.send(jsonrpc.notification_line("cancel", b'{"id":"x"}'))
            client.ask("x")
            self.assertTrue(
                until(lambda: any(pending is not first for pending in running.coordinator.requests.by_id.values()))
            )
            first.answer(b'{"wrong":1}')
            client.sock.settimeout(0.2)
            with self.assertRaises(TimeoutError):
                client.answer()
            client.close()

    def test_no_cancels(self):
        """Where the settings allow no cancels, an attempt that never ends is abandoned at its request's deadline."""
        with RunningGateway((silent,), deadline="700 ms", soft="600 ms", more="(call-outs (cancel no))") as running:
            client = running.client()
            client.ask(1)
            self.assertTrue(until(lambda: running.coordinator.requests.by_id))
            client.close()
            self.assertTrue(until(lambda: not running.coordinator.requests.by_id))

    def test_large_payloads(self):
        """A payload of megabytes is passed unchanged to the worker and back."""

        def echo(sock, number):
            # Answers health checks too: on a slow machine a worker that does not is checked again and again.
            answers_all(sock, number, lambda request: jsonrpc.encode(request["input"]))

        with RunningGateway((echo,), deadline="60 s", soft="50 s") as running:
            client = running.client()
            for payload in ("x" * (8 << 20), "\u00e9\u2603" * 1000, {"a": [1.5, None, {"b": '\\"'}]}):
                client.ask(1, input=payload)
                self.assertEqual(client.answer()["result"]["output"], payload)
            client.close()

    def test_a_worker_that_reads_nothing(self):
        """An attempt whose cancel can't be written, since the worker does not read, has its connection closed."""

        def worker_that_does_not_read(sock, number):
            request = b""
            while not request.endswith(b"\n"):
                request += sock.recv(1)
            sock.sendall(
                jsonrpc.result_response(
                    0, jsonrpc.encode(worker_messages.WorkerHello(worker_messages.VERSION, "w", 1, 1e6))
                )
                + b"\n"
            )
            threading.Event().wait(60)

        with RunningGateway((worker_that_does_not_read,), deadline="60 s", soft="50 s") as running:
            client = running.client()
            client.ask(1, input="x" * (8 << 20))
            self.assertTrue(
                until(lambda: any(pending.commands for pending in running.coordinator.requests.by_id.values()))
            )
            client.close()
            self.assertTrue(until(lambda: "worker disconnected" in running.log_output.getvalue()))
            self.assertTrue(until(lambda: not running.coordinator.requests.by_id))


if __name__ == "__main__":
    unittest.main()
