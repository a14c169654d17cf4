"""File operations of the package cache. All functions raise OSError where a system call fails."""

import os
import stat


def read_file(path: str) -> bytes:
    """The contents of a file."""
    with open(path, "rb") as source:
        return source.read()


def write_new_file(path: str, data: bytes) -> None:
    """Creates a file that must not exist yet, writes it and syncs it to disk."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o644)
    try:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def is_directory(path: str) -> bool:
    """Whether the path is a directory. Unlike os.path.isdir, raises OSError and does not follow symbolic links."""
    return stat.S_ISDIR(os.lstat(path).st_mode)


def list_files(directory: str) -> list[str]:
    """The paths of all files below a directory; raises OSError where one of its directories can't be listed."""
    walk = os.walk(directory, onerror=_raise)
    return [os.path.join(parent, name) for parent, _, names in walk for name in names]


def read_tree(directory: str) -> list[tuple[str, bytes]]:
    """(path relative to the directory, with slashes; contents) of each file below it."""
    return [(os.path.relpath(path, directory).replace(os.sep, "/"), read_file(path)) for path in list_files(directory)]


def disk_size(path: str) -> int:
    """The bytes of a file, or of all files below a directory."""
    if not is_directory(path):
        return os.lstat(path).st_size
    return sum(os.lstat(file).st_size for file in list_files(path))


def _raise(error: OSError) -> None:
    raise error
