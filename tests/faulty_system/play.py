"""One play: a front end under a faulty system, its workers and clients, and what was broken."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from contextlib import suppress
from functools import cache
from pathlib import Path

from tests import platform_rig as rig
from tests.faulty_system.cells import CLOCK_CALL, Cell

SOURCE = Path(__file__).parent / "faulty_system.c"
READY_SECONDS = 10.0
ANSWER_SECONDS = 4.0  # of a request, by its class's deadline
END_SECONDS = 6.0  # from SIGTERM to the end
STOP_SECONDS = 0.4  # for which the process is stopped while a client sends and leaves
PULSE_SECONDS = 0.2  # between two comments of the bus
LOOK_SECONDS = 1.0  # after a stop, in which attempts for the client that has left would begin
MIN_SERVED_SHARE = 0.5  # the share that the standing test asks for
WARM_ANSWERS = 10
CLIENTS = 3
ROUNDS = 3
BURST = 8  # requests that a client sends at once
LEFT_BODY = b"left" + bytes(16 * 1024 - 4)
LEFT_REQUESTS = 24  # more than a receive buffer holds with LEFT_BODY
CLOSE_BODY = b"close"  # at which a worker closes the connection


@cache
def library() -> str:
    """Compiles the preloaded library with `cc`; returns its path."""
    folder = tempfile.mkdtemp(prefix="faulty-system-")
    path = os.path.join(folder, "faulty_system.so")
    subprocess.run(["cc", "-Wall", "-shared", "-fPIC", "-o", path, str(SOURCE), "-ldl"], check=True)
    return path


@cache
def met_calls() -> tuple[str, ...]:
    """Returns the calls that a front end makes in a play whose system answers truly."""
    with tempfile.TemporaryDirectory() as folder:
        record = os.path.join(folder, "record")
        broken = Play({"FAULTY_SYSTEM_RECORD": record}).run()
        assert not broken, broken
        return tuple(sorted(Path(record).read_text().splitlines()))


def play_cell(cell: Cell) -> list[str]:
    """Returns what was broken under that cell."""
    # On a clock that moves only with its own time and waits, a process can't know that it was stopped.
    return Play(cell.environment, stops=cell.call != CLOCK_CALL).run()


def play_true_system() -> list[str]:
    """Returns what was broken where the system answers truly."""
    return Play({}).run()


class LiveBus(rig.Bus):
    """A bus whose streams have a comment each PULSE_SECONDS, so that the endpoint list counts as complete."""

    def __init__(self) -> None:
        super().__init__()
        self.ended = threading.Event()
        threading.Thread(target=self._pulse, daemon=True).start()

    def _pulse(self) -> None:
        while not self.ended.wait(PULSE_SECONDS):
            for reader in list(self.readers):
                with suppress(OSError):
                    reader.sendall(b": pulse\n\n")

    def close(self) -> None:
        """Ends the comments and closes all connections."""
        self.ended.set()
        super().close()


def _handle_command(worker: rig.Worker, sock, parts: list[bytes]) -> bool:
    if parts[0] == b"invoke" and parts[3] == CLOSE_BODY and len(worker.received(b"invoke")) % 2:
        sock.shutdown(socket.SHUT_RDWR)
        return True
    return False


class Play:
    """A front end with two workers and some clients. `environment` goes to the front end."""

    def __init__(self, environment: dict[str, str], stops: bool = True) -> None:
        self.environment = environment
        self.stops = stops  # whether the process is stopped for some time, which its clocks show
        self.broken: list[str] = []
        self.lines: list[str] = []
        self.words: Counter[str] = Counter()
        self.next_ident = 0
        self.lock = threading.Lock()

    def run(self) -> list[str]:
        """Plays; returns what was broken, a line each."""
        self.bus = LiveBus()
        self.workers = [rig.Worker(_handle_command), rig.Worker(_handle_command)]
        with tempfile.TemporaryDirectory() as folder:
            self._start(folder)
            try:
                if self._wait_until_ready():
                    self._warm_up()
                    self._serve_clients()
                    if self.stops:
                        self._leave_in_a_stop()
                    self._terminate()
            finally:
                self.process.kill()
                self.process.wait()
                self.reader.join(rig.TIMEOUT)
                self.process.stderr.close()
                for peer in (self.bus, *self.workers):
                    peer.close()
        self._check_log()
        self._check_workers()
        return self.broken

    def _start(self, folder: str) -> None:
        self.address = rig.free_address()
        workers = [rig.instance(f"w{number}", worker.address) for number, worker in enumerate(self.workers)]
        path = os.path.join(folder, "config.json")
        Path(path).write_text(json.dumps(rig.config(self.address, self.bus.address, *workers)))
        told = {"GW_CONFIG": path, "GW_LISTEN": self.address, "GW_NAME": "n0", "LD_PRELOAD": library()}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "wickdyke.platform"],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, **told, **self.environment},
        )
        self.reader = threading.Thread(target=lambda: self.lines.extend(self.process.stderr), daemon=True)
        self.reader.start()

    def _wait_until_ready(self) -> bool:
        """Asks until `alive` answers good; returns False where the process has ended or never does."""
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                self._check_refusal_to_start()
                return False
            with suppress(OSError):
                client = rig.Client(self.address)
                client.send(rig.alive(1))
                word = client.answer()[1]
                client.close()
                if word == "good":
                    return self._wait_for_discovery(deadline)
            time.sleep(0.02)
        self.broken.append(f"start: not ready within {READY_SECONDS} s")
        return False

    def _wait_for_discovery(self, deadline: float) -> bool:
        while time.monotonic() < deadline:
            if any("endpoint list valid again" in line for line in self.lines):
                return True
            time.sleep(0.02)
        self.broken.append(f"start: discovery not heard within {READY_SECONDS} s")
        return False

    def _check_refusal_to_start(self) -> None:
        """A call without which no server exists may be refused: exit code 2, with one line."""
        self.reader.join(rig.TIMEOUT)
        if self.process.returncode != 2 or len(self.lines) != 1:
            self.broken.append(f"start: exit code {self.process.returncode}, {len(self.lines)} lines")

    def _ident(self) -> str:
        with self.lock:
            self.next_ident += 1
            return f"{self.next_ident:016x}"

    def _warm_up(self) -> None:
        """Sends one request after the other, until some in a row were served: the workers have loaded the function."""
        client = rig.Client(self.address)
        in_a_row = number = 0
        deadline = time.monotonic() + READY_SECONDS
        while in_a_row < WARM_ANSWERS and time.monotonic() < deadline:
            number += 1
            (word,) = self._exchange(client, [number], "look", b"body")
            if word == "closed":
                self.broken.append("lost: the connection of a single request was closed")
                break
            in_a_row = in_a_row + 1 if word == "answer" else 0
        client.close()
        if in_a_row < WARM_ANSWERS:
            self.broken.append(f"served: {number} requests in {READY_SECONDS} s, never {WARM_ANSWERS} in a row")

    def _exchange(self, client: rig.Client, numbers: list[int], name: str, first_body: bytes) -> list[str]:
        """Sends requests at once, the first with that body; returns each answer as a word, "closed" where none came."""
        bodies = [first_body] + [b"body"] * (len(numbers) - 1)
        frames = [
            rig.dispatch(number, rig.fields(self._ident(), name), body)
            for number, body in zip(numbers, bodies, strict=True)
        ]
        try:
            client.send(b"".join(frames))
        except OSError:
            return ["closed"] * len(numbers)
        words: list[str] = []
        answered: list[int] = []
        while len(words) < len(numbers):
            number, word, _ = client.answer()
            if word == "closed":
                return words + ["closed"] * (len(numbers) - len(words))
            words.append(word)
            answered.append(number)
        if sorted(answered) != numbers:
            self.broken.append(f"answers: {sorted(answered)} to {numbers}")
        return words

    def _serve_clients(self) -> None:
        clients = [threading.Thread(target=self._be_client, args=(number,)) for number in range(CLIENTS)]
        for client in clients:
            client.start()
        for client in clients:
            client.join()
        sent = CLIENTS * ROUNDS * BURST
        if self.words["closed"]:
            self.broken.append(f"lost: {self.words['closed']} of {sent} requests got no answer")
        if self.words["answer"] < MIN_SERVED_SHARE * sent:
            self.broken.append(f"served: {dict(self.words)} of {sent} requests")

    def _be_client(self, client_number: int) -> None:
        name = "pay" if client_number else "look"
        client = rig.Client(self.address)
        client.sock.settimeout(ANSWER_SECONDS)
        for first in range(1, ROUNDS * BURST + 1, BURST):
            numbers = list(range(first, first + BURST))
            words = self._exchange(client, numbers, name, CLOSE_BODY if name == "look" else b"body")
            with self.lock:
                self.words.update(words)
        client.close()

    def _leave_in_a_stop(self) -> None:
        """Sends more than a receive buffer holds while the process is stopped, and leaves before it goes on."""
        client = rig.Client(self.address)
        client.send(rig.alive(1))
        if (word := client.answer()[1]) != "good":
            self.broken.append(f"lost: a liveness check on a new connection was answered {word}")
            return
        self.process.send_signal(signal.SIGSTOP)
        requests = (rig.dispatch(2 + n, rig.fields(self._ident()), LEFT_BODY) for n in range(LEFT_REQUESTS))
        client.send(b"".join(requests))
        client.close()
        time.sleep(STOP_SECONDS)
        self.process.send_signal(signal.SIGCONT)
        time.sleep(LOOK_SECONDS)
        bodies = [parts[3] for worker in self.workers for parts in worker.received(b"invoke")]
        if begun := bodies.count(LEFT_BODY):
            self.broken.append(f"lost: {begun} attempts began {STOP_SECONDS} s after their client had left")

    def _terminate(self) -> None:
        if self.process.poll() is not None:
            self.broken.append(f"crash: exit code {self.process.returncode}")
            return
        self.process.terminate()
        try:
            code = self.process.wait(END_SECONDS)
        except subprocess.TimeoutExpired:
            self.broken.append(f"end: not within {END_SECONDS} s")
            return
        if code:
            self.broken.append(f"end: exit code {code}")

    def _check_log(self) -> None:
        faults = [line for line in self.lines if "unhandled exception" in line or "Traceback" in line]
        if faults:
            self.broken.append(f"exception: {len(faults)} lines, the first: {faults[0].strip()}")

    def _check_workers(self) -> None:
        """A request whose effect may not come twice has one attempt: nothing fails it before it runs."""
        attempts = Counter(
            parts[1]
            for worker in self.workers
            for parts in worker.received(b"invoke")
            if b"lane=pay" in parts[2].split(b",")
        )
        if repeated := sum(count > 1 for count in attempts.values()):
            self.broken.append(f"duplicate: {repeated} side-effecting requests had several attempts")
