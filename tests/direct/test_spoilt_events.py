"""Streams in which an engine has spoilt the id of an event."""

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import trio

from chivehold.asgi import Send
from chivehold.fakes.platform_upstream import REQUEST_ID_HEADER, STAMP_HEADER, ModelEngine
from chivehold.http_client import LinkBroken
from tests.direct.harness import EntryHarness, running_entry, wait_until

EVENTS = 5


def event(number: int, event_id: str | None = None) -> bytes:
    id_line = f"id: {number if event_id is None else event_id}\n" if event_id != "" else ""
    return f"{id_line}data: piece {number}\n\n".encode()


SOUND = b"".join(event(number) for number in range(1, EVENTS + 1))


class SpoilingEngine(ModelEngine):
    """Sends some events under wrong ids; an empty one stands for none."""

    def __init__(self, name: str, stage: str) -> None:
        super().__init__(name, stage)
        self.wrong_ids: Mapping[int, str] = {}
        self.repeats_from: int | None = None
        """If set, begin with this event, whatever the caller has."""

    async def _stream(self, request: str, body: bytes, last: int, send: Send) -> None:
        headers = [
            (b"content-type", b"text/event-stream"),
            (REQUEST_ID_HEADER.encode(), request.encode()),
            (STAMP_HEADER.encode(), f"by.{self.name}".encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for number in range(self.repeats_from or last + 1, self.events + 1):
            if self.stop_after is not None and number > self.stop_after:
                return
            part = event(number, self.wrong_ids.get(number))
            await send({"type": "http.response.body", "body": part, "more_body": True})
            await trio.sleep(0.01)
        await send({"type": "http.response.body", "body": b"", "more_body": False})


@asynccontextmanager
async def two_engines(
    tmp_path: Path,
) -> AsyncIterator[tuple[EntryHarness, SpoilingEngine, SpoilingEngine]]:
    """Run an entry with two decode engines, of which the first one gets the next request."""
    async with running_entry(tmp_path) as harness:
        engines = [SpoilingEngine(name, "decode") for name in ("d1", "d2")]
        for engine in engines:
            await harness.add_upstream(engine, "model")
        await wait_until(lambda: len(harness.entry.dump()["upstreams"]) == 2)
        engines[1].held["other"] = engines[1].capacity
        yield harness, *engines


async def body_of(harness: EntryHarness, path: str) -> bytes:
    async with harness.stream(path) as response:
        assert response.status == 200
        return b"".join([chunk async for chunk in response.chunks])


async def resumed_body(
    harness: EntryHarness, first: SpoilingEngine, second: SpoilingEngine
) -> bytes:
    """Return the body of a stream that the second engine may go on with."""
    async with trio.open_nursery() as nursery:

        async def free_second() -> None:
            await wait_until(lambda: first.runs)
            second.held.clear()

        nursery.start_soon(free_second)
        return await body_of(harness, "/resume/a")


class TestOneEngine:
    # Guards against a stream that lacks events of its engine and ends as complete.
    @pytest.mark.parametrize("path", ["/tell/a", "/resume/a"])
    @pytest.mark.parametrize("wrong_ids", [{2: "82"}, {4: "1"}, {3: ""}, {1: "9"}, {5: "\xb2"}])
    async def test_events_are_passed_on_unchanged(
        self, tmp_path: Path, path: str, wrong_ids: Mapping[int, str]
    ) -> None:
        """All events of an engine are passed on unchanged, whatever their ids."""
        async with two_engines(tmp_path) as (harness, engine, _):
            engine.wrong_ids = wrong_ids
            sent = b"".join(event(n, wrong_ids.get(n)) for n in range(1, EVENTS + 1))
            assert await body_of(harness, path) == sent


class TestTwoEngines:
    # Guards against a stream that goes on at a wrong position and ends as complete.
    @pytest.mark.parametrize("wrong_ids", [{2: "4"}, {2: "1"}, {2: ""}, {1: "", 2: ""}])
    async def test_position_is_not_known(
        self, tmp_path: Path, wrong_ids: Mapping[int, str]
    ) -> None:
        """A stream that breaks off after an event with a wrong id does not go on."""
        async with two_engines(tmp_path) as (harness, first, second):
            first.wrong_ids, first.stop_after = wrong_ids, 2
            with pytest.RaisesGroup(pytest.RaisesExc(LinkBroken)):
                await resumed_body(harness, first, second)
            assert second.runs == []

    async def test_position_is_known_again(self, tmp_path: Path) -> None:
        """A stream goes on if it breaks off some events after a wrong id."""
        async with two_engines(tmp_path) as (harness, first, second):
            first.wrong_ids, first.stop_after = {1: "9"}, 3
            body = await resumed_body(harness, first, second)
            assert body == event(1, "9") + SOUND[len(event(1)) :]
            assert second.runs == ["r1"]

    # Guards against pieces that are missing where two engines' parts are joined.
    @pytest.mark.parametrize(
        ("stop_after", "wrong_ids"), [(2, {3: "9"}), (2, {3: "1"}), (4, {5: "2"})]
    )
    async def test_wrong_id_where_parts_are_joined(
        self, tmp_path: Path, stop_after: int, wrong_ids: Mapping[int, str]
    ) -> None:
        """What does not follow on the events before it is not joined to them."""
        async with two_engines(tmp_path) as (harness, first, second):
            first.stop_after, second.wrong_ids = stop_after, wrong_ids
            with pytest.RaisesGroup(pytest.RaisesExc(LinkBroken)):
                await resumed_body(harness, first, second)

    async def test_wrong_id_after_the_join(self, tmp_path: Path) -> None:
        """Later events of the second engine are passed on unchanged."""
        async with two_engines(tmp_path) as (harness, first, second):
            first.stop_after, second.wrong_ids = 2, {4: "1"}
            body = await resumed_body(harness, first, second)
            assert body == b"".join(event(n, {4: "1"}.get(n)) for n in range(1, EVENTS + 1))

    @pytest.mark.parametrize("repeats_from", [1, 2, 3])
    async def test_repeated_events(self, tmp_path: Path, repeats_from: int) -> None:
        """Events that the second engine repeats are left out."""
        async with two_engines(tmp_path) as (harness, first, second):
            first.stop_after, second.repeats_from = 2, repeats_from
            assert await resumed_body(harness, first, second) == SOUND

    async def test_only_the_end_is_missing(self, tmp_path: Path) -> None:
        """An engine that has nothing to add ends the stream, also after it has repeated events."""
        for repeats_from in (None, 1):
            async with two_engines(tmp_path) as (harness, first, second):
                first.events, first.stop_after = EVENTS + 1, EVENTS
                second.repeats_from = repeats_from
                assert await resumed_body(harness, first, second) == SOUND
