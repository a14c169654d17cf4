"""The cache of packages: its capacity, failed fetches, and a kill at each system call."""

import os
import shutil
import unittest

from tests.worker_rig import PACKAGE_CODE, TemporaryFolderTest, write_package
from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.worker import package, package_digest
from wickdyke.worker.cache import Cache
from wickdyke.worker.cache_directory import TEMPORARY_PREFIX
from wickdyke.worker.cache_index import CacheFullError


class CacheCapacityTest(TemporaryFolderTest):
    """Capacity, failed fetches, and kills of the process."""

    def pack(self, number, size=1000):
        """Packs a package of `size` bytes. Returns (path, digest) of its archive."""
        write_package(self.path(f"f{number}"), name=f"p{number}", code=PACKAGE_CODE + "#" + "x" * size)
        path = package.pack(self.path(f"f{number}"), self.path("s"))[1]
        return path, package_digest.file_digest(path)

    def test_capacity(self):
        """Evicts least recently used entries first, and none in use; a package that does not fit leaves no files."""
        archives = [self.pack(number, 400_000) for number in range(4)]
        cache = Cache(self.path("c"), 1.0)
        cache.acquire(archives[0][1], lambda target: shutil.copy(archives[0][0], target))
        for number in (1, 2, 3, 1):
            cache.acquire(archives[number][1], lambda target, number=number: shutil.copy(archives[number][0], target))
            if number != 1:
                cache.release(archives[number][1])
            self.assertLessEqual(cache.bytes, 1 << 20)
            self.assertIn(archives[0][1][7:], cache.index.sizes)
            if number == 1:
                self.assertRaises(
                    CacheFullError, cache.acquire, archives[2][1], lambda target: shutil.copy(archives[2][0], target)
                )
                cache.release(archives[1][1])
        self.assertEqual(sorted(os.listdir(self.path("c"))), sorted(cache.index.sizes))

    def test_failed_fetches(self):
        """(failing fetch) -> an error, and no files remain; the correct archive is accepted afterwards."""
        path, digest = self.pack(0)
        other, _ = self.pack(1)
        cache = Cache(self.path("c"), 10.0)

        def truncated(target):
            with open(path, "rb") as source, open(target, "wb") as sink:
                sink.write(source.read()[:-100])

        def truncated_then_reset(target):
            truncated(target)
            raise ConnectionResetError

        for fetch, error in (
            (lambda target: shutil.copy(other, target), InvalidConfigError),
            (truncated, InvalidConfigError),
            (truncated_then_reset, OSError),
        ):
            self.assertRaises(error, cache.acquire, digest, fetch)
            self.assertEqual(os.listdir(self.path("c")), [])
        manifest, folder = cache.acquire(digest, lambda target: shutil.copy(path, target))
        self.assertEqual((manifest.name, sorted(os.listdir(folder))), ("p0", ["main.py", "package.sexp"]))

    def test_killed_at_each_call(self):
        """Killed before each system call of a fetch that evicts: the next start has only complete entries."""
        archives = [self.pack(number, 400_000) for number in range(3)]
        call_names = ("open", "rename", "unlink", "fsync", "makedirs", "rmdir", "replace", "utime")
        call_total = None
        for kill_at in range(1, 200):
            shutil.rmtree(self.path("c"), ignore_errors=True)
            cache = Cache(self.path("c"), 1.0)
            for path, digest in archives[:2]:
                cache.acquire(digest, lambda target, path=path: shutil.copy(path, target))
                cache.release(digest)
            pid = os.fork()
            if pid == 0:
                call_count = [0]

                def count_calls(real, call_count=call_count, kill_at=kill_at):
                    def counted_call(*args, **keywords):
                        call_count[0] += 1
                        if call_count[0] == kill_at:
                            os._exit(9)
                        return real(*args, **keywords)

                    return counted_call

                for name in call_names:
                    setattr(os, name, count_calls(getattr(os, name)))
                cache.acquire(archives[2][1], lambda target: shutil.copy(archives[2][0], target))
                os._exit(0)
            status = os.waitstatus_to_exitcode(os.waitpid(pid, 0)[1])
            reopened = Cache(self.path("c"), 1.0)
            self.assertFalse([name for name in os.listdir(self.path("c")) if name.startswith(TEMPORARY_PREFIX)])
            self.assertLessEqual(reopened.bytes, 1 << 20)
            for name in reopened.index.sizes:  # raises where the contents do not have the digest of the manifest
                package.from_folder(self.path("c", name))
            reopened.acquire(archives[2][1], lambda target: shutil.copy(archives[2][0], target))
            if status == 0:
                call_total = kill_at
                break
        self.assertGreater(call_total, 10)


if __name__ == "__main__":
    unittest.main()
