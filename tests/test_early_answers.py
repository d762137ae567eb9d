"""Answers that come while the request is still being sent, from peers that read no more of it."""

from collections.abc import Callable
from typing import NamedTuple

import pytest
import trio

from chivehold.http_client import HttpClient, LinkBroken
from tests.direct.raw_upstream import LONG_BODY, Ending, RawUpstream, raw_peer

BODY = b"x" * 3_000
RESET = "Connection reset by peer"
MAX_WAIT_S = 10.0

Answer = Callable[[str], bytes]


def answer(*fields: str, body: bytes = BODY, version: str = "1.1") -> Answer:
    lines = [f"HTTP/{version} 200 OK", *fields]
    return lambda request_id: "\r\n".join(lines).encode() + b"\r\n\r\n" + body


UNFRAMED = [
    pytest.param(answer(), id="no length"),
    pytest.param(answer("connection: close"), id="close"),
    pytest.param(answer("content-type: text/event-stream"), id="events"),
    pytest.param(answer(version="1.0"), id="HTTP 1.0"),
]
FRAMED = [
    pytest.param(answer("content-length: 3000"), id="length"),
    pytest.param(
        answer("transfer-encoding: chunked", body=b"bb8\r\n" + BODY + b"\r\n0\r\n\r\n"),
        id="chunked",
    ),
]
CUT = [
    pytest.param(answer("content-length: 3001"), id="length"),
    pytest.param(
        answer("transfer-encoding: chunked", body=b"bb8\r\n" + BODY + b"\r\n"), id="chunked"
    ),
]


class Outcome(NamedTuple):
    """A whole answer's body, or why there is none."""

    body: bytes | None = None
    problem: str = ""


async def upload(answer: Answer, ending: Ending, size: int = len(LONG_BODY)) -> Outcome:
    """Send a request and read its answer."""
    client = HttpClient()
    headers = [(b"host", b"x"), (b"x-chivehold-request-id", b"r1")]
    try:
        async with raw_peer(RawUpstream(answer, ending, is_early=True)) as peer:
            return await _upload(client, peer, headers, LONG_BODY[:size])
    finally:
        await client.aclose()


async def _upload(
    client: HttpClient, peer: str, headers: list[tuple[bytes, bytes]], body: bytes
) -> Outcome:
    try:
        with trio.fail_after(MAX_WAIT_S):
            async with client.relay(
                peer, "POST", b"/", step="ask", headers=headers, body=body
            ) as response:
                return Outcome(b"".join([chunk async for chunk in response.chunks]))
    except LinkBroken as error:
        return Outcome(problem=error.detail)


class TestBrokenConnection:
    # Guards against a part of an answer that counts as whole: the failed write has taken the
    # socket's error, and the reads after it report a plain end.
    @pytest.mark.parametrize("answer", UNFRAMED)
    async def test_answer_without_a_length(self, answer: Answer) -> None:
        """Nothing shows that an answer is whole if its connection was reset."""
        assert RESET in (await upload(answer, Ending.RESET)).problem

    async def test_answer_of_a_peer_that_stops_reading(self) -> None:
        """The same if the write fails as the peer has taken no bytes for too long."""
        assert "timed out" in (await upload(answer(), Ending.SILENT)).problem

    @pytest.mark.parametrize("answer", [*UNFRAMED, *CUT])
    async def test_after_the_whole_request(self, answer: Answer) -> None:
        """A read reports the reset if the request was sent before it."""
        assert RESET in (await upload(answer, Ending.RESET, size=10)).problem

    @pytest.mark.parametrize("answer", CUT)
    async def test_cut_answer(self, answer: Answer) -> None:
        """An answer that has not reached its stated end is broken in any case."""
        assert (await upload(answer, Ending.RESET)).body is None

    @pytest.mark.parametrize("answer", FRAMED)
    async def test_whole_answer(self, answer: Answer) -> None:
        """An answer that has reached its stated end is whole, however its connection ends."""
        assert (await upload(answer, Ending.RESET)).body == BODY


class TestOrderlyEnd:
    @pytest.mark.parametrize("answer", UNFRAMED)
    async def test_rest_of_the_request_is_reset(self, answer: Answer) -> None:
        """An answer that has ended before the reset is whole."""
        assert (await upload(answer, Ending.RESET_LATER)).body == BODY
