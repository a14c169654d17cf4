"""Bounds for how long data has waited in the kernel, as far as the polls of an event loop show. All times are ms."""

import select
from collections.abc import Iterable


class UnreadTimes:
    """Since when data may wait on each socket, known by its descriptor.

    A socket that is polled and was not reported had nothing to read when the poll looked. What is read from it later
    arrived after that, also where the process was stopped or busy in between. A socket that was reported and not read,
    or read in part, keeps the time that it had then, and so does one that is not polled.
    """

    def __init__(self, now: float) -> None:
        self.looked_at = now  # the last poll that saw all sockets looked no earlier
        self.returned_at = now  # the last poll returned
        self.arrived_after = now  # data that the last poll reported first is no older
        self.estimate = now  # likewise, without the wait of that poll, which data ends as it arrives
        self.since: dict[int, float] = {}  # of sockets with a time of their own
        self.polled: set[int] = set()

    def poll_returned(
        self, looked_at: float, now: float, waited: float, events: Iterable[tuple[int, int]], complete: bool
    ) -> None:
        """A poll returned (descriptor, events) after a wait of `waited` ms.

        With `complete`, sockets that it left out had nothing to read at `looked_at`; else there was no room for more.
        """
        self.arrived_after = self.looked_at
        self.estimate = self.looked_at + waited
        self.returned_at = now
        if not complete:
            return
        self.looked_at = looked_at
        if self.since:
            ready = {number for number, event in events if event & ~select.EPOLLOUT}
            for number in [each for each in self.since if each in self.polled and each not in ready]:
                del self.since[number]

    def of(self, number: int) -> float:
        """Returns since when data may wait on that socket."""
        if number in self.polled:
            return min(self.estimate, self.since.get(number, self.estimate))
        return self.since.get(number, self.estimate)

    def keep(self, number: int) -> None:
        """The socket was reported, and is left for a later iteration in whole or part."""
        self.since[number] = self.of(number)

    def begin(self, number: int, since: float) -> None:
        """A new socket, which may have been sent data since then."""
        self.since[number] = since

    def emptied(self, number: int) -> None:
        """All data of the socket was read."""
        if number in self.polled:
            self.since.pop(number, None)
        else:
            self.since[number] = self.returned_at

    def set_polled(self, number: int, polled: bool) -> None:
        """Whether polls report the socket when there is data to read."""
        if polled:
            self.polled.add(number)
        else:
            self.since.setdefault(number, self.of(number))
            self.polled.discard(number)

    def forget(self, number: int) -> None:
        """The socket is closed: its descriptor may be used again."""
        self.since.pop(number, None)
        self.polled.discard(number)
