"""Digests of packages: `sha256:` and the SHA-256 in hexadecimal."""

import hashlib
from collections.abc import Iterable

PackageFile = tuple[str, bytes]  # path inside the package, with slashes; contents


def content_digest(files: Iterable[PackageFile]) -> str:
    """The digest of the names and contents of files, in any order; the manifest must not be among them."""
    total = hashlib.sha256()
    for name, data in sorted(files):
        total.update(f"{len(name.encode())}:{name}:{len(data)}:".encode())
        total.update(data)
    return "sha256:" + total.hexdigest()


def file_digest(path: str) -> str:
    """The digest of a file's bytes; raises OSError."""
    with open(path, "rb") as source:
        return "sha256:" + hashlib.file_digest(source, "sha256").hexdigest()
