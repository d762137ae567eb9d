import gc
from collections.abc import Iterator
from contextlib import asynccontextmanager, suppress

import h11
import pytest
import trio
import trio.testing
from hypercorn.protocol.h11 import H11Protocol

from chivehold.asgi import (
    Receive,
    Scope,
    Send,
    end_response,
    read_body,
    respond,
    send_chunk,
    start_response,
)
from chivehold.http_protocol import RequestParser
from chivehold.http_server import ServerLimits
from chivehold.http_server_connection import Connection
from tests.test_http_server import LIMITS, PausedStream, echo, post, serving

HTTP_1_0 = b"GET / HTTP/1.0\r\nhost: x\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nhost: x\r\n"
WEBSOCKET = (
    b"connection: upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\n"
    b"sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
)
LONG_KEEP_ALIVE = LIMITS._replace(keep_alive_s=600.0)


async def connect(peer: str) -> trio.SocketStream:
    host, _, port = peer.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def read_to_end(stream: trio.SocketStream) -> bytes:
    received = bytearray()
    with suppress(trio.BrokenResourceError):
        async for chunk in stream:
            received += chunk
    return bytes(received)


async def exchange(peer: str, request: bytes) -> bytes:
    """Send bytes on a new connection and return all that is answered until it is closed."""
    async with await connect(peer) as stream:
        with suppress(trio.BrokenResourceError):
            await stream.send_all(request)
        return await read_to_end(stream)


async def living_tasks() -> int:
    """Return the number of tasks once none of them has anything to do."""
    await trio.testing.wait_all_tasks_blocked(0.1)
    return trio.lowlevel.current_statistics().tasks_living


async def is_closed(stream: trio.SocketStream) -> bool:
    with trio.move_on_after(0.2):
        try:
            return await stream.receive_some() == b""
        except trio.BrokenResourceError:
            return True
    return False


class TestIsolation:
    async def test_failing_connection_does_not_end_the_others(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an exception in one connection that ends a listener."""
        read_data = Connection._read_data

        async def fail_second(connection: Connection) -> None:
            if next(numbers) == 1:
                raise ValueError("a fault of the server")
            await read_data(connection)

        numbers: Iterator[int] = iter(range(100))
        monkeypatch.setattr(Connection, "_read_data", fail_second)
        stream_app = PausedStream()
        async with (
            serving(stream_app) as (client, peer),
            client.stream(peer, "POST", "/", step="test") as stream,
        ):
            assert await anext(stream) == [b"one"]
            assert await exchange(peer, b"") == b""
            stream_app.resume.set()
            assert await anext(stream) == [b"two"]

    async def test_refused_connection_is_forgotten_at_once(self) -> None:
        """Guards against refused connections that stay in memory until their idle timeout."""
        async with serving(echo, LONG_KEEP_ALIVE) as (_, peer):
            tasks = await living_tasks()
            for _ in range(5):
                assert (await exchange(peer, b"\r\n\r\n")).startswith(b"HTTP/1.1 400 ")
            assert await living_tasks() == tasks

    async def test_buffers_of_a_closed_connection_are_freed(self) -> None:
        """Guards against buffers that stay in memory until the garbage collector has run."""
        gc.collect()
        gc.disable()
        try:
            async with serving(echo) as (_, peer):
                assert (await exchange(peer, b"\r\n\r\n")).startswith(b"HTTP/1.1 400 ")
                await exchange(peer, GET)
                await living_tasks()
                assert not [item for item in gc.get_objects() if isinstance(item, H11Protocol)]
        finally:
            gc.enable()

    async def test_closed_connection_is_forgotten_at_once(self) -> None:
        """The same for a connection that its client closes between two requests."""
        async with serving(echo, LONG_KEEP_ALIVE) as (_, peer):
            tasks = await living_tasks()
            async with await connect(peer) as stream:
                await stream.send_all(GET + b"\r\n")
                assert (await stream.receive_some()).startswith(b"HTTP/1.1 200 ")
            assert await living_tasks() == tasks

    @pytest.mark.parametrize("count", [1, 40])
    async def test_failure_midway_with_an_unread_body(self, count: int) -> None:
        """Guards against a connection that stays open as its unread body fills the queue."""

        async def cut(scope: Scope, receive: Receive, send: Send) -> None:
            await start_response(send, 200, "text/plain")
            await send_chunk(send, b"one\n")
            await trio.sleep(0.1)
            raise ValueError

        async with serving(cut) as (_, peer):
            body = b"x" * (count * 10_000)
            head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % len(body)
            with trio.fail_after(5):
                await exchange(peer, head + body)


async def cut_off(scope: Scope, receive: Receive, send: Send) -> None:
    await start_response(send, 200, "text/plain")
    await send_chunk(send, b"one\n")
    await trio.sleep(0.1)
    raise ValueError


async def never_end(scope: Scope, receive: Receive, send: Send) -> None:
    await start_response(send, 200, "text/plain")
    await send_chunk(send, b"one\n")
    await trio.sleep_forever()


async def whole(scope: Scope, receive: Receive, send: Send) -> None:
    await start_response(send, 200, "text/plain")
    await send_chunk(send, b"one\n")
    await end_response(send)


async def is_reset(stream: trio.SocketStream) -> bool:
    """Read a response of one line and return whether its connection is reset."""
    received = bytearray()
    while not received.endswith(b"one\n"):
        received += await stream.receive_some()
    try:
        return bool(await stream.receive_some())
    except trio.BrokenResourceError:
        return True


class TestHttp10:
    # Guards against a response that breaks off and looks complete to a client of HTTP/1.0, to which
    # the end of the connection is the end of the response.
    async def test_response_that_breaks_off(self) -> None:
        """The connection is reset."""
        async with serving(cut_off) as (_, peer), await connect(peer) as stream:
            await stream.send_all(HTTP_1_0)
            assert await is_reset(stream)

    async def test_response_that_a_shutdown_cuts_off(self) -> None:
        """The same at the end of the time for responses in progress."""
        shutdown = trio.Event()
        limits = LIMITS._replace(drain_timeout_s=0.1)
        async with serving(never_end, limits, shutdown) as (_, peer), await connect(peer) as stream:
            await stream.send_all(HTTP_1_0)
            shutdown.set()
            assert await is_reset(stream)

    async def test_whole_response(self) -> None:
        """The connection ends in an orderly way."""
        async with serving(whole) as (_, peer), await connect(peer) as stream:
            await stream.send_all(HTTP_1_0)
            assert not await is_reset(stream)


class TestTrailers:
    def test_trailers_are_dropped(self) -> None:
        """Guards against trailers that take many times their size until their request ends."""
        parser = RequestParser(1_000)
        parser.receive_data(GET + b"transfer-encoding: chunked\r\n\r\n0\r\na: b\r\n\r\n")
        assert isinstance(parser.next_event(), h11.Request)
        assert parser.next_event() == h11.EndOfMessage()


class TestFoldedLines:
    # Guards against a request that is hidden in what its client takes for the body of another.
    @pytest.mark.parametrize("fold", [b"\r\n ", b"\r\n\t", b"\n "])
    async def test_request_is_refused(self, fold: bytes) -> None:
        """A field line that begins with a blank is no part of the value before it."""
        head = b"POST / HTTP/1.1\r\nhost: x\r\nx-a: 1" + fold + b"content-length: %d\r\n\r\n"
        hidden = GET + b"\r\n"
        async with serving(echo) as (_, peer):
            answer = await exchange(peer, head % len(hidden) + hidden)
            assert answer.startswith(b"HTTP/1.1 400 ")
            assert answer.count(b"HTTP/1.1 ") == 1

    async def test_second_request_on_a_connection(self) -> None:
        """The same for a head that comes with the end of another request."""
        folded = b"GET / HTTP/1.1\r\nhost: x\r\nx-a: 1\r\n b: 2\r\n\r\n"
        async with serving(echo) as (_, peer):
            answer = await exchange(peer, GET + b"\r\n" + folded)
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert b"HTTP/1.1 400 " in answer

    async def test_body_with_such_lines(self) -> None:
        """Lines of a body may begin with blanks, also if they come with the head."""
        body = b"{\n  1\n\n }"
        head = b"POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: %d\r\n\r\n"
        async with serving(echo) as (_, peer):
            answer = await exchange(peer, head % len(body) + body)
            assert answer.endswith(body + b"x")


class TestOtherProtocols:
    async def test_websocket_is_refused(self) -> None:
        """Guards against bytes behind a WebSocket handshake that end the process."""
        async with serving(echo) as (client, peer):
            answer = await exchange(peer, GET + WEBSOCKET + b"bytes" * 1_000)
            assert answer.startswith(b"HTTP/1.1 403 ")
            assert (await post(client, peer))[0] == 200

    async def test_upgrade_to_http2_is_ignored(self) -> None:
        """Guards against a switch to HTTP/2; the request is answered in HTTP/1.1."""
        upgrade = b"connection: upgrade, http2-settings\r\nupgrade: h2c\r\nhttp2-settings: AA\r\n"
        async with serving(echo) as (_, peer), await connect(peer) as stream:
            await stream.send_all(GET + upgrade + b"\r\n")
            assert (await stream.receive_some()).startswith(b"HTTP/1.1 200 ")

    async def test_tunnel_is_refused(self) -> None:
        """Guards against a tunnel whose closed connection is kept for ever."""
        async with serving(echo) as (_, peer):
            tasks = await living_tasks()
            answer = await exchange(peer, b"CONNECT a:1 HTTP/1.1\r\nhost: a:1\r\n\r\nbytes")
            assert answer.startswith(b"HTTP/1.1 404 ")
            assert await living_tasks() == tasks

    async def test_upgrade_with_bytes_is_forgotten(self) -> None:
        """The same for bytes behind a request for an upgrade whose response closes."""

        async def close(scope: Scope, receive: Receive, send: Send) -> None:
            await respond(send, 200, headers=[("connection", "close")])

        upgrade = GET + b"connection: upgrade\r\nupgrade: x\r\n\r\nbytes"
        async with serving(close) as (_, peer):
            tasks = await living_tasks()
            assert (await exchange(peer, upgrade)).startswith(b"HTTP/1.1 200 ")
            assert await living_tasks() == tasks

    async def test_http2_preface_is_refused(self) -> None:
        """The version is refused and the connection closed."""
        async with serving(echo) as (_, peer):
            answer = await exchange(peer, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 505 ")


class TestLimits:
    async def test_new_connection_takes_the_place_of_an_idle_one(self) -> None:
        """Guards against silent connections that keep ordinary callers out."""
        async with serving(echo, LONG_KEEP_ALIVE._replace(max_connections=2)) as (client, peer):
            silent = [await connect(peer) for _ in range(2)]
            assert (await post(client, peer))[0] == 200
            assert [await is_closed(stream) for stream in silent] == [True, False]
            for stream in silent:
                await stream.aclose()

    async def test_connection_above_the_limit_is_closed_unread(self) -> None:
        """With a request on each connection a new one is closed before its request is read."""
        stream_app = PausedStream()
        async with (
            serving(stream_app, LIMITS._replace(max_connections=1)) as (client, peer),
            client.stream(peer, "POST", "/", step="test") as stream,
        ):
            assert await anext(stream) == [b"one"]
            assert await exchange(peer, b"") == b""
            stream_app.resume.set()
            assert await anext(stream) == [b"two"]

    async def test_memory_of_heads_is_limited(self) -> None:
        """Guards against many header fields that fill the memory; a single request is served."""
        stream_app = PausedStream()
        fields = {f"x-{number}": "a" for number in range(50)}
        limits: ServerLimits = LIMITS._replace(max_held_head_bytes=10_000)
        async with (
            serving(stream_app, limits) as (client, peer),
            client.stream(peer, "POST", "/", step="test", headers=fields.items()) as stream,
        ):
            assert await anext(stream) == [b"one"]
            assert (await post(client, peer))[0] == 503
            stream_app.resume.set()
            assert await anext(stream) == [b"two"]

    async def test_slow_body_gives_way(self) -> None:
        """Guards against bodies held back that keep ordinary callers out."""
        held_back = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nx"
        async with (
            serving(echo, LIMITS._replace(max_requests=1)) as (client, peer),
            await connect(peer) as stream,
        ):
            await stream.send_all(held_back)
            assert (await post(client, peer))[0] == 503
            await trio.sleep(1.1)
            assert (await post(client, peer))[0] == 200
            assert (await read_to_end(stream)).startswith(b"HTTP/1.1 408 ")

    async def test_request_that_gives_way_keeps_its_place_until_it_ends(self) -> None:
        """Guards against more requests than the limit while one that gives way does not end."""
        ended = trio.Event()

        async def read_one_piece(scope: Scope, receive: Receive, send: Send) -> None:
            if scope["path"] == "/slow":
                await receive()
                await ended.wait()
            await respond(send, 200, b"done")

        held_back = b"POST /slow HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nx"
        async with (
            serving(read_one_piece, LIMITS._replace(max_requests=1)) as (client, peer),
            await connect(peer) as stream,
        ):
            await stream.send_all(held_back)
            await trio.sleep(1.1)
            assert (await post(client, peer))[0] == 503
            ended.set()
            assert (await read_to_end(stream)).startswith(b"HTTP/1.1 200 ")
            assert (await post(client, peer))[0] == 200

    async def test_trickling_reader_is_disconnected(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a client that keeps an answer in memory by reading a little of it."""
        ended = trio.Event()

        async def answer(scope: Scope, receive: Receive, send: Send) -> None:
            await respond(send, 200, b"x" * 4_000_000)
            ended.set()

        monkeypatch.setattr("chivehold.http_server_connection.SEND_TIMEOUT_S", 0.5)
        monkeypatch.setattr("chivehold.http_server_connection.MIN_SEND_BYTES_PER_S", 100_000_000)
        async with serving(answer) as (_, peer), await connect(peer) as stream:
            await stream.send_all(GET + b"\r\n")
            with trio.fail_after(5):
                while not ended.is_set():
                    await stream.receive_some(100)
                    await trio.sleep(0.05)

    async def test_requests_sent_ahead_are_not_read(self) -> None:
        """Guards against requests sent ahead that fill the memory while one is in progress."""
        received = 0
        resume = trio.Event()

        async def slow(scope: Scope, receive: Receive, send: Send) -> None:
            nonlocal received
            received += 1
            await read_body(receive, 100_000)
            await resume.wait()
            await respond(send, 200)

        request = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 60000\r\n\r\n" + b"x" * 60_000
        async with serving(slow) as (_, peer), flooded(peer, request) as sent:
            await trio.sleep(0.3)
            assert received == 1
            assert sent[0] < 2_000_000
            resume.set()


@asynccontextmanager
async def flooded(peer: str, request: bytes):
    """Send a request again and again; yields the number of bytes that were taken up."""
    sent = [0]

    async def send_all(stream: trio.SocketStream) -> None:
        while True:
            sent[0] += await stream.socket.send(request)

    async with await connect(peer) as stream, trio.open_nursery() as nursery:
        nursery.start_soon(send_all, stream)
        yield sent
        nursery.cancel_scope.cancel()
