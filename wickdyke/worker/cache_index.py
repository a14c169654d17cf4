"""The index of the package cache in memory: its entries, their sizes, numbers of users and order of use.

Nothing here accesses the disk.
"""

import threading
from dataclasses import dataclass

MB = 1 << 20


class CacheFullError(Exception):
    """An entry does not fit, as too many of the other entries are in use."""


@dataclass(slots=True, frozen=True)
class EvictedEntry:
    """An entry that was removed from the index, with the values that restore it there."""

    name: str
    size: int  # bytes
    position: int  # in the order of use
    verified: bool


class CacheIndex:
    """Entries by name. Thread-safe: each method holds the lock, and none accesses the disk."""

    def __init__(self, capacity: float) -> None:
        """`capacity` is in bytes."""
        self.capacity = capacity
        self.lock = threading.Lock()
        self.use_counts: dict[str, int] = {}  # numbers of users, of entries in use only
        self.sizes: dict[str, int] = {}  # bytes
        self.order: list[str] = []  # least recently used first
        self.reserved = 0  # bytes of entries that are being written
        self.leftovers: dict[str, int] = {}  # bytes by path, of files and directories that could not be removed
        self.verified: set[str] = set()  # entries that this process has written, or whose contents it has verified
        self.fetching: set[str] = set()  # entries that are being fetched
        self.fetch_finished = threading.Condition(self.lock)

    @property
    def total_bytes(self) -> int:
        """The bytes of all entries and leftovers."""
        with self.lock:
            return self._total_bytes()

    def _total_bytes(self) -> int:
        return sum(self.sizes.values()) + sum(self.leftovers.values())

    # ---- users ----

    def acquire_or_begin_fetch(self, name: str) -> bool:
        """Acquires an existing entry and returns True. Returns False where the caller has to fetch the entry.

        Waits while another load fetches it; where that load fails, the caller has to fetch the entry.
        """
        with self.lock:
            while name not in self.sizes and name in self.fetching:
                self.fetch_finished.wait()
            if name not in self.sizes:
                self.fetching.add(name)
                return False
            self._acquire(name)
            return True

    def end_fetch(self, name: str) -> None:
        """Ends the caller's fetch, which has succeeded or failed, and wakes the loads that wait for it."""
        with self.lock:
            self.fetching.discard(name)
            self.fetch_finished.notify_all()

    def _acquire(self, name: str) -> None:
        self.use_counts[name] = self.use_counts.get(name, 0) + 1
        self.order.remove(name)
        self.order.append(name)

    def release(self, name: str) -> None:
        """Removes one user of an entry."""
        with self.lock:
            self.use_counts[name] = self.use_counts.get(name, 1) - 1
            if self.use_counts[name] <= 0:
                del self.use_counts[name]

    # ---- entries ----

    def contains(self, name: str) -> bool:
        """Whether the entry exists."""
        with self.lock:
            return name in self.sizes

    def add(self, name: str, size: int) -> None:
        """Adds an unverified entry of `size` bytes that an earlier process wrote."""
        with self.lock:
            self._add(name, size)

    def _add(self, name: str, size: int) -> None:
        self.sizes[name] = size
        self.order.append(name)

    def acquire_installed(self, name: str, size: int, installed_path: str | None) -> None:
        """Turns `size` reserved bytes into an entry in use.

        `installed_path` is the path to which it was renamed; None where the entry existed already.
        """
        with self.lock:
            if installed_path is not None:
                self.leftovers.pop(installed_path, None)  # the rename replaced an empty directory there
                self._add(name, size)
                self.verified.add(name)
            self._acquire(name)
            self.reserved -= size

    def mark_verified(self, name: str) -> None:
        """Records that the entry's contents match its manifest."""
        with self.lock:
            if name in self.sizes:
                self.verified.add(name)

    # ---- room ----

    def eviction_candidates(self, size: int) -> list[str]:
        """The unused entries, least recently used first.

        Raises CacheFullError where `size` bytes would not fit even without them.
        """
        with self.lock:
            unused = [name for name in self.order if name not in self.use_counts]
            evictable_bytes = sum(self.sizes[name] for name in unused)
            if self._total_bytes() + self.reserved - evictable_bytes + size > self.capacity:
                raise self.full_error(size)
            return unused

    def reserve(self, size: int) -> bool:
        """Reserves `size` bytes for an entry; False where they do not fit now."""
        with self.lock:
            if self._total_bytes() + self.reserved + size > self.capacity:
                return False
            self.reserved += size
            return True

    def cancel_reservation(self, size: int) -> None:
        """Cancels the reservation of `size` bytes."""
        with self.lock:
            self.reserved -= size

    def still_evictable(self, names: list[str]) -> list[str]:
        """The entries among `names` that still exist and have no user."""
        with self.lock:
            return [name for name in names if name in self.sizes and name not in self.use_counts]

    def full_error(self, size: int) -> CacheFullError:
        """The error for an entry of `size` bytes that does not fit."""
        return CacheFullError(f"{size / MB:.1f} MB do not fit into the cache beside the entries in use")

    def begin_eviction(self, name: str, path: str) -> EvictedEntry | None:
        """Removes an entry, so that it can't be acquired, and counts its path as a leftover.

        Returns None where the entry is in use or does not exist.
        """
        with self.lock:
            if name not in self.sizes or name in self.use_counts:
                return None
            entry = EvictedEntry(name, self.sizes.pop(name), self.order.index(name), name in self.verified)
            self.order.remove(name)
            self.verified.discard(name)
            self.leftovers[path] = entry.size
            return entry

    def undo_eviction(self, entry: EvictedEntry, path: str) -> None:
        """Restores an entry whose directory could not be renamed."""
        with self.lock:
            del self.leftovers[path]
            self.sizes[entry.name] = entry.size
            self.order.insert(entry.position, entry.name)
            if entry.verified:
                self.verified.add(entry.name)

    # ---- leftovers ----

    def leftover_moved(self, path: str, new_path: str) -> None:
        """Records that a leftover was renamed."""
        with self.lock:
            self.leftovers[new_path] = self.leftovers.pop(path, 0)

    def leftover_remains(self, path: str, size: int) -> None:
        """Records a leftover of `size` bytes, which could not be removed."""
        with self.lock:
            self.leftovers[path] = size

    def leftover_removed(self, path: str) -> None:
        """Records that nothing is left at the path."""
        with self.lock:
            self.leftovers.pop(path, None)
