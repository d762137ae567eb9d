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

TIMEOUT_S = 5.0


class DrainServicer(SidecarServicer):
    """Refuses, fails or never answers, depending on the upstream's name; echoes other names."""

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
async def servicer_and_channel(channel_token="secret"):
    servicer = DrainServicer()
    adders = [lambda server: add_SidecarServicer_to_server(servicer, server)]
    async with serve_rpc("127.0.0.1:0", adders, "secret") as address:
        channel = RpcChannel(address, channel_token)
        try:
            yield servicer, channel
        finally:
            channel.close()


async def drain(channel, upstream, timeout_s=TIMEOUT_S):
    stub = SidecarStub(channel.grpc_channel)
    return await channel.call(stub.Drain, DrainRequest(upstream=upstream), timeout_s)


class TestCall:
    async def test_concurrent_calls_get_their_own_answers(self):
        """Each of many concurrent callers gets its own answer."""
        answers = {}

        async def call_drain(channel, name):
            answers[name] = (await drain(channel, name)).state

        async with servicer_and_channel() as (_, channel), trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(call_drain, channel, str(number))
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
    async def test_failure_reports_code_and_whether_sent(self, upstream, token, code, sent):
        """A failed call reports its step, peer, code and whether a handler may have run."""
        async with servicer_and_channel(token) as (_, channel):
            with pytest.raises(RpcFailed) as caught:
                await drain(channel, upstream)
            failure = caught.value
        assert (failure.code, failure.sent) == (code, sent)
        assert (failure.step, failure.peer) == ("/chivehold.v1.Sidecar/Drain", channel.address)

    async def test_deadline_cancels_a_frozen_handler(self):
        """A call and its handler both end at the deadline if the handler does not answer."""
        async with servicer_and_channel() as (servicer, channel):
            with pytest.raises(RpcFailed) as caught, trio.fail_after(TIMEOUT_S):
                await drain(channel, "freeze", timeout_s=0.2)
            with trio.fail_after(TIMEOUT_S):
                await servicer.cancelled.wait()
        assert caught.value.code is grpc.StatusCode.DEADLINE_EXCEEDED
        assert caught.value.sent

    async def test_cancelled_call_keeps_the_channel_usable(self):
        """A cancelled call returns at once, and the channel still works."""
        async with servicer_and_channel() as (servicer, channel):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(drain, channel, "freeze")
                with trio.fail_after(TIMEOUT_S):
                    await servicer.started.wait()
                nursery.cancel_scope.cancel()
            assert (await drain(channel, "echo")).state == "echo"

    async def test_refused_connection_is_not_sent(self):
        """A call whose connection is refused is reported as not sent."""
        async with servicer_and_channel() as (_, channel):
            address = channel.address
        channel = RpcChannel(address, "secret")
        with pytest.raises(RpcFailed) as caught:
            await drain(channel, "echo")
        channel.close()
        assert (caught.value.code, caught.value.sent) == (grpc.StatusCode.UNAVAILABLE, False)


class TestServer:
    async def test_address_in_use_is_an_error(self):
        """A second server on the same address raises an error, instead of sharing the port."""
        async with servicer_and_channel() as (_, channel):
            with pytest.raises(OSError, match=channel.address):
                async with serve_rpc(channel.address, [], None):
                    pass
