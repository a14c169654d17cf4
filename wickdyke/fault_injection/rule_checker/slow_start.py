"""Rule 4: all gateways together send a worker in slow start no more work than its limit."""

from collections import defaultdict
from collections.abc import Iterator

from wickdyke.fault_injection.rule_checker.findings import Finding, Rule, finding_at
from wickdyke.fault_injection.rule_checker.observations import ObservedRun
from wickdyke.fault_injection.rule_checker.run_settings import RunSettings
from wickdyke.fault_injection.rule_checker.trace_events import AttemptReceived, WorkerCrashed, WorkerStarted


def check(run: ObservedRun) -> Iterator[Finding]:
    """Yields crashes of workers, and attempts that exceeded the limit of work within the window."""
    started: dict[str, WorkerStarted] = {}
    received: dict[str, list[AttemptReceived]] = defaultdict(list)  # by worker, during its slow start
    for event in run.events:
        match event:
            case WorkerStarted():
                started[event.writer] = event
                received[event.writer] = []
            case WorkerCrashed():
                yield finding_at(Rule.SLOW_START_RESPECTED, event, f"{event.writer} crashed")
            case AttemptReceived():
                start = started.get(event.writer)
                if start is not None and start.warming_up:
                    yield from _check_attempt(run.settings, start, received[event.writer], event)


def _check_attempt(
    settings: RunSettings, start: WorkerStarted, received: list[AttemptReceived], attempt: AttemptReceived
) -> Iterator[Finding]:
    """Adds an attempt to those received; yields a finding where their work exceeds the limit."""
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
            f"{attempt.writer}, started {age_ms:.0f} ms ago, was sent {work_ms:.1f} ms of work "
            f"in {slow_start.window_ms:g} ms, more than its limit of {limit_ms:.1f} ms"
        )
        yield finding_at(Rule.SLOW_START_RESPECTED, attempt, text)
