"""Runs all tests; failures of the tests that KNOWN-RED.txt lists are printed and passed over, all others fail the run.

A line of the list is `TEST | CAUSE | ISSUE`, TEST as unittest names it (`tests.test_x.Case.test_y`); `#` begins a
comment. A listed test that does not exist fails the run, and so do more than MAX_LISTED lines.
"""

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

LIST_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_LISTED = 3
FIELD_COUNT = 3


class KnownFailure(NamedTuple):
    """One line of the list."""

    test: str
    cause: str
    issue: str


class InvalidListError(Exception):
    """KNOWN-RED.txt is not as described above; the message names the line."""


def read_list(text: str) -> list[KnownFailure]:
    """Parses KNOWN-RED.txt. Raises InvalidListError."""
    known = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise InvalidListError(f"line {number}: {line!r}, expected TEST | CAUSE | ISSUE")
        known.append(KnownFailure(*fields))
    if len(known) > MAX_LISTED:
        raise InvalidListError(f"{len(known)} tests are listed, expected {MAX_LISTED} at most")
    return known


def test_names(suite: unittest.TestSuite) -> Iterator[str]:
    """The names of all tests of a suite."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from test_names(test)
        else:
            yield test.id()


def failed_names(result: unittest.TestResult) -> set[str]:
    """The names of the tests that failed; a subtest counts for its test."""
    failed = [test for test, _ in result.failures + result.errors] + list(result.unexpectedSuccesses)
    return {getattr(test, "test_case", test).id() for test in failed}


def report(known: list[KnownFailure], existing: set[str], failed: set[str]) -> bool:
    """Prints what the list has to do with the run; returns whether the run passes."""
    unknown = [each.test for each in known if each.test not in existing]
    for each in known:
        state = "failed" if each.test in failed else "passed this time" if each.test in existing else "does not exist"
        print(f"known red: {each.test} {state}: {each.cause} ({each.issue})")
    others = failed - {each.test for each in known}
    for name in sorted(others):
        print(f"failed and not listed: {name}")
    return not others and not unknown


def main() -> int:
    """Runs the tests; returns the exit code."""
    known = read_list(LIST_PATH.read_text() if LIST_PATH.exists() else "")
    suite = unittest.defaultTestLoader.discover("tests", top_level_dir=".")
    existing = set(test_names(suite))
    result = unittest.TextTestRunner().run(suite)
    sys.stdout.flush()
    passed = report(known, existing, failed_names(result))
    return 0 if passed and result.testsRun else 1


if __name__ == "__main__":
    sys.exit(main())
