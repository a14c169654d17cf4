"""Tests of the command `move`, which migrates a gateway's settings to another shape of deployment."""

import os
import tempfile
import unittest

from tests.rig import RunningGateway, answer_hello, read_messages, success_line
from tests.test_gateway import run
from wickdyke.config import gateway_config
from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.routing.settings import TenantQuotas

OLD = """; what the operators wrote
(gateway
  (listen (json-rpc "w.sock")) (workers (file "workers.sexp"))
  (zone "hall; a") (kind "old" (memory 8 GB))
  (method "m" (effect idempotent) (soft-deadline 750 ms) (deadline 4 s)) ; kept
  (program "p" (memory 100 MB))
  (call-outs (most 3) (overlap no))
  (stock (idle-life 8 s))
  (warmup (start-share 0.25) (ramp 1 s) (multiple 3) (window 1 s))
  (drain-grace 1 s))"""
SHAPE = """(shape
  (kind "new" (memory 16 GB)) (tenant "a" (quota 50))
  (method "m" (soft-deadline 600 ms)) (method "t" (effect tokened) (window 4 s) (scope cell)
    (soft-deadline 1 s) (deadline 4 s))
  (report held loads) (call-outs (most 4) (retry-after 1 s))
  (stock (loads-on-call no) (tells-company no)) (ration (free 3) (share 0.1) (window 5 s)))"""
ENDPOINTS = '(workers (worker "w1" (address "w1.sock") (zone "hall; a") (kind "new")))'


class Migration(unittest.TestCase):
    """Migrated files, remarks and rejected input of the command `move`."""

    def setUp(self):
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        for name, text in (("old", OLD), ("shape", SHAPE), ("workers", ENDPOINTS)):
            self.write(name, text)

    def path(self, name):
        return os.path.join(self.folder, name + ".sexp")

    def write(self, name, text):
        with open(self.path(name), "w") as sink:
            sink.write(text)

    def move(self, *flags):
        return run("move", *flags, self.path("old"), self.path("shape"), self.path("new"))

    def test_migrated_file_and_remarks(self):
        code, _, remarks = self.move()
        self.assertEqual(code, 0, remarks)
        old, new = gateway_config.read(self.path("old")), gateway_config.read(self.path("new"))
        self.assertEqual((new.kinds, new.tenants, new.tenant_quotas), (("new",), ("a",), TenantQuotas((50.0,))))
        self.assertEqual(
            [
                (request_class.name, request_class.latency_objective, request_class.deadline)
                for request_class in new.request_classes
            ],
            [("m", 600, 4000), ("t", 1000, 4000)],
        )
        self.assertEqual((new.attempt_limits.attempts, new.attempt_limits.hedging), (4, False))
        self.assertEqual((new.function_cache.idle_timeout, new.function_cache.loads_on_demand), (8000.0, False))
        self.assertEqual((new.slow_start, new.functions[0].memory, new.zones), (old.slow_start, 100.0, old.zones))
        for words in (
            '(kind "old" (memory 8 GB)) has no counterpart',
            "(most 3) became (most 4)",
            "2 lines with comments",
            "(soft-deadline 750 ms) became (soft-deadline 600 ms)",
        ):
            self.assertIn(words, remarks)
        self.write("workers", ENDPOINTS.replace('"new"', '"old"'))
        self.assertIn('workers.sexp:1:10: found kind "old", expected one of new', self.move("--dry-run")[2])
        code, _, remarks = self.move()  # the new file exists and is not overwritten
        self.assertEqual((code, remarks.count("\n")), (2, 1), remarks)

    def test_dry_run_writes_nothing(self):
        before = sorted(os.listdir(self.folder))
        code, out, remarks = self.move("--dry-run")
        self.assertEqual((code, sorted(os.listdir(self.folder))), (0, before), remarks)
        self.assertEqual(self.move()[0], 0)
        with open(self.path("new")) as source:
            self.assertEqual(source.read(), out)

    def test_invalid_input_is_reported_and_nothing_written(self):
        """(file, old text, new text) -> a message of one line; the exit code is 2 and no file is written."""
        for name, text, old, new, words in (
            ("old", OLD, "750 ms", "750", "old.sexp:5:50: found 750 without a unit"),
            ("shape", SHAPE, "(shape", "(shapes", "shape.sexp:1:1: found (shapes ...), expected (shape ...)"),
            ("shape", SHAPE, '(kind "new"', '(kind "new" (memory 1 GB)) (kind "new"', "a second time"),
            ("shape", SHAPE, "(quota 50)", "", "new.sexp:12:3: found (tenant ...) without quota"),
            ("shape", SHAPE, "(window 4 s)", "", "tokened without a window"),
        ):
            with self.subTest(new=new, words=words):
                self.write(name, text.replace(old, new, 1))
                code, _, remarks = self.move()
                self.assertEqual((code, remarks.count("\n"), os.path.exists(self.path("new"))), (2, 1, False), remarks)
                self.assertIn(words, remarks)
                self.write(name, text)

    def test_gateway_runs_with_the_new_settings(self):
        """The migrated settings work in a running gateway.

        Where functions are loaded by prewarms only and reports state no utilization, a missed attempt is followed by a
        prewarm and a second attempt; the next request needs no prewarm. A tenant not in the settings is rejected.
        """
        commands = []

        def worker(sock, number):
            source, replicas = read_messages(sock), 0
            answer_hello(sock, source)
            for request in source:
                kind, ident = request["method"], request.get("id")
                commands.append(kind)
                if kind == "run" and not replicas:
                    sock.sendall(jsonrpc.error_response(ident, worker_messages.MISS, "miss", b"{}") + b"\n")
                elif kind == "run":
                    sock.sendall(success_line(ident))
                elif kind == "hold":
                    replicas = max(replicas, request["params"]["copies"])
                    sock.sendall(jsonrpc.result_response(ident, b'{"copies":%d}' % replicas) + b"\n")
                elif kind == "probe":
                    sock.sendall(jsonrpc.result_response(ident, b'{"report":{"held":2,"loads":0}}') + b"\n")

        with RunningGateway(
            (worker,),
            stock="(loads-on-call no) (tells-company no)",
            more="""(report held loads)
                (tenant "a" (quota 50)) (ration (free 3) (share 0.1) (window 5 s))""",
        ) as running:
            client = running.client()
            for ident, attempts in ((1, 2), (2, 1)):
                client.ask(ident, tenant="a")
                result = client.answer()["result"]
                self.assertEqual((result["answer"], result["call_outs"]), ("ok", attempts))
            self.assertEqual([kind for kind in commands if kind != "probe"][:3], ["run", "hold", "run"])
            self.assertEqual(running.coordinator.router.latency.promised_rate, 50.0)
            client.ask(3, tenant="b")
            self.assertIn("expected one of a", client.answer()["error"]["data"])
            client.close()


if __name__ == "__main__":
    unittest.main()
