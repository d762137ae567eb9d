"""Bounds of callers' bodies, of one and of all that are held at once."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from chivehold.exceptions import BudgetSpent
from chivehold.http_server import Scope, header


class CallerLimits(NamedTuple):
    """Bounds of what callers send, in bytes."""

    max_body_bytes: int
    max_header_bytes: int
    max_held_bytes: int
    """Bodies of all requests in progress together."""


class BodyBudget:
    """Bounds the bytes of all bodies held at once.

    Args:
        max_bytes: Bytes held at most.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes set aside now."""
        return self._held_bytes

    @contextmanager
    def reserve(self, size: int) -> Iterator["Reservation"]:
        """Set bytes aside until the block ends.

        Raises:
            BudgetSpent: There is no room for so many.
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


class Reservation:
    """Bytes set aside for one body."""

    def __init__(self, budget: BodyBudget, size: int) -> None:
        self._budget = budget
        self._size = size

    def grow_to(self, size: int) -> None:
        """Set aside so many bytes in all.

        Raises:
            BudgetSpent: There is no room for so many.
        """
        if size > self._size:
            self._budget._reserve_bytes(size - self._size)
            self._size = size

    def shrink_to(self, size: int) -> None:
        """Give back all but these bytes."""
        kept = min(size, self._size)
        self._budget._release_bytes(self._size - kept)
        self._size = kept


def body_bytes_to_reserve(scope: Scope, max_bytes: int) -> int:
    """Return the size that a request announces for its body, at most ``max_bytes``.

    A body without an announced size may come up to that.
    """
    if header(scope, "transfer-encoding") is not None:
        return max_bytes
    return declared_body_bytes(scope, max_bytes)


def declared_body_bytes(scope: Scope, max_bytes: int) -> int:
    """Return the size that a request announces for its body, at most ``max_bytes``; 0 if none."""
    content_length = header(scope, "content-length")
    return (
        min(int(content_length), max_bytes)
        if content_length is not None and content_length.isdecimal()
        else 0
    )
