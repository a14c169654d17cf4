"""The settings of a run that the rules refer to, as the trace states them."""

from collections.abc import Iterable
from enum import Enum

import msgspec

from wickdyke.fault_injection.rule_checker.trace_events import KIND_KEY, SETTINGS_KIND, Entry
from wickdyke.fault_injection.trace import InvalidTraceError


class Effect(Enum):
    """What a second execution of a request does; the values are the words of the trace."""

    IDEMPOTENT = "idempotent"
    SIDE_EFFECTING = "side-effecting"
    IDEMPOTENCY_KEY = "tokened"  # executed once within a group of workers and a time


class Scope(Enum):
    """The group of workers that share idempotency keys; the values are the words of the trace."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class MethodSettings(msgspec.Struct):
    """A method: its effect, where and how long (ms) its idempotency key is valid, its soft deadline (ms)."""

    effect: Effect
    scope: Scope
    key_lifetime_ms: float = msgspec.field(name="window")
    soft_deadline_ms: float = msgspec.field(name="soft")

    @property
    def repeatable_everywhere(self) -> bool:
        """Whether executing a request again is harmless on any worker."""
        if self.effect is Effect.IDEMPOTENCY_KEY:
            return self.scope is Scope.ALL
        return self.effect is Effect.IDEMPOTENT


class WorkerSettings(msgspec.Struct):
    """A worker: its capacity (ms of work a ms) and where it is."""

    capacity: float
    zone: str | None = None
    cell: int | None = None

    def group(self, scope: Scope) -> str | int | None:
        """The worker's group within a scope; None for ALL."""
        if scope is Scope.ZONE:
            return self.zone
        return self.cell if scope is Scope.CELL else None


class SlowStartSettings(msgspec.Struct):
    """Capacity grows from `start_share` to 1 within `ramp_ms`; a worker withstands `multiple` of it in `window_ms`."""

    start_share: float
    ramp_ms: float = msgspec.field(name="ramp")
    multiple: float
    window_ms: float = msgspec.field(name="window")

    def work_limit_ms(self, age_ms: float, capacity: float) -> float:
        """How much work a worker of that age may be sent within the window."""
        share = self.start_share + (1 - self.start_share) * age_ms / self.ramp_ms
        return self.multiple * share * capacity * self.window_ms


class PrewarmQuotaSettings(msgspec.Struct):
    """Prewarms within `window_ms`: `free`, and `share` more for each request. A window of 0: no quota."""

    free: float
    share: float
    window_ms: float = msgspec.field(name="window")


class RunSettings(msgspec.Struct):
    """The settings of a run. Times are in ms.

    Attributes:
        overlap_allowed: whether a request may be at two workers at once.
        drain_grace_ms: how long after it was published a drain need not be kept yet.
        slow_start: what workers in slow start withstand.
        prewarm_quota: how many prewarms a gateway may order.
        methods: by name.
        workers: by name.
        transit_ms: allowed between a send and the line that shows it.
    """

    overlap_allowed: bool = msgspec.field(name="overlap")
    drain_grace_ms: float = msgspec.field(name="drain_grace")
    slow_start: SlowStartSettings = msgspec.field(name="warmup")
    prewarm_quota: PrewarmQuotaSettings = msgspec.field(name="ration")
    methods: dict[str, MethodSettings]
    workers: dict[str, WorkerSettings]
    transit_ms: float = msgspec.field(default=0.0, name="transit")


def parse_settings(entries: Iterable[Entry]) -> RunSettings:
    """The settings in the trace; raises InvalidTraceError where they are missing or incomplete."""
    for entry in entries:
        if entry[KIND_KEY] == SETTINGS_KIND:
            try:
                return msgspec.convert(entry, type=RunSettings)
            except msgspec.ValidationError as error:
                raise InvalidTraceError(f"found unusable settings of the run: {error}") from None
    raise InvalidTraceError("found no terms in the trace, expected the line that states them")
