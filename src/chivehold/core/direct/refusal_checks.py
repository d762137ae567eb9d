"""Finds refusals on an estimate that were wrong, by what was granted afterwards."""

from collections import deque
from collections.abc import Iterator

from chivehold.core.direct.waiting import Waiter

MAX_KEPT = 256


class RefusalChecks:
    """The requests refused on an estimate, until their caller would have left."""

    def __init__(self) -> None:
        self._refused: deque[Waiter] = deque(maxlen=MAX_KEPT)

    def record_refusal(self, waiter: Waiter) -> None:
        """Record a request that was refused although it could have waited."""
        self._refused.append(waiter)

    def wrong_refusals(self, granted: Waiter, now: float) -> Iterator[Waiter]:
        """Yield, once each, the refused requests that this grant shows to have been servable.

        A later request of the same or a less urgent priority that needs no less memory was granted
        it in time.
        """
        kept = [waiter for waiter in self._refused if now <= waiter.leaves_at]
        wrong = [waiter for waiter in kept if _stands_for(granted, waiter)]
        self._refused = deque((waiter for waiter in kept if waiter not in wrong), MAX_KEPT)
        yield from wrong


def _stands_for(granted: Waiter, refused: Waiter) -> bool:
    return (
        granted.arrived_at >= refused.arrived_at
        and granted.priority >= refused.priority
        and granted.tokens >= refused.tokens
        and not granted.has_started
    )
