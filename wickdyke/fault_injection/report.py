"""Formats the result of a run as text: rules, outcomes and latencies."""

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]  # the package has no types

from wickdyke.fault_injection.rule_checker import RULES, RuleChecker

COLUMNS = ("asked", "ok in time", "ok late", "denied", "aborted", "lost")  # the keys of RuleChecker.outcomes()
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
MICROSECONDS_PER_MS = 1000
MAX_LATENCY_US = 60_000_000  # microseconds
SIGNIFICANT_DIGITS = 3


def histogram(latencies: list[float]) -> HdrHistogram:
    """Returns a histogram, in microseconds, of latencies in ms, which are clamped to 1 microsecond and 1 minute."""
    result = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for latency in latencies:
        result.record_value(max(1, min(MAX_LATENCY_US, round(latency * MICROSECONDS_PER_MS))))
    return result


def quantiles(latencies: list[float]) -> list[float]:
    """Returns the latencies at PERCENTILES, in ms."""
    values = histogram(latencies)
    return [values.get_value_at_percentile(percentile) / MICROSECONDS_PER_MS for percentile in PERCENTILES]


def table(head: tuple[str, ...], rows: list[list[str]]) -> str:
    """Returns a table as text, with the first column left-aligned and the others right-aligned."""
    lines = [list(head), *rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(head))]
    return "\n".join(_table_line(line, widths) for line in lines)


def _table_line(cells: list[str], widths: list[int]) -> str:
    first, *others = zip(cells, widths, strict=True)
    aligned = [first[0].ljust(first[1]), *[cell.rjust(width) for cell, width in others]]
    return "  ".join(aligned).rstrip()


def format_report(checker: RuleChecker, max_findings: int = 5) -> str:
    """Returns the rules with at most `max_findings` findings each, and outcomes and latencies by request class."""
    parts = [*_rule_lines(checker, max_findings), "", _outcome_table(checker)]
    if checker.latencies():
        parts += ["", _latency_table(checker)]
    return "\n".join(parts)


def _rule_lines(checker: RuleChecker, max_findings: int) -> list[str]:
    lines = []
    for rule, name in RULES.items():
        findings = [finding for finding in checker.findings if finding.rule == rule]
        lines.append(f"rule {rule}, {name}: " + (f"BROKEN {len(findings)} times" if findings else "kept"))
        lines += [f"    {finding}" for finding in findings[:max_findings]]
    return lines


def _outcome_table(checker: RuleChecker) -> str:
    rows = [
        [request_class, *[str(counts[column]) for column in COLUMNS]]
        for request_class, counts in sorted(checker.outcomes().items())
    ]
    return table(("method", *COLUMNS), rows)


def _latency_table(checker: RuleChecker) -> str:
    head = ("ok answers, ms", *[f"p{percentile:g}" for percentile in PERCENTILES])
    rows = [
        [request_class, *[f"{value:.1f}" for value in quantiles(latencies)]]
        for request_class, latencies in sorted(checker.latencies().items())
    ]
    return table(head, rows)
