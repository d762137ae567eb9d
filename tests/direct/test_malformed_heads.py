"""Upstreams that send a head which is none in the protocol."""

import logging
from pathlib import Path

import pytest
import trio

from chivehold.fakes.platform_upstream import ModelEngine, PlainUpstream
from tests.direct.harness import EntryHarness, running_entry, wait_until
from tests.direct.raw_upstream import Ending, RawUpstream, add_second_upstream, raw_upstream
from tests.malformed_heads import MALFORMED_HEADS

FOLDED = b"HTTP/1.1 200 OK\r\nX-A: 1\r\n Content-Length: 2"
NO_STATUS = b"HTTP/1.1 000 Trouble"


def upstream(head: bytes) -> RawUpstream:
    def answer(request_id: str) -> bytes:
        fields = b"x-chivehold-server-stamp: by.raw\r\nx-chivehold-request-id: "
        return head + b"\r\n" + fields + request_id.encode() + b"\r\n\r\n{}"

    return RawUpstream(answer, Ending.ORDERLY)


async def wait_for_upstream(harness: EntryHarness) -> None:
    await wait_until(lambda: harness.entry.dump()["upstreams"])


class TestPlainAnswer:
    # Guards against a head that is none in the protocol and whose answer is passed on.
    @pytest.mark.parametrize("head", MALFORMED_HEADS)
    async def test_caller_gets_a_failure(
        self, tmp_path: Path, head: bytes, caplog: pytest.LogCaptureFixture
    ) -> None:
        """The failure promises nothing, the request is sent once, and one line says why."""
        raw = upstream(head)
        async with running_entry(tmp_path) as harness, raw_upstream(harness, "plain", raw):
            await wait_for_upstream(harness)
            with caplog.at_level(logging.INFO):
                response = await harness.call("/post/a", "r1", "POST", b"x")
            assert response.status == 502
            assert response.header("x-chivehold-server-stamp") is None
            assert raw.requests == 1
        failures = [line for line in caplog.records if line.getMessage() == "attempt failed"]
        assert len(failures) == 1
        assert "RemoteProtocolError" in failures[0].event_fields["detail"]

    @pytest.mark.parametrize("head", [NO_STATUS, FOLDED])
    async def test_idempotent_request_is_repeated(self, tmp_path: Path, head: bytes) -> None:
        """The caller gets the answer of another upstream."""
        raw = upstream(head)
        async with running_entry(tmp_path) as harness, raw_upstream(harness, "plain", raw):
            await wait_for_upstream(harness)
            async with trio.open_nursery() as nursery:
                second = PlainUpstream("second")
                nursery.start_soon(add_second_upstream, harness, raw, second, "plain")
                response = await harness.call("/get/a")
            assert response.status == 200
            assert response.header("x-chivehold-server-stamp") != "by.raw"
            assert raw.requests == 1


class TestStream:
    @pytest.mark.parametrize("head", [NO_STATUS, FOLDED])
    async def test_caller_gets_a_failure(self, tmp_path: Path, head: bytes) -> None:
        """The same for a stream that has not begun."""
        raw = upstream(head)
        async with running_entry(tmp_path) as harness, raw_upstream(harness, "model", raw):
            await wait_for_upstream(harness)
            assert (await harness.call("/tell/a", "r1", "POST", b"x")).status == 502
            assert raw.requests == 1

    @pytest.mark.parametrize("head", [NO_STATUS, FOLDED])
    async def test_resumable_stream_is_served_by_another(self, tmp_path: Path, head: bytes) -> None:
        """A stream that may be repeated begins at another engine."""
        raw = upstream(head)
        async with running_entry(tmp_path) as harness, raw_upstream(harness, "model", raw):
            await wait_for_upstream(harness)
            async with trio.open_nursery() as nursery:
                second = ModelEngine("second", "decode")
                nursery.start_soon(add_second_upstream, harness, raw, second, "model")
                assert await harness.events("/resume/a") == [1, 2, 3, 4, 5]
            assert raw.requests == 1


class TestControlCall:
    # Guards against an answer to a call that is no request and that is believed.
    @pytest.mark.parametrize("head", MALFORMED_HEADS)
    async def test_reservation_is_made_at_another_engine(self, tmp_path: Path, head: bytes) -> None:
        """The engine gets no request."""
        requests: list[str] = []

        def answer(request_id: str) -> bytes:
            requests.append(request_id)
            return head + b'\r\nconnection: close\r\n\r\n{"hold": "h"}'

        raw = RawUpstream(answer, Ending.ORDERLY, answers_calls=True)
        async with running_entry(tmp_path) as harness, raw_upstream(harness, "model", raw):
            await wait_for_upstream(harness)
            async with trio.open_nursery() as nursery:
                second = ModelEngine("second", "decode")
                nursery.start_soon(add_second_upstream, harness, raw, second, "model")
                assert await harness.events("/tell/a") == [1, 2, 3, 4, 5]
            assert set(requests) == {""}
