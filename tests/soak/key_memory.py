"""The keys of repeats that the workers of a zone remember."""

import threading

WINDOW_SECONDS = 1.0  # for which front ends may rely on a key being known
SLACK_SECONDS = 0.05  # tolerance added to every limit of the protocol


class KeyMemory:
    """Remembers each key from its first use on, for all workers of a zone."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.used_at: dict[str, float] = {}

    def is_new(self, key: str, at: float) -> bool:
        """Records the use of a key at that time (Unix s); returns whether it was not remembered."""
        with self.lock:
            if at - self.used_at.get(key, float("-inf")) <= WINDOW_SECONDS + SLACK_SECONDS:
                return False
            self.used_at[key] = at
            return True
