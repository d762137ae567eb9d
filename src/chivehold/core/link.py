"""The budget of an engine's inbound link for KV caches, and the order of imports over it."""

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from chivehold.core.identity import AttemptId
from chivehold.core.smoothing import Average
from chivehold.core.wire import ImportOrder

LINK_FILL = 0.8
"""Share of the KV cache's lifetime that the link may be planned ahead."""
LOOKAHEAD_S = 0.02
ARRIVAL_WEIGHT = 0.1


class _Reservation(NamedTuple):
    kv_bytes: int
    since: float


class LinkStart(NamedTuple):
    """An import whose turn has come."""

    order: ImportOrder
    ends_at: float
    """When its transfer is expected to end, in seconds."""
    expired: bool
    """Whether the KV cache is expected to expire before that."""


class ImportLink:
    """Plans imports so that each KV cache arrives before it expires.

    Args:
        bytes_per_s: The link's rate; 0 where it is not known, and nothing is planned.
        kv_lifetime_s: How long a KV cache survives at the engine that made it.
        planned: Whether grants and starts are held back; otherwise the link is only watched.
    """

    def __init__(self, bytes_per_s: float, kv_lifetime_s: float, planned: bool) -> None:
        self._bytes_per_s = bytes_per_s
        self._kv_lifetime_s = kv_lifetime_s
        self._planned = planned and bytes_per_s > 0
        self._reserved: dict[AttemptId, _Reservation] = {}
        self._reserved_bytes = 0
        self._pending: dict[AttemptId, ImportOrder] = {}
        self._by_expiry: list[tuple[float, int, AttemptId]] = []
        self._pending_bytes = 0
        self._free_at = 0.0
        self._sequence = 0
        self._arrival_s = Average(ARRIVAL_WEIGHT)

    @property
    def reserved_bytes(self) -> int:
        """Bytes of KV caches granted, whose import has not been ordered."""
        return self._reserved_bytes

    @property
    def pending_bytes(self) -> int:
        """Bytes of KV caches whose import has been ordered and not started."""
        return self._pending_bytes

    def seconds(self, kv_bytes: float) -> float:
        """Return how long a transfer takes alone, in seconds."""
        return kv_bytes / self._bytes_per_s if self._bytes_per_s > 0 else 0.0

    def backlog_s(self, now: float) -> float:
        """Return the transfers ordered and not ended, in seconds of the link."""
        return max(0.0, self._free_at - now) + self.seconds(self._pending_bytes)

    def never_fits(self, kv_bytes: int) -> bool:
        """Tell whether a KV cache expires before it could arrive over the idle link."""
        return self._planned and self.seconds(kv_bytes) > self._kv_lifetime_s

    def excess_s(self, kv_bytes: float, now: float) -> float:
        """Return by how many seconds a further grant would overfill the plan; 0 if it fits."""
        if not self._planned:
            return 0.0
        backlog_s = self.backlog_s(now)
        if not self._reserved and backlog_s <= 0:
            return 0.0
        soon = self.seconds(self._reserved_bytes * self._soon_share() + kv_bytes)
        return max(0.0, backlog_s + soon - self._kv_lifetime_s * LINK_FILL)

    def recheck_at(self, kv_bytes: int, now: float) -> float | None:
        """Return when a grant that does not fit now may fit by time alone, or ``None``."""
        excess_s = self.excess_s(kv_bytes, now)
        if excess_s <= 0 or self._free_at <= now:
            return None
        return min(now + excess_s, self._free_at)

    def reserve(self, attempt: AttemptId, kv_bytes: int, now: float) -> None:
        """Plan for the KV cache of a granted attempt."""
        self._reserved[attempt] = _Reservation(kv_bytes, now)
        self._reserved_bytes += kv_bytes

    def release(self, attempt: AttemptId) -> None:
        """Drop the plan of an attempt whose import has not started."""
        reservation = self._reserved.pop(attempt, None)
        if reservation is not None:
            self._reserved_bytes -= reservation.kv_bytes
        order = self._pending.pop(attempt, None)
        if order is not None:
            self._pending_bytes -= order.kv_bytes

    def order(self, order: ImportOrder, now: float) -> None:
        """Take an import order; ``starts`` yields it when its turn comes."""
        reservation = self._reserved.get(order.attempt)
        if reservation is not None:
            self._arrival_s.add(now - reservation.since)
        self.release(order.attempt)
        self._pending[order.attempt] = order
        self._pending_bytes += order.kv_bytes
        self._sequence += 1
        expires_at = now + order.expires_in_s
        heapq.heappush(self._by_expiry, (expires_at, self._sequence, order.attempt))

    def is_pending(self, attempt: AttemptId) -> bool:
        """Tell whether an attempt's import waits for the link."""
        return attempt in self._pending

    def starts(self, now: float) -> Iterator[LinkStart]:
        """Yield the imports whose turn has come, the first to expire first."""
        while (due := self.next_due()) is not None and due <= now:
            expires_at, _, attempt = heapq.heappop(self._by_expiry)
            order = self._pending[attempt]
            self.release(attempt)
            ends_at = max(now, self._free_at) + self.seconds(order.kv_bytes)
            expired = self._planned and ends_at > expires_at
            if not expired:
                self._free_at = ends_at
            yield LinkStart(order, ends_at, expired)

    def next_due(self) -> float | None:
        """Return when ``starts`` has something to do, or ``None``."""
        while self._by_expiry and self._by_expiry[0][2] not in self._pending:
            heapq.heappop(self._by_expiry)
        if not self._by_expiry:
            return None
        return self._free_at - LOOKAHEAD_S if self._planned else 0.0

    def _soon_share(self) -> float:
        """Return the share of granted KV caches expected within one lifetime."""
        arrival_s = self._arrival_s.or_else(self._kv_lifetime_s)
        return min(1.0, self._kv_lifetime_s / max(arrival_s, 1e-3))
