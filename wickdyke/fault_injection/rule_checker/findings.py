"""The rules and the findings that show where they were broken."""

from dataclasses import dataclass
from enum import IntEnum

from wickdyke.fault_injection.rule_checker.trace_events import TraceEvent


class Rule(IntEnum):
    """The rules that gateways must follow; the values are their numbers in reports."""

    NO_LOST_REQUEST = 1
    NO_DOUBLE_EFFECT = 2
    DRAINS_RESPECTED = 3
    SLOW_START_RESPECTED = 4
    PREWARM_QUOTA_RESPECTED = 5


# The names of the rules in reports.
RULES = {
    Rule.NO_LOST_REQUEST: "no RPC lost",
    Rule.NO_DOUBLE_EFFECT: "no effect twice",
    Rule.DRAINS_RESPECTED: "drains kept",
    Rule.SLOW_START_RESPECTED: "no cold worker pushed over",
    Rule.PREWARM_QUOTA_RESPECTED: "load orders rationed",
}


@dataclass(slots=True, frozen=True)
class Finding:
    """A violation of a rule; `line` is the number of the trace line that shows it, among the lines of its writer."""

    rule: Rule
    time_ms: float
    writer: str
    line: int
    text: str

    def __str__(self) -> str:
        where = f"{self.writer} line {self.line}, {self.time_ms:.3f} ms"
        return f"rule {self.rule:d} ({RULES[self.rule]}) broken at {where}: {self.text}"


def finding_at(rule: Rule, event: TraceEvent, text: str) -> Finding:
    """Returns a finding that the line of `event` shows."""
    return Finding(rule, event.time_ms, event.writer, event.line, text)
