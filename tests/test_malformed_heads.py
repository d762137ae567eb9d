import pytest

from chivehold.http_client import MAX_DETAIL_CHARS, HttpClient, LinkBroken, RawResponse
from tests.direct.raw_upstream import Ending, RawUpstream, raw_peer
from tests.malformed_heads import MALFORMED_HEADS
from tests.test_second_answers import ask

BODY = b"the body"


def upstream(head: bytes, fields: bytes = b"connection: close", body: bytes = BODY) -> RawUpstream:
    return RawUpstream(lambda request: head + b"\r\n" + fields + b"\r\n\r\n" + body, Ending.ORDERLY)


async def answer_of(peer: RawUpstream) -> tuple[RawResponse, bytes] | None:
    client = HttpClient()
    try:
        async with raw_peer(peer) as address:
            return await ask(client, address, "r1")
    finally:
        await client.aclose()


async def problem_of(peer: RawUpstream) -> str:
    """Send a request and return why its answer is none."""
    client = HttpClient()
    headers = [("x-chivehold-request-id", "r1")]
    try:
        async with raw_peer(peer) as address:
            try:
                await client.call(address, "GET", "/", step="ask", timeout_s=2.0, headers=headers)
            except LinkBroken as error:
                return error.detail
    finally:
        await client.aclose()
    return ""


class TestMalformedHead:
    # Guards against a head that is none in the protocol and whose answer is passed on.
    @pytest.mark.parametrize("head", MALFORMED_HEADS)
    @pytest.mark.parametrize("fields", [b"connection: close", b"content-length: 8"])
    async def test_answer_is_none(self, head: bytes, fields: bytes) -> None:
        """The call breaks, whatever else the head says."""
        assert await answer_of(upstream(head, fields)) is None

    # Guards against logs of whatever size a peer's head has.
    @pytest.mark.parametrize("size", [1_000, 90_000])
    async def test_problem_is_short(self, size: int) -> None:
        """The reason names what is wrong and quotes no more than the beginning of a line."""
        problem = await problem_of(upstream(b"HTTP/1.1 200 OK\r\nX A: " + b"1" * size))
        assert "illegal header line" in problem
        assert len(problem) <= MAX_DETAIL_CHARS + len("...")


class TestSoundHead:
    @pytest.mark.parametrize("status", [200, 299, 404, 503, 599])
    async def test_status(self, status: int) -> None:
        """All statuses of the protocol are answers."""
        answer = await answer_of(upstream(b"HTTP/1.1 %d Some Reason" % status))
        assert answer is not None
        assert (answer[0].status, answer[1]) == (status, BODY)

    async def test_blanks_within_a_value(self) -> None:
        """Blanks around and within a value are no part of a name."""
        answer = await answer_of(upstream(b"HTTP/1.1 200 OK\r\nX-A: \t 1  2 \t"))
        assert answer is not None
        assert dict(answer[0].headers)[b"x-a"] == b"1  2"

    @pytest.mark.parametrize("body", [b" x", b"{\n  1\r\n  }", b"\n\n \n\tx"])
    async def test_blanks_in_the_body(self, body: bytes) -> None:
        """Lines of the body may begin with blanks, also if they come with the head."""
        answer = await answer_of(upstream(b"HTTP/1.1 200 OK", body=body))
        assert answer is not None
        assert answer[1] == body
