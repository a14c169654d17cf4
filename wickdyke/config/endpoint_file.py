"""The worker list: a file of S-expressions, replaced whole by whoever writes it."""

import os
from dataclasses import dataclass, replace

from wickdyke.config import address, schema, sexpr
from wickdyke.config.schema import Diagnostics, Field, choice, count, number, record, text
from wickdyke.config.sexpr import SourceLocation


@dataclass(slots=True, frozen=True)
class EndpointRow:
    """One worker as the list tells of it; `start` changes when it was started anew under the same name."""

    name: str
    address: str
    zone: str | None
    kind: str | None
    cell: int
    cores: float
    state: str
    start: int


def _row(location: SourceLocation, **values) -> tuple[EndpointRow, SourceLocation]:
    return EndpointRow(**values), location


WORKER = record(
    _row,
    named=True,
    address=Field(address.read),
    zone=Field(text, None),
    kind=Field(text, None),
    cell=Field(count(0, 10**6), 0),
    cores=Field(number(0.01, 10**6), 1.0),
    state=Field(choice(ready="ready", draining="draining", gone="gone"), "ready"),
    start=Field(count(0, 2**53), 0),
)
WORKERS = record(lambda location, worker: worker, worker=Field(WORKER, None, many=True))


def parse_endpoints(
    forms: list, path: str, zones: tuple[str, ...] = (), kinds: tuple[str, ...] = ()
) -> list[EndpointRow]:
    """The rows of a list, checked also against the zones and kinds that the gateway knows, where it names any."""
    notes = Diagnostics()
    form = schema.single_expression(forms, "workers", path, notes)
    found = WORKERS(form, notes) if form is not None else None
    for row, location in found or ():
        for what, value, known in (("zone", row.zone, zones), ("kind", row.kind, kinds)):
            if known and value not in known:
                said = f'{what} "{value}"' if value else f"no {what}"
                notes.add(location, said, f"one of {', '.join(known)}, as the gateway's file names them")
    schema.check_unique(
        [row.name for row, _ in found or ()], [location for _, location in found or ()], "worker", notes
    )
    notes.raise_if_any()
    return [row for row, _ in found]


def read_endpoints(path: str, zones: tuple[str, ...] = (), kinds: tuple[str, ...] = ()) -> list[EndpointRow]:
    """The rows of a file; raises Unusable with all that is wrong. Paths of sockets hang on its folder."""
    folder = os.path.dirname(path)
    return [
        replace(row, address=address.beside(row.address, folder))
        for row in parse_endpoints(sexpr.read(path), path, zones, kinds)
    ]


def format_endpoints(rows_: list[EndpointRow]) -> str:
    """The text of a list, as `read` takes it."""

    def quoted(value: str) -> str:
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'

    lines = ["(workers"]
    for row in rows_:
        places = "".join(
            f" ({what} {quoted(value)})" for what, value in (("zone", row.zone), ("kind", row.kind)) if value
        )
        lines.append(
            f"  (worker {quoted(row.name)} (address {quoted(row.address)}){places} (cell {row.cell})"
            f" (cores {row.cores:g}) (state {row.state}) (start {row.start}))"
        )
    return "\n".join(lines) + ")\n"
