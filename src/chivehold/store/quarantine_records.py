"""Keeps quarantines in the store, so that they outlast all entries.

All are in one object. Entries that learn of a quarantine together wait for different times before
they write it, and only the first one has to.
"""

import logging
import time
from collections.abc import Callable, Iterable
from random import Random
from typing import NotRequired, TypedDict

import msgspec
import trio
from returns.result import Failure

from chivehold.core.direct.crash_keys import CrashKey, KeyKind
from chivehold.core.direct.quarantine import Quarantine
from chivehold.core.identity import EntryIncarnation
from chivehold.core.untrusted_json import decode_json
from chivehold.logs import log_event
from chivehold.store.api import Conflict, ObjectStore, StoredObject
from chivehold.store.client import Write, write_and_confirm

QUARANTINE_KIND = "quarantine"
QUARANTINE_NAME = "all"
SPREAD_S_PER_ENTRY = 0.05
"""Entries wait for up to this time, times their number, before they write."""
MAX_SPREAD_S = 20.0
RETRY_S = 1.0
CHECK_INTERVAL_S = 60.0
"""Time between checks that the store still has the quarantines; it may be restored from a copy."""

_log = logging.getLogger(__name__)


class _RecordJson(TypedDict):
    kind: KeyKind
    value: str
    version: int
    active: bool
    until: float
    """Unix time in seconds."""
    trials: NotRequired[int]
    next_trial_at: NotRequired[float | None]
    """Unix time in seconds."""


OrderHandler = Callable[[Quarantine], None]
"""Called with each order read from the store."""


class QuarantineRecords:
    """Reads the stored quarantines at the start and writes those that the store lacks.

    Args:
        store: The platform's object store.
        incarnation: This run of the entry; part of the ids of its writes.
        orders: Returns all orders that this entry knows.
        on_order: Called with each order read.
        entries: Returns the number of entries.
        rng: Source of jitter for delays.
    """

    def __init__(
        self,
        store: ObjectStore,
        incarnation: EntryIncarnation,
        orders: Callable[[], Iterable[Quarantine]],
        on_order: OrderHandler,
        entries: Callable[[], int],
        rng: Random,
    ) -> None:
        self._store = store
        self._incarnation = incarnation
        self._orders = orders
        self._on_order = on_order
        self._entries = entries
        self._rng = rng
        self._writes = 0
        self._changed = trio.Event()
        self._is_loaded = False

    @property
    def is_loaded(self) -> bool:
        """Whether the stored quarantines have been read."""
        return self._is_loaded

    def notify_changed(self) -> None:
        """Have the store checked soon, as there is a new order."""
        self._changed.set()

    async def run(self) -> None:
        """Keep the store up to date until cancelled."""
        while not self._is_loaded:
            self._is_loaded = await self._read() is not None
            if not self._is_loaded:
                await trio.sleep(RETRY_S * self._rng.uniform(0.5, 1.0))
        while True:
            with trio.move_on_after(CHECK_INTERVAL_S * self._rng.uniform(0.8, 1.2)):
                await self._changed.wait()
            self._changed = trio.Event()
            if not any(True for _ in self._orders()):
                continue
            spread_s = min(MAX_SPREAD_S, SPREAD_S_PER_ENTRY * self._entries())
            await trio.sleep(self._rng.uniform(0.0, spread_s))
            while not await self._write_missing():
                await trio.sleep(RETRY_S * self._rng.uniform(0.5, 1.5))

    async def claim(self, order: Quarantine) -> bool:
        """Write an order that only one entry may give; return whether it was this one.

        Returns:
            ``False`` also if the store is away or does not answer.
        """
        stored = await self._read()
        if stored is None or _covers(_decode(stored), order):
            return False
        return await self._write(stored, {order.key: order})

    async def _write_missing(self) -> bool:
        """Write the orders that the store lacks; return whether it has all of them now."""
        stored = await self._read()
        if stored is None:
            return False
        records = _decode(stored)
        wanted = {order.key: order for order in self._orders()}
        if all(_covers(records, order) for order in wanted.values()):
            return True
        return await self._write(stored, wanted)

    async def _write(self, stored: StoredObject, wanted: dict[CrashKey, Quarantine]) -> bool:
        """Write these orders if the store still has what was read; return whether it is done."""
        records = _decode(stored)
        merged = records | {key: _record_of(order) for key, order in wanted.items()}
        self._writes += 1
        write = Write(
            QUARANTINE_KIND,
            QUARANTINE_NAME,
            msgspec.json.encode(list(merged.values())),
            stored.version,
            f"{self._incarnation}/quarantine/{self._writes}",
        )
        written = await write_and_confirm(self._store, write, self._rng, max_read_backs=1)
        if isinstance(written, Failure):
            is_conflict = isinstance(written.failure(), Conflict)
            log_event(_log, logging.INFO, "quarantines not stored", conflict=is_conflict)
            return False
        keys = [str(key) for key, order in wanted.items() if not _covers(records, order)]
        log_event(_log, logging.INFO, "quarantines stored", keys=keys)
        return True

    async def _read(self) -> StoredObject | None:
        """Read the object and pass on its orders; an object without a value if there is none."""
        listed = await self._store.list(QUARANTINE_KIND)
        if isinstance(listed, Failure):
            return None
        empty = StoredObject(QUARANTINE_KIND, QUARANTINE_NAME, "", 0, b"", ())
        stored = next((o for o in listed.unwrap().objects if o.name == QUARANTINE_NAME), empty)
        for record in _decode(stored).values():
            self._on_order(_order_of(record))
        return stored


def _decode(stored: StoredObject) -> dict[CrashKey, _RecordJson]:
    if not stored.value:
        return {}
    try:
        records = decode_json(stored.value, list[_RecordJson])
    except msgspec.DecodeError as error:
        log_event(_log, logging.ERROR, "stored quarantines unreadable", error)
        return {}
    now = time.time()
    return {
        CrashKey(record["kind"], record["value"]): record
        for record in records
        if record["until"] > now
    }


def _covers(records: dict[CrashKey, _RecordJson], order: Quarantine) -> bool:
    record = records.get(order.key)
    if record is None:
        return False
    return _order_of(record).rank >= order.rank


def _record_of(order: Quarantine) -> _RecordJson:
    unix_offset_s = time.time() - trio.current_time()
    next_trial_at = order.next_trial_at
    return {
        "kind": order.key.kind,
        "value": order.key.value,
        "version": order.version,
        "active": order.is_active,
        "until": order.until + unix_offset_s,
        "trials": order.trials,
        "next_trial_at": None if next_trial_at is None else next_trial_at + unix_offset_s,
    }


def _order_of(record: _RecordJson) -> Quarantine:
    unix_offset_s = time.time() - trio.current_time()
    next_trial_at = record.get("next_trial_at")
    return Quarantine(
        CrashKey(record["kind"], record["value"]),
        record["version"],
        record["active"],
        record["until"] - unix_offset_s,
        record.get("trials", 0),
        None if next_trial_at is None else next_trial_at - unix_offset_s,
    )
