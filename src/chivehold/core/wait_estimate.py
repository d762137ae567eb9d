"""Estimate of the wait for a place."""

import math

from chivehold.core.identity import Urgency
from chivehold.core.slots import SlotLedger
from chivehold.core.waitlist import WaitList

MAX_WAIT_S = 3_600.0
LATENESS_Z = 1.645
"""Standard normal quantile of 0.95: at most one offer in twenty waits longer than the bound."""


def expected_wait_s(
    slots: SlotLedger,
    waitlist: WaitList,
    urgency: Urgency,
    ahead: int,
    now: float,
    z: float = 0.0,
) -> float:
    """Estimate how long an offer waits for its grant.

    Places are assumed to become free as a Poisson process, so the wait for ``n`` of them at a
    rate ``r`` has the mean ``n / r`` and the standard deviation ``sqrt(n) / r``.

    Args:
        slots: The upstream's places.
        waitlist: The waiting offers.
        urgency: The offer's urgency.
        ahead: Number of waiting offers before it in its queue.
        now: Time in seconds.
        z: Number of standard deviations added to the mean.

    Returns:
        Seconds, at most ``MAX_WAIT_S``; 0 if a place is free and no offer is ahead.
    """
    urgent_rate = slots.drain_rate(Urgency.URGENT, now) + slots.orphan_drain_rate()
    patient_rate = slots.drain_rate(Urgency.PATIENT, now)
    if not waitlist.separates_urgencies:
        return _wait_s(ahead + 1 - slots.free, urgent_rate + patient_rate, z)
    patient_waiting = waitlist.queue_length(Urgency.PATIENT)
    floor = slots.floor_places if patient_waiting else 0
    if urgency is Urgency.URGENT:
        shortfall = max(0, floor - slots.held_by(Urgency.PATIENT))
        needed = ahead + 1 + min(patient_waiting, shortfall) - slots.free
        return _wait_s(needed, urgent_rate + patient_rate * _share_beyond_floor(floor, slots), z)
    urgent_ahead = waitlist.queue_length(Urgency.URGENT)
    all_releases_s = _wait_s(urgent_ahead + ahead + 1 - slots.free, urgent_rate + patient_rate, z)
    floor_rate = slots.floor_places / slots.holding_s(Urgency.PATIENT, now)
    return min(all_releases_s, _wait_s(ahead + 1, floor_rate, z))


def _share_beyond_floor(floor: int, slots: SlotLedger) -> float:
    """Return the share of the places held by patient work that are beyond its floor."""
    held = slots.held_by(Urgency.PATIENT)
    return max(0, held - floor) / held if held else 0.0


def _wait_s(needed: int, rate: float, z: float) -> float:
    if needed <= 0:
        return 0.0
    if rate <= 0:
        return MAX_WAIT_S
    return min(MAX_WAIT_S, (needed + z * math.sqrt(needed)) / rate)
