"""The warm parent: a single-threaded process with the modules of replicas imported, which forks and reaps them.

It receives StartReplica and EndReplica on a socket pair, and sends ReplicaStarted and ReplicaEnded there.
"""

import contextlib
import ctypes
import gc
import os
import select
import signal
import socket
import sys

import msgspec

from wickdyke.worker import replica_server
from wickdyke.worker.replica_messages import EndReplica, ReplicaEnded, ReplicaStarted, StartReplica

PR_SET_PDEATHSIG = 1  # linux/prctl.h
PR_SET_CHILD_SUBREAPER = 36  # linux/prctl.h
MESSAGE_BYTES = 1 << 20  # the most bytes of one message
MAX_KILL_ROUNDS = 20  # of killing and reaping the remaining processes when the parent ends
KILL_INTERVAL = 0.01  # s between two of these rounds


def prctl(option: int, value: int) -> None:
    """Makes the system call. Ignores errors, such as those of options that the kernel does not know."""
    ctypes.CDLL(None, use_errno=True).prctl(option, value, 0, 0, 0)


class Parent:
    """Forks and reaps replicas until the worker has ended."""

    def __init__(self, control: socket.socket) -> None:
        self.control = control
        self.pids: dict[int, int] = {}  # by replica number
        self.numbers: dict[int, int] = {}  # replica numbers by pid
        self.decoder: msgspec.json.Decoder[StartReplica | EndReplica] = msgspec.json.Decoder(StartReplica | EndReplica)

    def serve(self) -> None:
        """Serves until the worker's end of the socket is closed, then kills all replicas."""
        wakeup_reader, wakeup_writer = os.pipe()
        os.set_blocking(wakeup_reader, False)
        os.set_blocking(wakeup_writer, False)
        signal.signal(signal.SIGCHLD, lambda number, frame: None)
        signal.set_wakeup_fd(wakeup_writer, warn_on_full_buffer=False)
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, signal.SIG_IGN)  # the worker handles signals to the process group
        inputs: list[socket.socket | int] = [self.control, wakeup_reader]
        try:
            while True:
                ready, _, _ = select.select(inputs, [], [])
                if wakeup_reader in ready:
                    os.read(wakeup_reader, 4096)
                    self._reap()
                if self.control in ready and not self._receive():
                    return
        finally:
            self._kill_all()

    def _receive(self) -> bool:
        """Handles one message; returns False where the worker has ended."""
        try:
            data, descriptors, _, _ = socket.recv_fds(self.control, MESSAGE_BYTES, 2)
        except OSError:
            return False
        if not data:
            return False
        message = self.decoder.decode(data)
        if isinstance(message, StartReplica):
            self._fork(message, *descriptors)
        elif message.number in self.pids:
            self._kill(self.pids[message.number])
        return True

    def _fork(self, start_message: StartReplica, sock: int, output: int) -> None:
        pid = os.fork()
        if pid == 0:
            self._run_child(start_message, sock, output)
        os.close(sock)
        os.close(output)
        self.pids[start_message.number] = pid
        self.numbers[pid] = start_message.number
        self._send(ReplicaStarted(start_message.number, pid))

    def _run_child(self, start_message: StartReplica, sock: int, output: int) -> None:
        code = 1
        try:
            parent = os.getppid()
            prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
            if os.getppid() != parent:
                os._exit(1)
            os.setsid()
            signal.set_wakeup_fd(-1)
            for number in (signal.SIGCHLD, signal.SIGINT, signal.SIGTERM):
                signal.signal(number, signal.SIG_DFL)
            self.control.close()
            null = os.open(os.devnull, os.O_RDONLY)
            for descriptor, standard in ((null, 0), (output, 1), (output, 2)):
                os.dup2(descriptor, standard)
            os.close(output)
            replica_server.run(socket.socket(fileno=sock), start_message)
            code = 0
        except BaseException as error:  # noqa: BLE001 - a package may raise anything; the process ends in any case
            with contextlib.suppress(OSError):
                os.write(2, f"{type(error).__name__}: {error}\n".encode())
        finally:
            os._exit(code)

    def _kill(self, pid: int) -> None:
        for kill in (os.killpg, os.kill):
            with contextlib.suppress(ProcessLookupError, PermissionError):
                kill(pid, signal.SIGKILL)

    def _reap(self) -> None:
        while True:
            try:
                pid, status = os.waitpid(-1, os.WNOHANG)
            except ChildProcessError:
                return
            if not pid:
                return
            number = self.numbers.pop(pid, None)
            if number is not None:
                del self.pids[number]
                self._kill(pid)  # also the remaining processes of its session
                self._send(ReplicaEnded(number, os.waitstatus_to_exitcode(status)))
            for orphan in children(os.getpid()):
                # An orphan was forked by a replica into another session, and reparented to this process.
                if orphan not in self.numbers:
                    self._kill(orphan)

    def _kill_all(self) -> None:
        for pid in self.numbers:
            self._kill(pid)
        own_pid = os.getpid()
        # Processes that replicas forked into other sessions become children of this process as their parents end.
        for _ in range(MAX_KILL_ROUNDS):
            for pid in children(own_pid):
                self._kill(pid)
            try:
                while os.waitpid(-1, os.WNOHANG)[0]:
                    pass
            except ChildProcessError:
                return
            select.select([], [], [], KILL_INTERVAL)

    def _send(self, message: ReplicaStarted | ReplicaEnded) -> None:
        with contextlib.suppress(OSError):  # the worker has ended, which the next read of the socket shows
            self.control.send(msgspec.json.encode(message))


def children(pid: int) -> list[int]:
    """The pids of the children of a process that has only one thread."""
    try:
        with open(f"/proc/{pid}/task/{pid}/children") as source:
            return [int(child) for child in source.read().split()]
    except (OSError, ValueError):
        return []


def main() -> None:
    """Serves on the socket whose descriptor is the command's argument."""
    prctl(PR_SET_CHILD_SUBREAPER, 1)
    control = socket.socket(fileno=int(sys.argv[1]))
    gc.collect()
    gc.freeze()
    Parent(control).serve()


if __name__ == "__main__":
    main()
