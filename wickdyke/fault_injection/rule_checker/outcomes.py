"""Counts the outcomes of the requests of a run, by method."""

from collections import Counter, defaultdict

from wickdyke.fault_injection.rule_checker.observations import ObservedRequest, ObservedRun
from wickdyke.fault_injection.rule_checker.trace_events import RequestResult

# Columns of the report; answers that are not OK are counted under their result as written in the trace.
SENT = "asked"
OK_IN_TIME = "ok in time"  # within the soft deadline
OK_LATE = "ok late"
LOST = "lost"


def count_outcomes(run: ObservedRun) -> dict[str, Counter[str]]:
    """Returns by method how many requests were sent, and how many had each outcome."""
    table: dict[str, Counter[str]] = defaultdict(Counter)
    for request in run.requests.values():
        counts = table[request.sent.method]
        counts[SENT] += 1
        counts[_outcome(run, request)] += 1
    return dict(table)


def latencies(run: ObservedRun) -> dict[str, list[float]]:
    """Returns by method the latency of each ok answer, in ms."""
    table: dict[str, list[float]] = defaultdict(list)
    for request in run.requests.values():
        if request.answers and request.answers[0].result is RequestResult.OK:
            table[request.sent.method].append(_latency(request))
    return dict(table)


def _latency(request: ObservedRequest) -> float:
    return request.answers[0].time_ms - request.sent.time_ms


def _outcome(run: ObservedRun, request: ObservedRequest) -> str:
    if not request.answers:
        return LOST
    answer = request.answers[0]
    if answer.result is not RequestResult.OK:
        return answer.raw_result
    soft_deadline_ms = run.settings.methods[request.sent.method].soft_deadline_ms
    return OK_IN_TIME if _latency(request) <= soft_deadline_ms else OK_LATE
