"""Passes inputs to the router, takes its decisions, and optionally records both."""

from collections.abc import Iterator
from dataclasses import fields
from typing import TYPE_CHECKING, Any

from wickdyke.routing.decisions import Decision
from wickdyke.routing.model import RequestClass
from wickdyke.routing.router import Router
from wickdyke.routing.settings import RouterSettings

if TYPE_CHECKING:  # only one of the two gateways makes recordings
    from wickdyke.gateway.recording import DecisionRecorder


def settings_of(config: Any) -> RouterSettings:
    """Returns the router's settings: each of its fields is an attribute of the same name of the gateway's settings."""
    return RouterSettings(**{field.name: getattr(config, field.name) for field in fields(RouterSettings)})


class RouterDriver:
    """Owns the router. `has_input` tells whether the router got an input since its decisions were last taken."""

    def __init__(
        self,
        now: float,
        seed: int,
        request_classes: list[RequestClass],
        settings: RouterSettings,
        recorder: "DecisionRecorder | None",
    ) -> None:
        """Creates the router, and starts the recording if there is a recorder."""
        self.recorder = recorder
        self.has_input = False
        if recorder is not None:
            recorder.start(now, seed, request_classes, settings)
        self.router = Router(now, seed, request_classes, settings)

    def is_due(self, now: float) -> bool:
        """Whether decisions should be taken now."""
        return self.has_input or self.router.wake_at <= now

    def apply_input(self, now: float, name: str, *args: object) -> None:
        """Passes one input to the router's method `name`, which only updates the router's state."""
        if self.recorder is not None:
            self.recorder.record_input(now, name, args)
        self.router.advance(now)
        getattr(self.router, name)(*args)
        self.has_input = True

    def decisions(self, now: float) -> Iterator[Decision]:
        """Yields the router's decisions at time `now` until there are no more."""
        self.has_input = False
        self.router.advance(now)
        if self.recorder is not None:
            self.recorder.record_input(now, "decide", ())
        while (decision := self.router.decide()) is not None:
            if self.recorder is not None:
                self.recorder.record_decision(decision)
            yield decision
