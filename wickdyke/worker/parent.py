"""The warm parent: a process without threads that has imported what replicas need, forks them and reaps them.

It takes StartReplica and EndReplica on a socket pair, and reports ReplicaStarted and ReplicaEnded there.
"""

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

PR_SET_PDEATHSIG, PR_SET_CHILD_SUBREAPER = 1, 36  # linux/prctl.h
MESSAGE_BYTES = 1 << 20
END_ROUNDS = 20  # looks for processes that are left, at the end
END_INTERVAL = 0.01  # s between them


def prctl(option: int, value: int) -> None:
    """As the system call; what the kernel does not know is left."""
    ctypes.CDLL(None, use_errno=True).prctl(option, value, 0, 0, 0)


class Parent:
    """Forks and reaps until the worker is gone."""

    def __init__(self, control: socket.socket) -> None:
        self.control = control
        self.pids: dict[int, int] = {}  # by the replica's number
        self.numbers: dict[int, int] = {}  # by the process
        self.decoder = msgspec.json.Decoder(StartReplica | EndReplica)

    def serve(self) -> None:
        """Ends all there is when the worker's end of the socket is closed."""
        wake_in, wake_out = os.pipe()
        os.set_blocking(wake_in, False)
        os.set_blocking(wake_out, False)
        signal.signal(signal.SIGCHLD, lambda number, frame: None)
        signal.set_wakeup_fd(wake_out, warn_on_full_buffer=False)
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, signal.SIG_IGN)  # a signal to the group is the worker's to answer
        try:
            while True:
                ready, _, _ = select.select([self.control, wake_in], [], [])
                if wake_in in ready:
                    os.read(wake_in, 4096)
                    self._reap()
                if self.control in ready and not self._receive():
                    return
        finally:
            self._end_all()

    def _receive(self) -> bool:
        """Carries out one message; False where the worker is gone."""
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
        self.pids[order.number], self.numbers[pid] = pid, order.number
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
            for old, new in ((null, 0), (output, 1), (output, 2)):
                os.dup2(old, new)
            os.close(output)
            replica_server.run(socket.socket(fileno=sock), order)
            code = 0
        except BaseException as error:
            try:
                os.write(2, f"{type(error).__name__}: {error}\n".encode())
            except OSError:
                pass
        finally:
            os._exit(code)

    def _kill(self, pid: int) -> None:
        for kill in (os.killpg, os.kill):
            try:
                kill(pid, signal.SIGKILL)
            except (ProcessLookupError, PermissionError):
                pass

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
                self._kill(pid)  # what it forked and left behind in its session
                self._send(ReplicaEnded(number, os.waitstatus_to_exitcode(status)))
            for stray in children(os.getpid()):
                if stray not in self.numbers:  # forked by a replica into a session of its own, and left to us
                    self._kill(stray)

    def _end_all(self) -> None:
        for pid in self.numbers:
            self._kill(pid)
        own_pid = os.getpid()
        for _ in range(END_ROUNDS):  # what replicas forked into sessions of their own came to us when they ended
            for pid in children(own_pid):
                self._kill(pid)
            try:
                while os.waitpid(-1, os.WNOHANG)[0]:
                    pass
            except ChildProcessError:
                return
            select.select([], [], [], END_INTERVAL)

    def _send(self, message: ReplicaStarted | ReplicaEnded) -> None:
        try:
            self.control.send(msgspec.json.encode(message))
        except OSError:
            pass  # seen as the end of the socket


def children(pid: int) -> list[int]:
    """The children of a process, by the kernel's list of its only thread."""
    try:
        with open(f"/proc/{pid}/task/{pid}/children") as source:
            return [int(each) for each in source.read().split()]
    except (OSError, ValueError):
        return []


def main() -> None:
    """Serves on the descriptor given as argument."""
    prctl(PR_SET_CHILD_SUBREAPER, 1)
    control = socket.socket(fileno=int(sys.argv[1]))
    gc.collect()
    gc.freeze()
    Parent(control).serve()


if __name__ == "__main__":
    main()
