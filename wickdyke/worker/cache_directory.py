"""The directory of the package cache. Entries are installed and evicted by a rename; leftovers are removed."""

import contextlib
import errno
import itertools
import os
import shutil
import threading
import time

from wickdyke.worker.cache_files import disk_size, is_directory
from wickdyke.worker.cache_index import CacheIndex

TEMPORARY_PREFIX = "part-"  # of names that are not entries: packages being written, and evicted entries
USE_TIME_STEP = 1_000_000  # ns, shortest distance between the file times of two uses


class CacheDirectory:
    """A directory of entries whose contents a CacheIndex tracks.

    An entry gets and loses its final name only by a rename, so that a kill leaves it complete or absent.
    """

    def __init__(self, path: str, index: CacheIndex) -> None:
        self.path = path
        self.index = index
        self.lock = threading.Lock()  # guards changes of the directory; acquired before the index's lock
        self.temporary_serials = itertools.count()
        self.last_use_time = 0  # ns, the latest file time that was set, or read by `load`
        self.use_time_lock = threading.Lock()
        self.is_loaded = False

    def entry_path(self, name: str) -> str:
        """The path of an entry."""
        return os.path.join(self.path, name)

    def temporary_path(self) -> str:
        """A new path for a package that is being written, or for an evicted entry."""
        return os.path.join(self.path, f"{TEMPORARY_PREFIX}{os.getpid()}-{next(self.temporary_serials)}")

    def load(self) -> None:
        """Reads the directory into the index, once. Raises OSError where it can't be listed."""
        with self.lock:
            if self.is_loaded:
                return
            with contextlib.suppress(FileExistsError):
                os.makedirs(self.path)
            entries = []
            for name in sorted(os.listdir(self.path)):
                path = self.entry_path(name)
                try:
                    if name.startswith(TEMPORARY_PREFIX) or not is_directory(path):
                        raise NotADirectoryError(path)
                    entries.append((os.stat(path).st_mtime_ns, name, disk_size(path)))
                except OSError:  # not an entry, or an unreadable one, which is fetched again if it is needed
                    self._discard(path)
            entries.sort()  # by file time, which approximates the order of use
            for use_time, name, size in entries:
                self.index.add(name, size)
                self.last_use_time = use_time
            self.is_loaded = True

    def record_use(self, name: str) -> None:
        """Stores the time of a use in the file time, for the next start.

        File times increase with each use, also if the clock is set back.
        """
        with self.use_time_lock:
            self.last_use_time = use_time = max(time.time_ns(), self.last_use_time + USE_TIME_STEP)
        # A failure does not affect the order in memory; only the next start reads a wrong order.
        with contextlib.suppress(OSError, OverflowError):
            os.utime(self.entry_path(name), ns=(use_time, use_time))

    # ---- installing ----

    def make_room(self, size: int) -> None:
        """Reserves `size` bytes, evicting the least recently used entries. Raises CacheFullError, OSError."""
        with self.lock:
            candidates = self.index.eviction_candidates(size)
            failure: OSError | None = None
            while not self.index.reserve(size):
                candidates = self.index.still_evictable(candidates)
                if not candidates:
                    raise failure or self.index.full_error(size)
                try:
                    removed = self._evict(candidates.pop(0))
                except OSError as error:  # the entry stays; another one may be evicted instead
                    failure = error
                    continue
                if not removed:  # further evictions would remove all entries and free nothing
                    raise OSError(errno.EIO, "an evicted cache entry could not be removed", self.path)

    def install(self, name: str, temporary: str, size: int) -> None:
        """Installs a completely written directory as an entry, in use. Its `size` bytes have been reserved."""
        with self.lock:
            installed_path = None
            # The entry may exist again: an eviction that began before the fetch may have failed and been undone.
            if not self.index.contains(name):
                installed_path = self.entry_path(name)
                if os.path.lexists(installed_path):  # an entry that could be neither read nor removed
                    self._move_out(installed_path)
                os.rename(temporary, installed_path)
            self.index.acquire_installed(name, size, installed_path)

    # ---- removing ----

    def evict(self, name: str) -> None:
        """Removes an unreadable entry. Where that fails, the next load tries to read or remove it again."""
        with self.lock, contextlib.suppress(OSError):
            self._evict(name)

    def discard(self, path: str, size: int = 0) -> None:
        """Removes the file or directory at a path, if there is one.

        Where that fails it becomes a leftover of its measured size, or of `size` where that can't be measured.
        """
        with self.lock:
            self._discard(path, size)

    def remove_leftovers(self) -> None:
        """Tries to remove all leftovers again."""
        if self.index.leftovers:
            with self.lock:
                for path in list(self.index.leftovers):
                    self._discard(path)

    def _evict(self, name: str) -> bool:
        """Removes an entry unless it is in use.

        Returns False where a leftover remains; raises OSError where the entry stays.
        """
        path = self.entry_path(name)
        entry = self.index.begin_eviction(name, path)
        if entry is None:
            return True
        try:
            return self._move_out(path)
        except OSError:
            self.index.undo_eviction(entry, path)
            raise

    def _move_out(self, path: str) -> bool:
        """Renames an entry, then removes it, so that an entry under its final name is always complete.

        Returns False where a leftover remains; raises OSError where the rename fails.
        """
        temporary = self.temporary_path()
        os.rename(path, temporary)
        self.index.leftover_moved(path, temporary)
        return self._discard(temporary)

    def _discard(self, path: str, size: int = 0) -> bool:
        """Does what `discard` does. Returns False where a leftover remains; never raises OSError."""
        try:
            shutil.rmtree(path) if is_directory(path) else os.unlink(path)
        except FileNotFoundError:
            pass
        except OSError:
            try:
                size = disk_size(path)
            except OSError:
                size = max(size, self.index.leftovers.get(path, 0))
            self.index.leftover_remains(path, size)
            return False
        self.index.leftover_removed(path)
        return True
