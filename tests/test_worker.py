"""The settings and commands of a worker, its requests, misbehaving replicas, and limits."""

import os
import signal
import subprocess
import sys
import threading
import time
import unittest
from dataclasses import replace
from unittest.mock import patch

import msgspec

from tests.rig import until
from tests.worker_rig import (
    PACKAGE_CODE,
    WORKER_CONFIG,
    GatewayConnection,
    TemporaryFolderTest,
    WorkerTest,
    child_pids,
    is_running,
    proportional_set_size,
    write_package,
)
from wickdyke.config import worker_config
from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.protocol import worker_messages
from wickdyke.transport import timed_reader
from wickdyke.worker import package


class WorkerSettingsTest(TemporaryFolderTest):
    """The worker's settings file and commands."""

    def test_invalid_settings(self):
        """(text of the file) -> words of the only diagnostic."""
        valid = WORKER_CONFIG.format(memory=400, idle_s=60, cache_mb=50, more_settings="")
        for text, words in (
            (valid.replace('(folder "store")', ""), ("with neither", "(folder PATH) or (service ADDRESS)")),
            (valid.replace('(folder "store")', '(folder "store") (service "s.sock")'), ("with both",)),
            (valid.replace("400 MB", "400"), ("without a unit", "400 MB")),
            (valid.replace("400 MB", "1 MB"), ("1 MB", "16 to")),
            (valid.replace('"w1.sock"', '"10.0.0.1:80"'), ("10.0.0.1", "loopback")),
            (valid.replace("(name", "(nam"), ("did you mean name",)),
            (valid.replace("calls-at-once 8", "calls-at-once 0"), ("0", "1 to 4096")),
            (valid.replace("(calls-at-once 8)", "(ramp (start-share 0) (ramp 1 s))"), ("0.001 to 1",)),
            ("", ("nothing", "(worker ...)")),
        ):
            with self.subTest(text=text):
                with open(self.path("w.sexp"), "w") as file:
                    file.write(text)
                with self.assertRaises(InvalidConfigError) as raised:
                    worker_config.read(self.path("w.sexp"))
                self.assertEqual(len(raised.exception.diagnostics), 1, raised.exception)
                for word in words:
                    self.assertIn(word, str(raised.exception))

    def test_commands(self):
        """The commands check, pack and worker, up to a request to the worker."""

        def command(*argv):
            return subprocess.run(
                [sys.executable, "-m", "wickdyke.cli", *argv], capture_output=True, text=True, timeout=60
            )

        write_package(self.path("f"))
        with open(self.path("w.sexp"), "w") as file:
            file.write(WORKER_CONFIG.format(memory=400, idle_s=60, cache_mb=50, more_settings=""))
        checked = command("check", self.path("w.sexp"), self.path("f", "package.sexp"))
        self.assertEqual((checked.returncode, checked.stdout.count(": good")), (0, 2), checked.stderr)
        self.assertEqual(command("pack", self.path("f"), "--into", self.path("store")).returncode, 0)
        self.assertEqual(command("pack", self.path("none")).returncode, 2)
        process = subprocess.Popen(
            [sys.executable, "-m", "wickdyke.cli", "worker", self.path("w.sexp")],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        try:
            self.assertIn(b"ready", process.stdout.readline())
            # A second worker fails, as the first one serves on the same socket.
            self.assertEqual(command("worker", self.path("w.sexp")).returncode, 2)
            gateway = GatewayConnection(self.path("w1.sock"))
            self.assertEqual(gateway.run()[1]["word"], "sea")
            gateway.close()
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(30), 0)
        finally:
            process.kill()
            process.wait()
            process.stdout.close()


class WorkerRequestTest(WorkerTest):
    """Requests, prewarm requests and limits, through the connection of a gateway."""

    def test_requests(self):
        """(input, time left) -> code, words of the answer, whether the replica continues with its other requests."""
        _, gateway = self.worker(package_memory=200)  # the output that is too long needs 80 MB while it is encoded
        first_pid = gateway.run()[1]["pid"]
        for function_input, time_left_ms, code, words, same_replica in (
            ({}, 20000, None, "", True),
            ({"fail": 1}, 20000, -32012, "ValueError: as requested", True),
            ({"odd": 1}, 20000, -32012, "TypeError", True),
            ({"leave": 1}, 20000, -32012, "SystemExit", True),
            ({"big": 1}, 20000, -32012, "an output of", True),
            ({"spin": 1}, 300, -32014, "time is up", True),
            ({"flood": 1}, 300, -32014, "time is up", True),
            ({"die": 1}, 20000, -32015, "its copy ended", False),
        ):
            with self.subTest(function_input=function_input):
                concurrent_id = gateway.send(sleep=0.05) if same_replica else None
                actual_code, answer = gateway.run(time_left_ms=time_left_ms, **function_input)
                self.assertEqual((actual_code, words if words in str(answer) else answer), (code, words))
                if concurrent_id:
                    self.assertIn("result", gateway.answer(concurrent_id))
                self.assertEqual(gateway.run()[1]["pid"] == first_pid, same_replica)

    def test_stopped_replica_process(self):
        """The request in a stopped process fails; the replica is killed, and the next request runs in a new one."""
        _, gateway = self.worker()
        first_pid = gateway.run()[1]["pid"]
        os.kill(first_pid, signal.SIGSTOP)
        self.assertEqual(gateway.run(time_left_ms=300)[0], -32014)
        self.assertTrue(until(lambda: not is_running(first_pid)))
        self.assertNotEqual(gateway.run()[1]["pid"], first_pid)

    def test_more_memory_than_stated(self):
        """A replica that uses more memory than its manifest states is killed; other replicas are not affected."""
        write_package(self.path("q"), name="q", memory=100)
        package.pack(self.path("q"), self.path("store"))
        _, gateway = self.worker()
        other_pid = gateway.run("q")[1]["pid"]
        allocating_id = gateway.send(mb=90, sleep=0)
        gateway.answer(allocating_id)
        self.assertTrue(until(lambda: "more than the stated 64 MB" in self.log_output.getvalue()))
        self.assertEqual(gateway.run("q")[1]["pid"], other_pid)
        self.assertIsNone(gateway.run()[0])

    def test_memory_full(self):
        """A request whose replica does not fit is rejected as full; idle replicas are unloaded for one that fits."""
        for name, memory in (("a", 150), ("b", 150), ("c", 500)):
            write_package(self.path(name), name=name, memory=memory)
            package.pack(self.path(name), self.path("store"))
        _, gateway = self.worker()
        busy_id = gateway.send("a", memory=150, sleep=1)
        self.assertTrue(until(lambda: self.log_output.getvalue().count("event=loaded") == 1))
        self.assertIsNone(gateway.run("b", memory=150)[0])
        self.assertEqual(gateway.run("c", memory=500)[0], -32010)
        self.assertEqual(gateway.run("c", memory=1)[0], -32010)  # the request states less memory than the manifest
        self.assertIsNone(gateway.run("p", memory=150)[0])  # b is unloaded for it
        self.assertIn("result", gateway.answer(busy_id))

    def test_cache_full(self):
        """A request whose package does not fit in the cache is rejected as full, until entries in use are released."""
        for name in "ab":
            write_package(self.path(name), name=name, code=PACKAGE_CODE + "#" + os.urandom(300_000).hex())
            package.pack(self.path(name), self.path("store"))
        worker, gateway = self.worker(cache_mb=1)
        self.assertIsNone(gateway.run("a")[0])
        self.assertEqual(gateway.run("b")[0], -32010)
        self.assertTrue(until(lambda: "do not fit into the cache beside" in self.log_output.getvalue()))
        self.assertIsNone(gateway.run("a")[0])
        gateway.request("drop", program="a")
        self.assertIsNone(gateway.run("b")[0])
        self.assertEqual(len(worker.cache.index.sizes), 1)

    def test_reported_memory(self):
        """(MB that a replica allocates, children that share them) -> measured within 5% of the kernel's figures."""
        for name, mb in (("m1", 1), ("m20", 20), ("m60", 60)):
            write_package(
                self.path(name),
                name=name,
                memory=200,
                code=PACKAGE_CODE + f"allocated.append(os.urandom(1 << 20) * {mb})\n",
            )
            package.pack(self.path(name), self.path("store"))
        worker, gateway = self.worker(memory=900)
        for name, fork_count in (("m1", 0), ("m20", 0), ("m60", 2)):
            with self.subTest(name=name):
                pid = gateway.run(name)[1]["pid"]
                for _ in range(fork_count):
                    gateway.run(name, fork=1)
                self.assertTrue(until(lambda pid=pid, fork_count=fork_count: len(child_pids(pid)) == fork_count))
                worker.measure()
                measured = next(
                    process.replica.measured_memory
                    for process in worker.supervisor.processes.values()
                    if process.pid == pid
                )
                actual = sum(map(proportional_set_size, [pid, *child_pids(pid)]))
                self.assertLess(abs(measured - actual), 0.05 * actual)
                self.assertGreater(actual, int(name[1:]))
                self.assertLess(actual, 1.5 * int(name[1:]) + 30)  # pages shared with children count once

    def test_time_before_a_request_is_read(self):
        """The time that a request waits to be read reduces its time left.

        Each request seems to arrive 1 s before it is read: with 900 ms left it is rejected, with 20 s left it runs.
        """
        worker, gateway = self.worker()
        self.assertIsNone(gateway.run()[0])
        read_now = timed_reader.TimedReader.read

        def read_late(reader):
            received = read_now(reader)
            return replace(received, received_at=received.received_at - 1000.0)

        with patch.object(timed_reader.TimedReader, "read", read_late):
            self.assertIsNone(gateway.run()[0])  # the reader already waits in the unpatched method
            self.assertEqual(gateway.run(time_left_ms=900.0)[0], worker_messages.FULL)
            self.assertIsNone(gateway.run(time_left_ms=20000.0)[0])
            ident = gateway.send(time_left_ms=20000.0, sleep=5)
            self.assertTrue(until(lambda: worker.schedule.requests))
            (request,) = worker.schedule.requests.values()
            self.assertLess(request.deadline, time.monotonic() * 1000 + 19000.0)
            gateway.request("cancel", id=ident)

    def test_package_not_loadable(self):
        """(invalid package) -> miss, with the reason in the log; other functions still run."""
        write_package(self.path("x"), name="x", code="raise RuntimeError('at import')")
        write_package(self.path("y"), name="y", code="run = 7")
        for name in "xy":
            package.pack(self.path(name), self.path("store"))
        _, gateway = self.worker()
        for program, reason in (
            ("none", "no package none"),
            ("x", "RuntimeError: at import"),
            ("y", "is not callable"),
            ("../p", "names no package"),
        ):
            with self.subTest(program=program):
                self.assertEqual(gateway.run(program)[0], -32011)
                self.assertTrue(
                    until(lambda reason=reason: reason in self.log_output.getvalue()), self.log_output.getvalue()
                )
        self.assertIsNone(gateway.run()[0])

    def test_package_replaced(self):
        """A new version of a package: the loaded replica still serves, and the next load uses the new version."""
        _, gateway = self.worker()
        self.assertEqual(gateway.run()[1]["version"], "1.0")
        write_package(self.path("f"), version="1.1")
        package.pack(self.path("f"), self.path("store"))
        self.assertEqual(gateway.run()[1]["version"], "1.0")
        gateway.request("drop", program="p")
        self.assertEqual(gateway.run()[1]["version"], "1.1")
        self.assertEqual(gateway.run("p@1.0")[1]["version"], "1.0")

    def test_prewarm(self):
        """Prewarm requests for one function share one load and keep its replica; without them it is unloaded."""
        _, gateway = self.worker(idle_s=3)
        prewarm_ids = [gateway.request("hold", program="p", memory_mb=64.0, lanes=2, copies=1) for _ in range(5)]
        self.assertEqual([gateway.answer(ident)["result"] for ident in prewarm_ids], [{"copies": 1}] * 5)
        self.assertTrue(until(lambda: self.log_output.getvalue().count("event=loaded") == 1))
        end_time = time.monotonic() + 4
        while time.monotonic() < end_time:  # longer than the idle timeout of 3 s; a second load would show in the log
            time.sleep(0.2)
            gateway.answer(gateway.request("hold", program="p", memory_mb=64.0, lanes=2, copies=1))
        self.assertEqual(self.log_output.getvalue().count("event=loaded"), 1)
        self.assertTrue(
            until(
                lambda: gateway.answer(gateway.request("hold", program="p", memory_mb=64.0, lanes=2, copies=0))[
                    "result"
                ]
                == {"copies": 0}
            )
        )

    def test_malformed_messages(self):
        """(line from a gateway) -> the error code; the worker still serves."""
        _, gateway = self.worker()
        for line, code in (
            (b"{", -32700),
            (b"[]", -32600),
            (b'{"jsonrpc":"2.0","method":"none","id":1}', -32601),
            (b'{"jsonrpc":"2.0","method":"run","params":{"program":1},"id":2}', -32602),
            (b'{"jsonrpc":"2.0","method":"hello","params":{},"id":3}', -32602),
        ):
            with self.subTest(line=line):
                gateway.sock.sendall(line + b"\n")
                answer = msgspec.json.decode(gateway.source.readline())
                answer = answer[0] if isinstance(answer, list) else answer
                self.assertEqual(answer["error"]["code"], code)
        self.assertIsNone(gateway.run()[0])

    def test_drain(self):
        """Requests in flight finish; further ones are rejected."""
        worker, gateway = self.worker()
        gateway.run()
        running_id = gateway.send(sleep=0.5)
        gateway.answer(gateway.request("probe"))  # answered after the worker has read the request
        drain_thread = threading.Thread(target=worker.drain, args=(20000,))
        drain_thread.start()
        self.assertTrue(until(lambda: worker.schedule.draining))
        self.assertEqual(gateway.run()[0], -32013)
        self.assertIn("result", gateway.answer(running_id))
        drain_thread.join(20)
        self.assertFalse(drain_thread.is_alive())


if __name__ == "__main__":
    unittest.main()
