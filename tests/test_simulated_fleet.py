"""What must not grow with the fleet, counted in draws, lines, bytes and messages, never in seconds."""

import gzip
import json
import os
import random
import sys
import tracemalloc
import unittest
from collections import Counter
from dataclasses import replace
from unittest.mock import patch

from bench import scale
from bench.simulated_fleet import SimulatedFleet
from bench.simulated_worker import Draw, Settings, listing
from wickdyke.gateway import recording
from wickdyke.routing import periods, ranking, router
from wickdyke.routing.fleet import Fleet
from wickdyke.routing.model import Function, Worker
from wickdyke.routing.placement import Placement
from wickdyke.routing.seeded_random import hash_fraction, hash_fractions, name_hash

WHOLE, CAPACITY, POINTS = router.SINGLE_CELL_LIMIT, router.CELL_CAPACITY, router.POINTS_PER_FUNCTION
SIZES = (200, 1000, 5000, 10000)
FLAT = 1.2  # how much more something may cost in the largest fleets than in the smallest


def made(row):
    """The books of a worker that is only listed."""
    return Worker.from_endpoint(row, 0.0, 8.0)


def fleet_of(rows):
    fleet = Fleet(WHOLE, CAPACITY, POINTS, made, lambda cell: None)
    fleet.update(rows, True)
    return fleet


def names(many, seed=3):
    chance = random.Random(seed)
    return [f"{chance.randrange(2**64):016x}" for _ in range(many)]


def function(name):
    return Function(name, None, 1.0, 1, 0.0, (), (), (), (), name_hash(name))


def first_of(fleet, name):
    return fleet.home(name).nearest.endpoint.ident


def shape(fleet):
    """The cells, and which workers are in each."""
    return {at: frozenset(cell.members) for at, cell in fleet.cells.items()}


class Index(unittest.TestCase):
    def test_draws_are_those_of_draw(self):
        for first in names(20):
            others = [name_hash(name) for name in names(20, seed=9)]
            self.assertEqual(
                hash_fractions(name_hash(first), others), [hash_fraction(name_hash(first), other) for other in others]
            )

    def test_a_fleet_that_fits_one_cell_is_ranked_by_lot(self):
        fleet = fleet_of([listing(number, size=1.0 + number % 4) for number in range(WHOLE)])
        (cell,) = fleet.cells.values()
        for name in names(20):
            self.assertEqual((fleet.home(name).cell, fleet.home(name).nearest), (cell, None))
            each = function(name)
            lots = {w: ranking.rendezvous_rank(each, w) for w in cell.ready}
            self.assertEqual(ranking.Candidates(cell.ready).ranked(each), sorted(cell.ready, key=lots.get))

    def test_cells_are_bounded_and_split_late(self):
        for many in SIZES:
            fleet = fleet_of([listing(number) for number in range(many)])
            sizes = [len(cell.members) for cell in fleet.cells.values()]
            self.assertEqual(sum(sizes), many)
            self.assertLessEqual(max(sizes), CAPACITY)
            for depth, prefix in fleet.cells:  # no two that would fit one
                sibling = fleet.cells.get((depth, prefix ^ 1))
                if depth and sibling:
                    both = len(sibling.members) + len(fleet.cells[depth, prefix].members)
                    self.assertGreater(both, CAPACITY)

    def test_front_ends_agree_whatever_order_the_changes_came_in(self):
        rows, chance = [listing(number, size=1.0 + number % 3) for number in range(900)], random.Random(5)
        want = fleet_of(rows)
        asked = names(300)
        for seed in range(3):
            chance.shuffle(rows)
            fleet = fleet_of([listing(number) for number in range(2000, 2000 + 400 * seed)])
            for at in range(0, len(rows), 7):  # in pieces, with others that come and go between
                fleet.update([replace(row, size=9.0) for row in rows[at : at + 7]], False)
                fleet.update([listing(5000 + at, state="ready")], False)
                fleet.update(rows[at : at + 7], False)
            fleet.update(rows, True)
            self.assertEqual(shape(fleet), shape(want))
            for name in asked:
                self.assertEqual(first_of(fleet, name), first_of(want, name))
                near = [[(c.depth, c.prefix) for c in f.near(function(name), 3)] for f in (fleet, want)]
                self.assertEqual(near[0], near[1])

    def test_a_home_looked_up_before_a_change_is_that_looked_up_after_it(self):
        """(rows that come) -> the home of a function known before is that of a fleet that had the rows at once."""
        rows = [listing(number) for number in range(400)]
        for more in (
            [listing(number, state="draining") for number in range(1000, 1003)],
            [replace(row, size=40.0) for row in rows[::9]],
            [replace(row, state="draining") for row in rows[::2]],
            [replace(row, state="gone") for row in rows[:300]],
        ):
            with self.subTest(state=more[0].state, size=more[0].size, many=len(more)):
                fleet, known = fleet_of(rows), [function(name) for name in names(1500)]
                for each in known:
                    fleet.enter(each)
                fleet.update(more, False)
                at_once = fleet_of([row for row in {row.ident: row for row in [*rows, *more]}.values()])
                for each in known:
                    cell, home = fleet.home_of(each), at_once.home(each.name)
                    self.assertEqual((cell.depth, cell.prefix), (home.cell.depth, home.cell.prefix))
                    first = [worker and worker.endpoint.ident for worker in (each.nearest, home.nearest)]
                    self.assertEqual(first[0], first[1])

    def test_shares_follow_size(self):
        """(workers, sizes) -> the busiest worker's functions of 160,000, over its even share: 1.3 at most; with 1,000
        workers numbers drawn evenly give 1.28 already, and the ring may add a tenth."""
        for many, sizes, most in ((200, (2.0, 4.0, 8.0), 1.3), (1000, (4.0,), 1.1 * 1.28)):
            with self.subTest(many=many, sizes=sizes):
                rows = [listing(number, size=sizes[number % len(sizes)]) for number in range(many)]
                fleet, total = fleet_of(rows), sum(row.size for row in rows)
                counts = Counter(first_of(fleet, name) for name in names(160000))
                self.assertLessEqual(max(counts[row.ident] / (160000 * row.size / total) for row in rows), most)
                for kind in sizes:
                    mine = sum(counts[row.ident] for row in rows if row.size == kind)
                    even = 160000 * sum(row.size for row in rows if row.size == kind) / total
                    self.assertAlmostEqual(mine / even, 1.0, delta=0.06)

    def test_cells_of_a_large_fleet_get_their_even_share(self):
        """With 5,000 workers chance alone gives the busiest of them 1.7 times its 32 functions; cells are even."""
        fleet = fleet_of([listing(number) for number in range(5000)])
        counts = Counter(fleet.home(name).cell for name in names(40000))
        for cell in fleet.cells.values():
            self.assertLessEqual(counts[cell] / (40000 * len(cell.members) / 5000), 1.3)

    def test_what_moves_when_workers_join_and_leave(self):
        rows, asked = [listing(number) for number in range(1000)], names(20000)
        fleet = fleet_of(rows)
        before = {name: first_of(fleet, name) for name in asked}
        fleet.update([listing(7001), listing(7002)], False)
        after = {name: first_of(fleet, name) for name in asked}
        moved = [name for name in asked if after[name] != before[name]]
        self.assertTrue(moved)
        self.assertLessEqual({after[name] for name in moved}, {listing(7001).ident, listing(7002).ident})
        self.assertLessEqual(len(moved), 1.5 * 20000 * 2 / 1002)
        fleet.update([listing(number, state="gone") for number in (7001, 7002)], False)
        self.assertEqual({name: first_of(fleet, name) for name in asked}, before)

    def test_what_moves_when_a_zone_goes_and_comes_back(self):
        rows, asked = [listing(number) for number in range(1100)], names(5000)
        fleet = fleet_of(rows)
        before = {name: first_of(fleet, name) for name in asked}
        lost = {row.ident for row in rows if row.zone == 3}
        fleet.update([replace(row, state="gone") for row in rows if row.zone == 3], False)
        for name in asked:
            if before[name] in lost:
                self.assertNotIn(first_of(fleet, name), lost)
            else:
                self.assertEqual(first_of(fleet, name), before[name])
        fleet.update([row for row in rows if row.zone == 3], False)
        self.assertEqual({name: first_of(fleet, name) for name in asked}, before)

    def test_a_cell_that_splits_moves_no_first_worker(self):
        fleet, asked, number = fleet_of([listing(number) for number in range(600)]), names(2000), 600
        while True:
            cells, before = set(fleet.cells), {name: first_of(fleet, name) for name in asked}
            fleet.update([listing(number)], False)
            if set(fleet.cells) != cells:
                break
            number += 1
        moved = {first_of(fleet, name) for name in asked if first_of(fleet, name) != before[name]}
        self.assertLessEqual(moved, {listing(number).ident})

    def test_there_is_always_a_next_cell_the_same_for_all(self):
        """What has happened to the home -> there is another, with ready workers, until none is left at all."""
        rows = [listing(number) for number in range(700)]
        for state in ("draining", "gone"):
            with self.subTest(state=state):
                fleet, other, left = fleet_of(rows), fleet_of(rows[::-1]), True
                name, lost = names(1)[0], set()
                while left:
                    home = fleet.home(name)
                    self.assertEqual(first_of(other, name), home.nearest.endpoint.ident)
                    self.assertTrue(home.cell.ready)
                    away = [replace(w.endpoint, state=state) for w in home.cell.ready]
                    lost.update(row.ident for row in away)
                    fleet.update(away, False)
                    other.update(away[::-1], False)
                    left = len(lost) < len(rows) and len(fleet.cells) > 1
                rest = fleet.home(name)
                self.assertEqual(rest is not None, any(row.ident not in lost for row in rows))

    def test_an_update_costs_what_it_changes(self):
        """Lines run for one row of the list, as the fleet grows."""
        lines = []
        for many in SIZES:
            fleet, counted = fleet_of([listing(number) for number in range(many)]), []
            for number in range(40):
                for state in ("ready", "draining", "gone"):
                    counted.append(count_lines(fleet.update, [listing(90000 + number, state=state)], False))
            lines.append(sum(sorted(counted)[: len(counted) * 9 // 10]))  # splits and merges are rare
        self.assertLessEqual(max(lines[1:]), FLAT * lines[0])


def count_lines(act, *args):
    """Lines of Python that are run, each turn of a comprehension counted."""
    count = 0

    def trace(frame, event, arg):
        nonlocal count
        count += event == "line"
        return trace

    sys.settrace(trace)
    try:
        act(*args)
    finally:
        sys.settrace(None)
    return count


def simulated_fleet(workers, front_ends=1, **more):
    fleet = SimulatedFleet(Settings(memory=1e9, **more), [], front_ends)
    fleet.announce([listing(number) for number in range(workers)])
    fleet.run(1.0)
    return fleet


class FrontEnds(unittest.TestCase):
    def test_a_function_costs_the_same_in_every_fleet(self):
        """Draws and lines for a function that is met."""
        counts = []
        for many in SIZES:
            fleet, drawn = simulated_fleet(many), []
            fleet.run(5000.0)
            front, inner = fleet.fronts[0], ranking.hash_fractions

            def counted(first, others, inner=inner, drawn=drawn):
                drawn.append(len(others))
                return inner(first, others)

            with patch.object(ranking, "hash_fractions", counted):
                lines = sum(count_lines(fleet.submit_request, front, name) for name in names(60))
            counts.append((sum(drawn) / 60, lines))
        self.assertLessEqual(max(drawn for drawn, _ in counts), CAPACITY)
        for drawn, lines in counts[2:]:  # the smallest fleet's cells happen to be smaller than the others'
            self.assertLessEqual(drawn, FLAT * counts[1][0])
            self.assertLessEqual(lines, FLAT * counts[1][1])

    def test_a_function_takes_the_same_memory_in_every_fleet(self):
        """Bytes for a function that is met once, its worker's books counted in."""
        held = []
        for many in SIZES:
            fleet = simulated_fleet(many)
            fleet.clients(127.0, Draw(160000, 0.0, 7), 9000.0)
            tracemalloc.start()
            try:
                fleet.run(9000.0)
                held.append(tracemalloc.get_traced_memory()[0] / len(fleet.fronts[0].router.functions))
            finally:
                tracemalloc.stop()
        self.assertLessEqual(max(held), 8 * 1024)

    def test_a_worker_that_is_only_listed_costs_little(self):
        tracemalloc.start()
        try:
            fleets = [simulated_fleet(many) for many in (1000, 3000)]
            before = tracemalloc.get_traced_memory()[0]
            fleets.append(simulated_fleet(5000))
            each = (tracemalloc.get_traced_memory()[0] - before) / 5000
        finally:
            tracemalloc.stop()
        self.assertLessEqual(each, 2048)

    def test_what_is_not_called_within_an_idle_life_is_forgotten(self):
        fleet = simulated_fleet(1000, idle_timeout=5000.0)
        fleet.clients(60.0, Draw(160000, 0.0, 7), 8000.0)
        fleet.run(8000.0)
        known = fleet.fronts[0].router.functions
        self.assertTrue(known)
        fleet.run(8000.0 + 5000.0 + 8 * periods.PERIOD)
        self.assertFalse(known)
        self.assertFalse(any(cell.functions for cell in fleet.fronts[0].router.fleet.cells.values()))

    def test_no_more_functions_are_known_than_the_bound(self):
        with patch.object(router, "MAX_FUNCTIONS", 200):
            fleet = simulated_fleet(300)
            front = fleet.fronts[0]
            for name in names(500):
                fleet.submit_request(front, name)
                fleet.run(fleet.now + 10.0)
                out = sum(place.in_flight > 0 for known in front.router.functions.values() for place in known.replicas)
                self.assertLessEqual(len(front.router.functions), 200 + out)
            fleet.run(fleet.now + 10000.0)
        self.assertEqual((fleet.violations, front.costs.answers["ok"]), ([], 500))

    def test_a_request_outlives_the_forgetting_of_its_function(self):
        """Requests wait, their functions are forgotten and met again, the list changes: all get their answers."""
        with patch.object(router, "MAX_FUNCTIONS", 40):
            fleet = simulated_fleet(300)
            front = fleet.fronts[0]
            front_end = front.router
            for worker in front_end.workers.values():
                worker.concurrency_limit = 0.0
            asked = [(name, fleet.submit_request(front, name)) for name in names(60)]
            waiting = [front_end.requests[ident].function for _, ident in asked]
            forgotten = [each for each in waiting if front_end.functions.get(each.name) is not each]
            self.assertTrue(forgotten)
            for each in forgotten[:10]:
                fleet.submit_request(front, each.name)
            fleet.announce([listing(number) for number in range(1000, 1100)])
            for worker in front_end.workers.values():
                worker.concurrency_limit = 8.0
            fleet.run(fleet.now + 6000.0)
            held = {name: cell for cell in front_end.fleet.cells.values() for name in cell.functions}
            self.assertEqual((fleet.violations, set(held)), ([], set(front_end.functions)))
            self.assertEqual((front.costs.answers.total(), front.costs.answers["ok"]), (70, 70))

    def test_a_look_fills_one_cell(self):
        fleet, runs = simulated_fleet(5000), Counter()
        inner = Placement.run

        def counted(fill, cells, now):
            runs[now] += 1
            return inner(fill, cells, now)

        with patch.object(Placement, "run", counted):
            fleet.clients(127.0, Draw(160000, 0.0, 7), 6000.0)
            fleet.run(6000.0)
        self.assertEqual(set(runs.values()), {1})

    def test_functions_follow_their_cells(self):
        """Whatever the list does, each known function is in the books of the cell that is its home."""
        fleet, chance = simulated_fleet(300), random.Random(2)
        front_end, number = fleet.fronts[0].router, 300
        fleet.clients(60.0, Draw(3000, 0.0, 7), 30000.0)
        for step in range(40):
            grows = step < 20
            rows = [listing(number + at) for at in range(30)] if grows else [
                replace(w.endpoint, state="gone") for w in chance.sample(list(fleet.workers.values()), 30)
            ]  # fmt: skip
            number += 30
            fleet.announce(rows)
            fleet.run(fleet.now + 600.0)
            held = {name: cell for cell in front_end.fleet.cells.values() for name in cell.functions}
            self.assertEqual(set(held), set(front_end.functions))
            for name, cell in held.items():
                self.assertIs(front_end.functions[name].cell, cell)
                if front_end.functions[name].fleet_version == front_end.fleet.version:
                    self.assertIs(front_end.fleet.home(name).cell, cell)
        fleet.run(40000.0)
        self.assertEqual(fleet.violations, [])

    def test_a_home_that_can_not_serve_sends_on_to_the_next_cell(self):
        """(what is wrong with all of the home's workers) -> the attempt goes to the second cell, for each front end."""
        for wrong in ("shunned", "cold", "at their limit", "without memory", "draining", "gone"):
            with self.subTest(wrong=wrong):
                fleet, name, chosen = simulated_fleet(600, front_ends=3), names(1)[0], set()
                for front in fleet.fronts:
                    front_end = front.router
                    home, second = list(front_end.fleet.near(function(name), 2))
                    away = []
                    for worker in home.ready:
                        if wrong == "shunned":
                            front_end.outliers.eject(worker, fleet.now, "test")
                        elif wrong == "cold":
                            worker.warming_since = fleet.now
                        elif wrong == "at their limit":
                            worker.concurrency_limit = 0.0
                        elif wrong == "without memory":
                            worker.memory_short_until = fleet.now + 60000.0
                        else:
                            away.append(replace(worker.endpoint, state=wrong))
                    fleet.notify_list(front, away)
                    members = set(second.members)
                    ident = fleet.submit_request(front, name)
                    (sent,) = front_end.requests[ident].attempts
                    chosen.add(sent.replica.worker.endpoint.ident)
                    self.assertIn(sent.replica.worker.endpoint.ident, members)
                self.assertEqual(len(chosen), 1)
                fleet.run(fleet.now + 8000.0)
                self.assertEqual(fleet.violations, [])


class Recorded(unittest.TestCase):
    def test_a_fleet_that_fits_one_cell_is_decided_as_before(self):
        """Recordings of the module without cells, by bench/recording.py at 171417b: every decision is the same."""
        folder = os.path.join(os.path.dirname(__file__), "recordings")
        for name in sorted(os.listdir(folder)):
            with self.subTest(name), gzip.open(os.path.join(folder, name)) as source:
                alike, differs = recording.replay(source)
                self.assertEqual((alike > 2000, differs), (True, None))


class Page(unittest.TestCase):
    def test_the_tables_of_the_page_are_those_of_the_files(self):
        """Every line of the measured tables stands on docs/CAPACITY.md as bench.scale prints it."""
        root = os.path.dirname(os.path.dirname(__file__))
        with open(os.path.join(root, "docs", "CAPACITY.md"), encoding="utf-8") as source:
            page = source.read().splitlines()
        for name in ("scale.json", "scale-before.json"):
            with self.subTest(name), open(os.path.join(root, "bench", name), encoding="utf-8") as source:
                lines = scale.tables(json.load(source))
                self.assertGreater(len(lines), 5)
                self.assertEqual([line for line in lines if line not in page], [])


class Slice(unittest.TestCase):
    """A slice of the fleet: 300 front ends, the workers of one zone of three, its functions; all rules judged."""

    def test_workers_and_a_zone_are_lost_and_come_back(self):
        settings = Settings(front_ends=300, zones=3, idle_timeout=6000.0, load_time=300.0, work=20.0)
        fleet = SimulatedFleet(settings, [listing(number, 3) for number in range(240)], 300)
        fleet.rate = 300 * 0.003 / 240  # requests a ms at each front end, over the workers
        fleet.clients(300 * 3.0, Draw(6000, 0.8, 11), 13000.0)
        late, chance = lambda front: 500.0 + front.number % 7 * 100.0, random.Random(4)
        fleet.run(4000.0)
        # One worker dies, and is listed no more between 0.5 and 1.1 s later.
        fleet.announce([replace(next(iter(fleet.workers.values())).endpoint, state="gone")], late)
        fleet.run(6000.0)
        # A whole zone dies; half of it is told first to drain.
        zone = [worker.endpoint for worker in fleet.workers.values() if worker.endpoint.zone == 2]
        drains = chance.sample(zone, len(zone) // 2)
        fleet.announce([replace(row, state="draining") for row in drains])
        fleet.run(6200.0)
        fleet.announce([replace(row, state="gone") for row in zone], late)
        fleet.run(9000.0)
        cold, fleet.waits = len(zone), []
        # It is back, cold, under the same names.
        fleet.announce([replace(row, started_at=fleet.now, state="ready") for row in zone], late)
        fleet.run(13000.0 + settings.deadline + 1.0)
        answers = sum((front.costs.answers for front in fleet.fronts), Counter())
        self.assertEqual(fleet.violations, [])
        self.assertGreater(answers["ok"] / answers.total(), 0.97)
        self.assertGreater(len(fleet.slow_start_load), cold // 4)
        self.assertLess(max(fleet.slow_start_load.values()), 1.0)
        waits = sorted(fleet.waits)
        self.assertLess(waits[len(waits) * 99 // 100], 1000.0)
        homes = [len(at) for at in fleet.places().values()]
        self.assertLess(sum(homes) / max(1, len(homes)), 1.5)
        agreed = {(len(front.router.fleet.cells), tuple(front.router.fleet.ring.points)) for front in fleet.fronts}
        self.assertEqual(len(agreed), 1)


if __name__ == "__main__":
    unittest.main()
