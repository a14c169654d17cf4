"""The cache of packages after a kill at each system call, after a power failure, and with clock steps."""

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
    """A kill at each system call: a cache that is opened afterwards has only complete entries."""

    def test_killed_at_each_call(self):
        """A kill at any system call of `acquire`, without cleanup: a new cache on the folder is consistent."""
        index = 0
        while True:
            index += 1
            cache = self.filled_cache()
            with FaultyDisk(index, kill=True) as disk, contextlib.suppress(Killed):
                path, digest = self.archives[2]
                cache.acquire(digest, lambda target, path=path: shutil.copyfile(path, target))
            with self.subTest(index=index):
                reopened = Cache(self.cache_path, CAPACITY_MB)
                self.assertEqual(reopened.index.leftovers, {})
                self.assertEqual(reopened.bytes, bytes_on_disk(self.cache_path))
                for number in (0, 1, 2):
                    self.acquire_and_check(reopened, number)
                    reopened.release(self.archives[number][1])
                self.check_recovered(reopened, {})
            if not disk.is_killed:
                self.assertGreater(index, 20)
                break

    def test_start_killed_at_each_call(self):
        """A kill at any system call of a start that removes leftovers: a new cache on the folder is consistent."""
        index = 0
        while True:
            index += 1
            self.filled_cache()
            shutil.copytree(
                os.path.join(self.cache_path, self.archives[0][1][7:]),
                os.path.join(self.cache_path, TEMPORARY_PREFIX + "1-1"),
            )
            with FaultyDisk(index, kill=True) as disk, contextlib.suppress(Killed):
                Cache(self.cache_path, CAPACITY_MB)
            with self.subTest(index=index):
                self.check_recovered(Cache(self.cache_path, CAPACITY_MB), {})
            if not disk.is_killed:
                self.assertGreater(index, 10)
                break

    def test_damage_by_power_failure(self):
        """A damaged entry under its final name is not used, but fetched again: a file lost data, or is missing."""

        def shortened(folder):
            os.truncate(os.path.join(folder, "main.py"), 10_000)

        def zeroed(folder):
            size = os.path.getsize(os.path.join(folder, "main.py"))
            with open(os.path.join(folder, "main.py"), "wb") as sink:
                sink.truncate(size)

        def missing(folder):
            os.unlink(os.path.join(folder, "deep", "main.py"))

        def emptied_manifest(folder):
            os.truncate(os.path.join(folder, "package.sexp"), 0)

        for damage in (shortened, zeroed, missing, emptied_manifest):
            with self.subTest(damage=damage.__name__):
                self.filled_cache()
                damage(os.path.join(self.cache_path, self.archives[1][1][7:]))
                reopened = Cache(self.cache_path, CAPACITY_MB)
                self.acquire_and_check(reopened, 1)
                reopened.release(self.archives[1][1])
                self.check_recovered(reopened, {})


HOUR = 3600.0  # s


class CacheClockTest(CacheTest):
    """Steps of the wall clock, and file times out of range."""

    def test_clock_steps(self):
        """A clock step of an hour does not change the order of eviction, also after a restart."""
        rng = random.Random(6)
        for _ in range(30):
            shutil.rmtree(self.cache_path, ignore_errors=True)
            wall_time, cache, order = [1.8e9], Cache(self.cache_path, 10.0), []
            with mock.patch.object(time, "time_ns", lambda wall_time=wall_time: int(wall_time[0] * 1e9)):
                for index in [0, 1, 2, *(rng.randrange(3) for _ in range(6))]:
                    self.acquire_and_check(cache, index)
                    cache.release(self.archives[index][1])
                    name = self.archives[index][1][7:]
                    order = [other for other in order if other != name] + [name]
                    self.assertEqual(cache.index.order, order)
                    wall_time[0] += rng.choice((0.0, 0.5, HOUR, -HOUR, 5.0, -5.0))
                self.assertEqual(Cache(self.cache_path, 10.0).index.order, order)

    def test_times_out_of_range(self):
        """Entries with file times far in the future do not prevent a load."""
        self.filled_cache()
        max_time_ns = 2**63 - 1
        for name in os.listdir(self.cache_path):
            with contextlib.suppress(OSError, OverflowError):
                os.utime(os.path.join(self.cache_path, name), ns=(max_time_ns, max_time_ns))
        self.check_recovered(Cache(self.cache_path, CAPACITY_MB), {})


if __name__ == "__main__":
    unittest.main()
