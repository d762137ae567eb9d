"""Limits on the size of callers' request bodies and of the answers to them."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

import trio

from chivehold.asgi import Scope, header
from chivehold.exceptions import BudgetSpent


class CallerLimits(NamedTuple):
    """Limits on callers' requests, in bytes."""

    max_body_bytes: int
    max_header_bytes: int
    max_held_bytes: int
    """Maximum total size of the bodies of all requests in progress."""


class BodyBudget:
    """Limits the total size of the request bodies and answers held in memory.

    Args:
        max_bytes: Maximum number of reserved bytes.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._released = trio.Event()

    @property
    def held_bytes(self) -> int:
        """Number of bytes currently reserved."""
        return self._held_bytes

    @contextmanager
    def reserve(self, size: int) -> Iterator["Reservation"]:
        """Reserve bytes until the block ends.

        Raises:
            BudgetSpent: The budget has too few bytes left.
        """
        self._reserve_bytes(size)
        reservation = Reservation(self, size)
        try:
            yield reservation
        finally:
            reservation.shrink_to(0)

    def _reserve_bytes(self, size: int) -> None:
        if self._held_bytes + size > self._max_bytes:
            detail = f"bodies in progress exceed {self._max_bytes} bytes"
            raise BudgetSpent("read body", "caller", detail)
        self._held_bytes += size

    def _release_bytes(self, size: int) -> None:
        self._held_bytes -= size
        self._released.set()
        self._released = trio.Event()

    async def _wait_for_release(self) -> None:
        await self._released.wait()


class Reservation:
    """The bytes reserved for one request; created by ``BodyBudget.reserve``."""

    def __init__(self, budget: BodyBudget, size: int) -> None:
        self._budget = budget
        self._size = size

    def grow_to(self, size: int) -> None:
        """Increase the reservation to ``size`` bytes, if it is smaller.

        Raises:
            BudgetSpent: The budget has too few bytes left.
        """
        if size > self._size:
            self._budget._reserve_bytes(size - self._size)
            self._size = size

    async def grow_when_free(self, added: int) -> None:
        """Increase the reservation by ``added`` bytes as soon as the budget has them left.

        If nothing else is reserved, the reservation may exceed the budget.
        """
        budget = self._budget
        while budget._held_bytes > self._size and budget._held_bytes + added > budget._max_bytes:
            await budget._wait_for_release()
        budget._held_bytes += added
        self._size += added

    def shrink_to(self, size: int) -> None:
        """Reduce the reservation to ``size`` bytes, if it is larger."""
        kept = min(size, self._size)
        self._budget._release_bytes(self._size - kept)
        self._size = kept


def body_bytes_to_reserve(scope: Scope, max_bytes: int) -> int:
    """Return the number of bytes to reserve for a request's body before it is read.

    This is the declared size, or ``max_bytes`` for a chunked body, whose size is unknown.
    """
    if header(scope, "transfer-encoding") is not None:
        return max_bytes
    return declared_body_bytes(scope, max_bytes)


def declared_body_bytes(scope: Scope, max_bytes: int) -> int:
    """Return a request's ``Content-Length``, at most ``max_bytes``; 0 if missing or invalid."""
    content_length = header(scope, "content-length")
    return (
        min(int(content_length), max_bytes)
        if content_length is not None and content_length.isdecimal()
        else 0
    )
