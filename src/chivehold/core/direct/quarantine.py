"""Content that is refused because it ends upstreams.

Every entry may add a quarantine or lift one. Orders for the same content are numbered, the highest
number counts, and a lifted quarantine wins over one of the same number; so all entries agree in the
end, in whatever order they learn.
"""

from collections.abc import Collection, Iterator
from typing import NamedTuple

from chivehold.core.direct.crash_keys import CrashKey

MAX_QUARANTINES = 256
"""Quarantines to remember; those that end first are dropped first."""


class Quarantine(NamedTuple):
    """An order to refuse requests with some content, or to refuse them no longer."""

    key: CrashKey
    version: int
    """Number of the order among those for the same content, from 1."""
    is_active: bool
    until: float
    """When the order is forgotten, in monotonic seconds."""


class QuarantineList:
    """The quarantines that this entry knows."""

    def __init__(self) -> None:
        self._orders: dict[CrashKey, Quarantine] = {}

    def merge(self, order: Quarantine, now: float) -> bool:
        """Take in an order and return whether it changes anything."""
        known = self._orders.get(order.key)
        if order.until <= now or (known is not None and _rank(order) <= _rank(known)):
            return False
        self._orders[order.key] = order
        if len(self._orders) > MAX_QUARANTINES:
            del self._orders[min(self._orders.values(), key=lambda known: known.until).key]
        return True

    def next_version(self, key: CrashKey) -> int:
        """Return the number of the next order for some content."""
        known = self._orders.get(key)
        return 1 if known is None else known.version + 1

    def find(self, keys: Collection[CrashKey], now: float) -> Quarantine | None:
        """Return an active quarantine of a request with these keys, or ``None``."""
        if not self._orders:
            return None
        orders = (self._orders.get(key) for key in keys)
        return next((o for o in orders if o and o.is_active and o.until > now), None)

    def orders(self, now: float) -> Iterator[Quarantine]:
        """Yield all orders in force, also those that lift a quarantine."""
        self._orders = {key: order for key, order in self._orders.items() if order.until > now}
        yield from self._orders.values()

    def active_keys(self, now: float) -> frozenset[CrashKey]:
        """Return the content that is refused now."""
        return frozenset(order.key for order in self.orders(now) if order.is_active)


def _rank(order: Quarantine) -> tuple[int, bool]:
    return order.version, not order.is_active
