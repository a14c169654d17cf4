"""The actions of a worker's schedule in single cases."""

import unittest

from tests.schedule_rig import load_replica, new_schedule, summarize, take_actions
from wickdyke.worker.model import ReplicaState
from wickdyke.worker.slow_start import SlowStart


class ScheduleCaseTest(unittest.TestCase):
    """Events, and the actions that must follow."""

    def test_first_actions(self):
        """(loaded functions, requests) -> the immediate actions."""
        for loaded, requests, expected in (
            ((), [("a", "p", 10)], [("load", "p")]),
            ((), [("a", "p", 10), ("b", "p", 10)], [("load", "p")]),
            ((), [("a", "p", 10), ("b", "q", 10), ("c", "r", 10)], [("load", "p"), ("load", "q")]),
            (("p",), [("a", "p", 10)], [("run", "a")]),
            (("p",), [("a", "p", 10), ("b", "p", 10)], [("run", "a")]),
            ((), [("a", "p", 101)], [("reject", "a", "full")]),
            (("p",), [("a", "q", 95)], [("unload", "p"), ("load", "q")]),
            (("p", "q"), [("a", "r", 85)], [("unload", "p"), ("load", "r")]),  # p is least recently used
            (("p", "q"), [("b", "p", 10), ("a", "r", 85)], [("run", "b"), ("unload", "q"), ("load", "r")]),
            (("p",), [("b", "p", 10), ("a", "r", 95)], [("reject", "a", "full"), ("run", "b")]),
        ):
            with self.subTest(loaded=loaded, requests=requests):
                schedule = new_schedule()
                for time, name in enumerate(loaded):
                    schedule.advance(float(time))
                    load_replica(schedule, name)
                actions = []
                for key, name, memory in requests:
                    schedule.submit(key, name, memory, 1, 400.0)
                    actions += take_actions(schedule) if len(requests) == 2 and memory != 10 else []
                self.assertEqual(sorted(summarize(actions + take_actions(schedule))), sorted(expected))

    def test_request_ends(self):
        """(event of a running request or its replica) -> the actions that follow."""
        for event, expected in (
            ("answered", []),
            ("ended", [("reject", "a", "ended")]),
            ("time", [("stop", "a"), ("reject", "a", "out-of-time")]),
            ("cancel", [("stop", "a")]),
            (
                "measured",
                [("kill", "p", "uses 11.0 MB of memory, more than the stated 10 MB"), ("reject", "a", "ended")],
            ),
        ):
            with self.subTest(event=event):
                schedule = new_schedule()
                replica = load_replica(schedule, "p")
                schedule.submit("a", "p", 10, 1, 400.0)
                self.assertEqual(summarize(take_actions(schedule)), [("run", "a")])
                match event:
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
                self.assertEqual(summarize(take_actions(schedule)), expected)
                self.assertFalse(schedule.request_answered("a"))  # a later answer is ignored

    def test_stopped_request_does_not_end(self):
        """Its slot stays in use. Later requests get a new replica; the old one is killed once it has no requests."""
        schedule = new_schedule()
        replica = load_replica(schedule, "p", concurrency=2)
        schedule.submit("bad", "p", 10, 2, 100.0)
        schedule.submit("good", "p", 10, 2, 400.0)
        take_actions(schedule)
        schedule.advance(100.0)
        self.assertEqual(summarize(take_actions(schedule)), [("stop", "bad"), ("reject", "bad", "out-of-time")])
        schedule.advance(250.0)
        schedule.submit("late", "p", 10, 2, 400.0)
        # "late" gets a new replica; the old one still runs "good".
        self.assertEqual(summarize(take_actions(schedule)), [("load", "p")])
        self.assertTrue(schedule.request_answered("good"))
        self.assertEqual(
            [(action_name, subject) for action_name, subject, *_ in take_actions(schedule) if action_name == "kill"],
            [("kill", replica)],
        )

    def test_slot_freed_before_stop_timeout(self):
        """(ms from the stop of a request until its slot is free) -> whether the replica survives."""
        for delay, survives in ((50.0, True), (99.0, True), (101.0, False)):
            with self.subTest(delay=delay):
                schedule = new_schedule()
                replica = load_replica(schedule, "p")
                schedule.submit("a", "p", 10, 1, 100.0)
                take_actions(schedule)
                schedule.advance(100.0)
                take_actions(schedule)
                schedule.advance(100.0 + delay)
                if survives:
                    schedule.slot_freed(replica)
                take_actions(schedule)
                self.assertEqual(replica.state, ReplicaState.READY if survives else ReplicaState.REMOVED)

    def test_failed_loads(self):
        """(failure of a load) -> the rejection of the requests that waited for it, as none of them ran."""
        for failure, rejection in (("miss", "miss"), ("failed", "miss"), ("full", "full")):
            with self.subTest(failure=failure):
                schedule = new_schedule()
                schedule.submit("a", "p", 10, 1, 400.0)
                schedule.prewarm("h", "p", 10, 1, 1)
                replica = take_actions(schedule)[0][1]
                schedule.load_finished(replica, failure)
                self.assertEqual(
                    summarize(take_actions(schedule)), [("reject", "a", rejection), ("prewarm failed", "h", failure)]
                )

    def test_manifest_states_other_memory(self):
        """(memory of request, of manifest, of another replica) -> whether it fits, and the number of unloads."""
        for requested_memory, stated_memory, other_memory, fits, unloads in (
            (10, 10, 50, True, 0),
            (10, 60, 50, True, 1),
            (10, 101, 0, False, 0),
            (60, 10, 30, True, 0),
        ):
            with self.subTest(
                requested_memory=requested_memory, stated_memory=stated_memory, other_memory=other_memory
            ):
                schedule = new_schedule()
                if other_memory:
                    load_replica(schedule, "other", other_memory)
                schedule.submit("a", "p", requested_memory, 1, 400.0)
                replica = next(subject for action_name, subject, *_ in take_actions(schedule) if action_name == "load")
                self.assertEqual(schedule.apply_manifest(replica, stated_memory, 3, None), fits)
                self.assertEqual(
                    len([1 for action_name, *_ in take_actions(schedule) if action_name == "unload"]), unloads
                )

    def test_queued_load_is_removed_if_nothing_waits(self):
        """A queued load is removed once the request that waited for it is cancelled."""
        schedule = new_schedule(load_concurrency=1)
        for key in "ab":
            schedule.submit(key, f"p{key}", 10, 1, 400.0)
        first = take_actions(schedule)[0][1]
        schedule.cancel("b")
        schedule.load_finished(first, None)
        self.assertEqual(summarize(take_actions(schedule)), [("run", "a")])
        self.assertEqual(sum(replica.charged_memory for replica in schedule.pool.replicas()), 10)

    def test_idle_timeout_and_prewarm(self):
        """(times of prewarm requests, now) -> whether the replica is unloaded.

        A prewarm request counts as a use of the replica, unless it is for 0 replicas.
        """
        for prewarm_times, replicas, now, unloads in (
            ((), 1, 1001.0, True),
            ((), 1, 999.0, False),
            ((500.0,), 1, 1400.0, False),
            ((500.0,), 0, 1400.0, True),
        ):
            with self.subTest(prewarm_times=prewarm_times, replicas=replicas, now=now):
                schedule = new_schedule()
                load_replica(schedule, "p")
                for time in prewarm_times:
                    schedule.advance(time)
                    schedule.prewarm(time, "p", 10, 1, replicas)
                    take_actions(schedule)
                schedule.advance(now)
                self.assertEqual([action_name for action_name, *_ in take_actions(schedule)], ["unload"] * unloads)

    def test_slow_start(self):
        """(age) -> how many of 8 requests are accepted during slow start, and the reported value of `cold`."""
        for age, accepted, cold in ((0.0, 2, 0.75), (500.0, 5, 0.375), (1000.0, 8, 0.0)):
            with self.subTest(age=age):
                schedule = new_schedule(concurrency=8, slow_start=SlowStart(0.25, 1000.0))
                schedule.advance(age)
                for key in range(8):
                    schedule.submit(key, "p", 10, 8, 400.0)
                rejected = [action for action in take_actions(schedule) if action[0] == "reject"]
                self.assertEqual((8 - len(rejected), schedule.load_report()["cold"]), (accepted, cold))

    def test_prewarm_unloads_no_replica_that_it_counts(self):
        """(memory of another function) -> the result of a prewarm request for three replicas of 10 MB, one loaded."""
        for other_memory, expected in ((85, [("prewarm failed", "h", "full")]), (70, [("prewarmed", "h")])):
            with self.subTest(other_memory=other_memory):
                schedule = new_schedule()
                load_replica(schedule, "other", other_memory)
                replica = load_replica(schedule, "p")
                schedule.submit("busy", "other", other_memory, 1, 400.0)
                take_actions(schedule)
                schedule.prewarm("h", "p", 10, 1, 3)
                actions = take_actions(schedule)
                for load in [subject for action_name, subject, *_ in actions if action_name == "load"]:
                    schedule.load_finished(load, None)
                actions += take_actions(schedule)
                self.assertEqual(
                    [action for action in summarize(actions) if action[0] in ("prewarmed", "prewarm failed")], expected
                )
                self.assertNotIn("unload", [action[0] for action in actions])
                self.assertEqual(replica.state, ReplicaState.READY)

    def test_drain(self):
        """No further request is accepted; those in flight continue."""
        schedule = new_schedule()
        load_replica(schedule, "p")
        schedule.submit("a", "p", 10, 1, 400.0)
        take_actions(schedule)
        schedule.drain()
        schedule.submit("b", "p", 10, 1, 400.0)
        schedule.prewarm("h", "q", 10, 1, 1)
        self.assertEqual(
            summarize(take_actions(schedule)), [("reject", "b", "draining"), ("prewarm failed", "h", "draining")]
        )
        self.assertTrue(schedule.request_answered("a"))

    def test_no_load_starts_for_a_failed_prewarm(self):
        """A replica ends and another function takes its memory: the first prewarm fails, and starts no load."""
        schedule = new_schedule(memory=40.0, concurrency=3, load_concurrency=2)
        schedule.prewarm("first", "p", 5.0, 1, 3)
        loads = [subject for action_name, subject, *_ in take_actions(schedule) if action_name == "load"]
        schedule.advance(1.0)
        for replica in loads:
            schedule.load_finished(replica, None)
        take_actions(schedule)
        schedule.advance(2.0)
        schedule.replica_ended(loads[0])
        take_actions(schedule)
        schedule.advance(3.0)
        schedule.prewarm("second", "q", 15.0, 1, 2)
        actions = summarize(take_actions(schedule))
        self.assertIn(("prewarm failed", "first", "failed"), actions)
        self.assertNotIn(("load", "p"), actions)


if __name__ == "__main__":
    unittest.main()
