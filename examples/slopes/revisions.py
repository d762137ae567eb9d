"""Measures how a revision spreads over entries and sidecars, in memory on a virtual clock."""

import time
from collections.abc import Iterator
from itertools import count
from random import Random
from typing import NamedTuple

import trio
import trio.testing

from chivehold.core.declarations import DeclarationChanges, DeclarationReplica
from chivehold.core.declared import Declarations, Service, TrafficClass, Upstream
from chivehold.core.identity import EntryIncarnation, Role, TargetName, UpstreamName, Urgency
from chivehold.entry.heartbeats import subset
from chivehold.fakes.object_store import MemoryObjectStore
from chivehold.store.declaration_apply import ACCEPTED, ApplyRequest
from chivehold.store.declaration_sync import DeclarationSync
from chivehold.store.leases import POLL_S, WATCH_LEASES, LeaseKeeper
from examples.slopes.fit import Slope, fit_line

ENTRY_COUNTS = (30, 100, 300, 930)
UPSTREAMS_PER_ENTRY = 4
SUBSET_SIZE = 96
HEARTBEAT_S = 0.5
CALL_DELAY_S = 0.005
SETTLE_S = 5.0
QUIET_S = 15.0
BURST = 100
BURST_S = 1.0
CHECK_INTERVAL_S = 0.02
PROPAGATION_TIMEOUT_S = 30.0
FIRST_PORT = 8_000
CLASSES = (TrafficClass("hook", Urgency.URGENT, 30.0),)


class Spread(NamedTuple):
    """Figures of one run with a given number of entries."""

    entries: int
    sidecars: int
    single_s: float
    """Seconds from the acceptance of a change until the last node has applied it."""
    burst_s: float
    """Seconds from the last change of a burst until the last node has applied it."""
    quiet_reads_per_s: float
    quiet_writes_per_s: float
    burst_calls: int
    hand_overs: float
    """Mean number of declarations pushed to a sidecar for one change, without other changes."""
    burst_hand_overs: float
    """Mean number of declarations pushed to a sidecar for each change of a burst."""
    unknown_sidecars: int
    """Sidecars that no entry's subset contains."""


class _Fleet:
    """Entries and sidecars in memory, and the calls between them."""

    def __init__(self, entries: int, nursery: trio.Nursery) -> None:
        self.store = MemoryObjectStore()
        names = [f"sidecar-{number}" for number in range(UPSTREAMS_PER_ENTRY * entries)]
        self.sidecars = {name: DeclarationReplica() for name in names}
        self.replicas = [DeclarationReplica() for _ in range(entries)]
        self.pushed = 0
        self.known: set[str] = set()
        pool = [Upstream(UpstreamName(n), Role.DECODE, "", "", "", 20) for n in names]
        self.syncs = [self._entry(number, pool, nursery) for number in range(entries)]

    def _entry(self, number: int, pool: list[Upstream], nursery: trio.Nursery) -> DeclarationSync:
        rng, name = Random(number), EntryIncarnation(f"entry-{number}")
        lease = LeaseKeeper(self.store, name, WATCH_LEASES, POLL_S, rng)
        replica = self.replicas[number]
        sync = DeclarationSync(self.store, replica, self, _ignore_declarations, lease.is_held, rng)
        known = [upstream.name for upstream in subset(name, pool, SUBSET_SIZE)]
        self.known.update(known)
        for run in (lease.run, sync.run):
            nursery.start_soon(run)
        nursery.start_soon(self._heartbeats, sync, known, rng)
        return sync

    async def _heartbeats(self, sync: DeclarationSync, known: list[str], rng: Random) -> None:
        await trio.sleep(HEARTBEAT_S * rng.random())
        while True:
            for peer in known:
                sync.record_revision(peer, self.sidecars[peer].revision)
            await trio.sleep(HEARTBEAT_S)

    async def pull(self, peer: str, after_revision: int) -> DeclarationChanges | None:
        await trio.sleep(CALL_DELAY_S)
        replica = self.sidecars[peer]
        return replica.changes_for(after_revision)

    async def push(self, peer: str, changes: DeclarationChanges) -> int | None:
        await trio.sleep(CALL_DELAY_S)
        self.pushed += len(changes.changes)
        replica = self.sidecars[peer]
        replica.merge(changes.changes, changes.after_revision, changes.revision)
        return replica.revision

    async def apply(self, name: str, revision: int) -> int:
        ports = (FIRST_PORT + 2 * revision, FIRST_PORT + 2 * revision + 1)
        addresses = [f"10.0.0.1:{port}" for port in ports]
        upstream = Upstream(UpstreamName(f"{name}-1"), Role.SERVICE, "region-a", *addresses, 20)
        spec = Service(TargetName(name), (upstream,), CLASSES)
        request = ApplyRequest((spec,), (), f"{name}/{revision}")
        result = await self.syncs[0].apply(request)
        assert all(change.kind in ACCEPTED for change in result.changes), result
        return result.revision

    async def wait_for_revision(self, revision: int) -> None:
        pending = [*self.replicas, *(self.sidecars[name] for name in self.known)]
        with trio.fail_after(PROPAGATION_TIMEOUT_S):
            while pending := [replica for replica in pending if replica.revision < revision]:
                await trio.sleep(CHECK_INTERVAL_S)

    def store_calls(self, *kinds: str) -> int:
        return sum(self.store.counts[kind] for kind in kinds)


def _ignore_declarations(declarations: Declarations) -> None:
    pass


def measure_spreads() -> list[Spread]:
    """Run each number of entries and return the figures."""
    return [_spread(entries) for entries in ENTRY_COUNTS]


def _spread(entries: int) -> Spread:
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(_run, entries, clock=clock)


async def _run(entries: int) -> Spread:
    async with trio.open_nursery() as nursery:
        fleet = _Fleet(entries, nursery)
        numbers = count(1)
        await fleet.wait_for_revision(await fleet.apply("first", next(numbers)))
        await trio.sleep(SETTLE_S)
        reads, writes = fleet.store_calls("get", "list", "watch"), fleet.store_calls("put")
        await trio.sleep(QUIET_S)
        reads = fleet.store_calls("get", "list", "watch") - reads
        writes = fleet.store_calls("put") - writes
        pushed = fleet.pushed
        start = trio.current_time()
        await fleet.wait_for_revision(await fleet.apply("single", next(numbers)))
        single_s = trio.current_time() - start
        await trio.sleep(2.0)
        pushed, before_burst = fleet.pushed - pushed, fleet.pushed
        store_calls = fleet.store_calls("get", "list", "watch", "put")
        revision = 0
        for number in range(BURST):
            revision = await fleet.apply(f"burst-{number}", next(numbers))
            await trio.sleep(BURST_S / BURST)
        start = trio.current_time()
        await fleet.wait_for_revision(revision)
        burst_s = trio.current_time() - start
        await trio.sleep(2.0)
        store_calls = fleet.store_calls("get", "list", "watch", "put") - store_calls
        burst_pushed = fleet.pushed - before_burst
        nursery.cancel_scope.cancel()
    return Spread(
        entries,
        len(fleet.sidecars),
        single_s,
        burst_s,
        reads / QUIET_S,
        writes / QUIET_S,
        store_calls,
        pushed / len(fleet.sidecars),
        burst_pushed / len(fleet.sidecars) / BURST,
        len(fleet.sidecars) - len(fleet.known),
    )


def revision_slopes(spreads: list[Spread]) -> Iterator[Slope]:
    """Yield the slopes of the figures by number of entries."""
    entries = [spread.entries for spread in spreads]
    fields = (
        ("reads while quiet", "1/s", "quiet_reads_per_s"),
        ("writes while quiet", "1/s", "quiet_writes_per_s"),
        ("time of one change to the last node", "s", "single_s"),
        ("time after a burst of 100 in 1 s to the last node", "s", "burst_s"),
        ("calls for a burst of 100", "calls", "burst_calls"),
        ("hand-overs of one change to a sidecar", "", "hand_overs"),
        ("hand-overs of each change of a burst to a sidecar", "", "burst_hand_overs"),
    )
    for quantity, unit, field in fields:
        values = [getattr(spread, field) for spread in spreads]
        yield fit_line("platform and sync", quantity, unit, "entry", entries, values)


def main() -> None:
    """Print the figures of each run as it ends."""
    for entries in ENTRY_COUNTS:
        start = time.process_time()
        print(_spread(entries), round(time.process_time() - start, 1), "s CPU", flush=True)


if __name__ == "__main__":
    main()
