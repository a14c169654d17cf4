"""The rules and what breaks them."""

from dataclasses import dataclass
from enum import IntEnum

from wickdyke.fault_injection.rule_checker.trace_events import TraceEvent


class Rule(IntEnum):
    """The rules that gateways keep; the values are their numbers in verdicts."""

    NO_LOST_REQUEST = 1
    NO_DOUBLE_EFFECT = 2
    DRAINS_KEPT = 3
    SLOW_START_KEPT = 4
    PREWARM_QUOTA_KEPT = 5


# How verdicts name the rules.
RULES = {
    Rule.NO_LOST_REQUEST: "no RPC lost",
    Rule.NO_DOUBLE_EFFECT: "no effect twice",
    Rule.DRAINS_KEPT: "drains kept",
    Rule.SLOW_START_KEPT: "no cold worker pushed over",
    Rule.PREWARM_QUOTA_KEPT: "load orders rationed",
}


@dataclass(slots=True, frozen=True)
class Finding:
    """A broken rule, and the line of the trace that shows it: its time (ms), its writer and its number there."""

    rule: Rule
    time_ms: float
    writer: str
    line: int
    text: str

    def __str__(self) -> str:
        where = f"{self.writer} line {self.line}, {self.time_ms:.3f} ms"
        return f"rule {self.rule:d} ({RULES[self.rule]}) broken at {where}: {self.text}"


def finding_at(rule: Rule, event: TraceEvent, text: str) -> Finding:
    """A finding shown by the line of `event`."""
    return Finding(rule, event.time_ms, event.writer, event.line, text)
