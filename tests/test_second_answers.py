"""Connections on which a peer sends bytes of a second answer to an earlier request."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import pytest
import trio

from chivehold.http_client import HttpClient, LinkBroken, RawResponse
from tests.direct.stuttering_upstream import Script, StutteringUpstream, Turn, answer

BODY = b"the body of the first answer"
FAILURE = b"the upstream failed"
UNFRAMED = b"a body that ends with its connection"
WHOLE = len(answer(200, "r1", BODY))
HEAD = WHOLE - len(BODY)


@asynccontextmanager
async def peer(script: Script) -> AsyncIterator[tuple[str, StutteringUpstream]]:
    upstream = StutteringUpstream(script, pause_s=0.01)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    host, port = listeners[0].socket.getsockname()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, upstream.handle, listeners)
        yield f"{host}:{port}", upstream
        nursery.cancel_scope.cancel()


async def ask(client: HttpClient, address: str, request: str) -> tuple[RawResponse, bytes] | None:
    """Send a request and return the response and its body, or ``None`` if it broke."""
    headers = [(b"host", b"x"), (b"x-chivehold-request-id", request.encode())]
    try:
        async with client.relay(address, "GET", b"/", step="ask", headers=headers) as response:
            return response, b"".join([chunk async for chunk in response.chunks])
    except LinkBroken:
        return None


def next_answer(is_framed: bool, request: str) -> Sequence[bytes]:
    """Return what a peer sends for the second request; an empty part closes the connection."""
    if is_framed:
        return [answer(500, request, FAILURE, "by.next")]
    return [answer(200, request, None, "by.next") + UNFRAMED, b""]


def is_own(response: RawResponse, body: bytes, is_framed: bool) -> bool:
    return (response.status, body) == ((500, FAILURE) if is_framed else (200, UNFRAMED))


class TestBytesAfterAnAnswer:
    # Guards against bytes that stay in the parser and become the beginning of the next answer.
    @pytest.mark.parametrize("is_framed", [True, False])
    async def test_in_the_same_packet(self, is_framed: bool) -> None:
        """A connection is not used again if anything followed the answer."""
        for cut in range(1, WHOLE + 1):

            def script(turn: Turn, cut: int = cut) -> Sequence[bytes]:
                if turn.request == "r1":
                    return [answer(200, "r1", BODY) + answer(200, "r1", BODY)[:cut]]
                return next_answer(is_framed, turn.request)

            client = HttpClient()
            async with peer(script) as (address, upstream):
                first = await ask(client, address, "r1")
                assert first is not None and first[1] == BODY
                second = await ask(client, address, "r2")
                assert second is not None and is_own(*second, is_framed), cut
                assert upstream.connections == 2
            await client.aclose()

    async def test_while_the_connection_is_idle(self) -> None:
        """A connection is not used again if anything has arrived since the answer."""
        for cut in (1, 30, HEAD, WHOLE):

            def script(turn: Turn, cut: int = cut) -> Sequence[bytes]:
                return [answer(200, turn.request, BODY), answer(200, "r1", BODY)[:cut]]

            client = HttpClient()
            async with peer(script) as (address, upstream):
                await ask(client, address, "r1")
                await trio.sleep(0.05)
                second = await ask(client, address, "r2")
                assert (
                    second is not None
                    and dict(second[0].headers)[b"x-chivehold-request-id"] == b"r2"
                )
                assert upstream.connections == 2
            await client.aclose()

    async def test_sound_connection_is_reused(self) -> None:
        """A connection is used again after an answer that nothing follows."""
        client = HttpClient()
        async with peer(lambda turn: [answer(200, turn.request, BODY)]) as (address, upstream):
            for number in range(5):
                assert await ask(client, address, f"r{number}") is not None
            assert upstream.connections == 1
        await client.aclose()


class TestBytesBeforeAnAnswer:
    # Guards against an answer that is read with the status, or the length, of another one.
    @pytest.mark.parametrize("is_framed", [True, False])
    @pytest.mark.parametrize("is_apart", [True, False])
    async def test_after_the_request_was_sent(self, is_framed: bool, is_apart: bool) -> None:
        """What a part of another head is merged with is no answer, wherever it was cut."""
        for cut in range(1, HEAD):

            def script(turn: Turn, cut: int = cut) -> Sequence[bytes]:
                if turn.request == "r1":
                    return [answer(200, "r1", BODY)]
                extra, own = answer(200, "r1", BODY)[:cut], next_answer(is_framed, turn.request)
                return [extra, *own] if is_apart else [extra + own[0], *own[1:]]

            client = HttpClient()
            async with peer(script) as (address, _):
                await ask(client, address, "r1")
                assert await ask(client, address, "r2") is None, cut
            await client.aclose()

    async def test_field_that_quotes_a_head(self) -> None:
        """A first answer cannot be merged with an earlier one, whatever its fields say."""
        client = HttpClient()
        fields = ["x-cause: the other side said HTTP/1.1 503 Busy"]
        async with peer(lambda turn: [answer(502, turn.request, BODY, fields=fields)]) as (
            address,
            _,
        ):
            response = await ask(client, address, "r1")
            assert response is not None and response[1] == BODY
        await client.aclose()
