"""Measures the effect of retries and of their budget on an overload, with simulated workers.

Runs one scenario with several route files at once, once for each seed, and counts the requests that are answered in
time, by the second, during and after the scenario's burst.

    python -m bench.overload scripts/retries-multiply.sexp --seeds 3
"""

import copy
import os
import statistics
import tempfile
import threading
from collections import Counter
from dataclasses import dataclass, field

import click

from wickdyke.config import sexpr
from wickdyke.config.sexpr import Expression
from wickdyke.fault_injection import report, scenario, trace
from wickdyke.fault_injection.faults import FaultKind
from wickdyke.fault_injection.rule_checker import RuleChecker
from wickdyke.fault_injection.rule_checker.trace_events import RequestResult
from wickdyke.fault_injection.scenario_runner import ScenarioRunner

HEALTHY_SHARE = 0.9  # least share of requests in time with which a second counts as healthy
HEALTHY_SECONDS = 3  # healthy seconds in a row that count as a recovery
SECOND_MS = 1000.0
BASE_VARIANT = "one attempt"
COLUMNS = (
    "variant",
    "in time a s, burst",
    "over one attempt",
    "share after",
    "recovered, s",
    "runs a request",
    "findings",
)


@dataclass(slots=True)
class Timeline:
    """Counts of a run's requests, by the second in which they were sent."""

    sent: Counter[int] = field(default_factory=Counter)
    in_time: Counter[int] = field(default_factory=Counter)  # answered ok within the soft deadline

    @property
    def last_second(self) -> int:
        """The last second in which a request was sent; raises ValueError where there is none."""
        return max(self.sent)

    def share_in_time(self, seconds: range) -> float:
        """Returns the share of the requests of these seconds that were answered in time; 0 without requests."""
        return sum(self.in_time[second] for second in seconds) / max(1, sum(self.sent[second] for second in seconds))

    def is_healthy(self, second: int) -> bool:
        """Returns whether at least HEALTHY_SHARE of the requests of that second were answered in time."""
        return self.in_time[second] >= HEALTHY_SHARE * self.sent[second]

    def recovery(self, end: int, last_second: int) -> int | None:
        """Returns the seconds from `end` until HEALTHY_SECONDS in a row are healthy; None if not by `last_second`."""
        for start in range(end, last_second - HEALTHY_SECONDS + 1):
            if all(self.is_healthy(second) for second in range(start, start + HEALTHY_SECONDS)):
                return start - end
        return None


@dataclass(slots=True, frozen=True)
class VariantResult:
    """The figures of one run of a variant."""

    in_time_rate: float  # requests per second answered in time during the burst
    share_after: float  # share of requests answered in time after the burst
    recovery: int | None  # seconds from the end of the burst
    runs_per_request: float  # executions by workers
    findings: int  # broken rules


def variants(routes: str) -> dict[str, str]:
    """Returns the variants of a scenario's routes: with one attempt, as they are, and without their budgets."""
    expressions = sexpr.parse(routes, "routes")

    def without(*names: str, added: str = "") -> str:
        filtered = [
            Expression(
                expression.name,
                [item for item in expression.items if not (isinstance(item, Expression) and item.name in names)],
                expression.location,
            )
            for expression in expressions
        ]
        return " ".join(sexpr.format_expression(expression)[:-1] + added + ")" for expression in filtered)

    return {
        BASE_VARIANT: without("budget", "attempts", added=" (attempts 1)"),
        "budget": routes,
        "no budget": without("budget"),
    }


def timeline(checker: RuleChecker) -> Timeline:
    """Returns the requests of a run by the second in which they were sent."""
    requests_by_second = Timeline()
    requests = checker.run.requests.values()
    started_at = min(request.sent.time_ms for request in requests)
    for request in requests:
        sent_at = request.sent.time_ms
        second = int((sent_at - started_at) // SECOND_MS)
        requests_by_second.sent[second] += 1
        soft_deadline = checker.run.settings.methods[request.sent.method].soft_deadline_ms
        answer = request.answers[0] if request.answers else None
        if answer and answer.result is RequestResult.OK and answer.time_ms - sent_at <= soft_deadline:
            requests_by_second.in_time[second] += 1
    return requests_by_second


def check_run(script: scenario.Scenario) -> RuleChecker:
    """Runs a scenario once and returns the checker of its trace."""
    with tempfile.TemporaryDirectory(prefix="wd-") as folder:
        return RuleChecker(trace.read(ScenarioRunner(script, os.path.join(folder, "run")).run()))


def run_variants(script: scenario.Scenario) -> dict[str, RuleChecker]:
    """Runs all variants of a scenario at once; returns the checker of each."""
    checkers: dict[str, RuleChecker] = {}

    def run_variant(name: str, routes: str) -> None:
        variant = copy.copy(script)
        variant.routes = routes
        checkers[name] = check_run(variant)

    routes_by_variant = variants(script.routes)
    threads = [threading.Thread(target=run_variant, args=item) for item in routes_by_variant.items()]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return {name: checkers[name] for name in routes_by_variant}


def variant_result(checker: RuleChecker, requests: Timeline, burst: range) -> VariantResult:
    """Returns the figures of a run; `burst` are the seconds of its burst."""
    executions = sum(len(attempts) for attempts in checker.run.attempts.values())
    return VariantResult(
        sum(requests.in_time[second] for second in burst) / len(burst),
        requests.share_in_time(range(burst.stop, requests.last_second)),
        requests.recovery(burst.stop, requests.last_second),
        executions / len(checker.run.requests),
        len(checker.findings),
    )


@click.command()
@click.argument("file")
@click.option("--seeds", default=3, help="Runs of each variant.")
@click.option("--lines/--no-lines", default=False, help="Also print the counts of each second for the first seed.")
def main(file: str, seeds: int, lines: bool) -> None:
    """Measures the variants of the scenario FILE, in pairs by seed."""
    script = scenario.read(file)
    burst = _burst_seconds(script)
    results: dict[str, list[VariantResult]] = {name: [] for name in variants(script.routes)}
    for step in range(seeds):
        for name, checker in run_variants(script).items():
            requests = timeline(checker)
            results[name].append(variant_result(checker, requests, burst))
            if lines and not step:
                seconds = range(requests.last_second + 1)
                counts = " ".join(f"{requests.in_time[second]}/{requests.sent[second]}" for second in seconds)
                print(name, counts, flush=True)
        script.seed += 1
    base = results[BASE_VARIANT]
    print(report.table(COLUMNS, [_row(name, variant, base) for name, variant in results.items()]))


def _burst_seconds(script: scenario.Scenario) -> range:
    burst = next(fault for fault in script.faults if fault.kind is FaultKind.BURST)
    assert burst.at is not None  # bursts start at a time, not with an event
    return range(int(burst.at // SECOND_MS), int((burst.at + burst.duration) // SECOND_MS))


def _row(name: str, results: list[VariantResult], base: list[VariantResult]) -> list[str]:
    """Returns the row of a variant, by COLUMNS."""
    pairs = zip(results, base, strict=True)
    return [
        name,
        ", ".join(f"{result.in_time_rate:.0f}" for result in results),
        f"{statistics.median(result.in_time_rate / base_result.in_time_rate for result, base_result in pairs):.2f}",
        ", ".join(f"{result.share_after:.2f}" for result in results),
        ", ".join(str(result.recovery) for result in results),
        ", ".join(f"{result.runs_per_request:.2f}" for result in results),
        str(sum(result.findings for result in results)),
    ]


if __name__ == "__main__":
    main()
