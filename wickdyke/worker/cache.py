"""The cache of unpacked packages: a bounded directory whose entries are complete or absent, whatever fails."""

import errno
import os
from collections.abc import Callable

from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.worker import manifest, package, package_digest
from wickdyke.worker.cache_directory import CacheDirectory
from wickdyke.worker.cache_files import read_file, read_tree, write_new_file
from wickdyke.worker.cache_index import MB, CacheIndex
from wickdyke.worker.manifest import Manifest
from wickdyke.worker.package_digest import PackageFile

TEMPORARY_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EIO)  # errors of a directory that may work again later
MAX_ENTRY_READS = 2  # by one load: an entry that can't be read is removed and fetched again once


class Cache:
    """Packages by the digest of their archive. Evicts the least recently used first, and never one in use.

    A failing system call fails only the `acquire` that made it. A file or directory that could not be removed is a
    leftover: it counts for the size of the cache, and each `acquire` tries to remove it again.
    """

    def __init__(self, path: str, capacity_mb: float) -> None:
        """Raises OSError where the directory can never be used.

        After a temporary error (TEMPORARY_ERRORS), the next `acquire` reads the directory again.
        """
        self.index = CacheIndex(capacity_mb * MB)
        self.directory = CacheDirectory(path, self.index)
        try:
            self.directory.load()
        except OSError as error:
            if error.errno not in TEMPORARY_ERRORS:
                raise

    @property
    def bytes(self) -> int:
        """The bytes of entries and leftovers."""
        return self.index.total_bytes

    def acquire(self, digest: str, fetch: Callable[[str], None]) -> tuple[Manifest, str]:
        """(manifest, directory) of the archive with that digest, which stays in use until as many calls of `release`.

        `fetch(path)` is called to write the archive to a path if it is not in the cache. Raises CacheFullError,
        InvalidConfigError, OSError or any error of `fetch`; the entry is not in use then, and written files are removed
        or leftovers.
        """
        self.directory.load()
        self.directory.remove_leftovers()
        name = _entry_name(digest)
        failure: Exception | None = None
        for _ in range(MAX_ENTRY_READS):
            if not self.index.acquire_or_begin_fetch(name):
                try:
                    self._fetch(name, digest, fetch)
                finally:
                    self.index.end_fetch(name)
            self.directory.record_use(name)
            try:
                return self._read_manifest(name), self.directory.entry_path(name)
            except (OSError, InvalidConfigError) as error:
                failure = error
                self.release(digest)
                self.directory.evict(name)
        path = self.directory.entry_path(name)
        raise manifest.invalid_package(
            path, f"a cache entry that can't be read ({failure})", "an entry as it was written"
        )

    def release(self, digest: str) -> None:
        """Removes one user of an entry that was acquired."""
        self.index.release(_entry_name(digest))

    def _read_manifest(self, name: str) -> Manifest:
        """The manifest of an entry; raises InvalidConfigError, OSError.

        Verifies the contents of an entry that an earlier process wrote: a kill leaves no incomplete entry, but a power
        failure or a failing disk may.
        """
        path = self.directory.entry_path(name)
        stated = manifest.parse(read_file(os.path.join(path, manifest.FILE_NAME)), manifest.FILE_NAME)
        if name not in self.index.verified:
            files = [file for file in read_tree(path) if file[0] != manifest.FILE_NAME]
            package.check_digest(path, stated, files)
            self.index.mark_verified(name)
        return stated

    def _fetch(self, name: str, digest: str, fetch: Callable[[str], None]) -> None:
        """Fetches an archive and installs it as an entry, in use."""
        directory = self.directory.temporary_path()
        archive = directory + ".zip"
        reserved = 0
        try:
            fetch(archive)
            files = _read_archive(archive, digest)
            size = sum(len(data) for _, data in files)
            self.directory.discard(archive)
            self.directory.remove_leftovers()
            self.directory.make_room(size)
            reserved = size
            for path, data in files:
                target = os.path.join(directory, path)
                os.makedirs(os.path.dirname(target), exist_ok=True)
                write_new_file(target, data)
            self.directory.install(name, directory, size)
            reserved = 0
        finally:
            self.index.cancel_reservation(reserved)
            self.directory.discard(directory, reserved)
            self.directory.discard(archive)


def _entry_name(digest: str) -> str:
    return digest.partition(":")[2]


def _read_archive(path: str, digest: str) -> list[PackageFile]:
    """The files of an archive with its manifest; raises InvalidConfigError where its digest is not `digest`."""
    actual = package_digest.file_digest(path)
    if actual != digest:
        raise manifest.invalid_package(
            path, f"an archive with the digest {actual}", f"{digest}, as stated by the store"
        )
    stated, files = package.from_zip(path)
    return [*files, (manifest.FILE_NAME, manifest.render(stated, stated.digest or "").encode())]
