"""Chance that can be played again: the same seed gives the same draws on every machine."""

from collections.abc import Iterable

MULTIPLIER, INCREMENT, MODULUS = 6364136223846793005, 1442695040888963407, 2**64  # Knuth's MMIX
TWICE, TWICE_MORE = MULTIPLIER**2 % MODULUS, (MULTIPLIER + 1) * INCREMENT % MODULUS  # two steps in one


class Chance:
    """A linear congruential generator (Knuth's MMIX constants), of which the high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed % MODULUS

    def below(self, bound: int) -> int:
        self.state = (self.state * MULTIPLIER + INCREMENT) % MODULUS
        return (self.state >> 33) % bound

    def part(self) -> float:
        """A number of at least 0 and below 1."""
        return self.below(2**31) / 2**31


def mark(text: str) -> int:
    """A number that hangs on the text alone."""
    chance = Chance(0)
    for byte in text.encode():
        chance.state ^= byte
        chance.below(1)
    return chance.state


def draw(*marks: int) -> float:
    """A number above 0 and at most 1 that hangs on the marks alone; no objects, as it is drawn often."""
    state = 0
    for each in (*marks, None):
        state = state if each is None else state ^ each ^ state >> 33
        state = (state * MULTIPLIER + INCREMENT) % MODULUS
    return 1 - (state >> 33) % 2**31 / 2**31


def draws(first: int, others: Iterable[int]) -> list[float]:
    """`draw(first, other)` for each of the others, at a fraction of its cost."""
    state = (first * MULTIPLIER + INCREMENT) % MODULUS
    state ^= state >> 33
    return [1 - ((state ^ other) * TWICE + TWICE_MORE) % MODULUS // 2**33 / 2**31 for other in others]
