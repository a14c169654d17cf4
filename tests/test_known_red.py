"""The list of known failures: what it lets pass, and what it does not."""

import contextlib
import io
import unittest

from tests import known_red
from tests.known_red import InvalidListError, KnownFailure, failed_names, read_list, report

LISTED = KnownFailure("tests.test_x.Case.test_y", "a cause", "issue 1")


class KnownRed(unittest.TestCase):
    """The rules of KNOWN-RED.txt."""

    def passes(self, existing, failed):
        with contextlib.redirect_stdout(io.StringIO()) as self.printed:
            return report([LISTED], existing, failed)

    def test_only_listed_failures_pass(self):
        self.assertTrue(self.passes({LISTED.test, "other"}, {LISTED.test}))
        self.assertIn("known red: tests.test_x.Case.test_y failed: a cause (issue 1)", self.printed.getvalue())
        self.assertTrue(self.passes({LISTED.test, "other"}, set()))
        self.assertFalse(self.passes({LISTED.test, "other"}, {LISTED.test, "other"}))
        self.assertIn("failed and not listed: other", self.printed.getvalue())

    def test_a_listed_test_that_does_not_exist_fails(self):
        self.assertFalse(self.passes({"other"}, set()))

    def test_lines(self):
        line = " | ".join(LISTED)
        self.assertEqual(read_list(f"# a comment\n\n{line}\n"), [LISTED])
        for invalid in ("tests.x", "tests.x | cause", "tests.x |  | issue", f"{line} | more", "\n".join([line] * 4)):
            with self.subTest(invalid), self.assertRaises(InvalidListError):
                read_list(invalid)

    def test_a_subtest_counts_for_its_test(self):
        class Case(unittest.TestCase):
            def test_one(self):
                with self.subTest(1):
                    self.fail()

            def test_two(self):
                raise ValueError

            def test_three(self):
                pass

        suite = unittest.defaultTestLoader.loadTestsFromTestCase(Case)
        self.assertEqual(len(list(known_red.test_names(unittest.TestSuite([suite])))), 3)
        result = unittest.TestResult()
        suite.run(result)
        names = {name.rpartition(".")[2] for name in failed_names(result)}
        self.assertEqual(names, {"test_one", "test_two"})


if __name__ == "__main__":
    unittest.main()
