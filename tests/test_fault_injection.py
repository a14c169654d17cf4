"""Runs scenarios against real and faulty gateways.

A correct gateway must follow all rules, and the checker must find each rule that a faulty gateway breaks.
"""

import os
import subprocess
import sys
import tempfile
import threading
import unittest

from tests.faulty_gateways import Defect
from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.fault_injection import scenario, trace
from wickdyke.fault_injection.child_process import RigError
from wickdyke.fault_injection.rule_checker import RuleChecker
from wickdyke.fault_injection.scenario_runner import ScenarioRunner

MANY_FAULTS_SCENARIO = """(script "day" (length 6 s) (gateways 2) (workers 6) (zones 2) (rate 130) (drain-grace 300 ms)
  (warmup (start-share 0.05) (ramp 8 s) (multiple 1.5) (window 2 s)) (ration (free 3) (share 0.02) (window 5 s))
  (method "idem" (effect idempotent) (soft-deadline 750 ms) (deadline 3 s) (work 60 ms) (programs 30) (load 300 ms))
  (method "side" (effect side-effecting) (soft-deadline 1 s) (deadline 2 s) (part 0.5) (work 40 ms) (programs 4))
  (at 1 s (lose "w1" (share 0.5) (for 4 s)))
  (at 1 s (fail "w5" (share 0.7) (for 4 s)))
  (at 1200 ms (drain "w3" (for 4 s)))
  (at 1500 ms (hang "w1" (for 3 s)))
  (at 2 s (lose-zone "z2" (back 300 ms)))
  (on (call-out "w4" 15) (die "w4")))"""


INVALID_ROUTES_SCENARIO = """(script "forced" (length 5 s) (gateways 1) (workers 4) (rate 60) (cancel no)
  (method "idem" (effect idempotent) (soft-deadline 750 ms) (deadline 4 s) (work 20 ms) (programs 4) (load 50 ms))
  (route "r" (attempt 300 ms%s) (attempts 3) (pause (first %s ms)) (again timeout full))
  (at 1 s (hang "w1" (for 3 s))) (at 2 s (hang "w2" (for 2 s))))"""


def faulty_gateway_command(defect):
    """Returns the command that starts a gateway with a defect."""
    return (sys.executable, "-m", "tests.faulty_gateways", defect.value, "serve")


class InvalidRoutesTest(unittest.TestCase):
    """Routes that validation rejects break the rule that the validation protects."""

    def test_skipped_validation(self):
        """Invalid routes break a rule where validation is skipped; otherwise the gateway refuses to start."""
        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            for name, format_arguments, defect, rules in (
                ("accepted", ("", 1), Defect.ACCEPTS_ANY_ROUTES, {2}),
                ("refused", ("", 1), Defect.NONE, None),
            ):
                with self.subTest(case=name):
                    path = os.path.join(folder, f"{name}.sexp")
                    with open(path, "w") as sink:
                        sink.write(INVALID_ROUTES_SCENARIO % format_arguments)
                    runner = ScenarioRunner(
                        scenario.read(path), os.path.join(folder, name), faulty_gateway_command(defect)
                    )
                    if rules is None:
                        with self.assertRaises(RigError):
                            runner.run()
                        with open(os.path.join(folder, name, "g1.err")) as error_log:
                            self.assertIn("does not cancel", error_log.read())
                        continue
                    checker = RuleChecker(trace.read(runner.run()))
                    self.assertEqual({finding.rule for finding in checker.findings}, rules)


class DefectsTest(unittest.TestCase):
    """The rule checker finds the rule that each faulty gateway breaks."""

    def test_broken_rules_found(self):
        """(defect) -> the rule that the checker must find broken; without a defect there must be no finding."""
        cases = (
            (Defect.NONE, set()),
            (Defect.DUPLICATE_RESPONSES, {1}),
            (Defect.MISSING_RESPONSES, {1}),
            (Defect.RETRIES_EVERYTHING, {2}),
            (Defect.WITHDRAWS_WITHOUT_CANCEL, {2}),
            (Defect.IGNORES_DRAINING, {3}),
            (Defect.IGNORES_SLOW_START, {4}),
            (Defect.UNLIMITED_PREWARMING, {5}),
        )
        checkers, errors = {}, {}
        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            path = os.path.join(folder, "day.sexp")
            with open(path, "w") as sink:
                sink.write(MANY_FAULTS_SCENARIO)
            # With an attempt timeout, withdrawals do not depend on how long the router waits for a silent worker.
            timed_path = os.path.join(folder, "timed.sexp")
            with open(timed_path, "w") as sink:
                sink.write(INVALID_ROUTES_SCENARIO.replace(" (cancel no)", "") % ("", 1))

            def run(defect):
                try:
                    runner = ScenarioRunner(
                        scenario.read(timed_path if defect is Defect.WITHDRAWS_WITHOUT_CANCEL else path),
                        os.path.join(folder, defect.value),
                        faulty_gateway_command(defect),
                    )
                    checkers[defect] = RuleChecker(trace.read(runner.run()))
                except Exception as error:  # noqa: BLE001 - the main thread asserts that there is none
                    errors[defect] = error

            for batch in (cases[:3], cases[3:6], cases[6:]):  # only a few at once, as each run starts several processes
                threads = [threading.Thread(target=run, args=(defect,)) for defect, _ in batch]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
        self.assertEqual(errors, {})
        for defect, rules in cases:
            with self.subTest(defect=defect):
                findings = checkers[defect].findings
                broken_rules = {finding.rule for finding in findings}
                self.assertLessEqual(rules, broken_rules, [str(finding) for finding in findings[:5]])
                if not rules:
                    self.assertEqual(broken_rules, set(), [str(finding) for finding in findings[:5]])


class InvalidScenariosTest(unittest.TestCase):
    """Diagnostics for invalid scenarios."""

    def test_diagnostics(self):
        """(invalid fault) -> words of its only diagnostic."""
        for text, words in (
            ('(at 1 s (dye "w1"))', ("dye", "die")),
            ('(at 1 s (die "w9"))', ("w9", "w1, w2")),
            ("(at 1 s (die))", ("0 names",)),
            ('(at 1 (die "w1"))', ("unit", "1 ms")),
            ('(at 1 s (slow "w1" (factr 3)))', ("factr", "factor")),
            ("(at 1 s)", ("without a fault",)),
            ('(at 1 s (burst "w1"))', ("1 names", "none")),
            ('(on (call-out "w1" 3) (burst))', ("burst", "on an event")),
            ('(on (call-out "w1" 3) (die "w2"))', ("w2", "w1")),
            ('(on (wake "w1" 3) (die "w1"))', ("call-out",)),
            ('(at 1 s (kill-gateway "w1"))', ("g1",)),
        ):
            with self.subTest(text=text), tempfile.NamedTemporaryFile("w", suffix=".sexp") as sink:
                sink.write(
                    f'(script "x" (length 1 s) (workers 2) (gateways 1) {text} (method "m" (effect idempotent)'
                    " (soft-deadline 1 s) (deadline 2 s) (work 1 ms)))"
                )
                sink.flush()
                with self.assertRaises(InvalidConfigError) as raised:
                    scenario.read(sink.name)
                self.assertEqual(len(raised.exception.diagnostics), 1, raised.exception)
                for word in words:
                    self.assertIn(word, str(raised.exception))


class CommandsTest(unittest.TestCase):
    """Exit codes and messages of the commands."""

    def test_exit_codes(self):
        """(arguments) -> exit code and words of the output, which must not contain a traceback."""
        with tempfile.TemporaryDirectory() as folder:
            invalid = os.path.join(folder, "a.trace")
            without_settings = os.path.join(folder, "b.trace")
            with open(invalid, "w") as sink:
                sink.write("no\n{}\n")
            with open(without_settings, "w") as sink:
                sink.write('{"t":1,"by":"c","n":1,"what":"x"}\n')
            for arguments, code, words in (
                (("judge", invalid), 2, "a.trace:1"),
                (("judge", without_settings), 2, "terms"),
                (("judge", folder + "/none"), 2, "none"),
                (("prove", folder + "/none"), 2, "none"),
                (("check", folder + "/none"), 2, "none"),
                (("serve", folder + "/none"), 2, "none"),
                (("up", folder + "/none"), 2, "none"),
                (("replay", invalid), 2, "recording"),
                (("replay", folder + "/none"), 2, "none"),
                (("call", folder + "/none", "m", "p"), 5, "none"),
                (("call", "10.0.0.1:80", "m", "p"), 5, "loopback"),
                (("dance",), 2, "dance"),
                (("check", "scripts/small.sexp"), 0, "good"),
            ):
                with self.subTest(arguments=arguments):
                    completed = subprocess.run(
                        [sys.executable, "-m", "wickdyke.cli", *arguments], capture_output=True, text=True, timeout=60
                    )
                    self.assertEqual(completed.returncode, code, completed.stderr)
                    self.assertIn(words, completed.stdout + completed.stderr)
                    self.assertNotIn("Traceback", completed.stderr)


if __name__ == "__main__":
    unittest.main()
