"""Builds traces by hand. Each function returns an event: (time in ms, writer, kind of line, other keys)."""

SETTINGS = {
    "overlap": False,
    "drain_grace": 1000.0,
    "transit": 0.0,
    "warmup": {"start_share": 0.25, "ramp": 10000.0, "multiple": 2.0, "window": 1000.0},
    "ration": {"free": 2.0, "share": 0.5, "window": 5000.0},
    "methods": {
        "idem": {"effect": "idempotent", "scope": "all", "window": 0, "soft": 500},
        "side": {"effect": "side-effecting", "scope": "all", "window": 0, "soft": 500},
        "tok": {"effect": "tokened", "scope": "zone", "window": 1000, "soft": 500},
        "tokall": {"effect": "tokened", "scope": "all", "window": 1000, "soft": 500},
    },
    "workers": {
        "w1": {"zone": "z1", "capacity": 4.0},
        "w2": {"zone": "z1", "capacity": 4.0},
        "w3": {"zone": "z2", "capacity": 4.0},
    },
}


def trace(*events, **settings):
    """Returns the lines of a trace of these events, numbered in their order; `settings` override SETTINGS."""
    lines = [{"t": 0.0, "by": "director", "n": 0, "what": "terms", **SETTINGS, **settings}]
    for number, (time_ms, writer, kind, keys) in enumerate(events, 1):
        lines.append({"t": float(time_ms), "by": writer, "n": number, "what": kind, **keys})
    return sorted(lines, key=lambda line: (line["t"], line["by"], line["n"]))


def sent(time_ms, mark="a", method="idem", time_left=1000.0, gateway="g1"):
    """A client sends a request with a deadline `time_left` ms later."""
    return (
        time_ms,
        "c1",
        "asked",
        {"mark": mark, "method": method, "left": time_left, "gateway": gateway, "work": 10.0, "program": "p"},
    )


def answered(time_ms, answer="ok", mark="a"):
    """A client receives an answer."""
    return time_ms, "c1", "answered", {"mark": mark, "answer": answer, "gateway": "g1", "why": "", "call_outs": 1}


def lost(time_ms, mark="a", gateway="g1"):
    """A client loses the connection over which it sent a request."""
    return time_ms, "c1", "lost", {"mark": mark, "gateway": gateway}


def received(time_ms, worker="w1", mark="a", work=10.0, gateway="g1"):
    """A worker receives an attempt."""
    return time_ms, worker, "run", {"mark": mark, "gateway": gateway, "work": work, "program": "p", "start": 1}


def ended(time_ms, worker="w1", result="ok", mark="a"):
    """A worker ends an attempt."""
    return time_ms, worker, "end", {"mark": mark, "gateway": "g1", "how": result}


def cancelled(time_ms, worker="w1", mark="a"):
    """A worker receives the cancellation of an attempt."""
    return time_ms, worker, "cancel", {"mark": mark, "gateway": "g1"}


def gateway_killed(time_ms, gateway="g1"):
    """A gateway is killed."""
    return time_ms, "director", "gateway-killed", {"gateway": gateway}


def worker_killed(time_ms, worker="w1"):
    """A worker is killed."""
    return time_ms, "director", "worker-killed", {"worker": worker}


def published(time_ms, state, worker="w1"):
    """The endpoint list publishes a new state of a worker."""
    return time_ms, "director", "told", {"worker": worker, "state": state, "start": 1}


def prewarm(time_ms, replicas=1, worker="w1", gateway="g1"):
    """A worker receives a prewarm request; 0 replicas only query how many are loaded."""
    return time_ms, worker, "hold", {"gateway": gateway, "program": "p", "copies": replicas, "start": 1}


def worker_started(time_ms, worker="w1", warming_up=True):
    """A worker starts."""
    return time_ms, worker, "started", {"start": 2, "cold": warming_up}


def worker_crashed(time_ms, worker="w1"):
    """A worker in slow start crashes."""
    return time_ms, worker, "fell", {}


def gateway_started(time_ms, gateway="g1"):
    """A gateway starts."""
    return time_ms, "director", "gateway-started", {"gateway": gateway}
