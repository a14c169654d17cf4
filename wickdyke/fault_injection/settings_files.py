"""Formats the settings files of gateways, workers and stores for `wickdyke serve`, `worker` and `store`."""

from wickdyke.fault_injection.scenario import Effect, RequestClassTraffic, Scenario

SEEDS_PER_SCENARIO = 1000  # distance between the seeds of gateways of scenarios with successive seeds
STORE_SETTINGS = '(store (listen "store.sock") (folder "store"))'


def gateway_settings(scenario: Scenario, number: int) -> str:
    """Returns the settings of the scenario's gateway with that number (from 1)."""
    lines = [
        "(gateway",
        *_instance_lines(scenario, number),
        *_attempt_lines(scenario),
        *_limit_lines(scenario),
        *[_request_class_line(request_class) for request_class in scenario.request_classes],
    ]
    return "\n".join(lines) + ")\n"


def _instance_lines(scenario: Scenario, number: int) -> list[str]:
    zones = range(1, scenario.zone_count + 1)
    return [
        f'  (name "g{number}")',
        f'  (listen (json-rpc "g{number}.sock"))',
        '  (workers (file "workers.sexp") (reread 50 ms))',
        f"  (seat (number {number - 1}) (of {scenario.gateway_count}))",
        f"  (seed {scenario.seed * SEEDS_PER_SCENARIO + number})",
        f'  (kind "k" (memory {scenario.worker_memory_mb:g} MB))',
        *[f'  (zone "z{zone}")' for zone in zones],
        f'  (at "z{(number - 1) % scenario.zone_count + 1}")',
    ]


def _attempt_lines(scenario: Scenario) -> list[str]:
    pinned = " pinned" if scenario.real_workers else ""
    return [
        f"  (report busy held queue{pinned})",
        f"  (call-outs (most {scenario.max_attempts}) (overlap {_yes_or_no(scenario.overlap)})"
        f" (cancel {_yes_or_no(scenario.cancel_supported)}))",
        *(['  (routes (file "routes.sexp") (reread 50 ms))'] if scenario.routes else []),
    ]


def _limit_lines(scenario: Scenario) -> list[str]:
    slow_start = scenario.slow_start
    quota = scenario.prewarm_quota
    return [
        f"  (stock (idle-life {scenario.idle_lifetime_ms:g} ms) (may-hold {_yes_or_no(scenario.prewarming)}))",
        f"  (warmup (start-share {slow_start.start_share:g}) (ramp {slow_start.ramp_ms:g} ms)"
        f" (multiple {slow_start.overload_multiple:g}) (window {slow_start.window_ms:g} ms))",
        f"  (ration (free {quota.free:g}) (share {quota.share:g}) (window {quota.window_ms:g} ms))",
        f"  (drain-grace {scenario.drain_grace_ms:g} ms)",
        f"  (answer-way {scenario.response_transit_ms:g} ms)",
    ]


def _request_class_line(request_class: RequestClassTraffic) -> str:
    window = f" (window {request_class.key_lifetime_ms:g} ms)" if request_class.effect is Effect.IDEMPOTENCY_KEY else ""
    return (
        f'  (method "{request_class.name}" (effect {request_class.effect.value})'
        f" (scope {request_class.scope.value}){window}"
        f" (soft-deadline {request_class.soft_deadline_ms:g} ms) (deadline {request_class.deadline_ms:g} ms)"
        f" (gain {request_class.gain:g}) (late-gain {request_class.late_gain:g}))"
    )


def _yes_or_no(value: bool) -> str:
    return "yes" if value else "no"


def worker_settings(scenario: Scenario, name: str) -> str:
    """Returns the settings of one real worker of the scenario."""
    slow_start = scenario.slow_start
    return (
        f'(worker (name "{name}") (listen "{name}.sock") (store (service "store.sock"))\n'
        f'  (cache (folder "{name}.cache") (most 200 MB)) (memory {scenario.worker_memory_mb:g} MB)'
        f" (queue {scenario.queue_limit})\n"
        f"  (calls-at-once {scenario.cores}) (idle-life {scenario.idle_lifetime_ms:g} ms) (stop-within 300 ms)\n"
        f"  (ramp (start-share {slow_start.start_share:g}) (ramp {slow_start.ramp_ms:g} ms)))\n"
    )
