"""Loopback addresses that no other process of the machine uses."""

import itertools
import os

FIRST_PORT = 20000  # below the ports that the kernel assigns to outgoing connections
PORTS = itertools.count(FIRST_PORT)


def reserve_address() -> str:
    """Returns an address of this process alone, on which listeners can be closed and reopened."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 16) % 200}.{pid >> 8 & 255}.{pid & 255}:{next(PORTS)}"
