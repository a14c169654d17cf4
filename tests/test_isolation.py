"""The circuit breaker in a gateway: functions that fail to load on every worker, and requests that crash replicas."""

import functools
import socket
import threading
import unittest
import unittest.mock
from collections import Counter

from tests.rig import RunningGateway, answer_hello, read_messages, success_line, until
from wickdyke.protocol import jsonrpc, worker_messages


class Isolation(unittest.TestCase):
    """Functions that fail to load on every worker, and requests that crash replicas or workers."""

    @staticmethod
    def worker(sock, number, attempt_counts, error_code):
        """Answers with the code that `error_code(run)` returns, or succeeds; counts attempts by function and input."""
        source = read_messages(sock)
        answer_hello(sock, source)
        for request in source:
            if request["method"] == "run":
                run = request["params"]
                attempt_counts[run["program"], run["input"]["n"]] += 1
                code = error_code(run)
                sock.sendall(
                    jsonrpc.error_response(
                        request["id"], code, "no", b'{"inside":1}' if code == worker_messages.REPLICA_ENDED else b"{}"
                    )
                    + b"\n"
                    if code
                    else success_line(request["id"])
                )
            elif request["method"] == "hold":
                sock.sendall(jsonrpc.error_response(request["id"], worker_messages.FULL, "no") + b"\n")
            elif request["method"] == "probe":
                sock.sendall(jsonrpc.result_response(request["id"], b"{}") + b"\n")

    def running(self, attempt_counts, error_code, more):
        """A gateway with three such workers; `more` is added to its settings."""
        peer = functools.partial(self.worker, attempt_counts=attempt_counts, error_code=error_code)
        return RunningGateway((peer, peer, peer), soft="1 s", deadline="5 s", more=more)

    def test_a_function_that_loads_nowhere(self):
        """Its requests are rejected at once with a time to retry after; it is tried again at intervals and accepted
        once it loads. Requests for other functions are answered meanwhile."""
        attempt_counts, fails_to_load = Counter(), threading.Event()
        fails_to_load.set()

        def error_code(run):
            return worker_messages.MISS if run["program"] == "pbad" and fails_to_load.is_set() else None

        with self.running(attempt_counts, error_code, "(isolation (loads (first 400 ms) (most 400 ms)))") as running:
            client = running.client()
            for ident in range(40):
                client.ask(ident, program="pbad")
                data = client.answer()["error"]["data"]
                self.assertEqual(data["answer"], "denied")
                if data["why"] == "load-failed":
                    self.assertLessEqual(0, data["retry_after_ms"])
            self.assertGreater(running.coordinator.counts["turned_away_load-failed"], 20)
            self.assertLess(sum(attempt_counts.values()), 20)
            client.ask("other", program="pgood")
            self.assertEqual(client.answer()["result"]["answer"], "ok")
            fails_to_load.clear()

            def is_accepted():
                client.ask("again", program="pbad")
                return "result" in client.answer()

            self.assertTrue(until(is_accepted))
            # Another thread writes the log line, perhaps after the answer.
            self.assertTrue(until(lambda: "function breaker closed" in running.log_output.getvalue()))
            client.close()

    def test_a_request_that_ends_replicas(self):
        """(method, replicas) -> the attempts before the request is rejected; others of its function are answered."""
        for method, replicas, max_attempts in (("idem", 2, 2), ("idem", 4, 4), ("side", 2, 2)):
            attempt_counts = Counter()
            with (
                self.subTest(method=method, replicas=replicas),
                self.running(
                    attempt_counts,
                    lambda run: worker_messages.REPLICA_ENDED if run["input"]["n"] == "bad" else None,
                    f"(isolation (calls (copies {replicas}) (first 1 min)))",
                ) as running,
            ):
                client = running.client()
                answers = []
                for ident in range(8):
                    client.ask(ident, method, program="p", input={"n": "bad"})
                    answers.append(client.answer()["error"]["data"])
                self.assertEqual(attempt_counts["p", "bad"], max_attempts)
                self.assertEqual((answers[-1]["answer"], answers[-1]["why"]), ("denied", "poison"))
                self.assertGreater(answers[-1]["retry_after_ms"], 1000)
                if method == "side":  # an attempt may have run, so the request fails instead of being rejected
                    self.assertEqual([answer["answer"] for answer in answers[:2]], ["aborted", "aborted"])
                client.ask("fine", method, program="p", input={"n": "fine"})
                self.assertEqual(client.answer()["result"]["answer"], "ok")
                client.close()

    def test_a_request_that_ends_workers(self):
        """A lost connection counts against its request only if the worker has restarted.
        (whether the worker restarts) -> whether the breaker opens"""
        for restarts, opens in ((True, True), (False, False)):
            with self.subTest(restarts=restarts):

                def play(sock, number, restarts=restarts):
                    source = read_messages(sock)
                    answer_hello(sock, source, start=1 + (number if restarts else 0))
                    for request in source:
                        if request["method"] == "run" and request["params"]["input"]["n"] == "bad":
                            return sock.shutdown(socket.SHUT_RDWR)
                        if request["method"] == "run":
                            sock.sendall(success_line(request["id"]))
                        elif request["method"] == "probe":
                            sock.sendall(jsonrpc.result_response(request["id"], b"{}") + b"\n")
                    return None

                with RunningGateway(
                    (play, play), soft="500 ms", deadline="3 s", more="(isolation (calls (copies 2) (first 1 min)))"
                ) as running:
                    client = running.client()
                    for ident in range(3):
                        client.ask(ident, "side", input={"n": "bad"})
                        self.assertEqual(client.answer()["error"]["data"]["answer"], "aborted")
                        self.assertTrue(
                            until(lambda running=running: not running.coordinator.isolation.breaker.unresolved_losses)
                        )
                        if "p" in running.coordinator.isolation.breaker.requests.open_by_function:
                            break
                    self.assertEqual("p" in running.coordinator.isolation.breaker.requests.open_by_function, opens)
                    client.close()


if __name__ == "__main__":
    unittest.main()
