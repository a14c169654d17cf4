"""Fleets, names and functions shared by the tests of large fleets."""

import random
import sys

from wickdyke.routing import router
from wickdyke.routing.model import Function
from wickdyke.routing.seeded_random import name_hash

WHOLE, CAPACITY, POINTS = router.SINGLE_CELL_LIMIT, router.CELL_CAPACITY, router.POINTS_PER_FUNCTION
SIZES = (200, 1000, 5000, 10000)
FLAT = 1.2  # how much more something may cost in the largest fleets than in the smallest


def names(many, seed=3):
    """`many` random names of functions, the same for the same seed."""
    chance = random.Random(seed)
    return [f"{chance.randrange(2**64):016x}" for _ in range(many)]


def function(name):
    """A function without replicas."""
    return Function(name, None, 1.0, 1, 0.0, (), (), (), (), name_hash(name))


def count_lines(act, *args):
    """Lines of Python that are run, each turn of a comprehension counted."""
    count = 0

    def trace(frame, event, arg):
        nonlocal count
        count += event == "line"
        return trace

    sys.settrace(trace)
    try:
        act(*args)
    finally:
        sys.settrace(None)
    return count
