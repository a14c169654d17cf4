"""Set-up that the tests of failing disks share: system calls that fail or are the last before a kill."""

import builtins
import contextlib
import errno
import os
import shutil
from unittest import mock

from tests import worker_rig as rig
from wickdyke.worker import cache_files, package, package_digest, store_client
from wickdyke.worker.cache import Cache
from wickdyke.worker.cache_index import MB

SYSTEM_CALLS = (
    "open",
    "write",
    "fsync",
    "rename",
    "replace",
    "unlink",
    "mkdir",
    "rmdir",
    "listdir",
    "scandir",
    "stat",
    "lstat",
    "utime",
    "sendfile",
)
ERRORS = (errno.ENOSPC, errno.EIO)
CAPACITY_MB = 0.1  # of the cache


class Killed(BaseException):
    """Simulates SIGKILL: no system call is made after it."""


class FaultyFile:
    """A file whose writes and flushes are system calls of a `FaultyDisk`."""

    def __init__(self, disk, file):
        self.disk, self.file = disk, file

    def __enter__(self):
        return self

    def __exit__(self, *raised):
        self.file.close()

    def __getattr__(self, name):
        real = getattr(self.file, name)
        return self.disk.faulty("file." + name, real) if name in ("write", "flush") else real

    def __iter__(self):
        return iter(self.file)


class FaultyDisk:
    """Patches system calls: the one with the number `at` and the next `more` fail, or the process is killed there.

    `seen` counts the calls; `dead` is set after the kill.
    """

    def __init__(self, at=0, error=0, more=0, kill=False, only=SYSTEM_CALLS):
        self.at = at
        self.error = error
        self.more = more
        self.kill = kill
        self.only = only
        self.seen = 0
        self.dead = False
        self.stack = contextlib.ExitStack()

    def faulty(self, name, real):
        """The system call with its faults."""

        def step(*args, **named):
            if self.dead:
                raise Killed
            self.seen += 1
            if self.kill and self.seen == self.at:
                self.dead = True
                raise Killed
            if self.at <= self.seen <= self.at + self.more and self.error:
                raise OSError(self.error, os.strerror(self.error), f"call {self.seen}: {name}")
            return real(*args, **named)

        return step

    def _opened(self, real):
        step = self.faulty("open", real)
        return lambda *args, **named: FaultyFile(self, step(*args, **named))

    def __enter__(self):
        for name in self.only:
            self.stack.enter_context(mock.patch.object(os, name, self.faulty(name, getattr(os, name))))
        # zipfile opens paths through io.open, which is not patched: it only reads
        for module in (cache_files, store_client, package, package_digest, shutil):
            self.stack.enter_context(mock.patch.object(module, "open", self._opened(builtins.open), create=True))
        return self

    def __exit__(self, *raised):
        self.stack.close()


def bytes_on_disk(folder):
    """Bytes of all files below a folder."""
    return sum(os.lstat(os.path.join(at, name)).st_size for at, _, names in os.walk(folder) for name in names)


def archive_bytes(folder):
    """Bytes of the archives that are being fetched, which do not count for the cache's capacity."""
    return sum(os.lstat(os.path.join(folder, name)).st_size for name in os.listdir(folder) if name.endswith(".zip"))


class CacheTest(rig.TemporaryFolderTest):
    """Tests with three packages of 40 kB; a cache of CAPACITY_MB has room for two of them."""

    def setUp(self):
        """Packs the packages: (archive, digest) of each."""
        super().setUp()
        self.packs = []
        for at in range(3):
            code = rig.PACKAGE_CODE + "#" + "x" * 40_000
            rig.write_package(self.path(f"f{at}"), name=f"p{at}", code=code)
            # files in a folder of its own, so that folders are made and listed too
            rig.write_package(self.path(f"f{at}", "deep"), name=f"p{at}", code="#")
            os.unlink(self.path(f"f{at}", "deep", "package.sexp"))
            path = package.pack(self.path(f"f{at}"), self.path("s"))[1]
            self.packs.append((path, package_digest.file_digest(path)))
        self.cached = self.path("c")

    def take(self, cache, at):
        """Acquires a package and checks that it is the right one, complete."""
        path, digest = self.packs[at]
        made, folder = cache.acquire(digest, lambda to: shutil.copyfile(path, to))
        self.assertEqual((made.name, os.path.basename(folder)), (f"p{at}", digest[7:]))
        self.whole(folder, at)

    def whole(self, folder, at):
        """Checks that the folder is that package's."""
        made, files = package.from_folder(folder)
        self.assertEqual(made.name, f"p{at}")
        self.assertEqual(sorted(name for name, _ in files), ["deep/main.py", "main.py"])

    def filled(self):
        """A cache with packages 0 and 1, of which 0 is in use."""
        shutil.rmtree(self.cached, ignore_errors=True)
        cache = Cache(self.cached, CAPACITY_MB)
        for at in (0, 1):
            self.take(cache, at)
        cache.release(self.packs[1][1])
        return cache

    def mended(self, cache, used):
        """Checks a cache once writing works again: loads succeed, nothing is left, the index agrees with the disk."""
        self.assertEqual(cache.index.use_counts, used)
        self.take(cache, 2)
        cache.release(self.packs[2][1])
        self.assertEqual(cache.index.use_counts, used)
        self.assertEqual((cache.index.reserved, cache.index.leftovers), (0, {}))
        self.assertEqual(sorted(os.listdir(self.cached)), sorted(cache.index.sizes))
        self.assertEqual(sorted(cache.index.order), sorted(cache.index.sizes))
        self.assertEqual(cache.bytes, bytes_on_disk(self.cached))
        self.assertLessEqual(cache.bytes, CAPACITY_MB * MB)
        for at, (_, digest) in enumerate(self.packs):
            if digest[7:] in cache.index.sizes:
                self.whole(os.path.join(self.cached, digest[7:]), at)

    def take_only(self, cache, at):
        """Acquires a package without checks."""
        path, digest = self.packs[at]
        return cache.acquire(digest, lambda to: shutil.copyfile(path, to))
