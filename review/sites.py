"""Settings of small deployments, as a front end's configuration holds them. Durations are microseconds."""

from typing import Any


def lane(name: str, repeat: str, aim_ms: int, deadline_ms: int, gain: float, **more: Any) -> dict[str, Any]:
    """Returns a request class."""
    return {
        "name": name,
        "repeat": repeat,
        "aim": aim_ms * 1000,
        "deadline": deadline_ms * 1000,
        "gain": gain,
        "late-worth": 0.1,
        **more,
    }


def quay_forms(count: int, index: int) -> dict[str, Any]:
    """Returns the settings of one of `count` front ends of `deploy/sites/quay-forms.toml`."""
    return {
        "lanes": [
            lane("read-form", "pure", 700, 4000, 1.0),
            lane("book-slot", "token", 1100, 4500, 4.0, **{"key-scope": "zone", "window": 3000000}),
            lane("charge-fee", "side_effect", 1300, 5000, 6.0),
        ],
        "instances": count,
        "self-index": index,
        "zone": 0,
        "zones": ["north-quay", "south-quay"],
        "flavors": ["reader-4", "reader-2"],
        "tenants": [{"name": "hauliers", "quota-rps": 60.0}, {"name": "brokers", "quota-rps": 50.0}],
        "discovery": "automatic",
        "value-by": "request",
        "report": {"source": "piggyback", "fields": ["utilization", "outstanding", "backlog"]},
        "limits": {
            "send-cap": 4,
            "second-copies": False,
            "cancelling": False,
            "probing": True,
            "dial-timeout": 200000,
            "idle-close": 9000000,
            "retry-after": True,
            "max-retry-after": 800000,
        },
        "family-info": {
            "memory-mb-by-kind": [16000.0, 8000.0],
            "idle-life": 8000000,
            "may-load": True,
            "if-cold": "load",
            "load-wait": 10000000,
            "warm-notes": False,
            "says-company": False,
            "free-loads": 4.0,
            "load-part": 0.15,
            "load-window": 4000000,
            "idle-memory-cost": 0.04,
        },
        "prices": {"cross-zone": 0.03, "waste": 0.05, "probe": 0.012, "late-fail": 0.05, "origin": 0.04},
        "rules": {
            "cold-from": 0.2,
            "ramp-time": 15000000,
            "overload-factor": 3.0,
            "tip-after": 1500000,
            "stop-sending-within": 900000,
        },
    }


def walvis_main(count: int, index: int) -> dict[str, Any]:
    """Returns the settings of one of `count` front ends of `../given/kit/more/node/sites/walvis-main.toml`."""
    return {
        "lanes": [
            lane("position", "pure", 600, 5000, 2.0),
            lane("eta", "pure", 1200, 5000, 2.0),
            lane("seal-alert", "side_effect", 1500, 6000, 5.0),
        ],
        "instances": count,
        "self-index": index,
        "zone": 0,
        "zones": ["harbour-room"],
        "flavors": ["std-3", "slow-3"],
        "discovery": "automatic",
        "value-by": "request",
        "report": {"source": "pull", "fields": ["utilization", "outstanding", "x0"]},
        "limits": {
            "send-cap": 5,
            "second-copies": True,
            "cancelling": True,
            "probing": True,
            "dial-timeout": 250000,
            "idle-close": 15000000,
        },
        "family-info": {
            "memory-mb-by-kind": [48000.0, 48000.0],
            "idle-life": 10000000,
            "may-load": True,
            "if-cold": "load",
            "load-wait": 10000000,
            "warm-notes": True,
            "says-company": True,
            "free-loads": 6.0,
            "load-part": 0.2,
            "load-window": 5000000,
            "idle-memory-cost": 0.05,
        },
        "prices": {"waste": 0.08, "probe": 0.011, "late-fail": 0.067, "origin": 0.05},
        "rules": {
            "cold-from": 0.2,
            "ramp-time": 18000000,
            "overload-factor": 2.0,
            "tip-after": 2000000,
            "stop-sending-within": 500000,
        },
    }
