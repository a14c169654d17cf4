"""What a worker's schedule decides in stated cases."""

import unittest

from tests.schedule_rig import load_replica, new_schedule, summary, take_decisions
from wickdyke.worker.model import ReplicaState
from wickdyke.worker.slow_start import SlowStart


class ScheduleCaseTest(unittest.TestCase):
    """Stated cases: events, and the actions that must follow."""

    def test_first_calls(self):
        """(loaded functions, requests) -> the actions at once."""
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
                schedule = new_schedule()
                for at, name in enumerate(before):
                    schedule.advance(float(at))
                    load_replica(schedule, name)
                done = []
                for key, name, memory in calls:
                    schedule.submit(key, name, memory, 1, 400.0)
                    done += take_decisions(schedule) if len(calls) == 2 and memory != 10 else []
                self.assertEqual(sorted(summary(done + take_decisions(schedule))), sorted(want))

    def test_ends(self):
        """(what happens to a request or its replica) -> its answer, and whether it may have run."""
        for what, want in (
            ("answered", []),
            ("ended", [("refuse", "a", "ended")]),
            ("time", [("stop", "a"), ("refuse", "a", "out-of-time")]),
            ("cancel", [("stop", "a")]),
            (
                "measured",
                [("end", "p", "uses 11.0 MB of memory, more than the stated 10 MB"), ("refuse", "a", "ended")],
            ),
        ):
            with self.subTest(what=what):
                schedule = new_schedule()
                replica = load_replica(schedule, "p")
                schedule.submit("a", "p", 10, 1, 400.0)
                self.assertEqual(summary(take_decisions(schedule)), [("run", "a")])
                match what:
                    case "answered":
                        self.assertTrue(schedule.request_answered("a"))
                    case "ended":
                        schedule.replica_ended(replica)
                    case "time":
                        schedule.advance(400.0)
                    case "cancel":
                        schedule.cancel("a")
                    case "measured":
                        schedule.memory_measured(replica, 11.0)
                self.assertEqual(summary(take_decisions(schedule)), want)
                self.assertFalse(schedule.request_answered("a"))  # nothing after

    def test_a_call_that_does_not_end(self):
        """Its slot stays in use; the replica is killed once its other requests end; later ones get another."""
        schedule = new_schedule()
        replica = load_replica(schedule, "p", lanes=2)
        schedule.submit("bad", "p", 10, 2, 100.0)
        schedule.submit("good", "p", 10, 2, 400.0)
        take_decisions(schedule)
        schedule.advance(100.0)
        self.assertEqual(summary(take_decisions(schedule)), [("stop", "bad"), ("refuse", "bad", "out-of-time")])
        schedule.advance(250.0)
        schedule.submit("late", "p", 10, 2, 400.0)
        self.assertEqual(
            summary(take_decisions(schedule)), [("load", "p")]
        )  # not into that replica, which is not killed under the good one
        self.assertTrue(schedule.request_answered("good"))
        self.assertEqual([(verb, it) for verb, it, *_ in take_decisions(schedule) if verb == "end"], [("end", replica)])

    def test_freed_in_time(self):
        """(ms until the slot is free) -> whether the replica lives."""
        for ms, lives in ((50.0, True), (99.0, True), (101.0, False)):
            with self.subTest(ms=ms):
                schedule = new_schedule()
                replica = load_replica(schedule, "p")
                schedule.submit("a", "p", 10, 1, 100.0)
                take_decisions(schedule)
                schedule.advance(100.0)
                take_decisions(schedule)
                schedule.advance(100.0 + ms)
                if lives:
                    schedule.slot_freed(replica)
                take_decisions(schedule)
                self.assertEqual(replica.state, ReplicaState.READY if lives else ReplicaState.REMOVED)

    def test_failed_loads(self):
        """(how a load failed) -> how the requests that waited are rejected: none ran."""
        for how, word in (("miss", "miss"), ("failed", "miss"), ("full", "full")):
            with self.subTest(how=how):
                schedule = new_schedule()
                schedule.submit("a", "p", 10, 1, 400.0)
                schedule.prewarm("h", "p", 10, 1, 1)
                replica = take_decisions(schedule)[0][1]
                schedule.load_finished(replica, how)
                self.assertEqual(summary(take_decisions(schedule)), [("refuse", "a", word), ("unheld", "h", how)])

    def test_manifest_takes_more(self):
        """(memory requested, of the manifest, of another replica) -> whether it fits, and what is unloaded for it."""
        for ordered, real, beside, fits, gone in (
            (10, 10, 50, True, 0),
            (10, 60, 50, True, 1),
            (10, 101, 0, False, 0),
            (60, 10, 30, True, 0),
        ):
            with self.subTest(ordered=ordered, real=real, beside=beside):
                schedule = new_schedule()
                if beside:
                    load_replica(schedule, "other", beside)
                schedule.submit("a", "p", ordered, 1, 400.0)
                replica = next(it for verb, it, *_ in take_decisions(schedule) if verb == "load")
                self.assertEqual(schedule.apply_manifest(replica, real, 3, None), fits)
                self.assertEqual(len([1 for verb, *_ in take_decisions(schedule) if verb == "unload"]), gone)

    def test_nothing_waits_for_a_load(self):
        """A load not begun yet is forgotten when what waited for it is gone."""
        schedule = new_schedule(loads_at_once=1)
        for key in "ab":
            schedule.submit(key, f"p{key}", 10, 1, 400.0)
        first = take_decisions(schedule)[0][1]
        schedule.cancel("b")
        schedule.load_finished(first, None)
        self.assertEqual(summary(take_decisions(schedule)), [("run", "a")])
        self.assertEqual(sum(replica.charged_memory for replica in schedule.pool.replicas()), 10)

    def test_idle_life_and_renewal(self):
        """(times of prewarm requests, now) -> whether the replica is unloaded; one for 0 replicas does not renew it."""
        for orders, replicas, now, gone in (
            ((), 1, 1001.0, True),
            ((), 1, 999.0, False),
            ((500.0,), 1, 1400.0, False),
            ((500.0,), 0, 1400.0, True),
        ):
            with self.subTest(orders=orders, replicas=replicas, now=now):
                schedule = new_schedule()
                load_replica(schedule, "p")
                for at in orders:
                    schedule.advance(at)
                    schedule.prewarm(at, "p", 10, 1, replicas)
                    take_decisions(schedule)
                schedule.advance(now)
                self.assertEqual([verb for verb, *_ in take_decisions(schedule)], ["unload"] * gone)

    def test_cold(self):
        """(age) -> requests accepted of 8: a part during slow start, and reported so."""
        for age, taken, cold in ((0.0, 2, 0.75), (500.0, 5, 0.375), (1000.0, 8, 0.0)):
            with self.subTest(age=age):
                schedule = new_schedule(at_once=8, slow_start=SlowStart(0.25, 1000.0))
                schedule.advance(age)
                for key in range(8):
                    schedule.submit(key, "p", 10, 8, 400.0)
                refused = [act for act in take_decisions(schedule) if act[0] == "refuse"]
                self.assertEqual((8 - len(refused), schedule.load_report()["cold"]), (taken, cold))

    def test_an_order_ends_none_of_the_copies_it_counts(self):
        """(memory of another function) -> the result of a prewarm request for three replicas of 10 MB, one loaded."""
        for other, held in ((85, [("unheld", "h", "full")]), (70, [("held", "h")])):
            with self.subTest(other=other):
                schedule = new_schedule()
                load_replica(schedule, "other", other)
                replica = load_replica(schedule, "p")
                schedule.submit("busy", "other", other, 1, 400.0)
                take_decisions(schedule)
                schedule.prewarm("h", "p", 10, 1, 3)
                actions = take_decisions(schedule)
                for load in [it for verb, it, *_ in actions if verb == "load"]:
                    schedule.load_finished(load, None)
                actions += take_decisions(schedule)
                self.assertEqual([act for act in summary(actions) if act[0] in ("held", "unheld")], held)
                self.assertNotIn("unload", [act[0] for act in actions])
                self.assertEqual(replica.state, ReplicaState.READY)

    def test_drain(self):
        """No further request is accepted, those in flight go on."""
        schedule = new_schedule()
        load_replica(schedule, "p")
        schedule.submit("a", "p", 10, 1, 400.0)
        take_decisions(schedule)
        schedule.drain()
        schedule.submit("b", "p", 10, 1, 400.0)
        schedule.prewarm("h", "q", 10, 1, 1)
        self.assertEqual(summary(take_decisions(schedule)), [("refuse", "b", "draining"), ("unheld", "h", "draining")])
        self.assertTrue(schedule.request_answered("a"))

    def test_no_load_is_begun_for_a_prewarm_that_fails_at_once(self):
        """A replica ends and another function uses its memory: what was queued for the first prewarm is not loaded."""
        schedule = new_schedule(memory=40.0, at_once=3, loads_at_once=2)
        schedule.prewarm("first", "p", 5.0, 1, 3)
        loads = [it for verb, it, *_ in take_decisions(schedule) if verb == "load"]
        schedule.advance(1.0)
        for replica in loads:
            schedule.load_finished(replica, None)
        take_decisions(schedule)
        schedule.advance(2.0)
        schedule.replica_ended(loads[0])
        take_decisions(schedule)
        schedule.advance(3.0)
        schedule.prewarm("second", "q", 15.0, 1, 2)
        actions = summary(take_decisions(schedule))
        self.assertIn(("unheld", "first", "failed"), actions)
        self.assertNotIn(("load", "p"), actions)


if __name__ == "__main__":
    unittest.main()
