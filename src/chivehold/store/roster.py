"""Counts the entries: each writes its own object and periodically lists all of them.

Limits that all entries share without coordinating, such as a retry budget, are divided by the
number of entries. Counting an entry that no longer runs is safe, since it only leaves its share
unused; so an object counts until it has not been renewed for a long time. Objects that a restore of
the store has lost count until their entries have had time to write them again.
"""

import logging
import math
from collections.abc import Callable
from random import Random
from typing import NamedTuple, TypedDict

import msgspec
import trio
from returns.result import Failure

from chivehold.core.identity import EntryIncarnation
from chivehold.core.store_version import era_of
from chivehold.core.untrusted_json import decode_json
from chivehold.logs import log_event
from chivehold.store.api import Conflict, ObjectStore, StoredObject
from chivehold.store.client import Write, write_and_confirm

ENTRY_KIND = "entry"
POLL_INTERVAL_S = 10.0
ENTRIES_PER_POLL = 50
"""With more entries than this, each lists less often, so that its read volume stays constant."""
RENEW_INTERVAL_S = 60.0
STALE_AFTER_S = 180.0
RETRY_INTERVAL_S = 2.0
STARTUP_PERIOD_S = 3.0
"""How long after its start an entry lists all entries at ``RETRY_INTERVAL_S``.

The entries of a new deployment have all written their objects after this time.
"""
ESTABLISHED_INTERVALS = 1.5
"""Poll intervals after a new entry's first write until all others have listed it."""
REWRITE_INTERVALS = 3
"""Poll intervals after a restore of the store until each entry has written its object again."""

_log = logging.getLogger(__name__)


class _EntryJson(TypedDict):
    incarnation: str
    address: str
    """``host:port`` that takes the entry's datagrams; empty if it takes none."""


class _Observation(NamedTuple):
    """The version of an entry's object, when that version was first seen, and its address."""

    version: int
    first_seen_at: float
    address: str


class EntryRoster:
    """Keeps this entry's object renewed and counts all entries while ``run`` is running.

    Args:
        store: The platform's object store.
        name: The name of this entry, which stays the same after a restart.
        incarnation: Identifies this run of the entry.
        initial_count: The number of entries to assume until the first list.
        publish: Called with the number of entries whenever it has changed.
        rng: Source of jitter for delays.
        address: ``host:port`` that takes this entry's datagrams, told to the others.
        publish_addresses: Called with the addresses of the entries by name after each list.
    """

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        incarnation: EntryIncarnation,
        initial_count: int,
        publish: Callable[[int], None],
        rng: Random,
        address: Callable[[], str] = lambda: "",
        publish_addresses: Callable[[dict[str, str]], None] = lambda addresses: None,
    ) -> None:
        self._store = store
        self._name = name
        self._incarnation = incarnation
        self._publish = publish
        self._rng = rng
        self._address = address
        self._publish_addresses = publish_addresses
        self._count = initial_count
        self._names: frozenset[str] = frozenset()
        self._first_written_at: float | None = None
        self._was_listed_before = False
        """Whether an earlier run of this entry had left its object."""
        self._writes = 0
        self._version = 0
        self._renewed_at: float | None = None
        self._observations: dict[str, _Observation] = {}
        self._era: int | None = None
        """The latest known era of the store."""
        self._lost_objects_until = -math.inf

    @property
    def count(self) -> int:
        """The number of entries, including this one."""
        return self._count

    @property
    def names(self) -> frozenset[str]:
        """The names of the entries, including this one; empty until they are known."""
        return self._names

    @property
    def is_established(self) -> bool:
        """Whether the other entries know the name of this one."""
        if self._first_written_at is None or not self._names:
            return False
        if self._was_listed_before:
            return True
        settling_s = ESTABLISHED_INTERVALS * self._poll_interval_s()
        return trio.current_time() >= self._first_written_at + settling_s

    async def run(self) -> None:
        """Renew and list until cancelled.

        The object is not deleted on exit: a draining entry still has requests, and an entry that
        restarts under the same name would not be counted in between.
        """
        started_at = trio.current_time()
        while True:
            listed = await self._renew() and await self._list()
            is_past_startup = trio.current_time() > started_at + STARTUP_PERIOD_S
            pause_s = self._poll_interval_s() if listed and is_past_startup else RETRY_INTERVAL_S
            await trio.sleep(pause_s * self._rng.uniform(0.8, 1.2))

    def _poll_interval_s(self) -> float:
        return POLL_INTERVAL_S * max(1.0, self._count / ENTRIES_PER_POLL)

    async def _renew(self) -> bool:
        now = trio.current_time()
        if self._renewed_at is not None and now < self._renewed_at + RENEW_INTERVAL_S:
            return True
        self._writes += 1
        operation_id = f"{self._incarnation}/{self._writes}"
        value = msgspec.json.encode(
            _EntryJson(incarnation=self._incarnation, address=self._address())
        )
        write = Write(ENTRY_KIND, self._name, value, self._version, operation_id)
        written = await write_and_confirm(self._store, write, self._rng, max_read_backs=1)
        if isinstance(written, Failure):
            error = written.failure()
            if self._first_written_at is None and isinstance(error, Conflict):
                self._was_listed_before = True
            # Take over an object left by an earlier run; recreate one that was removed as stale.
            self._version = error.current_version if isinstance(error, Conflict) else 0
            return False
        self._version = written.unwrap().version
        if self._first_written_at is None:
            self._first_written_at = now
        self._renewed_at = now
        return True

    async def _list(self) -> bool:
        listed = await self._store.list(ENTRY_KIND, may_be_stale=True)
        if isinstance(listed, Failure):
            return False
        now = trio.current_time()
        snapshot = listed.unwrap()
        is_restored = self._note_era(snapshot.revision, now)
        observed = {stored.name: self._observe(stored, now) for stored in snapshot.objects}
        kept = self._observations if now < self._lost_objects_until else {}
        self._observations = {**kept, **observed}
        self._names = frozenset(
            name
            for name, observation in self._observations.items()
            if now - observation.first_seen_at < STALE_AFTER_S
        )
        self._publish_addresses({name: self._observations[name].address for name in self._names})
        count = len(self._names)
        if count and count != self._count:
            log_event(_log, logging.INFO, "entries counted", entries=count, before=self._count)
            self._count = count
            self._publish(count)
        return not is_restored

    def _note_era(self, version: int, now: float) -> bool:
        """Return whether an answer is the first one since a restore of the store."""
        era = era_of(version)
        is_restored = self._era is not None and era > self._era
        if is_restored:
            self._renewed_at = None
            self._lost_objects_until = now + REWRITE_INTERVALS * self._poll_interval_s()
        self._era = max(era, self._era or 0)
        return is_restored

    def _observe(self, stored: StoredObject, now: float) -> _Observation:
        known = self._observations.get(stored.name)
        if known is not None and known.version == stored.version:
            return known
        return _Observation(stored.version, now, _decode_address(stored.value))


def _decode_address(value: bytes) -> str:
    """Return the address in an entry's object, empty if an earlier version has written it."""
    try:
        return decode_json(value, _EntryJson)["address"]
    except msgspec.DecodeError:
        return ""
