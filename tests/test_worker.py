"""A worker in this process: settings, requests, replicas that misbehave, and limits."""

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

    def test_bad_files(self):
        """(file) -> words of the one trouble."""
        good = WORKER_CONFIG.format(memory=400, idle=60, cache=50, more="")
        for text, words in (
            (good.replace('(folder "store")', ""), ("with neither", "(folder PATH) or (service ADDRESS)")),
            (good.replace('(folder "store")', '(folder "store") (service "s.sock")'), ("with both",)),
            (good.replace("400 MB", "400"), ("without a unit", "400 MB")),
            (good.replace("400 MB", "1 MB"), ("1 MB", "16 to")),
            (good.replace('"w1.sock"', '"10.0.0.1:80"'), ("10.0.0.1", "loopback")),
            (good.replace("(name", "(nam"), ("did you mean name",)),
            (good.replace("calls-at-once 8", "calls-at-once 0"), ("0", "1 to 4096")),
            (good.replace("(calls-at-once 8)", "(ramp (start-share 0) (ramp 1 s))"), ("0.001 to 1",)),
            ("", ("nothing", "(worker ...)")),
        ):
            with self.subTest(text=text):
                with open(self.path("w.sexp"), "w") as sink:
                    sink.write(text)
                with self.assertRaises(InvalidConfigError) as caught:
                    worker_config.read(self.path("w.sexp"))
                self.assertEqual(len(caught.exception.diagnostics), 1, caught.exception)
                for word in words:
                    self.assertIn(word, str(caught.exception))

    def test_examples_by_hand(self):
        """check, pack, worker: as a user would, up to a request to the worker."""

        def command(*argv):
            return subprocess.run(
                [sys.executable, "-m", "wickdyke.cli", *argv], capture_output=True, text=True, timeout=60
            )

        write_package(self.path("f"))
        with open(self.path("w.sexp"), "w") as sink:
            sink.write(WORKER_CONFIG.format(memory=400, idle=60, cache=50, more=""))
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
            self.assertEqual(command("worker", self.path("w.sexp")).returncode, 2)  # a live one is there
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
    """Requests, prewarm requests and limits, through a gateway's connection."""

    def test_calls(self):
        """(input) -> (code, words); the replica goes on with its other requests, or is replaced."""
        _, gateway = self.worker(takes=200)  # the output that is too long takes 80 MB while it is made
        first = gateway.run()[1]["pid"]
        for asked, left, code, words, same in (
            ({}, 20000, None, "", True),
            ({"fail": 1}, 20000, -32012, "ValueError: asked to", True),
            ({"odd": 1}, 20000, -32012, "TypeError", True),
            ({"leave": 1}, 20000, -32012, "SystemExit", True),
            ({"big": 1}, 20000, -32012, "an output of", True),
            ({"spin": 1}, 300, -32014, "time is up", True),
            ({"flood": 1}, 300, -32014, "time is up", True),
            ({"die": 1}, 20000, -32015, "its copy ended", False),
        ):
            with self.subTest(asked=asked):
                beside = gateway.send(sleep=0.05) if same else None
                exit_code, answer = gateway.run(left=left, **asked)
                self.assertEqual((exit_code, words if words in str(answer) else answer), (code, words))
                if beside:
                    self.assertIn("result", gateway.answer(beside))
                self.assertEqual(gateway.run()[1]["pid"] == first, same)

    def test_a_copy_that_does_not_read(self):
        """A stopped process costs the request in it; its replica is killed, and the next request has another one."""
        _, gateway = self.worker()
        first = gateway.run()[1]["pid"]
        os.kill(first, signal.SIGSTOP)
        self.assertEqual(gateway.run(left=300)[0], -32014)
        self.assertTrue(until(lambda: not is_running(first)))
        self.assertNotEqual(gateway.run()[1]["pid"], first)

    def test_more_memory_than_stated(self):
        """A replica that takes more memory than its manifest states fails its own requests and no others."""
        write_package(self.path("q"), name="q", memory=100)
        package.pack(self.path("q"), self.path("store"))
        _, gateway = self.worker()
        other = gateway.run("q")[1]["pid"]
        running = gateway.send(mb=90, sleep=0)
        gateway.answer(running)
        self.assertTrue(until(lambda: "more than the stated 64 MB" in self.log_output.getvalue()))
        self.assertEqual(gateway.run("q")[1]["pid"], other)
        self.assertIsNone(gateway.run()[0])

    def test_full(self):
        """A replica without room is rejected as full before its load; idle replicas are unloaded for one that fits."""
        for name, memory in (("a", 150), ("b", 150), ("c", 500)):
            write_package(self.path(name), name=name, memory=memory)
            package.pack(self.path(name), self.path("store"))
        _, gateway = self.worker()
        busy = gateway.send("a", memory=150, sleep=1)
        self.assertTrue(until(lambda: self.log_output.getvalue().count("event=loaded") == 1))
        self.assertIsNone(gateway.run("b", memory=150)[0])
        self.assertEqual(gateway.run("c", memory=500)[0], -32010)
        self.assertEqual(gateway.run("c", memory=1)[0], -32010)  # the request stated less than the manifest
        self.assertIsNone(gateway.run("p", memory=150)[0])  # in the place of b
        self.assertIn("result", gateway.answer(busy))

    def test_disk_full(self):
        """A package without room in the cache is rejected as full; it fits once those in use are released."""
        for name in "ab":
            write_package(self.path(name), name=name, code=PACKAGE_CODE + "#" + os.urandom(300_000).hex())
            package.pack(self.path(name), self.path("store"))
        worker, gateway = self.worker(cache=1)
        self.assertIsNone(gateway.run("a")[0])
        self.assertEqual(gateway.run("b")[0], -32010)
        self.assertTrue(until(lambda: "do not fit into the cache beside" in self.log_output.getvalue()))
        self.assertIsNone(gateway.run("a")[0])
        gateway.request("drop", program="a")
        self.assertIsNone(gateway.run("b")[0])
        self.assertEqual(len(worker.cache.index.sizes), 1)

    def test_memory_told(self):
        """(MB that replicas allocate, whether a child shares them) -> reported within 5% of the kernel's figures."""
        for name, mb in (("m1", 1), ("m20", 20), ("m60", 60)):
            write_package(
                self.path(name), name=name, memory=200, code=PACKAGE_CODE + f"held.append(os.urandom(1 << 20) * {mb})\n"
            )
            package.pack(self.path(name), self.path("store"))
        worker, gateway = self.worker(memory=900)
        for name, forks in (("m1", 0), ("m20", 0), ("m60", 2)):
            with self.subTest(name=name):
                pid = gateway.run(name)[1]["pid"]
                for _ in range(forks):
                    gateway.run(name, fork=1)
                self.assertTrue(until(lambda pid=pid, forks=forks: len(child_pids(pid)) == forks))
                worker.measure()
                answer = next(
                    each.replica.measured_memory for each in worker.supervisor.processes.values() if each.pid == pid
                )
                real = sum(map(proportional_set_size, [pid, *child_pids(pid)]))
                self.assertLess(abs(answer - real), 0.05 * real)
                self.assertGreater(real, int(name[1:]))
                self.assertLess(real, 1.5 * int(name[1:]) + 30)  # shared with children, and counted once

    def test_requests_that_waited_unread(self):
        """The process was stopped for 1 s: (ms left as it was sent) -> whether it runs."""
        worker, gateway = self.worker()
        self.assertIsNone(gateway.run()[0])
        read = timed_reader.TimedReader.read

        def read_late(reader):
            received = read(reader)
            return replace(received, received_at=received.received_at - 1000.0)

        with patch.object(timed_reader.TimedReader, "read", read_late):
            self.assertIsNone(gateway.run()[0])  # the reader waits in the unpatched method until then
            self.assertEqual(gateway.run(left=900.0)[0], worker_messages.FULL)
            self.assertIsNone(gateway.run(left=20000.0)[0])
            ident = gateway.send(left=20000.0, sleep=5)
            self.assertTrue(until(lambda: worker.schedule.requests))
            (request,) = worker.schedule.requests.values()
            self.assertLess(request.deadline, time.monotonic() * 1000 + 19000.0)
            gateway.request("cancel", id=ident)

    def test_no_such_package(self):
        """(what is wrong with a package) -> miss, with the reason in the log, and others go on."""
        write_package(self.path("x"), name="x", code="raise RuntimeError('at import')")
        write_package(self.path("y"), name="y", code="run = 7")
        for name in "xy":
            package.pack(self.path(name), self.path("store"))
        _, gateway = self.worker()
        for program, why in (
            ("none", "no package none"),
            ("x", "RuntimeError: at import"),
            ("y", "is not callable"),
            ("../p", "names no package"),
        ):
            with self.subTest(program=program):
                self.assertEqual(gateway.run(program)[0], -32011)
                self.assertTrue(until(lambda why=why: why in self.log_output.getvalue()), self.log_output.getvalue())
        self.assertIsNone(gateway.run()[0])

    def test_replaced(self):
        """A package replaced under its name: the loaded replica goes on, the next load is of the new one."""
        _, gateway = self.worker()
        self.assertEqual(gateway.run()[1]["version"], "1.0")
        write_package(self.path("f"), version="1.1")
        package.pack(self.path("f"), self.path("store"))
        self.assertEqual(gateway.run()[1]["version"], "1.0")
        gateway.request("drop", program="p")
        self.assertEqual(gateway.run()[1]["version"], "1.1")
        self.assertEqual(gateway.run("p@1.0")[1]["version"], "1.0")

    def test_orders(self):
        """Several prewarm requests for one function are one load; renewed replicas stay, dropped ones are unloaded."""
        _, gateway = self.worker(idle=3)
        orders = [gateway.request("hold", program="p", memory_mb=64.0, lanes=2, copies=1) for _ in range(5)]
        self.assertEqual([gateway.answer(order)["result"] for order in orders], [{"copies": 1}] * 5)
        self.assertTrue(until(lambda: self.log_output.getvalue().count("event=loaded") == 1))
        ends = time.monotonic() + 4
        while time.monotonic() < ends:  # past its idle life; a second load would answer too, and say so in the log
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

    def test_malformed(self):
        """(line from a gateway) -> the error code; the worker goes on."""
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
        """Requests in flight finish, further ones are rejected."""
        worker, gateway = self.worker()
        gateway.run()
        held = gateway.send(sleep=0.5)
        gateway.answer(gateway.request("probe"))  # it has that one by now
        draining = threading.Thread(target=worker.drain, args=(20000,))
        draining.start()
        self.assertTrue(until(lambda: worker.schedule.draining))
        self.assertEqual(gateway.run()[0], -32013)
        self.assertIn("result", gateway.answer(held))
        draining.join(20)
        self.assertFalse(draining.is_alive())


if __name__ == "__main__":
    unittest.main()
