"""How a service of ours is asked to end."""

import os
import signal
import threading


def asked() -> threading.Event:
    """Set once SIGTERM or SIGINT comes; a second signal ends the process at once with code 1. For the main thread."""
    ended = threading.Event()

    def heard(number: int, frame: object) -> None:
        if ended.is_set():
            os._exit(1)
        ended.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, heard)
    return ended


def wait(ended: threading.Event) -> None:
    """Until it is set. In pieces: a wait without an end would not let the signal's handler run."""
    while not ended.wait(3600):
        pass
