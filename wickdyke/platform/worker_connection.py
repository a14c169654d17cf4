"""One connection to a worker: sends commands, reads answers, and reports the outcome of each to its owner."""

import errno
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from wickdyke.gateway.interfaces import CommandKind, Withdrawal
from wickdyke.platform import resp
from wickdyke.platform.answer_reader import AnswerReader, ReceivedAnswer
from wickdyke.platform.connection_owner import ConnectionOwner
from wickdyke.platform.connection_state import LIVENESS_BY_CAUSE, ConnectionState, EndCause
from wickdyke.platform.reachability import Liveness
from wickdyke.platform.worker_command import Command
from wickdyke.routing.model import Outcome
from wickdyke.transport.event_loop import Priority, clock
from wickdyke.transport.sockets import dial, error_name
from wickdyke.transport.system_facts import connect_error, has_ended, peer_has_closed
from wickdyke.transport.write_buffer import (
    OUT_OF_MEMORY_ERRORS,
    MessageExpiredError,
    OutgoingMessage,
    PeerTooSlowError,
    WriteBuffer,
)

READ_SIZE = 1 << 16  # bytes read at a time
MAX_BUFFERED_BYTES = 1 << 20  # bytes that may wait to be sent to a worker
MAX_COMMANDS_IN_FLIGHT = 32  # on one connection at a time
MAX_ENDED_IDS = 64  # ids of ended commands, by which a late or duplicate answer is recognized
PEER_RESET_ERRORS = (errno.ECONNRESET, errno.EPIPE)  # errors of a connect that the peer had accepted


class WorkerConnection:
    """One connection to a worker. `failure_outcome` is the outcome of its commands where the connect failed at once."""

    priority = Priority.HIGH
    sock: socket.socket  # not set where the connect failed at once
    write_buffer: WriteBuffer  # not set where the connect failed at once

    def __init__(self, worker_client: "ConnectionOwner[WorkerConnection]") -> None:
        self.worker_client = worker_client
        self.loop = worker_client.loop
        self.state = ConnectionState.CONNECTING
        self.stale = False  # accepts no more commands, and is closed after the last one in flight
        self.open_commands: dict[bytes, Command] = {}  # by id; in the write buffer or sent, and not answered yet
        self.pending_commands: list[Command] = []  # waiting for the connection to be established
        self.ended_ids: deque[bytes] = deque(maxlen=MAX_ENDED_IDS)
        self.unusable_ids: deque[bytes] = deque(maxlen=MAX_ENDED_IDS)  # of `ended_ids`, those that are not used again
        self.answer_reader = AnswerReader(worker_client.report_fields)
        self.partial_answer_bytes = 0  # as counted by the pool
        self.connect_started_at = self.last_used_at = self.last_read_at = clock()
        self.failure_outcome: Outcome | None = None
        sock, code = dial(worker_client.target)
        if sock is None:
            self.state = ConnectionState.CLOSED
            inconclusive = worker_client.reachability.is_inconclusive(code)
            self.failure_outcome = Outcome.UNSENT if inconclusive else Outcome.UNREACHED
            self._count(f"connect_{error_name(code)}")
            if code == errno.ECONNREFUSED:
                worker_client.process_ended()
        else:
            self.sock = sock
            self._register()

    def _register(self) -> None:
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # already reset, which the connect reports too, or out of memory: it works without TCP_NODELAY
            self._count("delayed")
        self.write_buffer = WriteBuffer(self.sock, MAX_BUFFERED_BYTES, self.worker_client.name, self._set_waiting)
        try:
            self.loop.add(self.sock, self, write=True)
        except OSError as error:
            # The event loop would never serve the connection: it would occupy its place in the pool for good, and its
            # command would wait until the deadline.
            self.state = ConnectionState.CLOSED
            self.failure_outcome = Outcome.UNSENT
            self._count(f"register_{error_name(error.errno)}")
            self._close_socket()
            return
        pool = self.worker_client.pool
        pool.used += 1
        pool.worker_clients.add(self.worker_client)
        self._count("dialled")
        self.loop.call_at(self.connect_started_at + self.worker_client.connect_timeout, self._connect_timed_out)

    def _count(self, name: str) -> None:
        self.worker_client.pool.counts[name] += 1

    @property
    def established(self) -> bool:
        """Whether the connection is established and not closed."""
        return self.state is ConnectionState.ESTABLISHED

    @property
    def closed(self) -> bool:
        """Whether the connection has ended, or its connect failed at once."""
        return self.state is ConnectionState.CLOSED

    @property
    def unsent_bytes(self) -> int:
        """The bytes that wait to be sent."""
        return self.write_buffer.bytes_waiting

    @property
    def commands_in_flight(self) -> int:
        """The number of commands assigned to the connection that have not ended."""
        return len(self.open_commands) + len(self.pending_commands)

    def accepts(self, ident: bytes) -> bool:
        """Returns whether a command of that id may be sent on this connection.

        The id must not be in use, nor have been used recently by a command whose answer may still arrive and end this
        one with a wrong outcome. While an answer is incomplete no command is accepted: if the rest never comes, later
        data would be parsed as part of it.
        """
        return (
            self.state is not ConnectionState.CLOSED
            and not self.stale
            and self.commands_in_flight < MAX_COMMANDS_IN_FLIGHT
            and not self.answer_reader.has_partial_answer
            and ident not in self.open_commands
            and ident not in self.unusable_ids
            and all(command.ident != ident for command in self.pending_commands)
        )

    def alive(self) -> bool:
        """Returns whether the worker has not closed the connection, as far as can be seen without waiting.

        A request that can't be retried would be lost on a connection that was closed while idle.
        """
        return has_ended(self.sock) is False

    def stands(self) -> bool:
        """Returns whether the connection is established and its end has not come, not even behind unread data.

        Where that is not known it is taken to have ended: it vouches for no process then.
        """
        return self.state is ConnectionState.ESTABLISHED and peer_has_closed(self.sock) is False

    def send(self, command: Command) -> None:
        """Sends a command, or queues it until the connection is established."""
        command.connection = self
        command.sent_at = clock()
        self.last_used_at = clock()
        if self.state is not ConnectionState.ESTABLISHED:
            self.pending_commands.append(command)
            return
        command.message = OutgoingMessage(command.render, on_expired=lambda: self._handle_expiry(command))
        self.open_commands[command.ident] = command
        try:
            self.write_buffer.put(command.message)
        except MessageExpiredError:
            self._handle_expiry(command)
        except (PeerTooSlowError, OSError) as error:
            self.end(f"{type(error).__name__}: {error}")

    def withdraw(self, command: Command) -> bool:
        """Withdraws a command; returns False where a byte of it may have been sent, or it has ended."""
        if self.state is ConnectionState.CLOSED:
            return False
        if command in self.pending_commands:
            self.pending_commands.remove(command)
            return True
        message = command.message if self.open_commands.get(command.ident) is command else None
        if message is None or not self.write_buffer.withdraw(message):
            return False
        del self.open_commands[command.ident]
        return True

    def cancel(self, command: Command, done: Callable[[], None]) -> Withdrawal:
        """Cancels a command that was sent. Returns what `interfaces.WorkerClient.cancel` does."""
        if self.state is ConnectionState.CLOSED or self.open_commands.get(command.ident) is not command:
            return Withdrawal.ENDED
        if len(self.open_commands) == 1 and not self.pending_commands:
            # Closing the connection cancels the command. A connection that stayed silent for so long may also be dead,
            # and the next command on it would get no answer.
            del self.open_commands[command.ident]
            self.end("cancelled")
            return Withdrawal.CANCELLED
        message = OutgoingMessage(resp.command(b"abort", command.ident), lambda: self._cancel_sent(command, done))
        try:
            fully_sent = self.write_buffer.put(message)
        except (PeerTooSlowError, OSError) as error:
            self.end(f"{type(error).__name__}: {error}")  # which ends all commands on it
            return Withdrawal.PENDING
        if not fully_sent:
            return Withdrawal.PENDING
        self._forget(command)
        return Withdrawal.CANCELLED

    def _cancel_sent(self, command: Command, done: Callable[[], None]) -> None:
        if self.open_commands.get(command.ident) is command:
            self._forget(command)
            done()

    def abandon(self, command: Command) -> bool:
        """Stops waiting for the answer; returns False where the command has already ended."""
        if self.state is ConnectionState.CLOSED:
            return False
        if command in self.pending_commands:
            self.pending_commands.remove(command)
            return True
        if self.open_commands.get(command.ident) is not command:
            return False
        self._forget(command)
        if self.stale and not self.commands_in_flight:
            self.end("silent")
        return True

    def _forget(self, command: Command) -> None:
        """Drops a command whose answer may still arrive."""
        self.open_commands.pop(command.ident, None)
        self.ended_ids.append(command.ident)
        self.unusable_ids.append(command.ident)
        self.stale = self.stale or self.last_read_at <= command.sent_at or self.answer_reader.has_partial_answer

    def _handle_expiry(self, command: Command) -> None:
        """Finishes a command whose deadline passed before a byte of it was sent."""
        if self.open_commands.get(command.ident) is not command:
            return
        del self.open_commands[command.ident]
        self._count("expired")
        self.worker_client.finish(command, Outcome.UNSENT)
        if self.state is not ConnectionState.CLOSED and not self.commands_in_flight:
            self.worker_client.connection_idle(self)

    def _set_waiting(self, waiting: bool) -> None:
        """Requests writable events while data waits in the write buffer, which calls this at each change."""
        if self.state is ConnectionState.CLOSED:
            return
        try:
            self.loop.set_interest(self.sock, waiting)
        except OSError:
            self._count("modify_failed")
            if waiting:  # the kernel would not report when to continue: the exception closes the connection
                raise
            # The kernel keeps reporting the socket as writable, and the next report calls this method again.

    def _connect_timed_out(self) -> None:
        if self.state is ConnectionState.CONNECTING:
            unreachable = self.worker_client.reachability.connect_timed_out(self.connect_started_at)
            self.end("no connection in time", EndCause.CLOSED_OR_UNREACHABLE if unreachable else EndCause.INCONCLUSIVE)

    def writable(self) -> None:
        """Handles the end of the connect, or sends more data."""
        if self.state is not ConnectionState.ESTABLISHED:
            self._connect_done()
            return
        try:
            self.write_buffer.send_waiting()
        except OSError as error:
            self.end(f"{type(error).__name__}: {error}")

    def _connect_done(self) -> None:
        if code := connect_error(self.sock):
            if code == errno.ECONNREFUSED:
                self.worker_client.process_ended()
            self.end(f"connect: {error_name(code)}", self._connect_failure_cause(code))
            return
        self.state = ConnectionState.ESTABLISHED
        self._set_waiting(False)
        self.worker_client.connected(self)
        while self.pending_commands:  # one by one: `end` handles the rest if the connection ends here
            self.send(self.pending_commands.pop(0))

    def _connect_failure_cause(self, code: int) -> EndCause:
        inconclusive = self.worker_client.reachability.is_inconclusive(code)
        if code in PEER_RESET_ERRORS:
            return EndCause.RESET_EARLY
        return EndCause.INCONCLUSIVE if inconclusive else EndCause.CLOSED_OR_UNREACHABLE

    def broken(self) -> None:
        """Closes the connection after its handler raised an exception; commands in flight may have run."""
        self.end("fault", EndCause.INCONCLUSIVE)

    def readable(self) -> None:
        """Reads answers, or the end of the stream."""
        if self.state is not ConnectionState.ESTABLISHED:
            self.writable()
            return
        try:
            data = self.sock.recv(READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            if error.errno not in OUT_OF_MEMORY_ERRORS:  # recv(2): temporary; the kernel reports the same bytes again
                self.end_by_worker(f"{type(error).__name__}: {error}")
            return
        if not data:
            self.end_by_worker("ended by the worker")
            return
        self.last_read_at = clock()
        self.worker_client.reachability.route_found()
        self._handle_data(data)

    def _handle_data(self, data: bytes) -> None:
        batch = self.answer_reader.feed(data, self.open_commands, self.ended_ids)
        self._count_partial_answer(self.answer_reader.partial_answer_bytes)
        for answer in batch.answers:
            self._handle_answer(answer)
        if batch.error is not None:
            self._count("invalid_answers")
            self.end(f"invalid answer: {batch.error}", EndCause.INVALID_ANSWER)
            return
        self.worker_client.pool.reclaim_answers()
        if self.state is ConnectionState.CLOSED:
            return
        if self.stale and not self.commands_in_flight:
            self.end("stale")
        if not self.commands_in_flight:
            self.worker_client.connection_idle(self)

    def _count_partial_answer(self, size: int) -> None:
        """Counts the bytes that are kept of an incomplete answer."""
        self.worker_client.pool.partial_answer_bytes += size - self.partial_answer_bytes
        self.partial_answer_bytes = size

    def drop_partial_answer(self) -> None:
        """Closes the connection, on which the largest incomplete answer is, to free its memory."""
        self._count("answers_without_memory")
        self.end("no memory is left for the rest of an answer", EndCause.INVALID_ANSWER)

    def _handle_answer(self, answer: ReceivedAnswer) -> None:
        command = self.open_commands.get(answer.ident)
        result = answer.result
        if command is None or result is None:  # abandoned or already answered, or never sent
            self._count("strays")
            return
        self.ended_ids.append(answer.ident)
        # A worker may answer twice, and the second answer would end a later attempt of the same request that has not
        # run yet. So the id is not used on this connection again, except after an error: a second one says no more than
        # that the later attempt may have run, and a repeat often has no time for a new connection.
        if result.outcome != Outcome.ERROR:
            self.unusable_ids.append(answer.ident)
        del self.open_commands[answer.ident]
        self.last_used_at = self.last_read_at
        if command.kind == CommandKind.HEALTH_CHECK:
            result = replace(result, same_process_since=self.worker_client.same_process_since)
        self.worker_client.finish(command, result.outcome, result)

    def end_by_worker(self, reason: str) -> None:
        """Closes the connection after the worker closed or reset it."""
        self.end(reason)
        self.worker_client.process_ended()

    def end(self, reason: str, cause: EndCause = EndCause.CLOSED_OR_UNREACHABLE) -> None:
        """Closes the connection and ends its commands. `reason` is counted if the connection was never established."""
        if self.state is ConnectionState.CLOSED:
            return
        was_established = self.state is ConnectionState.ESTABLISHED
        self.state = ConnectionState.CLOSED
        self._close_socket()
        self.write_buffer.drop()
        self._count_partial_answer(0)
        pending = self.pending_commands
        self.pending_commands = []
        in_flight = list(self.open_commands.values())
        self.open_commands = {}
        self.worker_client.pool.used -= 1
        self.worker_client.pool.counts["lost_in_use"] += bool(in_flight)
        if not was_established:
            self._count(reason.replace(": ", "_").replace(" ", "_"))
        self.worker_client.connection_ended(self)
        self._end_pending(pending, was_established or cause in (EndCause.RESET_EARLY, EndCause.INCONCLUSIVE))
        self._end_in_flight(in_flight, cause)
        if not was_established:
            self.worker_client.settle_unresolved(LIVENESS_BY_CAUSE.get(cause, Liveness.DOWN))

    def _end_pending(self, pending: list[Command], resend: bool) -> None:
        for command in pending:
            if resend:
                self.worker_client.resend(command)
            else:
                self.worker_client.finish(command, Outcome.UNREACHED)

    def _end_in_flight(self, in_flight: list[Command], cause: EndCause) -> None:
        possibly_sent = [command for command in in_flight if command.send_started]
        for command in in_flight:
            if not command.send_started:
                self.worker_client.finish(command, Outcome.UNSENT)
        if possibly_sent:
            self.worker_client.answers_lost(possibly_sent, cause is EndCause.INVALID_ANSWER)

    def _close_socket(self) -> None:
        """Closes the socket."""
        steps: tuple[Callable[[], None], ...] = (lambda: self.loop.remove(self.sock), self.sock.close)
        for step in steps:
            try:
                step()
            except OSError:  # epoll_ctl(2), close(2): the kernel releases the closed socket in either case
                self._count("release_failed")
