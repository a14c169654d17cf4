"""The commands of one worker client: their messages, and the record of those that have not ended."""

import math
import time
from collections.abc import Callable

from wickdyke.gateway import interfaces
from wickdyke.gateway.interfaces import CommandKey, CommandKind
from wickdyke.protocol import jsonrpc
from wickdyke.transport.write_buffer import OutgoingMessage, WriteBuffer

MS_PER_SECOND = 1000
NO_NUMBER = -1  # the number of a command that has not been handed to a connection


def clock() -> float:
    """Monotonic time in ms."""
    return time.monotonic() * MS_PER_SECOND


class Command(interfaces.Command):
    """One message to a worker that expects a response.

    `params` is the bytes of its parameters, or a function that renders them from the ms left until `deadline`
    (monotonic ms). `number` is its JSON-RPC id.
    """

    __slots__ = ("deadline", "method", "number", "params")

    def __init__(
        self,
        kind: CommandKind,
        key: CommandKey,
        method: str,
        params: bytes | Callable[[float], bytes],
        deadline: float = math.inf,
    ) -> None:
        super().__init__(kind, key)
        self.method = method
        self.params = params
        self.deadline = deadline
        self.number = NO_NUMBER

    def line(self) -> bytes | None:
        """Returns the request line to be sent now, or None if the command may not begin any more."""
        now = clock()
        if now >= min(self.deadline, self.begin_before):
            return None
        self.began_at = now
        time_left = self.deadline - now
        params = self.params(time_left) if callable(self.params) else self.params
        return jsonrpc.request_line(self.method, params, self.number)


class OpenCommands:
    """The commands of a worker client that have not ended. The worker client guards it with its lock.

    `waiting_commands` holds the commands that wait for a connection, `in_flight` those handed to the present
    connection, by their numbers.
    """

    def __init__(self) -> None:
        self.waiting_commands: list[Command] = []
        self.in_flight: dict[int, Command] = {}
        self.last_number = 0

    def __bool__(self) -> bool:
        return bool(self.waiting_commands or self.in_flight)

    def all(self) -> list[Command]:
        """Returns all commands that have not ended."""
        return [*self.waiting_commands, *self.in_flight.values()]

    def begin(self, command: Command, message: OutgoingMessage) -> None:
        """Numbers a command and records it as in flight, with the message to be sent."""
        self.last_number += 1
        command.number = self.last_number
        command.message = message
        self.in_flight[command.number] = command

    def is_in_flight(self, command: Command) -> bool:
        """Returns whether a command was handed to the present connection and has not ended."""
        return self.in_flight.get(command.number) is command

    def was_sent(self, ident: jsonrpc.Ident) -> bool:
        """Returns whether a command had that number."""
        return isinstance(ident, int) and 0 < ident <= self.last_number

    def end(self, ident: jsonrpc.Ident) -> Command | None:
        """Removes and returns the command in flight of that number, or returns None if there is none."""
        return self.in_flight.pop(ident, None) if isinstance(ident, int) else None

    def withdraw(self, command: Command, write_buffer: WriteBuffer | None) -> bool:
        """Withdraws a command of which no byte was sent; returns False if it may have been sent or has ended."""
        if command in self.waiting_commands:
            self.waiting_commands.remove(command)
            return True
        if not self.is_in_flight(command) or write_buffer is None or command.message is None:
            return False
        if not write_buffer.withdraw(command.message):
            return False
        del self.in_flight[command.number]
        return True

    def abandon(self, command: Command) -> bool:
        """Removes a command, sent or not; returns False if it has ended already."""
        if command in self.waiting_commands:
            self.waiting_commands.remove(command)
            return True
        return self.in_flight.pop(command.number, None) is not None

    def take_waiting(self) -> list[Command]:
        """Removes and returns the commands that wait for a connection."""
        commands = self.waiting_commands
        self.waiting_commands = []
        return commands

    def take_in_flight(self) -> list[Command]:
        """Removes and returns the commands in flight."""
        commands = list(self.in_flight.values())
        self.in_flight = {}
        return commands
