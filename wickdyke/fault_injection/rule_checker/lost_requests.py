"""Rule 1: each request gets exactly one answer before its deadline, unless its gateway was killed."""

from collections.abc import Iterator

from wickdyke.fault_injection.rule_checker.findings import Finding, Rule, finding_at
from wickdyke.fault_injection.rule_checker.observations import ObservedRequest, ObservedRun
from wickdyke.fault_injection.rule_checker.trace_events import RequestResult, TraceEvent


def check(run: ObservedRun) -> Iterator[Finding]:
    """Yields requests without an answer, and answers that are late, repeated, invalid or unsolicited."""
    for answer in run.unsolicited_answers:
        yield _finding(answer, f"{answer.mark} was answered, but no client sent it")
    for request in run.requests.values():
        if request.answers:
            yield from _check_answers(request)
        elif not _gateway_was_killed(run, request):
            yield _finding(request.lost or request.sent, f"{request.sent.mark} got no answer")


def _finding(event: TraceEvent, text: str) -> Finding:
    return finding_at(Rule.NO_LOST_REQUEST, event, text)


def _deadline(request: ObservedRequest) -> float:
    return request.sent.time_ms + request.sent.time_left_ms


def _check_answers(request: ObservedRequest) -> Iterator[Finding]:
    mark = request.sent.mark
    first, *repeated = request.answers
    if first.result is RequestResult.INVALID:
        yield _finding(first, f"{mark} got an invalid answer: {first.raw_result}")
    late_ms = first.time_ms - _deadline(request)
    if first.time_ms > _deadline(request):
        yield _finding(first, f"{mark} was answered {late_ms:.3f} ms after its deadline")
    for answer in repeated:
        yield _finding(answer, f"{mark} was answered again: {answer.raw_result}")


def _gateway_was_killed(run: ObservedRun, request: ObservedRequest) -> bool:
    """Returns whether the request's gateway was killed before the request was lost or reached its deadline."""
    until = request.lost.time_ms if request.lost else _deadline(request)
    transit_ms = run.settings.transit_ms
    return any(
        request.sent.time_ms - transit_ms <= killed_at <= until + transit_ms
        for killed_at in run.gateway_kills[request.sent.gateway]
    )
