"""Detection of callers that retry after a refusal, from the deadline that they send.

Each caller states how long it will wait. The first requests to a route state about the same time; a
caller that was refused and told to retry later has less left, by more than first requests differ. A
few callers state a much longer time, so the 80th percentile counts as usual and not the maximum.
"""

from collections import deque
from collections.abc import Hashable

SAMPLES_KEPT = 64
USUAL_DEADLINE_QUANTILE = 0.8
MIN_GAP_S = 2.5
"""Smallest difference that counts as a retry; callers are told to wait longer than this."""


class ReturnDetector:
    """Tracks the usual deadline of first requests per route and detects retries against it."""

    def __init__(self) -> None:
        self._deadlines: dict[Hashable, deque[float]] = {}

    def waited_before_s(self, route: Hashable, deadline_s: float | None) -> float:
        """Return how long a caller has waited before this request, in seconds; 0 for a first one.

        Args:
            route: Key of the route; its first requests state about the same deadline.
            deadline_s: How long this caller still waits, or ``None`` if it does not say.
        """
        if deadline_s is None:
            return 0.0
        deadlines_s = self._deadlines.setdefault(route, deque(maxlen=SAMPLES_KEPT))
        deadlines_s.append(deadline_s)
        usual_s = sorted(deadlines_s)[int(USUAL_DEADLINE_QUANTILE * (len(deadlines_s) - 1))]
        gap_s = usual_s - deadline_s
        return gap_s if gap_s >= MIN_GAP_S else 0.0

    def forget_routes_except(self, routes: frozenset[Hashable]) -> None:
        """Forget the deadlines of all routes except these."""
        self._deadlines = {
            route: deadlines_s for route, deadlines_s in self._deadlines.items() if route in routes
        }
