"""Real workers in a fault injection scenario."""

import os
import tempfile
import unittest
from collections import Counter

from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.fault_injection import scenario, trace
from wickdyke.fault_injection.rule_checker import RuleChecker
from wickdyke.fault_injection.scenario_runner import ScenarioRunner


class RealWorkerScenarioTest(unittest.TestCase):
    """Scenarios whose workers are real ones."""

    def test_script(self):
        """Real workers under gateways, one killed, one replaced, a replica killed: no rule is broken."""
        text = """(script "real" (length 5 s) (gateways 2) (workers 3) (cores 4) (rate 40) (memory 400 MB) (runtime yes)
          (warmup (start-share 0.5) (ramp 1 s))
          (method "idem" (effect idempotent) (soft-deadline 2 s) (deadline 8 s) (work 10 ms) (memory 40 MB)
            (load 50 ms) (programs 6))
          (method "side" (effect side-effecting) (soft-deadline 2 s) (deadline 8 s) (work 10 ms) (memory 40 MB)
            (load 50 ms) (programs 2))
          (at 1500 ms (die "w1" (back 200 ms))) (at 2 s (drain "w2" (for 1 s))) (at 2500 ms (kill-copy "w3")))"""
        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            with open(os.path.join(folder, "s.sexp"), "w") as sink:
                sink.write(text)
            checker = RuleChecker(
                trace.read(ScenarioRunner(scenario.read(sink.name), os.path.join(folder, "run")).run())
            )
        self.assertEqual([str(finding) for finding in checker.findings], [])
        totals = sum(checker.outcomes().values(), Counter())
        self.assertEqual(totals["lost"], 0)
        self.assertGreater(totals["ok in time"], 0.3 * totals["asked"])  # wide: workers that warm up are slow

    def test_only_real_troubles(self):
        """(runtime, fault) -> words of the error: real workers can not have the faults of simulated ones."""
        for runtime, fault, words in (
            ("yes", '(at 1 s (hang "w1"))', "kill-copy"),
            ("yes", '(on (call-out "w1" 3) (die "w1"))', "that real workers support"),
            ("no", '(at 1 s (kill-copy "w1"))', "fake workers do not support"),
        ):
            with self.subTest(fault=fault), tempfile.TemporaryDirectory(prefix="wd-") as folder:
                with open(os.path.join(folder, "s.sexp"), "w") as sink:
                    sink.write(f"""(script "s" (length 1 s) (runtime {runtime}) (method "m" (effect idempotent)
                        (soft-deadline 1 s) (deadline 2 s) (work 1 ms)) {fault})""")
                with self.assertRaisesRegex(InvalidConfigError, words):
                    scenario.read(sink.name)


if __name__ == "__main__":
    unittest.main()
