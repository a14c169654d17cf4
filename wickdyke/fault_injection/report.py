"""A verdict as a person reads it."""

from hdrh.histogram import HdrHistogram

from wickdyke.fault_injection.rule_checker import RULES, RuleChecker

COLUMNS = ("asked", "ok in time", "ok late", "denied", "aborted", "lost")
POINTS = (50.0, 90.0, 99.0, 99.9, 100.0)


def histogram(samples: list[float]) -> HdrHistogram:
    """Samples in ms, kept to 3 digits from a microsecond to a minute."""
    kept = HdrHistogram(1, 60_000_000, 3)
    for sample in samples:
        kept.record_value(max(1, min(60_000_000, round(sample * 1000))))
    return kept


def quantiles(samples: list[float]) -> list[float]:
    """The samples' quantiles at POINTS, in ms."""
    kept = histogram(samples)
    return [kept.get_value_at_percentile(point) / 1000 for point in POINTS]


def table(head: tuple[str, ...], rows: list[list[str]]) -> str:
    """Columns under their heads; the first to the left."""
    widths = [max(len(row[at]) for row in [list(head), *rows]) for at in range(len(head))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) if at == 0 else cell.rjust(width)
            for at, (cell, width) in enumerate(zip(row, widths, strict=True))
        ).rstrip()
        for row in [list(head), *rows]
    )


def verdict(judge: RuleChecker, shown: int = 5) -> str:
    """Rules, outcomes by method, latencies."""
    parts = []
    for rule, name in RULES.items():
        broken = [finding for finding in judge.findings if finding.rule == rule]
        parts.append(f"rule {rule}, {name}: " + (f"BROKEN {len(broken)} times" if broken else "kept"))
        parts += [f"    {finding}" for finding in broken[:shown]]
    outcomes = judge.outcomes()
    parts += [
        "",
        table(
            ("method", *COLUMNS),
            [[method, *[str(counts[column]) for column in COLUMNS]] for method, counts in sorted(outcomes.items())],
        ),
    ]
    latencies = judge.latencies()
    if latencies:
        parts += [
            "",
            table(
                ("ok answers, ms", *[f"p{point:g}" for point in POINTS]),
                [
                    [method, *[f"{value:.1f}" for value in quantiles(samples)]]
                    for method, samples in sorted(latencies.items())
                ],
            ),
        ]
    return "\n".join(parts)
