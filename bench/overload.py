"""Plays one scenario with several route files at once, seed by seed, and shows what was answered in time, second by
second around its burst: what retries and their budget do to an overload. Workers are simulated.

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

HEALTHY_SHARE = 0.9  # of requests answered in time, from which a second counts as recovered
HEALTHY_SECONDS = 3  # in a row that make a recovery
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
    """The requests of a run by the second in which they were sent."""

    sent: Counter[int] = field(default_factory=Counter)
    in_time: Counter[int] = field(default_factory=Counter)  # answered ok within the soft deadline

    @property
    def last_second(self) -> int:
        """The last second with a request."""
        return max(self.sent)

    def share_in_time(self, seconds: range) -> float:
        """The part of the requests of these seconds that was answered in time."""
        return sum(self.in_time[second] for second in seconds) / max(1, sum(self.sent[second] for second in seconds))

    def is_healthy(self, second: int) -> bool:
        """Whether nearly all requests of that second were answered in time."""
        return self.in_time[second] >= HEALTHY_SHARE * self.sent[second]

    def recovery(self, end: int, last_second: int) -> int | None:
        """Seconds after `end` until some seconds in a row are healthy; None where that is not by `last_second`."""
        for start in range(end, last_second - HEALTHY_SECONDS + 1):
            if all(self.is_healthy(second) for second in range(start, start + HEALTHY_SECONDS)):
                return start - end
        return None


@dataclass(slots=True, frozen=True)
class VariantResult:
    """What one run of a variant came to."""

    in_time_rate: float  # requests a second answered in time, in the burst
    share_after: float  # of requests answered in time, after it
    recovery: int | None  # seconds
    runs_per_request: float  # executions by workers
    findings: int  # broken rules


def variants(routes: str) -> dict[str, str]:
    """The scenario's own routes; the same without their budgets; with one attempt."""
    expressions = sexpr.parse(routes, "routes")

    def without(*names: str, added: str = "") -> str:
        kept = [
            Expression(
                expression.name,
                [item for item in expression.items if not (isinstance(item, Expression) and item.name in names)],
                expression.location,
            )
            for expression in expressions
        ]
        return " ".join(sexpr.format_expression(expression)[:-1] + added + ")" for expression in kept)

    return {
        BASE_VARIANT: without("budget", "attempts", added=" (attempts 1)"),
        "budget": routes,
        "no budget": without("budget"),
    }


def timeline(checker: RuleChecker) -> Timeline:
    """The requests of a run, by second."""
    result = Timeline()
    requests = checker.run.requests.values()
    started_at = min(request.sent.time_ms for request in requests)
    for request in requests:
        sent_at = request.sent.time_ms
        second = int((sent_at - started_at) // SECOND_MS)
        result.sent[second] += 1
        soft_deadline = checker.run.settings.methods[request.sent.method].soft_deadline_ms
        answer = request.answers[0] if request.answers else None
        if answer and answer.result is RequestResult.OK and answer.time_ms - sent_at <= soft_deadline:
            result.in_time[second] += 1
    return result


def check_run(script: scenario.Scenario) -> RuleChecker:
    """Plays a scenario once and checks its trace."""
    with tempfile.TemporaryDirectory(prefix="wd-") as folder:
        return RuleChecker(trace.read(ScenarioRunner(script, os.path.join(folder, "run")).run()))


def play_variants(script: scenario.Scenario) -> dict[str, RuleChecker]:
    """Plays all variants of a scenario at once."""
    checkers: dict[str, RuleChecker] = {}

    def play(name: str, routes: str) -> None:
        variant = copy.copy(script)
        variant.routes = routes
        checkers[name] = check_run(variant)

    names = variants(script.routes)
    threads = [threading.Thread(target=play, args=item) for item in names.items()]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return {name: checkers[name] for name in names}


def variant_result(checker: RuleChecker, requests: Timeline, burst: range) -> VariantResult:
    """The figures of a run whose burst is in these seconds."""
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
@click.option("--lines/--no-lines", default=False, help="Also each second of the first seed.")
def main(file: str, seeds: int, lines: bool) -> None:
    """Measures the variants of FILE, in pairs by seed."""
    script = scenario.read(file)
    burst = _burst_seconds(script)
    results: dict[str, list[VariantResult]] = {name: [] for name in variants(script.routes)}
    for step in range(seeds):
        for name, checker in play_variants(script).items():
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
    """The row of a variant, by COLUMNS."""
    pairs = zip(results, base, strict=True)
    return [
        name,
        ", ".join(f"{result.in_time_rate:.0f}" for result in results),
        f"{statistics.median(result.in_time_rate / other.in_time_rate for result, other in pairs):.2f}",
        ", ".join(f"{result.share_after:.2f}" for result in results),
        ", ".join(str(result.recovery) for result in results),
        ", ".join(f"{result.runs_per_request:.2f}" for result in results),
        str(sum(result.findings for result in results)),
    ]


if __name__ == "__main__":
    main()
