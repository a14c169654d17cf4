"""The cache of packages where system calls fail: each call of an operation fails with ENOSPC, then with EIO."""

import errno
import os
import shutil
import threading
import unittest
from unittest import mock

from tests import worker_rig as rig
from tests.storage_rig import CAPACITY_MB, ERRORS, CacheTest, FaultyDisk, archive_bytes, bytes_on_disk
from wickdyke.worker import package, package_digest
from wickdyke.worker.cache import Cache
from wickdyke.worker.cache_directory import TEMPORARY_PREFIX
from wickdyke.worker.cache_index import MB, CacheFullError


class CacheWriteErrorTest(CacheTest):
    """Each system call of an operation fails, alone or with all that follow."""

    def for_each_call(self, prepare, act, check, more_failures=0, min_calls=10):
        """Calls `act(target)` on a new target of `prepare()` for each system call of `act`, which fails.

        Then calls `check(target, raised)`. `act` must make at least `min_calls` system calls.
        """
        for error in ERRORS:
            number = 0
            while True:
                number += 1
                target = prepare()
                with FaultyDisk(number, error, more_failures) as disk:
                    raised = None
                    try:
                        act(target)
                    except Exception as exception:  # noqa: BLE001 - the test checks any exception
                        raised = exception
                with self.subTest(error=errno.errorcode[error], number=number):
                    check(target, raised)
                if disk.call_count < number:
                    self.assertIsNone(raised)
                    self.assertGreater(number, min_calls)
                    break

    def test_load_that_evicts(self):
        """A failing call fails at most the load that made it; the cache is consistent and usable."""
        use_counts = {self.archives[0][1][7:]: 1}

        def check(cache, raised):
            if raised is None:
                cache.release(self.archives[2][1])
            else:
                self.assertIsInstance(raised, (OSError, package.InvalidConfigError, CacheFullError))
            unpacked = bytes_on_disk(self.cache_path) - archive_bytes(self.cache_path)
            self.assertGreaterEqual(cache.bytes, unpacked)
            self.assertLessEqual(unpacked, CAPACITY_MB * MB)
            self.check_package(os.path.join(self.cache_path, self.archives[0][1][7:]), 0)  # in use, so never changed
            self.check_recovered(cache, use_counts)

        for more_failures in (0, 1000):
            self.for_each_call(self.filled_cache, lambda cache: self.acquire(cache, 2), check, more_failures)

    def test_load_of_an_entry(self):
        """A load of an existing entry whose file times can't be set, or whose manifest can't be read."""

        def check(cache, raised):
            if raised is None:
                cache.release(self.archives[1][1])
            self.check_recovered(cache, {self.archives[0][1][7:]: 1})

        for more_failures in (0, 3):
            self.for_each_call(
                self.filled_cache, lambda cache: self.acquire(cache, 1), check, more_failures, min_calls=2
            )

    def test_start_with_leftovers(self):
        """The constructor succeeds on a folder with leftovers; the load may fail, and a later one succeeds."""

        def prepare():
            self.filled_cache()
            shutil.copytree(
                os.path.join(self.cache_path, self.archives[0][1][7:]),
                os.path.join(self.cache_path, TEMPORARY_PREFIX + "1-1"),
            )
            with open(os.path.join(self.cache_path, TEMPORARY_PREFIX + "1-2.zip"), "wb") as file:
                file.write(b"x" * 1000)
            return []

        def act(caches):
            caches.append(Cache(self.cache_path, CAPACITY_MB))
            self.acquire(caches[0], 1)
            caches[0].release(self.archives[1][1])

        def check(caches, raised):
            self.assertTrue(caches, raised)
            self.check_recovered(caches[0], {})

        for more_failures in (0, 1000):
            self.for_each_call(prepare, act, check, more_failures)

    def test_unusable_folder(self):
        """The constructor raises the error."""
        with open(self.path("file"), "w"):
            pass
        self.assertRaises(OSError, Cache, self.path("file"), 1.0)

    def test_short_writes(self):
        """Writes that write only a part of the data still give a complete entry."""
        real = os.write
        with mock.patch.object(os, "write", lambda file, data: real(file, bytes(data[:4099]))):
            cache = self.filled_cache()
        self.check_recovered(cache, {self.archives[0][1][7:]: 1})

    def test_leftovers_of_another_package(self):
        """Leftovers of a failed load never become part of the entry of a later package."""
        cache = self.filled_cache()

        def failing(*args):
            raise OSError(errno.EIO, "removal fails")

        def unremovable(path, *args, **keywords):
            return failing() if str(path).endswith((".py", ".sexp")) else real(path, *args, **keywords)

        real = os.unlink
        with mock.patch.object(os, "rename", failing), mock.patch.object(os, "unlink", unremovable):
            self.assertRaises(OSError, self.acquire, cache, 2)
        leftover_bytes = bytes_on_disk(self.cache_path)
        self.assertEqual(cache.bytes, leftover_bytes)
        cache.release(self.archives[0][1])
        rig.write_package(self.path("g"), name="small")
        path = package.pack(self.path("g"), self.path("s"))[1]
        digest = package_digest.file_digest(path)
        _, folder = cache.acquire(digest, lambda target: shutil.copyfile(path, target))
        self.assertEqual(sorted(os.listdir(folder)), ["main.py", "package.sexp"])
        cache.release(digest)
        self.check_recovered(cache, {})

    def test_removal_fails(self):
        """An eviction whose removal fails raises an error, and costs at most one entry."""
        cache = self.filled_cache()
        cache.release(self.archives[0][1])

        def failing(*args, **keywords):
            raise OSError(errno.EIO, "removal fails")

        with mock.patch.object(os, "rmdir", failing), mock.patch.object(os, "unlink", failing):
            self.assertRaises(OSError, self.acquire, cache, 2)
        self.assertEqual(len(cache.index.sizes), 1)
        self.assertEqual(cache.bytes, bytes_on_disk(self.cache_path))
        self.check_recovered(cache, {})

    def test_concurrent_loads_of_which_one_fails(self):
        """Concurrent loads of one package: the one whose write fails raises the error, the others succeed."""
        cache = self.filled_cache()
        path, digest = self.archives[2]
        may_fail, fetch_started, results, wait_calls = threading.Event(), threading.Event(), {}, []
        real = cache.index.fetch_finished.wait

        def wait():
            wait_calls.append(1)
            if len(wait_calls) == 2:
                may_fail.set()
            return real()

        def load(number):
            def fetch(target):
                if number == 0:
                    fetch_started.set()
                    may_fail.wait(30)
                    raise OSError(errno.ENOSPC, "no space")
                shutil.copyfile(path, target)

            try:
                cache.acquire(digest, fetch)
                results[number] = None
            except Exception as failure:  # noqa: BLE001 - the test checks any exception
                results[number] = getattr(failure, "errno", failure)

        with mock.patch.object(cache.index.fetch_finished, "wait", wait):
            threads = [threading.Thread(target=load, args=(number,)) for number in range(3)]
            threads[0].start()
            self.assertTrue(fetch_started.wait(30))
            for thread in threads[1:]:
                thread.start()
            for thread in threads:
                thread.join(30)
        self.assertEqual(results, {0: errno.ENOSPC, 1: None, 2: None})
        cache.release(digest)
        cache.release(digest)
        self.check_recovered(cache, {self.archives[0][1][7:]: 1})


if __name__ == "__main__":
    unittest.main()
