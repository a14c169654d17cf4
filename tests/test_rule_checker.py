"""The judge: traces made by hand that break a rule, by one event or one millisecond, and near misses that keep it."""

import unittest

from wickdyke.fault_injection.rule_checker import RuleChecker

TERMS = {
    "overlap": False,
    "drain_grace": 1000.0,
    "transit": 0.0,
    "warmup": {"start_share": 0.25, "ramp": 10000.0, "multiple": 2.0, "window": 1000.0},
    "ration": {"free": 2.0, "share": 0.5, "window": 5000.0},
    "methods": {
        "idem": {"effect": "idempotent", "scope": "all", "window": 0, "soft": 500},
        "side": {"effect": "side-effecting", "scope": "all", "window": 0, "soft": 500},
        "tok": {"effect": "tokened", "scope": "zone", "window": 1000, "soft": 500},
        "tokall": {"effect": "tokened", "scope": "all", "window": 1000, "soft": 500},
    },
    "workers": {
        "w1": {"zone": "z1", "capacity": 4.0},
        "w2": {"zone": "z1", "capacity": 4.0},
        "w3": {"zone": "z2", "capacity": 4.0},
    },
}


def trace(*events, **terms):
    """(t, by, what, more) -> the lines of a trace, numbered as they stand."""
    lines = [{"t": 0.0, "by": "director", "n": 0, "what": "terms", **TERMS, **terms}]
    for n, (t, by, what, more) in enumerate(events, 1):
        lines.append({"t": float(t), "by": by, "n": n, "what": what, **more})
    return sorted(lines, key=lambda e: (e["t"], e["by"], e["n"]))


def asked(t, mark="a", method="idem", left=1000.0, gateway="g1"):
    return (
        t,
        "c1",
        "asked",
        {"mark": mark, "method": method, "left": left, "gateway": gateway, "work": 10.0, "program": "p"},
    )


def answered(t, answer="ok", mark="a"):
    return t, "c1", "answered", {"mark": mark, "answer": answer, "gateway": "g1", "why": "", "call_outs": 1}


def lost(t, mark="a", gateway="g1"):
    return t, "c1", "lost", {"mark": mark, "gateway": gateway}


def ran(t, worker="w1", mark="a", work=10.0, gateway="g1"):
    return t, worker, "run", {"mark": mark, "gateway": gateway, "work": work, "program": "p", "start": 1}


def end(t, worker="w1", how="ok", mark="a"):
    return t, worker, "end", {"mark": mark, "gateway": "g1", "how": how}


def cancel(t, worker="w1", mark="a"):
    return t, worker, "cancel", {"mark": mark, "gateway": "g1"}


def killed(t, gateway="g1"):
    return t, "director", "gateway-killed", {"gateway": gateway}


def died(t, worker="w1"):
    return t, "director", "worker-killed", {"worker": worker}


def told(t, state, worker="w1"):
    return t, "director", "told", {"worker": worker, "state": state, "start": 1}


def held(t, copies=1, worker="w1", gateway="g1"):
    return t, worker, "hold", {"gateway": gateway, "program": "p", "copies": copies, "start": 1}


def started(t, worker="w1", cold=True):
    return t, worker, "started", {"start": 2, "cold": cold}


def restarted(t, gateway="g1"):
    return t, "director", "gateway-started", {"gateway": gateway}


GOOD = [asked(10), ran(11), end(20), answered(21)]


class Rules(unittest.TestCase):
    def check(self, cases):
        for name, events, rules in cases:
            with self.subTest(case=name):
                judge = RuleChecker(trace(*events))
                self.assertEqual(sorted({f.rule for f in judge.findings}), rules, judge.findings)

    def test_lost(self):
        self.check(
            (
                ("answered once", GOOD, []),
                ("answered at the last moment", [asked(10), answered(1010, "denied")], []),
                ("answered a millisecond late", [asked(10), answered(1011, "denied")], [1]),
                ("never answered", [asked(10)], [1]),
                ("answered twice", [*GOOD, answered(22)], [1]),
                ("answered again after its time", [asked(10), answered(30, "aborted"), answered(2000)], [1]),
                ("an answer that is none", [asked(10), answered(20, "malformed")], [1]),
                ("an answer nobody asked for", [*GOOD, answered(22, mark="b")], [1]),
                ("lost with its gateway", [asked(10), killed(15), lost(16)], []),
                ("lost while its gateway ran", [asked(10), lost(16)], [1]),
                ("lost with another gateway", [asked(10), killed(15, "g2"), lost(16)], [1]),
                ("lost before its gateway was killed", [asked(10), lost(16), killed(17)], [1]),
                ("lost by a gateway killed before", [killed(5), restarted(6), asked(10), lost(16)], [1]),
            )
        )

    def test_effects(self):
        side, tok, tokall = asked(10, method="side"), asked(10, method="tok"), asked(10, method="tokall")
        two = [ran(11), end(20, how="full"), ran(20, "w2"), end(30, "w2"), answered(31)]
        self.check(
            (
                ("sent again after full", [side, *two], []),
                ("sent again after miss", [side, ran(11), end(20, how="miss"), *two[2:]], []),
                ("sent again after an error", [side, ran(11), end(20, how="error"), *two[2:]], [2]),
                ("sent again after its worker died", [side, ran(11), died(15), *two[2:]], [2]),
                ("sent again after a cancel", [side, ran(11), cancel(19), end(19, how="cancelled"), *two[2:]], [2]),
                ("denied after it ran", [side, ran(11), end(20), answered(21, "denied")], [2]),
                ("denied after it may have run", [side, ran(11), died(15), answered(21, "denied")], [2]),
                ("denied after full", [side, ran(11), end(20, how="full"), answered(21, "denied")], []),
                ("aborted after it may have run", [side, ran(11), died(15), answered(21, "aborted")], []),
                ("denied while it is out", [side, answered(21, "denied"), ran(22), end(30)], [2]),
                ("idempotent again after an error", [asked(10), ran(11), end(20, how="error"), *two[2:]], []),
                ("idempotent denied after it ran", [asked(10), ran(11), end(20), answered(21, "denied")], []),
                ("tokened again in its zone", [tok, ran(11), end(20, how="error"), *two[2:]], []),
                (
                    "tokened again in another zone",
                    [tok, ran(11), end(20, how="error"), ran(21, "w3"), end(30, "w3"), answered(31)],
                    [2],
                ),
                (
                    "tokened again at the window's end",
                    [
                        asked(10, method="tok", left=5000.0),
                        ran(11),
                        end(20, how="error"),
                        ran(1011, "w2"),
                        end(1020, "w2"),
                        answered(1031),
                    ],
                    [],
                ),
                (
                    "tokened again a millisecond past it",
                    [
                        asked(10, method="tok", left=5000.0),
                        ran(11),
                        end(20, how="error"),
                        ran(1012, "w2"),
                        end(1020, "w2"),
                        answered(1031),
                    ],
                    [2],
                ),
                ("tokened denied, group all", [tokall, ran(11), end(20, how="error"), answered(21, "denied")], []),
                ("tokened denied, group zone", [tok, ran(11), end(20, how="error"), answered(21, "denied")], [2]),
                ("never asked", [ran(11), end(12)], [2]),
            )
        )

    def test_at_once(self):
        self.check(
            (
                ("two at once", [asked(10), ran(11), ran(12, "w2"), end(20), end(21, "w2"), answered(22)], [2]),
                ("by one millisecond", [asked(10), ran(11), ran(19, "w2"), end(20), end(21, "w2"), answered(22)], [2]),
                ("one after the other", [asked(10), ran(11), end(19), ran(19, "w2"), end(21, "w2"), answered(22)], []),
                ("after a cancel", [asked(10), ran(11), cancel(19), ran(19, "w2"), end(21, "w2"), answered(22)], []),
                (
                    "after a lost answer, no cancel",
                    [asked(10), ran(11), end(15, how="lost"), ran(19, "w2"), end(21, "w2"), answered(22)],
                    [2],
                ),
                (
                    "after its worker died",
                    [asked(10), ran(11), died(15), ran(19, "w2"), end(21, "w2"), answered(22)],
                    [],
                ),
            )
        )
        both = trace(asked(10), ran(11), ran(12, "w2"), end(20), end(21, "w2"), answered(22), overlap=True)
        self.assertEqual(RuleChecker(both).findings, [])

    def test_drains(self):
        rpc = [asked(10, left=9000.0), answered(2500)]
        self.check(
            (
                ("at the grace's end", [*rpc, told(1000, "draining"), ran(2000), end(2100)], []),
                ("a millisecond past it", [*rpc, told(1000, "draining"), ran(2001), end(2100)], [3]),
                ("after gone", [*rpc, told(1000, "gone"), ran(2001), end(2100)], [3]),
                (
                    "a second word does not give more time",
                    [*rpc, told(1000, "draining"), told(1500, "gone"), ran(2001), end(2100)],
                    [3],
                ),
                ("ready again before", [*rpc, told(1000, "gone"), told(1999, "ready"), ran(2001), end(2100)], []),
                ("an order to load", [told(1000, "draining"), held(2001)], [3]),
                ("a mere question", [told(1000, "draining"), held(2001, copies=0)], []),
                ("another worker", [*rpc, told(1000, "draining", "w2"), ran(2001), end(2100)], []),
            )
        )

    def test_cold(self):
        def rpcs(*times, work=500.0, gateways=("g1",)):
            events = [started(1000)]
            for at, t in enumerate(times):
                mark, gateway = f"m{at}", gateways[at % len(gateways)]
                events += [
                    asked(t - 1, mark, left=60000, gateway=gateway),
                    ran(t, mark=mark, work=work, gateway=gateway),
                    end(t + 1, mark=mark),
                    answered(t + 2, mark=mark),
                ]
            return events

        # at its start it stands 2 x 0.25 x 4 x 1000 = 2000 ms of work in a second
        self.check(
            (
                ("as much as it stands", rpcs(1000, 1001, 1002, 1003), []),
                ("one RPC more", rpcs(1000, 1001, 1002, 1003, 1004), [4]),
                ("from two front ends together", rpcs(1000, 1001, 1002, 1003, 1004, gateways=("g1", "g2")), [4]),
                ("the fifth when the first is out of the window", rpcs(1000, 1100, 1200, 1300, 2000), []),
                ("the fifth a millisecond before", rpcs(1000, 1100, 1200, 1300, 1301), [4]),
                ("after the ramp", rpcs(*[11000 + n for n in range(30)]), []),
                ("fell over", [started(1000), (1500, "w1", "fell", {})], [4]),
                ("started long ago", [started(1000, cold=False), *rpcs(1000, 1001, 1002, 1003, 1004)[1:]], []),
            )
        )

    def test_ration(self):
        rpcs = [each for at in range(4) for each in (asked(100 + at, f"m{at}"), answered(110 + at, mark=f"m{at}"))]
        self.check(
            (
                ("free ones", [held(10), held(11)], []),
                ("one over", [held(10), held(11), held(12)], [5]),
                ("asking does not count", [held(10), held(11), held(12, 0)], []),
                ("paid by RPCs", [*rpcs, *[held(200 + n) for n in range(4)]], []),
                ("one over those", [*rpcs, *[held(200 + n) for n in range(5)]], [5]),
                (
                    "RPCs of another front end do not pay",
                    [*rpcs, *[held(200 + n, gateway="g2") for n in range(3)]],
                    [5],
                ),
                ("the third when the first is out of the window", [held(10), held(11), held(5010)], []),
                ("the third a millisecond before", [held(10), held(11), held(5009)], [5]),
                ("over all workers", [held(10), held(11, worker="w2"), held(12, worker="w3")], [5]),
                ("a new front end starts anew", [held(10), held(11), restarted(12), held(13), held(14)], []),
            )
        )

    def test_transit(self):
        """What lies between sending and noting is allowed for, and no more."""
        for gap, rules in ((50, []), (51, [2])):
            judge = RuleChecker(
                trace(asked(10), ran(11), ran(20, "w2"), end(20 + gap), end(90, "w2"), answered(92), transit=50.0)
            )
            self.assertEqual(sorted({f.rule for f in judge.findings}), rules)

    def test_same_worker_again(self):
        """A cancel noted just after the next call-out at the same worker belongs to the first, by its number."""

        def numbered(event, job):
            return *event[:3], {**event[3], "job": job}

        one, two = numbered(ran(11), 1), numbered(ran(20), 2)
        for name, events, rules in (
            ("in order", [numbered(cancel(19), 1), two], []),
            ("noted a little late", [two, numbered(cancel(25), 1)], []),
            ("noted much late", [two, numbered(cancel(71), 1)], [2]),
            ("the second cancelled, not the first", [two, numbered(cancel(25), 2)], [2]),
        ):
            with self.subTest(case=name):
                judge = RuleChecker(trace(asked(10), one, *events, numbered(end(80), 2), answered(82), transit=50.0))
                self.assertEqual(sorted({f.rule for f in judge.findings}), rules)

    def test_outcomes(self):
        judge = RuleChecker(
            trace(
                asked(10, "a"),
                answered(20, mark="a"),
                asked(10, "b"),
                answered(700, mark="b"),
                asked(10, "c"),
                answered(20, "denied", "c"),
                asked(10, "d"),
                answered(20, "aborted", "d"),
                asked(10, "e"),
                killed(15),
                lost(16, "e"),
            )
        )
        self.assertEqual(
            judge.outcomes()["idem"], {"asked": 5, "ok in time": 1, "ok late": 1, "denied": 1, "aborted": 1, "lost": 1}
        )
        self.assertEqual(judge.latencies()["idem"], [10.0, 690.0])


if __name__ == "__main__":
    unittest.main()
