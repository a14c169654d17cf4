"""Reads, checks and writes the manifest of a package.

(package "tags/agency-7"
  (version "1.2.0") (entry "main:run") (memory 64 MB) (lanes 2) (run-time 5 s)
  (environment (set "MODEL" "small"))
  (digest "sha256:..."))     ; of all other files; `wickdyke pack` writes it
"""

import re
from dataclasses import dataclass

from wickdyke.config import schema, sexpr
from wickdyke.config.schema import Diagnostics, Field, count, duration, record, size, text
from wickdyke.config.sexpr import Atom, AtomKind, Diagnostic, Expression, InvalidConfigError, SourceLocation

FILE_NAME = "package.sexp"
NAME_PATTERN = re.compile(r"[A-Za-z0-9_][A-Za-z0-9._-]*(/[A-Za-z0-9_][A-Za-z0-9._-]*)*")
MAX_NAME_LENGTH = 200  # characters
VERSION_PATTERN = re.compile(r"[0-9]+(\.[0-9]+){0,3}")
ENTRY_PATTERN = re.compile(r"[A-Za-z_]\w*(\.[A-Za-z_]\w*)*:[A-Za-z_]\w*")
DIGEST_PATTERN = re.compile(r"sha256:[0-9a-f]{64}")


@dataclass(slots=True, frozen=True)
class Manifest:
    """What a package states about itself. Memory is MB, times are ms."""

    name: str
    version: str
    entry: str  # MODULE:FUNCTION
    memory: float
    concurrency: int  # requests that one replica runs at the same time; `lanes` in the file
    run_timeout: float  # `run-time` in the file
    environment: tuple[tuple[str, str], ...]
    digest: str | None  # of all other files; None until the package is packed
    location: SourceLocation


def _matching(pattern: re.Pattern[str], expected: str) -> schema.Reader[str]:
    def reader(expression: Expression, diagnostics: Diagnostics) -> str | None:
        value = text(expression, diagnostics)
        if value is not None and not pattern.fullmatch(value):
            atom = expression.items[0]
            assert isinstance(atom, Atom)  # since `text` returned a value
            diagnostics.add(atom.location, atom.text, expected)
            return None
        return value

    return reader


def _environment(expression: Expression, diagnostics: Diagnostics) -> tuple[tuple[str, str], ...]:
    """(environment (set "KEY" "value") ...)"""
    variables: dict[str, str] = {}
    for item in expression.items:
        atoms = [value for value in item.items if isinstance(value, Atom)] if isinstance(item, Expression) else []
        kinds = [atom.kind for atom in atoms]
        if not isinstance(item, Expression) or item.name != "set" or kinds != [AtomKind.STRING, AtomKind.STRING]:
            diagnostics.add(item.location, schema.describe(item), '(set "NAME" "VALUE")')
            continue
        # The check of `kinds` skips nested expressions beside two strings; they raise AttributeError here.
        key, value = (str(atom.value) for atom in item.items)  # type: ignore[union-attr]  # see the comment above
        if not key or "=" in key or "\0" in key + value:
            diagnostics.add(item.location, f'the variable "{key}"', "a name without = in it")
        elif key in variables:
            diagnostics.add(item.location, f'"{key}" a second time', "each variable once")
        else:
            variables[key] = value
    return tuple(variables.items())


MANIFEST_READER = record(
    Manifest,
    named=True,
    version=Field(_matching(VERSION_PATTERN, 'numbers with dots, as "1.2.0"')),
    entry=Field(_matching(ENTRY_PATTERN, 'a module and a function, as "main:run"')),
    memory=Field(size(1.0, 1e6)),
    lanes=Field(count(1, 256), 1, parameter="concurrency"),
    run_time=Field(duration(1.0), 60000.0, parameter="run_timeout"),
    environment=Field(_environment, ()),
    digest=Field(_matching(DIGEST_PATTERN, '"sha256:" and 64 hexadecimal digits'), None),
)


def parse(content: bytes, path: str) -> Manifest:
    """The manifest in a file's bytes; raises InvalidConfigError with a diagnostic for each fault."""
    try:
        expressions = sexpr.parse(content.decode("utf-8"), path)
    except UnicodeDecodeError as error:
        raise invalid_package(path, f"byte {error.start} that is not UTF-8", "UTF-8") from None
    diagnostics = Diagnostics()
    manifest = schema.read_single(expressions, "package", path, MANIFEST_READER, diagnostics)
    if manifest is not None and not is_package_name(manifest.name):
        expected = f"letters, digits, . _ - and / between parts, at most {MAX_NAME_LENGTH}"
        diagnostics.add(manifest.location, f'the name "{manifest.name}"', expected)
    return schema.required(manifest, diagnostics)


def is_package_name(name: str) -> bool:
    """Whether a package may have this name."""
    return bool(NAME_PATTERN.fullmatch(name)) and len(name) <= MAX_NAME_LENGTH and ".." not in name.split("/")


def version_key(version: str) -> tuple[int, ...]:
    """The sort key of a version: its numbers."""
    return tuple(int(part) for part in version.split("."))


def invalid_package(path: str, actual: str, expected: str, fix: str = "") -> InvalidConfigError:
    """The error for a package, located at the start of the file `path`."""
    return InvalidConfigError([Diagnostic(SourceLocation(path, 1, 1), actual, expected, fix)])


def render(manifest: Manifest, digest: str) -> str:
    """The manifest as the text of a file, with the given digest."""
    variables = "".join(f" (set {_quote(key)} {_quote(value)})" for key, value in manifest.environment)
    return (
        f"(package {_quote(manifest.name)}\n  (version {_quote(manifest.version)}) (entry {_quote(manifest.entry)})"
        f" (memory {manifest.memory!r} MB)\n  (lanes {manifest.concurrency}) (run-time {manifest.run_timeout!r} ms)\n"
        + (f"  (environment{variables})\n" if variables else "")
        + f"  (digest {_quote(digest)}))\n"
    )


def _quote(value: str) -> str:
    return '"' + value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'
