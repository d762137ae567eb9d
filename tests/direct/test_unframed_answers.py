"""Answers with neither a length nor chunks, and bytes that never become an answer."""

from collections.abc import Callable
from pathlib import Path

import pytest
import trio

from chivehold.direct.plain_attempts import MAX_RESPONSE_BYTES
from chivehold.fakes.platform_upstream import ModelEngine
from chivehold.http_client import LinkError
from chivehold.http_client_connection import MAX_HEAD_BYTES
from tests.direct.harness import EntryHarness, running_entry, wait_until
from tests.direct.raw_upstream import Ending, RawUpstream, raw_upstream

PLAIN_BODY = b"the whole body"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
MOST_INTERIM_S = 2.0
"""Shorter than the timeout of the routes, which would end the call in any case."""
MOST_UNREAD_BYTES = 8 << 20
"""Sent bytes that may wait in the buffers of sockets when the entry closes a connection."""


def head(request_id: str, *fields: str) -> bytes:
    lines = [
        "HTTP/1.1 200 OK",
        f"x-chivehold-request-id: {request_id}",
        "x-chivehold-server-stamp: by.raw",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def unframed(request_id: str) -> bytes:
    return head(request_id) + PLAIN_BODY


def cut_chunk_size(request_id: str) -> bytes:
    return head(request_id, "transfer-encoding: chunked") + b"5"


def cut_head(request_id: str) -> bytes:
    return head(request_id)[:-10]


def endless_extension(request_id: str) -> bytes:
    return head(request_id, "transfer-encoding: chunked") + b"5;"


def events(count: int) -> bytes:
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, count + 1))


async def ask(harness: EntryHarness, path: str = "/short/a") -> int:
    """Send a request and return the status of its answer, 0 if there is no whole one."""
    try:
        return (await harness.call(path, "r1", "POST", b"x")).status
    except LinkError:
        return 0


class TestPlainAnswer:
    async def test_orderly_end_completes_it(self, tmp_path: Path) -> None:
        """An answer without a length ends with its connection, and its caller gets a length."""
        upstream = RawUpstream(unframed, Ending.ORDERLY)
        async with running_entry(tmp_path) as harness, raw_upstream(harness, "plain", upstream):
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            response = await harness.call("/post/a", "r1", "POST", b"x")
            assert response.status == 200
            assert response.body == PLAIN_BODY
            assert response.header("content-length") == str(len(PLAIN_BODY))

    # Guards against an answer that broke off and is passed on as if it were whole.
    @pytest.mark.parametrize(
        ("answer", "ending"),
        [
            (unframed, Ending.RESET),
            (cut_chunk_size, Ending.ORDERLY),
            (cut_chunk_size, Ending.RESET),
            (cut_head, Ending.ORDERLY),
            (cut_head, Ending.RESET),
            (cut_head, Ending.SILENT),
            (unframed, Ending.SILENT),
            (cut_head, Ending.ENDLESS),
            (cut_head, Ending.TRICKLE),
            (unframed, Ending.ENDLESS),
            (unframed, Ending.TRICKLE),
            (endless_extension, Ending.ENDLESS),
        ],
    )
    async def test_other_ends_break_it_off(
        self, tmp_path: Path, answer: Callable[[str], bytes], ending: Ending
    ) -> None:
        """The caller is told in time that nobody knows, and the connection is closed."""
        upstream = RawUpstream(answer, ending)
        async with running_entry(tmp_path) as harness, raw_upstream(harness, "plain", upstream):
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            with trio.fail_after(3.0):
                assert await ask(harness) in (502, 504)
            await trio.sleep(0.2)
            sent_bytes = upstream.sent_bytes
            await trio.sleep(0.3)
            assert upstream.sent_bytes == sent_bytes <= MAX_RESPONSE_BYTES + MOST_UNREAD_BYTES


class TestInterimResponses:
    async def test_are_passed_over(self, tmp_path: Path) -> None:
        """The response that follows a few of them counts."""
        upstream = RawUpstream(
            lambda request_id: 3 * INTERIM + unframed(request_id), Ending.ORDERLY
        )
        async with running_entry(tmp_path) as harness, raw_upstream(harness, "plain", upstream):
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            assert await ask(harness, "/post/a") == 200

    # Guards against interim responses without end, which keep the entry from all other work.
    @pytest.mark.parametrize("service", ["plain", "model"])
    async def test_without_end_break_the_call(self, tmp_path: Path, service: str) -> None:
        """The connection is closed long before the request's own time is up."""
        upstream = RawUpstream(lambda request_id: INTERIM, Ending.ENDLESS, INTERIM)
        async with running_entry(tmp_path) as harness, raw_upstream(harness, service, upstream):
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            with trio.fail_after(MOST_INTERIM_S):
                status = await ask(harness, "/post/a" if service == "plain" else "/tell/a")
            assert status in (0, 502)
            assert upstream.sent_bytes <= MAX_HEAD_BYTES + MOST_UNREAD_BYTES


def events_and(rest: bytes = b"") -> Callable[[str], bytes]:
    """Return an answer of an unframed stream: three events, and perhaps a part of a fourth."""
    return lambda request_id: head(request_id, "content-type: text/event-stream") + events(3) + rest


async def numbers_of(harness: EntryHarness, path: str) -> list[int] | None:
    """Return the numbers of a stream's events, or ``None`` if it broke off."""
    try:
        return await harness.events(path)
    except LinkError:
        return None


class TestStream:
    async def test_orderly_end_completes_it(self, tmp_path: Path) -> None:
        """A stream without chunks ends with its connection."""
        upstream = RawUpstream(events_and(), Ending.ORDERLY)
        async with running_entry(tmp_path) as harness, raw_upstream(harness, "model", upstream):
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            assert await numbers_of(harness, "/tell/a") == [1, 2, 3]

    # Guards against a stream that broke off and looks complete.
    @pytest.mark.parametrize(
        ("rest", "ending"),
        [
            (b"id: 4\ndata:", Ending.ORDERLY),
            (b"id: 4\ndata:", Ending.RESET),
            (b"", Ending.RESET),
        ],
    )
    async def test_other_ends_break_it_off(
        self, tmp_path: Path, rest: bytes, ending: Ending
    ) -> None:
        """The caller's stream is cut as well; no part of an event reaches it."""
        upstream = RawUpstream(events_and(rest), ending)
        async with running_entry(tmp_path) as harness, raw_upstream(harness, "model", upstream):
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            assert await numbers_of(harness, "/tell/a") is None

    # Guards against an engine whose bytes complete no event and keep a stream from being resumed.
    @pytest.mark.parametrize("ending", [Ending.TRICKLE, Ending.ENDLESS])
    async def test_bytes_without_an_event_are_no_progress(
        self, tmp_path: Path, ending: Ending
    ) -> None:
        """The stream goes on at another engine after the time without a new event."""
        upstream = RawUpstream(events_and(b"data: "), ending)
        async with running_entry(tmp_path) as harness, raw_upstream(harness, "model", upstream):
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            async with trio.open_nursery() as nursery:
                result: list[list[int] | None] = []

                async def ask_for_stream() -> None:
                    result.append(await numbers_of(harness, "/resume/a"))

                nursery.start_soon(ask_for_stream)
                await wait_until(lambda: upstream.requests)
                await harness.add_upstream(ModelEngine("d2", "decode"), "model")
            assert result == [[1, 2, 3, 4, 5]]
