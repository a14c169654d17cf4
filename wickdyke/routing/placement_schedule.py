"""Schedules the placements of cells, one cell at a time to keep each run of the router short."""

from dataclasses import dataclass

from wickdyke.routing.cells import Cell
from wickdyke.routing.fleet import Fleet
from wickdyke.routing.in_flight import GlobalConcurrency
from wickdyke.routing.latency import MAX_REPORT_AGE
from wickdyke.routing.model import (
    LoadReport,
)
from wickdyke.routing.periods import PLACEMENT_PERIOD, TICK_INTERVAL
from wickdyke.routing.samples import pooled_mean
from wickdyke.routing.seeded_random import SeededRandom
from wickdyke.routing.settings import FunctionCache
from wickdyke.routing.slow_start import SlowStartGuard

PERIOD_JITTER = 0.2  # relative range of random periods, which keeps front ends out of step
FEW_REQUESTS = 16  # requests in a period; with fewer the next period is longer
MAX_PERIOD_FACTOR = 4.0  # limit on how many times longer a period becomes
MAX_IDLE_TIMEOUTS = 3  # idle timeouts without requests after which a function is removed, in a fleet of one cell
MAX_CELLS_COMPARED = 32  # cells compared for one placement


@dataclass(slots=True)
class PlacementSchedule:
    """Selects the cell whose placement is most overdue, and updates the estimates that all cells share."""

    fleet: Fleet
    cache: FunctionCache
    slow_start: SlowStartGuard
    global_concurrency: GlobalConcurrency
    random: SeededRandom
    next_at: float  # time of the next placement (ms)
    last_estimate_at: float  # time of the last estimates over all cells (ms)

    def due_cell(self, now: float) -> Cell | None:
        """Returns the cell to place now, with updated estimates, or None; sets the time of the next placement."""
        cells = list(self.fleet.cells.values())
        used = self.fleet.cells_in_turn(MAX_CELLS_COMPARED) or cells[:1]
        cell = max(used, key=lambda candidate: candidate.lateness(now))
        if len(cells) > MAX_CELLS_COMPARED and cell.lateness(now) < 1:
            self.next_at = now + (TICK_INTERVAL if self.fleet.functions else PLACEMENT_PERIOD)
            return None
        self._reschedule(cell, cells, used, now)
        self.fleet.refresh_functions(
            cell, now - self.cache.idle_timeout * (MAX_IDLE_TIMEOUTS if len(cells) == 1 else 1)
        )
        cell.sum_reports(now - MAX_REPORT_AGE)
        if len(cells) == 1 or now - self.last_estimate_at >= PLACEMENT_PERIOD:
            self._update_estimates(cells, now)
        return cell

    def _reschedule(self, cell: Cell, cells: list[Cell], used: list[Cell], now: float) -> None:
        factor = min(MAX_PERIOD_FACTOR, max(1.0, FEW_REQUESTS / (1 + cell.requests_since_placement)))
        jitter = 1 - PERIOD_JITTER / 2 + PERIOD_JITTER * self.random.fraction()
        cell.placed_at = now
        cell.period = PLACEMENT_PERIOD * factor * jitter
        cell.requests_since_placement = 0
        next_due = min(candidate.next_placement_at() for candidate in used) if len(cells) <= MAX_CELLS_COMPARED else now
        self.next_at = max(now + TICK_INTERVAL, next_due)

    def _update_estimates(self, cells: list[Cell], now: float) -> None:
        self.last_estimate_at = now
        self.slow_start.update_estimates(cells, now)
        utilization = pooled_mean([cell.reported_utilization for cell in cells], 0.0)
        self.global_concurrency.load_reports.append(LoadReport(now, utilization, None, 0.0, 0))
