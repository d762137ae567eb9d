"""A place at an upstream: asked for, waited for, granted or refused, and given back."""

from typing import NamedTuple, Protocol

from chivehold.core.direct.messages import UpstreamRecord
from chivehold.core.direct.waiting import Waiter


class MemoryReservation(NamedTuple):
    """Memory and a slot reserved at one upstream."""

    upstream: UpstreamRecord
    hold: str
    """The reservation's name; it can be used once."""
    tokens: int


class ReservationRefused(NamedTuple):
    """No place can be had."""

    reason: str
    retry_after_s: float
    """When a place is likely to be free."""


class MemoryReserver(Protocol):
    """Grants places of a service's decode engines, whoever it is that keeps the ledger."""

    async def reserve(self, service: str, waiter: Waiter) -> MemoryReservation | ReservationRefused:
        """Wait for a place; a caller that no longer wants it cancels the call."""
        ...

    def release(self, reservation: MemoryReservation) -> None:
        """Give back a place that was not used; returns at once."""
        ...

    def notify_freed(self, service: str) -> None:
        """Take note that memory has become free at an engine of a service."""
        ...
