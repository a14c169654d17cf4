"""Tells the router what happens, takes its decisions, and records both where a recording is wanted."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from wickdyke.routing.decisions import Decision
from wickdyke.routing.model import RequestClass
from wickdyke.routing.router import Router

if TYPE_CHECKING:  # only one of the two gateways records
    from wickdyke.gateway.recording import DecisionRecorder

ROUTER_SETTINGS = (
    "instance",
    "attempt_limits",
    "function_cache",
    "slow_start",
    "prewarm_quota",
    "discovery",
    "cost_weights",
    "tenant_quotas",
)


class RouterDriver:
    """Owns the router. `has_input` is whether it was told something since its decisions were last taken."""

    def __init__(
        self,
        now: float,
        seed: int,
        request_classes: list[RequestClass],
        settings: dict[str, object],
        recorder: "DecisionRecorder | None",
    ) -> None:
        self.recorder, self.has_input = recorder, False
        if recorder is not None:
            recorder.start(now, seed, request_classes, settings)
        self.router = Router(now, seed, request_classes, **settings)

    def is_due(self, now: float) -> bool:
        """Whether decisions are to be taken now."""
        return self.has_input or self.router.wake_at <= now

    def inform(self, now: float, name: str, *args: object) -> None:
        """Tells the router one thing: the input of that name. That only updates its state."""
        if self.recorder is not None:
            self.recorder.heard(now, name, args)
        self.router.advance(now)
        getattr(self.router, name)(*args)
        self.has_input = True

    def decisions(self, now: float) -> Iterator[Decision]:
        """Takes all decisions that there are now."""
        self.has_input = False
        self.router.advance(now)
        if self.recorder is not None:
            self.recorder.heard(now, "decide", ())
        while (decision := self.router.decide()) is not None:
            if self.recorder is not None:
                self.recorder.decided(decision)
            yield decision
