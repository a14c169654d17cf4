"""Packages on disk, unpacked: whole entries or none, within a bound, whenever the process ends."""

import os
import shutil
import threading
from collections.abc import Callable

from wickdyke.worker import package
from wickdyke.worker.package import Manifest

MB = 1 << 20
PART = "part-"  # what is not an entry yet


class NoRoom(Exception):
    """The bound leaves no room: what is there is in use."""


class Cache:
    """A folder of entries named by digest. An entry is put there by one rename, so that a kill leaves it out or whole;
    what else is found at start is swept. Least lately used ones go first; those in use never.
    """

    def __init__(self, folder: str, most_mb: float) -> None:
        self.folder, self.most = folder, most_mb * MB
        self.lock = threading.Lock()
        self.used: dict[str, int] = {}
        self.sizes: dict[str, int] = {}
        self.order: list[str] = []
        self.coming = 0  # bytes that are being written
        os.makedirs(folder, exist_ok=True)
        for name in sorted(os.listdir(folder), key=lambda each: os.stat(os.path.join(folder, each)).st_mtime):
            whole = os.path.join(folder, name)
            if name.startswith(PART) or not os.path.isdir(whole):
                shutil.rmtree(whole, ignore_errors=True) if os.path.isdir(whole) else os.unlink(whole)
            else:
                self.sizes[name] = _size(whole)
                self.order.append(name)

    @property
    def bytes(self) -> int:
        """What entries take."""
        return sum(self.sizes.values())

    def take(self, digest: str, fetch: Callable[[str], None]) -> tuple[Manifest, str]:
        """(manifest, folder) of the archive with that digest, kept until `give` is called as often.

        `fetch(path)` writes the archive there if it is not in the cache. Raises NoRoom, Unusable or what fetch raises;
        nothing is left behind then.
        """
        name = digest.partition(":")[2]
        with self.lock:
            there = name in self.sizes
            if there:
                self._in_use(name)
        if not there:
            self._fill(name, digest, fetch)
        whole = os.path.join(self.folder, name)
        try:
            made = package.manifest(_read(os.path.join(whole, package.MANIFEST)), package.MANIFEST)
        except (OSError, package.Unusable) as bad:  # somebody else was at it: out, so that the next fetch mends it
            self.give(digest)
            self._forget(name)
            raise package.refuse(whole, f"an entry that can't be read ({bad})", "one as it was put there") from None
        return made, whole

    def give(self, digest: str) -> None:
        """An entry taken is used no more."""
        name = digest.partition(":")[2]
        with self.lock:
            self.used[name] = self.used.get(name, 1) - 1
            if self.used[name] <= 0:
                del self.used[name]

    def _in_use(self, name: str) -> None:
        self.used[name] = self.used.get(name, 0) + 1
        self.order.remove(name)
        self.order.append(name)
        os.utime(os.path.join(self.folder, name))

    def _fill(self, name: str, digest: str, fetch: Callable[[str], None]) -> None:
        part = os.path.join(self.folder, f"{PART}{os.getpid()}-{threading.get_ident()}")
        archive, size = part + ".zip", 0
        try:
            fetch(archive)
            if (have := package.file_digest(archive)) != digest:
                raise package.refuse(archive, f"an archive with the digest {have}", f"{digest}, as the store said")
            made, files = package.from_zip(archive)
            os.unlink(archive)
            wanted = sum(len(data) for _, data in files)
            self._make_room(wanted)
            size = wanted
            for path, data in [*files, (package.MANIFEST, package.written(made, made.digest).encode())]:
                whole = os.path.join(part, path)
                os.makedirs(os.path.dirname(whole), exist_ok=True)
                with open(whole, "wb") as sink:
                    sink.write(data)
                    sink.flush()
                    os.fsync(sink.fileno())
            with self.lock:
                if name not in self.sizes:
                    os.rename(part, os.path.join(self.folder, name))
                    self.sizes[name] = size
                    self.order.append(name)
                self._in_use(name)
        finally:
            with self.lock:
                self.coming -= size
            shutil.rmtree(part, ignore_errors=True)
            if os.path.exists(archive):
                os.unlink(archive)

    def _make_room(self, size: int) -> None:
        with self.lock:
            free = [name for name in self.order if name not in self.used]
            if self.bytes + self.coming - sum(self.sizes[name] for name in free) + size > self.most:
                raise NoRoom(f"{size / MB:.1f} MB do not fit beside what is in use")
            while self.bytes + self.coming + size > self.most:
                self._out(free.pop(0))
            self.coming += size

    def _out(self, name: str) -> None:
        # under its final name it is whole or gone: renamed first, then taken apart
        part = os.path.join(self.folder, f"{PART}out-{name}")
        os.rename(os.path.join(self.folder, name), part)
        self.order.remove(name)
        del self.sizes[name]
        shutil.rmtree(part, ignore_errors=True)

    def _forget(self, name: str) -> None:
        with self.lock:
            if name in self.sizes and name not in self.used:
                self._out(name)


def _read(path: str) -> bytes:
    with open(path, "rb") as source:
        return source.read()


def _size(folder: str) -> int:
    return sum(os.path.getsize(os.path.join(where, name)) for where, _, names in os.walk(folder) for name in names)
