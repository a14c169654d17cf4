"""Counts the exceptions that nothing else handles, by the place that raised them, and logs them ever more rarely."""

import os
import traceback
from collections import Counter

from wickdyke.gateway.interfaces import Log
from wickdyke.gateway.log import is_power_of_ten

MAX_PLACES = 32  # places counted apart; exceptions of all further ones are counted together
OTHER_PLACES = "elsewhere"
MAX_REASON_LENGTH = 200  # characters of an exception's text that are logged


def place_of(error: Exception) -> str:
    """Returns the file and line that raised the exception."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return OTHER_PLACES
    return f"{os.path.basename(frames[-1].filename)}:{frames[-1].lineno}"


class ExceptionLog:
    """The exceptions of one process. A place that fails at each call must not fill the log, but show in the counts."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.counts: Counter[str] = Counter()  # by place

    def record(self, event: str, error: Exception) -> None:
        """Counts an exception; logs `event` with the first, the tenth, the hundredth and so on of its place."""
        place = place_of(error)
        if place not in self.counts and len(self.counts) >= MAX_PLACES:
            place = OTHER_PLACES
        self.counts[place] += 1
        if is_power_of_ten(self.counts[place]):
            reason = f"{type(error).__name__}: {error}"[:MAX_REASON_LENGTH]
            self.log.error(event, reason=reason, where=place, so_far=self.counts[place])
