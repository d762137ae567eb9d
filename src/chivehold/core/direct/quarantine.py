"""Content that is refused because it ends upstreams.

Every entry may add a quarantine or lift one. Orders for the same content are numbered, the highest
number counts; of one number a lifted quarantine wins, then the one with more trials, then the one
that is not to be tried. So all entries agree in the end, in whatever order facts reach them.

A quarantine may be wrong, and content that is refused cannot show that it is harmless. So now and
then one request is let through as a trial. A trial of bad content ends an upstream, so all entries
together make only a few, counted by orders of their own.
"""

from collections.abc import Collection, Iterator
from enum import StrEnum
from typing import NamedTuple

from chivehold.core.direct.crash_keys import CrashKey

MAX_QUARANTINES = 256
"""Quarantines to remember; those that end first are dropped first."""
MAX_TRIALS = 2
"""Trials of the same content, also if it is quarantined again."""
MIN_RETRY_S = 2.0
"""Callers are told to come back after this time at the earliest, as a trial may be overdue."""
TRIAL_BACKOFF = 4.0
"""Factor by which the time to the next trial grows with each."""


class Quarantine(NamedTuple):
    """An order to refuse requests with some content, or to refuse them no longer."""

    key: CrashKey
    version: int
    """Number of the order among those for the same content, from 1."""
    is_active: bool
    until: float
    """When the order is forgotten, in monotonic seconds."""
    trials: int = 0
    """Requests let through so far to find out whether the quarantine is wrong."""
    next_trial_at: float | None = None
    """When the next trial is due, in monotonic seconds; ``None`` if there is to be none."""

    def is_trial_due(self, now: float) -> bool:
        """Return whether a request with this content may be let through as a trial."""
        return self.is_active and self.next_trial_at is not None and now >= self.next_trial_at

    def retry_after_s(self, now: float) -> float:
        """Return the time in seconds after which a request with this content may be served."""
        until = self.until if self.next_trial_at is None else min(self.until, self.next_trial_at)
        return max(MIN_RETRY_S, until - now)

    @property
    def rank(self) -> tuple[int, bool, int, bool]:
        """Which order counts among those for the same content: the one of the highest rank."""
        return self.version, not self.is_active, self.trials, self.next_trial_at is None

    def claim_trial(self, trial_s: float, now: float) -> "Quarantine":
        """Return the order that counts one more trial.

        Args:
            trial_s: Time to the first trial of a quarantine, in seconds.
            now: Monotonic time in seconds.
        """
        trials = self.trials + 1
        next_trial_at = now + trial_s * TRIAL_BACKOFF**trials if trials < MAX_TRIALS else None
        return self._replace(version=self.version + 1, trials=trials, next_trial_at=next_trial_at)


class QuarantineList:
    """The quarantines that this entry knows."""

    def __init__(self) -> None:
        self._orders: dict[CrashKey, Quarantine] = {}

    def merge(self, order: Quarantine, now: float) -> bool:
        """Take in an order and return whether it changes anything."""
        known = self._orders.get(order.key)
        if order.until <= now or (known is not None and order.rank <= known.rank):
            return False
        self._orders[order.key] = order
        if len(self._orders) > MAX_QUARANTINES:
            del self._orders[min(self._orders.values(), key=lambda known: known.until).key]
        return True

    def known(self, key: CrashKey) -> Quarantine | None:
        """Return the order in force for some content, or ``None``."""
        return self._orders.get(key)

    def next_order(
        self, key: CrashKey, is_active: bool, until: float, first_trial_at: float | None
    ) -> Quarantine:
        """Return the next order for some content.

        Args:
            key: The content.
            is_active: Whether to refuse it.
            until: When the order is forgotten, in monotonic seconds.
            first_trial_at: When it may first be tried; ``None`` if it is not to be.
        """
        known = self._orders.get(key)
        version, trials = (known.version + 1, known.trials) if known else (1, 0)
        next_trial_at = first_trial_at if trials < MAX_TRIALS else None
        return Quarantine(key, version, is_active, until, trials, next_trial_at)

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


class OrderEvent(StrEnum):
    """What an order changes."""

    BEGUN = "begun"
    TRIED = "tried"
    LIFTED = "lifted"


def order_event(order: Quarantine, before: Quarantine | None) -> OrderEvent:
    """Return what an order changes, given the one in force before it."""
    if not order.is_active:
        return OrderEvent.LIFTED
    if before is not None and before.is_active and order.trials > before.trials:
        return OrderEvent.TRIED
    return OrderEvent.BEGUN
