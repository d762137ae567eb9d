"""Callers of organisations: who is refused, and what upstreams and operators get to see."""

import logging
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio

from chivehold.fakes.platform_upstream import ModelEngine, PlainUpstream
from chivehold.http_client import LinkBroken
from chivehold.logs import ROOT_LOGGER
from tests.direct.harness import ROUTES, EntryHarness, route, running_entry, wait_until
from tests.direct.versioned import receive, versioned_service, versions

KEY, OTHER_KEY = "secret-acme-1", "secret-bolt-1"
ACME = {"name": "acmé", "apiKeys": [KEY], "priority": 0}
BOLT = {"name": "bolt", "apiKeys": [OTHER_KEY]}
NAME_AS_SENT = "acmé".encode()
OPEN = route("/open/", "idempotent", "plain", anonymous=True)
KEYED = {"x-api-key": KEY}
UNIDENTIFIED = 401
REVOKED = 502
OTHER_ORGANISATION = 503
ALL_EVENTS = [1, 2, 3, 4, 5]
MIN_CALLS = 6
MAX_CALLS = 40
"""Upstreams are ranked with a random factor: one of two may be passed over a few times."""


class Lines(logging.Handler):
    """Collects the log events with their fields."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[dict[str, Any]] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.events.append({"event": record.getMessage(), **getattr(record, "event_fields", {})})


@contextmanager
def logged() -> Iterator[Lines]:
    """Collect what is logged meanwhile."""
    logger, lines = logging.getLogger(ROOT_LOGGER), Lines()
    level = logger.level
    logger.addHandler(lines)
    logger.setLevel(logging.DEBUG)
    try:
        yield lines
    finally:
        logger.removeHandler(lines)
        logger.setLevel(level)


@asynccontextmanager
async def keyed_entry(
    tmp_path: Path, upstreams: Sequence[tuple[PlainUpstream, str]] = (), **settings: Any
) -> AsyncIterator[EntryHarness]:
    """Run an entry with two organisations, and with these upstreams of services."""
    async with running_entry(tmp_path, **settings) as harness:
        for upstream, service in upstreams:
            await harness.add_upstream(upstream, service)
        await wait_until(lambda: len(harness.entry.dump()["upstreams"]) == len(upstreams))
        await harness.apply(2, [*ROUTES, OPEN], [ACME, BOLT])
        yield harness


def check_calls(*upstreams: PlainUpstream, name: bytes | None = NAME_AS_SENT) -> int:
    """Check that each request carried the organisation and no key; return their number."""
    calls = [headers for upstream in upstreams for headers in upstream.received_headers]
    runs = [headers for headers in calls if b"x-chivehold-request-id" in dict(headers)]
    for headers in runs:
        sent = [value for key, value in headers if key.replace(b"_", b"-") == b"x-chivehold-tenant"]
        assert sent == ([] if name is None else [name])
    for headers in calls:
        assert not [key for key, value in headers if key == b"x-api-key" or b"secret-" in value]
    return len(runs)


def _is_complete(response: bytes) -> bool:
    head, _, body = response.partition(b"\r\n\r\n")
    length = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    return bool(length) and len(body) >= int(length[0].partition(b":")[2])


class TestRefused:
    @pytest.mark.parametrize(
        ("keys", "reason"),
        [
            ([], "missing"),
            ([b"secret-unknown"], "unknown"),
            ([KEY.upper().encode()], "unknown"),
            ([KEY.encode() + b", " + KEY.encode()], "unknown"),
            ([b"\xff\xfe\x80"], "unknown"),
            ([KEY.encode()] * 2, "repeated"),
            ([KEY.encode(), OTHER_KEY.encode()], "repeated"),
            ([b""], "unusable"),
            ([b"k" * 10_000], "unusable"),
        ],
        ids=lambda value: str(value)[:40],
    )
    async def test_at_once(self, tmp_path: Path, keys: list[bytes], reason: str) -> None:
        """Guards against a request that runs without a known key, or waits to be refused."""
        upstream = PlainUpstream("x")
        async with keyed_entry(tmp_path, [(upstream, "plain")]) as harness:
            further = [(b"X-Api-Key", key) for key in keys]
            started_at = trio.current_time()
            with logged() as lines:
                response = await harness.call("/get/a", further=further)
            assert trio.current_time() - started_at < 1.0
            assert response.status == UNIDENTIFIED
            assert msgspec.json.decode(response.body)["reason"] == f"key_{reason}"
            assert response.header("www-authenticate")
            assert response.header("retry-after") is None
            (line,) = [line for line in lines.events if line["event"] == "request refused"]
            assert (line["reason"], line["request"]) == (f"key_{reason}", "r1")
            assert line["configuration"] == 2
            assert 0 <= line["configuration_age_ms"] < 10_000
            counted = f'chivehold_unidentified_requests_total{{reason="{reason}"}} 1'
            assert counted in (await harness.metrics()).decode()
            assert not upstream.received

    async def test_before_the_body_has_arrived(self, tmp_path: Path) -> None:
        """Guards against an unknown caller that makes the entry wait for, and keep, a body."""
        async with keyed_entry(tmp_path) as harness:
            host, _, port = harness.address.rpartition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            head = b"POST /post/a HTTP/1.1\r\nhost: site.example\r\nx-chivehold-request-id: r\r\n"
            await stream.send_all(head + b"content-length: 50000\r\n\r\nx")
            with trio.fail_after(0.5):
                assert (await stream.receive_some()).startswith(b"HTTP/1.1 401")
            await stream.aclose()

    async def test_without_an_id(self, tmp_path: Path) -> None:
        """Guards against a request that learns about its missing id before its missing key."""
        async with keyed_entry(tmp_path) as harness:
            assert (await harness.call("/get/a", request="")).status == UNIDENTIFIED
            assert (await harness.call("/get/a", request="", headers=KEYED)).status == 400

    async def test_before_any_configuration(self, tmp_path: Path) -> None:
        """Guards against a starting entry that refuses known callers for good."""
        async with running_entry(tmp_path) as harness:
            harness.entry._callers._routes = None  # noqa: SLF001
            response = await harness.call("/get/a", headers=KEYED)
            assert response.status == 503
            assert response.header("retry-after")


class TestServed:
    async def test_anonymous_route(self, tmp_path: Path) -> None:
        """Guards against anonymous callers that are refused, or pass for an organisation."""
        upstream = PlainUpstream("x")
        async with keyed_entry(tmp_path, [(upstream, "plain")]) as harness:
            for headers in ({}, {"x-api-key": "secret-unknown"}, {"x-chivehold-tenant": "acmé"}):
                assert (await harness.call("/open/a", headers=headers)).status == 200
            assert check_calls(upstream, name=None) == 3
            upstream.received_headers.clear()
            assert (await harness.call("/open/a", headers=KEYED)).status == 200
            assert check_calls(upstream) == 1

    @pytest.mark.parametrize(
        "forged",
        [
            [(b"X-Chivehold-Tenant", b"bolt")],
            [(b"x-CHIVEHOLD-tenant", b"bolt"), (b"X-Chivehold-Tenant", b"")],
            [(b"X_Chivehold_Tenant", b"bolt")],
            [(b"Connection", b"X-Chivehold-Tenant, X-Api-Key")],
            [(b"Connection", b"x-chivehold-tenant"), (b"x-chivehold-tenant", b"bolt")],
        ],
    )
    async def test_caller_names_an_organisation(
        self, tmp_path: Path, forged: list[tuple[bytes, bytes]]
    ) -> None:
        """Guards against a caller that passes for another organisation, or hides its own."""
        upstream = PlainUpstream("x")
        async with keyed_entry(tmp_path, [(upstream, "plain")]) as harness:
            assert (await harness.call("/get/a", headers=KEYED, further=forged)).status == 200
            assert check_calls(upstream) == 1

    async def test_priority_before_that_of_the_route(self, tmp_path: Path) -> None:
        """Guards against the route's priority counting although the organisation has one."""
        seen: list[int] = []
        async with keyed_entry(tmp_path) as harness:
            routes = [route("/get/", "idempotent", "plain", priority=2)]
            await harness.apply(3, routes, [ACME, BOLT])
            callers = harness.entry._callers  # noqa: SLF001
            serve = callers._plain.serve  # noqa: SLF001

            async def serve_and_record(exchange: Any, reply: Any) -> str:
                seen.append(exchange.priority)
                return await serve(exchange, reply)

            callers._plain.serve = serve_and_record  # type: ignore[method-assign]  # noqa: SLF001
            for key in (KEY, OTHER_KEY):
                await harness.call("/get/a", headers={"x-api-key": key})
        assert seen == [0, 2]

    async def test_without_organisations(self, tmp_path: Path) -> None:
        """Guards against other headers at the upstreams of deployments without organisations."""
        upstream = PlainUpstream("x")
        async with running_entry(tmp_path) as harness:
            await harness.add_upstream(upstream, "plain")
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            headers = {"x-api-key": "k", "x-chivehold-tenant": "mine", "x_api_key": "u"}
            assert (await harness.call("/get/a", headers=headers)).status == 200
            assert headers.items() <= upstream.received[0].items()


class TestUpstreams:
    """The key reaches no upstream, and the organisation's name reaches each one."""

    @pytest.mark.parametrize("fault", ["silent", "cut", "refuse"])
    async def test_hedge_and_retry(self, tmp_path: Path, fault: str) -> None:
        """Guards against second attempts with the caller's own headers."""
        upstreams = [PlainUpstream("x"), PlainUpstream("y")]
        async with keyed_entry(tmp_path, [(item, "plain") for item in upstreams]) as harness:
            await harness.call("/get/a", headers=KEYED)
            chosen, other = sorted(upstreams, key=lambda item: -len(item.received))
            setattr(chosen, fault, True)
            for number in range(MAX_CALLS):
                response = await harness.call("/get/a", f"r{number}", headers=KEYED)
                assert response.status == 200
                if number + 1 >= MIN_CALLS and check_calls(chosen) >= 2:
                    break
            assert check_calls(chosen) >= 2
            assert check_calls(other) >= 1

    async def test_prefill_decode_and_resumption(self, tmp_path: Path) -> None:
        """Guards against a stage of a stream with the caller's own headers."""
        prefill = ModelEngine("p", "prefill")
        decode = [ModelEngine("d1", "decode"), ModelEngine("d2", "decode")]
        engines = [prefill, *decode]
        async with keyed_entry(tmp_path, [(engine, "model") for engine in engines]) as harness:
            for engine in decode:
                engine.stop_after = 2
            with pytest.raises(LinkBroken):
                await harness.events("/tell/a", "broken", **KEYED)
            for engine in decode:
                engine.stop_after = None
            decode[0].stop_after = 2
            for number in range(4):
                assert await harness.events("/resume/a", f"r{number}", **KEYED) == ALL_EVENTS
            resumed = {"resumes": "r1", "last-event-id": "3", **KEYED}
            assert await harness.events("/resume/a", "again", **resumed) == [4, 5]
            assert check_calls(prefill) >= 1
            assert check_calls(*decode) >= 6
            assert any(b"last-event-id" in dict(h) for e in decode for h in e.received_headers)


class TestSecrecy:
    async def test_in_no_line_metric_or_dump(self, tmp_path: Path) -> None:
        """Guards against a key, or its digest as a crash key, that operators get to see."""
        upstream = PlainUpstream("x")
        broken = {"name": "acmé", "apiKeys": [KEY, 3], "priority": KEY}
        with logged() as lines:
            async with keyed_entry(tmp_path, [(upstream, "plain")]) as harness:
                await harness.apply(3, [*ROUTES, OPEN], [ACME, BOLT, broken, {"name": "\n" + KEY}])
                upstream.cut = True
                for path in ("/get/a", "/post/a", "/open/a", "/none/a", "/tell/a"):
                    for headers in (KEYED, {"x-api-key": KEY + "x"}):
                        await harness.call(path, headers=headers)
                harness.store.put("config", "main", {"version": 4, "tenants": {KEY: KEY}})
                await trio.sleep(0.3)
                shown = repr(harness.entry.dump()) + (await harness.metrics()).decode()
        assert "secret-" not in shown
        assert "secret-" not in repr(lines.events)
        faults = {line["organisation"] for line in lines.events if "unusable" in line["event"]}
        assert faults == {"acmé", "#3"}

    async def test_crash_key_stands_for_the_organisation(self, tmp_path: Path) -> None:
        """Guards against content that gets another crash key with each key of its caller."""
        keys: list[object] = []
        async with keyed_entry(tmp_path) as harness:
            both = {"name": "acmé", "apiKeys": [KEY, "secret-acme-2"]}
            await harness.apply(3, [*ROUTES, OPEN], [both, BOLT])
            callers = harness.entry._callers  # noqa: SLF001

            async def record(exchange: Any, reply: Any) -> str:
                keys.append(exchange.crash_keys[0])
                await reply.send_full(200, [], b"")
                return "answered"

            callers._plain.serve = record  # type: ignore[method-assign]  # noqa: SLF001
            for key in (KEY, "secret-acme-2", OTHER_KEY):
                await harness.call("/get/a", headers={"x-api-key": key})
        assert keys[0] == keys[1] != keys[2]


class TestChange:
    async def test_on_an_open_connection(self, tmp_path: Path) -> None:
        """Guards against a key that works, or fails, until its caller connects again."""
        upstream = PlainUpstream("x")
        async with keyed_entry(tmp_path, [(upstream, "plain")]) as harness:
            host, _, port = harness.address.rpartition(":")
            stream = await trio.open_tcp_stream(host, int(port))

            async def status(key: str) -> int:
                head = b"GET /get/a HTTP/1.1\r\nhost: site.example\r\nx-chivehold-request-id: r\r\n"
                await stream.send_all(head + f"x-api-key: {key}\r\n\r\n".encode())
                response = b""
                with trio.fail_after(3.0):
                    while not _is_complete(response):
                        response += await stream.receive_some()
                return int(response[9:12])

            assert (await status(KEY), await status("new")) == (200, UNIDENTIFIED)
            await harness.apply(3, [*ROUTES, OPEN], [{"name": "acmé", "apiKeys": ["new"]}, BOLT])
            assert (await status(KEY), await status("new")) == (UNIDENTIFIED, 200)
            await harness.apply(4, [*ROUTES, OPEN], [{"name": "acmé", "apiKeys": []}, BOLT])
            assert (await status("new"), await status(OTHER_KEY)) == (UNIDENTIFIED, 200)
            await harness.apply(5, [*ROUTES, OPEN], [{"name": "acmé"}])
            assert (await status(KEY), await status(OTHER_KEY)) == (UNIDENTIFIED, UNIDENTIFIED)
            await harness.apply(6, ROUTES)
            assert await status("new") == 200
            await stream.aclose()

    async def test_running_request_ends_as_it_began(self, tmp_path: Path) -> None:
        """Guards against a request that is cut off, or loses its name, when its key is removed."""
        slow, sound = PlainUpstream("x"), PlainUpstream("y")
        slow.silent = sound.silent = True
        async with keyed_entry(tmp_path, [(slow, "plain"), (sound, "plain")]) as harness:
            statuses: list[int] = []

            async def call() -> None:
                statuses.append((await harness.call("/get/a", headers=KEYED)).status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await wait_until(lambda: slow.received or sound.received)
                (slow if sound.received else sound).silent = False
                await harness.apply(3, [*ROUTES, OPEN], [BOLT])
            assert statuses == [200]
            assert check_calls(slow, sound) == 2

    async def test_strict_revocation(self, tmp_path: Path) -> None:
        """Guards against a removed key whose requests go on although the settings forbid it."""
        plain, engine = PlainUpstream("x"), ModelEngine("d", "decode")
        plain.silent, engine.event_s, engine.events = True, 0.05, 50
        upstreams = [(plain, "plain"), (engine, "model")]
        async with keyed_entry(tmp_path, upstreams, strict_revoke=True) as harness:
            statuses: dict[str, int] = {}

            async def call(key: str) -> None:
                response = await harness.call("/post/a", key, "POST", headers={"x-api-key": key})
                statuses[key] = response.status

            begun = trio.Event()

            async def stream() -> None:
                with pytest.raises(LinkBroken):
                    async with harness.stream("/tell/a", "s1", KEYED) as response:
                        async for _ in response.chunks:
                            begun.set()

            with trio.fail_after(2.0):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(call, KEY)
                    nursery.start_soon(stream)
                    await wait_until(lambda: plain.runs and begun.is_set())
                    await harness.apply(3, [*ROUTES, OPEN], [BOLT])
            assert statuses == {KEY: REVOKED}
            await wait_until(lambda: plain.abandoned_requests and engine.abandoned_requests)
            metrics = (await harness.metrics()).decode()
            assert 'outcome="key_revoked"' in metrics

    async def test_strict_revocation_while_the_body_arrives(self, tmp_path: Path) -> None:
        """Guards against a request that begins to run after its key has been removed."""
        upstream = PlainUpstream("x")
        async with keyed_entry(tmp_path, [(upstream, "plain")], strict_revoke=True) as harness:
            host, _, port = harness.address.rpartition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            head = b"POST /post/a HTTP/1.1\r\nhost: site.example\r\nx-chivehold-request-id: r\r\n"
            await stream.send_all(head + f"x-api-key: {KEY}\r\n".encode())
            await stream.send_all(b"content-length: 2\r\n\r\nx")
            await wait_until(lambda: harness.entry.dump()["in_progress"])
            await harness.apply(3, [*ROUTES, OPEN], [BOLT])
            await stream.send_all(b"x")
            with trio.fail_after(2.0):
                assert (await stream.receive_some()).startswith(b"HTTP/1.1 502")
            assert not upstream.runs
            await stream.aclose()

    async def test_strict_revocation_of_others(self, tmp_path: Path) -> None:
        """Guards against requests that end although their key still holds, or is not needed."""
        plain = PlainUpstream("x")
        plain.work_s = 0.5
        async with keyed_entry(tmp_path, [(plain, "plain")], strict_revoke=True) as harness:
            statuses: list[int] = []

            async def call(path: str, request: str, key: str) -> None:
                response = await harness.call(path, request, headers={"x-api-key": key})
                statuses.append(response.status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call, "/get/a", "r1", OTHER_KEY)
                nursery.start_soon(call, "/open/a", "r2", KEY)
                nursery.start_soon(call, "/open/a", "r3", "secret-unknown")
                await wait_until(lambda: len(plain.runs) == 3)
                await harness.apply(3, [*ROUTES, OPEN], [BOLT])
            assert statuses == [200] * 3

    async def test_bad_organisation_stops_no_other(self, tmp_path: Path) -> None:
        """Guards against a revoked key that stays valid because of a fault elsewhere."""
        upstream = PlainUpstream("x")
        async with keyed_entry(tmp_path, [(upstream, "plain")]) as harness:
            bad = {"name": "x\r\ny: z", "apiKeys": ["k"], "ratePerS": -1}
            await harness.apply(3, ROUTES, [bad, {"name": "acmé", "apiKeys": 5}, BOLT, None])
            statuses = [
                (await harness.call("/get/a", headers={"x-api-key": key})).status
                for key in ("k", KEY, OTHER_KEY)
            ]
            assert statuses == [UNIDENTIFIED, UNIDENTIFIED, 200]
            assert check_calls(upstream, name=b"bolt") == 1


class TestResumption:
    LEFT_AFTER = 3

    @asynccontextmanager
    async def service(self, tmp_path: Path) -> AsyncIterator[EntryHarness]:
        """Run an entry and engines of two versions."""
        async with (
            versioned_service(("old", "v1"), ("new", "v2")) as service,
            running_entry(tmp_path, service.store) as harness,
        ):
            await wait_until(lambda: len(harness.entry.dump()["upstreams"]) == 2)
            await harness.apply(2, ROUTES, [ACME, BOLT])
            yield harness

    async def begin(self, harness: EntryHarness, request: str, key: str) -> str:
        """Begin a stream, leave it, and return the version of its engine."""
        begun = await receive(harness, request, leaves_after=self.LEFT_AFTER, key=key)
        (software,) = versions(begun.events)
        return software

    async def test_same_request_id_in_two_organisations(self, tmp_path: Path) -> None:
        """Guards against a stream that goes on at the version of another organisation's stream."""
        async with self.service(tmp_path) as harness:
            begun: dict[str, str] = {}
            for number in range(20):
                # Callers choose the ids, so that another organisation may use the same one.
                request = f"r{number}"
                begun[OTHER_KEY] = await self.begin(harness, request, OTHER_KEY)
                begun[KEY] = await self.begin(harness, request, KEY)
                if begun[KEY] != begun[OTHER_KEY]:
                    break
            assert begun[KEY] != begun[OTHER_KEY]
            for key, software in begun.items():
                resumed = await receive(harness, f"again-{key}", request, 3, key=key)
                assert versions(resumed.events) == {software}
                assert resumed.events[0].number == self.LEFT_AFTER + 1

    async def test_of_another_organisation(self, tmp_path: Path) -> None:
        """Guards against a caller that learns of, or joins, a stream of another organisation."""
        async with self.service(tmp_path) as harness:
            await self.begin(harness, "r1", KEY)
            other = await receive(harness, "again", "r1", self.LEFT_AFTER, key=OTHER_KEY)
            assert (other.status, other.events) == (OTHER_ORGANISATION, ())

    async def test_with_another_key_of_the_organisation(self, tmp_path: Path) -> None:
        """Guards against streams that cannot go on once their organisation has changed its key."""
        async with self.service(tmp_path) as harness:
            software = await self.begin(harness, "r1", KEY)
            await harness.apply(3, ROUTES, [ACME | {"apiKeys": ["new"]}, BOLT])
            assert (await receive(harness, "a", "r1", 3, key=KEY)).status == UNIDENTIFIED
            resumed = await receive(harness, "b", "r1", self.LEFT_AFTER, key="new")
            assert versions(resumed.events) == {software}
