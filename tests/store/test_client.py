"""The object API, in memory and over HTTP, and the read-back of unsure writes."""

from contextlib import asynccontextmanager
from random import Random

import pytest
import trio
from returns.result import Failure

from chivehold.fakes.object_store import NO_FAULTS, Faults, MemoryObjectStore
from chivehold.fakes.platform import PlatformApp
from chivehold.http_client import HttpClient
from chivehold.http_server import serve_http
from chivehold.store.api import Conflict, NotFound, Unavailable, Unsure
from chivehold.store.client import HttpObjectStore, VmList, Write, write_and_confirm

TIMEOUT_S = 5.0


@asynccontextmanager
async def http_store(memory, timeout_s=TIMEOUT_S):
    client = HttpClient()
    async with trio.open_nursery() as nursery:
        address = await nursery.start(serve_http, PlatformApp(memory), "127.0.0.1:0")
        yield HttpObjectStore(address, client, timeout_s=timeout_s)
        await client.aclose()
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def memory_store(memory):
    yield memory


@pytest.fixture(params=[http_store, memory_store], ids=["http", "memory"])
def open_store(request):
    return request.param


def error_type(result):
    return type(result.failure())


class TestObjectStore:
    async def test_conditions(self, open_store):
        """A write requires the expected version; a recreated name is another object."""
        async with open_store(MemoryObjectStore()) as store:
            first = (await store.put("k", "a b/c", b"1", 0, "one")).unwrap()
            assert error_type(await store.put("k", "a b/c", b"2", 0, "two")) is Conflict
            second = (await store.put("k", "a b/c", b"\xff", first.version, "three")).unwrap()
            assert error_type(await store.delete("k", "a b/c", first.version, "four")) is Conflict
            assert (await store.get("k", "a b/c")).unwrap() == second
            assert (second.value, second.operations) == (b"\xff", ("one", "three"))
            deleted = (await store.delete("k", "a b/c", second.version, "five")).unwrap()
            assert error_type(await store.get("k", "a b/c")) is NotFound
            recreated = (await store.put("k", "a b/c", b"", 0, "six")).unwrap()
        assert first.uid == second.uid != recreated.uid
        assert first.version < second.version < deleted.version < recreated.version

    async def test_watch(self, open_store):
        """A waiting watch returns on a change, reports deletions and counts as one call."""
        memory = MemoryObjectStore()
        async with open_store(memory) as store, trio.open_nursery() as nursery:
            created = (await store.put("k", "a", b"", 0, "one")).unwrap()
            nursery.start_soon(store.put, "other", "a", b"", 0, "two")
            nursery.start_soon(store.delete, "k", "a", created.version, "three")
            with trio.fail_after(TIMEOUT_S):
                seen = (await store.watch(["k"], created.version, TIMEOUT_S)).unwrap()
            assert [(stored.name, stored.deleted) for stored in seen.objects] == [("a", True)]
            assert not (await store.watch(["k"], seen.revision, 0.0)).unwrap().objects
            assert not (await store.list("k")).unwrap().objects
        assert memory.counts["watch"] == 2

    @pytest.mark.parametrize(
        ("faults", "write_error"),
        [
            (Faults(outage=True), Unavailable),
            (Faults(reads_per_s=1, writes_per_s=1), Unavailable),
            (Faults(lose_answers=1.0), Unsure),
        ],
    )
    async def test_faults(self, open_store, faults, write_error):
        """A refused call writes nothing; a lost answer makes a write unsure, a read unavailable."""
        memory = MemoryObjectStore()
        await memory.put("k", "a", b"old", 0, "one")
        await memory.get("k", "a")
        memory.set_faults(faults)
        async with open_store(memory) as store:
            assert error_type(await store.put("k", "a", b"new", 1, "two")) is write_error
            assert error_type(await store.get("k", "a")) is Unavailable
            assert error_type(await store.list("k")) is Unavailable
            assert error_type(await store.watch(["k"], 0, 0.0)) is Unavailable
            memory.set_faults(NO_FAULTS)
            written = (await store.get("k", "a")).unwrap().value
        assert written == (b"new" if write_error is Unsure else b"old")

    async def test_vms(self, open_store):
        """The list of VMs lags behind by the configured time."""
        memory = MemoryObjectStore()
        memory.set_vms(VmList(("a", "b"), ()))
        async with open_store(memory) as store:
            memory.set_faults(Faults(vm_lag_s=0.0))
            assert (await store.list_vms()).unwrap() == VmList(("a", "b"), ())
            memory.set_faults(Faults(vm_lag_s=30.0))
            assert (await store.list_vms()).unwrap() == VmList((), ())


class TestHttpObjectStore:
    async def test_no_listener(self):
        """A write without a timely answer is unsure; a refused connection is unavailable."""
        memory = MemoryObjectStore(Faults(delay_s=TIMEOUT_S))
        async with http_store(memory, timeout_s=0.1) as store:
            assert error_type(await store.put("k", "a", b"", 0, "one")) is Unsure
        assert error_type(await store.put("k", "a", b"", 0, "one")) is Unavailable


class DelayedWriteStore(MemoryObjectStore):
    """Delays its first write until the second one arrives."""

    def __init__(self):
        super().__init__()
        self.delayed_write = None

    async def put(self, *arguments):
        if self.delayed_write is None:
            self.delayed_write = arguments
            return Failure(Unsure("put", "platform", "timeout"))
        await super().put(*self.delayed_write)
        return await super().put(*arguments)


class TestWriteAndConfirm:
    async def put(self, store, value=b"new", version=1, operation_id="two"):
        return await write_and_confirm(
            store, Write("k", "a", value, version, operation_id), Random(1)
        )

    @pytest.mark.parametrize("losses", [1, 3])
    async def test_applied_write_is_found(self, losses, autojump_clock):
        """A write that took effect is found by its operation id and not repeated."""
        memory = MemoryObjectStore()
        await memory.put("k", "a", b"old", 0, "one")
        memory.set_faults(Faults(lose_answer_next=losses))
        assert (await self.put(memory)).unwrap().value == b"new"
        assert (memory.revision, memory.counts["put"]) == (2, 2)

    async def test_write_in_flight(self, autojump_clock):
        """A lost write that arrives after the read-back takes effect only once."""
        delayed_write = DelayedWriteStore()
        stored = (await self.put(delayed_write, version=0)).unwrap()
        assert (delayed_write.revision, stored.operations) == (1, ("two",))

    async def test_concurrent_write(self, autojump_clock):
        """A lost write that another write preceded is a conflict."""
        memory = MemoryObjectStore()
        await memory.put("k", "a", b"old", 0, "one")
        await memory.put("k", "a", b"theirs", 1, "three")
        memory.put = self.unsure
        assert error_type(await self.put(memory)) is Conflict

    async def test_deletion(self, autojump_clock):
        """A deletion whose answer was lost is reported as ``NotFound``."""
        memory = MemoryObjectStore()
        await memory.put("k", "a", b"old", 0, "one")
        memory.set_faults(Faults(lose_answer_next=1))
        assert error_type(await self.put(memory, value=None)) is NotFound

    async def test_no_read_back(self, autojump_clock):
        """A write that cannot be read back stays unsure."""
        memory = MemoryObjectStore(Faults(lose_answers=1.0))
        assert error_type(await self.put(memory, version=0)) is Unsure

    async def unsure(self, *_arguments):
        await trio.lowlevel.checkpoint()
        return Failure(Unsure("put", "platform", "timeout"))
