"""Leases of entries at a sidecar."""

from collections.abc import Iterator

from chivehold.core.deadlines import Deadlines
from chivehold.core.identity import EntryIncarnation


class EntryLeases:
    """Which entries live, by when they were last heard from.

    Args:
        lease_s: An entry not heard from for this long is taken for dead.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._expiries: Deadlines[EntryIncarnation] = Deadlines()

    def renew(self, entry: EntryIncarnation, now: float) -> None:
        """Give an entry a lease from now on."""
        self._expiries.set(entry, now + self._lease_s)

    def expire(self, now: float) -> Iterator[EntryIncarnation]:
        """Remove and yield the entries whose lease has lapsed."""
        return self._expiries.expire(now)

    def next_due(self) -> float | None:
        """Return when the next lease lapses, or ``None``."""
        return self._expiries.next_due()

    def remaining(self, now: float) -> Iterator[tuple[EntryIncarnation, float]]:
        """Yield each live entry with what is left of its lease in seconds."""
        for entry in self._expiries:
            yield entry, (self._expiries.due_at(entry) or now) - now
