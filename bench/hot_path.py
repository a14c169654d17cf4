"""Measures the CPU time in us that the router spends on a request: received, forwarded and answered ok, no sockets.

Each round measures all variants (two checkouts, or requests with and without a route), so that figures come in pairs.

    python -m bench.hot_path --rounds 9 --beside ../earlier
"""

import os
import statistics
import subprocess
import sys
import time

import click

REQUESTS = 6000
FUNCTIONS = 30
WORKERS = 20
MAX_IN_FLIGHT = 20
REPORT_FIELDS = ("utilization", "in_flight")
SCRIPT_NAMES = ("hot_path.py", "ordinary.py")  # of this file; earlier checkouts have the second


def measure_cpu(routed: bool) -> float:
    """Returns the CPU time (us) per request; requests have a route policy where `routed`."""
    from wickdyke.routing.decisions import Forward, Prewarm
    from wickdyke.routing.inputs import AttemptFinished, RequestReceived, WorkerLoad
    from wickdyke.routing.model import (
        Backoff,
        Effect,
        Endpoint,
        EndpointState,
        LoadNote,
        Outcome,
        Request,
        RequestClass,
        RetryBudgetTerms,
        RoutePolicy,
        Scope,
    )
    from wickdyke.routing.router import Router
    from wickdyke.routing.settings import (
        AttemptLimits,
        CostWeights,
        Discovery,
        FunctionCache,
        GatewayInstance,
        PrewarmQuota,
        RouterSettings,
        SlowStart,
    )

    method = RequestClass("m", Effect.IDEMPOTENT, Scope.ALL, 2000.0, 800.0, 0.0, 4000.0, 1.0, 0.2)
    router = Router(
        0.0,
        7,
        [method],
        RouterSettings(
            GatewayInstance(0, 2, 0, REPORT_FIELDS, False),
            AttemptLimits(3, False, True, False, 0.0, 250.0),
            FunctionCache((32000.0,), 10000.0, True, True, 10000.0, True, True),
            SlowStart(0.2, 18000.0, 2.0, 2000.0),
            PrewarmQuota(0.0, 0.0, 0.0),
            Discovery(True, 10000.0, 1000.0),
            CostWeights(0.1, 0.05, 0.05, 0.01, 0.0, 0.05),
        ),
    )
    router.advance(0.0)
    router.endpoints_changed(
        [Endpoint(f"w{at}", 0, 0, 0, EndpointState.READY, 4.0, None) for at in range(WORKERS)], True
    )
    policy = (
        RoutePolicy(
            800.0,
            500.0,
            3,
            Backoff(10.0, 2.0, 1e9, 0.5),
            frozenset({Outcome.FULL, Outcome.MISS}),
            None,
            RetryBudgetTerms(10000.0, 0.1, 5.0),
            400.0,
            0,
        )
        if routed
        else None
    )
    now = 1.0
    in_flight: list[Request] = []

    def carry_out_decisions() -> None:
        for decision in iter(router.decide, None):
            if isinstance(decision, Forward):
                in_flight.append(decision.request)
            elif isinstance(decision, Prewarm):
                worker, function = decision.worker.endpoint.ident, decision.function.name
                router.prewarm_finished(worker, function, Outcome.OK, decision.replicas, 1.0)

    started = 0.0
    for ident in range(REQUESTS * 5 // 4):
        if ident == REQUESTS // 4:  # the first quarter is a warm-up
            started = time.process_time()
        now += 2.0
        router.advance(now)
        received = RequestReceived(ident, 4000.0, method, f"p{ident % FUNCTIONS}", 2000.0, 2, None, None, False, policy)
        router.request_received(received)
        carry_out_decisions()
        if len(in_flight) > MAX_IN_FLIGHT:
            request = in_flight.pop(0)
            load = WorkerLoad.from_values(REPORT_FIELDS, (0.4, 5.0))  # built for each answer, as a gateway does
            number = len(request.attempts) - 1
            router.attempt_finished(
                AttemptFinished(request.ident, number, Outcome.OK, True, LoadNote.ALREADY_LOADED, 0, load)
            )
            carry_out_decisions()
    return (time.process_time() - started) * 1e6 / REQUESTS


def measure_in_checkout(tree: str, routed: bool) -> float:
    """Runs `measure_cpu` of the checkout `tree` in a process of its own.

    It uses the checkout's own version of this file, as interfaces may differ.
    """
    script_paths = [os.path.join(tree, "bench", name) for name in SCRIPT_NAMES]
    script_path = next(path for path in script_paths if os.path.exists(path))
    argv = [sys.executable, script_path, "--one", "routed" if routed else "plain"]
    environment = {**os.environ, "PYTHONPATH": tree}
    run = subprocess.run(argv, cwd=tree, env=environment, check=True, capture_output=True, text=True)
    return float(run.stdout)


@click.command()
@click.option("--rounds", default=9, help="Rounds; each measures every variant.")
@click.option("--beside", help="An earlier checkout to compare with.")
@click.option("--one", type=click.Choice(["plain", "routed"]), help="Measure only this variant, in this process.")
def main(rounds: int, beside: str | None, one: str | None) -> None:
    """Compares the CPU time of a request: in an earlier checkout, in this one without a route and with one."""
    if one:
        print(measure_cpu(one == "routed"))
        return
    this_tree = os.getcwd()
    variants = {"this, no route": (this_tree, False), "this, a route": (this_tree, True)}
    if beside:
        variants = {"earlier": (os.path.abspath(beside), False), **variants}
    rows: dict[str, list[float]] = {name: [] for name in variants}
    for _ in range(rounds):
        for name, (tree, routed) in variants.items():
            rows[name].append(measure_in_checkout(tree, routed))
    base_figures = next(iter(rows.values()))
    for name, figures in rows.items():
        ratios = sorted(figure / base_figure for figure, base_figure in zip(figures, base_figures, strict=True))
        print(
            f"{name}: {statistics.median(figures):.1f} us a request; over {next(iter(rows))} "
            f"{statistics.median(ratios):.2f} ({ratios[0]:.2f} to {ratios[-1]:.2f}), of the minimum of each "
            f"{min(figures) / min(base_figures):.2f}"
        )


if __name__ == "__main__":
    main()
