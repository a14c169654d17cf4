"""Reproducible random numbers and hashes of names: the same seed gives the same numbers on every machine."""

from collections.abc import Iterable

MULTIPLIER, INCREMENT, MODULUS = 6364136223846793005, 1442695040888963407, 2**64  # Knuth's MMIX
TWO_STEPS_MULTIPLIER = MULTIPLIER**2 % MODULUS
TWO_STEPS_INCREMENT = (MULTIPLIER + 1) * INCREMENT % MODULUS


class SeededRandom:
    """A linear congruential generator with the constants of Knuth's MMIX; only its high bits are used."""

    def __init__(self, seed: int) -> None:
        """Creates a generator that starts from `seed`."""
        self.state = seed % MODULUS

    def below(self, bound: int) -> int:
        """Returns an integer of at least 0 and below `bound`."""
        self.state = (self.state * MULTIPLIER + INCREMENT) % MODULUS
        return (self.state >> 33) % bound

    def fraction(self) -> float:
        """Returns a number of at least 0 and below 1."""
        return self.below(2**31) / 2**31


def name_hash(text: str) -> int:
    """Returns a 64-bit hash of the text."""
    random = SeededRandom(0)
    for byte in text.encode():
        random.state ^= byte
        random.below(1)
    return random.state


def hash_fraction(*hashes: int) -> float:
    """Returns a number above 0 and at most 1 that depends only on the hashes.

    Does without a SeededRandom object, as it is called often.
    """
    state = 0
    for value in (*hashes, None):
        state = state if value is None else state ^ value ^ state >> 33
        state = (state * MULTIPLIER + INCREMENT) % MODULUS
    return 1 - (state >> 33) % 2**31 / 2**31


def hash_fractions(first: int, others: Iterable[int]) -> list[float]:
    """Returns `hash_fraction(first, other)` for each of the others, at a fraction of the cost."""
    state = (first * MULTIPLIER + INCREMENT) % MODULUS
    state ^= state >> 33
    return [
        1 - ((state ^ other) * TWO_STEPS_MULTIPLIER + TWO_STEPS_INCREMENT) % MODULUS // 2**33 / 2**31
        for other in others
    ]
