"""Front ends whose system answers one kind of call oddly; `python -m tests.faulty_system` plays every kind of call."""

import errno
import unittest
from concurrent.futures import ThreadPoolExecutor

from tests.faulty_system.cells import CLOCK_CALL, CONNECT_RESULT, SET_NON_BLOCKING, Cell, draw_cells, refused
from tests.faulty_system.play import met_calls, play_cell, play_true_system

JOBS = 4  # plays at once
SEED = 65
DRAWN_CELLS = 16
MEMORY_OF_A_SOCKET = "getsockopt 1/55"  # SO_MEMINFO
RECEIVE_BUFFER = "getsockopt 1/8"  # SO_RCVBUF
CLOSE_BEHIND_DATA = "poll 8192"  # POLLRDHUP
PEEK = "recv 66"  # MSG_PEEK | MSG_DONTWAIT
NO_DELAY = "setsockopt 6/1"  # TCP_NODELAY
OWN_MEMORY = "open /proc/self/statm"
NAMED_CELLS = (
    Cell(MEMORY_OF_A_SOCKET, "length 0"),
    Cell(MEMORY_OF_A_SOCKET, "length 4"),
    Cell(MEMORY_OF_A_SOCKET, "length 4", 4),
    Cell(MEMORY_OF_A_SOCKET, "zeros"),
    Cell(MEMORY_OF_A_SOCKET, "ones"),
    refused(MEMORY_OF_A_SOCKET, errno.ENOPROTOOPT),
    refused(CLOSE_BEHIND_DATA, errno.ENOSYS),
    refused(CLOSE_BEHIND_DATA, errno.EPERM, 4),
    Cell(CLOSE_BEHIND_DATA, "ones"),
    Cell(CLOSE_BEHIND_DATA, "zeros"),
    refused(PEEK, errno.EOPNOTSUPP),
    Cell(RECEIVE_BUFFER, "zeros"),
    Cell(RECEIVE_BUFFER, "ones"),
    refused(RECEIVE_BUFFER, errno.ENOPROTOOPT),
    refused(CONNECT_RESULT, errno.ENOPROTOOPT),
    refused(SET_NON_BLOCKING, errno.EPERM),
    refused(NO_DELAY, errno.ENOPROTOOPT),
    refused(OWN_MEMORY, errno.EACCES),
)


def describe(broken: list[str]) -> str:
    """Returns the findings, a line each, with the rule at its beginning."""
    return "\n" + "\n".join(f"  {finding}" for finding in broken)


class FaultySystem(unittest.TestCase):
    """Each play: ready in time, each request answered once, rules kept, no exception; or a refusal to start."""

    def assert_cells_hold(self, cells):
        with ThreadPoolExecutor(JOBS) as pool:
            results = list(pool.map(play_cell, cells))
        for cell, broken in zip(cells, results, strict=True):
            with self.subTest(cell=f"{cell.call}, {cell.answer}, from {cell.first}"):
                self.assertEqual(broken, [], describe(broken))

    def test_a_system_that_answers_truly(self):
        broken = play_true_system()
        self.assertEqual(broken, [], describe(broken))

    def test_answers_of_another_shape(self):
        """Guards against a hint of the system that decides, by its shape, whether anything works (issue 65)."""
        self.assert_cells_hold(NAMED_CELLS)

    def test_a_clock_that_moves_with_processor_time(self):
        """Guards against a loop that ends only as the clock moves by itself (issue 65)."""
        self.assert_cells_hold([Cell(CLOCK_CALL)])

    def test_drawn_answers(self):
        """Guards against the same fault in any call that a front end makes, also one that is added later."""
        self.assert_cells_hold(draw_cells(list(met_calls()), SEED, DRAWN_CELLS))


if __name__ == "__main__":
    unittest.main()
