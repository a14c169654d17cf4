"""The load report of a fake worker."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """The load of a worker at one moment.

    Attributes:
        running_attempts: attempts that run on a core.
        cores: the number of cores.
        neighbour_share: fraction of the CPU that other processes use.
        in_flight: attempts that have not ended.
        loads: replicas that are loading or wait to be loaded.
        pinned_fraction: fraction of the memory that can't be freed.
    """

    running_attempts: int
    cores: int
    neighbour_share: float
    in_flight: int
    loads: int
    pinned_fraction: float


def load_report(load: WorkerLoad) -> dict[str, float]:
    """Returns the report as sent over the wire; its keys are defined only here."""
    return {
        "busy": min(1.0, load.running_attempts / load.cores + load.neighbour_share),
        "held": float(load.in_flight),
        "queue": float(max(0, load.in_flight - load.running_attempts)),
        "loads": float(load.loads),
        "pinned": load.pinned_fraction,
    }
