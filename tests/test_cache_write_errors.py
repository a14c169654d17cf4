"""The cache of packages where system calls on its folder fail: each call on a path fails with ENOSPC, then with EIO."""

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
    """Each system call on a path fails once, or with all that follow."""

    def each(self, prepare, act, judge, more=0, path=10):
        """Runs `act(it)` on what `prepare()` returns, failing at every call on its path; then `judge(it, raised)`."""
        for error in ERRORS:
            at = 0
            while True:
                at += 1
                it = prepare()
                with FaultyDisk(at, error, more) as disk:
                    raised = None
                    try:
                        act(it)
                    except Exception as error_raised:  # noqa: BLE001 - the test judges whatever is raised
                        raised = error_raised
                with self.subTest(error=errno.errorcode[error], at=at):
                    judge(it, raised)
                if disk.seen < at:
                    self.assertIsNone(raised)
                    self.assertGreater(at, path)
                    break

    def test_a_load_that_makes_room(self):
        """A failing call costs the one load at most, by an error; the cache is consistent and goes on."""
        one = {self.packs[0][1][7:]: 1}

        def judge(cache, raised):
            if raised is None:
                cache.release(self.packs[2][1])
            else:
                self.assertIsInstance(raised, (OSError, package.InvalidConfigError, CacheFullError))
            unpacked = bytes_on_disk(self.cached) - archive_bytes(self.cached)
            self.assertGreaterEqual(cache.bytes, unpacked)
            self.assertLessEqual(unpacked, CAPACITY_MB * MB)
            self.whole(os.path.join(self.cached, self.packs[0][1][7:]), 0)  # in use: never touched
            self.mended(cache, one)

        for more in (0, 1000):
            self.each(self.filled, lambda cache: self.take_only(cache, 2), judge, more)

    def test_a_load_of_what_is_there(self):
        """A load of an entry: file times that can't be set, a manifest that can't be read."""

        def judge(cache, raised):
            if raised is None:
                cache.release(self.packs[1][1])
            self.mended(cache, {self.packs[0][1][7:]: 1})

        for more in (0, 3):
            self.each(self.filled, lambda cache: self.take_only(cache, 1), judge, more, path=2)

    def test_a_start_on_a_folder_with_leftovers(self):
        """The cache is constructed all the same; the load fails, and a later one succeeds."""

        def prepared():
            self.filled()
            shutil.copytree(
                os.path.join(self.cached, self.packs[0][1][7:]), os.path.join(self.cached, TEMPORARY_PREFIX + "1-1")
            )
            with open(os.path.join(self.cached, TEMPORARY_PREFIX + "1-2.zip"), "wb") as sink:
                sink.write(b"x" * 1000)
            return []

        def act(made):
            made.append(Cache(self.cached, CAPACITY_MB))
            self.take_only(made[0], 1)
            made[0].release(self.packs[1][1])

        def judge(made, raised):
            self.assertTrue(made, raised)
            self.mended(made[0], {})

        for more in (0, 1000):
            self.each(prepared, act, judge, more)

    def test_a_folder_that_can_never_be_used(self):
        """The constructor raises the error."""
        with open(self.path("file"), "w"):
            pass
        self.assertRaises(OSError, Cache, self.path("file"), 1.0)

    def test_short_writes(self):
        """Writes of a few bytes at a time give a complete entry."""
        real = os.write
        with mock.patch.object(os, "write", lambda sink, data: real(sink, bytes(data[:4099]))):
            cache = self.filled()
        self.mended(cache, {self.packs[0][1][7:]: 1})

    def test_leftovers_of_another_package(self):
        """What a failed load could not remove is never part of a later package's entry."""
        cache = self.filled()

        def broken(*args):
            raise OSError(errno.EIO, "removal fails")

        def unremovable(path, *args, **named):
            return broken() if str(path).endswith((".py", ".sexp")) else real(path, *args, **named)

        real = os.unlink
        with mock.patch.object(os, "rename", broken), mock.patch.object(os, "unlink", unremovable):
            self.assertRaises(OSError, self.take_only, cache, 2)
        left = bytes_on_disk(self.cached)
        self.assertEqual(cache.bytes, left)
        cache.release(self.packs[0][1])
        rig.write_package(self.path("g"), name="small")
        path = package.pack(self.path("g"), self.path("s"))[1]
        digest = package_digest.file_digest(path)
        _, folder = cache.acquire(digest, lambda to: shutil.copyfile(path, to))
        self.assertEqual(sorted(os.listdir(folder)), ["main.py", "package.sexp"])
        cache.release(digest)
        self.mended(cache, {})

    def test_no_room_is_made_where_nothing_can_be_removed(self):
        """Removal that fails costs one entry at most, not all of them, and raises an error."""
        cache = self.filled()
        cache.release(self.packs[0][1])

        def broken(*args, **named):
            raise OSError(errno.EIO, "removal fails")

        with mock.patch.object(os, "rmdir", broken), mock.patch.object(os, "unlink", broken):
            self.assertRaises(OSError, self.take_only, cache, 2)
        self.assertEqual(len(cache.index.sizes), 1)
        self.assertEqual(cache.bytes, bytes_on_disk(self.cached))
        self.mended(cache, {})

    def test_loads_beside_one_that_fails(self):
        """Loads of the same package at the same time: the one whose write fails has the error, the others succeed."""
        cache = self.filled()
        path, digest = self.packs[2]
        go_on, first, ended, waits = threading.Event(), threading.Event(), {}, []
        real = cache.index.fetch_finished.wait

        def wait():
            waits.append(1)
            if len(waits) == 2:
                go_on.set()
            return real()

        def load(number):
            def had(to):
                if number == 0:
                    first.set()
                    go_on.wait(30)
                    raise OSError(errno.ENOSPC, "no space")
                shutil.copyfile(path, to)

            try:
                cache.acquire(digest, had)
                ended[number] = None
            except Exception as failure:  # noqa: BLE001 - the test judges whatever is raised
                ended[number] = getattr(failure, "errno", failure)

        with mock.patch.object(cache.index.fetch_finished, "wait", wait):
            threads = [threading.Thread(target=load, args=(number,)) for number in range(3)]
            threads[0].start()
            self.assertTrue(first.wait(30))
            for thread in threads[1:]:
                thread.start()
            for thread in threads:
                thread.join(30)
        self.assertEqual(ended, {0: errno.ENOSPC, 1: None, 2: None})
        cache.release(digest)
        cache.release(digest)
        self.mended(cache, {self.packs[0][1][7:]: 1})


if __name__ == "__main__":
    unittest.main()
