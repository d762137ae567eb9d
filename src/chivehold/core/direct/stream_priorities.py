"""The priorities of a service's streams, and how they show at its engines."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from chivehold.core.direct.routes import CallKind, Route, RouteTable
from chivehold.core.direct.waiting import Waiter
from chivehold.core.smoothing import MovingAverage

POLL_INTERVAL_S = 0.03
"""Poll interval while all engines are full; entries are not notified of memory freed by others."""
LATE_POLL_INTERVAL_S = 0.15
"""Poll interval for a late request, longer so that on-time requests of other entries go first."""
PRIORITY_POLL_FACTOR = 5.0
"""Each more urgent priority that is served lengthens the poll interval by this factor."""
LATE_POLL_FACTOR = 2.0
"""The same factor for late requests where priorities differ.

With the next one it stays below that of a priority, which goes before both.
"""
OVER_SHARE_POLL_FACTOR = 2.0
"""The same factor for organisations that were granted more than their share."""
MAX_POLL_INTERVAL_S = 0.5
LARGE_POLL_EXPONENT = 2.0
"""Exponent of the size by which large requests poll more often."""
SIZE_WEIGHT = 0.03
"""Weight of one request in the usual size."""
SERVED_WINDOW_S = 30.0
"""A priority is being served while a request of it arrived at this entry so recently."""
MAX_URGENCY = 9
"""The largest number that engines know, for the least urgent requests."""


class StreamPriorities(NamedTuple):
    """What the active configuration holds of a service's streams."""

    priorities: tuple[int, ...] = ()
    """Priorities that its streams may have, the most urgent first."""
    has_organisations: bool = False

    @property
    def is_ordered(self) -> bool:
        """Whether streams differ, so that the order of waiting takes that into account."""
        return len(self.priorities) > 1 or self.has_organisations

    def urgency(self, priority: int) -> int | None:
        """Return the urgency to state to engines; ``None`` if all streams are equally urgent."""
        if len(self.priorities) < 2:
            return None
        if self.priorities[0] >= 0 and self.priorities[-1] <= MAX_URGENCY:
            return min(max(priority, 0), MAX_URGENCY)
        return min(sum(other < priority for other in self.priorities), MAX_URGENCY)


class ServedPriorities:
    """The priorities of which requests have arrived lately at this entry."""

    def __init__(self) -> None:
        self._arrived_at: dict[int, float] = {}
        self._usual_tokens = MovingAverage(SIZE_WEIGHT)

    def record_arrival(self, priority: int, tokens: int, now: float) -> None:
        """Record a request and the memory that it needs."""
        self._usual_tokens.add(tokens)
        self._arrived_at = {
            known: at for known, at in self._arrived_at.items() if at > now - SERVED_WINDOW_S
        } | {priority: now}

    def poll_interval_s(self, waiter: Waiter, is_over_share: bool, now: float) -> float:
        """Return when to ask full engines again for the first request of the queue, in seconds.

        Args:
            waiter: The request.
            is_over_share: Whether its organisation was granted more than its share.
            now: Monotonic time in seconds.
        """
        if waiter.has_started:
            return POLL_INTERVAL_S
        more_urgent = sum(
            priority < waiter.priority and at > now - SERVED_WINDOW_S
            for priority, at in self._arrived_at.items()
        )
        steps = max(0, more_urgent - waiter.is_overdue(now))
        interval_s = POLL_INTERVAL_S * PRIORITY_POLL_FACTOR**steps
        if is_over_share:
            interval_s *= OVER_SHARE_POLL_FACTOR
        if waiter.is_late(now):
            interval_s *= LATE_POLL_FACTOR
        usual_tokens = self._usual_tokens.value_or(waiter.tokens)
        if waiter.tokens > usual_tokens:
            # Room for it is rare and soon taken by smaller requests.
            interval_s *= (usual_tokens / waiter.tokens) ** LARGE_POLL_EXPONENT
        return min(max(interval_s, POLL_INTERVAL_S), MAX_POLL_INTERVAL_S)


def equal_poll_interval_s(waiter: Waiter, now: float) -> float:
    """Return the poll interval where all streams of the service are equally urgent."""
    return LATE_POLL_INTERVAL_S if waiter.is_late(now) else POLL_INTERVAL_S


def priorities_by_service(table: RouteTable) -> Mapping[str, StreamPriorities]:
    """Return the priorities of the streams of each service with engines."""
    found: dict[str, set[int]] = {}
    for route in table.routes:
        if route.kind is CallKind.STREAM:
            for split in route.splits:
                if split.weight > 0 or len(route.splits) == 1:
                    found.setdefault(split.service, set()).update(_priorities(route, table))
    has_organisations = bool(table.organisations)
    return {
        service: StreamPriorities(tuple(sorted(priorities)), has_organisations)
        for service, priorities in found.items()
    }


def _priorities(route: Route, table: RouteTable) -> Iterator[int]:
    if route.anonymous or not table.organisations:
        yield route.priority
    for organisation in table.organisations:
        yield route.priority if organisation.priority is None else organisation.priority
