"""An entry whose upstreams say in their responses that they leave or want no requests."""

from pathlib import Path

import pytest
import trio

from chivehold.fakes.metadata_store import MetadataStore
from chivehold.fakes.platform_upstream import ModelEngine, PlainUpstream
from tests.direct.harness import EntryHarness, running_entry, wait_until

LEAVING = [("server-leaving", "1")]
REQUESTS = 20


async def two_upstreams(harness: EntryHarness) -> tuple[PlainUpstream, PlainUpstream]:
    """Add two upstreams of the plain service and wait until the entry knows them."""
    first, second = PlainUpstream("u1"), PlainUpstream("u2")
    for upstream in (first, second):
        await harness.add_upstream(upstream, "plain")
    await wait_until(lambda: len(harness.entry.dump()["upstreams"]) == 2)
    return first, second


async def reach(harness: EntryHarness, upstream: PlainUpstream, other: PlainUpstream) -> None:
    """Send requests until one has reached an upstream, while the other one refuses them."""
    other.refuse = True
    for number in range(100):
        if upstream.received:
            break
        await harness.call("/get/x", f"until-{number}")
    other.refuse = False
    assert upstream.received


class TestLeaving:
    # Guards against requests to an upstream after a response that says that it leaves.
    async def test_gets_nothing_after_saying_so(self, tmp_path: Path) -> None:
        """One response is enough, although the store still lists the upstream as ready."""
        async with running_entry(tmp_path) as harness:
            leaving, other = await two_upstreams(harness)
            leaving.response_headers = LEAVING
            await reach(harness, leaving, other)
            received = len(leaving.received)
            address = harness.store.spec("servers", leaving.name)["address"]
            harness.list_upstream(leaving, "plain", address, {"seq": 2})
            other.work_s = 0.05
            await trio.sleep(0.3)
            for number in range(REQUESTS):
                assert (await harness.call("/get/x", f"r{number}")).status == 200
            assert len(leaving.received) == received
            assert len(other.received) >= REQUESTS

    # Guards against requests of the entries that have not heard of a departure themselves.
    async def test_other_entries_are_told(self, tmp_path: Path) -> None:
        """An entry that got no response from the upstream sends it nothing either."""
        store = MetadataStore()
        async with (
            running_entry(tmp_path, store, name="entry-1") as harness,
            running_entry(tmp_path, store, name="entry-2") as other_harness,
        ):
            leaving, other = await two_upstreams(harness)
            await wait_until(lambda: len(other_harness.entry.dump()["upstreams"]) == 2)
            await trio.sleep(0.5)
            leaving.response_headers = LEAVING
            await reach(harness, leaving, other)
            received = len(leaving.received)
            await trio.sleep(1.0)
            other.work_s = 0.05
            for number in range(REQUESTS):
                assert (await other_harness.call("/get/x", f"r{number}")).status == 200
            assert len(leaving.received) == received

    async def test_started_again_under_its_name_is_used_at_once(self, tmp_path: Path) -> None:
        """What an upstream said of itself does not hold for its next process."""
        async with running_entry(tmp_path) as harness:
            upstream = PlainUpstream("u1")
            address = await harness.add_upstream(upstream, "plain")
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            upstream.response_headers = LEAVING
            assert (await harness.call("/get/x")).status == 200
            assert (await harness.call("/get/x", "r2")).status == 503
            upstream.response_headers = []
            harness.list_upstream(upstream, "plain", address, {"born": 2})
            await trio.sleep(0.3)
            assert (await harness.call("/get/x", "r3")).status == 200

    async def test_refusals_and_reservations_say_so_too(self, tmp_path: Path) -> None:
        """A decode engine that leaves is known from the response to a reservation."""
        async with running_entry(tmp_path) as harness:
            leaving, other = (ModelEngine(name, "decode") for name in ("d1", "d2"))
            leaving.refuse = True
            leaving.response_headers = LEAVING
            for engine in (leaving, other):
                await harness.add_upstream(engine, "model")
            await wait_until(lambda: len(harness.entry.dump()["upstreams"]) == 2)
            for number in range(5):
                await harness.events("/tell/x", f"r{number}")
            assert sum(request["target"] == "/v1/hold-take" for request in leaving.received) <= 1


class TestPushBack:
    # Guards against requests to an upstream within the time for which it wants none.
    async def test_gets_nothing_until_its_time_is_over(self, tmp_path: Path) -> None:
        """After a refusal with a time, all requests go elsewhere, and come back after it."""
        async with running_entry(tmp_path) as harness:
            refusing, other = await two_upstreams(harness)
            refusing.refuse = True
            refusing.response_headers = [("retry-after", "1.5")]
            await reach(harness, refusing, other)
            refused_at = refusing.received_at[-1]
            received = len(refusing.received)
            refusing.refuse = False
            refusing.response_headers = []
            number = 0
            while trio.current_time() < refused_at + 1.4:
                number += 1
                await harness.call("/get/x", f"r{number}")
                await trio.sleep(0.02)
            assert len(refusing.received) == received
            await trio.sleep(0.5)
            other.refuse = True
            assert (await harness.call("/get/x", "later")).status == 200
            assert len(refusing.received) > received

    async def test_caller_is_told_when(self, tmp_path: Path) -> None:
        """With no other upstream the request is refused at once, with the time that is left."""
        async with running_entry(tmp_path) as harness:
            upstream = PlainUpstream("u1")
            await harness.add_upstream(upstream, "plain")
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            upstream.refuse = True
            upstream.response_headers = [("retry-after", "3")]
            await harness.call("/get/x")
            refusal = await harness.call("/get/x", "r2")
            assert refusal.status == 503
            assert 2.5 <= float(refusal.header("retry-after") or 0) <= 3.4
            assert len(upstream.received) == 1

    @pytest.mark.parametrize("text", ["-3", "soon", "Fri, 04 Dec 2026 10:00:00 GMT"])
    async def test_senseless_time_counts_as_a_short_one(self, tmp_path: Path, text: str) -> None:
        """A time that is no number of seconds keeps requests away for a second."""
        async with running_entry(tmp_path) as harness:
            upstream = PlainUpstream("u1")
            await harness.add_upstream(upstream, "plain")
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            upstream.refuse = True
            upstream.response_headers = [("retry-after", text)]
            await harness.call("/get/x")
            upstream.refuse = False
            assert (await harness.call("/get/x", "r2")).status == 503
            await trio.sleep(1.2)
            assert (await harness.call("/get/x", "r3")).status == 200
