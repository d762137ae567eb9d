"""Requests to one plain service that wait at the entry until an upstream has room."""

from bisect import bisect, insort
from itertools import count
from typing import NamedTuple


class Ticket(NamedTuple):
    """A place in the queue; tickets compare in the order of service."""

    priority: int
    """0 is the most urgent."""
    arrived_at: float
    number: int


class PlainQueue:
    """Waiting requests in the order of priority, then arrival."""

    def __init__(self) -> None:
        self._tickets: list[Ticket] = []
        self._numbers = count()

    def __len__(self) -> int:
        return len(self._tickets)

    def position(self, priority: int, arrived_at: float) -> int:
        """Return how many waiting requests would go before a new one."""
        return bisect(self._tickets, (priority, arrived_at))

    def add(self, priority: int, arrived_at: float) -> Ticket:
        """Add a request."""
        ticket = Ticket(priority, arrived_at, next(self._numbers))
        insort(self._tickets, ticket)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a request."""
        self._tickets.remove(ticket)

    def is_first(self, ticket: Ticket) -> bool:
        """Return whether a request is the next to be sent."""
        return self._tickets[0] == ticket
