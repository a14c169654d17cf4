"""The list of known failures: which failures it tolerates, and which not."""

import contextlib
import io
import unittest

from tests import known_red
from tests.known_red import Failure, InvalidListError, KnownFailure, failures_of, kinds_of, read_list, report
from tests.soak.__main__ import describe
from tests.soak.play import SoakResult

TEST = "tests.test_x.Case.test_y"
LISTED = KnownFailure(f"{TEST} (seed=3)", "make test, seed 3", "deadline, gone: too much was passed on", "issue 1")
EXISTING = {TEST, "other"}


def failure(test, *kinds):
    """Returns a failure of a test, of these kinds."""
    return Failure(test, frozenset(kinds))


class KnownRed(unittest.TestCase):
    """The rules of KNOWN-RED.txt."""

    def passes(self, *failures, existing=EXISTING):
        """Returns whether a run with these failures passes; `printed` has the output."""
        with contextlib.redirect_stdout(io.StringIO()) as self.printed:
            return report([LISTED], existing, list(failures))

    def test_only_listed_failures_pass(self):
        self.assertTrue(self.passes(failure(LISTED.test, "deadline")))
        seen = "deadline, gone: too much was passed on"
        self.assertIn(f"known red: {LISTED.test} failed: {seen} (issue 1)", self.printed.getvalue())
        self.assertTrue(self.passes(failure(LISTED.test, "deadline", "gone")))
        self.assertTrue(self.passes())
        self.assertIn(f"{LISTED.test} passed this time: ", self.printed.getvalue())

    def test_all_others_fail_the_run(self):
        """Another test, another seed, the whole test, and another rule alone or together with the listed one."""
        for other in (
            failure("other", "deadline"),
            failure(f"{TEST} (seed=4)", "deadline"),
            failure(f"{TEST} (seed=33)", "deadline"),
            failure(TEST, "deadline"),
            failure(LISTED.test, "effect"),
            failure(LISTED.test, "deadline", "effect"),
        ):
            with self.subTest(other):
                self.assertFalse(self.passes(other))
                self.assertIn(f"failed and not listed: {other.test}: ", self.printed.getvalue())
                self.assertFalse(self.passes(failure(LISTED.test, "deadline"), other))

    def test_a_listed_test_that_does_not_exist_fails(self):
        self.assertFalse(self.passes(existing={"other"}))

    def test_parsing(self):
        line = " | ".join(LISTED)
        self.assertEqual(read_list(f"# a comment\n\n{line}\n{line}\n"), [LISTED, LISTED])
        self.assertEqual(LISTED.kinds, {"deadline", "gone"})
        for invalid in (
            "tests.x",
            "tests.x | cause | issue",
            "tests.x | command |  | issue",
            "tests.x | command | no kinds | issue",
            f"{line} | more",
        ):
            with self.subTest(invalid), self.assertRaises(InvalidListError):
                read_list(invalid)

    def test_failures_of_a_run(self):
        """Each subtest is an entry; its kinds are the rules that its text names, or the exception's type."""

        class Case(unittest.TestCase):
            def test_one(self):
                for seed in (1, 2):
                    with self.subTest(seed=seed):
                        self.assertEqual(seed, 1, "2 broken\n  drain: late\n    Step\n  deadline: 9 ms")

            def test_two(self):
                raise ValueError("x: y")

            def test_three(self):
                pass

        suite = unittest.defaultTestLoader.loadTestsFromTestCase(Case)
        self.assertEqual(len(list(known_red.test_names(unittest.TestSuite([suite])))), 3)
        result = unittest.TestResult()
        suite.run(result)
        failed = {name.rpartition(".")[2]: set(kinds) for name, kinds in failures_of(result)}
        self.assertEqual(failed, {"test_one (seed=2)": {"drain", "deadline"}, "test_two": {"ValueError"}})

    def test_every_broken_rule_of_a_soak_is_reported(self):
        """A rule is reported however many findings of another rule precede it."""
        broken = [f"deadline: {number} ms passed on" for number in range(50)] + ["slow start: 9 in 2 s", "gone: late"]
        text = describe(SoakResult(3, broken, 100, 1.0, []))
        self.assertEqual(kinds_of(text), {"deadline", "slow start", "gone"})


if __name__ == "__main__":
    unittest.main()
