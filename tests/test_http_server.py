from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing

from chivehold.asgi import (
    App,
    Receive,
    Scope,
    Send,
    end_response,
    header,
    read_body,
    respond,
    send_chunk,
    start_response,
    wait_for_disconnect,
)
from chivehold.http_client import HttpClient, LinkBroken, NothingSent
from chivehold.http_server import ServerLimits, serve_http

LIMITS = ServerLimits(drain_timeout_s=5.0)


@asynccontextmanager
async def serving(
    app: App, limits: ServerLimits = LIMITS, shutdown: trio.Event | None = None
) -> AsyncIterator[tuple[HttpClient, str]]:
    """Serve an application, and check that the server stops soon after the last request."""
    shutdown = trio.Event() if shutdown is None else shutdown
    stopped = trio.Event()
    async with trio.open_nursery() as nursery:

        async def run(task_status: trio.TaskStatus[str]) -> None:
            await serve_http(
                app, "127.0.0.1:0", limits=limits, shutdown=shutdown, task_status=task_status
            )
            stopped.set()

        address = await nursery.start(run)
        client = HttpClient()
        with trio.fail_after(10):
            yield client, address
        await client.aclose()
        shutdown.set()
        with trio.move_on_after(limits.drain_timeout_s / 2):
            await stopped.wait()
        assert stopped.is_set()


async def post(client: HttpClient, peer: str, body: bytes = b"") -> tuple[int, bytes]:
    response = await client.call(peer, "POST", "/x", step="test", timeout_s=5.0, body=body)
    return response.status, response.body


async def echo(scope: Scope, receive: Receive, send: Send) -> None:
    body = await read_body(receive, 1_000)
    await respond(send, 200, body + (header(scope, "host") or "").encode())


async def cancel_on_disconnect(receive: Receive, scope: trio.CancelScope) -> None:
    await wait_for_disconnect(receive)
    scope.cancel()


class PausedStream:
    """Streams two lines, the second after ``resume``, and detects the caller's disconnect."""

    def __init__(self) -> None:
        self.resume = trio.Event()
        self.disconnected = trio.Event()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        await read_body(receive, 0)
        await start_response(send, 200, "text/plain")
        await send_chunk(send, b"one\nt")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_disconnect, receive, nursery.cancel_scope)
            await self.resume.wait()
            await send_chunk(send, b"wo\n")
            await end_response(send)
            nursery.cancel_scope.cancel()

    async def _watch_disconnect(self, receive: Receive, scope: trio.CancelScope) -> None:
        await cancel_on_disconnect(receive, scope)
        self.disconnected.set()


class TestBodies:
    @pytest.mark.parametrize(
        ("size", "status"), [(0, 200), (1_000, 200), (1_001, 413), (5_000_000, 413)]
    )
    async def test_size_is_limited(self, size: int, status: int) -> None:
        """A body of any length over the limit gets a 413 error, and the next request is handled."""
        async with serving(echo) as (client, peer):
            got, body = await post(client, peer, b"x" * size)
            assert got == status
            assert status == 200 or b"too_large" in body
            assert (await post(client, peer, b"again"))[0] == 200

    async def test_unread_long_body_does_not_block_the_response(self) -> None:
        """A response sent without reading the body is completed."""

        async def refuse(scope: Scope, receive: Receive, send: Send) -> None:
            await trio.testing.wait_all_tasks_blocked(0.05)
            await respond(send, 401)

        async with serving(refuse) as (client, peer):
            assert (await post(client, peer, b"x" * 5_000_000))[0] == 401

    async def test_busy_listener_answers_503(self) -> None:
        """Requests over the limit get 503 while those in progress continue."""
        stream_app = PausedStream()
        async with (
            serving(stream_app, LIMITS._replace(max_requests=1)) as (client, peer),
            client.stream(peer, "POST", "/", step="test") as stream,
        ):
            assert await anext(stream) == [b"one"]
            assert (await post(client, peer))[0] == 503
            stream_app.resume.set()
            assert await anext(stream) == [b"two"]

    async def test_failing_application_answers_500(self) -> None:
        """An unexpected exception becomes a 500 response that does not reveal it."""

        async def fail(scope: Scope, receive: Receive, send: Send) -> None:
            raise ValueError("secret")

        async with serving(fail) as (client, peer):
            status, body = await post(client, peer)
            assert (status, b"secret" in body, b"internal" in body) == (500, False, True)


class TestStreams:
    async def test_disconnect_is_noticed(self) -> None:
        """The application is notified immediately when its caller closes the connection."""
        stream_app = PausedStream()
        async with serving(stream_app) as (client, peer):
            async with client.stream(peer, "POST", "/", step="test") as stream:
                assert await anext(stream) == [b"one"]
            with trio.fail_after(1):
                await stream_app.disconnected.wait()

    async def test_aborted_response_raises_link_broken(self) -> None:
        """A stream whose application fails midway raises ``LinkBroken`` in the client."""

        async def cut(scope: Scope, receive: Receive, send: Send) -> None:
            await start_response(send, 200, "text/plain")
            await send_chunk(send, b"one\n")
            raise ValueError

        async with (
            serving(cut) as (client, peer),
            client.stream(peer, "GET", "/", step="test") as stream,
        ):
            assert await anext(stream) == [b"one"]
            with pytest.raises(LinkBroken):
                await anext(stream)

    async def test_shutdown_waits_for_a_stream_and_refuses_new_calls(self) -> None:
        """A stream in progress is completed after the shutdown; new connections are refused."""
        stream_app, shutdown = PausedStream(), trio.Event()
        async with (
            serving(stream_app, shutdown=shutdown) as (client, peer),
            client.stream(peer, "POST", "/", step="test") as stream,
        ):
            assert await anext(stream) == [b"one"]
            shutdown.set()
            with pytest.raises(NothingSent) as caught:
                while True:
                    await post(HttpClient(), peer)
            assert (caught.value.step, caught.value.peer) == ("test", peer)
            stream_app.resume.set()
            assert [lines async for lines in stream] == [[b"two"]]

    async def test_shutdown_is_bounded(self) -> None:
        """A stream that does not end is aborted after the drain timeout."""
        shutdown = trio.Event()
        limits = LIMITS._replace(drain_timeout_s=0.4)
        async with (
            serving(PausedStream(), limits, shutdown) as (client, peer),
            client.stream(peer, "POST", "/", step="test") as stream,
        ):
            assert await anext(stream) == [b"one"]
            shutdown.set()
            with pytest.raises(LinkBroken):
                await anext(stream)

    async def test_frozen_caller_does_not_block_shutdown(self) -> None:
        """A caller that stops reading is disconnected, although writes cannot be cancelled."""

        async def flood(scope: Scope, receive: Receive, send: Send) -> None:
            await start_response(send, 200, "text/plain")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cancel_on_disconnect, receive, nursery.cancel_scope)
                while True:
                    await send_chunk(send, b"x" * 1_000_000)

        limits = LIMITS._replace(drain_timeout_s=5.0, send_stall_s=0.5)
        async with serving(flood, limits) as (_, peer):
            stream = await trio.open_tcp_stream("127.0.0.1", int(peer.split(":")[1]))
            await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert await stream.receive_some(10)
