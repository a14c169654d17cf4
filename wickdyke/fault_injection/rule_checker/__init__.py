"""Checks from the merged trace of a run whether the gateways followed the five rules.

The trace contains what clients and workers observed. A worker records a message later than the gateway sent it, because
of the socket and the scheduling of processes; `transit` ms of the run's settings are allowed for this delay, and for
nothing else. The package does no I/O.
"""

from wickdyke.fault_injection.rule_checker.checker import RuleChecker
from wickdyke.fault_injection.rule_checker.findings import RULES, Finding, Rule

__all__ = ["RULES", "Finding", "Rule", "RuleChecker"]
