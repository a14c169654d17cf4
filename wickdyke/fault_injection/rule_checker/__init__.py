"""Checks from the merged trace of a run whether the gateways kept the five rules.

The trace holds what clients and workers saw. Between the moment a gateway sends a message and the moment a worker
writes it down lie the socket and the scheduling of the machine; `transit` ms of the run's settings are allowed for
that, and for nothing else. The package does no I/O.
"""

from wickdyke.fault_injection.rule_checker.checker import RuleChecker
from wickdyke.fault_injection.rule_checker.findings import RULES, Finding, Rule

__all__ = ["RULES", "Finding", "Rule", "RuleChecker"]
