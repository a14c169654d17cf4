"""Processes of a worker: kills of each, interrupted loads, and the measurement of memory."""

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


class KilledProcessTest(TemporaryFolderTest):
    """A kill of the worker, the parent or a replica leaves no process behind."""

    def test_no_process_survives(self):
        """(killed process) -> the processes below it end too, also those that replicas forked into other sessions."""
        write_package(self.path("f"))
        package.pack(self.path("f"), self.path("store"))
        with open(self.path("w.sexp"), "w") as file:
            file.write(WORKER_CONFIG.format(memory=400, idle_s=60, cache_mb=50, more_settings=""))
        for victim in ("worker", "parent", "replica"):
            with self.subTest(victim=victim):
                process = subprocess.Popen(
                    [sys.executable, "-m", "wickdyke.cli", "worker", self.path("w.sexp")],
                    stdout=subprocess.PIPE,
                    stderr=subprocess.DEVNULL,
                )
                try:
                    self.assertIn(b"ready", process.stdout.readline())
                    gateway = GatewayConnection(self.path("w1.sock"))
                    replica_pid = gateway.run()[1]["pid"]
                    gateway.run(fork=1)
                    for _ in range(2):
                        gateway.send(spin=1)
                    gateway.request("probe")
                    parent = psutil.Process(replica_pid).ppid()
                    self.assertTrue(until(lambda replica_pid=replica_pid: len(child_pids(replica_pid)) == 1))
                    orphan = child_pids(replica_pid)[0]
                    os.kill({"worker": process.pid, "parent": parent, "replica": replica_pid}[victim], signal.SIGKILL)
                    pids = [replica_pid, orphan] + ([parent, process.pid] if victim != "replica" else [])
                    if victim == "parent":  # no subreaper is left: a process in another session survives its parent
                        pids.remove(orphan)
                    self.assertTrue(until(lambda pids=pids: not any(map(is_running, pids))), pids)
                    if victim == "parent":
                        os.kill(orphan, signal.SIGKILL)
                    if victim == "replica":
                        second_gateway = GatewayConnection(self.path("w1.sock"))
                        self.assertNotEqual(second_gateway.run()[1]["pid"], replica_pid)
                        second_gateway.close()
                    gateway.close()
                finally:
                    process.kill()
                    process.wait()
                    process.stdout.close()


class InterruptedLoadTest(TemporaryFolderTest):
    """Loads that a kill of the worker interrupts."""

    def test_worker_killed_during_loads(self):
        """A worker is killed during two fetches: the next one removes their partial files, and loads both packages."""
        for name in "ab":
            write_package(self.path(name), name=name, code=PACKAGE_CODE + "#" + os.urandom(200_000).hex())
            package.pack(self.path(name), self.path("store"))
        with open(self.path("w.sexp"), "w") as file:
            file.write(
                WORKER_CONFIG.format(memory=400, idle_s=60, cache_mb=50, more_settings="").replace(
                    '(folder "store")', '(service "s.sock")'
                )
            )
        slow_store = StoreServer(self.path("s.sock"), self.path("store"), 50_000.0, 8)
        partial_files = []
        for round_number in range(2):
            process = subprocess.Popen(
                [sys.executable, "-m", "wickdyke.cli", "worker", self.path("w.sexp")],
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
            )
            try:
                self.assertIn(b"ready", process.stdout.readline())
                if round_number:  # the partial files are removed before the worker serves
                    self.assertEqual(os.listdir(self.path("cache")), [])
                gateway = GatewayConnection(self.path("w1.sock"))
                if not round_number:
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
                    partial_files = os.listdir(self.path("cache"))
                    slow_store.close()
                    fast_store = StoreServer(self.path("s.sock"), self.path("store"), 1e9, 8)
                    self.addCleanup(fast_store.close)
                else:
                    self.assertEqual([gateway.run(name)[0] for name in "ab"], [None, None])
                gateway.close()
            finally:
                process.kill()
                process.wait()
                process.stdout.close()
        self.assertEqual(len(partial_files), 2)


class MemoryMeterTest(TemporaryFolderTest):
    """The measurement of processes that share memory."""

    def test_shared_pages(self):
        """The measured sizes of processes that share pages add up to the memory they use together."""
        size = 64 << 20
        shared_block = os.urandom(1 << 20) * (size >> 20)
        pipes = [os.pipe() for _ in range(3)]
        pids = []
        for read_end, _ in pipes:
            pid = os.fork()
            if pid == 0:
                os.read(read_end, 1)
                os._exit(len(shared_block) & 0)
            pids.append(pid)
        total = meter.process_memory(os.getpid()) + sum(map(meter.process_memory, pids))
        for (read_end, write_end), pid in zip(pipes, pids, strict=True):
            os.write(write_end, b"x")
            os.close(read_end)
            os.close(write_end)
            os.waitpid(pid, 0)
        single = meter.process_memory(os.getpid())
        self.assertLess(abs(total - single), 0.25 * single)  # four resident sizes would add up to nearly four times


if __name__ == "__main__":
    unittest.main()
