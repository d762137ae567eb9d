"""Leases of entries at a sidecar."""

from collections.abc import Iterator

from chivehold.core.deadlines import Deadlines
from chivehold.core.identity import EntryIncarnation


class EntryLeases:
    """Tracks which entries are alive; every message of an entry renews its lease.

    Args:
        lease_s: An entry that sends nothing for this long counts as dead.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._expiries: Deadlines[EntryIncarnation] = Deadlines()

    def renew(self, entry: EntryIncarnation, now: float) -> None:
        """Renew an entry's lease, counted from ``now``."""
        self._expiries.set(entry, now + self._lease_s)

    def expire(self, now: float) -> Iterator[EntryIncarnation]:
        """Remove and yield the entries whose lease has lapsed."""
        return self._expiries.expire(now)

    def next_due(self) -> float | None:
        """Return when the next lease lapses, or ``None``."""
        return self._expiries.next_due()

    def remaining(self, now: float) -> Iterator[tuple[EntryIncarnation, float]]:
        """Yield each live entry with the remaining time of its lease in seconds."""
        for entry in self._expiries:
            yield entry, (self._expiries.due_at(entry) or now) - now
