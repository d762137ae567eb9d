"""Acquires and renews one of several leases in the platform's object store."""

from collections.abc import Callable, Iterator, Sequence
from random import Random
from typing import NamedTuple

import trio
from returns.result import Failure, Result, Success

from chivehold.core.control_lease import (
    RENEW_INTERVAL_S,
    TERM_S,
    HeldLease,
    Lease,
    LeaseRecord,
    encode_lease,
)
from chivehold.core.identity import EntryIncarnation
from chivehold.core.store_version import era_of
from chivehold.store.api import ObjectStore, StoredObject, Unavailable, WriteError
from chivehold.store.client import Write, write_and_confirm

LEASE_KIND = "lease"
CONTROL_LEASES = ("control",)
WATCHER_COUNT = 8
WATCH_LEASES = tuple(f"watch-{number}" for number in range(WATCHER_COUNT))
POLL_S = 20.0
"""Time between reads of the watch leases while none is held."""
CONTROL_POLL_S = 2.0
"""Time between reads of the control lease while it is not held."""
MAX_READ_BACKS = 2
RELEASE_TIMEOUT_S = 1.0


class _SentWrite(NamedTuple):
    result: Result[StoredObject, WriteError]
    sent_at: float


class LeaseKeeper:
    """Acquires one of several leases and renews it while ``run`` is running.

    Args:
        store: The platform's object store.
        entry: This run of the entry.
        names: The names of the leases; at most one of them is acquired.
        poll_s: Time between reads while no lease is held, in seconds.
        rng: Source of jitter and of the order in which free leases are tried.
        eligible: Returns whether this entry may acquire a lease.
        suspended_s: Returns how long this machine has been suspended so far, in seconds. The
            monotonic clock stops during that time, but leases still expire.
    """

    def __init__(
        self,
        store: ObjectStore,
        entry: EntryIncarnation,
        names: Sequence[str],
        poll_s: float,
        rng: Random,
        eligible: Callable[[], bool] = lambda: True,
        suspended_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._store = store
        self._entry = entry
        self._leases = {name: Lease(name, entry) for name in names}
        self._poll_s = poll_s
        self._rng = rng
        self._eligible = eligible
        self._suspended_s = suspended_s
        self._writes = 0
        self._era: int | None = None
        """The latest known era of the store."""
        self._lost_in_outage = False

    @property
    def holders(self) -> dict[str, EntryIncarnation]:
        """The last known holder of each lease, by lease name."""
        holders = ((name, lease.holder) for name, lease in self._leases.items())
        return {name: holder for name, holder in holders if holder}

    def current(self) -> HeldLease | None:
        """Return the lease held now, if any; call this right before each action under the lease."""
        now = self._now()
        held_leases = (lease.held_at(now) for lease in self._leases.values())
        return next((held for held in held_leases if held), None)

    def is_held(self) -> bool:
        """Return whether a lease is held now."""
        return self.current() is not None

    async def run(self) -> None:
        """Acquire and renew a lease until cancelled, then release it."""
        try:
            while True:
                await self._step()
                await trio.sleep(self._next_delay_s() * self._rng.uniform(0.75, 1.0))
        finally:
            with trio.move_on_after(RELEASE_TIMEOUT_S, shield=True):
                await self._release()

    def _next_delay_s(self) -> float:
        """Return the time until the next step; a lease lost in an outage is retried soon."""
        if self.is_held() or self._lost_in_outage:
            return RENEW_INTERVAL_S
        return self._poll_s

    async def _step(self) -> None:
        if held := self._renewable_lease():
            await self._renew(held)
            return
        if not self._eligible() or not await self._read():
            return
        await self._acquire()

    async def _acquire(self) -> None:
        any_available = False
        for lease in self._available_leases():
            any_available = True
            if await self._write(lease):
                self._lost_in_outage = False
                return
        # Keep the short delay only while a free lease is left that could not be written.
        self._lost_in_outage = self._lost_in_outage and any_available

    async def _renew(self, lease: Lease) -> None:
        if not await self._write(lease):
            self._lost_in_outage = True
            await self._read()

    async def _read(self) -> bool:
        # A stale record is harmless, since a lease is only acquired by a conditional write.
        listed = await self._store.list(LEASE_KIND, may_be_stale=True)
        if isinstance(listed, Failure):
            return False
        snapshot = listed.unwrap()
        stored = {item.name: item for item in snapshot.objects}
        now = self._now()
        self._note_era(snapshot.revision, now)
        for name, lease in self._leases.items():
            item = stored.get(name)
            lease.observe(item.version if item else 0, item.value if item else b"", now)
        return True

    async def _write(self, lease: Lease) -> bool:
        sent = await self._send(lease, LeaseRecord(self._entry, TERM_S))
        now = self._now()
        if isinstance(sent.result, Success):
            stored = sent.result.unwrap()
            lease.record_write(stored.version, stored.value, sent.sent_at, now)
            self._note_era(stored.version, now)
            return lease.held_at(now) is not None
        if not isinstance(sent.result.failure(), Unavailable):
            await self._read()
        return False

    def _note_era(self, version: int, now: float) -> None:
        """Give up all leases if an answer of the store is the first one since a restore."""
        era = era_of(version)
        if self._era is not None and era > self._era:
            for lease in self._leases.values():
                lease.observe_restore(now)
        self._era = max(era, self._era or 0)

    async def _send(self, lease: Lease, record: LeaseRecord) -> _SentWrite:
        self._writes += 1
        write = Write(
            LEASE_KIND,
            lease.name,
            encode_lease(record),
            lease.version,
            f"{self._entry}/{self._writes}",
        )
        sent_at = self._now()
        return _SentWrite(
            await write_and_confirm(self._store, write, self._rng, MAX_READ_BACKS), sent_at
        )

    async def _release(self) -> None:
        held = self._renewable_lease()
        for lease in self._leases.values():
            lease.mark_lost()
        if held:
            await self._send(held, LeaseRecord(EntryIncarnation(""), TERM_S))

    def _now(self) -> float:
        return trio.current_time() + self._suspended_s()

    def _renewable_lease(self) -> Lease | None:
        now = self._now()
        return next((lease for lease in self._leases.values() if lease.may_renew(now)), None)

    def _available_leases(self) -> Iterator[Lease]:
        leases = list(self._leases.values())
        self._rng.shuffle(leases)
        # Checked lazily, since a read during the loop may have found another holder.
        yield from (lease for lease in leases if lease.may_acquire(self._now()))
