"""What a worker decides: stated cases, and a state machine against what must hold whatever comes."""

import unittest
from dataclasses import fields

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wickdyke.worker.actions import Kill, PrewarmDone, PrewarmFailed, Reject, Run, StartLoad, Stop, Unload
from wickdyke.worker.model import ReplicaState, ScheduleLimits
from wickdyke.worker.ramp import Ramp
from wickdyke.worker.schedule import Schedule

VERBS = {
    StartLoad: "load",
    Unload: "unload",
    Kill: "end",
    Run: "run",
    Stop: "stop",
    Reject: "refuse",
    PrewarmDone: "held",
    PrewarmFailed: "unheld",
}


def made(
    memory=100.0, at_once=4, loads_at_once=2, queue=20, idle_life=1000.0, run_time=500.0, stop_within=100.0, ramp=None
):
    limits = ScheduleLimits(memory, at_once, loads_at_once, queue, idle_life, run_time, stop_within, ramp or Ramp())
    return Schedule(0.0, limits)


def decisions(schedule):
    """One at a time: a verb, and the fields of the action."""
    for action in iter(schedule.next_action, None):
        yield VERBS[type(action)], *(getattr(action, each.name) for each in fields(action))


def pull(schedule):
    return list(decisions(schedule))


def said(acts):
    """Verbs with what they are about."""
    return [
        (verb, getattr(it, "key", None) or it.function.name, *(each for each in more if isinstance(each, str)))
        for verb, it, *more in acts
    ]


def stand(schedule, name, memory=10.0, lanes=1):
    """A copy that stands."""
    schedule.prewarm(f"h-{name}", name, memory, lanes, 1)
    copy = next(it for verb, it, *_ in pull(schedule) if verb == "load")
    schedule.load_finished(copy, None)
    pull(schedule)
    return copy


class Cases(unittest.TestCase):
    def test_first_calls(self):
        """(what stands before, calls) -> what is decided at once."""
        for before, calls, want in (
            ((), [("a", "p", 10)], [("load", "p")]),
            ((), [("a", "p", 10), ("b", "p", 10)], [("load", "p")]),
            ((), [("a", "p", 10), ("b", "q", 10), ("c", "r", 10)], [("load", "p"), ("load", "q")]),
            (("p",), [("a", "p", 10)], [("run", "a")]),
            (("p",), [("a", "p", 10), ("b", "p", 10)], [("run", "a")]),
            ((), [("a", "p", 101)], [("refuse", "a", "full")]),
            (("p",), [("a", "q", 95)], [("unload", "p"), ("load", "q")]),
            (("p", "q"), [("a", "r", 85)], [("unload", "p"), ("load", "r")]),  # idle longest
            (("p", "q"), [("b", "p", 10), ("a", "r", 85)], [("run", "b"), ("unload", "q"), ("load", "r")]),
            (("p",), [("b", "p", 10), ("a", "r", 95)], [("refuse", "a", "full"), ("run", "b")]),
        ):
            with self.subTest(before=before, calls=calls):
                schedule = made()
                for at, name in enumerate(before):
                    schedule.advance(float(at))
                    stand(schedule, name)
                done = []
                for key, name, memory in calls:
                    schedule.submit(key, name, memory, 1, 400.0)
                    done += pull(schedule) if len(calls) == 2 and memory != 10 else []
                self.assertEqual(sorted(said(done + pull(schedule))), sorted(want))

    def test_ends(self):
        """(what happens to a call's copy or the call) -> what is told of the call, and whether it may have run."""
        for what, want in (
            ("answered", []),
            ("ended", [("refuse", "a", "ended")]),
            ("time", [("stop", "a"), ("refuse", "a", "out-of-time")]),
            ("cancel", [("stop", "a")]),
            ("measured", [("end", "p", "11.0 MB of 10 MB"), ("refuse", "a", "ended")]),
        ):
            with self.subTest(what=what):
                schedule = made()
                copy = stand(schedule, "p")
                schedule.submit("a", "p", 10, 1, 400.0)
                self.assertEqual(said(pull(schedule)), [("run", "a")])
                match what:
                    case "answered":
                        self.assertTrue(schedule.request_answered("a"))
                    case "ended":
                        schedule.replica_ended(copy)
                    case "time":
                        schedule.advance(400.0)
                    case "cancel":
                        schedule.cancel("a")
                    case "measured":
                        schedule.memory_measured(copy, 11.0)
                self.assertEqual(said(pull(schedule)), want)
                self.assertFalse(schedule.request_answered("a"))  # nothing after

    def test_a_call_that_does_not_end(self):
        """Its lane counts as taken; the copy is ended only once the others in it are done; what waits gets another."""
        schedule = made()
        copy = stand(schedule, "p", lanes=2)
        schedule.submit("bad", "p", 10, 2, 100.0)
        schedule.submit("good", "p", 10, 2, 400.0)
        pull(schedule)
        schedule.advance(100.0)
        self.assertEqual(said(pull(schedule)), [("stop", "bad"), ("refuse", "bad", "out-of-time")])
        schedule.advance(250.0)
        schedule.submit("late", "p", 10, 2, 400.0)
        self.assertEqual(said(pull(schedule)), [("load", "p")])  # not into that copy, and not ended under the good one
        self.assertTrue(schedule.request_answered("good"))
        self.assertEqual([(verb, it) for verb, it, *_ in pull(schedule) if verb == "end"], [("end", copy)])

    def test_freed_in_time(self):
        """(ms until the lane is free) -> whether the copy lives."""
        for ms, lives in ((50.0, True), (99.0, True), (101.0, False)):
            with self.subTest(ms=ms):
                schedule = made()
                copy = stand(schedule, "p")
                schedule.submit("a", "p", 10, 1, 100.0)
                pull(schedule)
                schedule.advance(100.0)
                pull(schedule)
                schedule.advance(100.0 + ms)
                if lives:
                    schedule.slot_freed(copy)
                pull(schedule)
                self.assertEqual(copy.state, ReplicaState.READY if lives else ReplicaState.REMOVED)

    def test_failed_loads(self):
        """(how a load failed) -> what those that waited are told: nothing ran."""
        for how, word in (("miss", "miss"), ("failed", "miss"), ("full", "full")):
            with self.subTest(how=how):
                schedule = made()
                schedule.submit("a", "p", 10, 1, 400.0)
                schedule.prewarm("h", "p", 10, 1, 1)
                copy = pull(schedule)[0][1]
                schedule.load_finished(copy, how)
                self.assertEqual(said(pull(schedule)), [("refuse", "a", word), ("unheld", "h", how)])

    def test_manifest_takes_more(self):
        """(memory ordered, of the manifest, standing beside) -> whether it fits, and what goes for it."""
        for ordered, real, beside, fits, gone in (
            (10, 10, 50, True, 0),
            (10, 60, 50, True, 1),
            (10, 101, 0, False, 0),
            (60, 10, 30, True, 0),
        ):
            with self.subTest(ordered=ordered, real=real, beside=beside):
                schedule = made()
                if beside:
                    stand(schedule, "other", beside)
                schedule.submit("a", "p", ordered, 1, 400.0)
                copy = next(it for verb, it, *_ in pull(schedule) if verb == "load")
                self.assertEqual(schedule.apply_manifest(copy, real, 3, None), fits)
                self.assertEqual(len([1 for verb, *_ in pull(schedule) if verb == "unload"]), gone)

    def test_nothing_waits_for_a_load(self):
        """A load not begun yet is forgotten when what waited for it is gone."""
        schedule = made(loads_at_once=1)
        for key in "ab":
            schedule.submit(key, f"p{key}", 10, 1, 400.0)
        first = pull(schedule)[0][1]
        schedule.cancel("b")
        schedule.load_finished(first, None)
        self.assertEqual(said(pull(schedule)), [("run", "a")])
        self.assertEqual(sum(copy.charged_memory for copy in schedule.pool.replicas()), 10)

    def test_idle_life_and_renewal(self):
        """(orders at, now) -> whether the copy is let go; an order renews, asking does not."""
        for orders, copies, now, gone in (
            ((), 1, 1001.0, True),
            ((), 1, 999.0, False),
            ((500.0,), 1, 1400.0, False),
            ((500.0,), 0, 1400.0, True),
        ):
            with self.subTest(orders=orders, copies=copies, now=now):
                schedule = made()
                stand(schedule, "p")
                for at in orders:
                    schedule.advance(at)
                    schedule.prewarm(at, "p", 10, 1, copies)
                    pull(schedule)
                schedule.advance(now)
                self.assertEqual([verb for verb, *_ in pull(schedule)], ["unload"] * gone)

    def test_cold(self):
        """(age) -> calls taken of 8: a part while it is cold, and reported so."""
        for age, taken, cold in ((0.0, 2, 0.75), (500.0, 5, 0.375), (1000.0, 8, 0.0)):
            with self.subTest(age=age):
                schedule = made(at_once=8, ramp=Ramp(0.25, 1000.0))
                schedule.advance(age)
                for key in range(8):
                    schedule.submit(key, "p", 10, 8, 400.0)
                refused = [act for act in pull(schedule) if act[0] == "refuse"]
                self.assertEqual((8 - len(refused), schedule.load_report()["cold"]), (taken, cold))

    def test_an_order_ends_none_of_the_copies_it_counts(self):
        """(memory taken by another program) -> what an order for three copies of 10 MB comes to, one standing."""
        for other, held in ((85, [("unheld", "h", "full")]), (70, [("held", "h")])):
            with self.subTest(other=other):
                schedule = made()
                stand(schedule, "other", other)
                copy = stand(schedule, "p")
                schedule.submit("busy", "other", other, 1, 400.0)
                pull(schedule)
                schedule.prewarm("h", "p", 10, 1, 3)
                acts = pull(schedule)
                for load in [it for verb, it, *_ in acts if verb == "load"]:
                    schedule.load_finished(load, None)
                acts += pull(schedule)
                self.assertEqual([act for act in said(acts) if act[0] in ("held", "unheld")], held)
                self.assertNotIn("unload", [act[0] for act in acts])
                self.assertEqual(copy.state, ReplicaState.READY)

    def test_drain(self):
        """Nothing new is begun, what is held goes on."""
        schedule = made()
        stand(schedule, "p")
        schedule.submit("a", "p", 10, 1, 400.0)
        pull(schedule)
        schedule.drain()
        schedule.submit("b", "p", 10, 1, 400.0)
        schedule.prewarm("h", "q", 10, 1, 1)
        self.assertEqual(said(pull(schedule)), [("refuse", "b", "draining"), ("unheld", "h", "draining")])
        self.assertTrue(schedule.request_answered("a"))

    def test_no_load_is_begun_for_a_prewarm_that_fails_at_once(self):
        """A replica ends and another function takes the room: what was queued for the first prewarm is not loaded."""
        schedule = made(memory=40.0, at_once=3, loads_at_once=2)
        schedule.prewarm("first", "p", 5.0, 1, 3)
        loads = [it for verb, it, *_ in pull(schedule) if verb == "load"]
        schedule.advance(1.0)
        for replica in loads:
            schedule.load_finished(replica, None)
        pull(schedule)
        schedule.advance(2.0)
        schedule.replica_ended(loads[0])
        pull(schedule)
        schedule.advance(3.0)
        schedule.prewarm("second", "q", 15.0, 1, 2)
        acts = said(pull(schedule))
        self.assertIn(("unheld", "first", "failed"), acts)
        self.assertNotIn(("load", "p"), acts)


class Machine(RuleBasedStateMachine):
    """Anything may come in any order; what must hold is checked at each decision and between events."""

    def __init__(self):
        super().__init__()
        self.schedule, self.now, self.turn = made(memory=40.0, at_once=3, loads_at_once=2, queue=8), 0.0, 0
        self.open, self.running, self.loading, self.live, self.stuck = {}, {}, set(), set(), []
        self.came = []

    def pull(self):
        for verb, it, *more in decisions(self.schedule):
            match verb:
                case "load":
                    assert it.function.waiting or any(
                        h.function is it.function for h in self.schedule.prewarms.values()
                    ), "a load that nothing waits for"
                    self.loading.add(it)
                case "run":
                    copy = more[0]
                    assert it.key in self.open, "a call is run that was answered or left"
                    assert copy in self.live and it.key not in self.running
                    ahead = [
                        key
                        for key in self.came
                        if key in self.open and key not in self.running and self.open[key] == it.function.name
                    ]
                    assert ahead[0] == it.key, "one that came later goes first"
                    self.running[it.key] = copy
                    inside = sum(each is copy for each in self.running.values())
                    assert inside + sum(each is copy for _, each in self.stuck) <= copy.concurrency, (
                        "more than its lanes"
                    )
                case "refuse":
                    assert self.open.pop(it.key, None) is not None, "answered twice"
                    self.running.pop(it.key, None)
                case "stop":
                    self.running.pop(it.key, None)
                    self.stuck.append((it.key, more[0]))
                case "unload":
                    assert it in self.live and it not in self.running.values(), "ended for room while at work"
                    assert all(each is not it for _, each in self.stuck)
                    self.live.discard(it)
                case "end":
                    self.live.discard(it)
                    self.stuck = [each for each in self.stuck if each[1] is not it]

    def tell(self):
        self.now += 1.0
        self.schedule.advance(self.now)

    @rule(
        name=st.sampled_from("ppq"),
        memory=st.sampled_from([5.0, 5.0, 15.0, 30.0, 50.0]),
        lanes=st.integers(1, 2),
        left=st.sampled_from([5.0, 50.0, 2000.0, 2000.0]),
        many=st.integers(1, 4),
    )
    def call(self, name, memory, lanes, left, many):
        for _ in range(many):
            self.tell()
            self.turn += 1
            self.open[self.turn] = name
            self.came.append(self.turn)
            self.schedule.submit(self.turn, name, memory, lanes, left)
        self.pull()

    @rule()
    def loads_end(self):
        self.tell()
        for copy in sorted(self.loading, key=lambda each: each.number):
            self.loading.discard(copy)
            self.live.add(copy)
            self.schedule.load_finished(copy, None)
        self.pull()

    @rule(name=st.sampled_from("pqr"), memory=st.sampled_from([5.0, 15.0]), copies=st.sampled_from([0, 1, 1, 2, 3]))
    def hold(self, name, memory, copies):
        self.tell()
        self.turn += 1
        self.schedule.prewarm(self.turn, name, memory, 1, copies)
        self.pull()

    @rule(at=st.integers(0, 20))
    def cancel(self, at):
        self.tell()
        keys = list(self.open)
        if keys:
            key = keys[at % len(keys)]
            self.schedule.cancel(key)
            del self.open[key]
            self.pull()

    @rule(
        at=st.integers(0, 20),
        outcome=st.sampled_from([None, None, None, "miss", "full"]),
        real=st.sampled_from([None, 5.0, 20.0]),
    )
    def load_ends(self, at, outcome, real):
        self.tell()
        if not self.loading:
            return
        copy = sorted(self.loading, key=lambda each: each.number)[at % len(self.loading)]
        self.loading.discard(copy)
        if real is not None and not self.schedule.apply_manifest(copy, real, 1, None):
            outcome = "full"
        if outcome is None:
            self.live.add(copy)
        self.schedule.load_finished(copy, outcome)
        self.pull()

    @rule(at=st.integers(0, 20))
    def answer_late(self, at):
        if self.stuck:
            assert not self.schedule.request_answered(self.stuck[at % len(self.stuck)][0]), (
                "an answer after the last word"
            )

    @rule(at=st.integers(0, 20))
    def answer(self, at):
        self.tell()
        keys = list(self.running)
        if keys:
            key = keys[at % len(keys)]
            assert self.schedule.request_answered(key), "an answer that nobody waits for"
            del self.running[key], self.open[key]
            assert not self.schedule.request_answered(key)
            self.pull()

    @rule()
    def lane_free(self):
        self.tell()
        if self.stuck:
            _, copy = self.stuck.pop(0)
            self.schedule.slot_freed(copy)
            self.pull()

    @rule(at=st.integers(0, 20))
    def copy_dies(self, at):
        self.tell()
        if self.live:
            copy = sorted(self.live, key=lambda each: each.number)[at % len(self.live)]
            self.live.discard(copy)
            self.running = {key: each for key, each in self.running.items() if each is not copy}
            self.stuck = [each for each in self.stuck if each[1] is not copy]
            self.schedule.replica_ended(copy)
            self.pull()

    @rule(at=st.integers(0, 20), part=st.sampled_from([0.5, 1.0, 1.5]))
    def measure(self, at, part):
        self.tell()
        if self.live:
            copy = sorted(self.live, key=lambda each: each.number)[at % len(self.live)]
            self.schedule.memory_measured(copy, copy.memory * part)
            self.pull()

    @rule(ms=st.sampled_from([1.0, 10.0, 30.0, 120.0, 1100.0]))
    def time(self, ms):
        self.now += ms
        self.schedule.advance(self.now)
        self.pull()

    @invariant()
    def books(self):
        schedule = self.schedule
        assert sum(copy.charged_memory for copy in schedule.pool.replicas()) <= schedule.limits.memory + 1e-9, (
            "memory over budget"
        )
        assert set(self.open) == set(schedule.requests), "calls lost or kept"
        assert schedule.running == len(self.running) + len(self.stuck) <= schedule.limits.concurrency
        assert schedule.pool.loading == len(self.loading) <= schedule.limits.load_concurrency
        for key in set(self.open) - set(self.running):  # no starvation: what waits has something that will serve it
            program = schedule.pool.functions[self.open[key]]
            assert any(
                copy.state in (ReplicaState.QUEUED, ReplicaState.LOADING, ReplicaState.READY) or copy.requests
                for copy in program.replicas
            )
        if schedule.running < schedule.limits.concurrency:
            for program in schedule.pool.functions.values():
                assert not program.waiting or not any(
                    copy.state == ReplicaState.READY and len(copy.requests) + copy.stopping < copy.concurrency
                    for copy in program.replicas
                )


Machine.TestCase.settings = settings(max_examples=200, stateful_step_count=60, deadline=None, derandomize=True)
Stateful = Machine.TestCase


if __name__ == "__main__":
    unittest.main()
