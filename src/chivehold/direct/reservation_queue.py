"""Requests that wait at an entry for memory at a service's decode engines."""

from collections import Counter
from heapq import nlargest
from operator import itemgetter
from random import Random

import trio

from chivehold.core.direct.grant_rate import GrantRate
from chivehold.core.direct.refusal_checks import RefusalChecks
from chivehold.core.direct.reservations import MemoryReservation, ReservationRefused
from chivehold.core.direct.stream_priorities import ServedPriorities
from chivehold.core.direct.waiting import PassedOver, Waiter, WaitQueue

MAX_DUMPED = 64
"""Organisations in the dump, those that were granted most."""


class PendingReservation:
    """A waiting request and its result once resolved.

    Args:
        waiter: The request.
    """

    def __init__(self, waiter: Waiter) -> None:
        self.waiter = waiter
        self.resolved = trio.Event()
        self.scope = trio.CancelScope(deadline=waiter.gives_up_at)
        """Ends the wait."""
        self.result: MemoryReservation | ReservationRefused | None = None
        self.passed_over: PassedOver | None = None

    def resolve(self, result: MemoryReservation | ReservationRefused) -> None:
        """Set the result and end the wait."""
        self.result = result
        self.resolved.set()

    def limit(self, until: float) -> None:
        """End the wait at a time, if it would last longer."""
        self.scope.deadline = min(self.scope.deadline, until)


class ReservationQueue:
    """Waiting requests, and the state of the task that serves them."""

    RETRY_AFTER_RANGE_S = (3.0, 4.5)
    """Range of the ``retry-after`` of refused requests."""

    def __init__(self) -> None:
        self.waiters = WaitQueue()
        self.grant_rate = GrantRate()
        self.served = ServedPriorities()
        self.refusals = RefusalChecks()
        self.is_served = False
        self.wake = trio.Event()
        self._pending: dict[str, PendingReservation] = {}

    def add(self, pending: PendingReservation) -> None:
        """Add a request."""
        self.waiters.add(pending.waiter)
        self._pending[pending.waiter.key] = pending
        self.wake.set()

    def remove(self, request_id: str) -> None:
        """Remove a request if it is in the queue."""
        self.waiters.remove(request_id)
        self._pending.pop(request_id, None)

    def resolve(self, request_id: str, result: MemoryReservation | ReservationRefused) -> bool:
        """Set the result of a waiting request, or return ``False`` if it no longer waits."""
        pending = self._pending.get(request_id)
        if pending is None or pending.result is not None:
            return False
        pending.passed_over = self.waiters.passed_over(request_id)
        self.waiters.remove(request_id)
        pending.resolve(result)
        return True

    @property
    def pending(self) -> tuple[PendingReservation, ...]:
        """The requests that wait, or whose result is not picked up yet."""
        return tuple(self._pending.values())

    async def wait(self, pause_s: float) -> None:
        """Wait for a time, or until memory is freed or a request is added.

        Returns at once if that has happened since the last call.
        """
        with trio.move_on_after(pause_s):
            await self.wake.wait()
        self.wake = trio.Event()

    def passed_over(self, request_id: str) -> PassedOver | None:
        """Return how a request was passed over, whether it still waits or not."""
        pending = self._pending.get(request_id)
        return (
            pending.passed_over
            if pending and pending.passed_over
            else (self.waiters.passed_over(request_id))
        )

    def dump(self, now: float) -> dict[str, object]:
        """Return the queue's state for the operators' dump."""
        waiters = self.waiters.waiters
        return {
            "waiting_by_priority": dict(Counter(str(waiter.priority) for waiter in waiters)),
            "longest_wait_ms": round(
                1_000 * max((now - waiter.arrived_at for waiter in waiters), default=0.0)
            ),
            "granted_lately": dict(
                nlargest(MAX_DUMPED, self.waiters.granted_lately(now).items(), itemgetter(1))
            ),
            "over_share": sorted(self.waiters.over_share(now)),
        }

    def expected_wait_s(self, waiter: Waiter, now: float) -> float | None:
        """Return how long a request would wait in the order of the queue, if that is known."""
        ahead = sum(other.tokens for other in self.waiters.ahead_of(waiter, now))
        return self.grant_rate.wait_s(ahead, waiter.tokens, now)

    def retry_after_s(self, rng: Random) -> float:
        """Return when a refused caller is to come back, in seconds."""
        return rng.uniform(*self.RETRY_AFTER_RANGE_S)
