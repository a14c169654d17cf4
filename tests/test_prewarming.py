"""When a function is loaded ahead of its requests, on which worker, and within which quota."""

import unittest

from tests.helpers import Fleet, called, verbs
from wickdyke.routing.decisions import Forward, Prewarm
from wickdyke.routing.ranking import rendezvous_rank
from wickdyke.routing.replicas import replica_of
from wickdyke.routing.settings import PrewarmQuota


class PrewarmingTest(unittest.TestCase):
    """When a function is loaded ahead of its requests, on which worker, and within which quota."""

    def test_ration(self):
        """(free, share, window): orders of any window never exceed free + share x requests taken in it."""
        for free, share, window in ((2.0, 0.1, 5000.0), (0.0, 0.05, 3000.0), (6.0, 0.0, 1000.0)):
            with self.subTest(free=free, share=share):
                fleet = Fleet(prewarm_quota=PrewarmQuota(free, share, window))
                prewarms, taken = [], []
                for at in range(400):
                    taken.append(fleet.clock)
                    decisions = fleet.take(f"p{at % 40}")  # replicas are never found, so holds are always wanted
                    for request in [d.request for d in decisions if isinstance(d, Forward)]:
                        fleet.clock += 5 * (at < 40)
                        decisions += fleet.end(request, "miss" if at >= 40 else "ok")  # each was answered once
                    decisions += fleet.pass_time(25, step=25)
                    for _ in [d for d in decisions if isinstance(d, Prewarm)]:
                        prewarms.append(fleet.clock)
                        recent = [t for t in prewarms if fleet.clock - t < window]
                        recent_taken = [t for t in taken if fleet.clock - t < window]
                        self.assertLessEqual(len(recent), free + share * len(recent_taken) + 1e-9)
                self.assertTrue(prewarms)

    def test_a_miss_site_is_asked_by_a_call_then_given_a_hold(self):
        """What follows the attempt that asks: ok spends no order; a miss brings one hold, then the call."""
        for outcome, prewarms, calls in (("ok", 0, 0), ("miss", 1, 1)):
            with self.subTest(outcome=outcome):
                fleet = Fleet(workers=1, loads_on_demand=False, prewarm_outcome=None)
                decisions = fleet.take()
                self.assertEqual(verbs(decisions), ["forward"])
                decisions = fleet.end(decisions[0].request, outcome) + fleet.pass_time(100)
                self.assertEqual(
                    (verbs(decisions).count("prewarm"), verbs(decisions).count("forward")), (prewarms, calls)
                )

    def test_further_copies_are_left_to_workers_where_call_outs_ask(self):
        for loads_on_call in (True, False):
            fleet = Fleet(workers=3, loads_on_demand=loads_on_call, front_ends=1, prewarm_outcome=None)
            decisions = [d for _ in range(30) for d in fleet.take() + fleet.pass_time(20, 10)]
            for request in [d.request for d in decisions if isinstance(d, Forward)]:
                decisions += fleet.end(request)
            decisions += fleet.pass_time(1500)
            self.assertEqual(any(d.replicas > 1 for d in decisions if isinstance(d, Prewarm)), loads_on_call)

    def test_what_was_called_once_is_not_held_ahead(self):  # too late for its own request, too, to order one
        fleet = Fleet(workers=6, loads_on_demand=False, prewarm_outcome=None, front_ends=50, reports_concurrency=False)
        decisions, orders = fleet.take() + fleet.pass_time(600), 0
        for request in [decisions[0].request] * 3:
            orders += verbs(fleet.end(request, "miss")).count("prewarm")
            fleet.router.schedule.next_at = fleet.router.wake_at = fleet.clock
            orders += verbs(fleet.pass_time(50)).count("prewarm")
        self.assertEqual(orders, 0)

    def test_after_misses_the_hold_goes_to_the_first_home_by_lot(self):
        for seed in range(4):  # of each front end's own
            fleet = Fleet(workers=6, loads_on_demand=False, prewarm_outcome=None, attempts=4, seed=seed)
            decisions = fleet.take()
            for place in [replica_of(decisions[0].request.function, worker) for worker in fleet.ready_workers[:3]]:
                place.is_placed = True
            first = min(fleet.ready_workers[:3], key=lambda w: rendezvous_rank(decisions[0].request.function, w))
            while not (orders := [d for d in decisions if isinstance(d, Prewarm)]):
                decisions = fleet.end(decisions[-1].request, "miss") + fleet.pass_time(50)
            self.assertEqual(orders[0].worker, first)

    def test_one_call_out_is_kept_for_after_the_hold(self):
        fleet = Fleet(workers=3, loads_on_demand=False, prewarm_outcome=None, attempts=1)
        self.assertEqual(verbs(fleet.take()), ["prewarm"])

    def test_what_nobody_has_tells_nothing_of_workers_and_earns_no_orders(self):
        """(whether the function was answered before) -> worker ejected after errors, requests that count for orders."""
        for proven in (True, False):
            with self.subTest(proven=proven):
                fleet = Fleet(workers=1, prewarm_quota=PrewarmQuota(1.0, 1.0, 5000.0))
                fleet.serve(calls=1 if proven else 0)
                before = len(fleet.router.prewarm_limiter.request_times)
                for _ in range(4):
                    for request in [d.request for d in fleet.take() if isinstance(d, Forward)]:
                        fleet.end(request, "error", final=True)
                fleet.pass_time(600)
                worker = fleet.router.workers["a"]
                self.assertEqual(
                    (bool(worker.ejections), len(fleet.router.prewarm_limiter.request_times) - before > 0),
                    (proven, proven),
                )
                self.assertEqual(any(place.is_placed for place in fleet.router.functions["p"].replicas), proven)

    def test_requests_for_functions_nobody_has_earn_no_load_orders(self):
        """Where attempts ask for replicas: (functions asked for, whether one exists) -> most orders of a window."""
        ration = PrewarmQuota(3.0, 0.2, 5000.0)
        for unknown, existing in ((60, False), (60, True), (0, True)):
            with self.subTest(unknown=unknown, existing=existing):
                fleet = Fleet(workers=4, loads_on_demand=False, prewarm_quota=ration, prewarm_outcome=None)
                all_decisions, legitimate = [], 0
                for number in range(60):
                    requested = ([f"nobody-has-{number}"] if unknown else []) + (["p"] if existing else [])
                    for name in requested:
                        decisions = fleet.take(name)
                        legitimate += name == "p"
                        for decision in decisions:
                            if isinstance(decision, Forward):
                                decisions += fleet.end(
                                    decision.request, "ok" if name == "p" else "miss", final=name == "p"
                                )
                            elif isinstance(decision, Prewarm):
                                outcome = "ok" if decision.function.name == "p" else "error"
                                fleet.router.prewarm_finished(
                                    decision.worker.endpoint.ident, decision.function.name, outcome, 1, 1.0
                                )
                        all_decisions += decisions
                    all_decisions += fleet.pass_time(20, step=20.0)
                orders = verbs(all_decisions).count("prewarm")
                self.assertLessEqual(orders, ration.free + ration.share * legitimate)
                self.assertEqual(len(fleet.router.prewarm_limiter.request_times), legitimate)

    def test_what_was_taken_before_the_first_answer_earns_orders_with_it(self):
        """(what proves that the function exists, ms after the first request) -> requests counted in the window."""
        for proof, wait, counted in (("answer", 100, 3), ("order", 100, 3), ("answer", 5100, 1), ("miss", 100, 0)):
            with self.subTest(proof=proof, wait=wait):
                fleet = Fleet(
                    workers=1, loads_on_demand=False, prewarm_quota=PrewarmQuota(3.0, 0.2, 5000.0), prewarm_outcome=None
                )
                fleet.serve("other", calls=1)
                fleet.router.prewarm_limiter.request_times.clear()
                first = fleet.take()[0].request
                fleet.take()
                fleet.pass_time(wait)
                fleet.take()
                if proof == "order":
                    fleet.router.prewarm_finished("a", "p", "ok", 1, 1.0)
                else:
                    fleet.end(first, "ok" if proof == "answer" else "miss", number=0)
                self.assertEqual(len(fleet.router.prewarm_limiter.request_times), counted)
                self.assertEqual(
                    list(fleet.router.prewarm_limiter.request_times), sorted(fleet.router.prewarm_limiter.request_times)
                )

    def test_front_ends_ask_at_several_homes_before_their_first_fill(self):
        """(loads on demand) -> whether 20 front ends choose different workers for a function that is new to them."""
        for on_call, several in ((True, False), (False, True)):
            with self.subTest(on_call=on_call):
                first_workers = {
                    called(Fleet(workers=8, loads_on_demand=on_call, seed=seed).take())[0] for seed in range(20)
                }
                self.assertEqual(len(first_workers) > 1, several)


if __name__ == "__main__":
    unittest.main()
