"""The endpoint list: merges the rows of the endpoint file with the workers' hellos. Uses no I/O and no clock.

A worker is reported to the router once its hello has been received, so that its age is known before a request is sent
to it. A worker that can't be reached is reported as just started: the router then sends it few requests, as to a worker
that is warming up.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from wickdyke.config.endpoint_file import EndpointRow
from wickdyke.gateway.interfaces import EndpointListChange, WorkerHello
from wickdyke.routing.model import Endpoint, EndpointState


@dataclass(slots=True)
class ListedWorker:
    """One worker: its row, the number of its present start (0: unknown) and the time of that start (monotonic ms).

    `past_starts` holds the numbers of its earlier starts. `is_reported` is set once its age is known or assumed.
    """

    row: EndpointRow
    start: int = 0
    started_at: float | None = None
    is_reported: bool = False
    draining: bool = False
    past_starts: set[int] = field(default_factory=set)


class EndpointList:
    """The merged list. Each input method returns the endpoints that changed, for the router's `endpoints_changed`."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones = zones
        self.kinds = kinds
        self.workers: dict[str, ListedWorker] = {}
        self.reported: dict[str, Endpoint] = {}

    def __len__(self) -> int:
        return len(self.workers)

    def apply(self, rows: Sequence[EndpointRow], now: float) -> EndpointListChange:
        """Replaces the rows and removes workers that have no row any more. `now` is monotonic ms."""
        before = {name: worker.row.address for name, worker in self.workers.items()}
        endpoints = self._remove_unlisted(rows)
        for row in rows:
            if row.state != EndpointState.GONE:
                endpoints += self._apply_row(row, now)
        after = {name: self.address(name) for name in {**before, **self.workers}}
        moved = {name: address for name, address in after.items() if before.get(name) != address}
        return EndpointListChange(endpoints, moved)

    def _remove_unlisted(self, rows: Sequence[EndpointRow]) -> list[Endpoint]:
        changes = []
        row_of = {row.name: row for row in rows}
        for name, worker in list(self.workers.items()):
            row = row_of.get(name)
            if row is not None and row.state != EndpointState.GONE and row.address == worker.row.address:
                continue
            del self.workers[name]
            endpoint = self.reported.pop(name, None)
            if endpoint is not None:
                changes.append(replace(endpoint, state=EndpointState.GONE))
        return changes

    def _apply_row(self, row: EndpointRow, now: float) -> list[Endpoint]:
        worker = self.workers.setdefault(row.name, ListedWorker(row))
        worker.row = row
        # A row with the number of a past start shows that the file lags behind the hellos.
        if row.start and row.start != worker.start and row.start not in worker.past_starts:
            if worker.start:
                worker.past_starts.add(worker.start)
                worker.started_at = now
                worker.draining = False
            worker.start = row.start
        return self._changed(row.name)

    def address(self, name: str) -> str | None:
        """Returns the address of a listed worker, or None if it is not listed."""
        return self.workers[name].row.address if name in self.workers else None

    def start_of(self, name: str) -> int | None:
        """Returns the number of a listed worker's present start, or None if it is not listed."""
        return self.workers[name].start if name in self.workers else None

    def hello(self, name: str, hello: WorkerHello, now: float) -> list[Endpoint]:
        """Records the hello of a worker; `now` is monotonic ms."""
        worker = self.workers.get(name)
        if worker is None:
            return []
        if hello.start != worker.start or not worker.is_reported:
            if worker.start not in (0, hello.start):
                worker.past_starts.add(worker.start)
            worker.start = hello.start
            worker.started_at = now - max(0.0, hello.up_ms)
        worker.is_reported = True
        worker.draining = hello.draining
        return self._changed(name)

    def unreachable(self, name: str, now: float) -> list[Endpoint]:
        """Records a failed connect at `now` (monotonic ms). A worker that never sent a hello counts as just started."""
        worker = self.workers.get(name)
        if worker is None or worker.is_reported:
            return []
        worker.is_reported = True
        worker.started_at = now
        return self._changed(name)

    def draining(self, name: str) -> list[Endpoint]:
        """Records that a worker reported a drain: it counts as draining whatever the state in its row."""
        worker = self.workers.get(name)
        if worker is None:
            return []
        worker.draining = True
        return self._changed(name)

    def _changed(self, name: str) -> list[Endpoint]:
        worker = self.workers[name]
        if not worker.is_reported:
            return []
        endpoint = self._endpoint(name, worker)
        if self.reported.get(name) == endpoint:
            return []
        self.reported[name] = endpoint
        return [endpoint]

    def _endpoint(self, name: str, worker: ListedWorker) -> Endpoint:
        row = worker.row
        return Endpoint(
            name,
            self.zones.index(row.zone) if row.zone in self.zones else 0,
            self.kinds.index(row.kind) if row.kind in self.kinds else 0,
            row.cell,
            EndpointState.DRAINING if worker.draining else EndpointState(row.state),
            row.cores,
            worker.started_at,
        )
