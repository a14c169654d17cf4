"""The listed workers, partitioned into cells of bounded size, and the functions in use, each with a home cell.

The partition depends only on the endpoint list, so front ends with the same list agree without communication,
regardless of the order in which they received its changes. A fleet of at most `single_cell_limit` workers is one cell.
In a larger fleet, each worker's identifier is hashed to a path of bits. A binary trie over the paths has a cell as leaf
wherever at most `cell_capacity` workers lie below a node (extendible hashing: Fagin et al., ACM TODS 4(3), 1979). A
cell that overflows is split in two, and two siblings that fit into one cell are merged; other cells do not change. A
function's home is the cell of its nearest worker on the hash ring; its next cell is that of the nearest worker outside
the home, and so on.
"""

from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass, replace
from hashlib import blake2b
from heapq import nsmallest
from itertools import chain, islice
from math import ceil
from struct import unpack
from typing import Any

from wickdyke.routing.cells import Cell
from wickdyke.routing.hash_ring import HashRing, points_of
from wickdyke.routing.model import (
    Endpoint,
    EndpointState,
    Function,
    Worker,
)
from wickdyke.routing.ranking import size_of
from wickdyke.routing.replicas import forget_replicas

PATH_BITS = 64
MAX_UNVERIFIED_EVICTED = 2  # unverified functions that are removed for each one that is added
EVICTED_FRACTION = 1 / 8  # fraction of the largest cell's functions that is removed when there are too many functions


@dataclass(slots=True, frozen=True)
class Home:
    """A function's cell, and its nearest worker there; None in a fleet of one cell, where only the ranking counts."""

    cell: Cell
    nearest_worker: Worker | None = None


@dataclass(slots=True, frozen=True)
class FleetChanges:
    """The effects of an update: removed or restarted workers, and cells whose ready workers or sizes have changed."""

    removed: list[Worker]
    cells: list[Cell]


class Fleet:
    """The listed workers and the functions in use.

    `make_worker` creates the record of a worker that is new on the list, `make_placement` the placement of a cell.
    """

    def __init__(
        self,
        single_cell_limit: int,
        cell_capacity: int,
        points_per_function: int,
        make_worker: Callable[[Endpoint], Worker],
        make_placement: Callable[[Cell], Any],
    ) -> None:
        """Creates a fleet of one cell without workers."""
        self.single_cell_limit = single_cell_limit
        self.cell_capacity = cell_capacity
        self.points_per_function = points_per_function
        self.make_worker = make_worker
        self.make_placement = make_placement
        self.workers: dict[str, Worker] = {}
        self.functions: dict[str, Function] = {}
        # The functions that were never answered or loaded, the least recently requested one first.
        self.unverified_functions: dict[Function, None] = {}
        self.cells: dict[tuple[int, int], Cell] = {}
        self._open_cell(Cell(0, 0))
        self.cells_without_workers: set[Cell] = set(self.cells.values())
        self.version = 0  # incremented by each change that may move a function to another home
        self.ring = HashRing()
        self.positions: dict[str, tuple[int, int]] = {}  # path and point on the ring, by worker identifier
        self.next_cell = 0
        self.touched_cells: dict[Cell, None] = {}
        self.removed_cells: list[Cell] = []

    # ---- the endpoint list ----

    def update(self, endpoints: Iterable[Endpoint], whole: bool) -> FleetChanges:
        """Applies the complete list if `whole`, otherwise changed entries; returns what changed.

        With changed entries the cost is linear in their number.
        """
        named = {endpoint.ident: endpoint for endpoint in endpoints}
        missing = [ident for ident in self.workers if ident not in named] if whole else []
        removed = [self._remove_worker(ident) for ident in missing]
        for ident, endpoint in named.items():
            worker = self.workers.get(ident)
            if worker and _replaces(endpoint, worker):
                removed.append(self._remove_worker(ident))
        for endpoint in named.values():
            if endpoint.state != EndpointState.GONE:
                self._update_or_add_worker(endpoint)
        return self._collect_changes(removed)

    def _collect_changes(self, removed: list[Worker]) -> FleetChanges:
        live = [cell for cell in self.touched_cells if self.cells.get((cell.depth, cell.prefix)) is cell]
        changed = []
        for cell in live:
            if cell.refresh():
                changed.append(cell)
            if cell.ready_workers:
                self.cells_without_workers.discard(cell)
            else:
                self.cells_without_workers.add(cell)
        removed_cells = self.removed_cells
        self.touched_cells = {}
        self.removed_cells = []
        self.cells_without_workers.difference_update(removed_cells)
        self.version += bool(live or removed_cells)
        return FleetChanges(removed, changed)

    def _update_or_add_worker(self, endpoint: Endpoint) -> None:
        worker = self.workers.get(endpoint.ident)
        if worker is None:
            self._add_worker(endpoint)
            return
        if worker.endpoint.size != endpoint.size:
            self.ring.resize(endpoint.ident, size_of(endpoint))
            self.version += 1
        worker.endpoint = endpoint
        self.touched_cells[self.cell_of(endpoint.ident)] = None

    def _add_worker(self, endpoint: Endpoint) -> None:
        ident = endpoint.ident
        worker = self.workers[ident] = self.make_worker(endpoint)
        path, point = unpack(">2Q", blake2b(ident.encode(), digest_size=16).digest())
        self.positions[ident] = path, point
        self.ring.insert(point, ident, size_of(endpoint))
        cell = self.cell_of(ident)
        cell.members[ident] = worker
        self.touched_cells[cell] = None
        if len(self.workers) > self.single_cell_limit:
            self._split(cell)

    def _remove_worker(self, ident: str) -> Worker:
        worker, cell = self.workers.pop(ident), self.cell_of(ident)
        _, point = self.positions.pop(ident)
        self.ring.remove(point, ident)
        del cell.members[ident]
        self.touched_cells[cell] = None
        if len(self.workers) == self.single_cell_limit:
            self._replace_cells(list(self.cells.values()), [Cell(0, 0, dict(self.workers))])
        while cell.depth and len(self.workers) > self.single_cell_limit and (joined := self._merge(cell)):
            cell = joined
        worker.endpoint, worker.failed_checks = replace(worker.endpoint, state=EndpointState.GONE), 0
        forget_replicas(list(worker.replicas.values()))
        return worker

    # ---- cells ----

    def cell_of(self, ident: str) -> Cell:
        """Returns the cell of a listed worker."""
        path, _ = self.positions[ident]
        depth = 0
        while (cell := self.cells.get((depth, path >> PATH_BITS - depth))) is None:
            depth += 1
        return cell

    def _split(self, cell: Cell) -> None:
        if len(cell.members) <= self.cell_capacity or cell.depth == PATH_BITS:
            return
        depth = cell.depth + 1
        halves = [Cell(depth, cell.prefix << 1 | bit) for bit in (0, 1)]
        for ident, worker in cell.members.items():
            halves[self.positions[ident][0] >> PATH_BITS - depth & 1].members[ident] = worker
        self._replace_cells([cell], halves)
        for half in halves:
            self._split(half)

    def _merge(self, cell: Cell) -> Cell | None:
        sibling = self.cells.get((cell.depth, cell.prefix ^ 1))
        if sibling is None or len(cell.members) + len(sibling.members) > self.cell_capacity:
            return None
        joined = Cell(cell.depth - 1, cell.prefix >> 1, {**cell.members, **sibling.members})
        self._replace_cells([cell, sibling], [joined])
        return joined

    def _replace_cells(self, old: list[Cell], new: list[Cell]) -> None:
        for cell in old:
            del self.cells[cell.depth, cell.prefix]
            self.removed_cells.append(cell)
        for cell in new:
            self._open_cell(cell)
            self.touched_cells[cell] = None
        for cell in old:  # provisional homes, until the functions are refreshed or requested again
            new[0].functions.update(cell.functions)
            for function in cell.functions.values():
                function.cell = new[0]

    def _open_cell(self, cell: Cell) -> None:
        self.cells[cell.depth, cell.prefix] = cell
        cell.placement = self.make_placement(cell)

    def cells_in_turn(self, count: int) -> list[Cell]:
        """Returns those of the next `count` cells that have functions; each call continues where the last one ended."""
        cells = list(self.cells.values())
        start = self.next_cell % len(cells)
        self.next_cell = start + count
        return [cell for cell in islice(chain(cells[start:], cells[:start]), count) if cell.functions]

    def ready_workers(self, excluded: Collection[Worker] = ()) -> Iterator[Worker]:
        """Returns the workers that are listed as ready, without the `excluded` ones."""
        all_ready = chain.from_iterable(cell.ready_workers for cell in self.cells.values())
        return (worker for worker in all_ready if worker not in excluded)

    # ---- functions ----

    def add_function(self, function: Function) -> Cell:
        """Adds a function; returns its home cell."""
        self.functions[function.name] = function
        self.unverified_functions[function] = None
        return self.home_of(function)

    def function_requested(self, function: Function) -> None:
        """Records a request of a function that was added."""
        if function in self.unverified_functions:
            del self.unverified_functions[function]
            self.unverified_functions[function] = None

    def function_used(self, function: Function) -> None:
        """Records that an attempt or a prewarm of a function has ended, by which it may have become verified."""
        if function.verified:
            self.unverified_functions.pop(function, None)

    def request_closed(self, function: Function) -> None:
        """Drops what a request has left behind of a function that was removed while the request was open."""
        if self.functions.get(function.name) is not function and not _in_flight(function):
            forget_replicas(list(function.replicas))

    def remove_functions(self, functions: Iterable[Function]) -> None:
        """Removes functions, except those with an attempt in flight."""
        for function in functions:
            if not _in_flight(function):
                forget_replicas(list(function.replicas))
                del self.functions[function.name], function.cell.functions[function.name]
                self.unverified_functions.pop(function, None)

    def evict_functions(self, maximum: int, maximum_unverified: int) -> None:
        """Removes the least recently requested functions, if there are too many.

        These are unverified ones where there are more than `maximum_unverified` of them, then functions of the cell
        with most where there are more than `maximum` in all.
        """
        excess = len(self.unverified_functions) - maximum_unverified
        for function in list(islice(self.unverified_functions, max(0, min(excess, MAX_UNVERIFIED_EVICTED)))):
            self.remove_functions([function])
            self.function_requested(function)  # one with an attempt in flight stays, as if requested just now
        if len(self.functions) > maximum:
            largest = max((cell.functions for cell in self.cells.values()), key=len)
            count = ceil(len(largest) * EVICTED_FRACTION)
            self.remove_functions(nsmallest(count, largest.values(), lambda function: function.last_request_at))

    def home_of(self, function: Function) -> Cell:
        """Returns the function's home cell, which is recomputed only if the list has changed since the last call."""
        if function.fleet_version != self.version:
            home = self.find_home(function.name) or Home(function.cell or next(iter(self.cells.values())))
            if home.cell is not function.cell or home.nearest_worker is not function.nearest_worker:
                self._move(function, home)
            function.fleet_version = self.version
        cell: Cell = function.cell
        return cell

    def _move(self, function: Function, home: Home) -> None:
        # A waiting request may refer to a function that was removed since; another of its name may have been added.
        if self.functions.get(function.name) is function:
            if function.cell is not None:
                del function.cell.functions[function.name]
            home.cell.functions[function.name] = function
        function.cell = home.cell
        function.nearest_worker = home.nearest_worker
        function.ranked_from = None

    def refresh_functions(self, cell: Cell, before: float) -> None:
        """Moves functions whose home has changed out of the cell; removes those last requested before `before` (ms)."""
        for function in [moved for moved in cell.functions.values() if moved.fleet_version != self.version]:
            self.home_of(function)
        self.remove_functions([function for function in cell.functions.values() if function.last_request_at < before])

    def nearest_cells(self, function: Function, maximum: int) -> Iterator[Cell]:
        """Yields up to `maximum` of the nearest cells of a function, its home first."""
        cells = [self.home_of(function)]
        yield cells[0]
        while len(cells) < maximum and (home := self.find_home(function.name, cells)):
            cells.append(home.cell)
            yield home.cell

    def find_home(self, name: str, excluded_cells: Collection[Cell] = ()) -> Home | None:
        """Returns the nearest cell of the function `name` that has ready workers and is not in `besides`, or None."""
        if len(self.cells) == 1:
            (only,) = self.cells.values()
            return None if only in excluded_cells else Home(only)
        excluded = self.cells_without_workers.union(excluded_cells)
        if len(excluded) >= len(self.cells):
            return None
        points = points_of(name, self.points_per_function)
        ident = self.ring.nearest(points, lambda candidate: bool(excluded) and self.cell_of(candidate) in excluded)
        return None if ident is None else Home(self.cell_of(ident), self.workers[ident])


def _in_flight(function: Function) -> bool:
    """Returns whether an attempt of the function is in flight."""
    return any(replica.in_flight for replica in function.replicas)


def _replaces(endpoint: Endpoint, worker: Worker) -> bool:
    """Returns whether the entry ends the worker's record: it was removed, or restarted under the same identifier."""
    return endpoint.state == EndpointState.GONE or endpoint.started_at != worker.endpoint.started_at
