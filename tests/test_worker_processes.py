"""Processes of a worker: what a kill of one leaves, loads under way, and what the meter measures."""

import glob
import os
import signal
import subprocess
import sys
import unittest

import psutil

from tests.rig import until
from tests.worker_rig import (
    PACKAGE_CODE,
    WORKER_CONFIG,
    GatewayConnection,
    TemporaryFolderTest,
    child_pids,
    is_running,
    write_package,
)
from wickdyke.worker import meter, package
from wickdyke.worker.cache_directory import TEMPORARY_PREFIX
from wickdyke.worker.store import StoreServer


class OrphanedProcessTest(TemporaryFolderTest):
    """No process is left where worker, parent or replica are killed."""

    def test_killed_worker(self):
        """(who is killed, what ran) -> nothing of it survives, also not what replicas forked into other sessions."""
        write_package(self.path("f"))
        package.pack(self.path("f"), self.path("store"))
        with open(self.path("w.sexp"), "w") as sink:
            sink.write(WORKER_CONFIG.format(memory=400, idle=60, cache=50, more=""))
        for whom in ("worker", "parent", "copy"):
            with self.subTest(whom=whom):
                process = subprocess.Popen(
                    [sys.executable, "-m", "wickdyke.cli", "worker", self.path("w.sexp")],
                    stdout=subprocess.PIPE,
                    stderr=subprocess.DEVNULL,
                )
                try:
                    self.assertIn(b"ready", process.stdout.readline())
                    gateway = GatewayConnection(self.path("w1.sock"))
                    replica = gateway.run()[1]["pid"]
                    gateway.run(fork=1)
                    for _ in range(2):
                        gateway.send(spin=1)
                    gateway.request("probe")
                    parent = psutil.Process(replica).ppid()
                    self.assertTrue(until(lambda replica=replica: len(child_pids(replica)) == 1))
                    stray = child_pids(replica)[0]
                    os.kill({"worker": process.pid, "parent": parent, "copy": replica}[whom], signal.SIGKILL)
                    gone = [replica, stray] + ([parent, process.pid] if whom != "copy" else [])
                    if whom == "parent":  # nobody is left who adopts: what left its session is the kernel's to give
                        gone.remove(stray)
                    self.assertTrue(until(lambda gone=gone: not any(map(is_running, gone))), gone)
                    if whom == "parent":
                        os.kill(stray, signal.SIGKILL)
                    if whom == "copy":
                        again = GatewayConnection(self.path("w1.sock"))
                        self.assertNotEqual(again.run()[1]["pid"], replica)
                        again.close()
                    gateway.close()
                finally:
                    process.kill()
                    process.wait()
                    process.stdout.close()


class InterruptedLoadTest(TemporaryFolderTest):
    """Loads that are under way when the worker is killed."""

    def test_killed_with_loads_under_way(self):
        """Killed in the middle of two fetches: nothing of them is left to mislead the next start, which loads both."""
        for name in "ab":
            write_package(self.path(name), name=name, code=PACKAGE_CODE + "#" + os.urandom(200_000).hex())
            package.pack(self.path(name), self.path("store"))
        with open(self.path("w.sexp"), "w") as sink:
            sink.write(
                WORKER_CONFIG.format(memory=400, idle=60, cache=50, more="").replace(
                    '(folder "store")', '(service "s.sock")'
                )
            )
        slow = StoreServer(self.path("s.sock"), self.path("store"), 50_000.0, 8)
        parts = []
        for at in range(2):
            process = subprocess.Popen(
                [sys.executable, "-m", "wickdyke.cli", "worker", self.path("w.sexp")],
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
            )
            try:
                self.assertIn(b"ready", process.stdout.readline())
                if at:  # what the first left is swept before it serves
                    self.assertEqual(os.listdir(self.path("cache")), [])
                gateway = GatewayConnection(self.path("w1.sock"))
                if not at:
                    for name in "ab":
                        gateway.send(name)
                    self.assertTrue(
                        until(
                            lambda: sum(
                                size > 0
                                for size in map(
                                    os.path.getsize, sorted(glob.glob(self.path("cache", TEMPORARY_PREFIX + "*")))
                                )
                            )
                            == 2
                        )
                    )
                    process.kill()
                    parts = os.listdir(self.path("cache"))
                    slow.close()
                    fast = StoreServer(self.path("s.sock"), self.path("store"), 1e9, 8)
                    self.addCleanup(fast.close)
                else:
                    self.assertEqual([gateway.run(name)[0] for name in "ab"], [None, None])
                gateway.close()
            finally:
                process.kill()
                process.wait()
                process.stdout.close()
        self.assertEqual(len(parts), 2)


class MemoryMeterTest(TemporaryFolderTest):
    """What the meter measures of processes that share memory."""

    def test_pages_shared(self):
        """The measured memory of processes that share pages adds up to what they use together."""
        size = 64 << 20
        held = os.urandom(1 << 20) * (size >> 20)
        ends = [os.pipe() for _ in range(3)]
        pids = []
        for reads, _ in ends:
            pid = os.fork()
            if pid == 0:
                os.read(reads, 1)
                os._exit(len(held) & 0)
            pids.append(pid)
        total = meter.process_memory(os.getpid()) + sum(map(meter.process_memory, pids))
        for (reads, writes), pid in zip(ends, pids, strict=True):
            os.write(writes, b"x")
            os.close(reads)
            os.close(writes)
            os.waitpid(pid, 0)
        alone = meter.process_memory(os.getpid())
        self.assertLess(abs(total - alone), 0.25 * alone)  # four resident sizes would add up to nearly four times


if __name__ == "__main__":
    unittest.main()
