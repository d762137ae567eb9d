import pytest
import trio

from chivehold.http_client import AnswerTooLarge, ClientLimits, HttpClient, LinkBroken, NothingSent

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


async def call_raw_peer(
    response_bytes: bytes | None, limits: ClientLimits, timeout_s: float
) -> bytes:
    """Call a peer that sends the bytes and closes, or that never responds if ``None``."""
    async with trio.open_nursery() as nursery:

        async def handle(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            if response_bytes is None:
                await trio.sleep_forever()
            await stream.send_all(response_bytes or b"")

        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, handle, [listener])
        peer = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        try:
            client = HttpClient(limits)
            response = await client.call(peer, "POST", "/", step="ask", timeout_s=timeout_s)
            return response.body
        finally:
            nursery.cancel_scope.cancel()


class TestCall:
    @pytest.mark.parametrize(
        ("response_bytes", "error"),
        [
            (b"", LinkBroken),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", LinkBroken),
            (b"not http\r\n\r\n", LinkBroken),
            (HEAD + b"x" * 101, AnswerTooLarge),
            (None, LinkBroken),
        ],
    )
    async def test_failures_after_sending_are_link_broken(
        self, response_bytes: bytes | None, error: type[LinkBroken]
    ) -> None:
        """Failures after the peer has read the request never raise ``NothingSent``."""
        with pytest.RaisesGroup(pytest.RaisesExc(error)) as caught, trio.fail_after(5):
            await call_raw_peer(response_bytes, ClientLimits(max_answer_bytes=100), 0.3)
        assert caught.value.exceptions[0].step == "ask"

    # Guards against a UnicodeEncodeError that callers do not handle and that ends the process.
    @pytest.mark.parametrize(
        ("path", "headers"), [("/caf\u00e9", []), ("/", [("x-name", "\u2603")])]
    )
    async def test_request_that_cannot_be_sent(
        self, path: str, headers: list[tuple[str, str]]
    ) -> None:
        """A request with characters that cannot be encoded raises ``NothingSent``."""
        with pytest.raises(NothingSent):
            await HttpClient().call(
                "127.0.0.1:1", "GET", path, step="ask", timeout_s=1.0, headers=headers
            )

    async def test_complete_response(self) -> None:
        """A response as large as the limit is returned completely."""
        response = await call_raw_peer(HEAD + b"x" * 100, ClientLimits(max_answer_bytes=100), 3.0)
        assert response == b"x" * 100

    async def test_idle_connections_are_bounded(self) -> None:
        """After a burst few connections stay open, because each request scans all of them."""
        open_streams: set[trio.SocketStream] = set()
        concurrent_calls = 12

        async def handle(stream: trio.SocketStream) -> None:
            open_streams.add(stream)
            while await stream.receive_some():
                await all_connected.wait()
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            open_streams.discard(stream)

        async def call() -> None:
            await client.call(peer, "POST", "/", step="ask", timeout_s=5.0)

        all_connected = trio.Event()
        client = HttpClient(ClientLimits(max_idle_connections=3))
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(trio.serve_listeners, handle, [listener])
                peer = f"127.0.0.1:{listener.socket.getsockname()[1]}"
                async with trio.open_nursery() as calls:
                    for _ in range(concurrent_calls):
                        calls.start_soon(call)
                    while len(open_streams) < concurrent_calls:
                        await trio.sleep(0.01)
                    all_connected.set()
                while len(open_streams) > 3:
                    await trio.sleep(0.01)
                await client.aclose()
                nursery.cancel_scope.cancel()
