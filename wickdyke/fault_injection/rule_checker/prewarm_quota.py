"""Rule 5: a gateway sends no more prewarms than its quota, which grows with the number of its requests."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from wickdyke.fault_injection.rule_checker.findings import Finding, Rule, finding_at
from wickdyke.fault_injection.rule_checker.observations import ObservedRun
from wickdyke.fault_injection.rule_checker.run_settings import RunSettings
from wickdyke.fault_injection.rule_checker.trace_events import GatewayStarted, PrewarmReceived, RequestSent

ROUNDING_TOLERANCE = 1e-9  # for the floating-point sum of shares


@dataclass(slots=True)
class _GatewayTraffic:
    """Times (ms, monotonic, ascending) of a gateway's requests and prewarms since its start."""

    requests: list[float] = field(default_factory=list)
    prewarms: list[float] = field(default_factory=list)


def check(run: ObservedRun) -> Iterator[Finding]:
    """Yields prewarms beyond the quota."""
    if not run.settings.prewarm_quota.window_ms:
        return
    traffic: dict[str, _GatewayTraffic] = defaultdict(_GatewayTraffic)
    for event in run.events:
        match event:
            case GatewayStarted():  # the gateway does not know of prewarms before its start
                traffic[event.gateway] = _GatewayTraffic()
            case RequestSent():
                traffic[event.gateway].requests.append(event.time_ms)
            case PrewarmReceived() if event.replicas > 0:
                yield from _check_prewarm(run.settings, traffic[event.gateway], event)


def _check_prewarm(settings: RunSettings, traffic: _GatewayTraffic, prewarm: PrewarmReceived) -> Iterator[Finding]:
    """Adds a prewarm to those of its gateway; yields a finding where they exceed the quota."""
    quota = settings.prewarm_quota
    traffic.prewarms.append(prewarm.time_ms)
    window_start = prewarm.time_ms - quota.window_ms
    prewarms = len(traffic.prewarms) - bisect_right(traffic.prewarms, window_start + settings.transit_ms)
    requests = bisect_right(traffic.requests, prewarm.time_ms) - bisect_left(
        traffic.requests, window_start - settings.transit_ms
    )
    if prewarms > quota.free + quota.share * requests + ROUNDING_TOLERANCE:
        text = f"{prewarm.gateway} sent {prewarms} prewarms in {quota.window_ms:g} ms, but received {requests} requests"
        yield finding_at(Rule.PREWARM_QUOTA_RESPECTED, prewarm, text)
