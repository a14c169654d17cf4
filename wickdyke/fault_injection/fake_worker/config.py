"""Settings of a fake worker, as JSON in the first argument of its command line."""

import msgspec


class FakeWorkerConfig(msgspec.Struct):
    """The settings of a fake worker. Times are in ms, memory in MB; `name=` maps a field to its JSON key.

    Attributes:
        name: the worker's name, also in the trace.
        socket: path of the Unix socket that gateways connect to.
        trace: path of the trace file.
        store: path of the Unix socket of the fake store.
        start: number of this start of the worker.
        seed: seed of the random draws.
        cores: attempts that run at once.
        speed: ms of work that one core does per ms.
        memory_mb: memory for replicas.
        idle_life: time after which an idle replica is unloaded.
        max_concurrent_loads: replicas that load at once; further loads wait.
        queue_capacity: attempts accepted at once; further attempts are rejected.
        start_share: fraction of full capacity at the start of the slow start.
        ramp: duration of the slow start.
        multiple: a worker in slow start crashes when sent more than this many times its capacity within `window`.
        window: time over which received work is summed for `multiple`.
        fetch_fraction: fraction of the load time that the fetch from the store takes.
        report_interval: time between two samples of the load report.
        loads_on_demand: whether an attempt without a replica starts a load; otherwise it is rejected.
        warming_up: whether the worker starts with a slow start.
    """

    name: str
    socket: str
    trace: str
    store: str
    start: int
    seed: int
    cores: int = 4
    speed: float = 1.0
    memory_mb: float = 16000.0
    idle_life: float = 8000.0
    max_concurrent_loads: int = msgspec.field(default=4, name="loads_at_once")
    queue_capacity: int = msgspec.field(default=200, name="queue_most")
    start_share: float = 0.25
    ramp: float = 8000.0
    multiple: float = 3.0
    window: float = 1500.0
    fetch_fraction: float = msgspec.field(default=0.6, name="fetch_part")
    report_interval: float = msgspec.field(default=200.0, name="refresh")
    loads_on_demand: bool = msgspec.field(default=True, name="loads_on_call")
    warming_up: bool = msgspec.field(default=True, name="cold")
