"""Requests through a gateway of the tests: their final answers, cancels, payloads, workers that do not read."""

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
    """The final answer of each request, whatever its attempts and its client do."""

    def test_the_final_answer(self):
        """(workers, method) -> the final answer and its reason, before the client's time is up."""
        for name, workers, method, answer, why in (
            ("served", (answers_all,), "idem", "ok", None),
            ("silent", (silent,), "idem", "denied", "cancelled timeout"),
            ("silent, side-effecting", (silent,), "side", "aborted", "timeout"),
            ("just after its time", (answers_after(5),), "side", "aborted", "timeout"),
            ("a byte a time", (answers_byte_by_byte,), "side", "aborted", "timeout"),
            ("dies, side-effecting", (ends_connection_on_run,), "side", "aborted", "cut"),
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
                self.assertIn(data.get("why", ""), why or "")
                self.assertLess(elapsed, 900)
                client.sock.settimeout(0.3)
                with self.assertRaises(TimeoutError):
                    client.answer()  # and nothing after
                client.close()

    def test_a_client_that_leaves(self):
        """One that disconnects, or cancels, has its request forgotten; the worker receives the cancel."""
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
                    client.ask("x")  # the id is free again
                client.close()

    def test_an_answer_after_the_cancel(self):
        """An answer is not sent once the cancel was read, since its id may be in use again."""
        with RunningGateway((silent,)) as running:
            client = running.client()
            client.ask("x")
            self.assertTrue(until(lambda: running.coordinator.requests.by_id))
            first = next(iter(running.coordinator.requests.by_id.values()))
            client.send(jsonrpc.notification_line("cancel", b'{"id":"x"}'))
            client.ask("x")
            self.assertTrue(until(lambda: any(ask is not first for ask in running.coordinator.requests.by_id.values())))
            first.answer(b'{"wrong":1}')
            client.sock.settimeout(0.2)
            with self.assertRaises(TimeoutError):
                client.answer()
            client.close()

    def test_no_cancels(self):
        """Where nothing may be cancelled, an attempt that never ends is abandoned at its request's deadline."""
        with RunningGateway((silent,), deadline="700 ms", soft="600 ms", more="(call-outs (cancel no))") as running:
            client = running.client()
            client.ask(1)
            self.assertTrue(until(lambda: running.coordinator.requests.by_id))
            client.close()
            self.assertTrue(until(lambda: not running.coordinator.requests.by_id))

    def test_large_payloads(self):
        """A payload of megabytes is passed on unchanged, to the worker and back."""

        def echo(sock, number):
            # It answers health checks as well: on a slow machine one that does not is checked again each time.
            answers_all(sock, number, lambda request: jsonrpc.encode(request["input"]))

        with RunningGateway((echo,), deadline="60 s", soft="50 s") as running:
            client = running.client()
            for payload in ("x" * (8 << 20), "\u00e9\u2603" * 1000, {"a": [1.5, None, {"b": '\\"'}]}):
                client.ask(1, input=payload)
                self.assertEqual(client.answer()["result"]["output"], payload)
            client.close()

    def test_a_worker_that_reads_nothing(self):
        """An attempt that is to end there can't be cancelled: its connection is ended for it, and others go on."""

        def deaf(sock, number):
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

        with RunningGateway((deaf,), deadline="60 s", soft="50 s") as running:
            client = running.client()
            client.ask(1, input="x" * (8 << 20))
            self.assertTrue(until(lambda: any(ask.commands for ask in running.coordinator.requests.by_id.values())))
            client.close()
            self.assertTrue(until(lambda: "worker disconnected" in running.log_output.getvalue()))
            self.assertTrue(until(lambda: not running.coordinator.requests.by_id))


if __name__ == "__main__":
    unittest.main()
