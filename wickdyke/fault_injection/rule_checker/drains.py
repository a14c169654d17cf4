"""Rule 3: a draining or removed worker receives no attempt and no prewarm after the grace period."""

from collections.abc import Iterator

from wickdyke.fault_injection.rule_checker.findings import Finding, Rule, finding_at
from wickdyke.fault_injection.rule_checker.observations import ObservedRun
from wickdyke.fault_injection.rule_checker.trace_events import (
    AttemptReceived,
    EndpointPublished,
    PrewarmReceived,
    TraceEvent,
)


def check(run: ObservedRun) -> Iterator[Finding]:
    """Yields attempts and prewarms that a worker received after the grace period of its drain or removal."""
    draining_since: dict[str, float] = {}  # ms, by worker; a second state does not extend the grace period
    for event in run.events:
        match event:
            case EndpointPublished(ready=True):
                draining_since.pop(event.worker, None)
            case EndpointPublished():
                draining_since.setdefault(event.worker, event.time_ms)
            case AttemptReceived():
                yield from _check_message(run, draining_since, event, "attempt")
            case PrewarmReceived() if event.replicas > 0:
                yield from _check_message(run, draining_since, event, "prewarm")


def _check_message(
    run: ObservedRun, draining_since: dict[str, float], event: TraceEvent, message: str
) -> Iterator[Finding]:
    since = draining_since.get(event.writer)
    grace_ms = run.settings.drain_grace_ms + run.settings.transit_ms
    if since is not None and event.time_ms > since + grace_ms:
        text = f"{message} received {event.time_ms - since:.3f} ms after {event.writer} was listed as draining or gone"
        yield finding_at(Rule.DRAINS_RESPECTED, event, text)
