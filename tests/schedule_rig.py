"""Helpers for the tests of a worker's schedule."""

from dataclasses import fields

from wickdyke.worker.actions import Kill, PrewarmDone, PrewarmFailed, Reject, Run, StartLoad, Stop, Unload
from wickdyke.worker.model import ScheduleLimits
from wickdyke.worker.schedule import Schedule
from wickdyke.worker.slow_start import SlowStart

ACTION_NAMES = {
    StartLoad: "load",
    Unload: "unload",
    Kill: "kill",
    Run: "run",
    Stop: "stop",
    Reject: "reject",
    PrewarmDone: "prewarmed",
    PrewarmFailed: "prewarm failed",
}


def new_schedule(  # noqa: PLR0913 - the limits of a worker, each with a default
    memory=100.0,
    concurrency=4,
    load_concurrency=2,
    max_requests=20,
    idle_timeout=1000.0,
    run_timeout=500.0,
    stop_timeout=100.0,
    slow_start=None,
):
    """A schedule at time 0 with the given limits."""
    limits = ScheduleLimits(
        memory,
        concurrency,
        load_concurrency,
        max_requests,
        idle_timeout,
        run_timeout,
        stop_timeout,
        slow_start or SlowStart(),
    )
    return Schedule(0.0, limits)


def iter_actions(schedule):
    """Yields each action as a tuple of its name and its fields."""
    for action in iter(schedule.next_action, None):
        yield ACTION_NAMES[type(action)], *(getattr(action, field.name) for field in fields(action))


def take_actions(schedule):
    """All actions that are due now."""
    return list(iter_actions(schedule))


def summarize(actions):
    """The names of actions, each with the key or function of its subject, and with its texts."""
    return [
        (
            action_name,
            getattr(subject, "key", None) or subject.function.name,
            *(value for value in values if isinstance(value, str)),
        )
        for action_name, subject, *values in actions
    ]


def load_replica(schedule, name, memory=10.0, concurrency=1):
    """Loads a replica, and returns it ready."""
    schedule.prewarm(f"h-{name}", name, memory, concurrency, 1)
    replica = next(subject for action_name, subject, *_ in take_actions(schedule) if action_name == "load")
    schedule.load_finished(replica, None)
    take_actions(schedule)
    return replica
