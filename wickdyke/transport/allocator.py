"""The C library's allocator, set up so that memory that is freed goes back to the system, and what the process has."""

import ctypes
import os
from contextlib import suppress

# Parameters of mallopt(3).
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8

# Bytes; blocks from this size on are mapped one by one, and unmapped when they are freed. Smaller ones are not: each
# read allocates a block, and mapping it takes longer than the read.
MAPPED_BLOCK_SIZE = 128 * 1024
TRIM_THRESHOLD = 128 * 1024  # bytes free at the end of the heap that are kept
PAGE_COUNTS_PATH = "/proc/self/statm"  # proc(5): size, resident, shared and others, in pages
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")  # bytes


def return_freed_memory() -> bool:
    """Sets the allocator up; returns False where the C library has no such parameters, and nothing was changed."""
    # By default the library raises the size of mapped blocks and the memory that it keeps each time a mapped block is
    # freed, and gives each thread a heap of its own. Setting the parameters ends that.
    with suppress(OSError, AttributeError, TypeError):
        mallopt = ctypes.CDLL(None).mallopt
        return all(
            mallopt(parameter, value) == 1
            for parameter, value in (
                (M_MMAP_THRESHOLD, MAPPED_BLOCK_SIZE),
                (M_TRIM_THRESHOLD, TRIM_THRESHOLD),
                (M_ARENA_MAX, 1),
            )
        )
    return False


def own_memory() -> int | None:
    """Returns the bytes of memory of this process without the files that it maps; None where that can't be read."""
    try:
        with open(PAGE_COUNTS_PATH, "rb") as source:
            _, resident, shared, *_ = source.read().split()
    except (OSError, ValueError):
        return None
    return (int(resident) - int(shared)) * PAGE_SIZE
