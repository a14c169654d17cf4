"""A child process that takes commands as JSON lines on its standard input."""

import contextlib
import signal
import subprocess
import threading
from collections.abc import Sequence

import msgspec

READY_TIMEOUT_SECONDS = 30.0  # generous: the machines that run scenarios are busy
EXIT_TIMEOUT_SECONDS = 20.0
LABEL_ARGUMENTS = 4  # so many arguments name a process in an error


class RigError(Exception):
    """A process of the scenario itself did not start, or did not end as expected."""


class ChildProcess:
    """A started process; its standard error goes to a log file.

    A process is ready once it prints its first line on standard output.
    """

    def __init__(self, arguments: Sequence[str], error_log: str, wait_until_ready: bool = True) -> None:
        """Start the process; raises OSError, and RigError if it was to be waited for and did not become ready."""
        self.error_log = open(error_log, "ab")  # noqa: SIM115 - open as long as the process
        self.process = subprocess.Popen(arguments, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=self.error_log)
        if self.process.stdin is None or self.process.stdout is None:
            raise RigError(f"{arguments[0]}: started without pipes")
        self._stdin = self.process.stdin
        self._stdout = self.process.stdout
        if wait_until_ready:
            self.wait_until_ready(" ".join(arguments[:LABEL_ARGUMENTS]))

    def wait_until_ready(self, label: str) -> None:
        """Wait for the first line of output; raises RigError, which names the process by `label`, if none comes."""
        first_lines: list[bytes] = []
        reader = threading.Thread(target=lambda: first_lines.append(self._stdout.readline()), daemon=True)
        reader.start()
        reader.join(READY_TIMEOUT_SECONDS)
        if not first_lines or not first_lines[0]:
            self.kill()
            raise RigError(f"{label}: did not become ready; see {self.error_log.name}")

    def send(self, command: msgspec.Struct) -> None:
        """Send one command, as a line of JSON; a process that has ended does not get it, and this is no error."""
        with contextlib.suppress(OSError):
            self._stdin.write(msgspec.json.encode(command) + b"\n")
            self._stdin.flush()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    @property
    def exit_code(self) -> int | None:
        """The exit code, negative for a signal; None while the process runs."""
        return self.process.poll()

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended yet."""
        return self.exit_code is None

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.process.kill()
        self.wait()

    def wait(self, timeout: float = EXIT_TIMEOUT_SECONDS) -> int:
        """Wait for the end of the process, kill it after `timeout` seconds; returns the exit code."""
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return -signal.SIGKILL
        finally:
            self._close_streams()

    def _close_streams(self) -> None:
        for stream in (self._stdin, self._stdout, self.error_log):
            with contextlib.suppress(OSError):
                stream.close()
