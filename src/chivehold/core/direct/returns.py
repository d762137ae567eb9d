"""Tells a caller that comes back from one that comes for the first time, by the time it has left.

A caller names how long it will wait. Those of one route name about the same time at first; one that
was refused and told to come back later has less left, by more than they differ. A few name a much
longer time: what four in five stay below counts as usual, not the longest one.
"""

from collections import deque
from collections.abc import Hashable

SAMPLES_KEPT = 64
USUAL_SHARE = 0.8
LEAST_GAP_S = 2.5
"""A difference below this is not a return; callers are told to stay away for longer."""


class FirstDeadlines:
    """The time that callers of each route usually have at first, in seconds."""

    def __init__(self) -> None:
        self._named: dict[Hashable, deque[float]] = {}

    def waited_before_s(self, route: Hashable, deadline_s: float | None) -> float:
        """Return how long a caller has waited before this request; 0 for a first one.

        Args:
            route: What callers with the same patience have in common.
            deadline_s: How long this one still waits.
        """
        if deadline_s is None:
            return 0.0
        named = self._named.setdefault(route, deque(maxlen=SAMPLES_KEPT))
        named.append(deadline_s)
        usual_s = sorted(named)[int(USUAL_SHARE * (len(named) - 1))]
        gap_s = usual_s - deadline_s
        return gap_s if gap_s >= LEAST_GAP_S else 0.0

    def keep_only(self, routes: frozenset[Hashable]) -> None:
        """Forget routes that are gone."""
        self._named = {route: one for route, one in self._named.items() if route in routes}
