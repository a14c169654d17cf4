"""What an RPC's ordinary path costs in the module alone, in us of CPU: taken, placed, answered ok, no sockets. Run in
turn in two checkouts, or with and without a route, the rounds give pairs.

    python -m bench.ordinary --rounds 9 --beside ../earlier
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
    from wickdyke import interface
    from wickdyke.interface import Allowance, Directory, Listing, Method, Ration, Seat, Stock, Tariff, Warmup
    from wickdyke.logic import FrontEnd

    method = Method("m", "idempotent", "all", 2000.0, 800.0, 0.0, 4000.0, 1.0, 0.2)
    front_end = FrontEnd(
        0.0,
        7,
        [method],
        Seat(0, 2, 0, ("busy", "held"), False),
        Allowance(3, False, True, False, 0.0, 250.0),
        Stock((32000.0,), 10000.0, True, True, 10000.0, True, True),
        Warmup(0.2, 18000.0, 2.0, 2000.0),
        Ration(0.0, 0.0, 0.0),
        Directory(True, 10000.0, 1000.0),
        Tariff(0.1, 0.05, 0.05, 0.01, 0.0, 0.05),
    )
    front_end.woke(0.0)
    front_end.listed([Listing(f"w{at}", 0, 0, 0, "ready", 4.0, None) for at in range(WORKERS)], True)
    timing = (
        interface.Timing(
            800.0, 500.0, 3, (10.0, 2.0, 1e9, 0.5), frozenset({"full", "miss"}), None, (10000.0, 0.1, 5.0), 400.0, 0
        )
        if routed
        else None
    )
    extra = (timing,) if routed else ()
    now, held = 1.0, []

    def pull() -> None:
        for verb, *rest in iter(front_end.decide, None):
            if verb == "call":
                held.append(rest[0])
            elif verb == "hold":
                front_end.held(rest[0].listing.ident, rest[1].name, "ok", rest[2], 1.0)

    began = 0.0
    for ident in range(RPCS * 5 // 4):
        if ident == RPCS // 4:  # the first quarter warms it
            began = time.process_time()
        now += 2.0
        front_end.woke(now)
        front_end.took(ident, 4000.0, method, f"p{ident % PROGRAMS}", 2000.0, 2, None, None, False, *extra)
        pull()
        if len(held) > 20:
            rpc = held.pop(0)
            front_end.ended(rpc.ident, len(rpc.call_outs) - 1, "ok", True, "stood", 0, (0.4, 5.0))
            pull()
    return (time.process_time() - began) * 1e6 / RPCS


def once(tree: str, routed: bool) -> float:
    """The same in a process of its own in that checkout."""
    argv = [sys.executable, os.path.abspath(__file__), "--one", "routed" if routed else "plain"]
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
