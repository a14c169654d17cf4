"""The cache's directory on disk: entries are installed by one rename, evicted by another, and leftovers removed."""

import contextlib
import errno
import itertools
import os
import shutil
import threading
import time

from wickdyke.worker.cache_files import disk_size, is_directory
from wickdyke.worker.cache_index import CacheIndex

TEMPORARY_PREFIX = "part-"  # of what is not an entry yet, or not any more
USE_TIME_STEP = 1_000_000  # ns at least between the file times of two uses


class CacheDirectory:
    """A directory of entries, kept in step with a CacheIndex.

    An entry's final name is only ever given or taken by a rename, so that a kill leaves it whole or out.
    """

    def __init__(self, path: str, index: CacheIndex) -> None:
        self.path = path
        self.index = index
        self.lock = threading.Lock()  # one change of the directory at a time; taken before the index's lock
        self.serial = itertools.count()
        self.last_use_time = 0  # the latest file time that was set or found, in ns
        self.use_time_lock = threading.Lock()
        self.listed = False

    def entry_path(self, name: str) -> str:
        """Where an entry is."""
        return os.path.join(self.path, name)

    def temporary_path(self) -> str:
        """A path that nothing has."""
        return os.path.join(self.path, f"{TEMPORARY_PREFIX}{os.getpid()}-{next(self.serial)}")

    def load(self) -> None:
        """Reads the directory into the index, once. Raises OSError where it can't be listed."""
        with self.lock:
            if self.listed:
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
                except OSError:  # no entry, or one that can't be read: fetched again if it is needed
                    self._discard(path)
            entries.sort()  # the order of use according to the file times, a first guess only
            for use_time, name, size in entries:
                self.index.add(name, size)
                self.last_use_time = use_time
            self.listed = True

    def record_use(self, name: str) -> None:
        """Stores the use in the file time, for the next start: later than all before, also if the clock is set back."""
        with self.use_time_lock:
            self.last_use_time = use_time = max(time.time_ns(), self.last_use_time + USE_TIME_STEP)
        # Where this fails, the order in memory is right all the same; at the next start it is a guess.
        with contextlib.suppress(OSError, OverflowError):
            os.utime(self.entry_path(name), ns=(use_time, use_time))

    # ---- installing ----

    def make_room(self, size: int) -> None:
        """Reserves so many bytes, evicting the least recently used entries. Raises CacheFullError or OSError."""
        with self.lock:
            candidates = self.index.eviction_candidates(size)
            failure: OSError | None = None
            while not self.index.reserve(size):
                candidates = self.index.still_evictable(candidates)
                if not candidates:
                    raise failure or self.index.full_error(size)
                try:
                    removed = self._evict(candidates.pop(0))
                except OSError as error:  # it stays an entry; another may do
                    failure = error
                    continue
                if not removed:  # to go on would cost all entries and free nothing
                    raise OSError(errno.EIO, "what was to make room could not be removed", self.path)

    def install(self, name: str, temporary: str, size: int) -> None:
        """Makes a directory that was written in full the entry, in use. Its bytes have been reserved."""
        with self.lock:
            replaced_path = None
            # It exists where it was to be evicted meanwhile, and that failed.
            if not self.index.contains(name):
                replaced_path = self.entry_path(name)
                if os.path.lexists(replaced_path):  # one that could neither be read nor removed
                    self._move_out(replaced_path)
                os.rename(temporary, replaced_path)
            self.index.acquire_installed(name, size, replaced_path)

    # ---- removing ----

    def evict(self, name: str) -> None:
        """Removes an unreadable entry. Where that fails, the next load reads it again or removes it."""
        with self.lock, contextlib.suppress(OSError):
            self._evict(name)

    def discard(self, path: str, size: int = 0) -> None:
        """Removes what is at a path, if anything. What stays is a leftover of the measured size, or else of `size`."""
        with self.lock:
            self._discard(path, size)

    def remove_leftovers(self) -> None:
        """Tries again to remove what could not be removed before."""
        if self.index.leftovers:
            with self.lock:
                for path in list(self.index.leftovers):
                    self._discard(path)

    def _evict(self, name: str) -> bool:
        """Removes an entry unless it is in use. Whether nothing of it is left; raises OSError where it stays."""
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
        """Renames an entry before it is taken apart, as under its final name it is whole or gone.

        Whether nothing of it is left; raises OSError where it keeps its name.
        """
        temporary = self.temporary_path()
        os.rename(path, temporary)
        self.index.leftover_moved(path, temporary)
        return self._discard(temporary)

    def _discard(self, path: str, size: int = 0) -> bool:
        """As `discard`. Whether nothing is left; never raises OSError."""
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
