"""The counts and log lines of exceptions that nothing else handles, and of a front end that nobody finds ready."""

import unittest
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.front_end_rig import FrontEndCase
from wickdyke.gateway.exception_log import MAX_PLACES, OTHER_PLACES, ExceptionLog
from wickdyke.platform import client_connection, service


def raised(statement="raise ValueError('unknown shape')", file="module.py", line=1):
    """Returns an exception that was raised in that file and line."""
    try:
        exec(compile("\n" * (line - 1) + statement, file, "exec"))
    except ValueError as error:
        return error
    raise AssertionError("the statement raised nothing")


class ExceptionLogTest(unittest.TestCase):
    """Records exceptions of one and of many places."""

    def test_a_place_that_always_fails_is_counted_and_logged_rarely(self):
        """Guards against a log that is filled, or silent, where a place fails at each call (issue 65)."""
        log = Mock()
        exceptions = ExceptionLog(log)
        for _ in range(120):
            exceptions.record("unhandled exception", raised(line=7))
        exceptions.record("unhandled exception", raised(line=8))
        self.assertEqual(exceptions.counts, {"module.py:7": 120, "module.py:8": 1})
        lines = [(call.kwargs["where"], call.kwargs["so_far"]) for call in log.error.call_args_list]
        self.assertEqual(lines, [("module.py:7", 1), ("module.py:7", 10), ("module.py:7", 100), ("module.py:8", 1)])
        self.assertEqual(log.error.call_args.kwargs["reason"], "ValueError: unknown shape")

    def test_the_number_of_places_is_bounded(self):
        exceptions = ExceptionLog(Mock())
        for line in range(1, 2 * MAX_PLACES):
            exceptions.record("unhandled exception", raised(line=line))
        exceptions.record("unhandled exception", ValueError("never raised"))
        self.assertEqual(len(exceptions.counts), MAX_PLACES + 1)
        self.assertEqual(exceptions.counts[OTHER_PLACES], MAX_PLACES)


class FrontEndLogTest(FrontEndCase):
    """What a front end logs while no client can reach it."""

    def logged(self, event):
        """Returns the fields of the lines of that event."""
        calls = self.log.info.call_args_list + self.log.warning.call_args_list
        return [call.kwargs for call in calls if call.args[0] == event]

    def test_a_front_end_that_answers_no_liveness_check_says_so(self):
        """Guards against a process that is up and never ready, with nothing in its log (issue 65)."""
        with patch.object(service, "LOG_COUNTS_INTERVAL", 1.0):
            self.front_end()
            with patch.object(client_connection.thrift.FrameParser, "feed", side_effect=ValueError("unknown shape")):
                client = self.client()
                client.send(rig.alive(1))
                self.assertEqual(self.answer(client)[1], "closed")
                self.until(lambda: any(line["exceptions"] for line in self.logged("no liveness check answered yet")))
            (line,) = self.logged("counts")[-1:]
            self.assertEqual(
                (line["closed_fault"], [n for n in line if n.startswith("exceptions_")]), (1, [self.place()])
            )
            client = self.client()
            client.send(rig.alive(1))
            self.assertEqual(self.answer(client)[1], "good")
            warnings = len(self.logged("no liveness check answered yet"))
            counts = len(self.logged("counts"))
            self.until(lambda: len(self.logged("counts")) > counts + 1)
            self.assertEqual(len(self.logged("no liveness check answered yet")), warnings)
            self.assertEqual(self.logged("counts")[-1]["alive_good"], 1)

    def place(self):
        """Returns the name of the count of the only place that raised."""
        (place,) = self.service.coordinator.context.exceptions.counts
        return f"exceptions_{place}"

    def test_the_facts_that_the_system_tells_are_logged_at_the_start(self):
        self.front_end()
        (line,) = self.logged("system facts")
        self.assertEqual((line["close_behind_data"], line["peek"], line["process_memory"]), (True, True, True))


if __name__ == "__main__":
    unittest.main()
