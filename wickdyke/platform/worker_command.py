"""A command to a worker as it is sent, with the time that is left as its first byte goes."""

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from wickdyke.gateway import interfaces
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.transport.event_loop import clock
from wickdyke.transport.write_buffer import OutgoingMessage

if TYPE_CHECKING:
    from wickdyke.platform.worker_connection import WorkerConnection


class Command(interfaces.Command):
    """One message that is owed an answer.

    `content` is its bytes, or a function that renders them for the whole ms (one at least) that are left until
    `deadline` (monotonic ms). `sends` counts the connections it was handed to.
    """

    __slots__ = ("ident", "content", "deadline", "message", "connection", "sent_at", "sends")

    def __init__(
        self,
        kind: CommandKind,
        key: object,
        ident: bytes,
        content: bytes | Callable[[int], bytes],
        deadline: float = math.inf,
    ) -> None:
        super().__init__(kind, key)
        self.ident, self.content, self.deadline = ident, content, deadline
        self.message: OutgoingMessage | None = None
        self.connection: WorkerConnection | None = None
        self.sent_at, self.sends = 0.0, 0

    def render(self) -> bytes | None:
        """The command as it may be sent now; None where its time is up."""
        left = self.deadline - clock()
        if left <= 0:
            return None
        # Rounded down: a worker is told no more than is left.
        return self.content(max(1, math.floor(left))) if callable(self.content) else self.content
