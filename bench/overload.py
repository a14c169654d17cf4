"""Plays one script with several route files at once, seed by seed, and shows what was answered in time, second by
second around its burst: what retries and their budget do to an overload. Workers are stand-ins (simulated).

    python -m bench.overload scripts/retries-multiply.sexp --seeds 3
"""

import copy
import os
import statistics
import tempfile
import threading
from collections import Counter

import click

from wickdyke.config import sexpr
from wickdyke.config.sexpr import Expression
from wickdyke.fault_injection import report, scenario, trace
from wickdyke.fault_injection.faults import FaultKind
from wickdyke.fault_injection.rule_checker import RuleChecker
from wickdyke.fault_injection.scenario_runner import ScenarioRunner

HEALTHY = 0.9  # share in time from which a second counts as recovered
STEP = 1000.0  # ms


def variants(routes: str) -> dict[str, str]:
    """The script's own routes; the same without their budgets; with one attempt."""
    forms = sexpr.parse(routes, "routes")

    def less(*names: str, more: str = "") -> str:
        kept = [
            Expression(
                form.name,
                [item for item in form.items if not (isinstance(item, Expression) and item.name in names)],
                form.location,
            )
            for form in forms
        ]
        return " ".join(sexpr.format_expression(form)[:-1] + more + ")" for form in kept)

    return {
        "one attempt": less("budget", "attempts", more=" (attempts 1)"),
        "budget": routes,
        "no budget": less("budget"),
    }


def seconds(judge: RuleChecker) -> tuple[Counter, Counter]:
    """By second of the run: RPCs asked, and of these answered ok within the soft deadline."""
    began = min(asked.entry["t"] for asked in judge.asked.values())
    asks, good = Counter(), Counter()
    for asked in judge.asked.values():
        at = int((asked.entry["t"] - began) // STEP)
        asks[at] += 1
        soft = judge.terms["methods"][asked.entry["method"]]["soft"]
        first = asked.answers[0] if asked.answers else None
        good[at] += bool(first and first["answer"] == "ok" and first["t"] - asked.entry["t"] <= soft)
    return asks, good


def recovery(asks: Counter, good: Counter, end: int) -> int | None:
    """Seconds after the burst's end until three seconds in a row are healthy; None where that never comes."""
    last = max(asks) - 2
    for at in range(end, last):
        if all(good[each] >= HEALTHY * asks[each] for each in range(at, at + 3)):
            return at - end
    return None


def play(script: scenario.Scenario, routes: str, found: list) -> None:
    """One run, judged."""
    mine = copy.copy(script)
    mine.routes = routes
    with tempfile.TemporaryDirectory(prefix="wd-") as folder:
        found.append(RuleChecker(trace.read(ScenarioRunner(mine, os.path.join(folder, "run")).run())))


@click.command()
@click.argument("file")
@click.option("--seeds", default=3, help="Runs of each variant.")
@click.option("--lines/--no-lines", default=False, help="Also each second of the first seed.")
def main(file: str, seeds: int, lines: bool) -> None:
    """Measures the variants of FILE, in pairs by seed."""
    script = scenario.read(file)
    burst = next(trouble for trouble in script.faults if trouble.kind is FaultKind.BURST)
    starts, ends = int(burst.at // STEP), int((burst.at + burst.values["for"]) // STEP)
    rows: dict[str, list[list]] = {name: [] for name in variants(script.routes)}
    for step in range(seeds):
        found: dict[str, list] = {name: [] for name in rows}
        threads = [
            threading.Thread(target=play, args=(script, text, found[name]))
            for name, text in variants(script.routes).items()
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for name, (judge,) in found.items():
            asks, good = seconds(judge)
            within = sum(good[at] for at in range(starts, ends)) / (ends - starts)
            after = [at for at in range(ends, max(asks))]
            later = sum(good[at] for at in after) / max(1, sum(asks[at] for at in after))
            runs = sum(len(each) for each in judge.runs.values()) / len(judge.asked)
            rows[name].append([within, later, recovery(asks, good, ends), runs, len(judge.findings)])
            if lines and not step:
                print(name, " ".join(f"{good[at]}/{asks[at]}" for at in range(max(asks) + 1)), flush=True)
        script.seed += 1
    base = [row[0] for row in rows["one attempt"]]
    print(
        report.table(
            (
                "variant",
                "in time a s, burst",
                "over one attempt",
                "share after",
                "recovered, s",
                "runs an RPC",
                "findings",
            ),
            [
                [
                    name,
                    ", ".join(f"{row[0]:.0f}" for row in each),
                    f"{statistics.median(row[0] / b for row, b in zip(each, base, strict=True)):.2f}",
                    ", ".join(f"{row[1]:.2f}" for row in each),
                    ", ".join(str(row[2]) for row in each),
                    ", ".join(f"{row[3]:.2f}" for row in each),
                    str(sum(row[4] for row in each)),
                ]
                for name, each in rows.items()
            ],
        )
    )


if __name__ == "__main__":
    main()
