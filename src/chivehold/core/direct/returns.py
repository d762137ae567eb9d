"""Tells a caller that comes back from one that comes for the first time, by the time it has left.

A caller names how long it will wait. Callers of one route mostly name the same time at first; one
that was refused and comes back has less left, by whatever has passed. A few name a longer time:
the time that is named most often counts, not the longest one.
"""

from collections import Counter, deque
from collections.abc import Hashable

SAMPLES_KEPT = 64
RESOLUTION_S = 0.05
LEAST_GAP_S = 0.3
"""A difference below this is not a return."""


class _Usual:
    """The deadlines last named on one route."""

    def __init__(self) -> None:
        self._named: deque[int] = deque()
        self._counts: Counter[int] = Counter()

    def add(self, deadline_s: float) -> float:
        """Take a deadline and return the one named most often, the longest of several."""
        step = round(deadline_s / RESOLUTION_S)
        self._named.append(step)
        self._counts[step] += 1
        if len(self._named) > SAMPLES_KEPT:
            oldest = self._named.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]
        usual = max(self._counts, key=lambda one: (self._counts[one], one))
        return usual * RESOLUTION_S


class FirstDeadlines:
    """The time that callers of each route usually have at first, in seconds."""

    def __init__(self) -> None:
        self._usual: dict[Hashable, _Usual] = {}

    def waited_before_s(self, route: Hashable, deadline_s: float | None) -> float:
        """Return how long a caller has waited before this request; 0 for a first one.

        Args:
            route: What callers with the same patience have in common.
            deadline_s: How long this one still waits.
        """
        if deadline_s is None:
            return 0.0
        usual_s = self._usual.setdefault(route, _Usual()).add(deadline_s)
        gap_s = usual_s - deadline_s
        return gap_s if gap_s >= LEAST_GAP_S else 0.0

    def keep_only(self, routes: frozenset[Hashable]) -> None:
        """Forget routes that are gone."""
        self._usual = {route: one for route, one in self._usual.items() if route in routes}
