"""Whole days against real gateways: the rules hold, and the judge finds each that a wrong gateway breaks."""

import os
import subprocess
import sys
import tempfile
import threading
import unittest

from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.fault_injection import scenario, trace
from wickdyke.fault_injection.rule_checker import RuleChecker
from wickdyke.fault_injection.scenario_runner import RigError, ScenarioRunner

DAY = """(script "day" (length 6 s) (gateways 2) (workers 6) (zones 2) (rate 130) (drain-grace 300 ms)
  (warmup (start-share 0.05) (ramp 8 s) (multiple 1.5) (window 2 s)) (ration (free 3) (share 0.02) (window 5 s))
  (method "idem" (effect idempotent) (soft-deadline 750 ms) (deadline 3 s) (work 60 ms) (programs 30) (load 300 ms))
  (method "side" (effect side-effecting) (soft-deadline 1 s) (deadline 2 s) (part 0.5) (work 40 ms) (programs 4))
  (at 1 s (lose "w1" (share 0.5) (for 4 s)))
  (at 1 s (fail "w5" (share 0.7) (for 4 s)))
  (at 1200 ms (drain "w3" (for 4 s)))
  (at 1500 ms (hang "w1" (for 3 s)))
  (at 2 s (lose-zone "z2" (back 300 ms)))
  (on (call-out "w4" 15) (die "w4")))"""


FORCED = """(script "forced" (length 5 s) (gateways 1) (workers 4) (rate 60) (cancel no)
  (method "idem" (effect idempotent) (soft-deadline 750 ms) (deadline 4 s) (work 20 ms) (programs 4) (load 50 ms))
  (route "r" (attempt 300 ms%s) (attempts 3) (pause (first %s ms)) (again timeout full))
  (at 1 s (hang "w1" (for 3 s))) (at 2 s (hang "w2" (for 2 s))))"""


class Forced(unittest.TestCase):
    def test_past_the_check(self):
        """A file that the check refuses, forced past it, breaks the rule that the check keeps; a good one does not."""
        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            for name, figures, mistake, rules in (
                ("bad", ("", 1), "checks no routes", {2}),
                ("refused", ("", 1), "none", None),
            ):
                with self.subTest(case=name):
                    path = os.path.join(folder, f"{name}.sexp")
                    with open(path, "w") as sink:
                        sink.write(FORCED % figures)
                    director = ScenarioRunner(
                        scenario.read(path),
                        os.path.join(folder, name),
                        (sys.executable, "-m", "tests.faulty_gateways", mistake, "serve"),
                    )
                    if rules is None:
                        with self.assertRaises(RigError):
                            director.run()
                        with open(os.path.join(folder, name, "g1.err")) as said:
                            self.assertIn("does not cancel", said.read())
                        continue
                    judge = RuleChecker(trace.read(director.run()))
                    self.assertEqual({finding.rule for finding in judge.findings}, rules)


class Mistakes(unittest.TestCase):
    def test_found(self):
        """(mistake) -> the rule that the judge must find broken; with none, all are kept."""
        cases = (
            ("none", set()),
            ("answers twice", {1}),
            ("never answers", {1}),
            ("repeats all", {2}),
            ("cancels in silence", {2}),
            ("deaf to drains", {3}),
            ("blind to the cold", {4}),
            ("orders at will", {5}),
        )
        found, failed = {}, {}
        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            path = os.path.join(folder, "day.sexp")
            with open(path, "w") as sink:
                sink.write(DAY)
            # Attempts that are over are taken back at once, however long the module waits for a silent worker.
            timed = os.path.join(folder, "timed.sexp")
            with open(timed, "w") as sink:
                sink.write(FORCED.replace(" (cancel no)", "") % ("", 1))

            def play(mistake):
                try:
                    script = scenario.read(timed if mistake == "cancels in silence" else path)
                    director = ScenarioRunner(
                        script,
                        os.path.join(folder, mistake.replace(" ", "-")),
                        (sys.executable, "-m", "tests.faulty_gateways", mistake, "serve"),
                    )
                    found[mistake] = RuleChecker(trace.read(director.run()))
                except Exception as bad:
                    failed[mistake] = bad

            for few in (cases[:3], cases[3:6], cases[6:]):  # a few at once: each is several processes
                threads = [threading.Thread(target=play, args=(mistake,)) for mistake, _ in few]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
        self.assertEqual(failed, {})
        for mistake, rules in cases:
            with self.subTest(mistake=mistake):
                got = {finding.rule for finding in found[mistake].findings}
                self.assertLessEqual(rules, got, [str(f) for f in found[mistake].findings[:5]])
                if not rules:
                    self.assertEqual(got, set(), [str(f) for f in found[mistake].findings[:5]])


class Scripts(unittest.TestCase):
    def test_bad(self):
        """(what stands in place of a trouble) -> words of the one message."""
        for text, words in (
            ('(at 1 s (dye "w1"))', ("dye", "die")),
            ('(at 1 s (die "w9"))', ("w9", "w1, w2")),
            ("(at 1 s (die))", ("0 names",)),
            ('(at 1 (die "w1"))', ("unit", "1 ms")),
            ('(at 1 s (slow "w1" (factr 3)))', ("factr", "factor")),
            ("(at 1 s)", ("without a trouble",)),
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
                with self.assertRaises(InvalidConfigError) as bad:
                    scenario.read(sink.name)
                self.assertEqual(len(bad.exception.diagnostics), 1, bad.exception)
                for word in words:
                    self.assertIn(word, str(bad.exception))


class Commands(unittest.TestCase):
    def test_codes(self):
        """(arguments) -> exit code, and words; never a traceback."""
        with tempfile.TemporaryDirectory() as folder:
            broken, good = os.path.join(folder, "a.trace"), os.path.join(folder, "b.trace")
            with open(broken, "w") as sink:
                sink.write("no\n{}\n")
            with open(good, "w") as sink:
                sink.write('{"t":1,"by":"c","n":1,"what":"x"}\n')
            for argv, code, words in (
                (("judge", broken), 2, "a.trace:1"),
                (("judge", good), 2, "terms"),
                (("judge", folder + "/none"), 2, "none"),
                (("prove", folder + "/none"), 2, "none"),
                (("check", folder + "/none"), 2, "none"),
                (("serve", folder + "/none"), 2, "none"),
                (("up", folder + "/none"), 2, "none"),
                (("replay", broken), 2, "recording"),
                (("replay", folder + "/none"), 2, "none"),
                (("call", folder + "/none", "m", "p"), 5, "none"),
                (("call", "10.0.0.1:80", "m", "p"), 5, "loopback"),
                (("dance",), 2, "dance"),
                (("check", "scripts/small.sexp"), 0, "good"),
            ):
                with self.subTest(argv=argv):
                    done = subprocess.run(
                        [sys.executable, "-m", "wickdyke.cli", *argv], capture_output=True, text=True, timeout=60
                    )
                    self.assertEqual(done.returncode, code, done.stderr)
                    self.assertIn(words, done.stdout + done.stderr)
                    self.assertNotIn("Traceback", done.stderr)


if __name__ == "__main__":
    unittest.main()
