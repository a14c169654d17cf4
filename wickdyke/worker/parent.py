"""The warm parent: a process without threads that has imported what copies need, forks them and reaps them.

Orders come as messages on a socket pair with two descriptors each: the copy's socket and the pipe of its output.

    worker to parent  Order, or {"end": NUMBER}       parent to worker  {"started": NUMBER, "pid": PID}
                                                                        {"ended": NUMBER, "status": CODE}
"""

import ctypes
import gc
import os
import select
import signal
import socket
import sys

import msgspec

from wickdyke.worker import copy
from wickdyke.worker.copy import Order

PR_SET_PDEATHSIG, PR_SET_CHILD_SUBREAPER = 1, 36  # linux/prctl.h
MESSAGE = 1 << 20


class End(msgspec.Struct):
    """An order to end a copy, with all that it forked."""

    end: int


def prctl(option: int, value: int) -> None:
    """As the system call; what the kernel does not know is left."""
    ctypes.CDLL(None, use_errno=True).prctl(option, value, 0, 0, 0)


class Parent:
    """Forks and reaps until the worker is gone."""

    def __init__(self, control: socket.socket) -> None:
        self.control = control
        self.pids: dict[int, int] = {}
        self.numbers: dict[int, int] = {}

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
                if self.control in ready and not self._hear():
                    return
        finally:
            self._end_all()

    def _hear(self) -> bool:
        try:
            data, descriptors, _, _ = socket.recv_fds(self.control, MESSAGE, 2)
        except OSError:
            return False
        if not data:
            return False
        if b'"end"' in data[:8]:
            number = msgspec.json.decode(data, type=End).end
            if number in self.pids:
                self._kill(self.pids[number])
            return True
        order = msgspec.json.decode(data, type=Order)
        sock, output = descriptors
        pid = os.fork()
        if pid == 0:
            self._child(order, sock, output)
        os.close(sock)
        os.close(output)
        self.pids[order.number], self.numbers[pid] = pid, order.number
        self._say({"started": order.number, "pid": pid})
        return True

    def _child(self, order: Order, sock: int, output: int) -> None:
        code = 1
        try:
            mother = os.getppid()
            prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
            if os.getppid() != mother:
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
            copy.run(socket.socket(fileno=sock), order)
            code = 0
        except BaseException as bad:
            try:
                os.write(2, f"{type(bad).__name__}: {bad}\n".encode())
            except OSError:
                pass
        finally:
            os._exit(code)

    def _kill(self, pid: int) -> None:
        for kill, whom in ((os.killpg, pid), (os.kill, pid)):
            try:
                kill(whom, signal.SIGKILL)
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
                self._say({"ended": number, "status": os.waitstatus_to_exitcode(status)})
            for stray in children(os.getpid()):
                if stray not in self.numbers:  # forked by a copy into a session of its own, and left to us
                    self._kill(stray)

    def _end_all(self) -> None:
        for pid in self.numbers:
            self._kill(pid)
        me = os.getpid()
        for _ in range(20):  # what copies forked into sessions of their own came to us when they ended
            left = children(me)
            for pid in left:
                self._kill(pid)
            try:
                while os.waitpid(-1, os.WNOHANG)[0]:
                    pass
            except ChildProcessError:
                return
            select.select([], [], [], 0.01)

    def _say(self, message: dict) -> None:
        try:
            self.control.send(msgspec.json.encode(message))
        except OSError:
            pass  # seen as the end of the socket


def children(pid: int) -> list[int]:
    """Its children, by the kernel's list of its only thread."""
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
