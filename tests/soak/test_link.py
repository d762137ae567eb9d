"""Faults of the proxy as its client and its server see them."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from tests.soak.link import LOOPBACK, Link

WAIT_S = 0.2


@asynccontextmanager
async def echo() -> AsyncIterator[Link]:
    async def answer(stream: trio.SocketStream) -> None:
        async for chunk in stream:
            await stream.send_all(chunk)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        nursery.start_soon(trio.serve_listeners, answer, listeners)
        port = listeners[0].socket.getsockname()[1]
        link = Link(nursery, f"{LOOPBACK}:{port}")
        await link.accept()
        yield link
        nursery.cancel_scope.cancel()


async def connect(link: Link) -> trio.SocketStream:
    return await trio.open_tcp_stream(LOOPBACK, int(link.address.rpartition(":")[2]))


async def receive_within(stream: trio.SocketStream, within_s: float) -> bytes:
    with trio.move_on_after(within_s):
        return await stream.receive_some()
    return b""


class TestLink:
    async def test_relays(self) -> None:
        async with echo() as link:
            stream = await connect(link)
            await stream.send_all(b"a")
            assert await receive_within(stream, 2.0) == b"a"

    # Guards against a soak that ends itself when its port serves another connection meanwhile.
    async def test_port_in_use_when_it_accepts_again(self) -> None:
        async with echo() as link:
            link.refuse()
            await trio.sleep(WAIT_S)
            port = int(link.address.rpartition(":")[2])
            async with trio.open_nursery() as nursery:
                with trio.socket.socket() as other:
                    await other.bind((LOOPBACK, port))
                    nursery.start_soon(link.accept)
                    await trio.sleep(WAIT_S)
            stream = await connect(link)
            await stream.send_all(b"a")
            assert await receive_within(stream, 2.0) == b"a"

    @pytest.mark.parametrize("direction", ["to_server", "to_client"])
    async def test_silence_holds_back_and_then_delivers(self, direction: str) -> None:
        async with echo() as link:
            stream = await connect(link)
            getattr(link, direction).silence()
            await stream.send_all(b"a")
            assert await receive_within(stream, WAIT_S) == b""
            link.heal()
            assert await receive_within(stream, 2.0) == b"a"

    async def test_delay(self) -> None:
        async with echo() as link:
            stream = await connect(link)
            link.to_client.delay_s = 2 * WAIT_S
            await stream.send_all(b"a")
            assert await receive_within(stream, WAIT_S) == b""
            assert await receive_within(stream, 2.0) == b"a"

    async def test_reset(self) -> None:
        async with echo() as link:
            stream = await connect(link)
            await stream.send_all(b"a")
            assert await receive_within(stream, 2.0) == b"a"
            link.reset()
            with pytest.raises(trio.BrokenResourceError):
                await stream.receive_some()

    async def test_refuses_and_accepts_at_one_address(self) -> None:
        async with echo() as link:
            address = link.address
            link.refuse()
            await trio.sleep(0.05)
            with pytest.raises(OSError):
                await connect(link)
            for _ in range(2):
                await link.accept()
            link.refuse()
            await link.accept()
            assert link.address == address
            stream = await connect(link)
            await stream.send_all(b"a")
            assert await receive_within(stream, 2.0) == b"a"

    async def test_relays_a_close(self) -> None:
        async with echo() as link:
            stream = await connect(link)
            await stream.send_eof()
            assert await receive_within(stream, 2.0) == b""
