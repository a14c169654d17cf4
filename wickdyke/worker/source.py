"""The interface of a package store, and a store that is a folder of archives."""

import os
import shutil
from dataclasses import dataclass
from typing import Protocol

from wickdyke.worker import manifest, package_digest

MAX_SHOWN_NAME_LENGTH = 80  # characters of a function's name in an error message
ARCHIVE_SUFFIX = ".zip"


class PackageNotFoundError(Exception):
    """The store has no package of that name or version."""


@dataclass(slots=True, frozen=True)
class StoredPackage:
    """An archive in a store. `path` is empty where the store is a service."""

    name: str
    version: str
    digest: str
    size: int  # bytes
    path: str = ""


class PackageStore(Protocol):
    """A store from which a worker loads packages."""

    def find(self, function: str) -> StoredPackage:
        """The archive of a function, given as NAME for the newest version or as NAME@VERSION.

        Raises PackageNotFoundError, or OSError where the store can't be read at present.
        """

    def fetch(self, stored: StoredPackage, path: str) -> None:
        """Writes the archive to that path; raises PackageNotFoundError, OSError."""


@dataclass(slots=True, frozen=True)
class FileVersion:
    """Identifies the contents of a file by its metadata, which a write changes."""

    path: str
    modified_ns: int
    inode: int
    size: int


def split_name(function: str) -> tuple[str, str | None]:
    """(name, version) of a function as in requests: NAME with None for the newest version, or NAME@VERSION.

    Raises PackageNotFoundError where `function` is not a valid name of a package.
    """
    name, separator, version = function.partition("@")
    is_version = not separator or manifest.VERSION_PATTERN.fullmatch(version)
    if not manifest.is_package_name(name) or not is_version:
        raise PackageNotFoundError(
            f"{function[:MAX_SHOWN_NAME_LENGTH]!r} names no package, expected NAME or NAME@VERSION"
        )
    return name, version if separator else None


class FolderStore:
    """A folder of archives NAME@VERSION.zip, as `wickdyke pack` writes them.

    Each `find` lists the folder again, so that a new package is found immediately. The digest of a file is computed
    again only after the file has changed.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self.digests: dict[FileVersion, str] = {}

    def find(self, function: str) -> StoredPackage:
        """The archive of a function; raises PackageNotFoundError, or OSError where the folder can't be read."""
        name, version = split_name(function)
        versions = self._versions(name)
        if version is not None:
            versions = [candidate for candidate in versions if candidate == version]
        if not versions:
            raise PackageNotFoundError(f"no package {function} in {self.path}")
        by_key = {manifest.version_key(candidate): candidate for candidate in versions}
        newest = by_key[max(by_key)]
        path = os.path.join(self.path, f"{name}@{newest}{ARCHIVE_SUFFIX}")
        try:
            status = os.stat(path)
            file_version = FileVersion(path, status.st_mtime_ns, status.st_ino, status.st_size)
            digest = self._digest(file_version)
        except FileNotFoundError as error:  # removed after the folder was listed
            raise PackageNotFoundError(f"{path}: {error.strerror}") from None
        return StoredPackage(name, newest, digest, status.st_size, path)

    def _versions(self, name: str) -> list[str]:
        """The versions of a package, in any order; raises OSError."""
        folder, short_name = os.path.split(os.path.join(self.path, name))
        prefix = short_name + "@"
        try:
            file_names = os.listdir(folder)
        except (FileNotFoundError, NotADirectoryError):
            return []
        versions = [
            file_name[len(prefix) : -len(ARCHIVE_SUFFIX)]
            for file_name in file_names
            if file_name.startswith(prefix) and file_name.endswith(ARCHIVE_SUFFIX)
        ]
        return [version for version in versions if manifest.VERSION_PATTERN.fullmatch(version)]

    def _digest(self, file_version: FileVersion) -> str:
        digest = self.digests.get(file_version)
        if digest is None:
            path = file_version.path
            self.digests = {known: value for known, value in self.digests.items() if known.path != path}
            digest = self.digests[file_version] = package_digest.file_digest(path)
        return digest

    def fetch(self, stored: StoredPackage, path: str) -> None:
        """Copies the archive to that path; raises OSError."""
        shutil.copyfile(stored.path, path)
