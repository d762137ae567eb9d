"""A short queue at the entry for requests to plain services whose upstreams are all full.

A request waits here instead of being refused by one upstream after the other. It is refused at once
if it could not be served before its caller's deadline.
"""

import math

import trio

from chivehold.core.direct.fleet import Fleet
from chivehold.core.direct.plain_queue import PlainQueue, Ticket
from chivehold.direct.draining import DRAINING
from chivehold.direct.exchange import Exchange
from chivehold.direct.refusals import MAX_RETRY_AFTER_S, Refusal, not_run_refusal

POLL_S = 0.02
"""Room may also appear with time, where a limit is below one request."""
MIN_RETRY_AFTER_S = 0.25


class _Waiting:
    """The queue of one service and the event that wakes it."""

    def __init__(self) -> None:
        self.queue = PlainQueue()
        self.changed = trio.Event()

    def wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


class RoomWaiting:
    """Lets requests wait, by service, until an upstream has room.

    Args:
        fleet: The upstreams and their limits.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._by_service: dict[str, _Waiting] = {}
        self._ends_at = math.inf

    async def wait(self, exchange: Exchange) -> Refusal | None:
        """Wait until an upstream has room, or return why the request is refused.

        Nothing else runs between the end of the wait and the caller's next step.
        """
        now = trio.current_time()
        waiting = self._by_service.setdefault(exchange.service, _Waiting())
        if not waiting.queue and self._fleet.has_room(exchange.service, now):
            return None
        position = waiting.queue.position(exchange.priority, exchange.arrived_at)
        served_s = self._fleet.expected_wait_s(exchange.service, position, now)
        if refusal := self._refusal_in_vain(exchange, served_s, now):
            return refusal
        ticket = waiting.queue.add(exchange.priority, exchange.arrived_at)
        exchange.log("waits for room", position=position, expected_s=round(served_s, 3))
        try:
            return await self._wait_turn(exchange, waiting, ticket)
        finally:
            waiting.queue.remove(ticket)
            waiting.wake()

    def drain(self, waits_end_at: float) -> None:
        """Refuse the requests that would wait beyond a time, now or later."""
        self._ends_at = waits_end_at

    def notify(self, service: str) -> None:
        """Wake the requests of a service after a request has ended."""
        if waiting := self._by_service.get(service):
            waiting.wake()

    def counts(self) -> dict[str, int]:
        """Return the number of waiting requests by service."""
        return {service: len(waiting.queue) for service, waiting in self._by_service.items()}

    async def _wait_turn(
        self, exchange: Exchange, waiting: _Waiting, ticket: Ticket
    ) -> Refusal | None:
        while True:
            with trio.move_on_after(POLL_S):
                await waiting.changed.wait()
            now = trio.current_time()
            if waiting.queue.is_first(ticket) and self._fleet.has_room(exchange.service, now):
                return None
            served_s = self._fleet.expected_wait_s(exchange.service, 0, now)
            if refusal := self._refusal_in_vain(exchange, served_s, now):
                return refusal

    def _refusal_in_vain(self, exchange: Exchange, served_s: float, now: float) -> Refusal | None:
        """Return the refusal of a request that would not be sent in time."""
        if now + served_s > exchange.expires_at:
            return _refusal(served_s)
        if now + served_s > self._ends_at:
            return not_run_refusal(DRAINING, "the entry shuts down", MIN_RETRY_AFTER_S)
        return None


def _refusal(wait_s: float) -> Refusal:
    retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return not_run_refusal("full", "no upstream has room in time", retry_after_s)
