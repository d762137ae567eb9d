"""gRPC calls between two trio tasks over loopback."""

from contextlib import asynccontextmanager

import grpc
import pytest
import trio

from chivehold.rpc.bridge import RpcChannel, RpcFailed, RpcRefused, serve_rpc
from chivehold.rpc.chivehold_pb2 import DrainRequest, DrainResponse
from chivehold.rpc.chivehold_pb2_grpc import (
    SidecarServicer,
    SidecarStub,
    add_SidecarServicer_to_server,
)

ENOUGH_S = 5.0


class Drainer(SidecarServicer):
    """Answers by the upstream's name: echo, refuse, fail, or never."""

    def __init__(self):
        self.started = trio.Event()
        self.cancelled = trio.Event()

    async def Drain(self, request, context):  # noqa: N802
        await trio.lowlevel.checkpoint()
        if request.upstream == "refuse":
            raise RpcRefused(grpc.StatusCode.FAILED_PRECONDITION, "no")
        if request.upstream == "fail":
            raise ValueError("broken")
        if request.upstream == "freeze":
            self.started.set()
            try:
                await trio.sleep_forever()
            finally:
                self.cancelled.set()
        return DrainResponse(state=request.upstream)


@asynccontextmanager
async def drainer_and_channel(channel_token="secret"):
    drainer = Drainer()
    adders = [lambda server: add_SidecarServicer_to_server(drainer, server)]
    async with serve_rpc("127.0.0.1:0", adders, "secret") as address:
        channel = RpcChannel(address, channel_token)
        try:
            yield drainer, channel
        finally:
            channel.close()


async def drain(channel, upstream, timeout_s=ENOUGH_S):
    stub = SidecarStub(channel.grpc_channel)
    return await channel.call(stub.Drain, DrainRequest(upstream=upstream), timeout_s)


class TestCall:
    async def test_many_answers_at_once(self):
        """Each of many concurrent callers gets its own answer."""
        answers = {}

        async def ask(channel, name):
            answers[name] = (await drain(channel, name)).state

        async with drainer_and_channel() as (_, channel), trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(ask, channel, str(number))
        assert answers == {str(number): str(number) for number in range(40)}

    @pytest.mark.parametrize(
        ("upstream", "token", "code", "sent"),
        [
            ("refuse", "secret", grpc.StatusCode.FAILED_PRECONDITION, True),
            ("fail", "secret", grpc.StatusCode.INTERNAL, True),
            ("echo", "wrong", grpc.StatusCode.UNAUTHENTICATED, False),
            ("echo", None, grpc.StatusCode.UNAUTHENTICATED, False),
        ],
    )
    async def test_failure(self, upstream, token, code, sent):
        """A failed call names its step, its peer, its code, and whether a handler may have run."""
        async with drainer_and_channel(token) as (_, channel):
            with pytest.raises(RpcFailed) as caught:
                await drain(channel, upstream)
            failure = caught.value
        assert (failure.code, failure.sent) == (code, sent)
        assert (failure.step, failure.peer) == ("/chivehold.v1.Sidecar/Drain", channel.address)

    async def test_deadline_on_frozen_handler(self):
        """A call to a handler that never answers ends at its deadline, and so does the handler."""
        async with drainer_and_channel() as (drainer, channel):
            with pytest.raises(RpcFailed) as caught, trio.fail_after(ENOUGH_S):
                await drain(channel, "freeze", timeout_s=0.2)
            with trio.fail_after(ENOUGH_S):
                await drainer.cancelled.wait()
        assert caught.value.code is grpc.StatusCode.DEADLINE_EXCEEDED
        assert caught.value.sent

    async def test_cancelled_caller(self):
        """A caller that is cancelled leaves at once, and the channel still works."""
        async with drainer_and_channel() as (drainer, channel):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(drain, channel, "freeze")
                with trio.fail_after(ENOUGH_S):
                    await drainer.started.wait()
                nursery.cancel_scope.cancel()
            assert (await drain(channel, "echo")).state == "echo"

    async def test_nobody_listens(self):
        """A refused connection proves that nothing was sent."""
        async with drainer_and_channel() as (_, channel):
            address = channel.address
        channel = RpcChannel(address, "secret")
        with pytest.raises(RpcFailed) as caught:
            await drain(channel, "echo")
        channel.close()
        assert (caught.value.code, caught.value.sent) == (grpc.StatusCode.UNAVAILABLE, False)


class TestServer:
    async def test_taken_address(self):
        """Two servers never share an address unnoticed."""
        async with drainer_and_channel() as (_, channel):
            with pytest.raises(OSError, match=channel.address):
                async with serve_rpc(channel.address, [], None):
                    pass
