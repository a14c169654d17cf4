"""Converts recordings that were written with earlier names of inputs, settings, decisions and log notes.

Each table maps earlier names to the current ones.
"""

import re
from typing import Any

INPUTS = {
    "took": "request_received",
    "ended": "attempt_finished",
    "held": "prewarm_finished",
    "probed": "health_checked",
    "listed": "endpoints_changed",
    "left": "client_gone",
    "began": "answer_begun",
}
DECISIONS = {
    "call": "forward",
    "deny": "reject",
    "abort": "fail",
    "hold": "prewarm",
    "probe": "health_check",
    "follow_list": "follow_endpoints",
}
SETTINGS = {
    "seat": "instance",
    "allowance": "attempt_limits",
    "stock": "function_cache",
    "warmup": "slow_start",
    "ration": "prewarm_quota",
    "directory": "discovery",
    "tariff": "cost_weights",
    "shares": "tenant_quotas",
}
SETTINGS_FIELDS = {
    "instance": {"number": "index", "of": "count", "report": "report_fields", "by_work": "weight_by_work"},
    "attempt_limits": {
        "call_outs": "attempts",
        "overlap": "hedging",
        "probe": "health_checks",
        "dial": "connect_timeout",
        "idle_close": "idle_timeout",
    },
    "function_cache": {
        "idle_life": "idle_timeout",
        "may_hold": "may_prewarm",
        "loads_on_call": "loads_on_demand",
        "hold_wait": "prewarm_timeout",
        "tells_standing": "reports_warmth",
        "tells_company": "reports_concurrency",
    },
    "discovery": {"ask_within": "poll_within"},
    "cost_weights": {"probe": "health_check", "crossing": "cross_zone"},
}
REQUEST_CLASS = {
    "window": "dedupe_window",
    "soft": "latency_objective",
    "soft_stretch": "objective_per_work",
    "gain": "priority_weight",
    "late_gain": "late_weight",
}
ROUTE_POLICY = {
    "soft": "latency_objective",
    "attempt": "attempt_timeout",
    "pause": "backoff",
    "again": "retryable",
    "second": "hedge",
    "budget": "budget_terms",
    "queue": "queue_timeout",
    "account": "budget_key",
}
ENDPOINT = {"born": "started_at"}
REPORT_FIELDS = {"held": "in_flight", "busy": "utilization", "queue": "queued"}
LOG_NOTES = (  # (pattern of the earlier text, replacement)
    (re.compile(r" shunned for "), " ejected for "),
    (re.compile(r"silent with (\d+) out$"), r"silent with \1 in flight"),
)


def upgrade_entry(entry: list[Any]) -> list[Any]:
    """Returns an entry of a recording with its current names; an entry that has them already is unchanged."""
    match entry:
        case ["start", now, seed, classes, settings]:
            return [
                "start",
                now,
                seed,
                [_rename_keys(record, REQUEST_CLASS) for record in classes],
                _upgrade_settings(settings),
            ]
        case ["heard", now, name, args]:
            return ["heard", now, INPUTS.get(name, name), _upgrade_arguments(INPUTS.get(name, name), args)]
        case ["decided", ["note", text]]:
            return ["decided", ["note", _upgrade_note(text)]]
        case ["decided", [kind, *fields]]:
            return ["decided", [DECISIONS.get(kind, kind), *fields]]
    return entry


def _rename_keys(record: dict[str, Any], names: dict[str, str]) -> dict[str, Any]:
    return {names.get(name, name): value for name, value in record.items()}


def _upgrade_settings(settings: dict[str, Any]) -> dict[str, Any]:
    with_section_names = _rename_keys(settings, SETTINGS)
    renamed = {name: _rename_keys(record, SETTINGS_FIELDS.get(name, {})) for name, record in with_section_names.items()}
    if "instance" in renamed:
        fields = renamed["instance"]["report_fields"]
        renamed["instance"]["report_fields"] = [REPORT_FIELDS.get(field, field) for field in fields]
    return renamed


def _upgrade_arguments(name: str, args: list[Any]) -> list[Any]:
    if name == "endpoints_changed":
        return [[_rename_keys(endpoint, ENDPOINT) for endpoint in args[0]], *args[1:]]
    if name == "request_received" and isinstance(args[-1], dict):
        return [*args[:-1], _rename_keys(args[-1], ROUTE_POLICY)]
    return args


def _upgrade_note(text: str) -> str:
    for old, new in LOG_NOTES:
        text = old.sub(new, text)
    return text
