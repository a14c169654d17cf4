"""Start times in the endpoint list where the wall clock of the front end, or of the machine that writes them, steps."""

import time
import unittest
from math import inf
from types import SimpleNamespace
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from tests import front_end_rig
from tests import platform_rig as rig
from tests.helpers import FrontEnd, decision_names
from wickdyke.gateway.interfaces import EndpointListChange
from wickdyke.platform import endpoint_list, service

HOUR, SECOND = 3_600_000.0, 1000.0
UNIX = 1_700_000_000_000.0  # Unix ms at 0 of the monotonic clock, as long as no clock is stepped
STEPS = (-HOUR, -30 * SECOND, -3 * SECOND, 3 * SECOND, 30 * SECOND, HOUR)


class Clocks:
    """The monotonic clock in ms, and two wall clocks that a test can step: the front end's and the writer's."""

    def __init__(self, now=1_000_000.0):
        self.now, self.local_offset, self.writer_offset = now, 0.0, 0.0

    def stamp(self, age=0.0):
        """Returns the start time (Unix ms) that the writer's clock gives for a start `age` ms ago."""
        return UNIX + self.now - age + self.writer_offset

    def ahead(self):
        """Returns by how much the front end's wall clock is ahead of the monotonic clock (ms)."""
        return UNIX + self.local_offset


class FollowedList:
    """An endpoint list that is followed on a connection accepted `connected` ms after the start."""

    def __init__(self, clocks, known_at_start=(), connected=100.0):
        self.clocks, self.offset = clocks, 0
        self.connected_at = clocks.now + connected
        self.endpoint_list = endpoint_list.EndpointList(("hall",), ("std",), clocks.ahead, lambda: self.connected_at)
        self.send_raw(rig.instance("old", "h:9"), *known_at_start, reset=True)

    def send_raw(self, *instances, reset=False):
        """Applies an event with these instances; returns the changes."""
        self.offset += 1
        return self.endpoint_list.apply([rig.event(self.offset, *instances, reset=reset)], self.clocks.now)

    def age(self, name):
        """Returns the age (ms) that the list gives an instance."""
        return self.clocks.now - self.endpoint_list.listed[name][0].started_at


def started_instance(name="a", started=0.0, **more):
    """Returns an entry of the list whose start time is `started` (Unix ms)."""
    return rig.instance(name, "h:1", startedAtMs=started, **more)


class ClockStepTest(unittest.TestCase):
    """Single clock steps, and the age that the list gives a worker then."""

    def test_age_is_exact_without_a_step(self):
        """(whether the list had the worker at the start, ms since then, age when reported) -> that age."""
        for known_at_start, after, age in (
            (True, 0.0, 0.0),
            (True, 0.0, 700.0),
            (True, 0.0, HOUR),
            (False, 60 * SECOND, 0.0),
            (False, 60 * SECOND, 700.0),
            (False, 60 * SECOND, endpoint_list.MAX_EVENT_DELAY),
            (False, 1000.0, 1500.0),
        ):
            with self.subTest(known_at_start=known_at_start, after=after, age=age):
                clocks = Clocks()
                followed = FollowedList(clocks, [started_instance(started=clocks.stamp(age))] if known_at_start else ())
                if not known_at_start:
                    clocks.now += after
                    followed.send_raw(started_instance(started=clocks.stamp(age)))
                self.assertEqual(followed.age("a"), age)

    def test_age_is_exact_after_an_outage(self):
        clocks = Clocks()
        followed = FollowedList(clocks)
        clocks.now += 60 * SECOND
        followed.send_raw(rig.instance("b", "h:2"))
        clocks.now += 8 * SECOND
        followed.connected_at = clocks.now - 10
        followed.send_raw(started_instance(started=clocks.stamp(7 * SECOND)))
        self.assertEqual(followed.age("a"), 7 * SECOND)

    def test_age_of_a_live_start_is_bounded_by_the_monotonic_clock(self):
        """(whose clock, when it is stepped, by how much): an event reports a worker that started 100 ms ago."""
        for whose in ("local", "writer", "both"):
            for when in ("before", "during", "after"):
                for step in STEPS:
                    with self.subTest(whose=whose, when=when, step=step):
                        clocks = Clocks()

                        def apply_step(now, clocks=clocks, whose=whose, when=when, step=step):
                            if now == when:
                                clocks.local_offset += step * (whose != "writer")
                                clocks.writer_offset += step * (whose != "local")

                        apply_step("before")
                        followed = FollowedList(clocks)
                        apply_step("during")
                        clocks.now += 60 * SECOND
                        apply_step("after")
                        followed.send_raw(started_instance(started=clocks.stamp(100.0)))
                        self.assertIn(followed.age("a"), (0.0, 100.0))

    def test_age_after_an_outage_is_bounded_by_its_length(self):
        """A step by seconds looks like a start within the outage; a larger one is recognized."""
        for step in STEPS:
            with self.subTest(step):
                clocks = Clocks()
                followed = FollowedList(clocks)
                clocks.now += HOUR
                followed.connected_at = clocks.now - 10
                clocks.writer_offset += step
                followed.send_raw(started_instance(started=clocks.stamp(100.0)))
                self.assertGreaterEqual(followed.age("a"), 0.0)
                self.assertLessEqual(followed.age("a"), endpoint_list.MAX_EVENT_DELAY + endpoint_list.MAX_OUTAGE)

    def test_start_time_in_the_future_counts_as_now(self):
        """Known at the start or reported live: the worker has just started, and its age grows from then on."""
        for known_at_start in (True, False):
            with self.subTest(known_at_start=known_at_start):
                clocks = Clocks()
                stamp = clocks.stamp() + HOUR
                followed = FollowedList(clocks, [started_instance(started=stamp)] if known_at_start else ())
                clocks.now += 0 if known_at_start else 60 * SECOND
                if not known_at_start:
                    followed.send_raw(started_instance(started=stamp))
                self.assertEqual(followed.age("a"), 0.0)
                clocks.now += 5 * SECOND
                self.assertEqual(followed.send_raw(started_instance(started=stamp)), EndpointListChange([], {}))
                self.assertEqual(followed.age("a"), 5 * SECOND)

    def test_local_clock_is_stepped_between_its_two_readings_at_the_start(self):
        """A worker known at the start gets the lower of its two possible ages."""
        for step in STEPS:
            with self.subTest(step):
                clocks = Clocks()
                clocks.local_offset += step  # wrong at first, right when the list is applied
                followed = endpoint_list.EndpointList(("hall",), ("std",), clocks.ahead)
                clocks.local_offset -= step
                followed.apply([rig.event(1, started_instance(started=clocks.stamp(100.0)), reset=True)], clocks.now)
                self.assertIn(clocks.now - followed.listed["a"][0].started_at, (0.0, 100.0))

    def test_start_time_that_is_absent_stays_none(self):
        """0 and None mean no start time, whatever the clocks do."""
        for step in STEPS:
            clocks = Clocks()
            followed = FollowedList(clocks)
            clocks.now += 60 * SECOND
            clocks.local_offset += step
            followed.send_raw(started_instance("a", 0), started_instance("b", None), rig.instance("c", "h:3"))
            self.assertEqual([followed.endpoint_list.listed[name][0].started_at for name in "abc"], [None] * 3)

    def test_repeated_start_time_is_no_change(self):
        """(what happens in between) -> a start keeps its time: young workers stay young, old ones old."""
        for step in (0.0, *STEPS):
            for between in ("nothing", "reset", "new connection", "deleted", "absent from a whole list"):
                with self.subTest(step=step, between=between):
                    clocks = Clocks()
                    rows = [started_instance("a", clocks.stamp(HOUR))]
                    followed = FollowedList(clocks, rows)
                    clocks.now += 60 * SECOND
                    rows.append(started_instance("b", clocks.stamp(100.0)))
                    followed.send_raw(rows[1])
                    before = dict(followed.endpoint_list.listed)
                    self.assertEqual((followed.age("a"), followed.age("b")), (HOUR + 60 * SECOND, 100.0))
                    clocks.now += 5 * SECOND
                    clocks.local_offset += step
                    if between == "new connection":
                        followed.connected_at = clocks.now
                    elif between == "deleted":
                        followed.send_raw(*({**each, "lifecycle": "DELETED"} for each in rows))
                    elif between == "absent from a whole list":
                        followed.send_raw(rig.instance("c", "h:3"), reset=True)
                    old = rig.instance("old", "h:9")
                    followed.send_raw(old, *rows, reset=between in ("reset", "new connection"))
                    self.assertEqual({name: followed.endpoint_list.listed[name] for name in before}, before)

    def test_new_start_under_the_same_name(self):
        """Its age when it is reported is bounded, however old its start time looks."""
        for step in (0.0, *STEPS):
            with self.subTest(step):
                clocks = Clocks()
                followed = FollowedList(clocks, [started_instance("a", clocks.stamp(HOUR))])
                clocks.now += 60 * SECOND
                clocks.writer_offset += step
                change = followed.send_raw(started_instance("a", clocks.stamp(100.0)))
                self.assertEqual([row.ident for row in change.endpoints], ["a"])
                self.assertTrue(0.0 <= followed.age("a") <= endpoint_list.MAX_EVENT_DELAY)

    def test_start_times_of_removed_workers_are_bounded(self):
        clocks = Clocks()
        followed = FollowedList(clocks)
        for at in range(endpoint_list.MAX_REMOVED_START_TIMES + 50):
            clocks.now += 1
            row = started_instance(f"n{at}", clocks.stamp())
            followed.send_raw(row)
            followed.send_raw({**row, "lifecycle": "DELETED"})
        self.assertEqual(len(followed.endpoint_list.removed_start_times), endpoint_list.MAX_REMOVED_START_TIMES)
        self.assertIn(f"n{endpoint_list.MAX_REMOVED_START_TIMES + 49}", followed.endpoint_list.removed_start_times)
        self.assertEqual((len(followed.endpoint_list), followed.endpoint_list.start_times), (1, {}))

    def test_invalid_start_times(self):
        """An entry with an invalid start time is unusable, the others of the event are used."""
        for stamp in (inf, -inf, float("nan"), 10**400, "soon", [1]):
            with self.subTest(str(stamp)[:10]):
                followed = FollowedList(Clocks())
                followed.send_raw(started_instance("a", stamp), rig.instance("b", "h:2"))
                self.assertEqual(
                    (list(followed.endpoint_list.listed), followed.endpoint_list.unusable_count), (["old", "b"], 1)
                )


class GeneratedHistories(unittest.TestCase):
    """Generated sequences of clock steps, starts, deletions, whole lists and connections."""

    step = st.sampled_from((*STEPS, 1.0, -1.0, 90.0, -90.0, 1500.0, -1500.0))
    action = st.one_of(
        st.tuples(st.just("local_offset"), step),
        st.tuples(st.just("writer_offset"), step),
        st.tuples(st.just("wait"), st.sampled_from((0.0, 10.0, 1000.0, 9000.0, HOUR))),
        st.tuples(st.just("connect"), st.none()),
        st.tuples(st.just("start"), st.tuples(st.sampled_from("abc"), st.sampled_from((0.0, 200.0, 3000.0, HOUR)))),
        st.tuples(st.just("again"), st.sampled_from("abc")),
        st.tuples(st.just("delete"), st.sampled_from("abc")),
        st.tuples(st.just("whole"), st.sets(st.sampled_from("abc"))),
    )

    def do_step(self, followed, clocks, stamps, start_times, step):
        """Applies one step; `stamps` has the start time last sent of each name, `start_times` the one the list gave."""
        kind, argument = step
        if kind in ("local_offset", "writer_offset"):
            setattr(clocks, kind, getattr(clocks, kind) + argument)
        elif kind == "wait":
            clocks.now += argument
        elif kind == "connect":
            followed.connected_at = clocks.now
        elif kind == "start":
            if stamps.get(argument[0]) != clocks.stamp(argument[1]):
                start_times.pop(argument[0], None)
            stamps[argument[0]] = clocks.stamp(argument[1])
            followed.send_raw(started_instance(argument[0], stamps[argument[0]]))
        elif kind == "again" and argument in stamps:
            followed.send_raw(started_instance(argument, stamps[argument]))
        elif kind == "delete" and argument in stamps:
            followed.send_raw(started_instance(argument, stamps[argument], lifecycle="DELETED"))
        elif kind == "whole":
            followed.send_raw(
                *(started_instance(name, stamps[name]) for name in sorted(argument) if name in stamps), reset=True
            )

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(step, step, st.lists(action, max_size=25))
    def test_ages_stay_plausible(self, local_offset, writer_offset, actions):
        """No age is negative, none reported live exceeds its bound, and a start keeps its time."""
        clocks = Clocks()
        clocks.local_offset, clocks.writer_offset = local_offset, writer_offset
        followed = FollowedList(clocks, [started_instance("a", clocks.stamp(200.0))])
        stamps = {"a": clocks.stamp(200.0)}  # the start time last sent of each name
        start_times = {
            "a": followed.endpoint_list.listed["a"][0].started_at
        }  # and the time that the list gave this start
        for kind, argument in actions:
            last = followed.endpoint_list.last_events_at
            self.do_step(followed, clocks, stamps, start_times, (kind, argument))
            fresh = clocks.now - followed.connected_at <= endpoint_list.MAX_EVENT_DELAY
            most = endpoint_list.MAX_EVENT_DELAY + fresh * min(endpoint_list.MAX_OUTAGE, clocks.now - last)
            for name, (listing, _) in followed.endpoint_list.listed.items():
                if name == "old":
                    continue
                self.assertGreaterEqual(clocks.now - listing.started_at, 0.0)
                if name not in start_times:
                    self.assertLessEqual(clocks.now - listing.started_at, most)
                self.assertEqual(start_times.setdefault(name, listing.started_at), listing.started_at)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(st.integers(0, int(HOUR)), st.integers(0, int(endpoint_list.MAX_EVENT_DELAY))),
            min_size=1,
            max_size=20,
        )
    )
    def test_ages_are_exact_without_a_step(self, starts):
        """(ms until the next start is reported, delay of the report): without a clock step, ages are exact."""
        clocks = Clocks()
        followed = FollowedList(clocks)
        for at, (wait, lag) in enumerate(starts):
            clocks.now += wait
            followed.send_raw(started_instance(f"w{at}", clocks.stamp(lag)))
            self.assertEqual(followed.age(f"w{at}"), lag)


class SlowStartTest(unittest.TestCase):
    """The router limits the requests to a worker that has just started, whatever the clocks show."""

    def forward_count(self, clock_step, writer_step, known_at_start):
        """Returns how many of 60 requests in a second a worker gets that has just started."""
        fleet, clocks = FrontEnd(endpoints=[], front_ends=1), Clocks(now=0.0)
        clocks.now = fleet.clock
        clocks.writer_offset = writer_step if known_at_start else 0.0
        row = started_instance(started=clocks.stamp(100.0))
        followed = FollowedList(clocks, [row] if known_at_start else ())
        if not known_at_start:
            fleet.clock += 60 * SECOND
            clocks.now = fleet.clock
            clocks.local_offset += clock_step
            clocks.writer_offset += writer_step
            row = started_instance(started=clocks.stamp(100.0))
            followed.send_raw(row)
        listing = followed.endpoint_list.listed["a"][0]
        fleet.update_endpoints([listing])
        worker = fleet.router.workers["a"]
        self.assertTrue(fleet.router.slow_start.is_warming_up(worker, fleet.clock))
        self.assertFalse(fleet.router.slow_start.is_warming_up(worker, fleet.clock + 18 * SECOND))
        forwards = 0
        for _ in range(60):
            forwards += decision_names(fleet.submit()).count("forward")
        return forwards

    def test_start_reported_after_a_clock_step(self):
        without_step = self.forward_count(0.0, 0.0, False)
        self.assertLess(without_step, 10)
        for local_step, writer_step in (
            (HOUR, 0.0),
            (-HOUR, 0.0),
            (0.0, HOUR),
            (0.0, -HOUR),
            (HOUR, HOUR),
            (-HOUR, -HOUR),
        ):
            with self.subTest(local_step=local_step, writer_step=writer_step):
                self.assertLessEqual(self.forward_count(local_step, writer_step, False), max(without_step, 1))

    def test_known_at_the_start_with_a_start_time_in_the_future(self):
        """The worker is cold now, but does not stay so for an hour."""
        self.assertLess(self.forward_count(0.0, HOUR, True), 10)


class WholeFrontEnd(front_end_rig.FrontEndCase):
    """A front end on real sockets whose wall clock is stepped, before it starts or while it follows the list."""

    def test_live_start(self):
        """(when, by how much): the worker was started after the latest event of the list."""
        for when in ("before", "after"):
            for step in (-HOUR, HOUR):
                with self.subTest(when=when, step=step):
                    stepped = SimpleNamespace(ms=step if when == "before" else 0.0)
                    wall = SimpleNamespace(time=lambda stepped=stepped: time.time() + stepped.ms / 1000)
                    with patch.object(service, "time", wall):
                        bus, first, second = self.close_on_cleanup(rig.Bus()), self.worker(), self.worker()
                        front_end = self.front_end(first.address, bus=bus.address)
                        self.until(lambda bus=bus: bus.offsets)
                        stepped.ms = step
                        started_ms, earliest = int(time.time() * 1000), service.clock()
                        bus.event(rig.event(2, rig.instance("w1", second.address, startedAtMs=started_ms)))
                        self.until(lambda front_end=front_end: front_end.endpoints.offset == 2)
                        warming_since = front_end.coordinator.router.workers["w1"].warming_since
                        self.assertGreaterEqual(
                            warming_since, earliest - 1.0
                        )  # the start time is rounded down to whole ms
                        self.assertLessEqual(warming_since, service.clock())
                        self.close_front_end()


if __name__ == "__main__":
    unittest.main()
