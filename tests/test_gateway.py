"""A gateway as a process, and the command `call`: exit codes and output."""

import os
import signal
import subprocess
import sys
import tempfile
import unittest

from wickdyke.fault_injection import scenario
from wickdyke.fault_injection.scenario_runner import ScenarioRunner

SMALL_SCENARIO = """(script "small" (length 1 s) (gateways 1) (workers 2)
  (method "m" (effect idempotent) (soft-deadline 2 s) (deadline 8 s) (work 5 ms) (load 20 ms)))"""


def run(*argv):
    """Runs a wickdyke command; returns (exit code, standard output, standard error)."""
    process = subprocess.run([sys.executable, "-m", "wickdyke.cli", *argv], capture_output=True, text=True, timeout=60)
    return process.returncode, process.stdout, process.stderr


class CallCommand(unittest.TestCase):
    """Exit codes of the command `call`."""

    def test_exit_codes(self):
        """(arguments) -> the exit code, and a part of the output."""
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "s.sexp")
            with open(path, "w") as sink:
                sink.write(SMALL_SCENARIO)
            runner = ScenarioRunner(scenario.read(path), os.path.join(folder, "run"))
            try:
                runner.start(traffic=False)
                sock = os.path.join(folder, "run", "g1.sock")
                for argv, expected_code, expected_text in (
                    (("m", "p", '{"mark": "a"}', "--memory", "100"), 0, '"answer":"ok"'),
                    (("m", "p", '{"mark": "b"}', "--memory", "100", "--time-left", "1"), 3, '"denied"'),
                    (("m", "p", "{}"), 2, "memory_mb"),
                    (("other", "p", "{}", "--memory", "100"), 2, "expected one of m"),
                    (("m", "p", "{"), 2, "expected JSON"),
                ):
                    with self.subTest(argv=argv):
                        exit_code, out, err = run("call", sock, *argv)
                        self.assertEqual(exit_code, expected_code, out + err)
                        self.assertIn(expected_text, out + err)
                gateway = runner.gateways["g1"]
                self.assertEqual(run("serve", os.path.join(folder, "run", "g1.sexp"))[0], 2)  # its socket is in use
                gateway.process.send_signal(signal.SIGTERM)
                self.assertEqual(gateway.wait(), 0)
                self.assertEqual(run("call", sock, "m", "p")[0], 5)
            finally:
                runner.close()


if __name__ == "__main__":
    unittest.main()
