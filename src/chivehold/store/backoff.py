"""Waiting times between tries against the platform."""

from collections.abc import Iterator
from random import Random

FIRST_WAIT_S = 0.05
LONGEST_WAIT_S = 1.0
GROWTH = 2.0


def waits(
    rng: Random, first_s: float = FIRST_WAIT_S, longest_s: float = LONGEST_WAIT_S
) -> Iterator[float]:
    """Yield growing waiting times in seconds, each drawn between half and all of its bound."""
    bound_s = first_s
    while True:
        yield bound_s * rng.uniform(0.5, 1.0)
        bound_s = min(longest_s, bound_s * GROWTH)
