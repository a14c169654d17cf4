"""Set-up that the tests of a worker's schedule share."""

from dataclasses import fields

from wickdyke.worker.actions import Kill, PrewarmDone, PrewarmFailed, Reject, Run, StartLoad, Stop, Unload
from wickdyke.worker.model import ScheduleLimits
from wickdyke.worker.schedule import Schedule
from wickdyke.worker.slow_start import SlowStart

VERBS = {
    StartLoad: "load",
    Unload: "unload",
    Kill: "end",
    Run: "run",
    Stop: "stop",
    Reject: "refuse",
    PrewarmDone: "held",
    PrewarmFailed: "unheld",
}


def new_schedule(  # noqa: PLR0913 - the limits of a worker, each with a default
    memory=100.0,
    at_once=4,
    loads_at_once=2,
    queue=20,
    idle_life=1000.0,
    run_time=500.0,
    stop_within=100.0,
    slow_start=None,
):
    """A schedule at time 0 with these limits."""
    limits = ScheduleLimits(
        memory, at_once, loads_at_once, queue, idle_life, run_time, stop_within, slow_start or SlowStart()
    )
    return Schedule(0.0, limits)


def decisions(schedule):
    """The actions one at a time: a verb, and the fields of the action."""
    for action in iter(schedule.next_action, None):
        yield VERBS[type(action)], *(getattr(action, field.name) for field in fields(action))


def take_decisions(schedule):
    """All actions for now."""
    return list(decisions(schedule))


def summary(acts):
    """The verbs of actions, with the key or function they are about, and reasons."""
    return [
        (verb, getattr(it, "key", None) or it.function.name, *(value for value in more if isinstance(value, str)))
        for verb, it, *more in acts
    ]


def load_replica(schedule, name, memory=10.0, lanes=1):
    """A replica that is ready."""
    schedule.prewarm(f"h-{name}", name, memory, lanes, 1)
    replica = next(action for verb, action, *_ in take_decisions(schedule) if verb == "load")
    schedule.load_finished(replica, None)
    take_decisions(schedule)
    return replica
