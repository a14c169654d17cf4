"""Passes inputs to the router, takes its decisions, and records both where a recording is wanted."""

from collections.abc import Iterator
from dataclasses import fields
from typing import TYPE_CHECKING, Any

from wickdyke.routing.decisions import Decision
from wickdyke.routing.model import RequestClass
from wickdyke.routing.router import Router
from wickdyke.routing.settings import RouterSettings

if TYPE_CHECKING:  # only one of the two gateways records
    from wickdyke.gateway.recording import DecisionRecorder


def settings_of(config: Any) -> RouterSettings:
    """The router's part of a gateway's settings, of which each record is an attribute of the same name."""
    return RouterSettings(**{field.name: getattr(config, field.name) for field in fields(RouterSettings)})


class RouterDriver:
    """Owns the router. `has_input` is whether it was given an input since its decisions were last taken."""

    def __init__(
        self,
        now: float,
        seed: int,
        request_classes: list[RequestClass],
        settings: RouterSettings,
        recorder: "DecisionRecorder | None",
    ) -> None:
        """Makes the router, and begins the recording if there is to be one."""
        self.recorder = recorder
        self.has_input = False
        if recorder is not None:
            recorder.start(now, seed, request_classes, settings)
        self.router = Router(now, seed, request_classes, settings)

    def is_due(self, now: float) -> bool:
        """Whether decisions are to be taken now."""
        return self.has_input or self.router.wake_at <= now

    def inform(self, now: float, name: str, *args: object) -> None:
        """Passes one input to the router: `name` is the method that takes it. That only updates its state."""
        if self.recorder is not None:
            self.recorder.record_input(now, name, args)
        self.router.advance(now)
        getattr(self.router, name)(*args)
        self.has_input = True

    def decisions(self, now: float) -> Iterator[Decision]:
        """Takes all decisions that there are now."""
        self.has_input = False
        self.router.advance(now)
        if self.recorder is not None:
            self.recorder.record_input(now, "decide", ())
        while (decision := self.router.decide()) is not None:
            if self.recorder is not None:
                self.recorder.record_decision(decision)
            yield decision
