"""Accounting of an upstream's places (concurrency slots)."""

import math
from collections.abc import Iterator
from typing import NamedTuple

from chivehold.core.identity import AttemptId, Urgency
from chivehold.core.smoothing import MovingAverage

DEFAULT_HOLDING_S = 2.0
"""Expected holding time of a place before the first measurement."""
ORPHAN_HOLDING_S = 0.5
"""Expected holding time of a place held by an attempt of an earlier run."""
MIN_HOLDING_S = 0.001
HOLDING_WEIGHT = 0.1
DEMAND_WINDOW_S = 10.0
"""Time constant with which the number of held places is smoothed."""


class Hold(NamedTuple):
    """A place held by an attempt."""

    urgency: Urgency | None
    """``None`` for an attempt of an earlier sidecar run that the engine still holds."""
    since: float
    """Time in seconds at which the place was granted or found to be held."""


class _UrgencyHolds:
    """The places that one urgency holds, and statistics on how long it holds them."""

    def __init__(self) -> None:
        self.count = 0
        self.since_sum = 0.0
        self.mean_count = 0.0
        self._changed_at = 0.0
        self.holding_s = MovingAverage(HOLDING_WEIGHT)

    def change(self, by: int, since: float, now: float) -> None:
        """Add (``by`` 1) or remove (``by`` -1) a hold that began at ``since``."""
        self.mean_count = self.smoothed_count(now)
        self._changed_at = now
        self.count += by
        self.since_sum += by * since

    def smoothed_count(self, now: float) -> float:
        """Return the number of holds, smoothed with the time constant ``DEMAND_WINDOW_S``."""
        decay = math.exp((self._changed_at - now) / DEMAND_WINDOW_S)
        return self.count + (self.mean_count - self.count) * decay

    def mean_holding_s(self, now: float) -> float:
        """Return how long a place is expected to be held, in seconds.

        It is at least half the mean age of the current holds, so that a slowdown of the engine is
        noticed before its attempts end.
        """
        expected_s = max(MIN_HOLDING_S, self.holding_s.value_or(DEFAULT_HOLDING_S))
        if not self.count:
            return expected_s
        return max(expected_s, (now - self.since_sum / self.count) / 2)


class SlotLedger:
    """Tracks which attempts hold a place, from the grant until the engine confirms the release.

    Args:
        places: Maximum number of concurrent requests at the upstream, at least 1.
        patient_floor: Share of the places kept for patient work, 0 to 1.
        urgent_headroom: Places that patient work beyond its floor leaves free for urgent work, as
            a factor of the square root of the urgent demand; 0 leaves none.
    """

    def __init__(self, places: int, patient_floor: float, urgent_headroom: float = 0.0) -> None:
        self._places = places
        self._urgent_headroom = urgent_headroom
        self._patient_floor = patient_floor
        self._holds: dict[AttemptId, Hold] = {}
        self._by_urgency = {urgency: _UrgencyHolds() for urgency in Urgency}

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self._holds

    def __iter__(self) -> Iterator[tuple[AttemptId, Hold]]:
        return iter(tuple(self._holds.items()))

    @property
    def places(self) -> int:
        """Total number of places."""
        return self._places

    @property
    def held(self) -> int:
        """Number of places held, including those held by attempts of an earlier run."""
        return len(self._holds)

    @property
    def free(self) -> int:
        """Number of places that can be granted."""
        return max(0, self._places - len(self._holds))

    @property
    def floor_places(self) -> int:
        """Number of places kept for patient work; one of several is always left to urgent work."""
        floor_share_places = math.ceil(self._patient_floor * self._places - 1e-9)
        return max(0, min(floor_share_places, max(1, self._places - 1)))

    def patient_shortfall(self, now: float) -> int:
        """Return how many places patient work is short of its floor.

        A single place is shared over time instead: patient work is one place short while its share
        of the time, smoothed over ``DEMAND_WINDOW_S``, is below the floor.
        """
        if self._places > 1:
            return self.floor_places - self.held_by(Urgency.PATIENT)
        share = self._by_urgency[Urgency.PATIENT].smoothed_count(now)
        return int(share < self._patient_floor)

    def has_room_for_patient(self, now: float) -> bool:
        """Return whether patient work may take a place while no urgent work waits.

        Beyond its floor it leaves places free for the likely fluctuation of urgent demand: the
        headroom factor times the square root of the number of places that urgent work holds on
        average. This is the square-root staffing rule (Halfin and Whitt, 1981) for Poisson demand.
        """
        if self.held_by(Urgency.PATIENT) < self.floor_places:
            return True
        urgent = self._by_urgency[Urgency.URGENT].smoothed_count(now)
        return self.free > math.floor(self._urgent_headroom * math.sqrt(urgent))

    def set_patient_floor(self, patient_floor: float) -> None:
        """Change the share of places kept for patient work, 0 to 1."""
        self._patient_floor = patient_floor

    def held_by(self, urgency: Urgency) -> int:
        """Return how many places one urgency holds."""
        return self._by_urgency[urgency].count

    def hold(self, attempt: AttemptId, urgency: Urgency, now: float) -> None:
        """Record that an attempt holds a place."""
        self._holds[attempt] = Hold(urgency, now)
        self._by_urgency[urgency].change(1, now, now)

    def hold_orphan(self, attempt: AttemptId, now: float) -> None:
        """Record a place that the engine holds for an attempt unknown to this sidecar run."""
        self._holds.setdefault(attempt, Hold(None, now))

    def release(self, attempt: AttemptId, now: float, counts_as_sample: bool = True) -> bool:
        """Free a place and return whether it was held.

        Args:
            attempt: The attempt that holds the place.
            now: Time in seconds.
            counts_as_sample: Whether the holding time is added to the average.
        """
        hold = self._holds.pop(attempt, None)
        if hold is None:
            return False
        if hold.urgency is None:
            return True
        holds = self._by_urgency[hold.urgency]
        holds.change(-1, hold.since, now)
        if counts_as_sample:
            holds.holding_s.add(now - hold.since)
        return True

    def drain_rate(self, urgency: Urgency, now: float) -> float:
        """Return how many of the places held by one urgency become free per second."""
        holds = self._by_urgency[urgency]
        return holds.count / holds.mean_holding_s(now)

    def orphan_drain_rate(self) -> float:
        """Return how many places held by attempts of earlier runs become free per second."""
        orphans = len(self._holds) - sum(holds.count for holds in self._by_urgency.values())
        return orphans / ORPHAN_HOLDING_S

    def holding_s(self, urgency: Urgency, now: float) -> float:
        """Return how long a place is expected to be held, in seconds."""
        return self._by_urgency[urgency].mean_holding_s(now)
