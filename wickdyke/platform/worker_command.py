"""A command to a worker, rendered with the time that is left at the moment its first byte is sent."""

import math
from collections.abc import Callable
from typing import Protocol

from wickdyke.gateway import interfaces
from wickdyke.gateway.interfaces import CommandKey, CommandKind, Withdrawal
from wickdyke.transport.event_loop import clock
from wickdyke.transport.write_buffer import OutgoingMessage


class CommandConnection(Protocol):
    """The connection that a command was handed to, for its withdrawal."""

    def withdraw(self, command: "Command") -> bool:
        """Takes the command back; False where a byte of it may have been sent, or it has ended."""

    def cancel(self, command: "Command", done: Callable[[], None]) -> Withdrawal:
        """Cancels a command that was sent. Returns what `interfaces.WorkerClient.cancel` does."""

    def abandon(self, command: "Command") -> bool:
        """Waits no longer for the answer; False where the command has ended."""


class Command(interfaces.Command):
    """One message to a worker that expects an answer.

    `content` is its bytes, or a function that renders them for the whole ms (one at least) that are left until
    `deadline` (monotonic ms). `sends` counts the connections it was handed to.
    """

    __slots__ = ("connection", "content", "deadline", "ident", "message", "sends", "sent_at")

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
        self.message: OutgoingMessage | None = None  # once its connection is established
        self.connection: CommandConnection | None = None  # None also once it is withdrawn while its fate is unresolved
        self.sent_at = 0.0  # ms
        self.sends = 0

    @property
    def begun(self) -> bool:
        """Whether a byte of it may have been sent."""
        return self.message is not None and self.message.send_started

    def render(self) -> bytes | None:
        """Returns the command as it may be sent now; None where its deadline has passed, or it may not begin."""
        # What was decided while the worker was known to be ready may have waited for a connection since.
        now = clock()
        left = self.deadline - now
        if left <= 0 or not self.may_begin(now):
            return None
        # Rounded down: a worker is promised no more time than is left.
        return self.content(max(1, math.floor(left))) if callable(self.content) else self.content
