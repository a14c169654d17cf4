"""Fault injection scenarios with real workers."""

import os
import tempfile
import unittest
from collections import Counter

from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.fault_injection import scenario, trace
from wickdyke.fault_injection.rule_checker import RuleChecker
from wickdyke.fault_injection.scenario_runner import ScenarioRunner


class RealWorkerScenarioTest(unittest.TestCase):
    """Scenarios whose workers are real, not simulated."""

    def test_no_rule_is_broken(self):
        """A worker is killed, another drained, and a replica of a third killed: no rule is broken."""
        text = """(script "real" (length 5 s) (gateways 2) (workers 3) (cores 4) (rate 40) (memory 400 MB) (runtime yes)
          (warmup (start-share 0.5) (ramp 1 s))
          (method "idem" (effect idempotent) (soft-deadline 2 s) (deadline 8 s) (work 10 ms) (memory 40 MB)
            (load 50 ms) (programs 6))
          (method "side" (effect side-effecting) (soft-deadline 2 s) (deadline 8 s) (work 10 ms) (memory 40 MB)
            (load 50 ms) (programs 2))
          (at 1500 ms (die "w1" (back 200 ms))) (at 2 s (drain "w2" (for 1 s))) (at 2500 ms (kill-copy "w3")))"""
        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            with open(os.path.join(folder, "s.sexp"), "w") as file:
                file.write(text)
            checker = RuleChecker(
                trace.read(ScenarioRunner(scenario.read(file.name), os.path.join(folder, "run")).run())
            )
        self.assertEqual([str(finding) for finding in checker.findings], [])
        totals = sum(checker.outcomes().values(), Counter())
        self.assertEqual(totals["lost"], 0)
        # The bound is low, as workers are slow while they warm up.
        self.assertGreater(totals["ok in time"], 0.3 * totals["asked"])

    def test_unsupported_faults(self):
        """(runtime, fault) -> words of the error; real and simulated workers support different faults."""
        for runtime, fault, words in (
            ("yes", '(at 1 s (hang "w1"))', "kill-copy"),
            ("yes", '(on (call-out "w1" 3) (die "w1"))', "that real workers support"),
            ("no", '(at 1 s (kill-copy "w1"))', "fake workers do not support"),
        ):
            with self.subTest(fault=fault), tempfile.TemporaryDirectory(prefix="wd-") as folder:
                with open(os.path.join(folder, "s.sexp"), "w") as file:
                    file.write(f"""(script "s" (length 1 s) (runtime {runtime}) (method "m" (effect idempotent)
                        (soft-deadline 1 s) (deadline 2 s) (work 1 ms)) {fault})""")
                with self.assertRaisesRegex(InvalidConfigError, words):
                    scenario.read(file.name)


if __name__ == "__main__":
    unittest.main()
