"""Exponential backoff with jitter for retries against the platform."""

from collections.abc import Iterator
from random import Random

INITIAL_DELAY_S = 0.05
MAX_DELAY_S = 1.0
MULTIPLIER = 2.0


def backoff_delays(
    rng: Random, initial_s: float = INITIAL_DELAY_S, max_s: float = MAX_DELAY_S
) -> Iterator[float]:
    """Yield retry delays in seconds, with jitter.

    Each delay is drawn between half and all of an upper bound that grows from ``initial_s`` to
    ``max_s``.
    """
    upper_bound_s = initial_s
    while True:
        yield upper_bound_s * rng.uniform(0.5, 1.0)
        upper_bound_s = min(max_s, upper_bound_s * MULTIPLIER)
