"""A child process that takes commands as JSON lines on its standard input."""

import contextlib
import signal
import subprocess
import threading
from collections.abc import Sequence

import msgspec

READY_TIMEOUT_SECONDS = 30.0  # long, because the machines that run scenarios are heavily loaded
EXIT_TIMEOUT_SECONDS = 20.0
LABEL_ARGUMENT_COUNT = 4  # how many of its arguments identify a process in an error message


class RigError(Exception):
    """Raised where a process of a scenario does not start, or does not end as expected."""


class ChildProcess:
    """A started process; its standard error goes to a log file.

    A process is ready once it prints its first line on standard output.
    """

    def __init__(self, arguments: Sequence[str], error_log: str, wait_until_ready: bool = True) -> None:
        """Starts the process; raises OSError, and RigError where it is waited for and does not become ready."""
        self.error_log = open(error_log, "ab")  # noqa: SIM115 - open as long as the process
        self.process = subprocess.Popen(arguments, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=self.error_log)
        if self.process.stdin is None or self.process.stdout is None:
            raise RigError(f"{arguments[0]}: process has no pipes for standard input and output")
        self._stdin = self.process.stdin
        self._stdout = self.process.stdout
        if wait_until_ready:
            self.wait_until_ready(" ".join(arguments[:LABEL_ARGUMENT_COUNT]))

    def wait_until_ready(self, label: str) -> None:
        """Waits for the first line of output; raises RigError, which names the process by `label`, where none comes."""
        first_lines: list[bytes] = []
        reader = threading.Thread(target=lambda: first_lines.append(self._stdout.readline()), daemon=True)
        reader.start()
        reader.join(READY_TIMEOUT_SECONDS)
        if not first_lines or not first_lines[0]:
            self.kill()
            raise RigError(f"{label}: did not become ready; see {self.error_log.name}")

    def send(self, command: msgspec.Struct) -> None:
        """Sends one command as a line of JSON; does nothing if the process has ended."""
        with contextlib.suppress(OSError):
            self._stdin.write(msgspec.json.encode(command) + b"\n")
            self._stdin.flush()

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    @property
    def exit_code(self) -> int | None:
        """The exit code, negative if a signal ended the process; None while it runs."""
        return self.process.poll()

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended yet."""
        return self.exit_code is None

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.process.kill()
        self.wait()

    def wait(self, timeout: float = EXIT_TIMEOUT_SECONDS) -> int:
        """Waits for the end of the process, kills it after `timeout` seconds, and returns the exit code."""
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
