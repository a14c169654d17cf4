"""The ids of requests that have ended and may have run: a request under such an id is not run again.

The protocol makes an id new with every request. A client that leaves and sends the same id again would have it run
twice, as the first attempt may have run or still run at its worker. So the id stays known until the time of the first
request is over, by which the worker gives it up as well. Requests that may run twice are not remembered.
"""

import heapq

from wickdyke.platform.memory_budget import ENDED_ID_BYTES, MemoryBudget


class EndedRequestIds:
    """The ids, each until its time is over; they count in the memory budget of the clients, which bounds them."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.known: set[bytes] = set()
        self.expiries: list[tuple[float, bytes]] = []  # a heap of (ms, id)

    def remember(self, ident: bytes, until: float, now: float) -> None:
        """Adds an id until a time (monotonic ms)."""
        self._trim(now)
        if until <= now or ident in self.known:
            return
        self.known.add(ident)
        heapq.heappush(self.expiries, (until, ident))
        self.budget.requests += ENDED_ID_BYTES

    def is_known(self, ident: bytes, now: float) -> bool:
        """Returns whether a request of that id may have run, and its time is not over at `now` (monotonic ms)."""
        self._trim(now)
        return ident in self.known

    def _trim(self, now: float) -> None:
        while self.expiries and self.expiries[0][0] <= now:
            self.known.discard(heapq.heappop(self.expiries)[1])
            self.budget.requests -= ENDED_ID_BYTES
