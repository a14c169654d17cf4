"""Publishes the endpoint file of a scenario: which workers it lists, in which state, and after which delay."""

from dataclasses import replace

from wickdyke.config import endpoint_file
from wickdyke.config.endpoint_file import EndpointRow
from wickdyke.fault_injection.run_folder import RunFolder
from wickdyke.fault_injection.run_trace import RunTrace
from wickdyke.fault_injection.scenario import EndpointState
from wickdyke.fault_injection.timeline import Timeline
from wickdyke.fault_injection.trace import clock

ENDPOINT_FILE = "workers.sexp"


class EndpointPublisher:
    """Writes the endpoint file that the gateways follow, and records in the trace what it lists."""

    def __init__(self, folder: RunFolder, timeline: Timeline, trace: RunTrace, lag: float) -> None:
        """Publishes changes `lag` ms after they happen."""
        self.lag = lag
        self.rows: dict[str, EndpointRow] = {}  # the row of each worker at its last start, by name
        self._folder = folder
        self._timeline = timeline
        self._trace = trace
        self._published: dict[str, EndpointRow] = {}
        self._last_due_at = 0.0  # trace clock, ms; keeps changes in the order in which they happened

    def set_lag(self, lag: float) -> None:
        """Sets the delay of all later changes to `lag` ms."""
        self.lag = lag

    def publish_all(self) -> None:
        """Lists every worker as ready, without delay; raises OSError."""
        self._published = dict(self.rows)
        self._write_file()

    def record_all(self) -> None:
        """Records in the trace that every worker is listed as ready."""
        for row in self.rows.values():
            self._trace.endpoint_listed(row)

    def publish_later(self, name: str, state: EndpointState, lag: float | None = None) -> None:
        """Lists a worker in a new state after `lag` ms, by default after the present lag."""
        self._last_due_at = max(self._last_due_at, clock() + (self.lag if lag is None else lag))
        row = replace(self.rows[name], state=state.value)
        self._timeline.schedule(self._last_due_at - clock(), self._publish, row)

    def _publish(self, row: EndpointRow) -> None:
        self._published[row.name] = row
        # A gateway may read the new file before this process records the change. Therefore `ready` is recorded with a
        # time before the file is replaced, and the other states with a time after it; otherwise an attempt that was
        # sent in time would appear to have been sent to a draining worker.
        before = clock()
        self._write_file()
        published_at = before if row.state == EndpointState.READY.value else None
        self._trace.endpoint_listed(row, published_at)

    def _write_file(self) -> None:
        listed = [row for row in self._published.values() if row.state != EndpointState.GONE.value]
        self._folder.replace(ENDPOINT_FILE, endpoint_file.format_endpoints(listed))
