"""Connections of a gRPC server's clients."""

import socket

import grpc
import pytest
import trio
import trio.testing

from chivehold.rpc.channel import RpcChannel
from chivehold.rpc.client_check import CLIENT_PREFACE, MAX_UNAUTHORISED_FRAMES
from chivehold.rpc.connections import KEEPALIVE_IDLE_S, bind
from chivehold.rpc.errors import RpcFailed
from chivehold.rpc.server import STOP_GRACE_S
from tests.rpc.drain_service import TIMEOUT_S, TOKEN, channel_to, drain, serving

SETTINGS = b"\x00\x00\x00\x04\x00\x00\x00\x00\x00"
PING = b"\x00\x00\x08\x06\x00\x00\x00\x00\x00" + bytes(8)


async def connect(address: str) -> trio.SocketStream:
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def wait_closed(stream: trio.SocketStream) -> None:
    with trio.fail_after(TIMEOUT_S):
        try:
            while await stream.receive_some():
                pass
        except trio.BrokenResourceError:
            return


class TestRelay:
    @pytest.mark.parametrize(
        "sent",
        [b"GET / HTTP/1.1\r\n\r\n", CLIENT_PREFACE + SETTINGS + PING * MAX_UNAUTHORISED_FRAMES],
    )
    async def test_connection_is_closed(self, sent: bytes) -> None:
        """Guards against clients of other protocols and against pings without end."""
        async with serving() as address, channel_to(address) as channel:
            async with await connect(address) as stream:
                await stream.send_all(sent)
                await wait_closed(stream)
            assert await drain(channel, "a") == "a"

    async def test_silent_connection_is_closed(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against clients that connect and never speak."""
        monkeypatch.setattr("chivehold.rpc.connections.PREFACE_TIMEOUT_S", 0.1)
        async with serving() as address, await connect(address) as stream:
            await wait_closed(stream)

    async def test_connection_without_a_call_gives_way(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against clients that keep all connections to themselves."""
        monkeypatch.setattr("chivehold.rpc.connections.MAX_CONNECTIONS", 2)
        async with serving() as address, channel_to(address) as channel:
            assert await drain(channel, "a") == "a"
            async with await connect(address) as first, await connect(address) as second:
                await first.send_all(CLIENT_PREFACE + SETTINGS)
                await second.send_all(CLIENT_PREFACE + SETTINGS)
                await wait_closed(first)
                async with await connect(address):
                    await wait_closed(second)
            assert await drain(channel, "a") == "a"

    async def test_connection_with_the_token_keeps_its_place(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against clients without the token that interrupt the calls of peers."""
        monkeypatch.setattr("chivehold.rpc.connections.MAX_CONNECTIONS", 1)
        started, ended = trio.Event(), trio.Event()
        states: list[str] = []

        async def handle(upstream: str) -> None:
            started.set()
            await ended.wait()

        async def call(channel: RpcChannel) -> None:
            states.append(await drain(channel, "a"))

        async with (
            serving(handle) as address,
            channel_to(address) as channel,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(call, channel)
            await started.wait()
            async with await connect(address) as newcomer:
                await wait_closed(newcomer)
            ended.set()
        assert states == ["a"]


class TestBind:
    async def test_dead_peers_are_noticed(self) -> None:
        """Guards against places kept by connections of machines that are gone."""
        (listener,) = await bind("127.0.0.1:0")
        async with listener:
            stream = await trio.testing.open_stream_to_socket_listener(listener)
            async with stream, await listener.accept() as accepted:
                assert accepted.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
                idle_s = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
                assert idle_s == KEEPALIVE_IDLE_S


class TestStop:
    async def test_call_in_progress_is_answered(self) -> None:
        """A call that ends within the grace is answered, though the server accepts no more."""
        started = trio.Event()
        states: list[str] = []

        async def handle(upstream: str) -> None:
            started.set()
            await trio.sleep(STOP_GRACE_S / 4)

        async def call(channel: RpcChannel) -> None:
            states.append(await drain(channel, "a"))

        async with trio.open_nursery() as nursery, serving(handle) as address:
            channel = RpcChannel(address, TOKEN)
            nursery.start_soon(call, channel)
            await started.wait()
        channel.close()
        assert states == ["a"]

    async def test_cancelled_server_answers(self) -> None:
        """A call whose handler is cancelled with the server is told so."""
        started = trio.Event()
        codes: list[tuple[grpc.StatusCode, str]] = []

        async def handle(upstream: str) -> None:
            started.set()
            await trio.sleep_forever()

        async def call(channel: RpcChannel) -> None:
            with pytest.raises(RpcFailed) as caught:
                await drain(channel)
            codes.append((caught.value.code, caught.value.detail))

        async with trio.open_nursery() as nursery:
            with trio.CancelScope() as scope:
                async with serving(handle) as address:
                    channel = RpcChannel(address, TOKEN)
                    nursery.start_soon(call, channel)
                    await started.wait()
                    scope.cancel()
                    await trio.lowlevel.checkpoint()
        channel.close()
        assert codes == [(grpc.StatusCode.UNAVAILABLE, "shutting down")]
