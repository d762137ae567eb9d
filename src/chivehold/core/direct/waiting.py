"""Who waits for memory at a decode engine, and who gets it next.

In a burst more requests come than the engines can decode. A request that can still be answered on
time goes before one that is late already: serving the late one first would make both late. Among
those on time the one with the least time left goes first; late ones follow by their arrival, and
one that its caller is about to give up is refused while it can still come back.
"""

from typing import NamedTuple


class Waiter(NamedTuple):
    """A request that waits for a place."""

    request: str
    tokens: int
    """Memory that it needs."""
    arrived_at: float
    on_time_until: float
    """A place got after this comes too late for the target."""
    gives_up_at: float
    """Not worth a place after this."""
    excluded_engines: frozenset[str] = frozenset()
    """Names of the engines that must not get it: they have failed it already."""


class WaitQueue:
    """The requests of one service that wait for a place."""

    def __init__(self) -> None:
        self._waiters: dict[str, Waiter] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Add a request."""
        self._waiters[waiter.request] = waiter

    def remove(self, request_id: str) -> None:
        """Remove a request, if it is there."""
        self._waiters.pop(request_id, None)

    def next_waiter(self, now: float) -> Waiter | None:
        """Return the request whose turn it is, or ``None`` where nobody waits."""
        return min(self._waiters.values(), key=lambda waiter: _priority(waiter, now), default=None)

    def ahead_of(self, arrival: float, now: float) -> int:
        """Return how many on-time requests that arrived before a time still wait."""
        return sum(
            1
            for waiter in self._waiters.values()
            if waiter.on_time_until >= now and waiter.arrived_at < arrival
        )


def _priority(waiter: Waiter, now: float) -> tuple[bool, float]:
    late = waiter.on_time_until < now
    return (late, waiter.arrived_at if late else waiter.on_time_until)
