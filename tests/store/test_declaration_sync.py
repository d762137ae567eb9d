"""Declarations reach every node of a small fleet; runs on a mock clock."""

from random import Random

import pytest
import trio

from chivehold.core.declarations import DeclarationReplica
from chivehold.fakes.object_store import NO_FAULTS, Faults, MemoryObjectStore
from chivehold.rpc.convert_declarations import encode_declaration
from chivehold.store.declaration_apply import ACCEPTED, ApplyRequest
from chivehold.store.declaration_sync import DeclarationSync
from chivehold.store.leases import POLL_S, WATCH_LEASES, LeaseKeeper
from tests.core.declared_examples import service

IN_FORCE_WITHIN_S = 3.0
HEARTBEAT_S = 0.5
CALL_DURATION_S = 0.005
ENTRIES, SIDECARS, SIDECARS_PER_ENTRY, WATCHERS = 6, 24, 8, 2


class Fleet:
    """Simulates entries that each know some sidecars; checks that no revision decreases."""

    def __init__(self, nursery, seed=1):
        self.nursery = nursery
        self.rng = Random(seed)
        self.store = MemoryObjectStore()
        self.sidecars = {f"sidecar-{n}": DeclarationReplica() for n in range(SIDECARS)}
        self.entries = []
        self.frozen = set()
        self.published = {}

    def add_entry(self, watches):
        """Add an entry that watches always, never, or (``None``) while it holds a watch lease."""
        replica = DeclarationReplica()
        number = len(self.entries)
        history = self.published.setdefault(number, [])
        is_watcher = self.lease(number).is_held if watches is None else lambda: watches
        sync = DeclarationSync(
            self.store, replica, self, history.append, is_watcher, Random(number)
        )
        self.entries.append((sync, replica))
        # Neighbouring entries share sidecars, so that changes can reach all nodes through peers.
        first = number * (SIDECARS // ENTRIES)
        known = [f"sidecar-{(first + n) % SIDECARS}" for n in range(SIDECARS_PER_ENTRY)]
        self.nursery.start_soon(sync.run)
        self.nursery.start_soon(self.heartbeats, sync, known)
        return sync, replica

    def lease(self, number):
        names = WATCH_LEASES[:WATCHERS]
        keeper = LeaseKeeper(self.store, f"entry-{number}", names, POLL_S, Random(number))
        self.nursery.start_soon(keeper.run)
        return keeper

    async def heartbeats(self, sync, known):
        while True:
            await trio.sleep(HEARTBEAT_S * self.rng.uniform(0.9, 1.0))
            for peer in known:
                if peer not in self.frozen:
                    sync.record_revision(peer, self.sidecars[peer].revision)

    async def pull(self, peer, after_revision):
        if not await self.simulate_call(peer):
            return None
        replica = self.sidecars[peer]
        return replica.changes_for(after_revision)

    async def push(self, peer, changes):
        if not await self.simulate_call(peer):
            return None
        replica = self.sidecars[peer]
        replica.merge(changes.changes, changes.after_revision, changes.revision)
        return replica.revision

    async def simulate_call(self, peer):
        await trio.sleep(1.0 if peer in self.frozen else CALL_DURATION_S)
        return peer not in self.frozen

    async def apply(self, *specs, entry=0, operation_id, delete=()):
        request = ApplyRequest(specs, delete, operation_id)
        return await self.entries[entry][0].apply(request)

    def replicas(self):
        yield from (replica for _, replica in self.entries)
        yield from (r for name, r in self.sidecars.items() if name not in self.frozen)

    async def wait_in_force(self, revision):
        with trio.fail_after(IN_FORCE_WITHIN_S):
            while any(replica.revision < revision for replica in self.replicas()):
                await trio.sleep(0.05)
        assert len({replica.digest for replica in self.replicas()}) == 1
        for history in self.published.values():
            revisions = [declarations.revision for declarations in history]
            assert revisions == sorted(revisions)


@pytest.fixture
async def fleet(nursery):
    fleet = Fleet(nursery)
    for number in range(ENTRIES):
        fleet.add_entry(watches=number < WATCHERS)
    return fleet


class TestDeclarationSync:
    @pytest.mark.parametrize("entry", range(ENTRIES))
    async def test_in_force_everywhere(self, autojump_clock, fleet, entry):
        """A change or deletion accepted by any entry is in force on every node within 3 s."""
        await trio.sleep(5.0)
        result = await fleet.apply(service(), entry=entry, operation_id="one")
        await fleet.wait_in_force(result.revision)
        result = await fleet.apply(delete=("forja",), entry=entry, operation_id="two")
        await fleet.wait_in_force(result.revision)
        assert not fleet.sidecars["sidecar-0"].declarations().services

    async def test_writer_dies(self, autojump_clock, fleet):
        """A change is in force everywhere even if its entry dies right after the write."""
        await trio.sleep(5.0)
        value = encode_declaration(service())
        written = await fleet.store.put("declaration", "forja", value, 0, "one")
        await fleet.wait_in_force(written.unwrap().version)

    @pytest.mark.parametrize("after_s", [0.0, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 9.0, 12.0])
    async def test_watched_after_outage(self, autojump_clock, nursery, after_s):
        """The platform is watched again soon after a long outage."""
        fleet = Fleet(nursery)
        for _ in range(ENTRIES):
            fleet.add_entry(watches=None)
        await trio.sleep(5.0)
        fleet.store.set_faults(Faults(outage=True))
        await trio.sleep(60.0)
        fleet.store.set_faults(NO_FAULTS)
        await trio.sleep(after_s)
        value = encode_declaration(service())
        written = await fleet.store.put("declaration", "forja", value, 0, "one")
        await fleet.wait_in_force(written.unwrap().version)

    async def test_frozen_sidecars(self, autojump_clock, fleet):
        """Unresponsive sidecars do not delay the others, and catch up when they respond again."""
        await trio.sleep(5.0)
        fleet.frozen = {f"sidecar-{n}" for n in range(0, SIDECARS, 3)}
        result = await fleet.apply(service(), operation_id="one")
        await fleet.wait_in_force(result.revision)
        fleet.frozen = set()
        await fleet.wait_in_force(result.revision)

    async def test_restarted_sidecar(self, autojump_clock, fleet):
        """A sidecar that restarts between two changes receives both."""
        await fleet.apply(service(), operation_id="one")
        await trio.sleep(5.0)
        fleet.sidecars["sidecar-7"] = DeclarationReplica()
        result = await fleet.apply(service("loandesk", 9500), operation_id="two")
        await fleet.wait_in_force(result.revision)

    async def test_start_during_outage(self, autojump_clock, fleet):
        """An entry that starts in an outage gets the newest declarations from its peers."""
        result = await fleet.apply(service(), operation_id="one")
        await trio.sleep(5.0)
        fleet.store.set_faults(Faults(outage=True))
        sync, replica = fleet.add_entry(watches=False)
        assert await sync.pull_from_any(["sidecar-3"])
        assert replica.declarations().services == (service(),)
        sync, _ = fleet.add_entry(watches=True)
        await fleet.wait_in_force(result.revision)
        refused = await fleet.apply(service(), delete=("loandesk",), operation_id="two")
        assert {change.kind for change in refused.changes} == {"refused"}

    async def test_change_missed_in_outage(self, autojump_clock, fleet):
        """A change made right before an outage is in force soon after it."""
        await fleet.apply(service(), operation_id="one")
        await trio.sleep(5.0)
        (stored,) = (await fleet.store.list("declaration")).unwrap().objects
        delete = fleet.store.delete("declaration", "forja", stored.version, "two")
        deleted = (await delete).unwrap()
        fleet.store.set_faults(Faults(outage=True))
        await trio.sleep(30.0)
        fleet.store.set_faults(NO_FAULTS)
        await fleet.wait_in_force(deleted.version)

    async def test_burst(self, autojump_clock, fleet):
        """A hundred changes in a second take few calls per watcher and reach all nodes."""
        await trio.sleep(5.0)
        before = fleet.store.counts["watch"]
        writes = fleet.store.put
        for number in range(100):
            await trio.sleep(0.01)
            value = b"" if number % 2 else b"\xff"
            await writes("declaration", "hostile", value, fleet.store.revision, f"{number}")
        result = await fleet.apply(service(), operation_id="one")
        assert fleet.store.counts["watch"] - before <= WATCHERS * 6
        await fleet.wait_in_force(result.revision)

    @pytest.mark.parametrize("seed", range(5))
    async def test_random_faults(self, autojump_clock, nursery, seed):
        """No revision decreases through outages, lost answers, restarts and racing operators."""
        fleet = Fleet(nursery, seed)
        rng = fleet.rng
        for number in range(ENTRIES):
            fleet.add_entry(watches=number < WATCHERS)
        accepted = 0
        for number in range(60):
            faults = Faults(rng.random() < 0.2, rng.choice((0.0, 0.1)), rng.choice((0.0, 0.3)))
            fleet.store.set_faults(faults._replace(seed=number))
            fleet.frozen = set(rng.sample(sorted(fleet.sidecars), rng.choice((0, 0, 4))))
            fleet.sidecars[rng.choice(sorted(fleet.sidecars))] = DeclarationReplica()
            name = rng.choice(("forja", "loandesk"))
            spec = service(name, rng.randrange(9000, 9900, 10))
            change = {"delete": (name,)} if rng.random() < 0.3 else {}
            specs = () if change else (spec,)
            entry = rng.randrange(ENTRIES)
            result = await fleet.apply(*specs, entry=entry, operation_id=f"{number}", **change)
            if all(change.kind in ACCEPTED for change in result.changes):
                accepted = max(accepted, result.revision)
            await trio.sleep(rng.uniform(0.0, 1.0))
        fleet.store.set_faults(NO_FAULTS)
        fleet.frozen = set()
        await fleet.wait_in_force(accepted)
        listed = (await fleet.store.list("declaration")).unwrap().objects
        in_force = fleet.sidecars["sidecar-0"].declarations().services
        assert {stored.name for stored in listed} == {target.name for target in in_force}
