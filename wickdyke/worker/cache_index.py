"""The cache's bookkeeping in memory: which entries there are, their sizes, their users and their order of use.

Nothing here touches the disk.
"""

import threading
from dataclasses import dataclass

MB = 1 << 20


class CacheFullError(Exception):
    """There is no room: what would have to be removed for it is in use."""


@dataclass(slots=True, frozen=True)
class EvictedEntry:
    """An entry taken out of the index, with what it takes to put it back."""

    name: str
    size: int  # bytes
    position: int  # in the order of use
    verified: bool


class CacheIndex:
    """Entries by name. Thread-safe: each method holds the lock, none waits for the disk."""

    def __init__(self, capacity: float) -> None:
        """`capacity` is in bytes."""
        self.capacity = capacity
        self.lock = threading.Lock()
        self.use_counts: dict[str, int] = {}
        self.sizes: dict[str, int] = {}  # bytes
        self.order: list[str] = []  # least recently used first
        self.reserved = 0  # bytes of entries that are being written
        self.leftovers: dict[str, int] = {}  # bytes by path of what could not be removed
        self.verified: set[str] = set()  # entries whose contents were checked, or written by this process
        self.fetching: set[str] = set()  # entries that some load fetches
        self.fetch_finished = threading.Condition(self.lock)

    @property
    def total_bytes(self) -> int:
        """Bytes of all entries and leftovers."""
        with self.lock:
            return self._total_bytes()

    def _total_bytes(self) -> int:
        return sum(self.sizes.values()) + sum(self.leftovers.values())

    # ---- users ----

    def acquire_or_begin_fetch(self, name: str) -> bool:
        """True where the entry exists; it is in use then. False where the caller has to fetch it.

        Waits for another load that fetches it; where that one fails, the caller has to.
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
        """The caller's fetch has succeeded or failed: loads that wait for it go on."""
        with self.lock:
            self.fetching.discard(name)
            self.fetch_finished.notify_all()

    def _acquire(self, name: str) -> None:
        self.use_counts[name] = self.use_counts.get(name, 0) + 1
        self.order.remove(name)
        self.order.append(name)

    def release(self, name: str) -> None:
        """One user less."""
        with self.lock:
            self.use_counts[name] = self.use_counts.get(name, 1) - 1
            if self.use_counts[name] <= 0:
                del self.use_counts[name]

    # ---- entries ----

    def contains(self, name: str) -> bool:
        """Whether there is such an entry."""
        with self.lock:
            return name in self.sizes

    def add(self, name: str, size: int) -> None:
        """An entry that an earlier process left, of so many bytes, not verified yet."""
        with self.lock:
            self._add(name, size)

    def _add(self, name: str, size: int) -> None:
        self.sizes[name] = size
        self.order.append(name)

    def acquire_installed(self, name: str, size: int, replaced_path: str | None) -> None:
        """Turns reserved bytes into an entry in use. `replaced_path` is its path; None where it existed already."""
        with self.lock:
            if replaced_path is not None:
                self.leftovers.pop(replaced_path, None)  # an empty directory that the rename replaced
                self._add(name, size)
                self.verified.add(name)
            self._acquire(name)
            self.reserved -= size

    def mark_verified(self, name: str) -> None:
        """The entry's contents are those that its manifest states."""
        with self.lock:
            if name in self.sizes:
                self.verified.add(name)

    # ---- room ----

    def eviction_candidates(self, size: int) -> list[str]:
        """Unused entries, least recently used first. Raises CacheFullError where removing all would not make room."""
        with self.lock:
            unused = [name for name in self.order if name not in self.use_counts]
            evictable_bytes = sum(self.sizes[name] for name in unused)
            if self._total_bytes() + self.reserved - evictable_bytes + size > self.capacity:
                raise self.full_error(size)
            return unused

    def reserve(self, size: int) -> bool:
        """Reserves so many bytes for an entry; False where there is no room for it now."""
        with self.lock:
            if self._total_bytes() + self.reserved + size > self.capacity:
                return False
            self.reserved += size
            return True

    def cancel_reservation(self, size: int) -> None:
        """Gives reserved bytes back."""
        with self.lock:
            self.reserved -= size

    def still_evictable(self, names: list[str]) -> list[str]:
        """Those that still exist and have no user."""
        with self.lock:
            return [name for name in names if name in self.sizes and name not in self.use_counts]

    def full_error(self, size: int) -> CacheFullError:
        """The error for so many bytes that do not fit."""
        return CacheFullError(f"{size / MB:.1f} MB do not fit beside what is in use")

    def begin_eviction(self, name: str, path: str) -> EvictedEntry | None:
        """Takes an entry out, so that nobody acquires it, and counts its path as a leftover. None where it is in use
        or gone."""
        with self.lock:
            if name not in self.sizes or name in self.use_counts:
                return None
            entry = EvictedEntry(name, self.sizes.pop(name), self.order.index(name), name in self.verified)
            self.order.remove(name)
            self.verified.discard(name)
            self.leftovers[path] = entry.size
            return entry

    def undo_eviction(self, entry: EvictedEntry, path: str) -> None:
        """Puts an entry back that could not be moved away."""
        with self.lock:
            del self.leftovers[path]
            self.sizes[entry.name] = entry.size
            self.order.insert(entry.position, entry.name)
            if entry.verified:
                self.verified.add(entry.name)

    # ---- leftovers ----

    def leftover_moved(self, path: str, new_path: str) -> None:
        """What counted as leftover has another path."""
        with self.lock:
            self.leftovers[new_path] = self.leftovers.pop(path, 0)

    def leftover_remains(self, path: str, size: int) -> None:
        """Something could not be removed, and takes so many bytes."""
        with self.lock:
            self.leftovers[path] = size

    def leftover_removed(self, path: str) -> None:
        """Nothing is left at the path."""
        with self.lock:
            self.leftovers.pop(path, None)
