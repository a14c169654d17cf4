"""What an RPC's ordinary path costs in the module alone, in us of CPU: taken, placed, answered ok, no sockets. Run in
turn in two checkouts, or with and without a route, the rounds give pairs.

    python -m bench.hot_path --rounds 9 --beside ../earlier
"""

import os
import statistics
import subprocess
import sys
import time

import click

RPCS, PROGRAMS, WORKERS = 6000, 30, 20


def spend(routed: bool) -> float:
    """us of CPU an RPC."""
    from wickdyke.routing.decisions import Forward, Prewarm
    from wickdyke.routing.model import Endpoint, RequestClass, RoutePolicy
    from wickdyke.routing.router import Router
    from wickdyke.routing.settings import (
        AttemptLimits,
        CostWeights,
        Discovery,
        FunctionCache,
        GatewayInstance,
        PrewarmQuota,
        SlowStart,
    )

    method = RequestClass("m", "idempotent", "all", 2000.0, 800.0, 0.0, 4000.0, 1.0, 0.2)
    router = Router(
        0.0,
        7,
        [method],
        GatewayInstance(0, 2, 0, ("utilization", "in_flight"), False),
        AttemptLimits(3, False, True, False, 0.0, 250.0),
        FunctionCache((32000.0,), 10000.0, True, True, 10000.0, True, True),
        SlowStart(0.2, 18000.0, 2.0, 2000.0),
        PrewarmQuota(0.0, 0.0, 0.0),
        Discovery(True, 10000.0, 1000.0),
        CostWeights(0.1, 0.05, 0.05, 0.01, 0.0, 0.05),
    )
    router.advance(0.0)
    router.endpoints_changed([Endpoint(f"w{at}", 0, 0, 0, "ready", 4.0, None) for at in range(WORKERS)], True)
    timing = (
        RoutePolicy(
            800.0, 500.0, 3, (10.0, 2.0, 1e9, 0.5), frozenset({"full", "miss"}), None, (10000.0, 0.1, 5.0), 400.0, 0
        )
        if routed
        else None
    )
    extra = (timing,) if routed else ()
    now, held = 1.0, []

    def pull() -> None:
        for decision in iter(router.decide, None):
            if isinstance(decision, Forward):
                held.append(decision.request)
            elif isinstance(decision, Prewarm):
                worker, function = decision.worker.endpoint.ident, decision.function.name
                router.prewarm_finished(worker, function, "ok", decision.replicas, 1.0)

    began = 0.0
    for ident in range(RPCS * 5 // 4):
        if ident == RPCS // 4:  # the first quarter warms it
            began = time.process_time()
        now += 2.0
        router.advance(now)
        router.request_received(ident, 4000.0, method, f"p{ident % PROGRAMS}", 2000.0, 2, None, None, False, *extra)
        pull()
        if len(held) > 20:
            rpc = held.pop(0)
            router.attempt_finished(rpc.ident, len(rpc.attempts) - 1, "ok", True, "stood", 0, (0.4, 5.0))
            pull()
    return (time.process_time() - began) * 1e6 / RPCS


def once(tree: str, routed: bool) -> float:
    """The same in a process of its own in that checkout, by the copy of this file there: names may differ."""
    argv = [sys.executable, os.path.join(tree, "bench", "ordinary.py"), "--one", "routed" if routed else "plain"]
    return float(
        subprocess.run(
            argv, cwd=tree, env={**os.environ, "PYTHONPATH": tree}, check=True, capture_output=True, text=True
        ).stdout
    )


@click.command()
@click.option("--rounds", default=9, help="Rounds, each of all that is compared.")
@click.option("--beside", help="An earlier checkout to compare with.")
@click.option("--one", type=click.Choice(["plain", "routed"]), help="One figure for one process.")
def main(rounds: int, beside: str | None, one: str | None) -> None:
    """Compares the ordinary path: an earlier checkout, this one without a route, this one with."""
    if one:
        print(spend(one == "routed"))
        return
    here = os.getcwd()
    what = {"this, no route": (here, False), "this, a route": (here, True)}
    if beside:
        what = {"earlier": (os.path.abspath(beside), False), **what}
    rows: dict[str, list[float]] = {name: [] for name in what}
    for _ in range(rounds):
        for name, (tree, routed) in what.items():
            rows[name].append(once(tree, routed))
    base = next(iter(rows.values()))
    for name, figures in rows.items():
        ratios = sorted(figure / first for figure, first in zip(figures, base, strict=True))
        print(
            f"{name}: {statistics.median(figures):.1f} us an RPC; over {next(iter(rows))} "
            f"{statistics.median(ratios):.2f} ({ratios[0]:.2f} to {ratios[-1]:.2f}), of the least of each "
            f"{min(figures) / min(base):.2f}"
        )


if __name__ == "__main__":
    main()
