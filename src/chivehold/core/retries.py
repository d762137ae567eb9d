"""The budget of further attempts, so that failures never multiply the load."""

import math
from collections import deque


class RetryBudget:
    """Allows further attempts as a share of the requests of the recent window.

    Args:
        share: Further attempts per recent request, 0 to 1.
        floor: Further attempts allowed at any rate within the window.
        window_s: Length of the window in seconds.
        add_share_to_floor: Allow the floor and the share together; else whichever is more.
    """

    def __init__(
        self, share: float, floor: int, window_s: float, add_share_to_floor: bool = False
    ) -> None:
        self._share = share
        self._floor = floor
        self._window_s = window_s
        self._add_share_to_floor = add_share_to_floor
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    @property
    def spent(self) -> int:
        """Further attempts made within the window, as of the last call."""
        return len(self._retries)

    def set_limits(self, share: float, floor: int) -> None:
        """Change what is allowed from now on."""
        self._share = share
        self._floor = floor

    def record_request(self, now: float) -> None:
        """Count a new request."""
        self._drop_old(now)
        self._requests.append(now)

    def try_spend(self, now: float) -> bool:
        """Spend one further attempt, or return ``False`` when the budget is spent."""
        self._drop_old(now)
        if len(self._retries) + 1 > self._allowed():
            return False
        self._retries.append(now)
        return True

    def _allowed(self) -> float:
        share = self._share * len(self._requests)
        return (
            self._floor + share if self._add_share_to_floor else max(self._floor, math.ceil(share))
        )

    def _drop_old(self, now: float) -> None:
        oldest = now - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= oldest:
                times.popleft()
