"""The wire: good frames answered, bad ones named."""

import subprocess
import sys
import unittest

TERMS = """client-habits.marks-retry=true discovery=automatic family-info.idle-life=8000000
family-info.if-cold=load family-info.load-wait=10000000 family-info.may-load=true
family-info.memory-mb-by-kind=68160.0,69568.0 family-info.says-company=true family-info.warm-notes=true
instances=1 lanes.count=1 lanes.0.aim=750000 lanes.0.deadline=4000000 lanes.0.gain=1.0 lanes.0.name=m
lanes.0.repeat=pure limits.cancelling=true limits.dial-timeout=250000 limits.probing=true
limits.second-copies=false limits.send-cap=3 report.fields=utilization,newfangled rules.cold-from=0.25
rules.overload-factor=3.0 rules.ramp-time=14000000 rules.stop-sending-within=1000000 rules.tip-after=1500000
self-index=0 zone=0 unheard.of=1""".split()  # noqa: SIM905 - one setting a word
START = "\t".join(["POWER_ON", "3", "5138", *TERMS]) + "\n"
LIST = "FLEET\t3\t2\t41\t1\nROW\tworker_a\t0\t0\t0\t3\t1\t-\n"
NEW = "NEW_REQUEST\t3\t77\t1\t240000\t0\tfn:x\t12000\t0\t384\t-\t2\n"
END = "END\n"


def play(text):
    """The exit code, output and errors of the simulator for this input."""
    run = subprocess.run([sys.executable, "-m", "wickdyke.simulator"], input=text.encode(), capture_output=True)
    return run.returncode, run.stdout.decode(), run.stderr.decode()


class Wire(unittest.TestCase):
    """Valid and invalid frames on the wire."""

    def test_good(self):
        """(what follows the start) -> the verbs of the last reply."""
        head = "MARK\t1000\n" + START + LIST + END
        sent = head + "MARK\t2000\n" + NEW + END
        back = "REPORT_BACK\t3\t77\t0\tworker_a\t{}\t500\t{}\t{}\t{}\n"
        for text, want in (
            ("", []),
            ("MARK\t1000\nEND\n", []),
            (head + "MARK\t2000\n" + NEW + END, ["ROUTE", "SET_TIMER"]),
            (sent + "MARK\t2500\n" + back.format("pass", 1, 3, "0.5,2,9") + END, []),
            (sent + "MARK\t2500\n" + back.format("pass", 1, 5, "-") + END, []),
            (sent + "MARK\t2500\n" + back.format("no_route", 0, "-", "-") + END, []),
            (sent + "MARK\t2500\nABORTED\t3\t77\n" + END, ["CALL_OFF"]),
            (sent + "MARK\t2500\nABORTED\t3\t99\nWAKEUP\t3\t5\n" + END, []),
            (sent + "MARK\t2500\nFLEET\t3\t3\t-\t0\n" + END, []),
            (sent + "MARK\t2500\nHALT\t3\n" + START + LIST + END, ["SET_TIMER"]),
        ):
            with self.subTest(text=text[-90:]):
                code, out, err = play(text)
                self.assertEqual((code, err), (0, ""))
                replies = out.split("ACK\n")
                got = [line.split("\t")[0] for line in replies[-2].splitlines()] if text else []
                self.assertEqual([v for v in got if v not in ("REMARK",)], want)

    def test_bad(self):
        """(input) -> words of the one plain line on standard error."""
        head = "MARK\t1000\n"
        started = head + START
        for text, words in (
            ("HELLO\n", ("line 1", "MARK")),
            ("MARK\tx\n", ("line 1", "MARK", "whole number")),
            (head, ("line 2", "END")),
            (head + "END", ("line 2", "end")),
            (started + "BOGUS\t3\n" + END, ("line 3", "BOGUS")),
            (started + "ABORTED\t4\t1\n" + END, ("line 3", "ABORTED", "instance 4")),
            (started + "ABORTED\t3\n" + END, ("line 3", "ABORTED", "2 values")),
            (started + "ABORTED\t3\tx\n" + END, ("line 3", "ABORTED", "whole number")),
            (started + NEW.replace("\t0\tfn", "\t9\tfn") + END, ("line 3", "NEW_REQUEST", "class")),
            (started + "FLEET\t3\t1\t1\t2\nROW\tw\t0\t0\t0\t3\t1\t-\nEND\n", ("line 5", "ROW")),
            (started + "PING_RESULT\t3\tw\tpass\t1\t0.5,oops\n" + END, ("line 3", "number")),
            (started + "PING_RESULT\t3\tw\twat\t1\t-\n" + END, ("line 3", "reason", "pass")),
            (head + START.replace("limits.send-cap=3\t", "") + END, ("line 2", "limits.send-cap")),
            ("MARK\t1000\nEND\nMARK\t900\nEND\n", ("line 3", "clock")),
        ):
            with self.subTest(text=text[-60:]):
                code, out, err = play(text)
                self.assertNotEqual(code, 0)
                self.assertEqual(err.count("\n"), 1, err)
                for word in words:
                    self.assertIn(word, err)
                self.assertTrue(out == "" or out.endswith("ACK\n"))
