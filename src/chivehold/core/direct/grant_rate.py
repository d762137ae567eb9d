"""The rate at which memory is granted while requests wait, and the wait that follows from it."""

import math

WINDOW_S = 5.0
"""Time constant with which grants lose weight; about the length of a burst."""
MIN_BUSY_S = 0.5
"""Time of waiting that the window must hold for an estimate."""


class GrantRate:
    """Measures the tokens granted per second of time during which requests waited."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._busy_s = 0.0
        self._busy_since: float | None = None
        self._updated_at = 0.0

    def record_waiting(self, is_waiting: bool, now: float) -> None:
        """Record whether requests wait that engines have refused memory."""
        self._update(now)
        if not is_waiting:
            self._busy_since = None
        elif self._busy_since is None:
            self._busy_since = now

    def record_grant(self, tokens: int, now: float) -> None:
        """Record a grant; only those made while requests wait count."""
        if self._busy_since is None:
            return
        self._update(now)
        self._tokens += tokens

    def wait_s(self, ahead: int, own: int, now: float) -> float | None:
        """Return the time until a request is granted memory, or ``None`` if it is not known.

        It is not known unless requests wait.

        Args:
            ahead: Tokens of the requests that are served before it.
            own: Tokens that the request needs itself.
            now: Monotonic time in seconds.
        """
        self._update(now)
        if self._busy_since is None or self._busy_s < MIN_BUSY_S:
            return None
        own = max(1, own)
        # The request's own grant counts as made now, so that there is a rate before the first one.
        return (ahead + own) * self._busy_s / (self._tokens + own)

    def _update(self, now: float) -> None:
        passed_s = now - self._updated_at
        if passed_s <= 0:
            return
        decay = math.exp(-passed_s / WINDOW_S)
        self._tokens *= decay
        self._busy_s *= decay
        if self._busy_since is not None:
            self._busy_s += WINDOW_S * (1 - decay)
        self._updated_at = now
