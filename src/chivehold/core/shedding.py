"""Wait estimates for load shedding, and the retry delays given to refused callers."""

import math
from collections.abc import Sequence
from random import Random

from chivehold.core.identity import Urgency
from chivehold.core.protocols import Candidate

MIN_RETRY_AFTER_S = 0.2
"""Shortest retry delay given to a refused caller, in seconds."""
MAX_RETRY_AFTER_S = 60.0
"""Longest retry delay given to a refused caller, in seconds."""
RETRY_AFTER_SPREAD = 0.25
"""Maximum jitter added to a retry delay, as a share of it."""
RATE_WINDOW_S = 5.0
"""Time constant of the smoothed grant rate, in seconds."""
MIN_RATE_SPAN_S = 1.0
"""Shortest time in seconds over which the first grants are averaged."""
MIN_RATE_COUNT = 3.0
"""Smoothed number of grants below which no rate is given."""
RETRY_CAPACITY_SHARE = 0.5
"""Share of the grant rate that is scheduled for callers told to retry."""


def expected_wait_s(candidate: Candidate, urgency: Urgency) -> float:
    """Return the estimated time in seconds that a new offer would wait for its grant.

    The reported wait is extended by the offers sent since that the report cannot include.
    """
    report = candidate.report
    reported = report.wait_urgent_s if urgency is Urgency.URGENT else report.wait_patient_s
    waiting = report.waiting_urgent
    if urgency is Urgency.PATIENT:
        waiting += report.waiting_patient
    ahead = waiting + candidate.outstanding + 1 - report.places_free
    if ahead <= 0:
        return 0.0
    beyond_report = min(ahead, candidate.outstanding)
    return reported + beyond_report * _time_per_place_s(candidate, waiting, reported)


def _time_per_place_s(candidate: Candidate, waiting: int, wait_s: float) -> float:
    """Return the estimated time in seconds between two places becoming free."""
    if waiting and wait_s:
        return wait_s / (waiting + 1)
    if not candidate.outstanding:
        return 0.0
    return candidate.outstanding_s / candidate.outstanding / max(1, candidate.report.places)


def min_expected_wait_s(candidates: Sequence[Candidate], urgency: Urgency) -> float | None:
    """Return the shortest expected wait in seconds, or ``None`` if there are no candidates."""
    return min((expected_wait_s(candidate, urgency) for candidate in candidates), default=None)


class GrantRate:
    """Rate of grants per second, exponentially smoothed over ``RATE_WINDOW_S``."""

    def __init__(self) -> None:
        self._count = 0.0
        self._updated_at = 0.0
        self._first_grant_at: float | None = None

    def record_grant(self, now: float) -> None:
        """Count one grant at monotonic time ``now``, in seconds."""
        if self._first_grant_at is None:
            self._first_grant_at = now
        self._count = self._decayed(now) + 1.0
        self._updated_at = now

    def per_s(self, now: float) -> float | None:
        """Return the rate in grants per second, or ``None`` if there were too few recently."""
        count = self._decayed(now)
        if self._first_grant_at is None or count < MIN_RATE_COUNT:
            return None
        return count / min(RATE_WINDOW_S, max(now - self._first_grant_at, MIN_RATE_SPAN_S))

    def _decayed(self, now: float) -> float:
        return self._count * math.exp((self._updated_at - now) / RATE_WINDOW_S)


class RetrySchedule:
    """Spreads the retries of refused callers over time, according to the grant rate."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._next_at = 0.0

    def retry_after_s(self, wait_s: float, rate_per_s: float | None, now: float) -> float:
        """Return the time in seconds after which a refused caller should retry.

        Args:
            wait_s: Time in seconds until capacity for one request is expected.
            rate_per_s: Grants per second, or ``None`` if unknown.
            now: Monotonic time in seconds.

        Returns:
            A delay from ``MIN_RETRY_AFTER_S`` to ``MAX_RETRY_AFTER_S``.
        """
        soonest = now + wait_s
        if rate_per_s:
            self._next_at = max(soonest, self._next_at + 1.0 / (rate_per_s * RETRY_CAPACITY_SHARE))
            self._next_at = min(self._next_at, now + MAX_RETRY_AFTER_S)
            soonest = self._next_at
        delay = (soonest - now) * (1.0 + self._random.random() * RETRY_AFTER_SPREAD)
        return min(max(delay, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
