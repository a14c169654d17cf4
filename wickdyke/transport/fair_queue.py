"""Fair queueing of the time that a loop spends on its sockets.

Start-time fair queueing (Goyal, Vin and Cheng, IEEE/ACM Transactions on Networking 5(5), 1997), but in the order of
finish tags, so that a short turn need not wait for long ones. The length of a turn is not known before; it is taken to
be the shorter one of the flow's last two, since a pause of the process can make any turn long. All times are ms.
"""

from collections.abc import Iterable

MIN_TURN = 0.001  # that a turn counts as at least: without it, flows too quick to be measured would not take turns
MEAN_WEIGHT = 1 / 16  # of a turn in the mean length of turns


class FairQueue:
    """The order in which flows, known by their descriptor, are served: the turn that is to end first comes first.

    Flows that always wait get equal time, in turns of any length; one that waits rarely, for short turns, is next. A
    flow that was idle begins at the virtual time: it has saved up nothing and owes nothing. A new one counts as mean.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0  # the greatest start tag of the turns so far
        self.mean_turn = MIN_TURN
        self.last_turns: dict[int, tuple[float, float]] = {}  # the lengths of each flow's last two turns
        self.start_tags: dict[int, float] = {}  # of flows that wait for their turn
        self.finish_tags: dict[int, float] = {}  # the virtual time at which the last turn of a busy flow ended

    def wait(self, fds: Iterable[int]) -> None:
        """Records that flows wait for their turn; those that did so already keep their place."""
        for fd in fds:
            if fd not in self.start_tags:
                self.start_tags[fd] = self._start_tag(fd)

    def expected_finish(self, fd: int) -> float:
        """Returns the virtual time at which the turn of a waiting flow is expected to end; the least one is next."""
        return self.start_tags[fd] + min(self.last_turns.get(fd, (self.mean_turn,)))

    def end_turn(self, fd: int, length: float, is_idle: bool = False) -> None:
        """Records a turn of a waiting flow that ends now; `is_idle`: whether the flow has no more to do."""
        length = max(length, MIN_TURN)
        start_tag = self._start_tag(fd)
        self.start_tags.pop(fd, None)
        self.virtual_time = max(self.virtual_time, start_tag)
        _, previous = self.last_turns.get(fd, (length, length))
        self.last_turns[fd] = (previous, length)
        self.mean_turn += MEAN_WEIGHT * (length - self.mean_turn)
        if is_idle:
            self.finish_tags.pop(fd, None)
        else:
            self.finish_tags[fd] = start_tag + length

    def charge(self, fd: int, time_used: float) -> None:
        """Adds time that was spent on the flow apart from its turns."""
        self.finish_tags[fd] = self._start_tag(fd) + time_used
        if fd in self.start_tags:
            self.start_tags[fd] = self.finish_tags[fd]

    def remove(self, fd: int) -> None:
        """Drops a flow whose socket is closed; its descriptor may be used again."""
        for tags in (self.start_tags, self.finish_tags, self.last_turns):
            tags.pop(fd, None)

    def _start_tag(self, fd: int) -> float:
        return self.start_tags.get(fd, max(self.virtual_time, self.finish_tags.get(fd, 0.0)))
