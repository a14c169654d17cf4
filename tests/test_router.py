"""The rules and the mechanism, as tables of cases against the module."""

import os
import subprocess
import sys
import unittest
from collections import deque
from dataclasses import replace
from math import ceil, sqrt
from unittest.mock import Mock

from tests.helpers import Fleet, called, choose_workers, row, verbs
from wickdyke.routing.cells import Cell
from wickdyke.routing.decisions import Cancel, Forward, Prewarm, Reject
from wickdyke.routing.inputs import AttemptFinished, RequestReceived
from wickdyke.routing.model import (
    Endpoint,
    Function,
    Worker,
    WorkSample,
)
from wickdyke.routing.ranking import rendezvous_rank
from wickdyke.routing.replicas import replica_of
from wickdyke.routing.seeded_random import hash_fraction, name_hash
from wickdyke.routing.settings import GatewayInstance, PrewarmQuota, SlowStart
from wickdyke.routing.slow_start import SlowStartGuard

NEVER = ("full", "unreached", "miss")
MAYBE = ("error", "timeout", "cut", "cancelled")


class Rules(unittest.TestCase):
    def test_what_follows_an_outcome(self):
        """(effect, scope, outcome) -> the verbs that may follow the first attempt."""
        cases = [("idempotent", "all", outcome, "forward") for outcome in NEVER + MAYBE]
        cases += [("side-effecting", "all", outcome, "forward") for outcome in NEVER]
        cases += [("side-effecting", "all", outcome, "fail") for outcome in MAYBE]
        cases += [("tokened", "all", outcome, "forward") for outcome in NEVER + MAYBE]
        cases += [("tokened", "zone", "error", "fail"), ("tokened", "cell", "cut", "fail")]
        for effect, scope, outcome, verb in cases:
            with self.subTest(effect=effect, scope=scope, outcome=outcome):
                rows = [row(name, zone=at, cell=at) for at, name in enumerate("abc")]
                fleet = Fleet(effect=effect, scope=scope, endpoints=rows)
                request = fleet.take()[0].request
                if scope != "all":  # the one worker of the group is not to be used
                    rows = [
                        row("abc"[at], zone=at, cell=at, state="draining")
                        for at in range(3)
                        if "abc"[at] == request.attempts[0].replica.worker.endpoint.ident
                    ]
                    fleet.list(rows, whole=False)
                got = fleet.end(request, outcome) or fleet.pass_time(2500)
                self.assertEqual([v for v in verbs(got) if v not in ("prewarm", "cancel")][:1], [verb])

    def test_tokened_window(self):
        """No repeat once the workers have forgotten the mark; a denial where all drop repeats."""
        for wait, verb in ((1900.0, "forward"), (2100.0, "reject")):
            with self.subTest(wait=wait):
                fleet = Fleet(effect="tokened")
                request = fleet.take()[0].request
                fleet.clock += wait
                self.assertIn(verb, verbs(fleet.end(request, "error")))

    def test_every_rpc_gets_one_answer(self):
        """(workers, what each attempt comes to) -> the last word, in time and only once."""
        for workers, outcome, effect, verb in (
            (0, None, "idempotent", "reject"),
            (0, None, "side-effecting", "reject"),
            (2, "full", "side-effecting", "reject"),
            (2, "full", "idempotent", "reject"),
            (2, "unreached", "idempotent", "reject"),
            (2, "timeout", "side-effecting", "fail"),
        ):
            with self.subTest(workers=workers, outcome=outcome, effect=effect):
                fleet = Fleet(workers=workers, effect=effect)
                got, start = fleet.take(), fleet.clock
                for _ in range(200):
                    request = fleet.router.requests.get(1)
                    if request and request.attempts and request.attempts[-1].outcome is None:
                        fleet.clock += 1
                        got += fleet.end(request, outcome)
                    got += fleet.pass_time(50)
                self.assertEqual([v for v in verbs(got) if v in ("reject", "fail")], [verb])
                self.assertLess(verbs(got).count("forward"), 5)
                self.assertGreater(fleet.clock, start + 4000)
                self.assertFalse(fleet.router.requests)

    def test_deadline_timeout_is_answered_at_once(self):
        for effect, verb in (("idempotent", "reject"), ("side-effecting", "fail")):
            with self.subTest(effect=effect):
                fleet = Fleet(effect=effect)
                request = fleet.take()[0].request
                fleet.clock += 4000
                self.assertIn(verb, verbs(fleet.end(request, "timeout")))

    def test_drains(self):
        """From the moment of being told nothing new goes there, neither request nor hold."""
        for state, whole in (("draining", False), ("gone", False), ("missing", True)):
            with self.subTest(state=state):
                fleet = Fleet(workers=3)
                first = called(fleet.serve())[-1]
                rows = [row(first, state=state)] if not whole else [row(n) for n in "abc" if n != first]
                fleet.list(rows, whole=whole)
                got = fleet.serve(calls=30) + fleet.pass_time(3000)
                self.assertNotIn(first, called(got))
                self.assertNotIn(first, [d.worker.endpoint.ident for d in got if isinstance(d, Prewarm)])

    def test_cold_worker_gets_little(self):
        """(age of the new worker in ms, most it may get of 40 requests at once)."""
        for age, most in ((0.0, 2), (17000.0, 40)):
            with self.subTest(age=age):
                fleet = Fleet(workers=1)
                fleet.serve(calls=30)
                fleet.list([row("z", started_at=fleet.clock - age)], whole=False)
                fleet.list([row("a", state="draining")], whole=False)
                got = called([d for n in range(40) for d in fleet.take(f"q{n}")])
                self.assertLessEqual(len(got), most)
                self.assertTrue(got)

    def test_cold_worker_stands_what_all_front_ends_send(self):
        """(front ends that carry 60 requests a second together) -> what all send to the one worker left, cold."""
        for many in (20, 80):
            with self.subTest(many=many):
                ages, gap = [], 1000.0 * many / 60
                for seed in range(many):
                    fleet = Fleet(front_ends=many, seed=seed, index=seed)
                    fleet.pass_time(seed * gap / many, step=1.0 + seed * gap / many)
                    for _ in range(12):
                        fleet.serve(calls=1)
                        for name in "abcd":
                            fleet.router.health_checked(name, "ok", fleet.reported(0.4, 2.0))
                        fleet.pass_time(gap - 100, step=gap - 100)
                    born = fleet.clock
                    fleet.list([row("z", started_at=born)])
                    for _ in range(ceil(8000 / gap)):
                        ages += [fleet.clock - born for _ in called(fleet.serve(calls=1))]
                        ages += [fleet.clock - born for _ in called(fleet.pass_time(gap - 100, step=gap - 100))]
                for start in range(0, 6000, 250):
                    stands = 2.0 * (0.2 + 0.8 * start / 18000) * 4 * 2000 / 100
                    self.assertLess(sum(start <= age < start + 2000 for age in ages), stands)
                self.assertGreater(len(ages), 10)

    def test_cold_ramp_holds_for_the_fleet(self):
        """(settings, ms of work, cores) -> what all front ends send that always have a request for one cold worker, in
        any span of the window, never over N + 2 x root of N + 2, N being what the settings allow as it begins."""
        least, site, most = (
            SlowStart(0.17, 12000.0, 2.0, 1000.0),
            SlowStart(0.2, 18000.0, 2.0, 2000.0),
            SlowStart(0.45, 5000.0, 4.0, 2000.0),
        )
        for warm, work, size in (
            (least, 330.0, 3.0),
            (least, 1500.0, 2.0),
            (site, 60.0, 6.0),
            (site, 330.0, 3.0),
            (most, 60.0, 6.0),
            (most, 1500.0, 2.0),
        ):
            for many in (20, 30, 200):
                with self.subTest(warm=warm, work=work, size=size, many=many):
                    sent = self.sent_cold(warm, work, size, many)
                    self.assertTrue(sent)
                    for start in range(0, int(warm.ramp - warm.window), 100):
                        allowed = (
                            warm.multiple
                            * (warm.start_share + (1 - warm.start_share) * start / warm.ramp)
                            * size
                            * warm.window
                            / work
                        )
                        self.assertLessEqual(
                            sum(start <= at < start + warm.window for at in sent),
                            allowed + 2 * sqrt(allowed) + 2,
                            start,
                        )

    def sent_cold(self, warm, work, size, many):
        """When all front ends sent to one cold worker; they carried half of what twelve like it can do, unevenly."""

        def worker(name, born):
            few = (deque(maxlen=8) for _ in range(4))
            return Worker(Endpoint(name, 0, 0, 0, "ready", size, born), *few, 1e4, 8.0, born, name_hash(name))

        request = Mock()
        request.request_class.durations, request.request_class.latency_objective = [work], 4 * work
        front_ends, sent = [], []
        for seat in range(many):
            guards = SlowStartGuard(warm, GatewayInstance(seat, many, 0, (), False))
            old = worker("old", None)
            part = 2 * hash_fraction(name_hash("part"), seat)  # of the mean
            guards.served.append(WorkSample(5000.0, 12 * size * 0.5 * 5000 / many * part))
            guards.survey([Cell(0, 0, ready=[old], size=size, utilization=(0.5, 1))], 5000.0)
            guards.rate /= 12
            front_ends.append((guards, worker("z", 5000.0)))
        for now in range(5000, int(5000 + warm.ramp), 50):
            for guards, cold in front_ends:
                while guards.admits(cold, request, float(now)):
                    cold.slow_start_sends.append(WorkSample(float(now), work))
                    sent.append(now - 5000)
        return sent

    def test_ration(self):
        """(free, share, window): orders of any window never exceed free + share x requests taken in it."""
        for free, share, window in ((2.0, 0.1, 5000.0), (0.0, 0.05, 3000.0), (6.0, 0.0, 1000.0)):
            with self.subTest(free=free, share=share):
                fleet = Fleet(prewarm_quota=PrewarmQuota(free, share, window))
                holds, taken = [], []
                for at in range(400):
                    taken.append(fleet.clock)
                    got = fleet.take(f"p{at % 40}")  # replicas are never found, so holds are always wanted
                    for request in [d.request for d in got if isinstance(d, Forward)]:
                        fleet.clock += 5 * (at < 40)
                        got += fleet.end(request, "miss" if at >= 40 else "ok")  # each was answered once
                    got += fleet.pass_time(25, step=25)
                    for _ in [d for d in got if isinstance(d, Prewarm)]:
                        holds.append(fleet.clock)
                        recent = [t for t in holds if fleet.clock - t < window]
                        took = [t for t in taken if fleet.clock - t < window]
                        self.assertLessEqual(len(recent), free + share * len(took) + 1e-9)
                self.assertTrue(holds)


class Mechanism(unittest.TestCase):
    def test_sticks_to_the_loaded_copy(self):
        fleet = Fleet(workers=6)
        self.assertEqual(len(set(called(fleet.serve(calls=260))[-60:])), 1)

    def test_packs_at_low_load(self):
        """(calls a second of each of six functions) -> workers used at most."""
        for gap, most in ((200.0, 3), (60.0, 4)):
            with self.subTest(gap=gap):
                fleet = Fleet(workers=8)
                used = []
                for name in "abcdefgh" * 8:
                    fleet.router.health_checked(name, "ok", fleet.reported(0.1, 0.3))
                for at in range(300):
                    used += called(fleet.serve(f"p{at % 6}", calls=1, ms=gap))
                self.assertLessEqual(len(set(used[-60:])), most)

    def test_spills_on_full_and_not_to_the_same(self):
        fleet = Fleet(workers=3)
        request = fleet.take()[0].request
        got = fleet.end(request, "full") + fleet.end(request, "full")
        self.assertEqual(len({attempt.replica.worker for attempt in request.attempts}), 3)
        self.assertEqual(verbs(got)[:2], ["forward", "forward"])

    def test_budget_grows_and_shrinks(self):
        for outcome, compare in (("ok", self.assertGreater), ("full", self.assertLess), ("error", self.assertLess)):
            with self.subTest(outcome=outcome):
                fleet = Fleet(workers=1)
                fleet.take()
                worker = fleet.router.workers["a"]
                before = worker.memory_budget
                fleet.router.prewarm_finished("a", "p", outcome, 1, 800.0)
                compare(worker.memory_budget, before)

    def test_silent_worker_loses_its_good_latency(self):
        fleet = Fleet(workers=4)
        fleet.concurrency = 8
        first = called(fleet.serve(calls=150))[-1]
        for _ in range(6):
            fleet.take()
        got = fleet.pass_time(2000)
        self.assertIn("cancel", verbs(got))
        self.assertNotIn(first, called(fleet.take()))

    def test_sample_with_a_load_is_not_a_slow_worker(self):
        fleet = Fleet(workers=3)
        fleet.serve(calls=20)
        request = fleet.take("new")[0].request
        worker = request.attempts[0].replica.worker
        before = fleet.router.latency.pace(worker)
        fleet.clock += 1500
        fleet.end(request, load_note="began")
        self.assertAlmostEqual(fleet.router.latency.pace(worker), before, places=2)

    def test_looks_of_one_rpc_do_not_grow_with_the_fleet(self):
        """What a request for a new function, one for a known one and a tick look at, on 20 and on 90 workers."""
        counts = []
        for workers in (20, 90):
            fleet = Fleet(endpoints=[row(f"w{n}") for n in range(workers)], front_ends=50)
            fleet.serve(calls=60)
            fleet.router.schedule.next_at, looks = float("inf"), []
            for part, name in ((fleet.router.slow_start, "admits"), (fleet.router.outliers, "is_silent")):
                setattr(part, name, Mock(wraps=getattr(part, name)))
                looks.append(getattr(part, name))
            fleet.take("new")
            fleet.take()
            fleet.pass_time(100)
            counts.append(sum(look.call_count for look in looks))
        self.assertLess(counts[1], counts[0] + 10)

    def test_probes_go_by_own_traffic(self):
        """(requests in ten seconds) -> probes at most, with 40 workers."""
        for rpcs, most in ((0, 8), (20, 18), (100, 58)):
            with self.subTest(rpcs=rpcs):
                fleet = Fleet(endpoints=[row(f"w{n}") for n in range(40)], front_ends=50, health_checks=True)
                got = [d for _ in range(rpcs) for d in fleet.serve(calls=1)]
                got += fleet.pass_time(10000 - fleet.clock + 1000)
                self.assertTrue(0 < verbs(got).count("health_check") <= most, verbs(got).count("health_check"))

    def test_a_program_not_called_for_a_while(self):
        """Fills go on between the last call and the end of its idle life."""
        fleet = Fleet()
        fleet.take()
        fleet.router.health_checked("a", "ok", fleet.reported(0.5, 2.0))
        fleet.pass_time(9900, step=300)
        self.assertTrue(fleet.router.functions)

    def test_forgets_what_was_asked_for_once(self):
        fleet = Fleet()
        for at in range(50):
            fleet.serve(f"once{at}", calls=1, ms=10.0)
        fleet.pass_time(40000, step=500)
        self.assertFalse(fleet.router.functions)
        self.assertFalse(any(w.replicas for w in fleet.router.workers.values()))

    def test_lot_is_the_same_for_all(self):
        one, two = Fleet(seed=1).router, Fleet(seed=2).router
        for fe in (one, two):
            fe.request_received(RequestReceived(1, 4000.0, fe.request_classes[0], "p", 1.0, 1, None, None, False))
        self.assertEqual(
            [rendezvous_rank(one.functions["p"], w) for w in one.workers.values()],
            [rendezvous_rank(two.functions["p"], w) for w in two.workers.values()],
        )


REPLAY = """
from tests.helpers import Fleet
fleet = Fleet(workers=5, health_checks=True)
out = []
for at in range(200):
    out += fleet.serve(f"p{at * 7 % 13}", calls=1, ms=30.0)
print([(type(d).__name__, getattr(getattr(d, 'request', None), 'ident', None)) for d in out])
"""


class Sameness(unittest.TestCase):
    def test_same_events_same_actions_under_other_hash_seeds(self):
        runs = [
            subprocess.run(
                [sys.executable, "-c", REPLAY],
                env={**os.environ, "PYTHONHASHSEED": seed},
                capture_output=True,
                text=True,
                check=True,
            ).stdout
            for seed in "012"
        ]
        self.assertGreater(len(runs[0]), 1000)
        self.assertEqual(len(set(runs)), 1)


class Load(unittest.TestCase):
    def test_late_answers_lower_the_limit_once_a_queue(self):
        """(how the answers of one queue came) -> what becomes of the limit; a load says nothing of it."""
        at_least = self.assertGreaterEqual
        for ms, standing, compare in (
            (700.0, "stood", self.assertLess),
            (100.0, "stood", at_least),
            (700.0, "awaited", at_least),
        ):
            with self.subTest(ms=ms, standing=standing):
                fleet = Fleet(workers=1)
                fleet.concurrency = 8
                fleet.serve(calls=2)
                worker = fleet.router.workers["a"]
                before = worker.concurrency_limit
                rpcs = [d.request for _ in range(7) for d in fleet.take() if isinstance(d, Forward)]
                fleet.clock += ms
                for request in rpcs:
                    fleet.end(request, load_note=standing)
                compare(worker.concurrency_limit, before)
                self.assertGreater(worker.concurrency_limit, before * 0.2)

    def test_waits_for_a_full_home_and_leaves_one_that_drains(self):
        """(state of the home, how busy others are, loads on demand) -> whether a call goes elsewhere while the home is
        at its limit."""
        for state, busy, on_call, elsewhere in (
            ("ready", 0.6, True, False),
            ("ready", 0.2, True, True),
            ("ready", 0.2, False, False),
            ("draining", 0.6, True, True),
        ):
            with self.subTest(state=state, busy=busy, on_call=on_call):
                fleet = Fleet(workers=3, loads_on_demand=on_call)
                home = called(fleet.serve(calls=200))[-1]
                for place in fleet.router.functions["p"].replicas if state == "ready" else ():
                    place.worker.concurrency_limit *= place.loaded == 0
                for worker in fleet.ready:
                    worker.utilization = busy
                fleet.list([row(home, state=state)], whole=False)
                self.assertEqual(bool(called(fleet.take())), elsewhere)

    def test_nothing_is_kept_of_workers_that_have_gone(self):
        fleet = Fleet(workers=1)
        for name in "bcdefgh" * 3:
            fleet.list([row(name)])
            fleet.serve(calls=3)
            fleet.pass_time(600)
        ring, met, known = fleet.router.functions["p"].ranking, fleet.router.outliers.last_outcomes, fleet.router.fleet
        kept = (ring, met, known.workers, known.ring.owners, known.positions, known.ring.size_counts)
        self.assertEqual([len(each) for each in kept], [1] * 6)

    def test_homes_leave_a_closed_worker(self):
        fleet = Fleet(workers=6)
        for name in "abcdef" * 8:
            fleet.router.health_checked(name, "ok", fleet.reported(0.2, 0.6))
        for at in range(400):
            fleet.serve(f"p{at % 5}", calls=1, ms=60.0)
        opened = set(fleet.placement.active)
        self.assertLess(len(opened), 6)
        placed = {p.worker for function in fleet.router.functions.values() for p in function.replicas if p.placed}
        self.assertLessEqual(placed, opened)

    def test_load_times_are_learnt(self):
        """(hint, loads seen, whether a attempt is told to have begun them) -> how long a load is held to take; after
        four the hint counts no more."""
        for hint, seen, want, *told in (
            (5000.0, [], 5000.0),
            (5000.0, [100.0] * 3, 5000.0),
            (5000.0, [100.0] * 4, 100.0),
            (200.0, [900.0], 900.0),
            (200.0, [900.0] * 9, 900.0),
            (0.0, [100.0], 100.0),
            (5000.0, [10.0] * 9, 5000.0),  # so short that a copy may have stood, unknown
            (5000.0, [10.0] * 4, 10.0, True),
            (5000.0, [-3.0] * 4, 1.0, True),
        ):
            with self.subTest(hint=hint, seen=seen):
                fleet = Fleet()
                fleet.take()
                function = fleet.router.functions["p"]
                function.load_hint = hint
                for took in seen:
                    fleet.router.latency.record_load(function, took, *told)
                self.assertEqual(fleet.router.latency.load_time(function), want)

    def test_a_miss_site_is_asked_by_a_call_then_given_a_hold(self):
        """What follows the attempt that asks: ok spends no order; a miss brings one hold, then the call."""
        for outcome, holds, calls in (("ok", 0, 0), ("miss", 1, 1)):
            with self.subTest(outcome=outcome):
                fleet = Fleet(workers=1, loads_on_demand=False, prewarm_outcome=None)
                got = fleet.take()
                self.assertEqual(verbs(got), ["forward"])
                got = fleet.end(got[0].request, outcome) + fleet.pass_time(100)
                self.assertEqual((verbs(got).count("prewarm"), verbs(got).count("forward")), (holds, calls))

    def test_further_copies_are_left_to_workers_where_call_outs_ask(self):
        for loads_on_call in (True, False):
            fleet = Fleet(workers=3, loads_on_demand=loads_on_call, front_ends=1, prewarm_outcome=None)
            got = [d for _ in range(30) for d in fleet.take() + fleet.pass_time(20, 10)]
            for request in [d.request for d in got if isinstance(d, Forward)]:
                got += fleet.end(request)
            got += fleet.pass_time(1500)
            self.assertEqual(any(d.replicas > 1 for d in got if isinstance(d, Prewarm)), loads_on_call)

    def test_what_was_called_once_is_not_held_ahead(self):  # too late for its own request, too, to order one
        fleet = Fleet(workers=6, loads_on_demand=False, prewarm_outcome=None, front_ends=50, reports_concurrency=False)
        got, held = fleet.take() + fleet.pass_time(600), 0
        for request in [got[0].request] * 3:
            held += verbs(fleet.end(request, "miss")).count("prewarm")
            fleet.router.schedule.next_at = fleet.router.wake_at = fleet.clock
            held += verbs(fleet.pass_time(50)).count("prewarm")
        self.assertEqual(held, 0)

    def test_after_misses_the_hold_goes_to_the_first_home_by_lot(self):
        for seed in range(4):  # of each front end's own
            fleet = Fleet(workers=6, loads_on_demand=False, prewarm_outcome=None, attempts=4, seed=seed)
            got = fleet.take()
            for place in [replica_of(got[0].request.function, worker) for worker in fleet.ready[:3]]:
                place.placed = True
            first = min(fleet.ready[:3], key=lambda w: rendezvous_rank(got[0].request.function, w))
            while not (held := [d for d in got if isinstance(d, Prewarm)]):
                got = fleet.end(got[-1].request, "miss") + fleet.pass_time(50)
            self.assertEqual(held[0].worker, first)

    def test_one_call_out_is_kept_for_after_the_hold(self):
        fleet = Fleet(workers=3, loads_on_demand=False, prewarm_outcome=None, attempts=1)
        self.assertEqual(verbs(fleet.take()), ["prewarm"])


class Shapes(unittest.TestCase):
    """What stands in where a deployment lacks a signal, and what follows where it is built in another way."""

    def test_reports_are_completed(self):
        """(fields, values, cores of a worker) -> busy and held as they count; absent is not 0."""
        for fields, values, busy, held in (
            (("utilization", "in_flight"), (0.5, 3.0), 0.5, 3.0),
            (("in_flight",), (2.0,), 0.5, 2.0),
            (("in_flight",), (9.0,), 1.0, 9.0),
            (("utilization",), (0.5,), 0.5, 2.0),
            (("utilization", "queued"), (0.5, 7.0), 0.5, 9.0),
        ):
            with self.subTest(fields=fields, values=values):
                fleet = Fleet(workers=2, report_fields=fields)
                worker, latency = fleet.router.workers["a"], fleet.router.latency
                latency.cores_per_size = 4.0 / worker.endpoint.size
                latency.record_report(worker, fleet.reported(*values), fleet.clock)
                report = worker.load_reports[-1]
                self.assertEqual((worker.utilization, report.utilization, report.in_flight), (busy, busy, held))

    def test_cores_by_what_tenants_are_promised(self):
        """(requests a second promised) -> concurrency of each of 4 workers, at 200 ms each; a default where none is."""
        for quotas, want in (((), 4.0), ((16.0, 16.0), 2.0), ((64.0,), 4.0), ((320.0,), 20.0)):
            with self.subTest(quotas=quotas):
                fleet = Fleet(workers=4, report_fields=("in_flight",), quotas=quotas)
                fleet.router.latency.survey(fleet.cell, [fleet.cell], 200.0, fleet.clock)
                self.assertAlmostEqual(fleet.router.latency.cores(fleet.router.workers["a"]), want)

    def test_a_program_spreads_where_no_company_is_told(self):
        """(company told) -> homes of a function that needs 0.6 of a worker's part."""
        for tells, homes in ((True, 1), (False, 3)):
            with self.subTest(tells=tells):
                fleet = Fleet(workers=6, loads_on_demand=False, reports_concurrency=tells)
                fleet.take()
                function, workers, placement = fleet.router.functions["p"], fleet.ready, fleet.placement
                placement.mean_capacity, placement.active, one = (
                    1.0,
                    dict.fromkeys(workers),
                    dict.fromkeys(workers, 1.0),
                )
                got = choose_workers(placement, function, 0.6, one, one, dict.fromkeys(workers, 9e9))
                self.assertEqual(len(got), homes)

    def test_front_ends_ask_at_several_homes_before_their_first_fill(self):
        """(loads on demand) -> whether 20 front ends choose different workers for a function that is new to them."""
        for on_call, several in ((True, False), (False, True)):
            with self.subTest(on_call=on_call):
                went = {called(Fleet(workers=8, loads_on_demand=on_call, seed=seed).take())[0] for seed in range(20)}
                self.assertEqual(len(went) > 1, several)

    def test_only_homes_are_probed_in_turn(self):
        fleet = Fleet(workers=8)
        self.assertEqual(len(fleet.router.health_checker.rota), 8)
        fleet.serve(calls=20)
        homes = {place.worker for place in fleet.router.functions["p"].replicas if place.placed}
        self.assertEqual(set(fleet.router.health_checker.rota), homes)

    def test_demand_counts_since_the_start(self):
        """(ms since the start) -> lanes that ten calls of 200 ms keep busy, over the time that there was."""
        for age, lanes in ((0.0, 2.0), (1000.0, 1.0), (60000.0, 0.2)):
            with self.subTest(age=age):
                fleet = Fleet(workers=1)
                for _ in range(10):
                    fleet.take()
                fleet.placement.demand_estimator.since = fleet.clock - age
                self.assertAlmostEqual(
                    fleet.placement.demand_estimator.own_lanes(fleet.router.functions["p"], fleet.clock), lanes
                )

    def test_a_zone_is_a_fleet_of_its_own_where_crossing_costs(self):
        """(cost of crossing, loads on demand, workers of the zone ejected) -> zones in which functions are placed."""
        rows = [row(name, zone=at % 2) for at, name in enumerate("abcdefgh")]
        for crossing, on_call, ill, zones in (
            (0.0, False, 0, {0, 1}),
            (0.05, True, 0, {0, 1}),
            (0.05, False, 0, {0}),
            (0.05, False, 3, {0, 1}),
        ):
            with self.subTest(crossing=crossing, on_call=on_call, ill=ill):
                fleet = Fleet(endpoints=rows, cross_zone_cost=crossing, loads_on_demand=on_call)
                for worker in [w for w in fleet.ready if w.endpoint.zone == 0][:ill]:
                    worker.ejections = 1
                self.assertEqual({w.endpoint.zone for w in fleet.placement.scope.update(fleet.clock)}, zones)

    def test_other_zones_count_in_part_while_ours_is_crowded(self):
        """(busy in our zone, in the other; periods) -> how much the other's workers count, and that some are homes."""
        rows = [row(name, zone=at % 2) for at, name in enumerate("abcdefgh")]
        for mine, far, periods, reach in (
            (0.9, 0.3, 1, 0.125),
            (0.9, 0.3, 9, 1.0),
            (0.9, 0.8, 3, 0.0),
            (0.5, 0.1, 3, 0.0),
            (0.9, None, 1, 0.125),
        ):
            with self.subTest(mine=mine, far=far, periods=periods):
                fleet = Fleet(endpoints=rows, cross_zone_cost=0.05, loads_on_demand=False)
                placement, ready = fleet.placement, fleet.ready
                for worker in ready:
                    if (busy := far if worker.endpoint.zone else mine) is not None:
                        fleet.router.latency.record_report(worker, fleet.reported(busy, 4.0), fleet.clock)
                for _ in range(periods):
                    placement.scope.update(fleet.clock)
                self.assertEqual((placement.scope.reach, placement.scope.workers == ready), (reach, reach > 0))
                heads = {
                    placement.ranking(Function(f"p{n}", None, 1.0, 1, 0.0, *[deque()] * 4, name_hash(f"p{n}")))[
                        0
                    ].endpoint.zone
                    for n in range(100)
                }
                self.assertEqual(heads, {0, 1} if reach else {0})
                for worker in (worker for worker in ready if worker.load_reports):
                    worker.load_reports.clear()
                for _ in range(4):  # nothing told any more: our zone alone again
                    placement.scope.update(fleet.clock)
                self.assertEqual({w.endpoint.zone for w in placement.scope.workers}, {0})

    def test_the_fleet_is_as_busy_as_fresh_reports_say(self):
        """(ms since reports of 1.0, of 0.5) -> the busy share that counts for the limit on all attempts."""
        for old, young, busy in ((5000.0, 100.0, 0.5), (2000.0, 100.0, 0.75), (5000.0, 5000.0, 0.0)):
            with self.subTest(old=old, young=young):
                fleet = Fleet(workers=2)
                for age, share in ((old, 1.0), (young, 0.5)):
                    for worker in fleet.ready:
                        fleet.router.latency.record_report(worker, fleet.reported(share, 4.0), fleet.clock - age)
                fleet.router.schedule.next_at = fleet.router.wake_at = fleet.clock
                fleet.pull()
                self.assertEqual(fleet.router.global_concurrency.load_reports[-1].utilization, busy)

    def test_hints_of_work_count_whatever_becomes_of_the_rpc(self):
        fleet = Fleet()
        for ident, work in enumerate((100.0, 300.0), 1):
            fleet.router.request_received(
                RequestReceived(ident, 4000.0, fleet.request_class, "p", 4000.0, 2, None, work, False)
            )
        self.assertEqual(fleet.router.latency.usual_work(fleet.router.functions["p"]), 200.0)

    def test_what_nobody_has_tells_nothing_of_workers_and_earns_no_orders(self):
        """(whether the function was answered before) -> worker ejected after errors, requests that count for orders."""
        for proven in (True, False):
            with self.subTest(proven=proven):
                fleet = Fleet(workers=1, prewarm_quota=PrewarmQuota(1.0, 1.0, 5000.0))
                fleet.serve(calls=1 if proven else 0)
                before = len(fleet.router.prewarm_limiter.requests)
                for _ in range(4):
                    for request in [d.request for d in fleet.take() if isinstance(d, Forward)]:
                        fleet.end(request, "error", final=True)
                fleet.pass_time(600)
                worker = fleet.router.workers["a"]
                self.assertEqual(
                    (bool(worker.ejections), len(fleet.router.prewarm_limiter.requests) - before > 0), (proven, proven)
                )
                self.assertEqual(any(place.placed for place in fleet.router.functions["p"].replicas), proven)

    def test_requests_for_functions_nobody_has_earn_no_load_orders(self):
        """Where attempts ask for replicas: (functions asked for, whether one exists) -> most orders of a window."""
        ration = PrewarmQuota(3.0, 0.2, 5000.0)
        for unknown, known in ((60, False), (60, True), (0, True)):
            with self.subTest(unknown=unknown, known=known):
                fleet = Fleet(workers=4, loads_on_demand=False, prewarm_quota=ration, prewarm_outcome=None)
                done, legitimate = [], 0
                for number in range(60):
                    asked = ([f"nobody-has-{number}"] if unknown else []) + (["p"] if known else [])
                    for name in asked:
                        got = fleet.take(name)
                        legitimate += name == "p"
                        for decision in got:
                            if isinstance(decision, Forward):
                                got += fleet.end(decision.request, "ok" if name == "p" else "miss", final=name == "p")
                            elif isinstance(decision, Prewarm):
                                found = "ok" if decision.function.name == "p" else "error"
                                fleet.router.prewarm_finished(
                                    decision.worker.endpoint.ident, decision.function.name, found, 1, 1.0
                                )
                        done += got
                    done += fleet.pass_time(20, step=20.0)
                orders = verbs(done).count("prewarm")
                self.assertLessEqual(orders, ration.free + ration.share * legitimate)
                self.assertEqual(len(fleet.router.prewarm_limiter.requests), legitimate)

    def test_what_was_taken_before_the_first_answer_earns_orders_with_it(self):
        """(what proves that the function exists, ms after the first request) -> requests counted in the window."""
        for proof, wait, counted in (("answer", 100, 3), ("order", 100, 3), ("answer", 5100, 1), ("miss", 100, 0)):
            with self.subTest(proof=proof, wait=wait):
                fleet = Fleet(
                    workers=1, loads_on_demand=False, prewarm_quota=PrewarmQuota(3.0, 0.2, 5000.0), prewarm_outcome=None
                )
                fleet.serve("other", calls=1)
                fleet.router.prewarm_limiter.requests.clear()
                first = fleet.take()[0].request
                fleet.take()
                fleet.pass_time(wait)
                fleet.take()
                if proof == "order":
                    fleet.router.prewarm_finished("a", "p", "ok", 1, 1.0)
                else:
                    fleet.end(first, "ok" if proof == "answer" else "miss", number=0)
                self.assertEqual(len(fleet.router.prewarm_limiter.requests), counted)
                self.assertEqual(
                    list(fleet.router.prewarm_limiter.requests), sorted(fleet.router.prewarm_limiter.requests)
                )

    def test_answers_within_one_reading_of_the_clock(self):
        """Attempts that took no time at all by the clock leave every later placement and choice possible."""
        for tells in (True, False):
            for work in (None, 50.0):
                with self.subTest(tells=tells, work=work):
                    fleet = Fleet(workers=2, reports_concurrency=tells)
                    for number in range(200):
                        fleet.router.advance(fleet.clock)
                        fleet.router.request_received(
                            RequestReceived(
                                1000 + number, 4000.0, fleet.request_class, "p", 4000.0, 2, None, work, False
                            )
                        )
                        for request in [d.request for d in fleet.pull() if isinstance(d, Forward)]:
                            fleet.router.attempt_finished(
                                AttemptFinished(request.ident, 0, "ok", True, "stood", 3, fleet.reported(0.5, 2.0))
                            )
                        fleet.pull()
                        if number % 20 == 0:
                            fleet.pass_time(1000, step=500.0)
                    self.assertGreater(fleet.router.latency.average_pace, 0.0)
                    self.assertTrue(fleet.router.latency.usual_work(fleet.router.functions["p"]) > 0.0)
                    self.assertIn("forward", verbs(fleet.take()))

    def test_what_would_be_late_at_a_full_home_is_denied_at_once(self):
        """(busy, held there, age of the report in ms, loads on demand) -> the verb."""
        for busy, held, age, on_call, verb in (
            (0.95, 60.0, 0, False, "reject"),
            (0.5, 60.0, 0, False, "forward"),
            (0.95, 1.0, 0, False, "forward"),
            (0.95, 60.0, 5000, False, "forward"),
            (0.95, 60.0, 0, True, "forward"),
        ):
            with self.subTest(busy=busy, held=held, age=age, on_call=on_call):
                fleet = Fleet(workers=1, loads_on_demand=on_call)
                fleet.serve(calls=20)
                fleet.router.latency.record_report(
                    fleet.router.workers["a"], fleet.reported(busy, held), fleet.clock - age
                )
                self.assertIn(verb, verbs(fleet.take()))

    def test_many_unreached_and_none_cut_are_no_restarts(self):
        """(outcomes at as many workers, one each) -> whether the replicas there count as lost."""
        for outcomes, lost in (
            (["ok"] * 6 + ["unreached"] * 4, False),
            (["ok"] * 9 + ["unreached"], True),
            (["ok"] * 5 + ["cut"] + ["unreached"] * 4, True),
        ):
            with self.subTest(outcomes=outcomes):
                fleet = Fleet(workers=10)
                fleet.router.advance(fleet.clock)
                fleet.take()
                for worker, outcome in zip(fleet.ready, outcomes, strict=True):
                    fleet.router.outliers.record(worker, outcome, fleet.clock)
                last = fleet.ready[-1]
                self.assertEqual((last.warming_since is not None, last in fleet.router.outliers.ejected), (lost, lost))


class Symptoms(unittest.TestCase):
    """Each failure found in a round, as what a front end sees of it."""

    def test_takes_rpcs_back_from_a_shunned_worker_that_says_nothing(self):
        """(effect, whether it is ejected, whether others were answered since, workers) -> whether the request is taken
        back: not from a slow worker, where it may run on, nor from the only one, to which it would not go again."""
        for effect, ejected, heard, workers, back in (
            ("idempotent", True, False, 2, True),
            ("idempotent", False, False, 2, False),
            ("idempotent", False, True, 2, False),
            ("idempotent", True, True, 2, False),
            ("idempotent", True, False, 1, False),
            ("side-effecting", True, False, 2, False),
        ):
            with self.subTest(effect=effect, ejected=ejected, heard=heard, workers=workers):
                fleet = Fleet(workers=workers, effect=effect)
                fleet.serve(calls=20)
                request = fleet.take()[0].request
                got = fleet.pass_time(100)
                if heard:
                    fleet.end(next(d.request for d in fleet.take() if isinstance(d, Forward)))
                if ejected:
                    fleet.router.outliers.eject(request.attempts[0].replica.worker, fleet.clock, "test")
                got += fleet.pass_time(1000)
                cancelled = [d.attempt for d in got if isinstance(d, Cancel)]
                self.assertEqual(request.attempts[0] in cancelled, back)

    def test_unanswered_probes_shun_and_an_answer_brings_the_trial(self):
        fleet = Fleet(workers=3, health_checks=True)
        home = called(fleet.serve(calls=150))[-1]
        for _ in range(3):
            fleet.router.health_checked(home, "timeout", None)
        fleet.pass_time(100)
        self.assertNotIn(home, called(fleet.serve(calls=10, ms=10.0)))
        fleet.router.health_checked(home, "ok", None)
        got = [d for _ in range(3) for d in fleet.take()]
        self.assertEqual(called(got).count(home), 1)

    def test_an_answer_from_before_the_shun_does_not_end_it(self):
        """(ms after the shun that an ok comes) -> shuns left of two."""
        for ms, left in ((100, 2), (6000, 1)):
            with self.subTest(ms=ms):
                fleet = Fleet(workers=1)
                request = fleet.take()[0].request
                worker = request.attempts[0].replica.worker
                for _ in range(2):
                    fleet.router.outliers.eject(worker, fleet.clock, "test")
                fleet.clock += ms
                fleet.end(request)
                self.assertEqual(worker.ejections, left)

    def test_a_copy_that_stood_unknown_is_no_load(self):
        """(ms that an answer took which does not tell) -> samples of a load's time."""
        for ms, samples in ((230.0, 0), (1500.0, 1)):
            with self.subTest(ms=ms):
                fleet = Fleet(workers=1, prewarm_outcome=None)
                request = next(d.request for d in fleet.take() if isinstance(d, Forward))
                fleet.clock += ms
                fleet.end(request, load_note=None)
                self.assertEqual(len(request.function.load_times), samples)

    def test_full_without_company_tells_of_memory(self):
        """(requests of the function held there) -> whether the copy still counts and others may load there."""
        for company, room in ((0, False), (3, True)):
            with self.subTest(company=company):
                fleet = Fleet(workers=2)
                home = called(fleet.serve(calls=100))[-1]
                request = fleet.take()[0].request
                place = request.attempts[0].replica
                fleet.router.attempt_finished(AttemptFinished(request.ident, 0, "full", False, None, company, None))
                self.assertEqual(place.loaded > 0, room)
                self.assertEqual(home in called(fleet.take("new")) + called(fleet.take("newer")), room)

    def test_no_more_call_outs_than_lanes(self):
        fleet = Fleet(workers=3)
        fleet.serve(calls=200)
        place = next(p for p in fleet.router.functions["p"].replicas if p.loaded)
        got = called([d for _ in range(9) for d in fleet.take()])
        self.assertLessEqual(got.count(place.worker.endpoint.ident), place.loaded * fleet.concurrency)

    def test_denied_once_its_usual_latency_no_longer_fits(self):
        """(times that all requests take of their due) -> ms after which one that finds no room is denied."""
        for slow, least, most in ((1.0, 500, 800), (5.0, 0, 400)):
            with self.subTest(slow=slow):
                fleet = Fleet(workers=1)
                fleet.serve(calls=40)
                fleet.router.schedule.next_at = float("inf")
                fleet.router.latency.average_pace = slow
                fleet.router.workers["a"].concurrency_limit = 0.0
                fleet.router.dispatcher.limits = replace(fleet.router.dispatcher.limits, retry_after=300.0)
                start, got = fleet.clock, fleet.take()
                while "reject" not in verbs(got):
                    got = fleet.pass_time(50)
                self.assertTrue(least <= fleet.clock - start <= most, fleet.clock - start)
                self.assertTrue(0.0 < next(d.retry_after for d in got if isinstance(d, Reject)) <= 300.0)

    def test_an_answer_given_up_counts_for_the_pace(self):
        """(outcome, ms) -> whether the worker counts as slower; not where the client only left early."""
        for outcome, ms, slower in (
            ("cancelled", 900, True),
            ("timeout", 900, True),
            ("cancelled", 20, False),
            ("full", 900, False),
        ):
            with self.subTest(outcome=outcome, ms=ms):
                fleet = Fleet(workers=1)
                fleet.serve(calls=20)
                request = fleet.take()[0].request
                worker = request.attempts[0].replica.worker
                before = fleet.router.latency.pace(worker)
                fleet.clock += ms
                fleet.end(request, outcome)
                self.assertEqual(fleet.router.latency.pace(worker) > before, slower)

    def test_a_connection_lost_makes_the_worker_cold(self):
        """(outcome) -> whether it counts as started anew, before the list tells."""
        for outcome, cold in (("cut", True), ("unreached", True), ("error", False), ("full", False)):
            with self.subTest(outcome=outcome):
                fleet = Fleet(workers=2)
                fleet.serve(calls=20)
                request = fleet.take()[0].request
                worker = request.attempts[0].replica.worker
                fleet.end(request, outcome)
                self.assertEqual(fleet.router.slow_start.is_warming_up(worker, fleet.clock), cold)

    def test_the_fleets_demand_for_a_program(self):
        """(our lanes, our part, company by worker) -> least and most lanes of the fleet."""
        for own, part, company, least, most in (
            (0.02, 0.005, [], 0.02, 0.02),
            (0.02, 0.005, [0] * 8, 0.0, 0.5),
            (0.05, 0.005, [3] * 8, 5.0, 7.0),
            (1.0, 1.0, [0] * 8, 1.0, 1.0),
        ):
            with self.subTest(own=own, company=company):
                fleet = Fleet(workers=2)
                fleet.take()
                function, (a, b) = fleet.router.functions["p"], fleet.router.workers.values()
                function.concurrency_samples.extend((worker, many) for many in company for worker in (a, b))
                self.assertTrue(least <= fleet.placement.demand_estimator.fleet_lanes(function, own, part) <= most)

    def test_late_answers_limit_all_our_call_outs(self):
        """(ms of each answer, busy share) -> whether what one front end has out at all workers is limited."""
        for ms, busy, limited in ((900.0, 0.95, True), (100.0, 0.95, False), (900.0, 0.5, False)):
            with self.subTest(ms=ms, busy=busy):
                fleet = Fleet(workers=6, front_ends=200)
                for at in range(12):
                    fleet.router.health_checked(
                        "f", "ok", fleet.reported(busy, 6.0)
                    )  # elsewhere: at a busy home they would be denied
                    fleet.serve(f"p{at}", calls=2, ms=ms)
                self.assertEqual(fleet.router.global_concurrency.concurrency_limit < 9.0, limited)

    def test_little_used_programs_stay_at_home(self):
        """(load, of a room of 1 what is left at the first by lot) -> whether it is chosen anew."""
        for load, left, first in ((0.02, -0.1, True), (0.02, -0.5, False), (0.4, -0.1, False), (0.4, 0.5, True)):
            with self.subTest(load=load, left=left):
                fleet = Fleet(workers=3, front_ends=3)
                fleet.take()
                function, workers = fleet.router.functions["p"], list(fleet.router.workers.values())
                home = min(workers, key=lambda w: rendezvous_rank(function, w))
                fleet.placement.mean_capacity, fleet.placement.active = 1.0, dict.fromkeys(workers)
                room = {w: left if w is home else 1.0 for w in workers}
                budget, part = dict.fromkeys(workers, 9e9), dict.fromkeys(workers, 1.0)
                got = choose_workers(fleet.placement, function, load, part, room, budget)
                self.assertEqual(got == [home], first)
