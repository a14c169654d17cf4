"""Tests of the rule checker with handmade traces.

Traces that break a rule by one event or one millisecond stand beside traces that barely follow it.
"""

import unittest

from tests.handmade_trace import (
    answered,
    cancelled,
    ended,
    gateway_killed,
    gateway_started,
    lost,
    prewarm,
    published,
    received,
    sent,
    trace,
    worker_crashed,
    worker_killed,
    worker_started,
)
from wickdyke.fault_injection.rule_checker import RuleChecker

ANSWERED_REQUEST = [sent(10), received(11), ended(20), answered(21)]


class RuleTest(unittest.TestCase):
    """Checks for each rule which traces break it."""

    def check(self, cases):
        """Checks cases of (name, events of the trace, numbers of the rules that the trace breaks)."""
        for name, events, rules in cases:
            with self.subTest(case=name):
                checker = RuleChecker(trace(*events))
                self.assertEqual(sorted({finding.rule for finding in checker.findings}), rules, checker.findings)

    def test_lost_requests(self):
        self.check(
            (
                ("answered once", ANSWERED_REQUEST, []),
                ("answered at its deadline", [sent(10), answered(1010, "denied")], []),
                ("answered a millisecond after its deadline", [sent(10), answered(1011, "denied")], [1]),
                ("never answered", [sent(10)], [1]),
                ("answered twice", [*ANSWERED_REQUEST, answered(22)], [1]),
                ("answered again after its deadline", [sent(10), answered(30, "aborted"), answered(2000)], [1]),
                ("an invalid answer", [sent(10), answered(20, "malformed")], [1]),
                ("an unsolicited answer", [*ANSWERED_REQUEST, answered(22, mark="b")], [1]),
                ("lost with its gateway", [sent(10), gateway_killed(15), lost(16)], []),
                ("lost while its gateway ran", [sent(10), lost(16)], [1]),
                ("lost with another gateway", [sent(10), gateway_killed(15, "g2"), lost(16)], [1]),
                ("lost before its gateway was killed", [sent(10), lost(16), gateway_killed(17)], [1]),
                (
                    "lost by a gateway that was killed before and restarted",
                    [gateway_killed(5), gateway_started(6), sent(10), lost(16)],
                    [1],
                ),
            )
        )

    def test_double_effects(self):
        side_effecting = sent(10, method="side")
        keyed_in_zone = sent(10, method="tok")
        keyed_everywhere = sent(10, method="tokall")
        retried = [received(11), ended(20, result="full"), received(20, "w2"), ended(30, "w2"), answered(31)]
        self.check(
            (
                ("retried after full", [side_effecting, *retried], []),
                ("retried after miss", [side_effecting, received(11), ended(20, result="miss"), *retried[2:]], []),
                (
                    "retried after an error",
                    [side_effecting, received(11), ended(20, result="error"), *retried[2:]],
                    [2],
                ),
                ("retried after its worker died", [side_effecting, received(11), worker_killed(15), *retried[2:]], [2]),
                (
                    "retried after a cancel",
                    [side_effecting, received(11), cancelled(19), ended(19, result="cancelled"), *retried[2:]],
                    [2],
                ),
                ("rejected after it ran", [side_effecting, received(11), ended(20), answered(21, "denied")], [2]),
                (
                    "rejected after it may have run",
                    [side_effecting, received(11), worker_killed(15), answered(21, "denied")],
                    [2],
                ),
                (
                    "rejected after full",
                    [side_effecting, received(11), ended(20, result="full"), answered(21, "denied")],
                    [],
                ),
                (
                    "failed after it may have run",
                    [side_effecting, received(11), worker_killed(15), answered(21, "aborted")],
                    [],
                ),
                (
                    "rejected while an attempt runs",
                    [side_effecting, answered(21, "denied"), received(22), ended(30)],
                    [2],
                ),
                (
                    "idempotent, retried after an error",
                    [sent(10), received(11), ended(20, result="error"), *retried[2:]],
                    [],
                ),
                ("idempotent, rejected after it ran", [sent(10), received(11), ended(20), answered(21, "denied")], []),
                (
                    "with a key, retried in its zone",
                    [keyed_in_zone, received(11), ended(20, result="error"), *retried[2:]],
                    [],
                ),
                (
                    "with a key, retried in another zone",
                    [
                        keyed_in_zone,
                        received(11),
                        ended(20, result="error"),
                        received(21, "w3"),
                        ended(30, "w3"),
                        answered(31),
                    ],
                    [2],
                ),
                (
                    "with a key, retried as it expires",
                    [
                        sent(10, method="tok", time_left=5000.0),
                        received(11),
                        ended(20, result="error"),
                        received(1011, "w2"),
                        ended(1020, "w2"),
                        answered(1031),
                    ],
                    [],
                ),
                (
                    "with a key, retried a millisecond later",
                    [
                        sent(10, method="tok", time_left=5000.0),
                        received(11),
                        ended(20, result="error"),
                        received(1012, "w2"),
                        ended(1020, "w2"),
                        answered(1031),
                    ],
                    [2],
                ),
                (
                    "with a key of all workers, rejected",
                    [keyed_everywhere, received(11), ended(20, result="error"), answered(21, "denied")],
                    [],
                ),
                (
                    "with a key of the zone, rejected",
                    [keyed_in_zone, received(11), ended(20, result="error"), answered(21, "denied")],
                    [2],
                ),
                ("an attempt without a request", [received(11), ended(12)], [2]),
            )
        )

    def test_overlapping_attempts(self):
        self.check(
            (
                (
                    "two attempts in progress",
                    [sent(10), received(11), received(12, "w2"), ended(20), ended(21, "w2"), answered(22)],
                    [2],
                ),
                (
                    "overlap of one millisecond",
                    [sent(10), received(11), received(19, "w2"), ended(20), ended(21, "w2"), answered(22)],
                    [2],
                ),
                (
                    "one after the other",
                    [sent(10), received(11), ended(19), received(19, "w2"), ended(21, "w2"), answered(22)],
                    [],
                ),
                (
                    "after a cancel",
                    [sent(10), received(11), cancelled(19), received(19, "w2"), ended(21, "w2"), answered(22)],
                    [],
                ),
                (
                    "after a lost answer, without a cancel",
                    [
                        sent(10),
                        received(11),
                        ended(15, result="lost"),
                        received(19, "w2"),
                        ended(21, "w2"),
                        answered(22),
                    ],
                    [2],
                ),
                (
                    "after its worker died",
                    [sent(10), received(11), worker_killed(15), received(19, "w2"), ended(21, "w2"), answered(22)],
                    [],
                ),
            )
        )
        overlapping = trace(
            sent(10), received(11), received(12, "w2"), ended(20), ended(21, "w2"), answered(22), overlap=True
        )
        self.assertEqual(RuleChecker(overlapping).findings, [])

    def test_drains(self):
        request = [sent(10, time_left=9000.0), answered(2500)]
        self.check(
            (
                (
                    "at the end of the grace period",
                    [*request, published(1000, "draining"), received(2000), ended(2100)],
                    [],
                ),
                (
                    "a millisecond after the grace period",
                    [*request, published(1000, "draining"), received(2001), ended(2100)],
                    [3],
                ),
                ("after a removal", [*request, published(1000, "gone"), received(2001), ended(2100)], [3]),
                (
                    "a second state does not extend the grace period",
                    [*request, published(1000, "draining"), published(1500, "gone"), received(2001), ended(2100)],
                    [3],
                ),
                (
                    "ready again before the attempt",
                    [*request, published(1000, "gone"), published(1999, "ready"), received(2001), ended(2100)],
                    [],
                ),
                ("a prewarm", [published(1000, "draining"), prewarm(2001)], [3]),
                ("a prewarm of no replicas", [published(1000, "draining"), prewarm(2001, replicas=0)], []),
                ("another worker", [*request, published(1000, "draining", "w2"), received(2001), ended(2100)], []),
            )
        )

    def test_slow_start(self):
        def requests(*times_ms, work=500.0, gateways=("g1",)):
            events = [worker_started(1000)]
            for index, time_ms in enumerate(times_ms):
                mark, gateway = f"m{index}", gateways[index % len(gateways)]
                events += [
                    sent(time_ms - 1, mark, time_left=60000, gateway=gateway),
                    received(time_ms, mark=mark, work=work, gateway=gateway),
                    ended(time_ms + 1, mark=mark),
                    answered(time_ms + 2, mark=mark),
                ]
            return events

        # The limit at the start of the slow start is 2 x 0.25 x 4 x 1000 = 2000 ms of work in a second.
        self.check(
            (
                ("as much work as the limit", requests(1000, 1001, 1002, 1003), []),
                ("one attempt more", requests(1000, 1001, 1002, 1003, 1004), [4]),
                ("from two gateways together", requests(1000, 1001, 1002, 1003, 1004, gateways=("g1", "g2")), [4]),
                ("the fifth attempt when the first has left the window", requests(1000, 1100, 1200, 1300, 2000), []),
                ("the fifth attempt a millisecond earlier", requests(1000, 1100, 1200, 1300, 1301), [4]),
                ("after the ramp", requests(*[11000 + number for number in range(30)]), []),
                ("crashed", [worker_started(1000), worker_crashed(1500)], [4]),
                (
                    "started without a slow start",
                    [worker_started(1000, warming_up=False), *requests(1000, 1001, 1002, 1003, 1004)[1:]],
                    [],
                ),
            )
        )

    def test_prewarm_quota(self):
        requests = [
            event
            for index in range(4)
            for event in (sent(100 + index, f"m{index}"), answered(110 + index, mark=f"m{index}"))
        ]
        self.check(
            (
                ("the free prewarms", [prewarm(10), prewarm(11)], []),
                ("one more than the free prewarms", [prewarm(10), prewarm(11), prewarm(12)], [5]),
                ("prewarms of no replicas do not count", [prewarm(10), prewarm(11), prewarm(12, 0)], []),
                ("earned by requests", [*requests, *[prewarm(200 + number) for number in range(4)]], []),
                ("one more than the requests earn", [*requests, *[prewarm(200 + number) for number in range(5)]], [5]),
                (
                    "requests of another gateway earn nothing",
                    [*requests, *[prewarm(200 + number, gateway="g2") for number in range(3)]],
                    [5],
                ),
                ("the third prewarm when the first has left the window", [prewarm(10), prewarm(11), prewarm(5010)], []),
                ("the third prewarm a millisecond earlier", [prewarm(10), prewarm(11), prewarm(5009)], [5]),
                (
                    "prewarms of all workers are counted together",
                    [prewarm(10), prewarm(11, worker="w2"), prewarm(12, worker="w3")],
                    [5],
                ),
                (
                    "a restarted gateway has its whole quota again",
                    [prewarm(10), prewarm(11), gateway_started(12), prewarm(13), prewarm(14)],
                    [],
                ),
            )
        )

    def test_transit(self):
        """A delay of up to `transit` ms between the sending of a message and the line that records it is allowed."""
        for delay, rules in ((50, []), (51, [2])):
            checker = RuleChecker(
                trace(
                    sent(10),
                    received(11),
                    received(20, "w2"),
                    ended(20 + delay),
                    ended(90, "w2"),
                    answered(92),
                    transit=50.0,
                )
            )
            self.assertEqual(sorted({finding.rule for finding in checker.findings}), rules)

    def test_same_worker_again(self):
        """The number of a cancel tells its attempt where a worker records it after the next attempt of the request."""

        def numbered(event, attempt_number):
            return *event[:3], {**event[3], "job": attempt_number}

        first = numbered(received(11), 1)
        retried = numbered(received(20), 2)
        for name, events, rules in (
            ("in order", [numbered(cancelled(19), 1), retried], []),
            ("recorded after the next attempt, within the transit time", [retried, numbered(cancelled(25), 1)], []),
            ("recorded after the transit time", [retried, numbered(cancelled(71), 1)], [2]),
            ("the second attempt cancelled, not the first", [retried, numbered(cancelled(25), 2)], [2]),
        ):
            with self.subTest(case=name):
                checker = RuleChecker(
                    trace(sent(10), first, *events, numbered(ended(80), 2), answered(82), transit=50.0)
                )
                self.assertEqual(sorted({finding.rule for finding in checker.findings}), rules)

    def test_outcomes(self):
        checker = RuleChecker(
            trace(
                sent(10, "a"),
                answered(20, mark="a"),
                sent(10, "b"),
                answered(700, mark="b"),
                sent(10, "c"),
                answered(20, "denied", "c"),
                sent(10, "d"),
                answered(20, "aborted", "d"),
                sent(10, "e"),
                gateway_killed(15),
                lost(16, "e"),
            )
        )
        self.assertEqual(
            checker.outcomes()["idem"],
            {"asked": 5, "ok in time": 1, "ok late": 1, "denied": 1, "aborted": 1, "lost": 1},
        )
        self.assertEqual(checker.latencies()["idem"], [10.0, 690.0])


if __name__ == "__main__":
    unittest.main()
