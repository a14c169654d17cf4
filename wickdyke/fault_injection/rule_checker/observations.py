"""Collects what the trace shows of each request and each attempt."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from wickdyke.fault_injection.rule_checker.run_settings import RunSettings, parse_settings
from wickdyke.fault_injection.rule_checker.trace_events import (
    AttemptCancelled,
    AttemptEnded,
    AttemptReceived,
    AttemptResult,
    Entry,
    GatewayKilled,
    RequestAnswered,
    RequestLost,
    RequestSent,
    TraceEvent,
    WorkerCrashed,
    WorkerKilled,
    parse_events,
)


@dataclass(slots=True)
class ObservedAttempt:
    """An attempt as its worker observed it.

    Attributes:
        received: the event of its arrival.
        ended_at: when the worker ended it (ms, monotonic); None where it did not.
        result: how it ended.
        released_at: when the gateway could know that the attempt is over, by its answer or by the cancellation that the
            gateway sent (ms, monotonic).
    """

    received: AttemptReceived
    ended_at: float | None = None
    result: AttemptResult | None = None
    released_at: float | None = None

    @property
    def worker(self) -> str:
        """The name of the worker that received the attempt."""
        return self.received.writer

    def record_end(self, event: AttemptEnded) -> None:
        """Records the end of the attempt; only the first end counts."""
        if self.result is None:
            self.ended_at = event.time_ms
            self.result = event.result
        if event.result is not AttemptResult.ANSWER_LOST:
            self.record_release(event)

    def record_release(self, event: TraceEvent) -> None:
        """Records that the gateway can know that the attempt is over; only the first time counts."""
        if self.released_at is None:
            self.released_at = event.time_ms


@dataclass(slots=True)
class ObservedRequest:
    """A request as its client observed it."""

    sent: RequestSent
    answers: list[RequestAnswered] = field(default_factory=list)
    lost: RequestLost | None = None


@dataclass(slots=True)
class ObservedRun:
    """A run as its trace shows it: settings, events in order of time, and the events grouped by what they concern.

    Attributes:
        requests: by mark.
        attempts: by the mark of their request, in order of arrival.
        unsolicited_answers: answers that belong to no request.
        gateway_kills: times of kills (ms, monotonic) by gateway.
        worker_deaths: times of kills and crashes (ms, monotonic) by worker.
    """

    settings: RunSettings
    events: list[TraceEvent]
    requests: dict[str, ObservedRequest] = field(default_factory=dict)
    attempts: dict[str, list[ObservedAttempt]] = field(default_factory=lambda: defaultdict(list))
    unsolicited_answers: list[RequestAnswered] = field(default_factory=list)
    gateway_kills: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    worker_deaths: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))


@dataclass(slots=True, frozen=True)
class _AttemptKey:
    """Identifies an attempt in a trace."""

    # A worker may receive a second attempt of a request over another connection before it records the cancellation of
    # the first. Worker and mark are therefore not enough: workers number their attempts, and the number tells which
    # attempt an end or a cancellation belongs to.
    worker: str
    mark: str
    number: int | None


def _attempt_key(event: AttemptReceived | AttemptEnded | AttemptCancelled) -> _AttemptKey:
    return _AttemptKey(event.writer, event.mark, event.number)


def observe(entries: Iterable[Entry]) -> ObservedRun:
    """Returns the run that a trace, sorted by time, shows; raises InvalidTraceError where it lacks the settings."""
    entries = list(entries)
    run = ObservedRun(parse_settings(entries), list(parse_events(entries)))
    latest_attempts: dict[_AttemptKey, ObservedAttempt] = {}
    for event in run.events:
        match event:
            case RequestSent():
                run.requests[event.mark] = ObservedRequest(event)
            case RequestAnswered() if event.mark in run.requests:
                run.requests[event.mark].answers.append(event)
            case RequestAnswered():
                run.unsolicited_answers.append(event)
            case RequestLost() if event.mark in run.requests:
                run.requests[event.mark].lost = event
            case GatewayKilled():
                run.gateway_kills[event.gateway].append(event.time_ms)
            case WorkerKilled() | WorkerCrashed():
                run.worker_deaths[event.worker].append(event.time_ms)
            case AttemptReceived() | AttemptEnded() | AttemptCancelled():
                _observe_attempt(run, latest_attempts, event)
    return run


def _observe_attempt(
    run: ObservedRun,
    latest_attempts: dict[_AttemptKey, ObservedAttempt],
    event: AttemptReceived | AttemptEnded | AttemptCancelled,
) -> None:
    if isinstance(event, AttemptReceived):
        attempt = ObservedAttempt(event)
        run.attempts[event.mark].append(attempt)
        latest_attempts[_attempt_key(event)] = attempt
        return
    latest = latest_attempts.get(_attempt_key(event))
    if latest is None:
        return
    if isinstance(event, AttemptEnded):
        latest.record_end(event)
    else:
        latest.record_release(event)
