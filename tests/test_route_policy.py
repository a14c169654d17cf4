"""Routes: what is refused and what is accepted, near misses on both sides, and the proof of the sums."""

import random
import time
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from wickdyke.config import route_config, sexpr
from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.route_policy import proof, validation
from wickdyke.route_policy.matching import Pattern, RouteTable, find_ties
from wickdyke.route_policy.policy import (
    NEVER_RAN,
    OUTCOMES,
    BackoffPolicy,
    Environment,
    HedgePolicy,
    Policy,
    RetryBudgetPolicy,
    TimeComponent,
    total,
    worst_case_schedule,
)
from wickdyke.route_policy.transition import PolicyTransition
from wickdyke.routing.model import RequestClass

METHODS = [
    RequestClass("idem", "idempotent", "all", 0, 750, 0, 4000, 1, 0.2),
    RequestClass("side", "side-effecting", "all", 0, 750, 0, 4000, 1, 0.2),
    RequestClass("tok", "tokened", "zone", 1000, 750, 0, 4000, 1, 0.2),
]
STRICT = Environment(overlap=False, cancel=True, dial=100.0, answer_way=20.0, tick=50.0, call_outs=3)
OPEN = replace(STRICT, overlap=True)
LOOSE = replace(STRICT, cancel=False)
RETRIES = "(again full miss unreached unsent timeout)"


def read(text, ground=STRICT):
    """A file of one route for method idem, or of routes."""
    if not text.startswith("(route"):
        text = f'(route "r" (takes (method "idem")) {text})'
    return route_config.build(sexpr.parse(f"(routes {text})", "f"), "f", METHODS, ground)


class Changes(unittest.TestCase):
    """Changes of a file in force, by what RPCs in flight hang on."""

    BARE = "(budget (window 10 s) (share 0.1))"
    OLD = f'(route "r" (takes (method "idem")) (attempts 2) (attempt 1 s) {BARE})'

    def test_one_change(self):
        """(file in force, new file) -> words of the refusal; none where it may follow."""
        old, bare = self.OLD, self.BARE
        other = '(route "s" (takes (method "idem")) (attempts 2) (attempt 1 s))'
        for was, new, words in (
            (old, other, ('route "r" is gone', "floor 0", "(floor 1)", "4000 ms later")),
            (old, '(route "r" (takes (method "idem")))', ("a budget no more",)),
            (old, old.replace("(attempts 2)", "").replace(bare, ""), ("a budget no more",)),
            (old, old.replace("10 s", "9 s"), ("over 9000 ms instead of 10000 ms",)),
            (
                old,
                old.replace('"idem"', '"side"').replace("(attempts", "(again full) (attempts"),
                ("none of the RPCs",),
            ),
            (
                old.replace('"idem"', '"idem") (program "a*"'),
                old.replace('"idem"', '"idem") (program "b*"'),
                ("none of the RPCs",),
            ),
            (
                old.replace('"idem"', '"idem") (program "a/*"'),
                old + '(route "s" (takes (method "idem") (program "a*")))',
                ("leaves all the RPCs", 'route "r"'),
            ),
            (old.replace("(share 0.1)", "(share 0.1) (floor 0.9)"), other, ("floor 0.9",)),
            # near misses
            (old.replace("(share 0.1)", "(share 0.1) (floor 1)"), other, ()),
            (old.replace(bare, ""), other, ()),
            (old, old, ()),
            (old, old.replace("0.1", "0.2"), ()),
            (old, old.replace("(share 0.1)", "(share 0.1) (floor 1)"), ()),
            (old, old.replace("(attempts 2) (attempt 1 s)", "(attempts 3) (attempt 900 ms) (priority 3)"), ()),
            (old.replace('"idem"', '"idem") (program "a*"'), old.replace('"idem"', '"idem") (program "ab*"'), ()),
            (old, old + '(route "s" (takes (method "idem") (program "a*")))', ()),
            (other, old, ()),
        ):
            with self.subTest(was=was, new=new):
                held = PolicyTransition()
                held.follow(read(was).payers(), 0.0)
                found = []
                try:
                    route_config.check_transition(read(new), "f", held, 1.0)
                except sexpr.InvalidConfigError as bad:
                    found = [str(trouble) for trouble in bad.diagnostics]
                    self.assertNotIsInstance(bad, sexpr.IncompleteInputError)
                self.assertEqual(len(found), bool(words), found)
                for word in words:
                    self.assertIn(word, found[0])

    def test_two_changes(self):
        """In two steps a budget may go; the second waits for those taken before the first, to the moment."""
        floor = self.OLD.replace("(share 0.1)", "(share 0.1) (floor 1)")
        other = '(route "s" (takes (method "idem")) (attempts 2) (attempt 1 s))'
        held = PolicyTransition()
        held.follow(read(self.OLD).payers(), 0.0)
        route_config.check_transition(read(floor), "f", held, 1000.0)
        held.follow(read(floor).payers(), 1000.0)
        for now, passes in ((1000.0, False), (4999.0, False), (5000.0, True)):
            with self.subTest(now=now):
                if passes:
                    route_config.check_transition(read(other), "f", held, now)
                else:
                    with self.assertRaises(sexpr.IncompleteInputError) as caught:
                        route_config.check_transition(read(other), "f", held, now)
                    self.assertIn(f"pass in {5000 - now:.0f} ms", str(caught.exception))


class Files(unittest.TestCase):
    def test_bad(self):
        """(what a route states, ground) -> words of the one message."""
        side, tok = (f'(route "r" (takes (method "{name}")) ' for name in ("side", "tok"))
        for text, ground, words in (
            # past the deadline: queue + tick + n x (attempt + dial) + pauses + (n - 1) x tick + answer-way
            ("(attempt 3831 ms)", STRICT, ("attempt 3831", "= 4001 ms", "4000 ms", "(attempt 3830 ms)")),
            ("(attempt 3830 ms) (queue 1 ms)", STRICT, ("queue 1 ", "4001 ms")),
            ("(attempt 3 s) (queue 831 ms)", STRICT, ("4001 ms", "(queue 830 ms)")),
            ("(attempt 1840 ms) (attempts 2) (pause (first 1 ms))", STRICT, ("pauses with their spread 1", "4001")),
            ("(attempt 1800 ms) (attempts 2) (pause (first 40 ms) (spread 1.1))", STRICT, ("spread 84", "4004")),
            ("(attempt 1841 ms) (attempts 2)", STRICT, ("attempt 2 x 1841", "(attempts 1)", "(attempt 1840 ms)")),
            ("(attempt 1177 ms) (attempts 3)", STRICT, ("3 x 1177", "(attempts 2)", "(attempt 1176 ms)")),
            ("(attempt 1 s) (attempts 3) (pause (first 180 ms) (growth 3))", STRICT, ("spread 720", "4190")),
            (
                "(attempt 1 s) (attempts 3) (pause (first 180 ms) (growth 3) (most 360 ms))",
                STRICT,
                ("spread 540", "4010"),
            ),
            ("(attempt 3 s) (deadline 3 s)", STRICT, ("3170 ms", "(attempt 2830 ms)")),
            ("(deadline 60 ms) (soft-deadline 50 ms)", STRICT, ("tick 50 + answer-way 20 = 70", "deadline 70 ms")),
            ("(soft-deadline 4 s)", STRICT, ("soft deadline of 4000", "before the deadline")),
            ("(deadline 750 ms)", STRICT, ("750", "before the deadline")),
            ("(soft-deadline 5 s)", STRICT, ("5000", "4000")),
            # counts
            ("(attempts 4)", STRICT, ("4 attempts", "3 call-outs", "(attempts 3)")),
            ("(attempts 0)", STRICT, ("0", "1 to 100")),
            ("(attempts 1.5)", STRICT, ("whole number",)),
            (f"(attempts 2) {RETRIES}", STRICT, ("timeout tried again", "(attempt TIME)")),
            ("(attempts 2) (attempt 1 s) (pause (first 50 ms) (most 40 ms))", STRICT, ("50 ms", "(first 40 ms)")),
            # two at once
            ("(attempts 2) (attempt 1 s) (second (after 300 ms))", STRICT, ("forbids", "300", "leave")),
            ("(attempts 2) (second (after-share 0.5))", STRICT, ("375", "forbids")),
            ("(attempts 2) (second (after 1 s)) (attempt 1 s)", OPEN, ("before the attempt's", "(after 999 ms)")),
            ("(second (after 300 ms))", OPEN, ("2 at once of 1", "(attempts 2)")),
            ("(attempts 2) (second (after 300 ms) (at-once 3))", OPEN, ("3 at once of 2", "(attempts 3)")),
            ("(attempts 2) (second (after 3980 ms))", OPEN, ("3980", "gives up")),
            ("(attempts 2) (second (after 300 ms) (at-once 1))", OPEN, ("1", "2 to 10")),
            ("(attempts 2) (second (after 300 ms) (after-share 0.5))", OPEN, ("both", "either")),
            ("(attempts 2) (second)", OPEN, ("neither", "either")),
            ("(attempts 2) (second always)", OPEN, ("always", "never")),
            (f"(attempts 2) (attempt 1 s) {RETRIES}", LOOSE, ("does not cancel", "cancel yes", "beside it")),
            (
                f"(attempts 2) (attempt 1 s (linger 200 ms)) (pause (first 199 ms)) {RETRIES}",
                LOOSE,
                ("199 ms", "200 ms more", "(first 200 ms)"),
            ),
            (
                f"(attempts 3) (attempt 500 ms (linger 200 ms)) (pause (first 200 ms) (most 200 ms)) {RETRIES}",
                replace(LOOSE, answer_way=3000.0),
                ("= 5", "deadline"),
            ),
            # effects
            (side + "(attempts 2) (again cut))", STRICT, ("side-effecting", "cut", "runs again")),
            (side + "(attempts 2) (again full error))", STRICT, ("error", "(again full)")),
            (side + "(attempts 2) (attempt 1 s) (again timeout))", STRICT, ("timeout", "side-effecting")),
            (side + "(attempts 2) (second (after 300 ms)))", OPEN, ("second copy", "side-effecting")),
            (tok + "(attempts 2) (attempt 851 ms) (again cut))", STRICT, ("1001 ms", "window, 1000")),
            (tok + "(attempts 2) (attempt 850 ms) (pause (first 1 ms)) (again cut))", STRICT, ("1001",)),
            (tok + "(attempts 3) (attempt 300 ms) (pause (first 51 ms)) (again cut))", STRICT, ("1002",)),
            # budgets
            ("(attempts 2) (budget (window 0 s) (floor 1))", STRICT, ("0 ms", "a window")),
            ("(attempts 2) (budget (window 10 s))", STRICT, ("floor of 0 and no share", "(floor 1)")),
            ("(attempts 2) (budget (window 10 s) (floor 0.9))", STRICT, ("0.9", "(floor 1)")),
            ("(budget (window 10 s) (floor 1))", STRICT, ("one attempt in all", "(attempts 2)")),
            ("(attempts 2) (budget (floor 1))", STRICT, ("without window",)),
            # routes
            ('(route "r" (takes (method "idme")))', STRICT, ("idme", "idem, side, tok")),
            ('(route "r" (takes (method "x*")))', STRICT, ("x*", "no RPC")),
            (
                '(route "a" (takes (method "idem"))) (route "b" (takes (method "idem")))',
                STRICT,
                ('"b" and "a"', "different"),
            ),
            (
                '(route "a" (takes (method "idem"))) (route "b" (takes (program "p*")))',
                STRICT,
                ("more specific", '(method "idem") (program "p*")'),
            ),
            (
                '(route "a" (takes (method "idem") (tenant "t"))) (route "b" (takes (method "idem") (program "p")))',
                STRICT,
                ('(program "p") (tenant "t")',),
            ),
            ('(route "a" (takes (method "idem"))) (route "a" (takes (method "tok")))', STRICT, ("a second time",)),
            ('(route "a" (like "b"))', STRICT, ('like "b"', "a route of this file")),
            ('(route "a" (like "a"))', STRICT, ("like itself", "circle")),
            ('(route (takes (method "idem")))', STRICT, ("without a name",)),
            # the form
            ("(attempt 500)", STRICT, ("500 without a unit", "500 ms")),
            ("(attempt 500 ms (lingr 3 ms))", STRICT, ("lingr", "(linger TIME)")),
            ("(atempt 500 ms)", STRICT, ("atempt", "did you mean attempt")),
            ("(again full fulll)", STRICT, ("fulll", "full, miss")),
            ("(again)", STRICT, ("(again nothing)",)),
            ("(again full full)", STRICT, ("a second time",)),
            ("(again ok)", STRICT, ("ok", "full, miss")),
            ("(pause 30 ms)", STRICT, ("30", "pause")),
            ("(pause (first 30 ms) (growth 0.5))", STRICT, ("0.5", "1 to 100")),
            ("(priority high)", STRICT, ("high", "-1000 to 1000")),
            ("(attempts 2) (attempts 3)", STRICT, ("a second time", "once")),
            ('(takes (method "tok"))', STRICT, ("a second time",)),
        ):
            with self.subTest(text=text):
                with self.assertRaises(InvalidConfigError) as bad:
                    read(text, ground)
                said = str(bad.exception)
                if not text.startswith("(pause 30"):
                    self.assertEqual(len(bad.exception.diagnostics), 1, said)
                for word in words:
                    self.assertIn(word, said)

    def test_good(self):
        """(what a route states, ground): the near misses of the above, and plain ones."""
        side, tok = (f'(route "r" (takes (method "{name}")) ' for name in ("side", "tok"))
        for text, ground in (
            ("", STRICT),
            ("(attempt 3830 ms)", STRICT),
            ("(attempt 3829 ms) (queue 1 ms)", STRICT),
            ("(attempt 3 s) (queue 830 ms)", STRICT),
            ("(attempt 1840 ms) (attempts 2)", STRICT),
            ("(attempt 1800 ms) (attempts 2) (pause (first 40 ms) (spread 1))", STRICT),
            ("(attempt 1176 ms) (attempts 3)", STRICT),
            ("(attempt 1 s) (attempts 3) (pause (first 120 ms) (growth 3))", STRICT),
            ("(attempt 1 s) (attempts 3) (pause (first 180 ms) (growth 3) (most 300 ms))", STRICT),
            ("(attempt 2830 ms) (deadline 3 s)", STRICT),
            ("(deadline 70 ms) (soft-deadline 60 ms)", STRICT),
            ("(soft-deadline 3999 ms)", STRICT),
            ("(attempts 3)", STRICT),
            (f"(attempts 2) (attempt 1 s) {RETRIES}", STRICT),
            ("(attempts 2) (attempt 1 s) (pause (first 40 ms) (most 40 ms))", STRICT),
            ("(attempts 2) (second never)", STRICT),
            ("(attempts 2) (second (after 300 ms))", OPEN),
            ("(attempts 2) (second (after 999 ms)) (attempt 1 s)", OPEN),
            ("(attempts 3) (second (after-share 0.4) (at-once 3) (part 0.1))", OPEN),
            ("(attempts 2) (second (after 3979 ms))", OPEN),
            (f"(attempts 2) (attempt 1 s (linger 200 ms)) (pause (first 200 ms)) {RETRIES}", LOOSE),
            (f"(attempts 2) (attempt 1 s) {RETRIES}", replace(LOOSE, overlap=True)),
            ("(attempts 2) (attempt 1 s) (again full cut)", LOOSE),
            (side + "(attempts 3) (again full miss unreached unsent))", STRICT),
            (side + "(again cut))", STRICT),
            (side + "(attempts 3) (again nothing))", STRICT),
            (tok + "(attempts 2) (attempt 850 ms) (again cut))", STRICT),
            (tok + "(attempts 3) (attempt 300 ms) (pause (first 50 ms)) (again cut))", STRICT),
            (tok + "(attempts 2) (again cut))", STRICT),
            ("(attempts 2) (budget (window 10 s) (floor 1))", STRICT),
            ("(attempts 2) (budget (window 10 s) (share 0.01))", STRICT),
            ("(priority -3)", STRICT),
            (
                '(route "a" (takes (method "idem"))) (route "b" (takes (program "p*"))) '
                '(route "c" (like "a") (takes (method "idem") (program "p*")))',
                STRICT,
            ),
            ('(route "a" (takes (program "p*"))) (route "b" (takes (program "pq*"))) (route "c")', STRICT),
        ):
            with self.subTest(text=text):
                read(text, ground)

    def test_inherited(self):
        """What holds comes from the nearest that states it, the method last."""
        got = read(
            '(route "base" (attempts 2) (attempt 1 s) (priority 1)) (route "mid" (like "base") '
            '(takes (method "idem")) (priority 2)) (route "leaf" (like "mid") (takes (method "idem") '
            '(program "p*")) (queue 30 ms) (deadline 3 s))'
        )
        held = got.find("idem", "pq")
        self.assertEqual(held.route.name, "leaf")
        self.assertEqual(
            (held.terms.attempts, held.terms.priority, held.terms.queue, held.terms.deadline, held.terms.soft),
            (2, 2, 30.0, 3000.0, 750.0),
        )
        self.assertEqual(sorted(held.origins), ["attempt", "attempts", "deadline", "priority", "queue"])
        self.assertEqual(got.find("tok", "pq").route.name, "base")

    def test_nearest_passes(self):
        """The terms that a refusal names are accepted, and their neighbours are not."""
        chance = random.Random(5)
        tried = 0
        for _ in range(3000):
            terms = Policy(
                10.0,
                chance.uniform(300, 5000),
                chance.uniform(50, 3000),
                None,
                chance.randint(1, 3),
                BackoffPolicy(chance.uniform(0, 300), chance.choice([1, 2, 3]), 400.0, chance.uniform(0, 1)),
                queue=chance.choice([None, 100.0]),
            )
            (refusal, *_), many = validation.validate(terms, _method("idem"), STRICT) or [None], terms.attempts
            if refusal is None or "(attempt " not in refusal.nearest:
                continue
            tried += 1
            near = float(refusal.nearest.split("(attempt ")[1].split(" ms")[0])
            self.assertEqual(validation.validate(replace(terms, attempt=near), _method("idem"), STRICT), [])
            self.assertTrue(validation.validate(replace(terms, attempt=near + 1), _method("idem"), STRICT))
            if "(attempts " in refusal.nearest:
                fits = int(refusal.nearest.split("(attempts ")[1].split(")")[0])
                self.assertLess(fits, many)
                self.assertEqual(validation.validate(replace(terms, attempts=fits), _method("idem"), STRICT), [])
        self.assertGreater(tried, 500)


def _method(name):
    return next(route_config.validation_method(method) for method in METHODS if method.name == name)


SPANS = st.floats(1, 5000).map(lambda ms: round(ms, 3))
FIELDS = {
    "attempt": st.tuples(SPANS, st.none() | SPANS),
    "attempts": st.integers(1, 5),
    "queue": SPANS,
    "deadline": SPANS,
    "soft-deadline": SPANS,
    "priority": st.integers(-9, 9),
    "pause": st.builds(
        BackoffPolicy, SPANS, st.integers(1, 4).map(float), st.just(float("inf")) | SPANS, st.floats(0, 2)
    ),
    "again": st.frozensets(st.sampled_from(OUTCOMES)),
    "second": st.none() | st.tuples(SPANS, st.none(), st.integers(2, 4), st.just(0.05)),
    "budget": st.builds(RetryBudgetPolicy, SPANS, st.floats(0, 1), st.floats(0, 5)),
}


class Generated(unittest.TestCase):
    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["idem", "side", "tok", "i*", "*"]),
                st.sampled_from(["p", "p*", "pq*", 'a "b"\\*', "*"]),
                st.fixed_dictionaries({}, optional=FIELDS),
            ),
            min_size=1,
            max_size=4,
        )
    )
    def test_round_trip(self, drawn):
        """Parsed, printed and parsed again it is the same."""
        place = sexpr.SourceLocation("f", 1, 1)
        made = [
            route_config.Route(
                f"r{at}",
                place,
                Pattern(method, program),
                None,
                {name: (value, place) for name, value in fields.items()},
            )
            for at, (method, program, fields) in enumerate(drawn)
        ]
        text = route_config.format_routes(made)
        notes = route_config.Diagnostics()
        back = route_config.ROUTES(sexpr.parse(text, "f")[0], notes)
        self.assertEqual(notes.entries, [])
        self.assertEqual(
            [(r.name, r.takes, {n: v for n, (v, _) in r.stated.items()}) for r in back],
            [(r.name, r.takes, {n: v for n, (v, _) in r.stated.items()}) for r in made],
        )
        self.assertEqual(route_config.format_routes(back), text)

    @settings(max_examples=400, deadline=None)
    @given(
        st.fixed_dictionaries(
            {
                "attempt": st.floats(1, 2000),
                "attempts": st.integers(1, 4),
                "again": st.frozensets(st.sampled_from(OUTCOMES)),
                "queue": st.none() | st.floats(0, 500),
                "pause": st.builds(
                    BackoffPolicy, st.floats(0, 300), st.integers(1, 3).map(float), st.just(400.0), st.floats(0, 1)
                ),
                "second": st.none() | st.builds(HedgePolicy, st.floats(1, 1000)),
            }
        ),
        st.sampled_from([STRICT, OPEN, LOOSE]),
        st.sampled_from(["idem", "side", "tok"]),
        st.randoms(use_true_random=False),
    )
    def test_accepted_keep_the_rules(self, fields, ground, name, chance):
        """Accepted terms, played under scripted worst cases, end in time, never two at once, never a second effect."""
        terms, method = Policy(10.0, 4000.0, linger=None, **fields), _method(name)
        if validation.validate(terms, method, ground):
            return
        at, ran, first_ran = (terms.queue or 0.0) + ground.tick * chance.random(), False, 0.0
        for nth in range(1, terms.attempts + 1):
            if nth > 1:
                at += terms.pause.least(nth - 1) * (1 + terms.pause.spread * chance.choice([0, chance.random(), 1]))
                at += ground.tick * chance.choice([0, 1])
            self.assertFalse(ran and method.effect == "side-effecting", "a second effect")
            if ran and method.effect == "tokened":
                self.assertLessEqual(at - first_ran, method.window + 1e-6)
            how = chance.choice(OUTCOMES)
            sent = at
            at += (terms.attempt + ground.dial) * (1 if how == "timeout" else chance.random())
            if how not in NEVER_RAN and not ran:
                ran, first_ran = True, sent
            if how == "timeout" and not ground.cancel and not ground.overlap and how in terms.again:
                self.assertEqual(nth, terms.attempts, "another beside one that is still out")
            if how not in terms.again:
                break
        self.assertLessEqual(at + ground.answer_way, terms.deadline + 1e-6)


class Proofs(unittest.TestCase):
    """For all times and spreads, up to three attempts and growths of 1 to 3."""

    def test_deadline(self):
        for attempts in (1, 2, 3):
            for growth in (1, 2, 3) if attempts > 2 else (1,):
                with self.subTest(attempts=attempts, growth=growth):
                    self.assertIsNone(proof.accepted_but_late(attempts, growth))
                    self.assertIsNone(proof.refused_but_in_time(attempts, growth))

    def test_two_at_once(self):
        for attempts in (2, 3):
            with self.subTest(attempts=attempts):
                self.assertIsNone(proof.accepted_but_two_at_once(attempts, 2))
        self.assertIn("linger", proof.accepted_but_two_at_once(2, 2, slack=1) or "")

    def test_mistakes_are_found(self):
        """(a sum made wrong) -> a course past the deadline that it would let through, or a refusal without need."""

        def without(name):
            return lambda terms, ground: [part for part in worst_case_schedule(terms, ground) if part.name != name]

        def short_by_one(terms, ground):
            return worst_case_schedule(terms, ground, terms.attempts - 1)

        def no_spread(terms, ground):
            pauses = sum(terms.pause.least(nth) for nth in range(1, terms.attempts))
            return [
                TimeComponent(part.name, pauses) if part.name.startswith("pauses") else part
                for part in worst_case_schedule(terms, ground)
            ]

        for name, wrong in (
            ("queue", without("queue")),
            ("tick", without("tick")),
            ("dial", without("dial")),
            ("answer's way", without("answer-way")),
            ("spread", no_spread),
            ("one less", short_by_one),
        ):
            with self.subTest(left_out=name):
                self.assertIn("deadline", proof.accepted_but_late(2, 1, wrong) or "")
        one_more = proof.refused_but_in_time(2, 1, lambda terms, ground: worst_case_schedule(terms, ground, 3))
        self.assertIn("deadline", one_more or "")

    def test_courses(self):
        """The course shown with a refusal takes the sum, to the ms."""
        for attempts in (1, 2, 3):
            terms = Policy(10.0, 4000.0, 900.0, None, attempts, BackoffPolicy(40.0, 2.0, 60.0, 0.5), queue=70.0)
            self.assertAlmostEqual(
                validation.worst_case_course(terms, STRICT)[-1][0], total(worst_case_schedule(terms, STRICT)), 6
            )


class Lookups(unittest.TestCase):
    def test_most_specific(self):
        table = RouteTable(
            [
                (pattern, pattern)
                for pattern in (
                    Pattern(),
                    Pattern("m"),
                    Pattern("m", "p*"),
                    Pattern("m", "pq*"),
                    Pattern("m", "pqr"),
                    Pattern("m", "pqr", "t"),
                    Pattern(program="z*"),
                    Pattern("m", "z*"),
                )
            ]
        )
        for rpc, want in (
            (("x", "x"), Pattern()),
            (("m", "x"), Pattern("m")),
            (("m", "p"), Pattern("m", "p*")),
            (("m", "pqx"), Pattern("m", "pq*")),
            (("m", "pqr"), Pattern("m", "pqr")),
            (("m", "pqr", "t"), Pattern("m", "pqr", "t")),
            (("m", "pqr", "u"), Pattern("m", "pqr")),
            (("x", "zz"), Pattern(program="z*")),
            (("m", "zz"), Pattern("m", "z*")),
        ):
            with self.subTest(rpc=rpc):
                self.assertEqual(table.find(*rpc), want)
        self.assertIsNone(RouteTable([]).find("m", "p"))

    def test_ties(self):
        for patterns, count in (
            ([Pattern("m"), Pattern(program="p")], 1),
            ([Pattern("m"), Pattern("m", "p")], 0),
            ([Pattern("m"), Pattern(program="p"), Pattern("m", "p")], 0),
            ([Pattern(), Pattern()], 1),
            ([Pattern("m"), Pattern("n")], 0),
            ([Pattern("a*", "p"), Pattern("ab", "p*")], 1),
            ([Pattern(program="p*"), Pattern(program="pq*")], 0),
            ([Pattern("m", "p*"), Pattern("m", tenant="t"), Pattern(program="p*", tenant="t")], 3),
            ([Pattern("m", "p*"), Pattern("m", tenant="t"), Pattern("m", "p*", "t")], 0),
        ):
            with self.subTest(patterns=patterns):
                self.assertEqual(len(find_ties(patterns)), count)

    def test_looks_do_not_grow(self):
        """The looks of a search hang on names, not on how many routes there are; found is what a plain search finds."""
        looks = []
        for many in (10, 1000, 10000):
            patterns = [Pattern("m", f"p{at}/*") for at in range(many - 1)] + [Pattern("m")]
            table = RouteTable([(pattern, pattern) for pattern in patterns])
            self.assertEqual(table.find("m", "p7/x"), Pattern("m", "p7/*"))
            looks.append(table.looks)
        self.assertLessEqual(max(looks), looks[0] + 4, looks)  # one for each length of a name's number

    def test_two_thousand(self):
        """A file of 2,000 routes is checked within seconds, and each trouble in it is found."""
        lines = [
            f'(route "r{at}" (takes (method "idem") (program "p{at}/*")) (attempts 2) (attempt 1 s))'
            for at in range(2000)
        ]
        lines[777] = lines[777].replace("1 s", "2 s")
        lines[1500] = lines[1500].replace("p1500", "p1499")
        began = time.monotonic()
        with self.assertRaises(InvalidConfigError) as bad:
            read(" ".join(lines))
        self.assertEqual(len(bad.exception.diagnostics), 2)
        self.assertLess(time.monotonic() - began, 60)


if __name__ == "__main__":
    unittest.main()
