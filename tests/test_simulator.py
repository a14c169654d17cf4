"""Tests of the simulator adapter as a process: replies to valid input, errors for malformed input."""

import subprocess
import sys
import unittest

SETTINGS = """client-habits.marks-retry=true discovery=automatic family-info.idle-life=8000000
family-info.if-cold=load family-info.load-wait=10000000 family-info.may-load=true
family-info.memory-mb-by-kind=68160.0,69568.0 family-info.says-company=true family-info.warm-notes=true
instances=1 lanes.count=1 lanes.0.aim=750000 lanes.0.deadline=4000000 lanes.0.gain=1.0 lanes.0.name=m
lanes.0.repeat=pure limits.cancelling=true limits.dial-timeout=250000 limits.probing=true
limits.second-copies=false limits.send-cap=3 report.fields=utilization,newfangled rules.cold-from=0.25
rules.overload-factor=3.0 rules.ramp-time=14000000 rules.stop-sending-within=1000000 rules.tip-after=1500000
self-index=0 zone=0 unheard.of=1""".split()  # noqa: SIM905 - one setting for each word
START = "\t".join(["POWER_ON", "3", "5138", *SETTINGS]) + "\n"
ENDPOINT_LIST = "FLEET\t3\t2\t41\t1\nROW\tworker_a\t0\t0\t0\t3\t1\t-\n"
NEW_REQUEST = "NEW_REQUEST\t3\t77\t1\t240000\t0\tfn:x\t12000\t0\t384\t-\t2\n"
END = "END\n"


def run_simulator(text):
    """Returns the exit code, standard output and standard error of the simulator adapter for this input."""
    process = subprocess.run([sys.executable, "-m", "wickdyke.simulator"], input=text.encode(), capture_output=True)
    return process.returncode, process.stdout.decode(), process.stderr.decode()


class SimulatorProtocolTest(unittest.TestCase):
    """Valid and malformed batches."""

    def test_valid_input(self):
        """(input) -> the names of the messages in the last reply."""
        started = "MARK\t1000\n" + START + ENDPOINT_LIST + END
        forwarded = started + "MARK\t2000\n" + NEW_REQUEST + END
        result = "REPORT_BACK\t3\t77\t0\tworker_a\t{}\t500\t{}\t{}\t{}\n"
        for text, expected in (
            ("", []),
            ("MARK\t1000\nEND\n", []),
            (started + "MARK\t2000\n" + NEW_REQUEST + END, ["ROUTE", "SET_TIMER"]),
            (forwarded + "MARK\t2500\n" + result.format("pass", 1, 3, "0.5,2,9") + END, []),
            (forwarded + "MARK\t2500\n" + result.format("pass", 1, 5, "-") + END, []),
            (forwarded + "MARK\t2500\n" + result.format("no_route", 0, "-", "-") + END, []),
            (forwarded + "MARK\t2500\nABORTED\t3\t77\n" + END, ["CALL_OFF"]),
            (forwarded + "MARK\t2500\nABORTED\t3\t99\nWAKEUP\t3\t5\n" + END, []),
            (forwarded + "MARK\t2500\nFLEET\t3\t3\t-\t0\n" + END, []),
            (forwarded + "MARK\t2500\nHALT\t3\n" + START + ENDPOINT_LIST + END, ["SET_TIMER"]),
        ):
            with self.subTest(text=text[-90:]):
                exit_code, stdout, stderr = run_simulator(text)
                self.assertEqual((exit_code, stderr), (0, ""))
                replies = stdout.split("ACK\n")
                actual = [line.split("\t")[0] for line in replies[-2].splitlines()] if text else []
                self.assertEqual([name for name in actual if name not in ("REMARK",)], expected)

    def test_malformed_input(self):
        """(input) -> texts in the only line on standard error."""
        first_line = "MARK\t1000\n"
        started = first_line + START
        for text, expected_texts in (
            ("HELLO\n", ("line 1", "MARK")),
            ("MARK\tx\n", ("line 1", "MARK", "whole number")),
            (first_line, ("line 2", "END")),
            (first_line + "END", ("line 2", "end")),
            (started + "BOGUS\t3\n" + END, ("line 3", "BOGUS")),
            (started + "ABORTED\t4\t1\n" + END, ("line 3", "ABORTED", "instance 4")),
            (started + "ABORTED\t3\n" + END, ("line 3", "ABORTED", "2 values")),
            (started + "ABORTED\t3\tx\n" + END, ("line 3", "ABORTED", "whole number")),
            (started + NEW_REQUEST.replace("\t0\tfn", "\t9\tfn") + END, ("line 3", "NEW_REQUEST", "class")),
            (started + "FLEET\t3\t1\t1\t2\nROW\tw\t0\t0\t0\t3\t1\t-\nEND\n", ("line 5", "ROW")),
            (started + "PING_RESULT\t3\tw\tpass\t1\t0.5,oops\n" + END, ("line 3", "number")),
            (started + "PING_RESULT\t3\tw\twat\t1\t-\n" + END, ("line 3", "reason", "pass")),
            (first_line + START.replace("limits.send-cap=3\t", "") + END, ("line 2", "limits.send-cap")),
            ("MARK\t1000\nEND\nMARK\t900\nEND\n", ("line 3", "clock")),
        ):
            with self.subTest(text=text[-60:]):
                exit_code, stdout, stderr = run_simulator(text)
                self.assertNotEqual(exit_code, 0)
                self.assertEqual(stderr.count("\n"), 1, stderr)
                for expected_text in expected_texts:
                    self.assertIn(expected_text, stderr)
                self.assertTrue(stdout == "" or stdout.endswith("ACK\n"))
