"""Upstreams that answer a long upload at once, without a length, and reset the connection."""

from pathlib import Path

import pytest
import trio

from chivehold.fakes.platform_upstream import ModelEngine, PlainUpstream
from chivehold.http_client import LinkError
from tests.direct.harness import ROUTES, EntryHarness, running_entry, wait_until
from tests.direct.raw_upstream import (
    LONG_BODY,
    Ending,
    RawUpstream,
    add_second_upstream,
    raw_upstream,
)

SOUND_EVENTS = [1, 2, 3, 4, 5]


def head(request_id: str) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nx-chivehold-server-stamp: by.raw\r\n"
        b"x-chivehold-request-id: %s\r\n\r\n" % request_id.encode()
    )


def part_of_a_body(request_id: str) -> bytes:
    return head(request_id) + b"x" * 3_000


def refusal(request_id: str) -> bytes:
    status = b"HTTP/1.1 503 Full\r\nx-chivehold-not-run: 1"
    return head(request_id).replace(b"HTTP/1.1 200 OK", status) + b"a part"


def part_of_a_stream(request_id: str) -> bytes:
    return head(request_id) + b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 4))


async def allow_uploads(harness: EntryHarness) -> None:
    harness.configure(2, ROUTES, max_body_bytes=len(LONG_BODY))
    await wait_until(lambda: harness.entry.dump()["configuration"] == 2)
    await wait_until(lambda: harness.entry.dump()["upstreams"])


class TestPlainAnswer:
    # Guards against a part of an answer that is passed on as a whole one.
    @pytest.mark.parametrize("path", ["/post/a", "/get/a"])
    async def test_caller_is_told_that_it_broke_off(self, tmp_path: Path, path: str) -> None:
        """Without another upstream the caller gets a failure that promises nothing."""
        upstream = RawUpstream(part_of_a_body, Ending.RESET, is_early=True)
        async with running_entry(tmp_path) as harness, raw_upstream(harness, "plain", upstream):
            await allow_uploads(harness)
            assert (await harness.call(path, "r1", "POST", LONG_BODY)).status == 502
            assert upstream.requests == 1

    async def test_idempotent_request_is_repeated(self, tmp_path: Path) -> None:
        """The caller gets the answer of another upstream."""
        upstream = RawUpstream(part_of_a_body, Ending.RESET, is_early=True)
        async with running_entry(tmp_path) as harness, raw_upstream(harness, "plain", upstream):
            await allow_uploads(harness)
            async with trio.open_nursery() as nursery:
                second = PlainUpstream("second")
                nursery.start_soon(add_second_upstream, harness, upstream, second, "plain")
                response = await harness.call("/get/a", "r1", "POST", LONG_BODY)
            assert response.status == 200
            assert response.header("x-chivehold-server-stamp") != "by.raw"
            assert upstream.requests == 1


class TestEarlyRefusal:
    # Guards against a refusal that counts as a request whose outcome nobody knows, as the rest of
    # its body is missing.
    async def test_refused_request_is_repeated(self, tmp_path: Path) -> None:
        """A request that is not idempotent is served by another upstream."""
        upstream = RawUpstream(refusal, Ending.RESET, is_early=True)
        async with running_entry(tmp_path) as harness, raw_upstream(harness, "plain", upstream):
            await allow_uploads(harness)
            async with trio.open_nursery() as nursery:
                second = PlainUpstream("second")
                nursery.start_soon(add_second_upstream, harness, upstream, second, "plain")
                # The route of /post/ allows one run, and a refused request has not run.
                response = await harness.call("/post/a", "r1", "POST", LONG_BODY)
            assert response.status == 200
            assert upstream.requests == 1

    async def test_caller_may_come_back(self, tmp_path: Path) -> None:
        """Without another upstream the caller is told that the request has not run."""
        upstream = RawUpstream(refusal, Ending.RESET, is_early=True)
        async with running_entry(tmp_path) as harness, raw_upstream(harness, "plain", upstream):
            await allow_uploads(harness)
            response = await harness.call("/post/a", "r1", "POST", LONG_BODY)
            assert response.status == 503
            assert response.header("retry-after") is not None


class TestStream:
    # Guards against a stream that is cut after a whole event and ends as complete.
    @pytest.mark.parametrize("path", ["/tell/a", "/resume/a"])
    async def test_caller_is_cut_off_as_well(self, tmp_path: Path, path: str) -> None:
        """Without another engine the caller's stream breaks off."""
        upstream = RawUpstream(part_of_a_stream, Ending.RESET, is_early=True)
        async with running_entry(tmp_path) as harness, raw_upstream(harness, "model", upstream):
            await allow_uploads(harness)
            with pytest.raises(LinkError):
                await harness.events(path, prompt=LONG_BODY)
            assert upstream.requests == 1

    async def test_resumable_stream_goes_on(self, tmp_path: Path) -> None:
        """The stream is resumed at another engine."""
        upstream = RawUpstream(part_of_a_stream, Ending.RESET, is_early=True)
        async with running_entry(tmp_path) as harness, raw_upstream(harness, "model", upstream):
            await allow_uploads(harness)
            async with trio.open_nursery() as nursery:
                second = ModelEngine("second", "decode")
                nursery.start_soon(add_second_upstream, harness, upstream, second, "model")
                assert await harness.events("/resume/a", prompt=LONG_BODY) == SOUND_EVENTS
            assert upstream.requests == 1
