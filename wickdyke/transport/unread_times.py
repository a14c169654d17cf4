"""Bounds how long data has waited in the kernel, from the results of an event loop's polls. All times are ms."""

import select
from collections.abc import Iterable


class UnreadTimes:
    """Tracks since when data may wait on each socket, by its descriptor.

    A socket that is polled and was not reported had nothing to read at the time of the poll. Data read from it later
    arrived after that, even if the process was stopped or busy in between. A socket that was reported but not read, or
    read in part, keeps the time that it had then, and so does a socket that is not polled.
    """

    def __init__(self, now: float) -> None:
        self.checked_at = now  # the earliest time at which the last complete poll may have checked the sockets
        self.returned_at = now  # when the last poll returned
        self.arrived_after = now  # lower bound for the arrival of data first reported by the last poll
        # As `arrived_after`, plus the wait of that poll: data ends the wait as it arrives.
        self.estimated_arrival = now
        self.unread_since: dict[int, float] = {}  # by descriptor, of sockets that were left unread or are not polled
        self.polled_fds: set[int] = set()

    def poll_returned(
        self, checked_at: float, now: float, waited: float, events: Iterable[tuple[int, int]], complete: bool
    ) -> None:
        """Records that a poll returned (descriptor, events) pairs at `now`, after a wait of `waited` ms.

        With `complete`, sockets that were not reported had nothing to read at `checked_at`; otherwise the poll may have
        left out sockets because its result was full.
        """
        self.arrived_after = self.checked_at
        self.estimated_arrival = self.checked_at + waited
        self.returned_at = now
        if not complete:
            return
        self.checked_at = checked_at
        if self.unread_since:
            ready = {fd for fd, event in events if event & ~select.EPOLLOUT}
            for fd in [each for each in self.unread_since if each in self.polled_fds and each not in ready]:
                del self.unread_since[fd]

    def waiting_since(self, fd: int) -> float:
        """Returns since when data may wait on the socket."""
        if fd in self.polled_fds:
            return min(self.estimated_arrival, self.unread_since.get(fd, self.estimated_arrival))
        return self.unread_since.get(fd, self.estimated_arrival)

    def mark_unread(self, fd: int) -> None:
        """Records that a reported socket is left for a later iteration, unread or read in part."""
        self.unread_since[fd] = self.waiting_since(fd)

    def set_unread_since(self, fd: int, unread_since: float) -> None:
        """Records a new socket, on which data may wait since that time."""
        self.unread_since[fd] = unread_since

    def mark_empty(self, fd: int) -> None:
        """Records that all data of the socket was read."""
        if fd in self.polled_fds:
            self.unread_since.pop(fd, None)
        else:
            self.unread_since[fd] = self.returned_at

    def set_polled(self, fd: int, is_polled: bool) -> None:
        """Sets whether polls report the socket when there is data to read."""
        if is_polled:
            self.polled_fds.add(fd)
        else:
            self.unread_since.setdefault(fd, self.waiting_since(fd))
            self.polled_fds.discard(fd)

    def remove(self, fd: int) -> None:
        """Drops the state of a closed socket, whose descriptor may be reused."""
        self.unread_since.pop(fd, None)
        self.polled_fds.discard(fd)
