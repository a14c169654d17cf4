"""Packages on disk, unpacked: whole entries or none, within a bound, whenever the process ends or a write fails."""

import contextlib
import errno
import itertools
import os
import shutil
import stat
import threading
import time
from collections.abc import Callable

from wickdyke.worker import package
from wickdyke.worker.package import Manifest

MB = 1 << 20
PART = "part-"  # what is not an entry yet, or not any more
TEMPORARY = (errno.ENOSPC, errno.EDQUOT, errno.EIO)  # of a folder that may work again later
STAMP = 1_000_000  # ns between the file times of two uses at least


class NoRoom(Exception):
    """The bound leaves no room: what is there is in use."""


class Cache:
    """A folder of entries named by digest. An entry is put there by one rename, so that a kill leaves it out or whole;
    what else is found at start is removed. Least recently used ones go first; those in use never.

    A system call that fails costs the `take` that made it and no other. What could not be removed is leftovers: they
    count as bytes, and their removal is tried again by each `take`.
    """

    def __init__(self, folder: str, most_mb: float) -> None:
        """Raises OSError where the folder can never be used; one that only fails for now is read by the next `take`."""
        self.folder, self.most = folder, most_mb * MB
        self.lock = threading.Lock()  # guards the books; never held during a system call
        self.disk = threading.Lock()  # one change of the folder at a time; taken before `lock`
        self.used: dict[str, int] = {}
        self.sizes: dict[str, int] = {}
        self.order: list[str] = []  # least recently used first
        self.coming = 0  # bytes that are being written
        self.leftovers: dict[str, int] = {}  # bytes by path
        self.checked: set[str] = set()  # entries that were found whole, or put there by this process
        self.filling: set[str] = set()  # entries that a load fetches
        self.filled = threading.Condition(self.lock)
        self.serial = itertools.count()
        self.stamp = 0  # the latest file time given, in ns
        self.listed = False
        try:
            self._list()
        except OSError as bad:
            if bad.errno not in TEMPORARY:
                raise

    @property
    def bytes(self) -> int:
        """What entries and leftovers take."""
        with self.lock:
            return self._taken()

    def take(self, digest: str, fetch: Callable[[str], None]) -> tuple[Manifest, str]:
        """(manifest, folder) of the archive with that digest, kept until `give` is called as often.

        `fetch(path)` writes the archive there if it is not in the cache. Raises NoRoom, Unusable, OSError or what
        fetch raises; the entry is not in use then, and what was written is removed or counted as leftovers.
        """
        self._list()
        self._sweep()
        name = digest.partition(":")[2]
        whole = os.path.join(self.folder, name)
        problem: Exception | None = None
        for _ in range(2):  # an entry that is not whole is removed and fetched anew, once
            if not self._there(name):
                try:
                    self._fill(name, digest, fetch)
                finally:
                    with self.lock:
                        self.filling.discard(name)
                        self.filled.notify_all()
            self._stamp(name)
            try:
                return self._read(name), whole
            except (OSError, package.InvalidConfigError) as bad:
                problem = bad
                self.give(digest)
                self._forget(name)
        raise package.refuse(whole, f"an entry that can't be read ({problem})", "one as it was put there")

    def give(self, digest: str) -> None:
        """An entry taken is used no more."""
        name = digest.partition(":")[2]
        with self.lock:
            self.used[name] = self.used.get(name, 1) - 1
            if self.used[name] <= 0:
                del self.used[name]

    def _there(self, name: str) -> bool:
        """Whether the entry is there, then in use. Waits for another load that fetches it; where that one failed, or
        there is none, the caller is to fetch it."""
        with self.lock:
            while name not in self.sizes and name in self.filling:
                self.filled.wait()
            if name not in self.sizes:
                self.filling.add(name)
                return False
            self._in_use(name)
            return True

    # ---- the books, under `lock` ----

    def _taken(self) -> int:
        return sum(self.sizes.values()) + sum(self.leftovers.values())

    def _in_use(self, name: str) -> None:
        self.used[name] = self.used.get(name, 0) + 1
        self.order.remove(name)
        self.order.append(name)

    def _enter(self, name: str, size: int) -> None:
        self.sizes[name] = size
        self.order.append(name)

    def _strike(self, name: str) -> int:
        self.order.remove(name)
        self.checked.discard(name)
        return self.sizes.pop(name)

    # ---- the folder ----

    def _list(self) -> None:
        """Reads the folder, once. Raises OSError where it can't be listed."""
        with self.disk:
            if self.listed:
                return
            with contextlib.suppress(FileExistsError):
                os.makedirs(self.folder)
            found = []
            for name in sorted(os.listdir(self.folder)):
                path = os.path.join(self.folder, name)
                try:
                    if name.startswith(PART) or not _is_folder(path):
                        raise NotADirectoryError(path)
                    found.append((os.stat(path).st_mtime_ns, name, _size(path)))
                except OSError:  # no entry, or one that can't be read: fetched anew if it is wanted
                    self._discard(path)
            found.sort()  # the order of use as file times have it, a first guess only
            with self.lock:
                for stamp, name, size in found:
                    self._enter(name, size)
                    self.stamp = stamp
            self.listed = True

    def _sweep(self) -> None:
        """Tries again to remove what could not be removed before."""
        if self.leftovers:
            with self.disk:
                for path in list(self.leftovers):
                    self._discard(path)

    def _stamp(self, name: str) -> None:
        """Notes the use in the file time, for the next start. Later than all before, also where the clock went back."""
        with self.lock:
            self.stamp = stamp = max(time.time_ns(), self.stamp + STAMP)
        try:
            os.utime(os.path.join(self.folder, name), ns=(stamp, stamp))
        except (OSError, OverflowError):
            pass  # the order in memory is right; at the next start it is a guess

    def _read(self, name: str) -> Manifest:
        """The manifest of an entry. One that an earlier process left is checked whole first; raises Unusable, OSError.

        A kill leaves none half written, but a power cut or a failing disk may.
        """
        whole = os.path.join(self.folder, name)
        made = package.manifest(_content(os.path.join(whole, package.MANIFEST)), package.MANIFEST)
        if name not in self.checked:
            files = [(path, data) for path, data in _files(whole) if path != package.MANIFEST]
            if (have := package.content_digest(files)) != made.digest:
                raise package.refuse(whole, f"contents with the digest {have}", f"{made.digest}, as its manifest says")
            with self.lock:
                if name in self.sizes:
                    self.checked.add(name)
        return made

    def _part(self) -> str:
        """A path that nothing has."""
        return os.path.join(self.folder, f"{PART}{os.getpid()}-{next(self.serial)}")

    def _fill(self, name: str, digest: str, fetch: Callable[[str], None]) -> None:
        """Puts the entry there, in use."""
        part = self._part()
        archive, booked = part + ".zip", 0
        try:
            fetch(archive)
            if (have := package.file_digest(archive)) != digest:
                raise package.refuse(archive, f"an archive with the digest {have}", f"{digest}, as the store said")
            made, files = package.from_zip(archive)
            files = [*files, (package.MANIFEST, package.written(made, made.digest).encode())]
            size = sum(len(data) for _, data in files)
            with self.disk:
                self._discard(archive)
            self._sweep()
            with self.disk:
                self._make_room(size)
            booked = size
            for path, data in files:
                whole = os.path.join(part, path)
                os.makedirs(os.path.dirname(whole), exist_ok=True)
                _write(whole, data)
            with self.disk:
                self._place(name, part, size)
                booked = 0
        finally:
            with self.lock:
                self.coming -= booked
            with self.disk:
                self._discard(part, booked)
                self._discard(archive)

    def _place(self, name: str, part: str, size: int) -> None:
        """Makes what was written the entry; the booked bytes are those of the entry from then on."""
        with self.lock:
            there = name in self.sizes  # it was to be evicted meanwhile, and that failed
        if not there:
            whole = os.path.join(self.folder, name)
            if os.path.lexists(whole):  # one that could neither be read nor removed
                self._move_out(whole)
            os.rename(part, whole)
        with self.lock:
            if not there:
                self.leftovers.pop(whole, None)  # an empty folder that the rename replaced
                self._enter(name, size)
                self.checked.add(name)
            self._in_use(name)
            self.coming -= size

    def _make_room(self, size: int) -> None:
        """Books so many bytes, and removes what is least recently used for them. Raises NoRoom or OSError."""
        with self.lock:
            free = [name for name in self.order if name not in self.used]
            if self._taken() + self.coming - sum(self.sizes[name] for name in free) + size > self.most:
                raise NoRoom(f"{size / MB:.1f} MB do not fit beside what is in use")
        problem: OSError | None = None
        while True:
            with self.lock:
                if self._taken() + self.coming + size <= self.most:
                    self.coming += size
                    return
                free = [name for name in free if name in self.sizes and name not in self.used]
                if not free:
                    raise problem or NoRoom(f"{size / MB:.1f} MB do not fit beside what is in use")
            try:
                gone = self._evict(free.pop(0))
            except OSError as bad:  # it stays an entry; another may do
                problem = bad
                continue
            if not gone:  # to go on would cost all entries and free nothing
                raise OSError(errno.EIO, "what was to make room could not be removed", self.folder)

    def _evict(self, name: str) -> bool:
        """Removes an entry, if nothing uses it. Whether all of it is gone; raises OSError where it stays an entry."""
        path = os.path.join(self.folder, name)
        with self.lock:
            if name not in self.sizes or name in self.used:
                return True
            at, checked = self.order.index(name), name in self.checked
            size = self._strike(name)  # nobody takes it from here on
            self.leftovers[path] = size
        try:
            return self._move_out(path)
        except OSError:
            with self.lock:
                del self.leftovers[path]
                self.sizes[name] = size
                self.order.insert(at, name)
                if checked:
                    self.checked.add(name)
            raise

    def _move_out(self, path: str) -> bool:
        """Under its final name an entry is whole or gone: renamed first, then taken apart. Whether all of it is gone;
        raises OSError where it keeps its name."""
        part = self._part()
        os.rename(path, part)
        with self.lock:
            self.leftovers[part] = self.leftovers.pop(path, 0)
        return self._discard(part)

    def _discard(self, path: str, size: int = 0) -> bool:
        """Removes what is there, if anything is. What stays is counted: as measured, else as `size` bytes. Never raises
        OSError."""
        try:
            shutil.rmtree(path) if _is_folder(path) else os.unlink(path)
        except FileNotFoundError:
            pass
        except OSError:
            try:
                size = _size(path)
            except OSError:
                size = max(size, self.leftovers.get(path, 0))
            with self.lock:
                self.leftovers[path] = size
            return False
        with self.lock:
            self.leftovers.pop(path, None)
        return True

    def _forget(self, name: str) -> None:
        with self.disk:
            try:
                self._evict(name)
            except OSError:
                pass  # still there: it is read again by the next take, or removed by it


def _content(path: str) -> bytes:
    with open(path, "rb") as source:
        return source.read()


def _write(path: str, data: bytes) -> None:
    """Writes a new file and syncs it; raises OSError."""
    sink = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o644)
    try:
        left = memoryview(data)
        while left:
            left = left[os.write(sink, left) :]
        os.fsync(sink)
    finally:
        os.close(sink)


def _is_folder(path: str) -> bool:
    """As os.path.isdir, but raises OSError where that can't be told; links are not followed."""
    return stat.S_ISDIR(os.lstat(path).st_mode)


def _raise(bad: OSError) -> None:
    raise bad


def _paths(folder: str) -> list[str]:
    """All files in a folder; raises OSError where a part of it can't be listed."""
    return [os.path.join(where, name) for where, _, names in os.walk(folder, onerror=_raise) for name in names]


def _files(folder: str) -> list[tuple[str, bytes]]:
    return [(os.path.relpath(path, folder).replace(os.sep, "/"), _content(path)) for path in _paths(folder)]


def _size(path: str) -> int:
    """Bytes of a file, or of all files in a folder; raises OSError."""
    if not _is_folder(path):
        return os.lstat(path).st_size
    return sum(os.lstat(each).st_size for each in _paths(path))
