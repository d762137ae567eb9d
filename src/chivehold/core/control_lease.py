"""Leases of entries in the platform: who holds one, until when, under which fencing number.

No clocks of two machines are compared. A holder counts its term from before it sent the write; a
successor counts the same term, and a margin, from after it read the record. So the holder's term
ends first, however slow the platform is.

The fencing number is the store's version of the write that acquired the lease. Versions come from
one counter, so it grows also when the lease's object is deleted and made anew.
"""

from typing import NamedTuple

import msgspec

from chivehold.core.identity import EntryIncarnation

TERM_S = 6.0
RENEW_INTERVAL_S = 1.5
PAUSE_MARGIN_S = 1.0
"""The holder stops this long before its term ends."""
SUCCESSOR_MARGIN_S = 0.5
"""A successor waits this long after the term: two clocks may run at slightly different rates."""


class LeaseRecord(NamedTuple):
    """What the platform keeps; ``holder`` is empty once the lease is given back."""

    holder: EntryIncarnation
    term_s: float


class HeldLease(NamedTuple):
    """A lease as its holder may use it right now."""

    name: str
    fencing_number: int
    left_s: float
    """Time left in seconds, less the pause margin; above 0."""


def encode_lease(record: LeaseRecord) -> bytes:
    """Return the bytes that the platform keeps."""
    return msgspec.json.encode(record)


def decode_lease(value: bytes) -> LeaseRecord:
    """Return a stored record; one that cannot be read counts as held by an unknown entry."""
    try:
        return msgspec.json.decode(value, type=LeaseRecord)
    except msgspec.DecodeError:
        return LeaseRecord(EntryIncarnation("unreadable"), TERM_S)


class Lease:
    """One lease as one entry sees it; all times are this entry's monotonic ones, in seconds."""

    def __init__(self, name: str, entry: EntryIncarnation) -> None:
        self._name = name
        self._entry = entry
        self._version = 0
        self._record: LeaseRecord | None = None
        self._free_at = 0.0
        self._fencing_number = 0
        self._held_until = 0.0

    @property
    def name(self) -> str:
        """The name of the lease's object."""
        return self._name

    @property
    def version(self) -> int:
        """The version of the record last seen; 0 for none."""
        return self._version

    @property
    def holder(self) -> EntryIncarnation | None:
        """The entry named by the record last seen, which may have lapsed."""
        return self._record.holder if self._record and self._record.holder else None

    def observe(self, version: int, value: bytes, now: float) -> None:
        """Take note of the record as read; version 0 for none.

        Args:
            version: The version of the lease's object.
            value: Its value.
            now: A time after the read's answer came.
        """
        if version == self._version:
            return
        self._version = version
        self._record = decode_lease(value) if version else None
        term_s = self._record.term_s if self._record else 0.0
        self._free_at = now + term_s + SUCCESSOR_MARGIN_S
        if self.holder != self._entry:
            self.mark_lost()

    def may_acquire(self, now: float) -> bool:
        """Tell whether nobody can hold the lease any more."""
        if self._record is None or not self._record.holder:
            return True
        return now >= self._free_at

    def may_renew(self, now: float) -> bool:
        """Tell whether this entry holds the lease and its own write is the latest one."""
        return self.held_at(now) is not None and self.holder == self._entry

    def record_write(self, version: int, value: bytes, sent_at: float, now: float) -> None:
        """Take note of this entry's own write: it acquires the lease, or renews it in its term.

        Args:
            version: The version that the write gave.
            value: The record written.
            sent_at: A time before the write was sent.
            now: A time after its answer came.
        """
        self.observe(version, value, now)
        if self._record is None or self.holder != self._entry:
            return
        if self.held_at(now) is None:
            self._fencing_number = version
        self._held_until = sent_at + self._record.term_s

    def mark_lost(self) -> None:
        """Stop holding the lease."""
        self._held_until = 0.0

    def held_at(self, now: float) -> HeldLease | None:
        """Return the lease if orders may still be given under it at this time."""
        left_s = self._held_until - PAUSE_MARGIN_S - now
        if left_s <= 0:
            return None
        return HeldLease(self._name, self._fencing_number, left_s)
