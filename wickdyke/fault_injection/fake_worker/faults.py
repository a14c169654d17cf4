"""Faults of a fake worker: the commands that start them, triggers, and the active faults."""

from enum import StrEnum

import msgspec


class FaultKind(StrEnum):
    """The kinds of faults; the values are those of commands and of the trace."""

    DIE = "die"
    DRAIN = "drain"
    RELEASE = "release"  # the worker unloads all idle replicas
    AGE = "age"  # work becomes slower step by step
    HANG = "hang"  # the worker answers nothing
    SLOW = "slow"  # work takes longer
    FAIL = "fail"  # the worker rejects a share of attempts
    LOSE = "lose"  # a share of answers is never sent
    NEIGHBOUR = "neighbour"  # other processes use a share of the CPU
    LATE = "late"  # one answer is sent after its deadline


class TriggerEvent(StrEnum):
    """The events that a trigger counts; the values are those of commands."""

    ATTEMPT = "call-out"
    LOAD = "load"


class FaultCommand(msgspec.Struct):
    """A command that starts a fault. `value` depends on the kind: a factor, a share or ms.

    `duration_ms` None means until the end of the process.
    """

    kind: FaultKind = msgspec.field(name="fault")
    value: float = 1.0
    duration_ms: float | None = msgspec.field(default=None, name="for")


class FaultTrigger(msgspec.Struct):
    """A command that takes effect at the `nth` event of a kind."""

    event: TriggerEvent = msgspec.field(name="on")
    nth: int
    command: FaultCommand = msgspec.field(name="fault")


def parse_command(line: str) -> FaultCommand | FaultTrigger:
    """Returns the command in a line of JSON; raises msgspec.MsgspecError where there is none."""
    fields = msgspec.json.decode(line, type=dict[str, object])
    if "on" in fields:
        return msgspec.convert(fields, type=FaultTrigger)
    return msgspec.convert(fields, type=FaultCommand)


class FaultTriggers:
    """Counts events and returns the commands that are due at them."""

    def __init__(self) -> None:
        self.event_counts = dict.fromkeys(TriggerEvent, 0)
        self.triggers: list[FaultTrigger] = []

    def add(self, trigger: FaultTrigger) -> None:
        """Adds a trigger, which waits for its event."""
        self.triggers.append(trigger)

    def record_event(self, event: TriggerEvent) -> list[FaultCommand]:
        """Counts one event and returns the commands due at it; each command is returned once."""
        self.event_counts[event] += 1
        due = [
            trigger for trigger in self.triggers if trigger.event == event and trigger.nth == self.event_counts[event]
        ]
        for trigger in due:
            self.triggers.remove(trigger)
        return [trigger.command for trigger in due]


class ActiveFaults:
    """The active faults and their values."""

    def __init__(self) -> None:
        self.values: dict[FaultKind, float] = {}
        self.aging_step = 0.0

    def activate(self, kind: FaultKind, value: float) -> None:
        """Activates a fault."""
        self.values[kind] = value

    def clear(self, kind: FaultKind) -> None:
        """Deactivates a fault."""
        self.values.pop(kind, None)

    def start_aging(self, factor: float, duration_ms: float, interval_ms: float) -> None:
        """Starts aging, which adds `factor` to the slowdown within `duration_ms`.

        The caller calls `advance_aging` every `interval_ms`.
        """
        self.values[FaultKind.AGE] = 0.0
        self.aging_step = factor * interval_ms / max(1.0, duration_ms)

    def advance_aging(self) -> None:
        """Advances aging by one step, if it is active."""
        if FaultKind.AGE in self.values:
            self.values[FaultKind.AGE] += self.aging_step

    def pop_late_answer_delay(self) -> float | None:
        """Ends the fault LATE; returns how long after its deadline (ms) to answer an attempt, None if inactive."""
        return self.values.pop(FaultKind.LATE, None)

    @property
    def hanging(self) -> bool:
        """Whether the worker leaves all messages unanswered."""
        return FaultKind.HANG in self.values

    @property
    def slowdown(self) -> float:
        """The factor by which work takes longer, from the faults SLOW and AGE."""
        return self.values.get(FaultKind.SLOW, 1.0) * (1 + self.values.get(FaultKind.AGE, 0.0))

    @property
    def neighbour_share(self) -> float:
        """The fraction of the CPU that other processes use."""
        return self.values.get(FaultKind.NEIGHBOUR, 0.0)

    @property
    def failure_rate(self) -> float:
        """The fraction of attempts that is rejected."""
        return self.values.get(FaultKind.FAIL, 0.0)

    @property
    def answer_loss_rate(self) -> float:
        """The fraction of answers that is never sent."""
        return self.values.get(FaultKind.LOSE, 0.0)
