"""Rule 2: no request takes effect twice, and a rejected request has no effect."""

from collections.abc import Iterator

from wickdyke.fault_injection.rule_checker.findings import Finding, Rule, finding_at
from wickdyke.fault_injection.rule_checker.observations import ObservedAttempt, ObservedRequest, ObservedRun
from wickdyke.fault_injection.rule_checker.run_settings import Effect, MethodSettings, Scope
from wickdyke.fault_injection.rule_checker.trace_events import AttemptResult, RequestResult, TraceEvent


def check(run: ObservedRun) -> Iterator[Finding]:
    """Yields attempts that overlap or may repeat an effect, and rejections of requests that may have had one."""
    for mark, attempts in run.attempts.items():
        request = run.requests.get(mark)
        if request is None:
            yield _finding(attempts[0].received, f"{mark} was sent to a worker, but no client sent it")
            continue
        method = run.settings.methods[request.sent.method]
        for number, attempt in enumerate(attempts):
            for earlier in attempts[:number]:
                yield from _check_overlap(run, earlier, attempt)
                yield from _check_repetition(run, method, earlier, attempt)
        if not method.repeatable_on_any_worker:
            yield from _check_rejections(request, attempts)


def _finding(event: TraceEvent, text: str) -> Finding:
    return finding_at(Rule.NO_DOUBLE_EFFECT, event, text)


def _finished_at(run: ObservedRun, attempt: ObservedAttempt) -> float | None:
    """Returns when the attempt was over (ms, monotonic), None where it never was.

    An attempt is over once it is answered or cancelled, or its worker or gateway has ended.
    """
    received = attempt.received
    deaths = run.worker_deaths[attempt.worker] + run.gateway_kills[received.gateway]
    times = [died_at for died_at in deaths if died_at >= received.time_ms - run.settings.transit_ms]
    if attempt.released_at is not None:
        times.append(attempt.released_at)
    return min(times, default=None)


def _check_overlap(run: ObservedRun, earlier: ObservedAttempt, attempt: ObservedAttempt) -> Iterator[Finding]:
    if run.settings.overlap_allowed:
        return
    received = attempt.received
    finished_at = _finished_at(run, earlier)
    if finished_at is None or finished_at > received.time_ms + run.settings.transit_ms:
        yield _finding(received, f"{received.mark} was sent while its attempt at {earlier.worker} was in progress")


def _check_repetition(
    run: ObservedRun, method: MethodSettings, earlier: ObservedAttempt, attempt: ObservedAttempt
) -> Iterator[Finding]:
    """Yields a finding where an attempt may repeat the effect of an earlier one."""
    received = attempt.received
    if _ended_without_running_by(earlier, received.time_ms + run.settings.transit_ms):
        return
    if method.effect is Effect.SIDE_EFFECTING:
        yield _finding(received, f"{received.mark} was sent again, but may have run at {earlier.worker}")
    elif method.effect is Effect.IDEMPOTENCY_KEY:
        yield from _check_idempotency_key(run, method, earlier, attempt)


def _ended_without_running_by(attempt: ObservedAttempt, time_ms: float) -> bool:
    """Returns whether the attempt had ended by `time_ms` (monotonic) without running."""
    if attempt.result is not AttemptResult.NEVER_RAN or attempt.ended_at is None:
        return False
    return attempt.ended_at <= time_ms


def _check_idempotency_key(
    run: ObservedRun, method: MethodSettings, earlier: ObservedAttempt, attempt: ObservedAttempt
) -> Iterator[Finding]:
    """Yields findings where the idempotency key had expired or was unknown at the worker of a later attempt."""
    received = attempt.received
    late_ms = received.time_ms - earlier.received.time_ms - method.key_lifetime_ms
    if late_ms > run.settings.transit_ms:
        yield _finding(received, f"{received.mark} was sent again {late_ms:.3f} ms after its idempotency key expired")
    if method.scope is Scope.ALL:
        return
    earlier_group = run.settings.workers[earlier.worker].group(method.scope)
    group = run.settings.workers[attempt.worker].group(method.scope)
    if earlier_group != group:
        yield _finding(
            received, f"{received.mark} was sent in {method.scope.value} {earlier_group}, then again in {group}"
        )


def _check_rejections(request: ObservedRequest, attempts: list[ObservedAttempt]) -> Iterator[Finding]:
    """Yields a finding where a request was rejected although an attempt may have run."""
    may_have_run = [attempt for attempt in attempts if attempt.result is not AttemptResult.NEVER_RAN]
    if not may_have_run:
        return
    for answer in request.answers:
        if answer.result is RequestResult.REJECTED:
            yield _finding(answer, f"{answer.mark} was denied, but may have run at {may_have_run[0].worker}")
