"""The cache of packages after a kill at each system call, after a power cut, and with clocks that are stepped."""

import contextlib
import os
import random
import shutil
import time
import unittest
from unittest import mock

from tests.storage_rig import CAPACITY_MB, CacheTest, FaultyDisk, Killed, bytes_on_disk
from wickdyke.worker.cache import Cache
from wickdyke.worker.cache_directory import TEMPORARY_PREFIX


class CacheKillTest(CacheTest):
    """A kill at each system call: a cache that is opened after it has complete entries only."""

    def test_killed_at_each_step(self):
        """No system call is made after the kill, also none that cleans up. A new cache on the folder is consistent."""
        at = 0
        while True:
            at += 1
            cache = self.filled()
            with FaultyDisk(at, kill=True) as disk, contextlib.suppress(Killed):
                path, digest = self.packs[2]
                cache.acquire(digest, lambda to, path=path: shutil.copyfile(path, to))
            with self.subTest(at=at):
                after = Cache(self.cached, CAPACITY_MB)
                self.assertEqual(after.index.leftovers, {})
                self.assertEqual(after.bytes, bytes_on_disk(self.cached))
                for number in (0, 1, 2):
                    self.take(after, number)
                    after.release(self.packs[number][1])
                self.mended(after, {})
            if not disk.dead:
                self.assertGreater(at, 20)
                break

    def test_killed_at_each_step_of_a_start(self):
        """A start that removes leftovers is killed too."""
        at = 0
        while True:
            at += 1
            self.filled()
            shutil.copytree(
                os.path.join(self.cached, self.packs[0][1][7:]), os.path.join(self.cached, TEMPORARY_PREFIX + "1-1")
            )
            with FaultyDisk(at, kill=True) as disk, contextlib.suppress(Killed):
                Cache(self.cached, CAPACITY_MB)
            with self.subTest(at=at):
                self.mended(Cache(self.cached, CAPACITY_MB), {})
            if not disk.dead:
                self.assertGreater(at, 10)
                break

    def test_what_a_power_cut_left(self):
        """An entry under its final name that lost a part of a file, or a file, is fetched again, not used."""

        def shortened(folder):
            os.truncate(os.path.join(folder, "main.py"), 10_000)

        def zeroed(folder):
            size = os.path.getsize(os.path.join(folder, "main.py"))
            with open(os.path.join(folder, "main.py"), "wb") as sink:
                sink.truncate(size)

        def without(folder):
            os.unlink(os.path.join(folder, "deep", "main.py"))

        def unstated(folder):
            os.truncate(os.path.join(folder, "package.sexp"), 0)

        for harm in (shortened, zeroed, without, unstated):
            with self.subTest(harm=harm.__name__):
                self.filled()
                harm(os.path.join(self.cached, self.packs[1][1][7:]))
                after = Cache(self.cached, CAPACITY_MB)
                self.take(after, 1)
                after.release(self.packs[1][1])
                self.mended(after, {})


HOUR = 3600.0


class CacheClockTest(CacheTest):
    """Wall clocks that are stepped, and file times out of range."""

    def test_stepped(self):
        """A clock stepped by an hour does not change which entry is evicted first, also after a restart."""
        rng = random.Random(6)
        for _ in range(30):
            shutil.rmtree(self.cached, ignore_errors=True)
            wall, cache, order = [1.8e9], Cache(self.cached, 10.0), []
            with mock.patch.object(time, "time_ns", lambda wall=wall: int(wall[0] * 1e9)):
                for at in [0, 1, 2, *(rng.randrange(3) for _ in range(6))]:
                    self.take(cache, at)
                    cache.release(self.packs[at][1])
                    name = self.packs[at][1][7:]
                    order = [each for each in order if each != name] + [name]
                    self.assertEqual(cache.index.order, order)
                    wall[0] += rng.choice((0.0, 0.5, HOUR, -HOUR, 5.0, -5.0))
                self.assertEqual(Cache(self.cached, 10.0).index.order, order)

    def test_times_out_of_range(self):
        """Entries with file times far ahead do not hold up a load."""
        self.filled()
        late = 2**63 - 1
        for name in os.listdir(self.cached):
            with contextlib.suppress(OSError, OverflowError):
                os.utime(os.path.join(self.cached, name), ns=(late, late))
        self.mended(Cache(self.cached, CAPACITY_MB), {})


if __name__ == "__main__":
    unittest.main()
