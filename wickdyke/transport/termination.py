"""Termination of a service by SIGTERM or SIGINT."""

import os
import signal
import threading

WAIT_INTERVAL = 3600.0  # s


def install_handlers() -> threading.Event:
    """Returns an event that SIGTERM or SIGINT sets; a second signal ends the process at once with code 1.

    It must be called in the main thread.
    """
    terminated = threading.Event()

    def handle(number: int, frame: object) -> None:
        if terminated.is_set():
            os._exit(1)
        terminated.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, handle)
    return terminated


def wait(terminated: threading.Event) -> None:
    """Waits until the event is set."""
    # The wait has a timeout, because a wait without one would not let the signal handler run.
    while not terminated.wait(WAIT_INTERVAL):
        pass
