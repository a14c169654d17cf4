"""Where packages come from: a folder here; the store service in `store_client.py`. Both have the same interface."""

import os
import shutil
from dataclasses import dataclass

from wickdyke.worker import package


class Unknown(Exception):
    """No package of that name."""


@dataclass(slots=True, frozen=True)
class Found:
    """An archive in a store."""

    name: str
    version: str
    digest: str
    size: int
    path: str = ""


def split(program: str) -> tuple[str, str | None]:
    """(name, version) of a program as RPCs name it: NAME for the newest, or NAME@VERSION; raises Unknown."""
    name, at, version = program.partition("@")
    if not package.named(name) or at and not package.VERSION.fullmatch(version):
        raise Unknown(f"{program[:80]!r} names no package, expected NAME or NAME@VERSION")
    return name, version if at else None


class Folder:
    """A folder of archives NAME@VERSION.zip, as `wickdyke pack` writes them; looked through anew at each question, so
    that a package put there holds from then on. Digests are kept as long as a file stays as it is."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.digests: dict[tuple, str] = {}

    def find(self, program: str) -> Found:
        """The archive of a program; raises Unknown, or OSError where the folder can't be read for now."""
        name, version = split(program)
        where, short = os.path.split(os.path.join(self.path, name))
        held: dict[tuple[int, ...], str] = {}
        try:
            names = os.listdir(where)
        except (FileNotFoundError, NotADirectoryError):
            names = []
        for each in names:
            if each.startswith(short + "@") and each.endswith(".zip"):
                number = each[len(short) + 1 : -len(".zip")]
                if package.VERSION.fullmatch(number) and version in (None, number):
                    held[package.order(number)] = number
        if not held:
            raise Unknown(f"no package {program} in {self.path}")
        number = held[max(held)]
        path = os.path.join(where, f"{short}@{number}.zip")
        try:
            seen = os.stat(path)
            mark = (path, seen.st_mtime_ns, seen.st_ino, seen.st_size)
            if mark not in self.digests:
                self.digests = {key: value for key, value in self.digests.items() if key[0] != path}
                self.digests[mark] = package.file_digest(path)
        except FileNotFoundError as bad:  # removed since it was listed
            raise Unknown(f"{path}: {bad.strerror}") from None
        return Found(name, number, self.digests[mark], seen.st_size, path)

    def fetch(self, found: Found, path: str) -> None:
        """Copies the archive there; raises OSError."""
        shutil.copyfile(found.path, path)
