"""Plays every cell, or those of some calls: `python -m tests.faulty_system --jobs 4 --calls poll,recv`."""

import argparse
import sys
from concurrent.futures import ThreadPoolExecutor

from tests.faulty_system.cells import all_cells
from tests.faulty_system.play import met_calls, play_cell


def main() -> int:
    """Plays the cells, several at once; returns 1 where one was broken."""
    parser = argparse.ArgumentParser(prog="python -m tests.faulty_system")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--calls", type=lambda text: text.split(","), help="names of calls, such as poll")
    arguments = parser.parse_args()
    cells = [
        cell
        for cell in all_cells(list(met_calls()))
        if arguments.calls is None or cell.call.partition(" ")[0] in arguments.calls
    ]
    broken_cells = 0
    with ThreadPoolExecutor(arguments.jobs) as pool:
        for cell, broken in zip(cells, pool.map(play_cell, cells), strict=True):
            print(f"{cell.call}: {cell.answer}, from call {cell.first}: {broken or 'ok'}"[:300], flush=True)
            broken_cells += bool(broken)
    print(f"{len(cells)} cells, {broken_cells} broken")
    return 1 if broken_cells else 0


if __name__ == "__main__":
    sys.exit(main())
