"""Constants and helpers shared by the tests of large fleets."""

import random
import sys

from wickdyke.routing import router
from wickdyke.routing.model import Function
from wickdyke.routing.seeded_random import name_hash

SINGLE_CELL_LIMIT, CELL_CAPACITY, POINTS_PER_FUNCTION = (
    router.SINGLE_CELL_LIMIT,
    router.CELL_CAPACITY,
    router.POINTS_PER_FUNCTION,
)
FLEET_SIZES = (200, 1000, 5000, 10000)
MAX_COST_RATIO = 1.2  # factor by which costs in the largest fleets may exceed those in the smallest ones


def function_names(many, seed=3):
    """Returns `many` random function names, the same for the same seed."""
    random_source = random.Random(seed)
    return [f"{random_source.randrange(2**64):016x}" for _ in range(many)]


def make_function(name):
    """Returns a function without replicas."""
    return Function(name, None, 1.0, 1, 0.0, (), (), (), (), name_hash(name))


def count_lines(act, *args):
    """Returns the number of Python lines that a call runs; each iteration of a comprehension counts."""
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
