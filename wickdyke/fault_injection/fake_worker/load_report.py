"""The load report of a fake worker."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """The load of a worker at one moment.

    Attributes:
        running: attempts on a core.
        cores: how many there are.
        neighbour_share: part of the CPU that goes to others.
        in_flight: attempts that have not ended.
        loads: replicas loading or waiting for it.
        pinned_fraction: part of the memory that can't be freed.
    """

    running: int
    cores: int
    neighbour_share: float
    in_flight: int
    loads: int
    pinned_fraction: float


def load_report(load: WorkerLoad) -> dict[str, float]:
    """The report as it goes over the wire; its words stand here alone."""
    return {
        "busy": min(1.0, load.running / load.cores + load.neighbour_share),
        "held": float(load.in_flight),
        "queue": float(max(0, load.in_flight - load.running)),
        "loads": float(load.loads),
        "pinned": load.pinned_fraction,
    }
