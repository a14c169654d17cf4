"""A gateway as a process, and the command `call`: exit codes and output."""

import os
import signal
import subprocess
import sys
import tempfile
import unittest

from wickdyke.fault_injection import scenario
from wickdyke.fault_injection.scenario_runner import ScenarioRunner

SMALL = """(script "small" (length 1 s) (gateways 1) (workers 2)
  (method "m" (effect idempotent) (soft-deadline 2 s) (deadline 8 s) (work 5 ms) (load 20 ms)))"""


def run(*argv):
    """Runs a wickdyke command; returns (exit code, standard output, standard error)."""
    done = subprocess.run([sys.executable, "-m", "wickdyke.cli", *argv], capture_output=True, text=True, timeout=60)
    return done.returncode, done.stdout, done.stderr


class CallCommand(unittest.TestCase):
    def test_exit_codes(self):
        """(arguments) -> the exit code, and words of the output."""
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "s.sexp")
            with open(path, "w") as sink:
                sink.write(SMALL)
            runner = ScenarioRunner(scenario.read(path), os.path.join(folder, "run"))
            try:
                runner.start(traffic=False)
                sock = os.path.join(folder, "run", "g1.sock")
                for argv, code, words in (
                    (("m", "p", '{"mark": "a"}', "--memory", "100"), 0, '"answer":"ok"'),
                    (("m", "p", '{"mark": "b"}', "--memory", "100", "--time-left", "1"), 3, '"denied"'),
                    (("m", "p", "{}"), 2, "memory_mb"),
                    (("other", "p", "{}", "--memory", "100"), 2, "expected one of m"),
                    (("m", "p", "{"), 2, "expected JSON"),
                ):
                    with self.subTest(argv=argv):
                        exit_code, out, err = run("call", sock, *argv)
                        self.assertEqual(exit_code, code, out + err)
                        self.assertIn(words, out + err)
                gateway = runner.gateways["g1"]
                self.assertEqual(run("serve", os.path.join(folder, "run", "g1.sexp"))[0], 2)  # a live one is there
                gateway.process.send_signal(signal.SIGTERM)
                self.assertEqual(gateway.wait(), 0)
                self.assertEqual(run("call", sock, "m", "p")[0], 5)
            finally:
                runner.close()


if __name__ == "__main__":
    unittest.main()
