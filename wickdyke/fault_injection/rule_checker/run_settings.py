"""The settings of a run that the rules depend on, read from the trace."""

from collections.abc import Iterable
from enum import Enum

import msgspec

from wickdyke.fault_injection.rule_checker.trace_events import KIND_KEY, SETTINGS_KIND, Entry
from wickdyke.fault_injection.trace import InvalidTraceError


class Effect(Enum):
    """Whether a request may be executed a second time; the values are those in the trace."""

    IDEMPOTENT = "idempotent"
    SIDE_EFFECTING = "side-effecting"
    IDEMPOTENCY_KEY = "tokened"  # executed once per key, within a group of workers and the lifetime of the key


class Scope(Enum):
    """The group of workers that share idempotency keys; the values are those in the trace."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class MethodSettings(msgspec.Struct):
    """A method: its effect, the scope and lifetime (ms) of its idempotency keys, and its soft deadline (ms)."""

    effect: Effect
    scope: Scope
    key_lifetime_ms: float = msgspec.field(name="window")
    soft_deadline_ms: float = msgspec.field(name="soft")

    @property
    def repeatable_on_any_worker(self) -> bool:
        """Whether a request may be executed again on any worker."""
        if self.effect is Effect.IDEMPOTENCY_KEY:
            return self.scope is Scope.ALL
        return self.effect is Effect.IDEMPOTENT


class WorkerSettings(msgspec.Struct):
    """A worker: its capacity (ms of work per ms) and its location."""

    capacity: float
    zone: str | None = None
    cell: int | None = None

    def group(self, scope: Scope) -> str | int | None:
        """Returns the worker's group within a scope, None for ALL."""
        if scope is Scope.ZONE:
            return self.zone
        return self.cell if scope is Scope.CELL else None


class SlowStartSettings(msgspec.Struct):
    """Slow start: capacity grows from `start_share` to 1 of the full capacity within `ramp_ms`.

    A worker in slow start may receive at most `multiple` times its present capacity in work within `window_ms`.
    """

    start_share: float
    ramp_ms: float = msgspec.field(name="ramp")
    multiple: float
    window_ms: float = msgspec.field(name="window")

    def work_limit_ms(self, age_ms: float, capacity: float) -> float:
        """Returns how much work (ms) a worker of that age may receive within the window."""
        share = self.start_share + (1 - self.start_share) * age_ms / self.ramp_ms
        return self.multiple * share * capacity * self.window_ms


class PrewarmQuotaSettings(msgspec.Struct):
    """Allows `free` prewarms within `window_ms`, and `share` more for each request. A window of 0 means no quota."""

    free: float
    share: float
    window_ms: float = msgspec.field(name="window")


class RunSettings(msgspec.Struct):
    """The settings of a run. Times are in ms.

    Attributes:
        overlap_allowed: whether attempts of a request may be in progress at two workers at once.
        drain_grace_ms: how long after a drain was published the worker may still receive messages.
        slow_start: the limit of work for workers in slow start.
        prewarm_quota: how many prewarms a gateway may send.
        methods: by name.
        workers: by name.
        transit_ms: the delay allowed between the sending of a message and the line that records it.
    """

    overlap_allowed: bool = msgspec.field(name="overlap")
    drain_grace_ms: float = msgspec.field(name="drain_grace")
    slow_start: SlowStartSettings = msgspec.field(name="warmup")
    prewarm_quota: PrewarmQuotaSettings = msgspec.field(name="ration")
    methods: dict[str, MethodSettings]
    workers: dict[str, WorkerSettings]
    transit_ms: float = msgspec.field(default=0.0, name="transit")


def parse_settings(entries: Iterable[Entry]) -> RunSettings:
    """Returns the settings in the trace; raises InvalidTraceError where they are missing or incomplete."""
    for entry in entries:
        if entry[KIND_KEY] == SETTINGS_KIND:
            try:
                return msgspec.convert(entry, type=RunSettings)
            except msgspec.ValidationError as error:
                raise InvalidTraceError(f"found invalid settings of the run: {error}") from None
    raise InvalidTraceError('found no line "terms" in the trace, expected one with the settings of the run')
