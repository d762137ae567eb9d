"""Entries, engines of several software versions, and a store in memory, on a clock that jumps.

The parts of the entries that know what began a stream are the real ones. Each entry sees the list
of engines late, and can be cut off from the store.
"""

from random import Random
from typing import NamedTuple

import trio
from returns.result import Failure, Result

from chivehold.core.direct.fleet import Fleet
from chivehold.core.direct.messages import RequestMetadata, Stage, UpstreamRecord
from chivehold.core.direct.routes import CallKind, Route, Split
from chivehold.core.direct.upstream_admission import UpstreamAdmission
from chivehold.core.direct.upstream_limits import UpstreamLimits
from chivehold.core.identity import EntryIncarnation
from chivehold.core.store_version import era_of
from chivehold.direct.exchange import Exchange
from chivehold.direct.metrics import DirectMetrics
from chivehold.direct.refusals import Refusal
from chivehold.direct.version_tracking import VersionTracking
from chivehold.fakes.object_store import Faults, MemoryObjectStore
from chivehold.store.api import NotFound, Snapshot, StoredObject, Unavailable, WriteError
from tests.core.direct import factories

SERVICE = "s"
DEADLINE_S = 14.0
"""How long a caller waits for its stream, its retries included."""
LIST_LAG_S = 0.4
"""Longest time until an entry sees a change of the list of engines."""
RUNS_ON_S = 3.0
"""How long an engine usually serves after its record has been removed."""
STORE_DELAY_S = 0.004


class BegunStream(NamedTuple):
    """A stream that an engine has begun."""

    request: str
    software: str
    at: float
    is_confirmed: bool
    """Whether its entry knew that all entries can know of the version."""


class Engine(NamedTuple):
    """An engine as the store lists it."""

    record: UpstreamRecord
    removed_at: float | None = None


class _SeenList(NamedTuple):
    """A list of engines, and the era of the store that it is from."""

    records: list[UpstreamRecord]
    era: int


class _CutStore:
    """The store as one entry reaches it, or does not."""

    def __init__(self, world: "VersionWorld", entry: str) -> None:
        self._world = world
        self._store = world.store
        self._entry = entry

    async def list(self, kind: str, may_be_stale: bool = False) -> Result[Snapshot, Unavailable]:
        if self._is_cut_off():
            return await self._refuse("list")
        return await self._store.list(kind, may_be_stale)

    async def get(self, kind: str, name: str) -> Result[StoredObject, NotFound | Unavailable]:
        if self._is_cut_off():
            return await self._refuse("get")
        return await self._store.get(kind, name)

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int, operation_id: str
    ) -> Result[StoredObject, WriteError]:
        if self._is_cut_off():
            return await self._refuse("put")
        return await self._store.put(kind, name, value, expected_version, operation_id)

    async def delete(
        self, kind: str, name: str, expected_version: int, operation_id: str
    ) -> Result[StoredObject, WriteError]:
        if self._is_cut_off():
            return await self._refuse("delete")
        return await self._store.delete(kind, name, expected_version, operation_id)

    def _is_cut_off(self) -> bool:
        return self._entry in self._world.cut_off

    async def _refuse(self, step: str) -> Failure[Unavailable]:
        await trio.sleep(STORE_DELAY_S)
        return Failure(Unavailable(step, "store", "cut off"))


class VersionEntry:
    """One run of an entry."""

    def __init__(self, world: "VersionWorld", name: str, run: int) -> None:
        self.name = name
        self.scope = trio.CancelScope()
        self.sees_list = False
        rng = Random(f"{name}/{run}")
        store: object = _CutStore(world, name)
        limits = UpstreamLimits(name, lambda: None, rng)  # type: ignore[arg-type,return-value]
        self.tracking = VersionTracking(
            name,
            EntryIncarnation(f"{name}/{run}"),
            store,  # type: ignore[arg-type]
            lambda: world.entry_count,
            DirectMetrics(),
            rng,
        )
        self.fleet = Fleet("a", rng, UpstreamAdmission(limits, rng), self.tracking.is_confirmed)
        self._world = world
        self._rng = rng

    async def run(self) -> None:
        """Follow the list of engines until killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.tracking.run)
                while True:
                    await self._see_list()
                    await trio.sleep(LIST_LAG_S * self._rng.uniform(0.5, 1.0))

    async def _see_list(self) -> None:
        await trio.sleep(STORE_DELAY_S)
        if self.name in self._world.cut_off or self._world.store.faults.outage:
            return
        records = self._world.listed()
        revision = self._world.store.revision
        seen = _SeenList(records, era_of(revision))
        if seen != self._world.seen.get(self.name):
            self._world.seen[self.name] = seen
            self.sees_list = True
            self.fleet.replace(records)
            self.tracking.apply_upstreams(records, revision)


class VersionWorld:
    """Entries, engines and the store.

    Args:
        nursery: Runs the entries.
        entries: Number of entries.
        seed: Seed of the entries' choices.
    """

    def __init__(self, nursery: trio.Nursery, entries: int, seed: int = 0) -> None:
        self._nursery = nursery
        self.entry_count = entries
        self.rng = Random(seed)
        self.store = MemoryObjectStore(Faults(delay_s=STORE_DELAY_S))
        self.engines: dict[str, Engine] = {}
        self.seen: dict[str, _SeenList] = {}
        """What each entry has seen last."""
        self.entries: dict[str, VersionEntry] = {}
        self.runs_on_s = RUNS_ON_S
        self.cut_off: set[str] = set()
        """Entries that do not reach the store."""
        self.begun: list[BegunStream] = []
        self.runs = 0
        self._requests = 0

    def start_entries(self) -> None:
        """Start all entries."""
        for number in range(self.entry_count):
            self.restart(f"entry-{number}")

    def restart(self, name: str) -> None:
        """Kill an entry, if it runs, and start it again with nothing but the store."""
        if name in self.entries:
            self.entries[name].scope.cancel()
        self.runs += 1
        self.seen.pop(name, None)
        self.entries[name] = VersionEntry(self, name, self.runs)
        self._nursery.start_soon(self.entries[name].run)

    def kill(self, name: str) -> None:
        """Kill an entry."""
        self.entries.pop(name).scope.cancel()

    def add_engine(self, name: str, software: str) -> None:
        """List an engine."""
        record = factories.upstream(name, Stage.DECODE, software=software)
        self.engines[name] = Engine(record)

    def remove_engine(self, name: str) -> None:
        """Remove an engine's record; it goes on serving for a while."""
        self.engines[name] = self.engines[name]._replace(removed_at=trio.current_time())

    def listed(self) -> list[UpstreamRecord]:
        """Return the records of the listed engines."""
        return [engine.record for engine in self.engines.values() if engine.removed_at is None]

    def set_store_away(self, is_away: bool) -> None:
        """Let all calls to the store fail, or no longer."""
        self.store.set_faults(Faults(outage=is_away, delay_s=STORE_DELAY_S))

    def begin(self, entry_name: str) -> BegunStream | None:
        """Let an entry begin a stream at an engine that it chooses, if it has any."""
        entry = self.entries[entry_name]
        now = trio.current_time()
        engines = entry.fleet.decode_engines_by_load(SERVICE, 10, now)
        chosen = next((engine for engine in engines if self._serves(engine.name)), None)
        if chosen is None:
            return None
        self._requests += 1
        request = f"r{self._requests}"
        begun = BegunStream(request, chosen.software, now, entry.tracking.is_confirmed(chosen))
        entry.tracking.resumptions.record_start(exchange(request), chosen, None)
        entry.fleet.record_start(chosen, 10)
        self.begun.append(begun)
        return begun

    async def resume(self, entry_name: str, stream: BegunStream) -> str | Refusal:
        """Let a caller resume a stream at an entry; return the version at which it goes on."""
        self._requests += 1
        request = f"r{self._requests}"
        resumed = exchange(request, stream.request, DEADLINE_S - trio.current_time() + stream.at)
        return await self.entries[entry_name].tracking.resumptions.resolve(resumed)

    def _serves(self, name: str) -> bool:
        removed_at = self.engines[name].removed_at
        return removed_at is None or trio.current_time() < removed_at + self.runs_on_s


def exchange(request: str, resumes: str | None = None, deadline_s: float = DEADLINE_S) -> Exchange:
    """Return a request for a stream, or one that resumes the stream of another request."""
    now = trio.current_time()
    last_event = None if resumes is None else "3"
    route = Route("r", "h", "/a/", CallKind.STREAM, (Split(SERVICE, 1.0),), DEADLINE_S, 0.9)
    return Exchange(
        metadata=RequestMetadata(request, deadline_s, last_event=last_event, resumes=resumes),
        route=route._replace(resumable=True),
        service=SERVICE,
        configuration=1,
        host="h",
        method="POST",
        target=b"/a/",
        headers=(),
        body=b"",
        arrived_at=now,
        expires_at=now + deadline_s,
        waited_before_s=0.0,
    )
