"""One entry as a whole: readiness, configuration, membership, stages, bodies, operators."""

from pathlib import Path

import msgspec
import trio

from chivehold.fakes.platform_upstream import ModelEngine, PlainUpstream
from chivehold.http_client import HttpClient
from tests.direct.harness import ROUTES, EntryHarness, route, running_entry, wait_until

IN_FORCE_WITHIN_S = 2.0


async def answered_by(harness: EntryHarness, path: str = "/get/a") -> str:
    return (await harness.call(path)).header("x-chivehold-server-stamp") or ""


class TestReady:
    async def test_with_routes_and_upstreams(self, tmp_path: Path) -> None:
        """An entry is ready only if it knows routes and upstreams."""
        async with running_entry(tmp_path) as harness:
            assert not await harness.is_ready()
            await harness.add_upstream(PlainUpstream("x"), "plain")
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            assert await harness.is_ready()


class TestConfiguration:
    async def test_newer_version_takes_effect_at_once(self, tmp_path: Path) -> None:
        """A changed route applies to the next request, and a removed one is not found."""
        async with running_entry(tmp_path) as harness:
            await harness.add_upstream(PlainUpstream("x"), "plain")
            await harness.add_upstream(PlainUpstream("y"), "other")
            await wait_until(lambda: len(harness.entry.dump()["upstreams"]) == 2)
            assert await answered_by(harness) == "by.x"
            harness.configure(3, [route("/get/", "idempotent", "other")])
            await wait_until(lambda: harness.entry.dump()["configuration"] == 3, IN_FORCE_WITHIN_S)
            assert await answered_by(harness) == "by.y"
            assert (await harness.call("/post/a", method="POST")).status == 404

    async def test_older_version_is_ignored(self, tmp_path: Path) -> None:
        """An older version that arrives later is ignored."""
        async with running_entry(tmp_path) as harness:
            harness.configure(5, ROUTES)
            await wait_until(lambda: harness.entry.dump()["configuration"] == 5)
            harness.configure(4, [])
            await trio.sleep(0.2)
            assert harness.entry.dump()["configuration"] == 5

    async def test_invalid_configuration_is_ignored(self, tmp_path: Path) -> None:
        """The last valid configuration stays in force."""
        async with running_entry(tmp_path) as harness:
            await harness.add_upstream(PlainUpstream("x"), "plain")
            harness.store.put("config", "main", {"version": "nine", "routes": 3})
            await trio.sleep(0.2)
            assert harness.entry.dump()["configuration"] == 1
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            assert await answered_by(harness) == "by.x"

    async def test_lost_history_is_listed_again(self, tmp_path: Path) -> None:
        """A change lost with the store's history takes effect through a new full list."""
        async with running_entry(tmp_path) as harness:
            harness.configure(2, ROUTES)
            harness.store.expire_watch_history()
            await wait_until(lambda: harness.entry.dump()["configuration"] == 2, IN_FORCE_WITHIN_S)

    async def test_change_during_an_outage(self, tmp_path: Path) -> None:
        """A change made during an outage takes effect soon after the store is back."""
        async with running_entry(tmp_path) as harness:
            harness.store.error_status = 503
            harness.store.expire_watch_history()
            await trio.sleep(0.3)
            harness.configure(2, ROUTES)
            await trio.sleep(0.5)
            harness.store.error_status = None
            await wait_until(lambda: harness.entry.dump()["configuration"] == 2, IN_FORCE_WITHIN_S)


class TestMembership:
    async def test_draining_upstream_gets_no_new_requests(self, tmp_path: Path) -> None:
        """An upstream that is marked as draining in the store gets no new requests."""
        async with running_entry(tmp_path) as harness:
            upstreams = [PlainUpstream("x"), PlainUpstream("y")]
            address = await harness.add_upstream(upstreams[0], "plain")
            await harness.add_upstream(upstreams[1], "plain")
            await wait_until(lambda: len(harness.entry.dump()["upstreams"]) == 2)
            harness.list_upstream(upstreams[0], "plain", address, {"state": "draining"})
            await trio.sleep(0.1)
            before = len(upstreams[0].received)
            for number in range(10):
                assert (await harness.call("/get/a", f"r{number}")).status == 200
            assert len(upstreams[0].received) == before

    async def test_invalid_records_are_ignored(self, tmp_path: Path) -> None:
        """Invalid records do not affect the valid ones."""
        async with running_entry(tmp_path) as harness:
            await harness.add_upstream(PlainUpstream("x"), "plain")
            address = await harness.listen(PlainUpstream("bad"))
            for number, fields in enumerate(
                (
                    {"address": None},
                    {"address": 7},
                    {"state": "resting"},
                    {"slots": "many"},
                    {"stage": "thinking"},
                    {"service": None},
                )
            ):
                harness.list_upstream(PlainUpstream(f"bad-{number}"), "plain", address, fields)
            harness.store.put("servers", "bad-9", "not even a table")
            await trio.sleep(0.2)
            assert [record["upstream"] for record in harness.entry.dump()["upstreams"]] == ["x"]
            assert await answered_by(harness) == "by.x"

    async def test_survives_an_outage(self, tmp_path: Path) -> None:
        """During an outage of the store, requests are served from the known state."""
        async with running_entry(tmp_path) as harness:
            await harness.add_upstream(PlainUpstream("x"), "plain")
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            harness.store.error_status = 503
            harness.store.expire_watch_history()
            await trio.sleep(0.3)
            assert await answered_by(harness) == "by.x"
            assert await harness.is_ready()


class TestStages:
    async def test_surplus_prefill_engine_is_ordered_to_decode(self, tmp_path: Path) -> None:
        """The order carries the lease's fencing number and the order count that was read."""
        async with running_entry(tmp_path) as harness:
            engines = [ModelEngine(name, "prefill") for name in "ab"]
            engines += [ModelEngine(name, "decode") for name in "cde"]
            for engine in engines:
                await harness.add_upstream(engine, "model")
            await wait_until(lambda: any(engine.orders for engine in engines), 6.0)
            (order,) = [order for engine in engines for order in engine.orders]
            assert (order["opType"], order["stage"], order["expect"]) == ("stage", "decode", 0)
            assert order["fenceToken"] > 0
            assert order["holder"].startswith("entry-1.")
            await trio.sleep(1.2)
            assert sum(len(engine.orders) for engine in engines) == 1


class TestBodies:
    """Many large bodies at once on a machine with little memory."""

    BODY = b"x" * 40_000

    async def test_held_bytes_are_limited(self, tmp_path: Path) -> None:
        """A body over the limit is refused at once, and accepted when other requests have ended."""
        async with running_entry(tmp_path, max_held_bytes=100_000) as harness:
            upstream = PlainUpstream("x")
            upstream.work_s = 0.5
            await harness.add_upstream(upstream, "plain")
            await wait_until(lambda: len(harness.entry.dump()["upstreams"]) == 1)
            async with trio.open_nursery() as nursery:
                for name in ("a", "b"):
                    nursery.start_soon(harness.call, "/post/a", name, "POST", self.BODY)
                await wait_until(lambda: sorted(upstream.runs) == ["a", "b"])
                refused = await harness.call("/post/a", "c", "POST", self.BODY)
            assert refused.status == 503
            assert refused.header("retry-after")
            assert msgspec.json.decode(refused.body)["reason"] == "bodies_full"
            assert (await harness.call("/post/a", "d", "POST", self.BODY)).status == 200
            assert sorted(upstream.runs) == ["a", "b", "d"]

    async def test_chunked_bodies_count_as_they_arrive(self, tmp_path: Path) -> None:
        """A chunked body is rejected when it exceeds the limit, and its memory is released."""
        async with running_entry(tmp_path, max_held_bytes=50_000) as harness:
            upstream = PlainUpstream("x")
            await harness.add_upstream(upstream, "plain")
            await wait_until(lambda: len(harness.entry.dump()["upstreams"]) == 1)
            assert await self._chunked(harness, parts=8) == b"HTTP/1.1 503"
            assert await self._chunked(harness, parts=4) == b"HTTP/1.1 200"
            assert len(upstream.runs) == 1

    @staticmethod
    async def _chunked(harness: EntryHarness, parts: int) -> bytes:
        host, _, port = harness.address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        head = b"POST /post/a HTTP/1.1\r\nhost: site.example\r\nx-chivehold-request-id: r\r\n"
        await stream.send_all(head + b"transfer-encoding: chunked\r\n\r\n")
        for _ in range(parts):
            await stream.send_all(b"2710\r\n" + b"x" * 10_000 + b"\r\n")
        await stream.send_all(b"0\r\n\r\n")
        with trio.fail_after(5.0):
            response = await stream.receive_some()
        await stream.aclose()
        return response[:12]


class TestOperators:
    async def test_metrics_and_dump(self, tmp_path: Path) -> None:
        """Metrics count the served requests, and the dump shows the state and its age."""
        async with running_entry(tmp_path) as harness:
            await harness.add_upstream(PlainUpstream("x"), "plain")
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            await harness.call("/get/a")
            client = HttpClient()

            async def get(path: str) -> bytes:
                address = harness.operator_address
                return (await client.call(address, "GET", path, step="get", timeout_s=2.0)).body

            metrics = (await get("/metrics")).decode()
            assert 'chivehold_requests_total{kind="idempotent",outcome="answered"} 1' in metrics
            dump = msgspec.json.decode(await get("/dump"))
            assert dump["configuration"] == 1
            assert dump["upstreams_age_s"] < 5
            await client.aclose()
