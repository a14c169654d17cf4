"""The rule checker: applies all rules to one trace."""

from collections import Counter
from collections.abc import Iterable

from wickdyke.fault_injection.rule_checker import (
    double_effects,
    drains,
    lost_requests,
    outcomes,
    prewarm_quota,
    slow_start,
)
from wickdyke.fault_injection.rule_checker.findings import Finding
from wickdyke.fault_injection.rule_checker.observations import observe
from wickdyke.fault_injection.rule_checker.trace_events import Entry

CHECKS = (lost_requests.check, double_effects.check, drains.check, slow_start.check, prewarm_quota.check)


class RuleChecker:
    """Checks a trace once; `findings` lists the violations of rules in order of time."""

    def __init__(self, trace: Iterable[Entry]) -> None:
        """Checks the lines of a trace, sorted by time; raises InvalidTraceError where they lack the run's settings."""
        self.run = observe(trace)
        self.findings: list[Finding] = sorted(
            (finding for check in CHECKS for finding in check(self.run)),
            key=lambda finding: (finding.time_ms, finding.rule, finding.writer, finding.line),
        )

    def outcomes(self) -> dict[str, Counter[str]]:
        """Returns by method the number of asked (sent) requests, and how many were ok in time, ok late, denied
        (rejected), aborted (failed) or lost.
        """
        return outcomes.count_outcomes(self.run)

    def latencies(self) -> dict[str, list[float]]:
        """Returns by method the latency of each ok answer, in ms."""
        return outcomes.latencies(self.run)
