"""Runs all tests; failures that KNOWN-RED.txt lists are printed and passed over, all others fail the run.

A line of the list is `TEST | COMMAND AND SEED | KINDS: WHAT WAS SEEN | ISSUE`; `#` begins a comment. TEST is named as
unittest names it, a subtest with its parameters (`tests.test_x.Case.test_y (seed=3)`). KINDS, separated by commas, are
the rules that were seen broken there (lines `  RULE: ...` of the failure), or the exception's type where it names none.
A failure of another test, of another subtest or of a kind that is not named counts. A listed test that does not exist
fails the run.
"""

import re
import sys
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

LIST_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
FIELD_COUNT = 4
RULE_LINE = re.compile(r"^  ([a-z][a-z ]*): ", re.MULTILINE)
EXCEPTION_LINE = re.compile(r"^([A-Za-z_][\w.]*)(?::|$)", re.MULTILINE)


class KnownFailure(NamedTuple):
    """One line of the list."""

    test: str
    command: str
    seen: str
    issue: str

    @property
    def test_name(self) -> str:
        """The test, without the parameters of a subtest."""
        return self.test.partition(" (")[0]

    @property
    def kinds(self) -> set[str]:
        """The kinds of failure that were seen."""
        return {kind.strip() for kind in self.seen.partition(":")[0].split(",")}


class Failure(NamedTuple):
    """A failure of a run: the test or subtest, and of which kinds it was."""

    test: str
    kinds: frozenset[str]


class InvalidListError(Exception):
    """KNOWN-RED.txt is not as described above; the message names the line."""


def read_list(text: str) -> list[KnownFailure]:
    """Parses KNOWN-RED.txt. Raises InvalidListError."""
    known = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELD_COUNT or not all(fields) or ":" not in fields[2]:
            expected = "TEST | COMMAND AND SEED | KINDS: WHAT WAS SEEN | ISSUE"
            raise InvalidListError(f"line {number}: {line!r}, expected {expected}")
        known.append(KnownFailure(*fields))
    return known


def test_names(suite: unittest.TestSuite) -> Iterator[str]:
    """The names of all tests of a suite."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from test_names(test)
        else:
            yield test.id()


def kinds_of(failure_text: str) -> frozenset[str]:
    """The rules that a failure names, else the type of its exception."""
    rules = RULE_LINE.findall(failure_text)
    return frozenset(rules or EXCEPTION_LINE.findall(failure_text)[-1:] or ["unknown"])


def failures_of(result: unittest.TestResult) -> list[Failure]:
    """What failed in a run, subtests by themselves."""
    failed = [Failure(test.id(), kinds_of(text)) for test, text in result.failures + result.errors]
    return failed + [Failure(test.id(), frozenset(["unexpected success"])) for test in result.unexpectedSuccesses]


def report(known: list[KnownFailure], existing: set[str], failures: list[Failure]) -> bool:
    """Prints what the list has to do with the run; returns whether the run passes."""
    passed_over: set[Failure] = set()
    for each in known:
        matching = {failure for failure in failures if failure.test == each.test and failure.kinds <= each.kinds}
        passed_over |= matching
        exists = each.test_name in existing
        state = "failed" if matching else "passed this time" if exists else "does not exist"
        print(f"known red: {each.test} {state}: {each.seen} ({each.issue})")
    others = [failure for failure in failures if failure not in passed_over]
    for failure in others:
        print(f"failed and not listed: {failure.test}: {', '.join(sorted(failure.kinds))}")
    return not others and all(each.test_name in existing for each in known)


def main() -> int:
    """Runs the tests; returns the exit code."""
    known = read_list(LIST_PATH.read_text() if LIST_PATH.exists() else "")
    suite = unittest.defaultTestLoader.discover("tests", top_level_dir=".")
    existing = set(test_names(suite))
    result = unittest.TextTestRunner().run(suite)
    sys.stdout.flush()
    passed = report(known, existing, failures_of(result))
    return 0 if passed and result.testsRun else 1


if __name__ == "__main__":
    sys.exit(main())
