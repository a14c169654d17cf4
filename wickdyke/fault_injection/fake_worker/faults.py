"""Faults of a fake worker: orders, triggers, and what is in force."""

from enum import StrEnum

import msgspec


class FaultKind(StrEnum):
    """What can go wrong; the values are the words in orders and in the trace."""

    DIE = "die"
    DRAIN = "drain"
    RELEASE = "release"  # unloads all idle replicas
    AGE = "age"  # gets slower step by step
    HANG = "hang"  # answers nothing
    SLOW = "slow"
    FAIL = "fail"  # rejects a share of attempts
    LOSE = "lose"  # a share of answers is never sent
    NEIGHBOUR = "neighbour"  # a share of the CPU goes to others
    LATE = "late"  # one answer after its deadline


class TriggerEvent(StrEnum):
    """What a trigger counts; the values are the words in orders."""

    ATTEMPT = "call-out"
    LOAD = "load"


class FaultOrder(msgspec.Struct):
    """An order to fail. `value` depends on the kind: a factor, a share or ms; `duration_ms` None: until the end."""

    kind: FaultKind = msgspec.field(name="fault")
    value: float = 1.0
    duration_ms: float | None = msgspec.field(default=None, name="for")


class FaultTrigger(msgspec.Struct):
    """An order that takes effect at the `nth` event of a kind."""

    event: TriggerEvent = msgspec.field(name="on")
    nth: int
    order: FaultOrder = msgspec.field(name="fault")


def parse_order(line: str) -> FaultOrder | FaultTrigger:
    """An order from a line of JSON; raises msgspec.MsgspecError where it is none."""
    fields = msgspec.json.decode(line, type=dict[str, object])
    if "on" in fields:
        return msgspec.convert(fields, type=FaultTrigger)
    return msgspec.convert(fields, type=FaultOrder)


class FaultTriggers:
    """Counts events and gives the orders that are due at them."""

    def __init__(self) -> None:
        self.counts = dict.fromkeys(TriggerEvent, 0)
        self.triggers: list[FaultTrigger] = []

    def add(self, trigger: FaultTrigger) -> None:
        """Waits for the event of a trigger."""
        self.triggers.append(trigger)

    def count(self, event: TriggerEvent) -> list[FaultOrder]:
        """Counts one event; the orders due at it are given once."""
        self.counts[event] += 1
        due = [trigger for trigger in self.triggers if trigger.event == event and trigger.nth == self.counts[event]]
        for trigger in due:
            self.triggers.remove(trigger)
        return [trigger.order for trigger in due]


class ActiveFaults:
    """The faults in force and their values."""

    def __init__(self) -> None:
        self.values: dict[FaultKind, float] = {}
        self.aging_step = 0.0

    def activate(self, kind: FaultKind, value: float) -> None:
        """Puts a fault in force."""
        self.values[kind] = value

    def clear(self, kind: FaultKind) -> None:
        """Ends a fault."""
        self.values.pop(kind, None)

    def start_aging(self, factor: float, duration_ms: float, interval_ms: float) -> None:
        """From now on `age`, called every `interval_ms`, adds `factor` to the slowdown within `duration_ms`."""
        self.values[FaultKind.AGE] = 0.0
        self.aging_step = factor * interval_ms / max(1.0, duration_ms)

    def age(self) -> None:
        """One step of aging, if that is in force."""
        if FaultKind.AGE in self.values:
            self.values[FaultKind.AGE] += self.aging_step

    def take_lateness(self) -> float | None:
        """How far past its deadline the next attempt is to be answered (ms), once; None where it is not."""
        return self.values.pop(FaultKind.LATE, None)

    @property
    def hanging(self) -> bool:
        """Whether the worker answers nothing."""
        return FaultKind.HANG in self.values

    @property
    def slowdown(self) -> float:
        """How many times slower work is, by slowness and age."""
        return self.values.get(FaultKind.SLOW, 1.0) * (1 + self.values.get(FaultKind.AGE, 0.0))

    @property
    def neighbour_share(self) -> float:
        """The part of the CPU that goes to others."""
        return self.values.get(FaultKind.NEIGHBOUR, 0.0)

    @property
    def failure_rate(self) -> float:
        """The part of attempts that is rejected."""
        return self.values.get(FaultKind.FAIL, 0.0)

    @property
    def answer_loss_rate(self) -> float:
        """The part of answers that is never sent."""
        return self.values.get(FaultKind.LOSE, 0.0)
