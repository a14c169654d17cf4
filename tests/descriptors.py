"""Lists the file descriptors that this process has open, with their targets."""

import os
from contextlib import suppress

DESCRIPTOR_FOLDER = "/proc/self/fd"


def open_descriptors():
    """Returns a pair (number, target) for each open descriptor."""
    found = set()
    for number in os.listdir(DESCRIPTOR_FOLDER):
        with suppress(FileNotFoundError):  # the descriptor of this listing, which is closed by now
            found.add((number, os.readlink(f"{DESCRIPTOR_FOLDER}/{number}")))
    return found


def opened_since(before):
    """Returns the open descriptors that are not in `before`.

    Comparing counts would hide a leak: a descriptor that another test module left open may be closed meanwhile.
    """
    return open_descriptors() - before
