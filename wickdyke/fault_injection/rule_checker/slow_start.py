"""Rule 4: a worker in slow start is not sent more work than it withstands, by all gateways together."""

from collections import defaultdict
from collections.abc import Iterator

from wickdyke.fault_injection.rule_checker.findings import Finding, Rule, finding_at
from wickdyke.fault_injection.rule_checker.observations import ObservedRun
from wickdyke.fault_injection.rule_checker.run_settings import RunSettings
from wickdyke.fault_injection.rule_checker.trace_events import AttemptReceived, WorkerCrashed, WorkerStarted


def check(run: ObservedRun) -> Iterator[Finding]:
    """Crashes of workers, and attempts that were too much work within the window."""
    started: dict[str, WorkerStarted] = {}
    received: dict[str, list[AttemptReceived]] = defaultdict(list)  # by worker, in its slow start
    for event in run.events:
        match event:
            case WorkerStarted():
                started[event.writer] = event
                received[event.writer] = []
            case WorkerCrashed():
                yield finding_at(Rule.SLOW_START_KEPT, event, f"{event.writer} fell over")
            case AttemptReceived():
                start = started.get(event.writer)
                if start is not None and start.warming_up:
                    yield from _check_attempt(run.settings, start, received[event.writer], event)


def _check_attempt(
    settings: RunSettings, start: WorkerStarted, received: list[AttemptReceived], attempt: AttemptReceived
) -> Iterator[Finding]:
    """Adds an attempt to those received; a finding where their work is too much."""
    slow_start = settings.slow_start
    age_ms = attempt.time_ms - start.time_ms
    if age_ms >= slow_start.ramp_ms:
        return
    received.append(attempt)
    limit_ms = slow_start.work_limit_ms(age_ms, settings.workers[attempt.writer].capacity)
    window_start = attempt.time_ms - slow_start.window_ms
    work_ms = sum(earlier.work_ms for earlier in received if earlier.time_ms > window_start)
    if work_ms > limit_ms:
        text = (
            f"{attempt.writer}, {age_ms:.0f} ms old, was sent {work_ms:.1f} ms of work "
            f"in {slow_start.window_ms:g} ms and stands {limit_ms:.1f}"
        )
        yield finding_at(Rule.SLOW_START_KEPT, attempt, text)
