"""Helpers for the tests of failing disks: system calls that fail, or at which the process is killed."""

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
CAPACITY_MB = 0.1  # capacity of the cache


class Killed(BaseException):
    """Simulates SIGKILL: no system call is made after it was raised."""


class FaultyFile:
    """A file whose writes and flushes count as system calls of a `FaultyDisk`."""

    def __init__(self, disk, file):
        self.disk, self.file = disk, file

    def __enter__(self):
        return self

    def __exit__(self, *error_info):
        self.file.close()

    def __getattr__(self, name):
        real = getattr(self.file, name)
        return self.disk.faulty("file." + name, real) if name in ("write", "flush") else real

    def __iter__(self):
        return iter(self.file)


class FaultyDisk:
    """Patches system calls. Call number `first_failure` and the next `more_failures` raise an OSError with `error`.

    With `kill`, the process is killed at call `first_failure` instead; `is_killed` is set then. `call_count` counts the
    calls of the functions `call_names`.
    """

    def __init__(self, first_failure=0, error=0, more_failures=0, kill=False, call_names=SYSTEM_CALLS):
        self.first_failure = first_failure
        self.error = error
        self.more_failures = more_failures
        self.kill = kill
        self.call_names = call_names
        self.call_count = 0
        self.is_killed = False
        self.stack = contextlib.ExitStack()

    def faulty(self, name, real):
        """Wraps a system call so that it fails or kills as configured."""

        def faulty_call(*args, **keywords):
            if self.is_killed:
                raise Killed
            self.call_count += 1
            if self.kill and self.call_count == self.first_failure:
                self.is_killed = True
                raise Killed
            if self.first_failure <= self.call_count <= self.first_failure + self.more_failures and self.error:
                raise OSError(self.error, os.strerror(self.error), f"call {self.call_count}: {name}")
            return real(*args, **keywords)

        return faulty_call

    def _opened(self, real):
        faulty_call = self.faulty("open", real)
        return lambda *args, **keywords: FaultyFile(self, faulty_call(*args, **keywords))

    def __enter__(self):
        for name in self.call_names:
            self.stack.enter_context(mock.patch.object(os, name, self.faulty(name, getattr(os, name))))
        # zipfile opens files with io.open, which is not patched, as zipfile only reads
        for module in (cache_files, store_client, package, package_digest, shutil):
            self.stack.enter_context(mock.patch.object(module, "open", self._opened(builtins.open), create=True))
        return self

    def __exit__(self, *error_info):
        self.stack.close()


def bytes_on_disk(folder):
    """The bytes of all files below a folder."""
    return sum(os.lstat(os.path.join(parent, name)).st_size for parent, _, names in os.walk(folder) for name in names)


def archive_bytes(folder):
    """The bytes of archives that are being fetched, which do not count towards the cache's capacity."""
    return sum(os.lstat(os.path.join(folder, name)).st_size for name in os.listdir(folder) if name.endswith(".zip"))


class CacheTest(rig.TemporaryFolderTest):
    """A test case with three packages of 40 kB; a cache of CAPACITY_MB has room for two of them."""

    def setUp(self):
        """Packs the packages; `archives` has (path, digest) of the archive of each."""
        super().setUp()
        self.archives = []
        for number in range(3):
            code = rig.PACKAGE_CODE + "#" + "x" * 40_000
            rig.write_package(self.path(f"f{number}"), name=f"p{number}", code=code)
            # a file in a subfolder, so that folders are created and listed too
            rig.write_package(self.path(f"f{number}", "deep"), name=f"p{number}", code="#")
            os.unlink(self.path(f"f{number}", "deep", "package.sexp"))
            path = package.pack(self.path(f"f{number}"), self.path("s"))[1]
            self.archives.append((path, package_digest.file_digest(path)))
        self.cache_path = self.path("c")

    def acquire_and_check(self, cache, number):
        """Acquires a package, and checks that it is the right one and complete."""
        path, digest = self.archives[number]
        manifest, folder = cache.acquire(digest, lambda target: shutil.copyfile(path, target))
        self.assertEqual((manifest.name, os.path.basename(folder)), (f"p{number}", digest[7:]))
        self.check_package(folder, number)

    def check_package(self, folder, number):
        """Checks that the folder contains the package, complete."""
        manifest, files = package.from_folder(folder)
        self.assertEqual(manifest.name, f"p{number}")
        self.assertEqual(sorted(name for name, _ in files), ["deep/main.py", "main.py"])

    def filled_cache(self):
        """A new cache with packages 0 and 1, of which 0 is in use."""
        shutil.rmtree(self.cache_path, ignore_errors=True)
        cache = Cache(self.cache_path, CAPACITY_MB)
        for number in (0, 1):
            self.acquire_and_check(cache, number)
        cache.release(self.archives[1][1])
        return cache

    def check_recovered(self, cache, use_counts):
        """Checks a cache after its faults ended: loads succeed, no leftover remains, and the index matches the disk."""
        self.assertEqual(cache.index.use_counts, use_counts)
        self.acquire_and_check(cache, 2)
        cache.release(self.archives[2][1])
        self.assertEqual(cache.index.use_counts, use_counts)
        self.assertEqual((cache.index.reserved, cache.index.leftovers), (0, {}))
        self.assertEqual(sorted(os.listdir(self.cache_path)), sorted(cache.index.sizes))
        self.assertEqual(sorted(cache.index.order), sorted(cache.index.sizes))
        self.assertEqual(cache.bytes, bytes_on_disk(self.cache_path))
        self.assertLessEqual(cache.bytes, CAPACITY_MB * MB)
        for number, (_, digest) in enumerate(self.archives):
            if digest[7:] in cache.index.sizes:
                self.check_package(os.path.join(self.cache_path, digest[7:]), number)

    def acquire(self, cache, number):
        """Acquires a package without checks."""
        path, digest = self.archives[number]
        return cache.acquire(digest, lambda target: shutil.copyfile(path, target))
