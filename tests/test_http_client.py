import pytest
import trio

from chivehold.http_client import AnswerTooLarge, ClientLimits, HttpClient, LinkBroken

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


async def call_raw(answer: bytes | None, limits: ClientLimits, timeout_s: float) -> bytes:
    """Call a peer that sends these bytes and closes, or with ``None`` never answers."""
    async with trio.open_nursery() as nursery:

        async def handle(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            if answer is None:
                await trio.sleep_forever()
            await stream.send_all(answer or b"")

        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, handle, [listener])
        peer = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        try:
            client = HttpClient(limits)
            got = await client.call(peer, "POST", "/", step="ask", timeout_s=timeout_s)
            return got.body
        finally:
            nursery.cancel_scope.cancel()


class TestCall:
    @pytest.mark.parametrize(
        ("answer", "error"),
        [
            (b"", LinkBroken),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", LinkBroken),
            (b"not http\r\n\r\n", LinkBroken),
            (HEAD + b"x" * 101, AnswerTooLarge),
            (None, LinkBroken),
        ],
    )
    async def test_unsure_failures_are_link_broken(
        self, answer: bytes | None, error: type[LinkBroken]
    ) -> None:
        """Whatever a peer that read the request does, the caller never hears NothingSent."""
        with pytest.RaisesGroup(pytest.RaisesExc(error)) as caught, trio.fail_after(5):
            await call_raw(answer, ClientLimits(max_answer_bytes=100), 0.3)
        assert caught.value.exceptions[0].step == "ask"

    async def test_whole_answer(self) -> None:
        """An answer up to the bound is given whole."""
        got = await call_raw(HEAD + b"x" * 100, ClientLimits(max_answer_bytes=100), 3.0)
        assert got == b"x" * 100

    async def test_idle_connections_are_bounded(self) -> None:
        """After a burst few connections stay open, since each request looks through them all."""
        is_open: set[trio.SocketStream] = set()
        together = 12

        async def handle(stream: trio.SocketStream) -> None:
            is_open.add(stream)
            while await stream.receive_some():
                await all_here.wait()
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            is_open.discard(stream)

        async def call() -> None:
            await client.call(peer, "POST", "/", step="ask", timeout_s=5.0)

        all_here = trio.Event()
        client = HttpClient(ClientLimits(max_idle_connections=3))
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(trio.serve_listeners, handle, [listener])
                peer = f"127.0.0.1:{listener.socket.getsockname()[1]}"
                async with trio.open_nursery() as calls:
                    for _ in range(together):
                        calls.start_soon(call)
                    while len(is_open) < together:
                        await trio.sleep(0.01)
                    all_here.set()
                while len(is_open) > 3:
                    await trio.sleep(0.01)
                await client.aclose()
                nursery.cancel_scope.cancel()
