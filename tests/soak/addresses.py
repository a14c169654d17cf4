"""Loopback addresses that no other process of this machine uses."""

import itertools
import os

FIRST_PORT = 20000  # below those that the kernel gives to outgoing connections
PORTS = itertools.count(FIRST_PORT)


def reserve_address() -> str:
    """An address of this process alone, on which listeners may end and begin again."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 16) % 200}.{pid >> 8 & 255}.{pid & 255}:{next(PORTS)}"
