"""Leases that entries hold in the platform's store: holder, expiry and fencing number.

Clocks of different machines are never compared. A holder counts its term from a time before it
sent the write; a successor counts the same term plus a margin from a time after it read the record.
So the holder's term ends first, however slow the platform is.

The fencing number is the store's version of the write that acquired the lease. All versions come
from one counter, so the number grows even if the lease's object is deleted and recreated. It also
grows over a restore of the store, which may lose the record of a lease in use; no entry acquires a
lease until a term after that.
"""

from typing import NamedTuple

import msgspec

from chivehold.core.identity import EntryIncarnation
from chivehold.core.untrusted_json import decode_json

TERM_S = 6.0
RENEW_INTERVAL_S = 1.5
PAUSE_MARGIN_S = 1.0
"""The holder stops using the lease this long before its term ends."""
SUCCESSOR_MARGIN_S = 0.5
"""A successor waits this long after the term, as two clocks may run at slightly different rates."""


class LeaseRecord(NamedTuple):
    """The stored record of a lease; ``holder`` is empty once the lease is released."""

    holder: EntryIncarnation
    term_s: float


class HeldLease(NamedTuple):
    """A lease that its holder may use right now."""

    name: str
    fencing_number: int
    left_s: float
    """Remaining time in seconds minus the pause margin; above 0."""


def encode_lease(record: LeaseRecord) -> bytes:
    """Return a record as the bytes to store."""
    return msgspec.json.encode(record)


def decode_lease(value: bytes) -> LeaseRecord:
    """Return a stored record; one that cannot be read counts as held by an unknown entry."""
    try:
        return decode_json(value, LeaseRecord)
    except msgspec.DecodeError:
        return LeaseRecord(EntryIncarnation("unreadable"), TERM_S)


class Lease:
    """One entry's view of one lease; all times are seconds on its monotonic clock."""

    def __init__(self, name: str, entry: EntryIncarnation) -> None:
        self._name = name
        self._entry = entry
        self._version = 0
        self._record: LeaseRecord | None = None
        self._free_at = 0.0
        self._fencing_number = 0
        self._held_until = 0.0
        self._blocked_until = 0.0

    @property
    def name(self) -> str:
        """The name of the lease's object."""
        return self._name

    @property
    def version(self) -> int:
        """The version of the last record seen; 0 if there is none."""
        return self._version

    @property
    def holder(self) -> EntryIncarnation | None:
        """The holder named in the last record seen; its lease may have lapsed."""
        return self._record.holder if self._record and self._record.holder else None

    def observe(self, version: int, value: bytes, now: float) -> None:
        """Process the record that a read returned.

        Args:
            version: The version of the lease's object; 0 if it does not exist.
            value: Its value.
            now: A time after the answer to the read arrived.
        """
        if version == self._version:
            return
        self._version = version
        self._record = decode_lease(value) if version else None
        term_s = self._record.term_s if self._record else 0.0
        self._free_at = now + term_s + SUCCESSOR_MARGIN_S
        if self.holder != self._entry:
            self.mark_lost()

    def observe_restore(self, now: float) -> None:
        """Process the news that the store was restored from a copy.

        Args:
            now: A time after an answer of the restored store arrived.
        """
        self.mark_lost()
        self._blocked_until = now + TERM_S + SUCCESSOR_MARGIN_S

    def may_acquire(self, now: float) -> bool:
        """Return whether no entry can still hold the lease."""
        if now < self._blocked_until:
            return False
        if self._record is None or not self._record.holder:
            return True
        return now >= self._free_at

    def may_renew(self, now: float) -> bool:
        """Return whether this entry holds the lease and the last record seen is its own write."""
        return self.held_at(now) is not None and self.holder == self._entry

    def record_write(self, version: int, value: bytes, sent_at: float, now: float) -> None:
        """Process this entry's own write, which acquires the lease or renews it within its term.

        Args:
            version: The version that the write created.
            value: The encoded record.
            sent_at: A time before the write was sent.
            now: A time after its answer arrived.
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
        """Return the lease if orders may still be sent under it at this time, else ``None``."""
        left_s = self._held_until - PAUSE_MARGIN_S - now
        if left_s <= 0:
            return None
        return HeldLease(self._name, self._fencing_number, left_s)
