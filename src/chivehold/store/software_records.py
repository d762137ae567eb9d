"""Keeps in the store what entries need to continue streams of several software versions.

One object has the table of the versions that may have begun streams. While it lists several
versions of a service, each entry has another object, with the origins of the service's streams that
it has begun; so they are known after the end of all entries. With one version of each service
nothing is written, and only callers that resume a stream unknown to an entry make it read.
"""

import logging
from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import NamedTuple, TypedDict

import msgspec
import trio
from returns.result import Failure

from chivehold.core.direct.software_versions import SoftwareVersions, VersionTable
from chivehold.core.direct.stream_origins import (
    KEY_LENGTH,
    OriginKey,
    StreamOrigin,
    StreamOrigins,
)
from chivehold.core.identity import EntryIncarnation
from chivehold.core.store_version import era_of, store_version
from chivehold.core.untrusted_json import decode_json
from chivehold.logs import log_event
from chivehold.store.api import Conflict, NotFound, ObjectStore, StoredObject
from chivehold.store.client import Write, write_and_confirm

SOFTWARE_KIND = "software"
VERSIONS_NAME = "versions"
ORIGINS_PREFIX = "origins."
MIN_WRITE_INTERVAL_S = 0.1
"""Shortest time between two writes of an entry's origins."""
WRITE_DELAY_S = 0.02
"""Time after a stream begins in which others may join its write, long before its first event."""
MAX_ORIGIN_WRITES_PER_S = 200.0
"""Writes of origins by all entries together."""
MIN_READ_INTERVAL_S = 0.05
MAX_READS_PER_S = 500.0
"""Reads by all entries together, while callers resume streams at all of them."""
SPREAD_S_PER_ENTRY = 0.005
"""Entries that see a new list of upstreams wait for up to this time, times their number."""
MAX_SPREAD_S = 1.0
RETRY_S = 0.5
CHECK_INTERVAL_S = 60.0
"""Time between two checks of the table while nothing happens; a check makes no call."""

_log = logging.getLogger(__name__)


class _OriginsJson(TypedDict):
    service: str
    software: str
    keys: str
    """Keys of the streams, one after the other."""


class StoredOrigins(NamedTuple):
    """The origins that all entries have stored, as read at one moment."""

    groups: tuple[_OriginsJson, ...]

    def find(self, key: OriginKey) -> StreamOrigin | None:
        """Return the origin of a stream, or ``None`` if it is unknown or ambiguous."""
        found = {
            StreamOrigin(group["service"], group["software"])
            for group in self.groups
            if _contains(group["keys"], key)
        }
        return found.pop() if len(found) == 1 else None


class SoftwareRecords:
    """Reads and writes these objects while ``run`` is running.

    Args:
        store: The platform's object store.
        name: The name of this entry, which stays the same after a restart.
        incarnation: This run of the entry; part of the ids of its writes.
        versions: The software versions; updated with the table in the store.
        origins: The origins of this entry's streams; gets those of its earlier run.
        entries: Returns the number of entries.
        rng: Source of jitter.
    """

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        incarnation: EntryIncarnation,
        versions: SoftwareVersions,
        origins: StreamOrigins,
        entries: Callable[[], int],
        rng: Random,
    ) -> None:
        self._store = store
        self._name = f"{ORIGINS_PREFIX}{name}"
        self._incarnation = incarnation
        self._versions = versions
        self._origins = origins
        self._entries = entries
        self._rng = rng
        self._writes = 0
        self._versions_changed = trio.Event()
        self._origins_changed = trio.Event()
        self._table_version = 0
        self._origins_version = 0
        self._is_loaded = False
        self._read_wanted = trio.Event()
        self._read_done = trio.Event()
        self._last_read: StoredOrigins | None = None
        self._has_failed = False
        """Whether the latest write failed for another reason than a conflict."""

    @property
    def is_loaded(self) -> bool:
        """Whether the objects have been read since the start."""
        return self._is_loaded

    @property
    def write_interval_s(self) -> float:
        """Time between two writes of this entry's origins, in seconds."""
        return max(MIN_WRITE_INTERVAL_S, self._entries() / MAX_ORIGIN_WRITES_PER_S)

    def notify_versions(self) -> None:
        """Have the table checked, as the list of upstreams has changed."""
        self._versions_changed.set()
        self._origins_changed.set()

    def notify_origins(self) -> None:
        """Have the origins written soon, as there is a new one."""
        self._origins_changed.set()

    async def run(self) -> None:
        """Keep the store up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._serve_reads)
            nursery.start_soon(self._keep_table)
            nursery.start_soon(self._keep_origins)

    async def read(self) -> StoredOrigins | None:
        """Return what a read that begins after this call finds, or ``None`` if it fails.

        Calls that wait at the same time share one read.
        """
        done = self._read_done
        self._read_wanted.set()
        await done.wait()
        return self._last_read

    async def _serve_reads(self) -> None:
        while True:
            await self._read_wanted.wait()
            self._read_wanted = trio.Event()
            done, self._read_done = self._read_done, trio.Event()
            self._last_read = await self._read()
            done.set()
            await trio.sleep(max(MIN_READ_INTERVAL_S, self._entries() / MAX_READS_PER_S))

    async def _read(self) -> StoredOrigins | None:
        listed = await self._store.list(SOFTWARE_KIND)
        if isinstance(listed, Failure):
            return None
        snapshot = listed.unwrap()
        objects = {stored.name: stored for stored in snapshot.objects}
        self._apply_table(objects.get(VERSIONS_NAME), snapshot.revision)
        origins = StoredOrigins(tuple(_groups(objects.values())))
        if not self._is_loaded:
            self._is_loaded = True
            self._carry_over(objects.get(self._name))
            self._origins_changed.set()
        return origins

    def _apply_table(self, stored: StoredObject | None, revision: int) -> None:
        self._table_version = 0 if stored is None else stored.version
        # A restored object may be of an earlier era than the answer that contains it.
        version = max(self._table_version, store_version(era_of(revision), 0))
        table = {} if stored is None else _decode_table(stored)
        self._versions.update_stored(table, version, trio.current_time())

    def _carry_over(self, stored: StoredObject | None) -> None:
        """Keep the origins of streams that an earlier run of this entry has begun."""
        if stored is None:
            return
        self._origins_version = stored.version
        until = trio.current_time() + self._versions.stream_lifetime_s
        for group in _groups([stored]):
            origin = StreamOrigin(group["service"], group["software"])
            for key in _split_keys(group["keys"]):
                self._origins.record(key, origin, until)

    async def _keep_table(self) -> None:
        while await self.read() is None:
            await trio.sleep(RETRY_S * self._rng.uniform(0.5, 1.5))
        while True:
            await self._wait_for_change()
            spread_s = min(MAX_SPREAD_S, SPREAD_S_PER_ENTRY * self._entries())
            await trio.sleep(self._rng.uniform(0.0, spread_s))
            if not await self._update_table():
                await trio.sleep(RETRY_S * self._rng.uniform(0.5, 1.5))

    async def _wait_for_change(self) -> None:
        """Wait until the table in the store has to be read or changed."""
        while not self._versions.is_outdated and not self._versions.needs_write(
            trio.current_time()
        ):
            removal_at = self._versions.next_removal_at()
            check_at = trio.current_time() + CHECK_INTERVAL_S
            with trio.move_on_at(check_at if removal_at is None else removal_at):
                await self._versions_changed.wait()
            self._versions_changed = trio.Event()

    async def _update_table(self) -> bool:
        """Read the table and write it if it has to change; return whether it is up to date."""
        if await self.read() is None:
            return False
        now = trio.current_time()
        if not self._versions.needs_write(now):
            return True
        before, wanted = self._versions.stored, self._versions.wanted(now)
        written = await self._write(VERSIONS_NAME, _encode_table(wanted), self._table_version)
        if written is None:
            return False
        self._table_version = written.version
        self._versions.update_stored(_decode_table(written), written.version, trio.current_time())
        log_event(
            _log,
            logging.INFO,
            "software versions stored",
            versions=_to_json(wanted),
            before=_to_json(before),
        )
        if not self._versions.mixed_services(trio.current_time()):
            await self._delete_origins()
        self._origins_changed.set()
        return True

    async def _keep_origins(self) -> None:
        while True:
            await self._origins_changed.wait()
            await trio.sleep(WRITE_DELAY_S)
            self._origins_changed = trio.Event()
            services = self._versions.mixed_services(trio.current_time())
            if not services or not self._is_loaded:
                continue
            value = _encode_origins(self._origins.of_services(services, trio.current_time()))
            written = await self._write(self._name, value, self._origins_version)
            pause_s = self.write_interval_s
            if written is not None:
                self._origins_version = written.version
            else:
                self._origins_changed.set()
                pause_s = max(pause_s, RETRY_S if self._has_failed else 0.0)
            await trio.sleep(pause_s * self._rng.uniform(0.8, 1.0))

    async def _write(self, name: str, value: bytes | None, version: int) -> StoredObject | None:
        """Write or delete an object if it still has a version; return it if that took effect."""
        self._writes += 1
        operation_id = f"{self._incarnation}/software/{self._writes}"
        write = Write(SOFTWARE_KIND, name, value, version, operation_id)
        written = await write_and_confirm(self._store, write, self._rng, max_read_backs=1)
        if not isinstance(written, Failure):
            self._has_failed = False
            return written.unwrap()
        error = written.failure()
        if name == self._name:
            # Take over an object that another run has written since; recreate a deleted one.
            self._origins_version = error.current_version if isinstance(error, Conflict) else 0
        if not isinstance(error, Conflict | NotFound) and not self._has_failed:
            self._has_failed = True
            log_event(
                _log, logging.WARNING, "software versions not stored", name=name, detail=error
            )
        return None

    async def _delete_origins(self) -> None:
        """Delete the origins of all entries once each service has one version again."""
        listed = await self._store.list(SOFTWARE_KIND)
        if isinstance(listed, Failure):
            return
        for stored in listed.unwrap().objects:
            if stored.name.startswith(ORIGINS_PREFIX):
                await self._write(stored.name, None, stored.version)


def _groups(objects: Iterable[StoredObject]) -> Iterator[_OriginsJson]:
    for stored in objects:
        if not stored.name.startswith(ORIGINS_PREFIX):
            continue
        try:
            yield from decode_json(stored.value, list[_OriginsJson])
        except msgspec.DecodeError as error:
            log_event(_log, logging.ERROR, "stored origins unreadable", error, name=stored.name)


def _encode_origins(origins: Iterable[tuple[OriginKey, StreamOrigin]]) -> bytes:
    keys: dict[StreamOrigin, list[OriginKey]] = {}
    for key, origin in origins:
        keys.setdefault(origin, []).append(key)
    groups = [
        _OriginsJson(service=origin.service, software=origin.software, keys="".join(of_origin))
        for origin, of_origin in keys.items()
    ]
    return msgspec.json.encode(groups)


def _contains(keys: str, key: OriginKey) -> bool:
    at = keys.find(key)
    while at >= 0 and at % KEY_LENGTH:
        at = keys.find(key, at + 1)
    return at >= 0


def _split_keys(keys: str) -> Iterator[OriginKey]:
    return (OriginKey(keys[at : at + KEY_LENGTH]) for at in range(0, len(keys), KEY_LENGTH))


def _decode_table(stored: StoredObject) -> VersionTable:
    try:
        table = decode_json(stored.value, dict[str, list[str]])
    except msgspec.DecodeError as error:
        log_event(_log, logging.ERROR, "stored software versions unreadable", error)
        return {}
    return {service: frozenset(versions) for service, versions in table.items()}


def _encode_table(table: VersionTable) -> bytes:
    return msgspec.json.encode(_to_json(table))


def _to_json(table: VersionTable) -> dict[str, list[str]]:
    return {service: sorted(versions) for service, versions in sorted(table.items())}
