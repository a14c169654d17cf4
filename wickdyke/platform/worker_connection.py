"""One connection to a worker: sends commands, reads their answers, and reports to its owner how each ended."""

import errno
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from wickdyke.gateway.interfaces import CommandKind, Withdrawal
from wickdyke.platform import resp
from wickdyke.platform.connection_owner import ConnectionOwner
from wickdyke.platform.connection_state import LIVENESS, ConnectionState, EndCause
from wickdyke.platform.reachability import Liveness
from wickdyke.platform.worker_command import Command
from wickdyke.platform.worker_results import read_result
from wickdyke.routing.model import Outcome
from wickdyke.transport.event_loop import Priority, clock, dial, error_name
from wickdyke.transport.write_buffer import (
    OUT_OF_MEMORY_ERRORS,
    MessageExpiredError,
    OutgoingMessage,
    PeerTooSlowError,
    WriteBuffer,
)

READ_SIZE = 1 << 16  # bytes read at a time
MAX_UNREAD = 1 << 20  # bytes that may wait for a worker
MAX_COMMANDS = 32  # on one connection
ENDED_IDS_KEPT = 64  # ids no longer open that are remembered, so that a late or second answer meets none
PEER_WAS_THERE = (errno.ECONNRESET, errno.EPIPE)  # ends of a connection that the other side had accepted


class WorkerConnection:
    """One connection to a worker. `failed` is how a command for it ends, where it could not even be begun."""

    priority = Priority.HIGH
    sock: socket.socket  # not set where the connect failed at once
    write_buffer: WriteBuffer  # likewise

    def __init__(self, worker_client: "ConnectionOwner[WorkerConnection]") -> None:
        self.worker_client = worker_client
        self.loop = worker_client.loop
        self.state = ConnectionState.CONNECTING
        self.stale = False  # accepts no more commands, and ends with the last one in flight
        self.open: dict[bytes, Command] = {}  # handed to the write buffer, and not answered yet
        self.pending: list[Command] = []  # until it is established
        self.ended_ids: deque[bytes] = deque(maxlen=ENDED_IDS_KEPT)
        self.answers = resp.Answers()
        self.begun_at = self.last_used_at = self.last_read_at = clock()
        self.failed: Outcome | None = None
        sock, code = dial(worker_client.target)
        if sock is None:
            self.state = ConnectionState.CLOSED
            inconclusive = worker_client.reachability.is_inconclusive(code)
            self.failed = Outcome.UNSENT if inconclusive else Outcome.UNREACHED
            self._count(f"connect_{error_name(code)}")
            if code == errno.ECONNREFUSED:
                worker_client.process_ended()
        else:
            self.sock = sock
            self._register()

    def _register(self) -> None:
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # reset already, which the connect reports as well, or short of memory: it works without
            self._count("delayed")
        self.write_buffer = WriteBuffer(self.sock, MAX_UNREAD, self.worker_client.name, self._set_waiting)
        try:
            self.loop.add(self.sock, self, write=True)
        except OSError as error:
            # Counted and not served, it would occupy its place in the pool for good, and its command its time.
            self.state = ConnectionState.CLOSED
            self.failed = Outcome.UNSENT
            self._count(f"register_{error_name(error.errno)}")
            self._release()
            return
        pool = self.worker_client.pool
        pool.used += 1
        pool.worker_clients.add(self.worker_client)
        self._count("dialled")
        self.loop.call_at(self.begun_at + self.worker_client.connect_timeout, self._timed_out)

    def _count(self, name: str) -> None:
        self.worker_client.pool.counts[name] += 1

    @property
    def up(self) -> bool:
        """Whether it is established, and has not ended."""
        return self.state is ConnectionState.ESTABLISHED

    @property
    def closed(self) -> bool:
        """Whether it has ended, or could not be begun."""
        return self.state is ConnectionState.CLOSED

    @property
    def commands_in_flight(self) -> int:
        """Commands that it was handed and that have not ended."""
        return len(self.open) + len(self.pending)

    def accepts(self, ident: bytes) -> bool:
        """Returns whether a command of that id may be sent: no two of one id, nor one whose answer may be on its way.

        Where an answer stopped short, all data after it on that connection would be parsed as its rest.
        """
        return (
            self.state is not ConnectionState.CLOSED
            and not self.stale
            and self.commands_in_flight < MAX_COMMANDS
            and not self.answers.begun
            and ident not in self.open
            and ident not in self.ended_ids
            and all(command.ident != ident for command in self.pending)
        )

    def alive(self) -> bool:
        """Returns whether the worker has not ended it, as far as this side can see without waiting.

        One that was ended while idle would lose a request that can't be retried.
        """
        try:
            return self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
        except (BlockingIOError, InterruptedError):
            return True
        except OSError as error:
            return error.errno in OUT_OF_MEMORY_ERRORS

    def send(self, command: Command) -> None:
        """Sends a command, or queues it until the connection is established."""
        command.connection = self
        command.sent_at = clock()
        self.last_used_at = clock()
        if self.state is not ConnectionState.ESTABLISHED:
            self.pending.append(command)
            return
        command.message = OutgoingMessage(command.render, on_expired=lambda: self._expired(command))
        self.open[command.ident] = command
        try:
            self.write_buffer.put(command.message)
        except MessageExpiredError:
            self._expired(command)
        except (PeerTooSlowError, OSError) as error:
            self.end(f"{type(error).__name__}: {error}")

    def withdraw(self, command: Command) -> bool:
        """Takes a command back; False where a byte of it may have been sent, or it has ended."""
        if self.state is ConnectionState.CLOSED:
            return False
        if command in self.pending:
            self.pending.remove(command)
            return True
        message = command.message if self.open.get(command.ident) is command else None
        if message is None or not self.write_buffer.withdraw(message):
            return False
        del self.open[command.ident]
        return True

    def cancel(self, command: Command, done: Callable[[], None]) -> Withdrawal:
        """Cancels a command that was sent. Returns what `interfaces.WorkerClient.cancel` does."""
        if self.state is ConnectionState.CLOSED or self.open.get(command.ident) is not command:
            return Withdrawal.ENDED
        if len(self.open) == 1 and not self.pending:
            # Ending the connection cancels what is on it. What was silent in all that time may be cut off, and the
            # next on it would wait in vain.
            del self.open[command.ident]
            self.end("cancelled")
            return Withdrawal.CANCELLED
        message = OutgoingMessage(resp.command(b"abort", command.ident), lambda: self._cancel_sent(command, done))
        try:
            with_kernel = self.write_buffer.put(message)
        except (PeerTooSlowError, OSError) as error:
            self.end(f"{type(error).__name__}: {error}")  # which ends all that was on it
            return Withdrawal.PENDING
        if not with_kernel:
            return Withdrawal.PENDING
        self._forget(command)
        return Withdrawal.CANCELLED

    def _cancel_sent(self, command: Command, done: Callable[[], None]) -> None:
        if self.open.get(command.ident) is command:
            self._forget(command)
            done()

    def abandon(self, command: Command) -> bool:
        """Waits no longer for the answer; False where the command has ended."""
        if self.state is ConnectionState.CLOSED:
            return False
        if command in self.pending:
            self.pending.remove(command)
            return True
        if self.open.get(command.ident) is not command:
            return False
        self._forget(command)
        if self.stale and not self.commands_in_flight:
            self.end("silent")
        return True

    def _forget(self, command: Command) -> None:
        """Drops a command whose answer may still be on its way."""
        self.open.pop(command.ident, None)
        self.ended_ids.append(command.ident)
        self.stale = self.stale or self.last_read_at <= command.sent_at or self.answers.begun

    def _expired(self, command: Command) -> None:
        """Ends a command whose deadline passed before a byte of it was sent."""
        if self.open.get(command.ident) is not command:
            return
        del self.open[command.ident]
        self._count("expired")
        self.worker_client.finish(command, Outcome.UNSENT)
        if self.state is not ConnectionState.CLOSED and not self.commands_in_flight:
            self.worker_client.connection_idle(self)

    def _set_waiting(self, waiting: bool) -> None:
        """Called by the write buffer: data begins to wait for the socket, or none waits any more."""
        if self.state is ConnectionState.CLOSED:
            return
        try:
            self.loop.set_interest(self.sock, waiting)
        except OSError:
            self._count("modify_failed")
            if waiting:  # the kernel would not report when to continue: the connection is ended
                raise
            # The kernel keeps reporting that there is room, which leads here again.

    def _timed_out(self) -> None:
        if self.state is ConnectionState.CONNECTING:
            away = self.worker_client.reachability.connect_timed_out(self.begun_at)
            self.end("no connection in time", EndCause.PLAIN if away else EndCause.INCONCLUSIVE)

    def writable(self) -> None:
        """The connect has succeeded or failed, or the socket accepts more data."""
        if self.state is not ConnectionState.ESTABLISHED:
            self._connect_done()
            return
        try:
            self.write_buffer.send_waiting()
        except OSError as error:
            self.end(f"{type(error).__name__}: {error}")

    def _connect_done(self) -> None:
        try:
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError as error:
            self.end(f"getsockopt: {error_name(error.errno)}", EndCause.INCONCLUSIVE)
            return
        if code:
            if code == errno.ECONNREFUSED:
                self.worker_client.process_ended()
            self.end(f"connect: {error_name(code)}", self._cause_of(code))
            return
        self.state = ConnectionState.ESTABLISHED
        self._set_waiting(False)
        self.worker_client.connected()
        while self.pending:  # one by one: where the connection ends, it ends the others
            self.send(self.pending.pop(0))

    def _cause_of(self, code: int) -> EndCause:
        inconclusive = self.worker_client.reachability.is_inconclusive(code)
        if code in PEER_WAS_THERE:
            return EndCause.RESET_EARLY
        return EndCause.INCONCLUSIVE if inconclusive else EndCause.PLAIN

    def broken(self) -> None:
        """Serving it raised an exception: ends it; what was on it may have run."""
        self.end("fault", EndCause.INCONCLUSIVE)

    def readable(self) -> None:
        """Reads answers, or the end of the connection."""
        if self.state is not ConnectionState.ESTABLISHED:
            self.writable()
            return
        try:
            data = self.sock.recv(READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            if (
                error.errno not in OUT_OF_MEMORY_ERRORS
            ):  # recv(2): for a moment; the kernel reports the same bytes again
                self.end_by_worker(f"{type(error).__name__}: {error}")
            return
        if not data:
            self.end_by_worker("ended by the worker")
            return
        self.last_read_at = clock()
        self.worker_client.reachability.reached()
        self._read(data)

    def _read(self, data: bytes) -> None:
        try:
            for answer in self.answers.feed(data):
                self._answer(answer)
        except resp.InvalidAnswerError as error:
            self._read_complete_answers()
            self._count("invalid_answers")
            self.end(f"invalid answer: {error}", EndCause.INVALID_ANSWER)
            return
        if self.stale and not self.commands_in_flight:
            self.end("stale")
        if not self.commands_in_flight:
            self.worker_client.connection_idle(self)

    def _read_complete_answers(self) -> None:
        """Takes the answers that were complete before an invalid one."""
        for answer in list(self.answers.complete):
            try:
                self._answer(answer)
            except resp.InvalidAnswerError:
                return

    def _answer(self, answer: list[bytes]) -> None:
        command = self.open.get(answer[0])
        if command is None:  # after it was abandoned, a second time, or for what was never sent
            self._count("strays")
            return
        result = read_result(answer, self.worker_client.report_fields)
        # An answer may be sent twice, and the second would end a later attempt of the same request as one that never
        # ran; so that is sent on another connection.
        self.ended_ids.append(answer[0])
        del self.open[answer[0]]
        self.last_used_at = self.last_read_at
        if command.kind == CommandKind.HEALTH_CHECK:
            result = replace(result, same_process_since=self.worker_client.same_process_since)
        self.worker_client.finish(command, result.outcome, result)

    def end_by_worker(self, reason: str) -> None:
        """Ends the connection, whose other side has ended it."""
        self.end(reason)
        self.worker_client.process_ended()

    def end(self, reason: str, cause: EndCause = EndCause.PLAIN) -> None:
        """Ends the connection and all commands on it. `reason` is counted where it was not established."""
        if self.state is ConnectionState.CLOSED:
            return
        was_established = self.state is ConnectionState.ESTABLISHED
        self.state = ConnectionState.CLOSED
        self._release()
        self.write_buffer.drop()
        pending = self.pending
        self.pending = []
        in_flight = list(self.open.values())
        self.open = {}
        self.worker_client.pool.used -= 1
        self.worker_client.pool.counts["lost_in_use"] += bool(in_flight)
        if not was_established:
            self._count(reason.replace(": ", "_").replace(" ", "_"))
        self.worker_client.connection_ended(self)
        self._end_pending(pending, was_established or cause in (EndCause.RESET_EARLY, EndCause.INCONCLUSIVE))
        self._end_in_flight(in_flight, cause)
        if not was_established:
            self.worker_client.settle_unresolved(LIVENESS.get(cause, Liveness.GONE))

    def _end_pending(self, pending: list[Command], send_again: bool) -> None:
        for command in pending:
            if send_again:
                self.worker_client.send_again(command)
            else:
                self.worker_client.finish(command, Outcome.UNREACHED)

    def _end_in_flight(self, in_flight: list[Command], cause: EndCause) -> None:
        begun = [command for command in in_flight if command.begun]
        for command in in_flight:
            if not command.begun:
                self.worker_client.finish(command, Outcome.UNSENT)
        if begun:
            self.worker_client.answers_lost(begun, cause is EndCause.INVALID_ANSWER)

    def _release(self) -> None:
        """Closes the socket."""
        steps: tuple[Callable[[], None], ...] = (lambda: self.loop.remove(self.sock), self.sock.close)
        for step in steps:
            try:
                step()
            except OSError:  # epoll_ctl(2), close(2): the kernel forgets a socket that is closed in either case
                self._count("release_failed")
