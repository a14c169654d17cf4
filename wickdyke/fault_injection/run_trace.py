"""The trace that the scenario runner writes; the kinds of its lines and their keys are defined only here."""

from wickdyke.config.endpoint_file import EndpointRow
from wickdyke.fault_injection.faults import Fault
from wickdyke.fault_injection.scenario import Scenario, cell_of, worker_names, zone_of
from wickdyke.fault_injection.trace import TraceRecorder

WRITER = "director"  # the name of the runner in traces


class RunTrace:
    """The runner's trace. Each method writes one line; raises InvalidTraceError where it is not written."""

    def __init__(self, path: str) -> None:
        """Opens the trace for appending; raises OSError."""
        self._record = TraceRecorder(path, WRITER)

    def run_settings(self, scenario: Scenario) -> None:
        """Records the settings of the scenario that the rule checker needs."""
        slow_start = scenario.slow_start
        quota = scenario.prewarm_quota
        self._record(
            "terms",
            transit=scenario.transit_ms,
            overlap=scenario.overlap,
            drain_grace=scenario.drain_grace_ms,
            warmup={
                "start_share": slow_start.start_share,
                "ramp": slow_start.ramp_ms,
                "multiple": slow_start.overload_multiple,
                "window": slow_start.window_ms,
            },
            ration={"free": quota.free, "share": quota.share, "window": quota.window_ms},
            methods=_request_classes(scenario),
            workers=_workers(scenario),
        )

    def endpoint_listed(self, row: EndpointRow, time_ms: float | None = None) -> None:
        """Records that the endpoint file lists a worker in a state, since `time_ms` (trace clock) or since now."""
        self._record("told", time_ms, worker=row.name, state=row.state, start=row.start)

    def gateway_started(self, name: str) -> None:
        """Records that the process of a gateway is about to be started."""
        self._record("gateway-started", gateway=name)

    def gateway_killed(self, name: str) -> None:
        """Records that a gateway was killed."""
        self._record("gateway-killed", gateway=name)

    def worker_ended(self, name: str) -> None:
        """Records that a worker was killed, or ended by itself."""
        self._record("worker-killed", worker=name)

    def fault_injected(self, fault: Fault) -> None:
        """Records that a fault of the scenario is about to be injected."""
        self._record("trouble", text=str(fault))


def _request_classes(scenario: Scenario) -> dict[str, object]:
    return {
        request_class.name: {
            "effect": request_class.effect.value,
            "scope": request_class.scope.value,
            "window": request_class.key_lifetime_ms,
            "soft": request_class.soft_deadline_ms,
        }
        for request_class in scenario.request_classes
    }


def _workers(scenario: Scenario) -> dict[str, object]:
    return {
        name: {
            "zone": zone_of(scenario, name),
            "cell": cell_of(name),
            "capacity": scenario.cores * scenario.speed,
        }
        for name in worker_names(scenario)
    }
