"""A retry budget, which keeps failures from multiplying the load."""

import math
from collections import deque


class RetryBudget:
    """Limits retries to a share of the requests in a sliding window.

    Args:
        share: Retries allowed per request in the window, 0 to 1.
        floor: Retries allowed in the window regardless of the number of requests.
        window_s: Length of the window in seconds.
        add_share_to_floor: Allow the sum of floor and share; otherwise the greater of the two.
    """

    def __init__(
        self, share: float, floor: float, window_s: float, add_share_to_floor: bool = False
    ) -> None:
        self._share = share
        self._floor = floor
        self._window_s = window_s
        self._add_share_to_floor = add_share_to_floor
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    @property
    def spent(self) -> int:
        """Number of retries in the window, as of the last call."""
        return len(self._retries)

    def set_limits(self, share: float, floor: float) -> None:
        """Replace the share and the floor."""
        self._share = share
        self._floor = floor

    def record_request(self, now: float) -> None:
        """Count a request at monotonic time ``now``, in seconds."""
        self._drop_old(now)
        self._requests.append(now)

    def try_spend(self, now: float) -> bool:
        """Spend one retry, or return ``False`` if the budget is exhausted."""
        self._drop_old(now)
        if len(self._retries) + 1 > self._allowed():
            return False
        self._retries.append(now)
        return True

    def charge(self, now: float) -> None:
        """Count a retry that has already been made, even beyond the budget."""
        self._drop_old(now)
        self._retries.append(now)

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
