"""Keeps one lease out of several in the platform, as long as the platform lets it."""

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
from chivehold.store.api import ObjectStore, Stored, Unavailable, WriteError
from chivehold.store.client import Write, settle

LEASE_KIND = "lease"
CONTROL_LEASES = ("control",)
WATCHERS = 8
WATCH_LEASES = tuple(f"watch-{number}" for number in range(WATCHERS))
POLL_S = 20.0
CONTROL_POLL_S = 2.0
SETTLE_TRIES = 2
GIVE_BACK_TIMEOUT_S = 1.0


class _Sent(NamedTuple):
    result: Result[Stored, WriteError]
    sent_at: float


class LeaseKeeper:
    """Tries to hold one of several leases; ``run`` does the work.

    Args:
        store: The platform.
        entry: This run of the entry.
        names: The leases; any one of them is wanted.
        poll_s: Time between reads while none is held, in seconds.
        rng: Draws waiting times and the order in which free leases are tried.
        eligible: Tells whether this entry may try at all.
        suspended_s: Returns how long this machine has been suspended so far, in seconds; the
            steady clock stands still meanwhile, leases do not.
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
        self._was_cut_off = False

    @property
    def holders(self) -> dict[str, EntryIncarnation]:
        """The holders last seen, by lease."""
        found = ((name, lease.holder) for name, lease in self._leases.items())
        return {name: holder for name, holder in found if holder}

    def current(self) -> HeldLease | None:
        """Return the lease held right now; ask right before each act done under it."""
        now = self._now()
        held = (lease.held_at(now) for lease in self._leases.values())
        return next((one for one in held if one), None)

    def is_held(self) -> bool:
        """Tell whether a lease is held right now."""
        return self.current() is not None

    async def run(self) -> None:
        """Acquire and renew until cancelled, then give the lease back."""
        try:
            while True:
                await self._step()
                await trio.sleep(self._pause_s() * self._rng.uniform(0.75, 1.0))
        finally:
            with trio.move_on_after(GIVE_BACK_TIMEOUT_S, shield=True):
                await self._give_back()

    def _pause_s(self) -> float:
        """Return when to look again; a holder that was cut off by an outage comes back soon."""
        if self.is_held() or self._was_cut_off:
            return RENEW_INTERVAL_S
        return self._poll_s

    async def _step(self) -> None:
        if held := self._renewable():
            await self._renew(held)
            return
        if not self._eligible() or not await self._read():
            return
        await self._acquire()

    async def _acquire(self) -> None:
        free = False
        for lease in self._free():
            free = True
            if await self._write(lease):
                self._was_cut_off = False
                return
        # A free lease that could not be written is tried again as soon as before.
        self._was_cut_off = self._was_cut_off and free

    async def _renew(self, lease: Lease) -> None:
        if not await self._write(lease):
            self._was_cut_off = True
            await self._read()

    async def _read(self) -> bool:
        # A lease is only ever taken by a conditional write, so that an old record does no harm.
        listed = await self._store.list(LEASE_KIND, may_be_stale=True)
        if isinstance(listed, Failure):
            return False
        stored = {one.name: one for one in listed.unwrap().objects}
        now = self._now()
        for name, lease in self._leases.items():
            found = stored.get(name)
            lease.observe(found.version if found else 0, found.value if found else b"", now)
        return True

    async def _write(self, lease: Lease) -> bool:
        sent = await self._send(lease, LeaseRecord(self._entry, TERM_S))
        now = self._now()
        if isinstance(sent.result, Success):
            stored = sent.result.unwrap()
            lease.record_write(stored.version, stored.value, sent.sent_at, now)
            return lease.held_at(now) is not None
        if not isinstance(sent.result.failure(), Unavailable):
            await self._read()
        return False

    async def _send(self, lease: Lease, record: LeaseRecord) -> _Sent:
        self._writes += 1
        write = Write(
            LEASE_KIND,
            lease.name,
            encode_lease(record),
            lease.version,
            f"{self._entry}/{self._writes}",
        )
        sent_at = self._now()
        return _Sent(await settle(self._store, write, self._rng, SETTLE_TRIES), sent_at)

    async def _give_back(self) -> None:
        held = self._renewable()
        for lease in self._leases.values():
            lease.mark_lost()
        if held:
            await self._send(held, LeaseRecord(EntryIncarnation(""), TERM_S))

    def _now(self) -> float:
        return trio.current_time() + self._suspended_s()

    def _renewable(self) -> Lease | None:
        now = self._now()
        return next((one for one in self._leases.values() if one.may_renew(now)), None)

    def _free(self) -> Iterator[Lease]:
        leases = list(self._leases.values())
        self._rng.shuffle(leases)
        # Each is checked as its turn comes: a read in between may have shown another holder.
        yield from (lease for lease in leases if lease.may_acquire(self._now()))
