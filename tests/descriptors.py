"""The descriptors that this process has open, told apart by what they are open for."""

import os
from contextlib import suppress

FOLDER = "/proc/self/fd"


def open_descriptors():
    """(number, target) of each."""
    found = set()
    for number in os.listdir(FOLDER):
        with suppress(FileNotFoundError):  # that of this listing is closed by now
            found.add((number, os.readlink(f"{FOLDER}/{number}")))
    return found


def opened_since(before):
    """Those open now that are not among those of before.

    Not their number: one that another test module left may be closed meanwhile, and would hide one that leaks.
    """
    return open_descriptors() - before
