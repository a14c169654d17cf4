"""A command to a worker, rendered when its first byte is sent, with the time left at that moment."""

import math
from collections.abc import Callable
from typing import Protocol

from wickdyke.gateway import interfaces
from wickdyke.gateway.interfaces import CommandKey, CommandKind, Withdrawal
from wickdyke.transport.event_loop import clock


class CommandConnection(Protocol):
    """The connection that a command is assigned to, as the command's owner uses it."""

    def withdraw(self, command: "Command") -> bool:
        """Withdraws the command; returns False where a byte of it may have been sent, or it has ended."""

    def cancel(self, command: "Command", done: Callable[[], None]) -> Withdrawal:
        """Cancels a command that was sent. Returns what `interfaces.WorkerClient.cancel` does."""

    def abandon(self, command: "Command") -> bool:
        """Stops waiting for the answer; returns False where the command has already ended."""


class Command(interfaces.Command):
    """One message to a worker that expects an answer.

    `content` is the message as bytes, or a function that renders it given the whole ms left until `deadline` (monotonic
    ms), at least 1. `send_count` is the number of connections it was assigned to.
    """

    __slots__ = ("connection", "content", "deadline", "ident", "send_count", "sent_at")

    def __init__(
        self,
        kind: CommandKind,
        key: CommandKey,
        ident: bytes,
        content: bytes | Callable[[int], bytes],
        deadline: float = math.inf,
    ) -> None:
        super().__init__(kind, key)
        self.ident = ident
        self.content = content
        self.deadline = deadline
        self.connection: CommandConnection | None = None  # also None once withdrawn from the liveness probe
        self.sent_at = 0.0  # ms
        self.send_count = 0

    def may_begin_at(self, now: float) -> bool:
        """Whether the first byte may be sent at `now` (monotonic ms); what was decided may have lapsed since."""
        return now < min(self.deadline, self.begin_before) and self.may_begin(now)

    def render(self) -> bytes | None:
        """Returns the bytes to send now; None where the command may not begin any more."""
        now = clock()
        if not self.may_begin_at(now):
            return None
        self.began_at = now
        # Rounded down, so that the worker is never given more time than is left.
        return self.content(max(1, math.floor(self.deadline - now))) if callable(self.content) else self.content
