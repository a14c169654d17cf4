"""The listed workers as cells of bounded size, and the cells of a function in their order. Pure; no figure of policy.

What is here follows from the list alone, so front ends that hold the same list agree without talking, whatever order
its changes came in:

* Cells. A fleet of at most `whole` workers is one cell. In a larger one, a worker's identifier is hashed to a path of
  bits. A binary trie over the paths ends in a cell wherever at most `capacity` workers lie below a node (extendible
  hashing: Fagin et al., ACM TODS 4(3), 1979). A cell that overflows is split in two, two that fit one again are merged;
  no other cell is touched.
* Order. A worker has one point on a ring of 2**64, a function has `probes` (multi-probe consistent hashing: Appleton
  and O'Reilly, arXiv:1505.00062, 2015). A worker's distance from a function is the shortest way from one of the
  function's points up to the worker's, divided by the worker's size. The nearest worker is the function's first, its
  cell the function's home; without the home's workers, the nearest of the others gives the next cell. So shares follow
  size, a worker that joins takes just its own share, and one that leaves gives up just that.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from heapq import nsmallest
from itertools import chain, islice
from math import ceil, inf, log
from struct import unpack
from typing import Any

from wickdyke.chance import draw, draws
from wickdyke.interface import Listing, Program, Worker, forget

BITS = 64  # of a path, and of a point on the ring
RING = 2**BITS
LEAST_SIZE = 1e-6
LEAST_PERIOD = 1.0  # ms
FIRST = -1.0  # before all lots
FORGOTTEN = 1 / 8  # of a cell's functions, at once where too many are known
DIGEST_POINTS = 8  # points that one digest of 64 bytes gives


def size_of(listing: Listing) -> float:
    """The size by which a worker takes its share; above nought, whatever the list says."""
    return max(listing.size, LEAST_SIZE)


def points_of(name: str, count: int) -> list[int]:
    """The points on the ring of the function of that name."""
    text = name.encode()
    digests = (
        blake2b(text, digest_size=DIGEST_POINTS * BITS // 8, salt=bytes([number])).digest()
        for number in range(-(-count // DIGEST_POINTS))
    )
    return [point for digest in digests for point in unpack(f">{DIGEST_POINTS}Q", digest)][:count]


def lot(function: Program, worker: Worker) -> float:
    """Where a worker ranks for a function by weighted rendezvous hashing: lower comes first. It hangs on the names and
    the size alone, so all front ends draw alike, and larger workers come first more often."""
    return -log(draw(function.mark, worker.mark)) / size_of(worker.listing)


class Candidates:
    """Workers to be ranked for many functions. Where a zone is given, those of other zones count as if their size were
    the part `elsewhere` of itself."""

    def __init__(self, workers: list[Worker], zone: int | None = None, elsewhere: float = 1.0) -> None:
        self.workers, self.zoned = workers, zone is not None
        self.marks = [worker.mark for worker in workers]
        self.sizes = [size_of(worker.listing) for worker in workers]
        self.parts = [elsewhere if zone not in (None, worker.listing.zone) else 1.0 for worker in workers]

    def ranked(self, function: Program) -> list[Worker]:
        """The workers by lot, behind the function's first; where zones count all hangs on the lot."""
        lots = [-log(part) / size for part, size in zip(draws(function.mark, self.marks), self.sizes, strict=True)]
        if self.zoned:
            lots = [each / part for each, part in zip(lots, self.parts, strict=True)]
        elif function.first in self.workers:
            lots[self.workers.index(function.first)] = FIRST
        return [self.workers[at] for at in sorted(range(len(lots)), key=lots.__getitem__)]


@dataclass(slots=True, eq=False)
class Cell:
    """Workers whose paths begin with the same `depth` bits, and the functions at home there.

    `ready` and their `size` are as of the last change; `fill` is the decision module's, for what it places there;
    it was `filled` (ms) a `period` (ms) before the next is due, with `fresh` calls since;
    `pool` has, by kind of worker, the ms of their answers of late and the work in them;
    `busy` and `told` are sum and count of busy shares: the mean of each worker's last reports, all reports of late.
    """

    depth: int
    prefix: int
    members: dict[str, Worker] = field(default_factory=dict)
    functions: dict[str, Program] = field(default_factory=dict)
    fill: Any = None
    filled: float = 0.0
    period: float = 0.0
    fresh: float = inf
    ready: list[Worker] = field(default_factory=list)
    size: float = 0.0
    pool: dict[int, tuple[float, float]] = field(default_factory=dict)
    busy: tuple[float, int] = (0.0, 0)
    told: tuple[float, int] = (0.0, 0)

    def refresh(self) -> bool:
        """Reads the members' states anew; whether other workers are ready than before, or of another size."""
        before = self.ready, self.size
        self.ready = [worker for worker in self.members.values() if worker.listing.state == "ready"]
        self.size = sum(worker.listing.size for worker in self.ready)
        return (self.ready, self.size) != before

    def due(self) -> float:
        """When it is to be filled again (ms)."""
        return self.filled + self.period

    def lateness(self, now: float) -> float:
        """How long ago (ms) it was filled, in its own periods."""
        return (now - self.filled) / max(self.period, LEAST_PERIOD)

    def called_since(self, time: float) -> list[Program]:
        """Its functions that were called after that time (ms)."""
        return [function for function in self.functions.values() if function.called > time]

    def hear(self, since: float) -> None:
        """Sums up the busy shares of its workers, those told of late being told after that time (ms)."""
        busy = [worker.busy for worker in self.ready if worker.reports]
        told = [r["busy"] for w in self.ready for at, r, _ in w.reports if at > since and "busy" in r]
        self.busy, self.told = (sum(busy), len(busy)), (sum(told), len(told))


@dataclass(slots=True, frozen=True)
class Home:
    """A function's cell, and the nearest worker in it; none where all are one cell, whose order is by lot alone."""

    cell: Cell
    first: Worker | None = None


@dataclass(slots=True, frozen=True)
class Changes:
    """What an update of the list changed: workers that are gone, and cells in which others are ready than before."""

    gone: list[Worker]
    cells: list[Cell]


class Fleet:
    """The listed workers and the functions that are known.

    `make_worker` gives the books of a worker that is new on the list, `make_fill` the decision module's of a cell.
    """

    def __init__(
        self,
        whole: int,
        capacity: int,
        probes: int,
        make_worker: Callable[[Listing], Worker],
        make_fill: Callable[[Cell], Any],
    ) -> None:
        self.whole, self.capacity, self.probes = whole, capacity, probes
        self.make_worker, self.make_fill = make_worker, make_fill
        self.workers: dict[str, Worker] = {}
        self.functions: dict[str, Program] = {}
        self.cells: dict[tuple[int, int], Cell] = {}
        self._open(Cell(0, 0))
        self.barren: set[Cell] = set(self.cells.values())  # without a ready worker
        self.version = 0  # grows with each change that may move a function's home
        self.ring: list[int] = []  # the points of all workers, in order
        self.owners: list[str] = []  # whose they are
        self.places: dict[str, tuple[int, int]] = {}  # path, point
        self.sizes: Counter[float] = Counter()
        self.turn = 0
        self.touched: dict[Cell, None] = {}
        self.ended: list[Cell] = []

    # ---- the list ----

    def update(self, rows: Iterable[Listing], whole: bool) -> Changes:
        """Takes rows of the list: all of it, or what has changed. The cost follows the rows."""
        named = {row.ident: row for row in rows}
        missing = [ident for ident in self.workers if ident not in named] if whole else []
        gone = [self._remove(ident) for ident in missing]
        for ident, row in named.items():
            worker = self.workers.get(ident)
            if worker and (row.state == "gone" or row.born != worker.listing.born):  # or the same id, empty
                gone.append(self._remove(ident))
        for row in named.values():
            if row.state != "gone":
                self._put(row)
        return self._changes(gone)

    def _changes(self, gone: list[Worker]) -> Changes:
        live, changed = [cell for cell in self.touched if self.cells.get((cell.depth, cell.prefix)) is cell], []
        for cell in live:
            if cell.refresh():
                changed.append(cell)
            (self.barren.discard if cell.ready else self.barren.add)(cell)
        ended, self.touched, self.ended = self.ended, {}, []
        self.barren.difference_update(ended)
        self.version += bool(live or ended)
        return Changes(gone, changed)

    def _put(self, row: Listing) -> None:
        worker = self.workers.get(row.ident)
        if worker is not None:
            if worker.listing.size != row.size:
                self._weigh(worker.listing, -1)
                self._weigh(row, 1)
                self.version += 1
            worker.listing = row
            self.touched[self.cell_of(row.ident)] = None
            return
        worker = self.workers[row.ident] = self.make_worker(row)
        path, point = unpack(">2Q", blake2b(row.ident.encode(), digest_size=16).digest())
        self.places[row.ident] = path, point
        at = self._stands(point, row.ident)
        self.ring.insert(at, point)
        self.owners.insert(at, row.ident)
        self._weigh(row, 1)
        cell = self.cell_of(row.ident)
        cell.members[row.ident] = worker
        self.touched[cell] = None
        if len(self.workers) > self.whole:
            self._split(cell)

    def _remove(self, ident: str) -> Worker:
        worker, cell = self.workers.pop(ident), self.cell_of(ident)
        path, point = self.places.pop(ident)
        at = self._stands(point, ident)
        del self.ring[at], self.owners[at]
        self._weigh(worker.listing, -1)
        del cell.members[ident]
        self.touched[cell] = None
        if len(self.workers) == self.whole:
            self._replace(list(self.cells.values()), [Cell(0, 0, dict(self.workers))])
        while cell.depth and len(self.workers) > self.whole and (joined := self._merge(cell)):
            cell = joined
        worker.listing, worker.mute = replace(worker.listing, state="gone"), 0
        forget(list(worker.places.values()))
        return worker

    def _stands(self, point: int, ident: str) -> int:
        at = bisect_left(self.ring, point)
        while at < len(self.ring) and self.ring[at] == point and self.owners[at] < ident:
            at += 1
        return at

    def _weigh(self, listing: Listing, many: int) -> None:
        size = size_of(listing)
        self.sizes[size] += many
        if not self.sizes[size]:
            del self.sizes[size]

    # ---- cells ----

    def cell_of(self, ident: str) -> Cell:
        """The cell of a listed worker."""
        path, depth = self.places[ident][0], 0
        while (cell := self.cells.get((depth, path >> BITS - depth))) is None:
            depth += 1
        return cell

    def _split(self, cell: Cell) -> None:
        if len(cell.members) <= self.capacity or cell.depth == BITS:
            return
        depth = cell.depth + 1
        halves = [Cell(depth, cell.prefix << 1 | bit) for bit in (0, 1)]
        for ident, worker in cell.members.items():
            halves[self.places[ident][0] >> BITS - depth & 1].members[ident] = worker
        self._replace([cell], halves)
        for half in halves:
            self._split(half)

    def _merge(self, cell: Cell) -> Cell | None:
        sibling = self.cells.get((cell.depth, cell.prefix ^ 1))
        if sibling is None or len(cell.members) + len(sibling.members) > self.capacity:
            return None
        joined = Cell(cell.depth - 1, cell.prefix >> 1, {**cell.members, **sibling.members})
        self._replace([cell, sibling], [joined])
        return joined

    def _replace(self, old: list[Cell], new: list[Cell]) -> None:
        for cell in old:
            del self.cells[cell.depth, cell.prefix]
            self.ended.append(cell)
        for cell in new:
            self._open(cell)
            self.touched[cell] = None
        for cell in old:  # until they are settled, or called again
            new[0].functions.update(cell.functions)
            for function in cell.functions.values():
                function.cell = new[0]

    def _open(self, cell: Cell) -> None:
        self.cells[cell.depth, cell.prefix] = cell
        cell.fill = self.make_fill(cell)

    # ---- functions ----

    def in_turn(self, many: int) -> list[Cell]:
        """Of the next so many cells, those with functions; each call goes on where the last one stopped."""
        cells = list(self.cells.values())
        at = self.turn % len(cells)
        self.turn = at + many
        return [cell for cell in islice(chain(cells[at:], cells[:at]), many) if cell.functions]

    def enter(self, function: Program) -> Cell:
        """Makes a function known; its home."""
        self.functions[function.name] = function
        return self.home_of(function)

    def drop(self, functions: Iterable[Program]) -> None:
        """Forgets functions, but for those with an attempt out."""
        for function in functions:
            if not any(place.out for place in function.places):
                forget(list(function.places))
                del self.functions[function.name], function.cell.functions[function.name]

    def shrink(self, most: int) -> None:
        """Forgets functions called longest ago, of the cell that has most, where more than so many are known."""
        if len(self.functions) > most:
            known = max((cell.functions for cell in self.cells.values()), key=len)
            self.drop(nsmallest(ceil(len(known) * FORGOTTEN), known.values(), lambda function: function.called))

    def ready(self, besides: Collection[Worker] = ()) -> Iterator[Worker]:
        """The other workers that may be sent something, as far as the list tells."""
        everyone = chain.from_iterable(cell.ready for cell in self.cells.values())
        return (worker for worker in everyone if worker not in besides)

    def home_of(self, function: Program) -> Cell:
        """The cell of a function, looked up again only where the list has changed since."""
        if function.listed != self.version:
            home = self.home(function.name) or Home(function.cell or next(iter(self.cells.values())))
            if home.cell is not function.cell or home.first is not function.first:
                # Danger: a request may wait that is older than its function's forgetting, and another of the same name
                # may be known since.
                if self.functions.get(function.name) is function:
                    if function.cell is not None:
                        del function.cell.functions[function.name]
                    home.cell.functions[function.name] = function
                function.cell, function.first, function.ringed = home.cell, home.first, None
            function.listed = self.version
        return function.cell

    def settle(self, cell: Cell, before: float) -> None:
        """Sends the functions of a cell that the list has moved to their homes; forgets those called before (ms)."""
        for function in [f for f in cell.functions.values() if f.listed != self.version]:
            self.home_of(function)
        self.drop([function for function in cell.functions.values() if function.called < before])

    def near(self, function: Program, many: int) -> Iterator[Cell]:
        """The first cells of a known function, its home before the next ones, so many at most."""
        cells = [self.home_of(function)]
        yield cells[0]
        while len(cells) < many and (home := self.home(function.name, cells)):
            cells.append(home.cell)
            yield home.cell

    def home(self, name: str, besides: Collection[Cell] = ()) -> Home | None:
        """The nearest cell of the function of that name that has a ready worker, but for `besides`; None without."""
        if len(self.cells) == 1:
            (only,) = self.cells.values()
            return None if only in besides else Home(only)
        passed = self.barren.union(besides)
        ident = self._nearest(points_of(name, self.probes), passed) if len(passed) < len(self.cells) else None
        return None if ident is None else Home(self.cell_of(ident), self.workers[ident])

    def _nearest(self, points: list[int], passed: set[Cell]) -> str | None:
        ring, heaviest, best, found = self.ring, max(self.sizes), inf, None
        many = len(ring)
        for point in points:
            at = bisect_left(ring, point)
            for step in range(at - many, at):  # a negative index goes round the ring
                way = (ring[step] - point) % RING
                if way >= best * heaviest:
                    break
                ident = self.owners[step]
                distance = way / size_of(self.workers[ident].listing)
                if distance < best and not (passed and self.cell_of(ident) in passed):
                    best, found = distance, ident
        return found
