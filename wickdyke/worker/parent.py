"""The warm parent: a process without threads that has imported what replicas need, forks them and reaps them.

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
MESSAGE_BYTES = 1 << 20
END_ROUNDS = 20  # of killing the processes that are left, at the end
END_INTERVAL = 0.01  # s between them


def prctl(option: int, value: int) -> None:
    """The system call; errors are ignored, as for options that the kernel does not know."""
    ctypes.CDLL(None, use_errno=True).prctl(option, value, 0, 0, 0)


class Parent:
    """Forks and reaps replicas until the worker is gone."""

    def __init__(self, control: socket.socket) -> None:
        self.control = control
        self.pids: dict[int, int] = {}  # by replica number
        self.numbers: dict[int, int] = {}  # replica numbers by pid
        self.decoder: msgspec.json.Decoder[StartReplica | EndReplica] = msgspec.json.Decoder(StartReplica | EndReplica)

    def serve(self) -> None:
        """Serves until the worker's end of the socket is closed, then kills all replicas."""
        wake_in, wake_out = os.pipe()
        os.set_blocking(wake_in, False)
        os.set_blocking(wake_out, False)
        signal.signal(signal.SIGCHLD, lambda number, frame: None)
        signal.set_wakeup_fd(wake_out, warn_on_full_buffer=False)
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, signal.SIG_IGN)  # the worker handles a signal to the process group
        sources: list[socket.socket | int] = [self.control, wake_in]
        try:
            while True:
                ready, _, _ = select.select(sources, [], [])
                if wake_in in ready:
                    os.read(wake_in, 4096)
                    self._reap()
                if self.control in ready and not self._receive():
                    return
        finally:
            self._end_all()

    def _receive(self) -> bool:
        """Carries out one message; returns False where the worker is gone."""
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

    def _fork(self, order: StartReplica, sock: int, output: int) -> None:
        pid = os.fork()
        if pid == 0:
            self._run_child(order, sock, output)
        os.close(sock)
        os.close(output)
        self.pids[order.number] = pid
        self.numbers[pid] = order.number
        self._send(ReplicaStarted(order.number, pid))

    def _run_child(self, order: StartReplica, sock: int, output: int) -> None:
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
            replica_server.run(socket.socket(fileno=sock), order)
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
                self._kill(pid)  # also the processes that it left behind in its session
                self._send(ReplicaEnded(number, os.waitstatus_to_exitcode(status)))
            for stray in children(os.getpid()):
                if stray not in self.numbers:  # forked by a replica into another session, and adopted by this process
                    self._kill(stray)

    def _end_all(self) -> None:
        for pid in self.numbers:
            self._kill(pid)
        own_pid = os.getpid()
        for _ in range(END_ROUNDS):  # what replicas forked into other sessions is adopted by this process as they end
            for pid in children(own_pid):
                self._kill(pid)
            try:
                while os.waitpid(-1, os.WNOHANG)[0]:
                    pass
            except ChildProcessError:
                return
            select.select([], [], [], END_INTERVAL)

    def _send(self, message: ReplicaStarted | ReplicaEnded) -> None:
        with contextlib.suppress(OSError):  # the worker is gone: the next read of the socket shows it
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
