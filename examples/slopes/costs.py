"""Measures memory and processor time of work in this process."""

import gc
import time
import tracemalloc
from collections.abc import Callable

REPEATS = 3


def retained_bytes(build: Callable[[], object]) -> float:
    """Return how many bytes the object that ``build`` returns keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        retained = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del retained
        return float(after - before)
    finally:
        tracemalloc.stop()


def min_cpu_us(work: Callable[[], int]) -> float:
    """Return the lowest processor time of one operation over ``REPEATS`` runs, in µs.

    Args:
        work: Performs some operations and returns their number.
    """
    return min(_cpu_us(work) for _ in range(REPEATS))


def _cpu_us(work: Callable[[], int]) -> float:
    start = time.process_time()
    operations = work()
    return (time.process_time() - start) / operations * 1e6
