"""Waiting times between tries against the platform."""

from collections.abc import Iterator
from random import Random

INITIAL_DELAY_S = 0.05
MAX_DELAY_S = 1.0
GROWTH = 2.0


def backoff_delays(
    rng: Random, initial_s: float = INITIAL_DELAY_S, max_s: float = MAX_DELAY_S
) -> Iterator[float]:
    """Yield growing waiting times in seconds, each drawn between half and all of its bound."""
    bound_s = initial_s
    while True:
        yield bound_s * rng.uniform(0.5, 1.0)
        bound_s = min(max_s, bound_s * GROWTH)
