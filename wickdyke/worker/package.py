"""Packages: a manifest and Python code, as a folder or a zip. What is read is checked before anything of it is used.

(package "tags/agency-7"
  (version "1.2.0") (entry "main:run") (memory 64 MB) (lanes 2) (run-time 5 s)
  (environment (set "MODEL" "small"))
  (digest "sha256:..."))     ; of all other files; `wickdyke pack` writes it
"""

import contextlib
import hashlib
import io
import os
import re
import stat
import zipfile
import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from wickdyke.config import schema, sexpr
from wickdyke.config.schema import Diagnostics, Field, count, record, size, span, text
from wickdyke.config.sexpr import Atom, Diagnostic, Expression, InvalidConfigError, SourceLocation

MANIFEST = "package.sexp"
FILES, BYTES = 10_000, 2 << 30  # of one package; more is refused
NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9._-]*(/[A-Za-z0-9_][A-Za-z0-9._-]*)*")
VERSION = re.compile(r"[0-9]+(\.[0-9]+){0,3}")
ENTRY = re.compile(r"[A-Za-z_]\w*(\.[A-Za-z_]\w*)*:[A-Za-z_]\w*")
DIGEST = re.compile(r"sha256:[0-9a-f]{64}")
BLOCK = 1 << 20


@dataclass(slots=True, frozen=True)
class Manifest:
    """What a package states of itself. Memory is MB, times are ms."""

    name: str
    version: str
    entry: str
    memory: float
    lanes: int
    run_time: float
    environment: tuple[tuple[str, str], ...]
    digest: str | None
    spot: SourceLocation


def _matching(pattern: re.Pattern, expected: str) -> schema.Reader:
    def reader(form: Expression, notes: Diagnostics) -> str | None:
        value = text(form, notes)
        if value is not None and not pattern.fullmatch(value):
            notes.add(form.items[0].location, form.items[0].text, expected)
            return None
        return value

    return reader


def _environment(form: Expression, notes: Diagnostics) -> tuple[tuple[str, str], ...]:
    """(environment (set "KEY" "value") ...)"""
    found: dict[str, str] = {}
    for item in form.items:
        kinds = [each.kind for each in item.items if isinstance(each, Atom)] if isinstance(item, Expression) else []
        if not isinstance(item, Expression) or item.name != "set" or kinds != ["string", "string"]:
            notes.add(item.location, schema.describe(item), '(set "NAME" "VALUE")')
            continue
        key, value = (str(each.value) for each in item.items)
        if not key or "=" in key or "\0" in key + value:
            notes.add(item.location, f'the variable "{key}"', "a name without = in it")
        elif key in found:
            notes.add(item.location, f'"{key}" a second time', "each variable once")
        else:
            found[key] = value
    return tuple(found.items())


PACKAGE = record(
    lambda location, **values: Manifest(spot=location, **values),
    named=True,
    version=Field(_matching(VERSION, 'numbers with dots, as "1.2.0"')),
    entry=Field(_matching(ENTRY, 'a module and a function, as "main:run"')),
    memory=Field(size(1.0, 1e6)),
    lanes=Field(count(1, 256), 1),
    run_time=Field(span(1.0), 60000.0),
    environment=Field(_environment, ()),
    digest=Field(_matching(DIGEST, '"sha256:" and 64 hexadecimal digits'), None),
)


def manifest(content: bytes, path: str) -> Manifest:
    """The manifest in these bytes; raises Unusable with all that is wrong."""
    try:
        forms = sexpr.parse(content.decode("utf-8"), path)
    except UnicodeDecodeError as bad:
        raise InvalidConfigError(
            [Diagnostic(SourceLocation(path, 1, 1), f"byte {bad.start} that is no UTF-8", "UTF-8")]
        ) from None
    notes = Diagnostics()
    form = schema.single_expression(forms, "package", path, notes)
    made = PACKAGE(form, notes) if form is not None else None
    if made is not None and not named(made.name):
        notes.add(made.spot, f'the name "{made.name}"', "letters, digits, . _ - and / between parts, at most 200")
    notes.raise_if_any()
    return made


def named(name: str) -> bool:
    """Whether a package may be called so."""
    return bool(NAME.fullmatch(name)) and len(name) <= 200 and ".." not in name.split("/")


def refuse(path: str, found: str, expected: str, fix: str = "") -> InvalidConfigError:
    """What is raised of a package as a whole."""
    return InvalidConfigError([Diagnostic(SourceLocation(path, 1, 1), found, expected, fix)])


def content_digest(files: Iterable[tuple[str, bytes]]) -> str:
    """Of names and contents, in the order of names; the manifest is not among them."""
    total = hashlib.sha256()
    for name, data in sorted(files):
        total.update(f"{len(name.encode())}:{name}:{len(data)}:".encode())
        total.update(data)
    return "sha256:" + total.hexdigest()


def file_digest(path: str) -> str:
    """Of a file's bytes."""
    with open(path, "rb") as source:
        return "sha256:" + hashlib.file_digest(source, "sha256").hexdigest()


def _safe(name: str) -> bool:
    parts = name.split("/")
    return (
        bool(name)
        and not name.startswith("/")
        and "\\" not in name
        and "\0" not in name
        and all(part not in ("", ".", "..") for part in parts)
    )


def from_folder(path: str) -> tuple[Manifest, list[tuple[str, bytes]]]:
    """(manifest, files by name) of a folder; raises Unusable."""
    files, total = [], 0
    if not os.path.isdir(path):
        raise refuse(path, "no folder", "a folder with a " + MANIFEST)
    for where, folders, names in os.walk(path):
        folders[:] = sorted(each for each in folders if each != "__pycache__" and not each.startswith("."))
        for name in sorted(names):
            whole = os.path.join(where, name)
            if name.startswith(".") or name.endswith(".pyc"):
                continue
            if not stat.S_ISREG(os.lstat(whole).st_mode):
                raise refuse(whole, "a link or special file", "plain files only")
            with open(whole, "rb") as source:
                data = source.read(BYTES + 1)
            total += len(data)
            files.append((os.path.relpath(whole, path).replace(os.sep, "/"), data))
            if len(files) > FILES or total > BYTES:
                raise refuse(path, f"over {FILES} files or {BYTES >> 20} MB", "less")
    return _checked(path, files)


def from_zip(path: str) -> tuple[Manifest, list[tuple[str, bytes]]]:
    """(manifest, files by name) of an archive, read whole and checked by its bytes; raises Unusable."""
    files, total, seen = [], 0, set()
    try:
        with zipfile.ZipFile(path) as archive:
            for entry in archive.infolist():
                if entry.is_dir():
                    continue
                if not _safe(entry.filename):
                    raise refuse(path, f"the entry {entry.filename[:80]!r}", "paths that stay inside the package")
                if entry.filename in seen:
                    raise refuse(path, f"the entry {entry.filename[:80]!r} twice", "each once")
                if entry.external_attr >> 16 and not stat.S_ISREG(entry.external_attr >> 16):
                    raise refuse(
                        path, f"the entry {entry.filename[:80]!r} that is a link or special file", "plain files only"
                    )
                seen.add(entry.filename)
                with archive.open(entry) as source:  # by what comes out, not by what the directory says
                    data = source.read(BYTES - total + 1)
                total += len(data)
                files.append((entry.filename, data))
                if len(files) > FILES or total > BYTES:
                    raise refuse(path, f"over {FILES} files or {BYTES >> 20} MB", "less")
    except (
        zipfile.BadZipFile,
        zipfile.LargeZipFile,
        zlib.error,
        EOFError,
        NotImplementedError,
        RuntimeError,
        ValueError,
    ) as bad:
        raise refuse(path, f"an archive that can't be read ({bad})", "a whole zip") from None
    except OSError as bad:
        raise refuse(path, bad.strerror or str(bad), "a file that can be read") from None
    made, files = _checked(path, files)
    if made.digest is None:
        raise refuse(path, f"a {MANIFEST} without a digest", "one that `wickdyke pack` wrote")
    return made, files


def _checked(path: str, files: list[tuple[str, bytes]]) -> tuple[Manifest, list[tuple[str, bytes]]]:
    by_name = dict(files)
    if MANIFEST not in by_name:
        raise refuse(path, f"no {MANIFEST}", "one at its top")
    made = manifest(by_name.pop(MANIFEST), os.path.join(path, MANIFEST))
    module = made.entry.partition(":")[0].replace(".", "/")
    if not {module + ".py", module + "/__init__.py"} & by_name.keys():
        raise refuse(path, f"no module for the entry {made.entry}", f"{module}.py")
    if made.digest is not None and (have := content_digest(by_name.items())) != made.digest:
        raise refuse(path, f"contents with the digest {have}", f"{made.digest}, as its manifest says")
    return made, list(by_name.items())


def written(made: Manifest, digest: str) -> str:
    """The manifest's text with that digest."""

    def quoted(value: str) -> str:
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'

    sets = "".join(f" (set {quoted(key)} {quoted(value)})" for key, value in made.environment)
    return (
        f"(package {quoted(made.name)}\n  (version {quoted(made.version)}) (entry {quoted(made.entry)})"
        f" (memory {made.memory!r} MB)\n  (lanes {made.lanes}) (run-time {made.run_time!r} ms)\n"
        + (f"  (environment{sets})\n" if sets else "")
        + f"  (digest {quoted(digest)}))\n"
    )


def pack(folder: str, target: str) -> tuple[Manifest, str]:
    """Writes the archive of a folder as `target`/NAME@VERSION.zip, the same bytes for the same files.

    Gives (manifest, path). A digest stated in the folder's manifest is not heeded: this writes it anew.
    """
    try:
        made, files = from_folder(folder)
    except InvalidConfigError as bad:
        if not any("as its manifest says" in trouble.expected for trouble in bad.diagnostics):
            raise
        raise refuse(
            folder, "a digest in the manifest that does not fit", "none: pack writes it", "take (digest ...) out"
        ) from None
    digest = content_digest(files)
    held = io.BytesIO()
    with zipfile.ZipFile(held, "w", zipfile.ZIP_DEFLATED) as archive:
        for name, data in sorted([(MANIFEST, written(made, digest).encode()), *files]):
            entry = zipfile.ZipInfo(name, (1980, 1, 1, 0, 0, 0))
            entry.external_attr, entry.compress_type = (stat.S_IFREG | 0o644) << 16, zipfile.ZIP_DEFLATED
            archive.writestr(entry, data)
    path = os.path.join(target, f"{made.name}@{made.version}.zip")
    os.makedirs(os.path.dirname(path), exist_ok=True)
    try:
        with open(path + ".new", "wb") as sink:
            sink.write(held.getbuffer())
            sink.flush()
            os.fsync(sink.fileno())
        os.replace(path + ".new", path)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(path + ".new")
        raise
    return made, path


def order(version: str) -> tuple[int, ...]:
    """Versions sort by it."""
    return tuple(int(part) for part in version.split("."))
