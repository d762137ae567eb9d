"""How long a stream waits for memory, when it is refused at once, and when its caller comes back.

Used where a service has streams of several priorities or organisations. Callers leave a stream
without events after a time that follows from the targets of its route, and retry once after a
refusal. A first request waits while it can be on time: one that waits longer is late anyway and
takes memory from those that are not. A caller comes back only once, so the retry waits for as long
as its caller does; so does a request that is late already as an engine has failed it.
"""

from random import Random

from chivehold.core.direct.returning_callers import MIN_GAP_S
from chivehold.core.direct.routes import Route
from chivehold.core.direct.waiting import Waiter

MIN_ABANDON_S = 2.0
"""A caller waits at least this long for the next event, or the first one."""
ABANDON_PER_TARGET = 4.0
"""A caller waits for so many times the target for the first event."""
ABANDON_PER_GAP_TARGET = 8.0
"""A caller waits for so many times the target for gaps."""
LATE_FIRST_EVENT_ALLOWANCE_S = 0.6
"""Time from a reservation to the first event while engines are full."""
RETRY_SHARE = 1 / 3
"""Callers that are told to wait longer than this share of their remaining time do not retry."""
RETRY_MARGIN_S = 0.2
"""Time that a refusal takes to its caller."""
RETURNING_DOUBT = 2.0
"""A returning caller is refused at once if the estimate exceeds its wait by this factor.

The estimate is rough, as an entry sees only its own grants, and this caller does not come back.
"""
MIN_RETRY_AFTER_S = 3.0
"""Bursts last for seconds; a caller that comes back sooner mostly meets the same one."""
RETRY_SPREAD = 1.3
"""Longest ``retry-after`` as a multiple of the shortest."""
DETECTED_GAP_S = MIN_GAP_S + RETRY_MARGIN_S
"""A caller that returns sooner after its first arrival is not recognised as returning."""


def caller_wait_s(route: Route) -> float:
    """Return how long callers of a route wait for the first event of a stream, in seconds."""
    return max(
        MIN_ABANDON_S,
        ABANDON_PER_TARGET * route.latency_target_s,
        ABANDON_PER_GAP_TARGET * route.event_gap_target_s,
    )


def with_bounds(waiter: Waiter, route: Route, now: float) -> Waiter:
    """Return a request with the times at which it gives up and its caller leaves.

    Args:
        waiter: The request.
        route: Its route.
        now: Monotonic time in seconds; later than the arrival if an attempt has failed.
    """
    leaves_at = waiter.arrived_at + caller_wait_s(route) - LATE_FIRST_EVENT_ALLOWANCE_S
    waiter = waiter._replace(leaves_at=min(leaves_at, waiter.expires_at))
    return waiter._replace(gives_up_at=_gives_up_at(waiter, now))


def exceeds_caller_wait(waiter: Waiter, expected_wait_s: float | None, now: float) -> bool:
    """Return whether a request that arrives now will not be served before its caller leaves.

    Args:
        waiter: The request.
        expected_wait_s: The estimated wait; ``None`` if nothing is known of it.
        now: Monotonic time in seconds.
    """
    if expected_wait_s is None or waiter.has_started:
        return False
    doubt = RETURNING_DOUBT if waiter.waited_before_s else 1.0
    return expected_wait_s > doubt * (waiter.leaves_at - now)


def retry_after_s(waiter: Waiter, expected_wait_s: float | None, now: float, rng: Random) -> float:
    """Return when a refused caller is to come back, in seconds, with jitter.

    It comes back when what waits now has been served, but not so late that it would not come back,
    and not so early that it is taken for a new caller.
    """
    longest_s = max(0.0, _longest_retry_after_s(waiter, now))
    shortest_s = max(MIN_RETRY_AFTER_S, expected_wait_s or 0.0)
    shortest_s = max(min(shortest_s, longest_s / RETRY_SPREAD), DETECTED_GAP_S)
    if shortest_s >= longest_s:
        # The caller would not come back in time; other callers may read the header as advice.
        return shortest_s * rng.uniform(1.0, RETRY_SPREAD)
    return rng.uniform(shortest_s, min(longest_s, shortest_s * RETRY_SPREAD))


def _gives_up_at(waiter: Waiter, now: float) -> float:
    refused_at = max(waiter.on_time_until, waiter.arrived_at)
    may_return = _longest_retry_after_s(waiter, refused_at) >= DETECTED_GAP_S
    if may_return and not waiter.waited_before_s and now <= refused_at:
        return min(refused_at, waiter.leaves_at)
    return waiter.leaves_at


def _longest_retry_after_s(waiter: Waiter, now: float) -> float:
    return RETRY_SHARE * (waiter.expires_at - now) - RETRY_MARGIN_S
