"""Tells a caller that comes back from one that comes for the first time, by the time it has left.

A caller names how long it will wait. Those of one route name about the same time at first; one that
was refused and told to come back later has less left, by more than they differ. A few name a much
longer time: what four in five stay below counts as usual, not the longest one.
"""

from collections import deque
from collections.abc import Hashable

SAMPLES_KEPT = 64
USUAL_DEADLINE_QUANTILE = 0.8
MIN_GAP_S = 2.5
"""A difference below this is not a return; callers are told to stay away for longer."""


class ReturnDetector:
    """The time that callers of each route usually have at first, in seconds."""

    def __init__(self) -> None:
        self._deadlines: dict[Hashable, deque[float]] = {}

    def waited_before_s(self, route: Hashable, deadline_s: float | None) -> float:
        """Return how long a caller has waited before this request; 0 for a first one.

        Args:
            route: What callers with the same patience have in common.
            deadline_s: How long this one still waits.
        """
        if deadline_s is None:
            return 0.0
        deadlines_s = self._deadlines.setdefault(route, deque(maxlen=SAMPLES_KEPT))
        deadlines_s.append(deadline_s)
        usual_s = sorted(deadlines_s)[int(USUAL_DEADLINE_QUANTILE * (len(deadlines_s) - 1))]
        gap_s = usual_s - deadline_s
        return gap_s if gap_s >= MIN_GAP_S else 0.0

    def forget_routes_except(self, routes: frozenset[Hashable]) -> None:
        """Forget routes that are gone."""
        self._deadlines = {
            route: deadlines_s for route, deadlines_s in self._deadlines.items() if route in routes
        }
