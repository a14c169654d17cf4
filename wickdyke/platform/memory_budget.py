"""How the memory of a front end is divided, and the budget that its client connections share.

What is left of the limit after the process has started is divided into fixed shares: for what clients can make grow,
for the records of functions, for incomplete answers of workers, and the rest for what is not counted: lines of the log
that wait, the data of one iteration, and the allocator's overhead. The shares of clients and of workers' answers follow
the list of workers, whose records are paid for first.
"""

from dataclasses import dataclass

MEGABYTE = 1 << 20  # bytes
RECORD_BYTES = 8 * 1024  # records of one open request, its attempt and its command, without the body
ENDED_ID_BYTES = 256  # record of the id of a request that has ended
BODY_COPIES = 2  # of a body that exist at once: as received, and in a command or an answer that waits to be sent
PROCESS_BYTES = 17 * MEGABYTE  # of a process that has read its configuration
WORKER_BYTES = 4 * 1024  # records of one listed worker
FUNCTION_BYTES = 5 * 1024  # records of one function with all samples, and of its replicas
CLIENT_SHARE = 0.35  # of the memory left: open requests, incomplete frames and unsent answers of clients
FUNCTION_SHARE = 0.25  # of the memory left: functions that the router keeps
ANSWER_SHARE = 0.15  # of the memory left: incomplete answers of workers
REQUEST_FRACTION = 0.75  # of the clients' memory that open requests may take; the rest is for their buffers
MAX_FRACTION_OF_FREE = 0.5  # of the memory left for requests that one connection may hold
MIN_SPARE_FRACTION = 1 / 8  # of the limit that is divided, however much the process has at its start
MIN_FUNCTIONS = 64


@dataclass(slots=True, frozen=True)
class MemoryPlan:
    """The shares of a front end's memory."""

    client_bytes: int  # that clients' requests, frames and answers may hold
    functions: int  # that the router may keep
    answer_bytes: int  # that incomplete answers of workers may hold


def base_bytes(own_memory: int | None, workers: int) -> int:
    """Returns the bytes that the process and a list of that many workers take, before any client comes.

    `own_memory` is what the process was seen to have before it read the list; None where that is not known.
    """
    return max(own_memory or 0, PROCESS_BYTES) + workers * WORKER_BYTES


def plan_memory(limit_mb: float, base: int) -> MemoryPlan:
    """Divides a limit (MB of 2^20 bytes), of which the process has `base` bytes at its start."""
    limit = limit_mb * MEGABYTE
    spare = max(limit - base, limit * MIN_SPARE_FRACTION)
    return MemoryPlan(
        client_bytes=int(spare * CLIENT_SHARE),
        functions=max(MIN_FUNCTIONS, int(spare * FUNCTION_SHARE / FUNCTION_BYTES)),
        answer_bytes=int(spare * ANSWER_SHARE),
    )


def request_bytes(body_size: int) -> int:
    """Returns the bytes that an open request with a body of that size may take."""
    return RECORD_BYTES + BODY_COPIES * body_size


class MemoryBudget:
    """The bytes that all client connections together may hold, for open requests and in their buffers.

    A connection may hold a fraction of what is left free, the dynamic threshold of shared buffers (Choudhury and Hahne,
    IEEE/ACM Transactions on Networking 6(2), 1998): many connections that hold all they can leave a part to the others.
    """

    def __init__(self, capacity: int, min_request_bytes: int = 0) -> None:
        """Creates an empty budget; each request counts as `min_request_bytes` at least, which bounds their number."""
        self.capacity = capacity
        self.request_capacity = int(capacity * REQUEST_FRACTION)
        self.min_request_bytes = min_request_bytes
        self.requests = 0  # bytes of open requests, and of the ids of some that have ended
        self.buffers = 0  # bytes of incomplete frames and unsent answers

    def resize(self, capacity: int) -> None:
        """Sets the capacity; where more is held already nothing is dropped, and the next call may set it lower."""
        self.request_capacity = int(capacity * REQUEST_FRACTION)
        self.capacity = max(capacity, self.used)

    @property
    def used(self) -> int:
        """The bytes held by all connections."""
        return self.requests + self.buffers

    @property
    def exceeded(self) -> bool:
        """Whether more is held than the capacity."""
        return self.used > self.capacity

    def size_of(self, body_size: int) -> int:
        """Returns the bytes that a request with a body of that size counts as."""
        return max(request_bytes(body_size), self.min_request_bytes)


class MemoryAccount:
    """The part of a budget that one client connection holds."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.requests = 0  # bytes of its open requests, and of those that it has left
        self.buffers = 0  # bytes of its incomplete frame and its unsent answers

    def admits(self, size: int) -> bool:
        """Returns whether a request of `size` bytes may be added."""
        held = self.requests + self.buffers
        return held + size <= (self.budget.request_capacity - self.budget.requests) * MAX_FRACTION_OF_FREE

    def add_request(self, size: int) -> None:
        """Adds bytes of a request, or subtracts them where `size` is negative."""
        self.requests += size
        self.budget.requests += size

    def set_buffers(self, size: int) -> None:
        """Records how many bytes the connection's buffers hold now."""
        self.budget.buffers += size - self.buffers
        self.buffers = size
