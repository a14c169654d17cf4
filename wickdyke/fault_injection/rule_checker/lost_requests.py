"""Rule 1: each request gets one answer, in time, unless its gateway was killed."""

from collections.abc import Iterator

from wickdyke.fault_injection.rule_checker.findings import Finding, Rule, finding_at
from wickdyke.fault_injection.rule_checker.observations import ObservedRequest, ObservedRun
from wickdyke.fault_injection.rule_checker.trace_events import RequestResult, TraceEvent


def check(run: ObservedRun) -> Iterator[Finding]:
    """Requests without an answer, late, repeated, invalid and unsolicited answers."""
    for answer in run.unsolicited_answers:
        yield _finding(answer, f"{answer.mark} was answered, but never sent by a client")
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
        yield _finding(first, f"{mark} answered {first.word}")
    late_ms = first.time_ms - _deadline(request)
    if first.time_ms > _deadline(request):
        yield _finding(first, f"{mark} answered {late_ms:.3f} ms late")
    for answer in repeated:
        yield _finding(answer, f"{mark} answered again: {answer.word}")


def _gateway_was_killed(run: ObservedRun, request: ObservedRequest) -> bool:
    """Whether the request's gateway was killed before the request was lost or its time was over."""
    until = request.lost.time_ms if request.lost else _deadline(request)
    transit_ms = run.settings.transit_ms
    return any(
        request.sent.time_ms - transit_ms <= killed_at <= until + transit_ms
        for killed_at in run.gateway_kills[request.sent.gateway]
    )
