"""The platform's store as an object store, tested against a fake."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from random import Random

import msgspec
import pytest
import trio
import trio.testing
from returns.result import Failure

from chivehold.core.identity import EntryIncarnation
from chivehold.fakes.metadata_store import PAGE_ITEMS, MetadataStore
from chivehold.fakes.object_store import MemoryObjectStore
from chivehold.http_client import HttpClient
from chivehold.http_server import serve_http
from chivehold.platform.store import PlatformStore
from chivehold.store.api import Conflict, HistoryGone, NotFound, Unavailable, Unsure
from chivehold.store.client import Write, write_and_confirm
from chivehold.store.leases import CONTROL_LEASES, LeaseKeeper
from chivehold.store.roster import ENTRY_KIND, EntryRoster

OWN = "own"
DEPTH = 1_500
"""More levels than the decoder of JSON goes down."""
UNREADABLE = [
    pytest.param(b'{"zone": ' + b"[" * DEPTH + b"]" * DEPTH + b"}", id="nested"),
    pytest.param(rb'{"zone": "caf\ud83d"}', id="lone surrogate"),
]


@asynccontextmanager
async def open_store() -> AsyncIterator[tuple[MetadataStore, PlatformStore]]:
    fake = MetadataStore()
    client = HttpClient()
    async with trio.open_nursery() as nursery:
        address = await nursery.start(partial(serve_http, fake, "127.0.0.1:0"))
        yield fake, PlatformStore(address, client, frozenset((OWN, "lease", "entry")))
        nursery.cancel_scope.cancel()
    await client.aclose()


class TestReads:
    async def test_list_goes_through_all_pages(self) -> None:
        """All pages are read; the revision is that of the first page."""
        async with open_store() as (fake, store):
            for number in range(PAGE_ITEMS * 2 + 5):
                fake.put("servers", f"i-{number:04}", {"n": number})
            listed = (await store.list("servers")).unwrap()
            assert len(listed.objects) == PAGE_ITEMS * 2 + 5
            assert listed.revision == fake.revision
            assert listed.objects[0].value == b'{"n":0}'

    async def test_watch_returns_changes_and_removals(self) -> None:
        """Changes and removals are returned as objects; removals are marked as deleted."""
        async with open_store() as (fake, store):
            since = fake.revision
            fake.put("servers", "a", {})
            fake.remove("servers", "a")
            changes = (await store.watch(["servers"], since, 1.0)).unwrap()
            assert [stored.deleted for stored in changes.objects] == [False, True]
            assert changes.revision == fake.revision

    # Guards against a list that stays as it was because of one object of another program.
    @pytest.mark.parametrize("spec", UNREADABLE)
    async def test_list_with_an_unreadable_object(self, spec: bytes) -> None:
        """The other objects are read, and that one has its name and its value as it is."""
        async with open_store() as (fake, store):
            fake.put("servers", "a", {})
            fake.put("servers", "foreign", msgspec.Raw(spec))
            fake.put("servers", "z", {})
            listed = (await store.list("servers")).unwrap()
            values = {stored.name: stored.value for stored in listed.objects}
            assert values == {"a": b"{}", "foreign": spec, "z": b"{}"}
            assert listed.revision == fake.revision
            assert (await store.get("servers", "foreign")).unwrap().value == spec

    # Guards against changes that are not seen because of one object of another program.
    @pytest.mark.parametrize("spec", UNREADABLE)
    async def test_watch_with_an_unreadable_object(self, spec: bytes) -> None:
        """Changes of other objects are returned, and the removal of that one."""
        async with open_store() as (fake, store):
            since = fake.revision
            fake.put("servers", "foreign", msgspec.Raw(spec))
            fake.put("servers", "a", {})
            fake.remove("servers", "foreign")
            changes = (await store.watch(["servers"], since, 1.0)).unwrap()
            seen = [(stored.name, stored.deleted) for stored in changes.objects]
            assert seen == [("foreign", False), ("a", False), ("foreign", True)]
            assert changes.revision == fake.revision

    @pytest.mark.parametrize("spec", UNREADABLE)
    async def test_all_pages_with_unreadable_objects(self, spec: bytes) -> None:
        """Further pages are read, also after a page that ends with such an object."""
        async with open_store() as (fake, store):
            for number in range(PAGE_ITEMS * 2 + 5):
                fake.put("servers", f"i-{number:04}", msgspec.Raw(spec))
            listed = (await store.list("servers")).unwrap()
            assert len(listed.objects) == PAGE_ITEMS * 2 + 5

    async def test_lost_history(self) -> None:
        """A watch from a revision that is too old fails with ``HistoryGone``."""
        async with open_store() as (fake, store):
            fake.put("servers", "a", {})
            fake.expire_watch_history()
            result = await store.watch(["servers"], 1, 1.0)
            assert isinstance(result.failure(), HistoryGone)

    async def test_restored_store(self) -> None:
        """Versions keep their order over a restore, and those of lost changes are not used."""
        async with open_store() as (fake, store):
            copy = fake.copy()
            fake.put(OWN, "a", {"value": "v", "operation": "op"})
            before = (await store.list(OWN)).unwrap()
            fake.restore(copy)
            assert isinstance(
                (await store.watch([OWN], before.revision, 1.0)).failure(), HistoryGone
            )
            after = (await store.list(OWN)).unwrap()
            assert after.revision > before.revision
            fake.put(OWN, "a", {"value": "v", "operation": "op"})
            lost_version = before.objects[0].version
            written = await store.put(OWN, "a", b"v", lost_version, "op")
            assert isinstance(written.failure(), NotFound)

    async def test_watch_from_a_revision_given_out_again(self) -> None:
        """A watch from a lost revision brings no changes of the new era as if they followed it."""
        async with open_store() as (fake, store):
            copy = fake.copy()
            fake.put("servers", "a", {})
            before = (await store.list("servers")).unwrap()
            fake.restore(copy)
            for name in "bcd":
                fake.put("servers", name, {})
            watched = await store.watch(["servers"], before.revision, 1.0)
            assert isinstance(watched.failure(), HistoryGone)

    async def test_outage(self) -> None:
        """Refused reads and writes are reported as ``Unavailable``."""
        async with open_store() as (fake, store):
            for status in (429, 503):
                fake.error_status = status
                assert isinstance((await store.list("servers")).failure(), Unavailable)
                written = await store.put(OWN, "a", b"v", 0, "op")
                assert isinstance(written.failure(), Unavailable)

    async def test_no_answer(self) -> None:
        """A call to a store that accepts connections but never answers times out."""
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            accept = partial(trio.serve_listeners, lambda _: trio.sleep_forever(), listeners)
            nursery.start_soon(accept)
            port = listeners[0].socket.getsockname()[1]
            client = HttpClient()
            with trio.fail_after(2.5):
                result = await PlatformStore(f"127.0.0.1:{port}", client, frozenset()).list("k")
            assert isinstance(result, Failure)
            await client.aclose()
            nursery.cancel_scope.cancel()


class TestWrites:
    async def test_condition_holds(self) -> None:
        """Of two writers at the same version one succeeds; the other learns the current one."""
        async with open_store() as (_, store):
            first = (await store.put(OWN, "a", b"1", 0, "op-1")).unwrap()
            rejected = (await store.put(OWN, "a", b"2", 0, "op-2")).failure()
            assert rejected == Conflict("post own/a", store.address, first.version)
            second = (await store.put(OWN, "a", b"3", first.version, "op-3")).unwrap()
            stale = (await store.put(OWN, "a", b"4", first.version, "op-4")).failure()
            assert isinstance(stale, Conflict)
            assert (await store.get(OWN, "a")).unwrap() == second
            assert (second.value, second.operations) == (b"3", ("op-3",))

    async def test_absent_object(self) -> None:
        """Reading an object that does not exist fails with ``NotFound``."""
        async with open_store() as (_, store):
            assert isinstance((await store.get(OWN, "a")).failure(), NotFound)

    async def test_lost_response_is_resolved(self) -> None:
        """A write whose response was lost is found by its operation id."""
        async with open_store() as (fake, store):
            fake.unanswered_writes = 1
            unsure = await store.put(OWN, "a", b"1", 0, "op-1")
            assert isinstance(unsure.failure(), Unsure)
            fake.unanswered_writes = 1
            stored = (await store.get(OWN, "a")).unwrap()
            write = Write(OWN, "a", b"2", stored.version, "op-2")
            written = (await write_and_confirm(store, write, Random(1))).unwrap()
            assert (written.value, written.operations) == (b"2", ("op-2",))


class TestShared:
    async def test_one_entry_holds_the_lease(self) -> None:
        """One of three entries holds the lease; its successor has a higher fencing number."""
        async with open_store() as (_, store), trio.open_nursery() as nursery:
            keepers = [
                LeaseKeeper(store, EntryIncarnation(f"e{n}"), CONTROL_LEASES, 0.05, Random(n))
                for n in range(3)
            ]
            scopes = []
            for keeper in keepers:
                scopes.append(trio.CancelScope())
                nursery.start_soon(_run_in, scopes[-1], keeper)
            await trio.sleep(0.5)
            (holder,) = [keeper for keeper in keepers if keeper.is_held()]
            number = getattr(holder.current(), "fencing_number", 0)
            scopes[keepers.index(holder)].cancel()
            with trio.fail_after(3):
                while not (
                    successors := [
                        keeper for keeper in keepers if keeper is not holder and keeper.is_held()
                    ]
                ):
                    await trio.sleep(0.02)
            assert getattr(successors[0].current(), "fencing_number", 0) > number
            nursery.cancel_scope.cancel()

    async def test_suspended_holder_knows_that_its_lease_has_ended(self) -> None:
        """The monotonic clock stops while a machine is suspended, but the lease still expires."""
        async with open_store() as (_, store), trio.open_nursery() as nursery:
            suspended = [0.0]
            keeper = LeaseKeeper(
                store,
                EntryIncarnation("e"),
                CONTROL_LEASES,
                0.05,
                Random(1),
                suspended_s=lambda: suspended[0],
            )
            nursery.start_soon(keeper.run)
            with trio.fail_after(2):
                while not keeper.is_held():
                    await trio.sleep(0.02)
            suspended[0] = 30.0
            assert not keeper.is_held()
            nursery.cancel_scope.cancel()

    async def test_entries_count_each_other(self) -> None:
        """Entries are counted even while restarting, so that shared limits are not exceeded."""
        async with open_store() as (_, store), trio.open_nursery() as nursery:
            counts: list[int] = []

            def roster(name: str, run: int) -> EntryRoster:
                incarnation = EntryIncarnation(f"{name}.{run}")
                return EntryRoster(store, name, incarnation, 8, counts.append, Random(run))

            scope = trio.CancelScope()
            nursery.start_soon(_run_in, scope, roster("e0", 1))
            for number in (1, 2):
                nursery.start_soon(roster(f"e{number}", 1).run)
            await trio.sleep(0.3)
            scope.cancel()
            for name, expected in (("e3", 4), ("e0", 4)):
                counted = roster(name, 2)
                nursery.start_soon(counted.run)
                with trio.fail_after(5):
                    while counted.count != expected:
                        await trio.sleep(0.02)
            nursery.cancel_scope.cancel()

    async def test_stale_entries_are_not_counted(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """An entry that has not renewed its object for minutes is not counted."""
        store = MemoryObjectStore()
        await store.put(ENTRY_KIND, "gone", b"gone.1", 0, "op")
        counts: list[int] = []
        roster = EntryRoster(store, "e", EntryIncarnation("e.1"), 8, counts.append, Random(1))
        with trio.move_on_after(400):
            await roster.run()
        assert counts == [2, 1]


async def _run_in(scope: trio.CancelScope, task: LeaseKeeper | EntryRoster) -> None:
    with scope:
        await task.run()
