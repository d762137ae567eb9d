"""Reservations of memory at decode engines."""

from typing import NamedTuple, Protocol

from chivehold.core.direct.messages import UpstreamRecord
from chivehold.core.direct.waiting import Waiter


class MemoryReservation(NamedTuple):
    """A slot and KV cache memory reserved at one decode engine."""

    upstream: UpstreamRecord
    hold: str
    """Id of the reservation at the engine; it can be used once."""
    tokens: int


class ReservationRefused(NamedTuple):
    """No memory could be reserved."""

    reason: str
    retry_after_s: float | None
    """Seconds after which memory is likely to be free; ``None`` if none will be."""
    expected_wait_s: float | None = None
    """The estimated wait, in seconds, where one was made."""


class MemoryReserver(Protocol):
    """Reserves memory at a service's decode engines, wherever the reservations are recorded."""

    async def reserve(self, service: str, waiter: Waiter) -> MemoryReservation | ReservationRefused:
        """Wait until memory is reserved or refused; cancelling the call withdraws the request."""
        ...

    def release(self, reservation: MemoryReservation) -> None:
        """Release an unused reservation in the background."""
        ...

    def drain(self, waits_end_at: float) -> None:
        """Refuse the requests that would wait beyond a time, unless their stream has started."""
        ...

    def notify_freed(self, service: str) -> None:
        """Signal that memory has become free at an engine of a service."""
        ...
