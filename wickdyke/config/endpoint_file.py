"""The endpoint file: a list of workers as S-expressions, which its writer replaces atomically."""

import os
from dataclasses import dataclass, replace

from wickdyke.config import address, schema, sexpr
from wickdyke.config.builders import Located, located, unlocated
from wickdyke.config.schema import Diagnostics, Field, choice, count, number, record, text
from wickdyke.config.sexpr import Expression


@dataclass(slots=True, frozen=True)
class EndpointRow:
    """One worker in the list.

    `start` changes when a worker restarts under the same name; `state` is ready, draining or gone.
    """

    name: str
    address: str
    zone: str | None
    kind: str | None
    cell: int
    cores: float
    state: str
    start: int


def _rows(worker: list[Located[EndpointRow]]) -> list[Located[EndpointRow]]:
    return worker


WORKER = record(
    located(EndpointRow),
    named=True,
    address=Field(address.read),
    zone=Field(text, None),
    kind=Field(text, None),
    cell=Field(count(0, 10**6), 0),
    cores=Field(number(0.01, 10**6), 1.0),
    state=Field(choice(ready="ready", draining="draining", gone="gone"), "ready"),
    start=Field(count(0, 2**53), 0),
)
WORKERS = record(unlocated(_rows), worker=Field(WORKER, None, repeatable=True))


def _check_name(
    located_row: Located[EndpointRow],
    field_name: str,
    value: str | None,
    names: tuple[str, ...],
    diagnostics: Diagnostics,
) -> None:
    """Reports a zone or kind that the gateway's settings don't name, if they name any."""
    if names and value not in names:
        actual = f'{field_name} "{value}"' if value else f"no {field_name}"
        expected = f"one of {', '.join(names)}, as in the gateway's settings"
        diagnostics.add(located_row.location, actual, expected)


def parse_endpoints(
    expressions: list[Expression], path: str, zones: tuple[str, ...] = (), kinds: tuple[str, ...] = ()
) -> list[EndpointRow]:
    """Returns the rows of a list; their zones and kinds must be among those given, if any are given.

    Raises InvalidConfigError with all errors.
    """
    diagnostics = Diagnostics()
    rows = schema.read_single(expressions, "workers", path, WORKERS, diagnostics)
    for row in rows or ():
        _check_name(row, "zone", row.value.zone, zones, diagnostics)
        _check_name(row, "kind", row.value.kind, kinds, diagnostics)
    names = [row.value.name for row in rows or ()]
    schema.check_unique(names, [row.location for row in rows or ()], "worker", diagnostics)
    return [row.value for row in schema.required(rows, diagnostics)]


def read_endpoints(path: str, zones: tuple[str, ...] = (), kinds: tuple[str, ...] = ()) -> list[EndpointRow]:
    """Returns the rows of a file; paths of sockets are relative to its folder. Raises InvalidConfigError."""
    folder = os.path.dirname(path)
    return [
        replace(row, address=address.resolve(row.address, folder))
        for row in parse_endpoints(sexpr.read(path), path, zones, kinds)
    ]


def _format_row(row: EndpointRow) -> str:
    optional = "".join(
        f" ({field} {sexpr.quote(value)})" for field, value in (("zone", row.zone), ("kind", row.kind)) if value
    )
    return (
        f"  (worker {sexpr.quote(row.name)} (address {sexpr.quote(row.address)}){optional} (cell {row.cell})"
        f" (cores {row.cores:g}) (state {row.state}) (start {row.start}))"
    )


def format_endpoints(rows: list[EndpointRow]) -> str:
    """Returns the text of a list, from which `parse_endpoints` reads the same rows."""
    return "\n".join(["(workers", *map(_format_row, rows)]) + ")\n"
