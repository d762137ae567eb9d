"""The queue of requests that wait for memory at a decode engine.

In a burst more requests arrive than the engines can decode. Requests that can still be answered on
time are served before late ones: serving a late one first would make both late. On-time requests
are ordered by the time they have left, late ones by arrival. A stream that has started and lost its
engine goes before all others. A request that its caller is about to
abandon is refused early enough for the caller to retry.
"""

from typing import NamedTuple


class Waiter(NamedTuple):
    """A request that waits for memory at a decode engine; times are monotonic, in seconds."""

    request: str
    """Id of the request."""
    tokens: int
    """Memory that the request needs, in tokens."""
    arrived_at: float
    on_time_until: float
    """Memory granted later than this misses the route's latency target."""
    gives_up_at: float
    """When the request stops waiting and is refused."""
    excluded_engines: frozenset[str] = frozenset()
    """Names of engines that have already failed this request and must not get it again."""
    software: str | None = None
    """Version of the engine's software that a started stream needs."""
    has_started: bool = False
    """The caller has received events, and would notice any wait as a gap."""

    def is_late(self, now: float) -> bool:
        """Return whether memory granted now misses the target; never for a started stream."""
        return not self.has_started and self.on_time_until < now


class WaitQueue:
    """The requests of one service that wait for memory."""

    def __init__(self) -> None:
        self._waiters: dict[str, Waiter] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Add a request."""
        self._waiters[waiter.request] = waiter

    def remove(self, request_id: str) -> None:
        """Remove a request if it is in the queue."""
        self._waiters.pop(request_id, None)

    def next_waiter(self, now: float) -> Waiter | None:
        """Return the request to serve next, or ``None`` if the queue is empty."""
        return min(self._waiters.values(), key=lambda waiter: _priority(waiter, now), default=None)


def _priority(waiter: Waiter, now: float) -> tuple[bool, bool, float]:
    late = waiter.is_late(now)
    return (not waiter.has_started, late, waiter.arrived_at if late else waiter.on_time_until)
