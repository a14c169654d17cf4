"""The cache of packages: its bound, fetches that fail, and a kill at each step."""

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
    """Capacity, fetches that fail, and kills of a process."""

    def packed(self, at, size=1000):
        """Packs a package of that size: (path, digest) of its archive."""
        write_package(self.path(f"f{at}"), name=f"p{at}", code=PACKAGE_CODE + "#" + "x" * size)
        path = package.pack(self.path(f"f{at}"), self.path("s"))[1]
        return path, package_digest.file_digest(path)

    def test_bound(self):
        """Least recently used entries go first, those in use never; nothing is left of one that does not fit."""
        packs = [self.packed(at, 400_000) for at in range(4)]
        cache = Cache(self.path("c"), 1.0)
        cache.acquire(packs[0][1], lambda to: shutil.copy(packs[0][0], to))
        for at in (1, 2, 3, 1):
            cache.acquire(packs[at][1], lambda to, at=at: shutil.copy(packs[at][0], to))
            if at != 1:
                cache.release(packs[at][1])
            self.assertLessEqual(cache.bytes, 1 << 20)
            self.assertIn(packs[0][1][7:], cache.index.sizes)
            if at == 1:
                self.assertRaises(CacheFullError, cache.acquire, packs[2][1], lambda to: shutil.copy(packs[2][0], to))
                cache.release(packs[1][1])
        self.assertEqual(sorted(os.listdir(self.path("c"))), sorted(cache.index.sizes))

    def test_bad_fetches(self):
        """(bytes from the store) -> an error, nothing left behind, and the right archive is accepted after it."""
        path, digest = self.packed(0)
        other, _ = self.packed(1)
        cache = Cache(self.path("c"), 10.0)

        def short(to):
            with open(path, "rb") as source, open(to, "wb") as sink:
                sink.write(source.read()[:-100])

        def broken(to):
            short(to)
            raise ConnectionResetError

        for fetch, error in (
            (lambda to: shutil.copy(other, to), InvalidConfigError),
            (short, InvalidConfigError),
            (broken, OSError),
        ):
            self.assertRaises(error, cache.acquire, digest, fetch)
            self.assertEqual(os.listdir(self.path("c")), [])
        made, folder = cache.acquire(digest, lambda to: shutil.copy(path, to))
        self.assertEqual((made.name, sorted(os.listdir(folder))), ("p0", ["main.py", "package.sexp"]))

    def test_killed(self):
        """Killed before each step of a fetch that evicts: the next start has complete entries only, and goes on."""
        packs = [self.packed(at, 400_000) for at in range(3)]
        steps = ("open", "rename", "unlink", "fsync", "makedirs", "rmdir", "replace", "utime")
        total = None
        for kill_at in range(1, 200):
            shutil.rmtree(self.path("c"), ignore_errors=True)
            cache = Cache(self.path("c"), 1.0)
            for path, digest in packs[:2]:
                cache.acquire(digest, lambda to, path=path: shutil.copy(path, to))
                cache.release(digest)
            pid = os.fork()
            if pid == 0:
                seen = [0]

                def counted(real, seen=seen, kill_at=kill_at):
                    def step(*args, **more):
                        seen[0] += 1
                        if seen[0] == kill_at:
                            os._exit(9)
                        return real(*args, **more)

                    return step

                for name in steps:
                    setattr(os, name, counted(getattr(os, name)))
                cache.acquire(packs[2][1], lambda to: shutil.copy(packs[2][0], to))
                os._exit(0)
            status = os.waitstatus_to_exitcode(os.waitpid(pid, 0)[1])
            after = Cache(self.path("c"), 1.0)
            self.assertFalse([name for name in os.listdir(self.path("c")) if name.startswith(TEMPORARY_PREFIX)])
            self.assertLessEqual(after.bytes, 1 << 20)
            for name in after.index.sizes:  # whole: its contents have the digest that its manifest states
                package.from_folder(self.path("c", name))
            after.acquire(packs[2][1], lambda to: shutil.copy(packs[2][0], to))
            if status == 0:
                total = kill_at
                break
        self.assertGreater(total, 10)


if __name__ == "__main__":
    unittest.main()
