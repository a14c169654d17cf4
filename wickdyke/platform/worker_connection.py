"""One connection to a worker: commands go out on it, and its client is told how each ended."""

import errno
import socket
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

from wickdyke.platform import resp
from wickdyke.platform.worker_command import Command
from wickdyke.platform.worker_results import read_result
from wickdyke.routing.model import Outcome
from wickdyke.transport.event_loop import clock, dial
from wickdyke.transport.write_buffer import SHORT_OF_MEMORY, Expired, OutgoingMessage, PeerTooSlow, WriteBuffer

if TYPE_CHECKING:
    from wickdyke.platform.worker_client import WorkerClient

READ_SIZE = 1 << 16  # bytes read at a time
UNREAD_MOST = 1 << 20  # bytes that may wait for a worker
COMMANDS_MOST = 32  # on one connection
ENDED_IDS_KEPT = 64  # ids no longer open that are remembered, so that a late or second answer meets none
PEER_WAS_THERE = (errno.ECONNRESET, errno.EPIPE)  # ends of a connection that was taken by the other side


class EndCause(Enum):
    """What the end of a connection tells of its worker."""

    PLAIN = "plain"  # nothing beside the end itself
    INVALID_ANSWER = "invalid answer"  # the worker has just sent something
    RESET_EARLY = "reset early"  # it was there, and ended the connection as it came up
    INCONCLUSIVE = "inconclusive"  # it did not come up, which may be the connection, or this machine, alone


class WorkerConnection:
    """One connection to a worker. `failed` is how a command for it ends, where it could not even be begun."""

    first = True  # its events are served before those of clients

    def __init__(self, worker_client: "WorkerClient") -> None:
        self.worker_client, self.loop = worker_client, worker_client.loop
        self.open: dict[bytes, Command] = {}
        self.pending: list[Command] = []  # until it is up
        self.ended_ids: deque[bytes] = deque(maxlen=ENDED_IDS_KEPT)
        self.answers = resp.Answers()
        self.up = self.closed = self.stale = False
        self.begun = self.used = self.heard = clock()
        self.failed: Outcome | None = None
        self.sock, code = dial(worker_client.target)
        if self.sock is None:
            self.closed = True
            self.failed = Outcome.UNSENT if worker_client.proves_nothing(code) else Outcome.UNREACHED
            self._count(f"connect_{errno.errorcode.get(code, code)}")
        else:
            self._register()

    def _register(self) -> None:
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # reset already, which it tells as it comes up, or short of memory: it serves without
            self._count("delayed")
        self.write_buffer = WriteBuffer(self.sock, UNREAD_MOST, self.worker_client.name, self._waits)
        try:
            self.loop.add(self.sock, self, write=True)
        except OSError as error:
            # Counted and not served, it would hold its place in the pool for good, and its command its time.
            self.closed, self.failed = True, Outcome.UNSENT
            self._count(f"register_{errno.errorcode.get(error.errno, error.errno)}")
            self._release()
            return
        pool = self.worker_client.pool
        pool.used += 1
        pool.worker_clients.add(self.worker_client)
        self._count("dialled")
        self.loop.at(self.begun + self.worker_client.connect_timeout, self._timed_out)

    def _count(self, what: str) -> None:
        self.worker_client.pool.counts[what] += 1

    @property
    def commands_in_flight(self) -> int:
        """Commands on it."""
        return len(self.open) + len(self.pending)

    def accepts(self, ident: bytes) -> bool:
        """Whether a command under that id may go here: never two under one, nor one of which an answer may yet come.

        Where an answer stopped short, all that comes after it on that connection is taken for its rest.
        """
        return (
            not self.closed
            and not self.stale
            and self.commands_in_flight < COMMANDS_MOST
            and not self.answers.begun
            and ident not in self.open
            and ident not in self.ended_ids
            and all(command.ident != ident for command in self.pending)
        )

    def alive(self) -> bool:
        """Whether it still stands, as far as this side can tell without waiting.

        One that was ended while idle would take a request with it that can't be repeated.
        """
        try:
            return self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
        except (BlockingIOError, InterruptedError):
            return True
        except OSError as error:
            return error.errno in SHORT_OF_MEMORY

    # ---- sending ----

    def send(self, command: Command) -> None:
        """Sends it, or has it sent once the connection is up."""
        command.connection, command.sent_at, self.used = self, clock(), clock()
        if not self.up:
            self.pending.append(command)
            return
        command.message = OutgoingMessage(command.render, expired=lambda: self._expired(command))
        self.open[command.ident] = command
        try:
            self.write_buffer.put(command.message)
        except Expired:
            self._expired(command)
        except (PeerTooSlow, OSError) as error:
            self.end(f"{type(error).__name__}: {error}")

    def _expired(self, command: Command) -> None:
        """The time of a command was up before a byte of it went."""
        if self.open.get(command.ident) is not command:
            return
        del self.open[command.ident]
        self._count("expired")
        self.worker_client.finish(command, Outcome.UNSENT)
        if not self.closed and not self.commands_in_flight:
            self.worker_client.connection_idle(self)

    def _waits(self, waits: bool) -> None:
        if self.closed:
            return
        try:
            self.loop.want(self.sock, waits)
        except OSError:
            self._count("modify_failed")
            if waits:  # nobody would tell when it may go on: the connection is given up
                raise
            # The kernel goes on telling that there is room, which leads here again.

    # ---- events of the loop ----

    def _timed_out(self) -> None:
        if not self.up and not self.closed:
            conclusive = not self.worker_client.connect_timed_out(self)
            self.end("no connection in time", EndCause.PLAIN if conclusive else EndCause.INCONCLUSIVE)

    def writable(self) -> None:
        """It has come up or failed, or what waits may go on."""
        if not self.up:
            self._came_up()
            return
        try:
            self.write_buffer.pump()
        except OSError as error:
            self.end(f"{type(error).__name__}: {error}")

    def _came_up(self) -> None:
        try:
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError as error:
            self.end(f"getsockopt: {errno.errorcode.get(error.errno, error.errno)}", EndCause.INCONCLUSIVE)
            return
        if code:
            self.end(f"connect: {errno.errorcode.get(code, code)}", self._cause_of(code))
            return
        self.up = True
        self._waits(False)
        self.worker_client.connected()
        while self.pending:  # each at its turn: where the connection ends, it tells of the others
            self.send(self.pending.pop(0))

    def _cause_of(self, code: int) -> EndCause:
        proves_nothing = self.worker_client.proves_nothing(code)
        if code in PEER_WAS_THERE:
            return EndCause.RESET_EARLY
        return EndCause.INCONCLUSIVE if proves_nothing else EndCause.PLAIN

    def broken(self) -> None:
        """It ends; what was on it may have run."""
        self.end("fault", EndCause.INCONCLUSIVE)

    def readable(self) -> None:
        """Answers, or its end."""
        if not self.up:
            self.writable()
            return
        try:
            data = self.sock.recv(READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            if error.errno not in SHORT_OF_MEMORY:  # recv(2): for a moment; the kernel tells of the same bytes again
                self.end(f"{type(error).__name__}: {error}")
            return
        if not data:
            self.end("ended by the worker")
            return
        self.heard = clock()
        self.worker_client.reached()
        self._read(data)

    def _read(self, data: bytes) -> None:
        try:
            for answer in self.answers.feed(data):
                self._answer(answer)
        except resp.InvalidAnswer as error:
            self._read_whole_answers()
            self._count("spoilt")
            self.end(f"spoilt: {error}", EndCause.INVALID_ANSWER)
            return
        if self.stale and not self.commands_in_flight:
            self.end("given up")
        if not self.commands_in_flight:
            self.worker_client.connection_idle(self)

    def _read_whole_answers(self) -> None:
        """What was whole before an invalid answer stands."""
        for answer in list(self.answers.whole):
            try:
                self._answer(answer)
            except resp.InvalidAnswer:
                return

    def _answer(self, answer: list[bytes]) -> None:
        command = self.open.get(answer[0])
        if command is None:  # after it was given up, a second time, or for what was never asked
            self._count("strays")
            return
        result = read_result(answer, self.worker_client.report_fields)
        # An answer may come twice, and the second would end a later attempt of the same request as one that never ran;
        # so that goes on another connection.
        self.ended_ids.append(answer[0])
        del self.open[answer[0]]
        self.used = self.heard
        self.worker_client.finish(command, result.outcome, result)

    # ---- its end ----

    def end(self, why: str, cause: EndCause = EndCause.PLAIN) -> None:
        """Ends the connection; tells how that leaves what was on it."""
        if self.closed:
            return
        self.closed = True
        self._release()
        self.write_buffer.drop()
        pending, self.pending = self.pending, []
        in_flight, self.open = list(self.open.values()), {}
        self.worker_client.pool.used -= 1
        self.worker_client.pool.counts["cut"] += bool(in_flight)
        if not self.up:
            self._count(why.replace(": ", "_").replace(" ", "_"))
        self.worker_client.connection_ended(self)
        self._end_pending(pending, cause)
        self._end_in_flight(in_flight, cause)
        if not self.up:
            alive = {EndCause.RESET_EARLY: True, EndCause.INCONCLUSIVE: None}.get(cause, False)
            self.worker_client.settle_unresolved(alive)

    def _end_pending(self, pending: list[Command], cause: EndCause) -> None:
        for command in pending:
            if self.up or cause in (EndCause.RESET_EARLY, EndCause.INCONCLUSIVE):
                self.worker_client.send_again(command)
            else:
                self.worker_client.finish(command, Outcome.UNREACHED)

    def _end_in_flight(self, in_flight: list[Command], cause: EndCause) -> None:
        begun = [command for command in in_flight if command.message.begun]
        for command in in_flight:
            if not command.message.begun:
                self.worker_client.finish(command, Outcome.UNSENT)
        if begun:
            self.worker_client.answers_lost(begun, cause is EndCause.INVALID_ANSWER)

    def _release(self) -> None:
        """Gives up the socket."""
        for give_up in (lambda: self.loop.remove(self.sock), self.sock.close):
            try:
                give_up()
            except OSError:  # epoll_ctl(2), close(2): the kernel forgets a socket that is closed in either case
                self._count("release_failed")
