"""Entries that see engines at different times, on the paused clock and without a network."""

import math

import trio
from trio.testing import MockClock

from chivehold.direct.refusals import Refusal
from chivehold.store.software_records import SOFTWARE_KIND, VERSIONS_NAME
from tests.direct.version_world import LIST_LAG_S, VersionWorld, exchange

QUIET_S = 120.0
TROUBLE_S = 10.0
LIFETIME_S = 15.0
ORIGIN_STORED_S = 0.5
"""Time from a stream's start until its origin is in the store."""


async def started_world(nursery: trio.Nursery, *software: str, entries: int = 2) -> VersionWorld:
    """Return a world whose engines have these versions and whose entries know them."""
    world = VersionWorld(nursery, entries)
    for number, version in enumerate(software):
        world.add_engine(f"e{number}", version)
    world.start_entries()
    await trio.sleep(2.0)
    return world


class TestNewVersion:
    # Guards against streams of a version that other entries do not know when callers resume them.
    async def test_no_stream_begins_at_a_version_that_is_not_stored(
        self, autojump_clock: MockClock
    ) -> None:
        """While the store does not have a new version, streams begin at the others."""
        async with trio.open_nursery() as nursery:
            world = await started_world(nursery, "v1")
            world.cut_off.add("entry-0")
            entry = world.entries["entry-0"]
            world.add_engine("new", "v2")
            entry.fleet.replace(world.listed())
            entry.tracking.apply_upstreams(world.listed(), world.store.revision)
            begun = [world.begin("entry-0") for _ in range(10)]
            assert {stream.software for stream in begun if stream} == {"v1"}
            nursery.cancel_scope.cancel()

    async def test_streams_begin_at_a_new_version_soon(self, autojump_clock: MockClock) -> None:
        """Once the store has it, streams begin there as well."""
        async with trio.open_nursery() as nursery:
            world = await started_world(nursery, "v1")
            world.add_engine("new", "v2")
            await trio.sleep(2 * LIST_LAG_S)
            begun = [world.begin("entry-0") for _ in range(10)]
            assert {stream.software for stream in begun if stream} == {"v1", "v2"}
            nursery.cancel_scope.cancel()

    # Guards against an entry that serves nobody because it cannot store the only version there is.
    async def test_only_version_serves_without_the_store(self, autojump_clock: MockClock) -> None:
        """If all engines have a version that cannot be stored, streams begin all the same."""
        async with trio.open_nursery() as nursery:
            world = VersionWorld(nursery, 1)
            world.add_engine("e", "v1")
            world.start_entries()
            world.set_store_away(True)
            entry = world.entries["entry-0"]
            entry.fleet.replace(world.listed())
            entry.tracking.apply_upstreams(world.listed(), 1)
            assert world.begin("entry-0") is not None
            nursery.cancel_scope.cancel()


class TestResumption:
    # Guards against a stream joined by an entry whose list of engines is older than the stream.
    async def test_entry_that_does_not_see_the_new_version(self, autojump_clock: MockClock) -> None:
        """An entry reads the store before it takes one version for the only one."""
        async with trio.open_nursery() as nursery:
            world = await started_world(nursery, "v1")
            blind = world.entries["entry-1"]
            world.add_engine("new", "v2")
            await trio.sleep(2 * LIST_LAG_S)
            old = [engine for engine in world.listed() if engine.software == "v1"]
            blind.tracking.apply_upstreams(old, world.store.revision)
            begun = [world.begin("entry-0") for _ in range(10)]
            stream, *_ = [stream for stream in begun if stream and stream.software == "v2"]
            assert await world.resume("entry-1", stream) == "v2"
            nursery.cancel_scope.cancel()

    # Guards against a stream joined by an entry that is cut off from the store.
    async def test_without_the_store(self, autojump_clock: MockClock) -> None:
        """Without the store, what another entry began is refused, with a time to come back."""
        async with trio.open_nursery() as nursery:
            world = await started_world(nursery, "v1")
            begun = world.begin("entry-0")
            assert begun is not None
            world.cut_off.add("entry-1")
            refused = await world.resume("entry-1", begun)
            assert isinstance(refused, Refusal)
            assert refused.retry_after_s is not None
            assert await world.resume("entry-0", begun) == "v1"
            nursery.cancel_scope.cancel()

    # Guards against streams that an entry begins after all others have given up their version.
    async def test_begun_while_cut_off_for_long(self, autojump_clock: MockClock) -> None:
        """An entry and an engine that the store has lost for long begin no streams to be joined."""
        async with trio.open_nursery() as nursery:
            world = await started_world(nursery, "v1", "v2")
            world.runs_on_s = math.inf
            world.cut_off.add("entry-0")
            world.remove_engine("e0")
            await trio.sleep(2 * LIFETIME_S)
            begun = [world.begin("entry-0") for _ in range(10)]
            for stream in begun:
                if stream is not None:
                    resumed = await world.resume("entry-1", stream)
                    assert isinstance(resumed, Refusal) or resumed == stream.software
            nursery.cancel_scope.cancel()

    async def test_unknown_stream_is_refused_only_while_versions_are_mixed(
        self, autojump_clock: MockClock
    ) -> None:
        """A stream that no entry knows goes on once one version alone can have begun it."""
        async with trio.open_nursery() as nursery:
            world = await started_world(nursery, "v1", "v2")
            begun = world.begin("entry-0")
            assert begun is not None
            unknown = begun._replace(request="never seen")
            refused = await world.resume("entry-1", unknown)
            assert isinstance(refused, Refusal)
            assert refused.retry_after_s is None
            world.remove_engine("e0")
            await trio.sleep(LIFETIME_S + 2.0)
            assert await world.resume("entry-1", unknown) == "v2"
            nursery.cancel_scope.cancel()

    # Guards against streams that nobody knows after the end of all entries.
    async def test_origins_outlast_all_entries_twice(self, autojump_clock: MockClock) -> None:
        """Origins are kept over two ends of all entries in a row."""
        async with trio.open_nursery() as nursery:
            world = await started_world(nursery, "v1", "v2", entries=3)
            begun = [world.begin(entry) for entry in world.entries for _ in range(4)]
            await trio.sleep(ORIGIN_STORED_S)
            for _ in range(2):
                world.start_entries()
                await trio.sleep(1.0)
                # An entry that begins a stream writes its object anew.
                assert all(world.begin(entry) for entry in world.entries)
                await trio.sleep(1.0)
            for stream in begun:
                assert stream is not None
                assert await world.resume("entry-0", stream) == stream.software
            nursery.cancel_scope.cancel()

    # Guards against origins that a restore of the store has lost for good.
    async def test_after_a_restore_of_the_store(self, autojump_clock: MockClock) -> None:
        """Living entries write again what a restored store has lost."""
        async with trio.open_nursery() as nursery:
            world = await started_world(nursery, "v1")
            copy = world.store.copy()
            world.add_engine("new", "v2")
            await trio.sleep(2 * LIST_LAG_S)
            begun = [world.begin("entry-0") for _ in range(10)]
            await trio.sleep(ORIGIN_STORED_S)
            world.store.restore(copy)
            await trio.sleep(4.0)
            world.restart("entry-1")
            await trio.sleep(1.0)
            for stream in begun:
                assert stream is not None
                assert await world.resume("entry-1", stream) == stream.software
            nursery.cancel_scope.cancel()

    # Guards against a stream that goes on at another service after a change of its route.
    async def test_at_another_service(self, autojump_clock: MockClock) -> None:
        """A stream does not go on at a service that has not begun it."""
        async with trio.open_nursery() as nursery:
            world = await started_world(nursery, "v1")
            begun = world.begin("entry-0")
            assert begun is not None
            moved = exchange("again", begun.request)._replace(service="other")
            refused = await world.entries["entry-0"].tracking.resumptions.resolve(moved)
            assert isinstance(refused, Refusal)
            assert refused.reason == "service_changed"
            nursery.cancel_scope.cancel()


class TestCalls:
    # Guards against calls to the store that grow with the streams although nothing is released.
    async def test_no_calls_without_a_release(self, autojump_clock: MockClock) -> None:
        """With one version of each service, streams cost the store nothing."""
        async with trio.open_nursery() as nursery:
            world = await started_world(nursery, "v1", "v1")
            before = world.store.counts.total()
            for _ in range(100):
                assert world.begin("entry-0")
                await trio.sleep(QUIET_S / 100)
            assert world.store.counts.total() == before
            nursery.cancel_scope.cancel()

    # Guards against entries that call a store without a pause once it has been restored or is away.
    async def test_few_calls_to_a_store_in_trouble(self, autojump_clock: MockClock) -> None:
        """A restore is followed by a few calls of each entry, an outage by two a second."""
        async with trio.open_nursery() as nursery:
            world = await started_world(nursery, "v1", "v2")
            world.store.restore(world.store.copy())
            before = world.store.counts.total()
            await trio.sleep(TROUBLE_S)
            assert world.store.counts.total() - before <= 10 * len(world.entries)
            world.set_store_away(True)
            assert world.begin("entry-0")
            before = world.store.counts.total()
            await trio.sleep(TROUBLE_S)
            assert world.store.counts.total() - before <= 3 * TROUBLE_S
            nursery.cancel_scope.cancel()

    async def test_store_is_cleared_after_a_release(self, autojump_clock: MockClock) -> None:
        """Once each service has one version again, only the table is left."""
        async with trio.open_nursery() as nursery:
            world = await started_world(nursery, "v1", "v2")
            assert world.begin("entry-0")
            await trio.sleep(1.0)
            world.remove_engine("e0")
            await trio.sleep(2 * LIFETIME_S)
            assert set(world.store.copy().objects) >= {(SOFTWARE_KIND, VERSIONS_NAME)}
            live = await world.store.list(SOFTWARE_KIND)
            assert [stored.name for stored in live.unwrap().objects] == [VERSIONS_NAME]
            nursery.cancel_scope.cancel()
