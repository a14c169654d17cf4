"""The worker's client of the warm parent (parent.py), the process that forks and reaps replicas."""

import contextlib
import socket
import subprocess
import sys
from collections.abc import Iterator

import msgspec

from wickdyke.worker.replica_messages import EndReplica, ReplicaEnded, ReplicaStarted, StartReplica

MESSAGE_BYTES = 1 << 16  # the most bytes of one message
EXIT_TIMEOUT = 10.0  # s, after which `close` kills the parent


class ParentClient:
    """Starts the parent and sends it messages. Once the parent has ended, messages are dropped and `events` ends."""

    def __init__(self) -> None:
        self.control, remote = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "wickdyke.worker.parent", str(remote.fileno())],
            pass_fds=(remote.fileno(),),
            stdin=subprocess.DEVNULL,
        )
        remote.close()

    @property
    def pid(self) -> int:
        """The parent's process id."""
        return self.process.pid

    def start_replica(self, start_message: StartReplica, sock: int, output: int) -> None:
        """Has the parent fork a replica that inherits two descriptors: its socket, and the pipe for its output."""
        with contextlib.suppress(OSError):
            socket.send_fds(self.control, [msgspec.json.encode(start_message)], [sock, output])

    def end_replica(self, number: int) -> None:
        """Has the parent kill a replica and all processes that it forked."""
        with contextlib.suppress(OSError):
            self.control.send(msgspec.json.encode(EndReplica(number)))

    def events(self) -> Iterator[ReplicaStarted | ReplicaEnded]:
        """Yields the parent's messages until it ends."""
        kinds = ReplicaStarted | ReplicaEnded
        decoder: msgspec.json.Decoder[ReplicaStarted | ReplicaEnded] = msgspec.json.Decoder(kinds)
        while data := self._receive():
            yield decoder.decode(data)

    def _receive(self) -> bytes:
        try:
            return self.control.recv(MESSAGE_BYTES)
        except OSError:
            return b""

    def close(self) -> None:
        """Ends the parent, which kills all replicas."""
        with contextlib.suppress(OSError):
            self.control.shutdown(socket.SHUT_RDWR)
        try:
            self.process.wait(EXIT_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.control.close()
