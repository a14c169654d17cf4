"""Wall clocks that are stepped, here and on the machine that writes start times: what the list makes of them."""

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
    """Real time in ms, which is the monotonic clock, and two wall clocks that can be stepped: ours, the writer's."""

    def __init__(self, now=1_000_000.0):
        self.now, self.ours, self.writers = now, 0.0, 0.0

    def stamp(self, age=0.0):
        """What the writer's clock makes of a start so long ago."""
        return UNIX + self.now - age + self.writers

    def ahead(self):
        """By how much our wall clock is ahead of the monotonic one."""
        return UNIX + self.ours


class View:
    """A list that is followed on a connection which was accepted `connected` ms after the start."""

    def __init__(self, clocks, known=(), connected=100.0):
        self.clocks, self.offset = clocks, 0
        self.connected_at = clocks.now + connected
        self.roster = endpoint_list.EndpointList(("hall",), ("std",), clocks.ahead, lambda: self.connected_at)
        self.send_raw(rig.instance("old", "h:9"), *known, reset=True)

    def send_raw(self, *instances, reset=False):
        self.offset += 1
        return self.roster.apply([rig.event(self.offset, *instances, reset=reset)], self.clocks.now)

    def age(self, name):
        return self.clocks.now - self.roster.listed[name][0].started_at


def late(name="a", started=0.0, **more):
    """A row of the list whose instance started at `started` (ms)."""
    return rig.instance(name, "h:1", startedAtMs=started, **more)


class Steps(unittest.TestCase):
    """Single steps, each with the age that is right."""

    def test_no_step_is_exact(self):
        """(whether it was told at the start, ms since the start, age when told) -> that age."""
        for known, after, age in (
            (True, 0.0, 0.0),
            (True, 0.0, 700.0),
            (True, 0.0, HOUR),
            (False, 60 * SECOND, 0.0),
            (False, 60 * SECOND, 700.0),
            (False, 60 * SECOND, endpoint_list.MAX_EVENT_DELAY),
            (False, 1000.0, 1500.0),
        ):
            with self.subTest(known=known, after=after, age=age):
                clocks = Clocks()
                view = View(clocks, [late(started=clocks.stamp(age))] if known else ())
                if not known:
                    clocks.now += after
                    view.send_raw(late(started=clocks.stamp(age)))
                self.assertEqual(view.age("a"), age)

    def test_no_step_is_exact_after_an_outage(self):
        clocks = Clocks()
        view = View(clocks)
        clocks.now += 60 * SECOND
        view.send_raw(rig.instance("b", "h:2"))
        clocks.now += 8 * SECOND
        view.connected_at = clocks.now - 10
        view.send_raw(late(started=clocks.stamp(7 * SECOND)))
        self.assertEqual(view.age("a"), 7 * SECOND)

    def test_a_live_start_is_as_old_as_the_monotonic_clock_allows(self):
        """(whose clock, when it is stepped, by how much): a worker that started 100 ms ago is told of live."""
        for whose in ("ours", "writers", "both"):
            for when in ("before", "during", "after"):
                for step in STEPS:
                    with self.subTest(whose=whose, when=when, step=step):
                        clocks = Clocks()

                        def move(now, clocks=clocks, whose=whose, when=when, step=step):
                            if now == when:
                                clocks.ours += step * (whose != "writers")
                                clocks.writers += step * (whose != "ours")

                        move("before")
                        view = View(clocks)
                        move("during")
                        clocks.now += 60 * SECOND
                        move("after")
                        view.send_raw(late(started=clocks.stamp(100.0)))
                        self.assertIn(view.age("a"), (0.0, 100.0))

    def test_after_an_outage_no_longer_than_it_lasted(self):
        """A step by seconds can't be told from a worker that started within the outage, beyond it can."""
        for step in STEPS:
            with self.subTest(step):
                clocks = Clocks()
                view = View(clocks)
                clocks.now += HOUR
                view.connected_at = clocks.now - 10
                clocks.writers += step
                view.send_raw(late(started=clocks.stamp(100.0)))
                self.assertGreaterEqual(view.age("a"), 0.0)
                self.assertLessEqual(view.age("a"), endpoint_list.MAX_EVENT_DELAY + endpoint_list.MAX_OUTAGE)

    def test_a_start_in_the_future_is_now(self):
        """Told at the start or live: just started, and its age grows from here on."""
        for known in (True, False):
            with self.subTest(known=known):
                clocks = Clocks()
                stamp = clocks.stamp() + HOUR
                view = View(clocks, [late(started=stamp)] if known else ())
                clocks.now += 0 if known else 60 * SECOND
                if not known:
                    view.send_raw(late(started=stamp))
                self.assertEqual(view.age("a"), 0.0)
                clocks.now += 5 * SECOND
                self.assertEqual(view.send_raw(late(started=stamp)), EndpointListChange([], {}))
                self.assertEqual(view.age("a"), 5 * SECOND)

    def test_our_clock_is_stepped_between_its_two_readings_at_the_start(self):
        """What was known at the start gets the younger of the two ages."""
        for step in STEPS:
            with self.subTest(step):
                clocks = Clocks()
                clocks.ours += step  # wrong at first, and right when the list is read
                view = endpoint_list.EndpointList(("hall",), ("std",), clocks.ahead)
                clocks.ours -= step
                view.apply([rig.event(1, late(started=clocks.stamp(100.0)), reset=True)], clocks.now)
                self.assertIn(clocks.now - view.listed["a"][0].started_at, (0.0, 100.0))

    def test_no_late_start_stays_none(self):
        """Whatever the clocks do, 0 is no late start."""
        for step in STEPS:
            clocks = Clocks()
            view = View(clocks)
            clocks.now += 60 * SECOND
            clocks.ours += step
            view.send_raw(late("a", 0), late("b", None), rig.instance("c", "h:3"))
            self.assertEqual([view.roster.listed[name][0].started_at for name in "abc"], [None] * 3)

    def test_told_again_is_no_change(self):
        """(what comes between) -> the same start keeps its time: cold ones stay cold, long known ones warm."""
        for step in (0.0, *STEPS):
            for between in ("nothing", "reset", "new connection", "deleted", "absent from a whole list"):
                with self.subTest(step=step, between=between):
                    clocks = Clocks()
                    rows = [late("a", clocks.stamp(HOUR))]
                    view = View(clocks, rows)
                    clocks.now += 60 * SECOND
                    rows.append(late("b", clocks.stamp(100.0)))
                    view.send_raw(rows[1])
                    before = dict(view.roster.listed)
                    self.assertEqual((view.age("a"), view.age("b")), (HOUR + 60 * SECOND, 100.0))
                    clocks.now += 5 * SECOND
                    clocks.ours += step
                    if between == "new connection":
                        view.connected_at = clocks.now
                    elif between == "deleted":
                        view.send_raw(*({**each, "lifecycle": "DELETED"} for each in rows))
                    elif between == "absent from a whole list":
                        view.send_raw(rig.instance("c", "h:3"), reset=True)
                    old = rig.instance("old", "h:9")
                    view.send_raw(old, *rows, reset=between in ("reset", "new connection"))
                    self.assertEqual({name: view.roster.listed[name] for name in before}, before)

    def test_a_new_start_under_the_same_name(self):
        """Its time is bounded by when it was told, however old its stamp looks."""
        for step in (0.0, *STEPS):
            with self.subTest(step):
                clocks = Clocks()
                view = View(clocks, [late("a", clocks.stamp(HOUR))])
                clocks.now += 60 * SECOND
                clocks.writers += step
                change = view.send_raw(late("a", clocks.stamp(100.0)))
                self.assertEqual([row.ident for row in change.endpoints], ["a"])
                self.assertTrue(0.0 <= view.age("a") <= endpoint_list.MAX_EVENT_DELAY)

    def test_deleted_starts_are_kept_within_a_bound(self):
        clocks = Clocks()
        view = View(clocks)
        for at in range(endpoint_list.MAX_REMOVED_START_TIMES + 50):
            clocks.now += 1
            row = late(f"n{at}", clocks.stamp())
            view.send_raw(row)
            view.send_raw({**row, "lifecycle": "DELETED"})
        self.assertEqual(len(view.roster.removed_start_times), endpoint_list.MAX_REMOVED_START_TIMES)
        self.assertIn(f"n{endpoint_list.MAX_REMOVED_START_TIMES + 49}", view.roster.removed_start_times)
        self.assertEqual((len(view.roster), view.roster.start_times), (1, {}))

    def test_stamps_that_are_no_time(self):
        """The entry can't be used, those beside it can."""
        for stamp in (inf, -inf, float("nan"), 10**400, "soon", [1]):
            with self.subTest(str(stamp)[:10]):
                view = View(Clocks())
                view.send_raw(late("a", stamp), rig.instance("b", "h:2"))
                self.assertEqual((list(view.roster.listed), view.roster.unusable_count), (["old", "b"], 1))


class Drawn(unittest.TestCase):
    """Any course of steps, starts, deletions, whole lists and connections."""

    step = st.sampled_from((*STEPS, 1.0, -1.0, 90.0, -90.0, 1500.0, -1500.0))
    act = st.one_of(
        st.tuples(st.just("ours"), step),
        st.tuples(st.just("writers"), step),
        st.tuples(st.just("wait"), st.sampled_from((0.0, 10.0, 1000.0, 9000.0, HOUR))),
        st.tuples(st.just("connect"), st.none()),
        st.tuples(st.just("start"), st.tuples(st.sampled_from("abc"), st.sampled_from((0.0, 200.0, 3000.0, HOUR)))),
        st.tuples(st.just("again"), st.sampled_from("abc")),
        st.tuples(st.just("delete"), st.sampled_from("abc")),
        st.tuples(st.just("whole"), st.sets(st.sampled_from("abc"))),
    )

    def do_step(self, view, clocks, stamps, births, step):
        """Does one step; `stamps` and `births` follow what is sent of each name."""
        what, with_ = step
        if what in ("ours", "writers"):
            setattr(clocks, what, getattr(clocks, what) + with_)
        elif what == "wait":
            clocks.now += with_
        elif what == "connect":
            view.connected_at = clocks.now
        elif what == "start":
            if stamps.get(with_[0]) != clocks.stamp(with_[1]):
                births.pop(with_[0], None)
            stamps[with_[0]] = clocks.stamp(with_[1])
            view.send_raw(late(with_[0], stamps[with_[0]]))
        elif what == "again" and with_ in stamps:
            view.send_raw(late(with_, stamps[with_]))
        elif what == "delete" and with_ in stamps:
            view.send_raw(late(with_, stamps[with_], lifecycle="DELETED"))
        elif what == "whole":
            view.send_raw(*(late(name, stamps[name]) for name in sorted(with_) if name in stamps), reset=True)

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(step, step, st.lists(act, max_size=25))
    def test_ages_stay_possible(self, ours, writers, acts):
        """Never negative; first told live never older than allowed; the same start keeps its time."""
        clocks = Clocks()
        clocks.ours, clocks.writers = ours, writers
        view = View(clocks, [late("a", clocks.stamp(200.0))])
        stamps = {"a": clocks.stamp(200.0)}  # the stamps that each name was told with last
        births = {"a": view.roster.listed["a"][0].started_at}  # and the time that this start was given
        for what, with_ in acts:
            last = view.roster.last_events_at
            self.do_step(view, clocks, stamps, births, (what, with_))
            fresh = clocks.now - view.connected_at <= endpoint_list.MAX_EVENT_DELAY
            most = endpoint_list.MAX_EVENT_DELAY + fresh * min(endpoint_list.MAX_OUTAGE, clocks.now - last)
            for name, (listing, _) in view.roster.listed.items():
                if name == "old":
                    continue
                self.assertGreaterEqual(clocks.now - listing.started_at, 0.0)
                if name not in births:
                    self.assertLessEqual(clocks.now - listing.started_at, most)
                self.assertEqual(births.setdefault(name, listing.started_at), listing.started_at)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(st.integers(0, int(HOUR)), st.integers(0, int(endpoint_list.MAX_EVENT_DELAY))),
            min_size=1,
            max_size=20,
        )
    )
    def test_an_ordinary_day_is_exact(self, starts):
        """(ms until the next start is told, by how much late), no clock stepped: the very number of the clocks."""
        clocks = Clocks()
        view = View(clocks)
        for at, (wait, lag) in enumerate(starts):
            clocks.now += wait
            view.send_raw(late(f"w{at}", clocks.stamp(lag)))
            self.assertEqual(view.age(f"w{at}"), lag)


class SlowStart(unittest.TestCase):
    """Through the decision module: a worker that has just started is spared, whatever the clocks say."""

    def sent(self, clock_step, writers_step, known):
        """How many of 60 requests in a second the one worker gets that has just started."""
        fleet, clocks = FrontEnd(endpoints=[], front_ends=1), Clocks(now=0.0)
        clocks.now = fleet.clock
        clocks.writers = writers_step if known else 0.0
        row = late(started=clocks.stamp(100.0))
        view = View(clocks, [row] if known else ())
        if not known:
            fleet.clock += 60 * SECOND
            clocks.now = fleet.clock
            clocks.ours += clock_step
            clocks.writers += writers_step
            row = late(started=clocks.stamp(100.0))
            view.send_raw(row)
        listing = view.roster.listed["a"][0]
        fleet.update_endpoints([listing])
        worker = fleet.router.workers["a"]
        self.assertTrue(fleet.router.slow_start.is_warming_up(worker, fleet.clock))
        self.assertFalse(fleet.router.slow_start.is_warming_up(worker, fleet.clock + 18 * SECOND))
        calls = 0
        for _ in range(60):
            calls += decision_names(fleet.submit()).count("forward")
        return calls

    def test_a_start_told_while_a_clock_is_stepped(self):
        plain = self.sent(0.0, 0.0, False)
        self.assertLess(plain, 10)
        for ours, writers in ((HOUR, 0.0), (-HOUR, 0.0), (0.0, HOUR), (0.0, -HOUR), (HOUR, HOUR), (-HOUR, -HOUR)):
            with self.subTest(ours=ours, writers=writers):
                self.assertLessEqual(self.sent(ours, writers, False), max(plain, 1))

    def test_known_at_the_start_with_a_stamp_of_the_future(self):
        """Cold now, and not for an hour."""
        self.assertLess(self.sent(0.0, HOUR, True), 10)


class WholeFrontEnd(front_end_rig.FrontEndCase):
    """A real front end on sockets whose wall clock is stepped, before it starts or once it follows the list."""

    def test_a_live_start(self):
        """(when, by how much): the worker was started after the last that we heard of the list."""
        for when in ("before", "after"):
            for step in (-HOUR, HOUR):
                with self.subTest(when=when, step=step):
                    stepped = SimpleNamespace(ms=step if when == "before" else 0.0)
                    wall = SimpleNamespace(time=lambda stepped=stepped: time.time() + stepped.ms / 1000)
                    with patch.object(service, "time", wall):
                        source, one, two = self.close_on_cleanup(rig.Bus()), self.worker(), self.worker()
                        front_end = self.front_end(one.address, bus=source.address)
                        self.until(lambda source=source: source.offsets)
                        stepped.ms = step
                        started, began = int(time.time() * 1000), service.clock()
                        source.event(rig.event(2, rig.instance("w1", two.address, startedAtMs=started)))
                        self.until(lambda front_end=front_end: front_end.endpoints.offset == 2)
                        born = front_end.coordinator.router.workers["w1"].warming_since
                        self.assertGreaterEqual(born, began - 1.0)  # the stamp is cut to whole ms
                        self.assertLessEqual(born, service.clock())
                        self.close_front_end()


if __name__ == "__main__":
    unittest.main()
