"""gRPC calls between two trio tasks over loopback."""

from contextlib import asynccontextmanager

import grpc
import pytest
import trio

from chivehold.rpc.channel import RpcChannel
from chivehold.rpc.errors import RpcFailed, RpcRefused
from chivehold.rpc.server import serve_rpc
from tests.rpc.drain_service import TIMEOUT_S, TOKEN, channel_to, drain, serving


class NamedOutcomes:
    """Refuses, fails or never answers, depending on the upstream's name; echoes other names."""

    def __init__(self):
        self.started = trio.Event()
        self.cancelled = trio.Event()

    async def handle(self, upstream):
        await trio.lowlevel.checkpoint()
        if upstream == "refuse":
            raise RpcRefused(grpc.StatusCode.FAILED_PRECONDITION, "no")
        if upstream == "fail":
            raise ValueError("broken")
        if upstream == "freeze":
            self.started.set()
            try:
                await trio.sleep_forever()
            finally:
                self.cancelled.set()


@asynccontextmanager
async def outcomes_and_channel(channel_token=TOKEN):
    outcomes = NamedOutcomes()
    async with serving(outcomes.handle) as address, channel_to(address, channel_token) as channel:
        yield outcomes, channel


class TestCall:
    async def test_concurrent_calls_get_their_own_answers(self):
        """Each of many concurrent callers gets its own answer."""
        answers = {}

        async def call_drain(channel, name):
            answers[name] = await drain(channel, name)

        async with outcomes_and_channel() as (_, channel), trio.open_nursery() as nursery:
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
        async with outcomes_and_channel(token) as (_, channel):
            with pytest.raises(RpcFailed) as caught:
                await drain(channel, upstream)
            failure = caught.value
        assert (failure.code, failure.sent) == (code, sent)
        assert (failure.step, failure.peer) == ("/chivehold.v1.Sidecar/Drain", channel.address)

    async def test_deadline_cancels_a_frozen_handler(self):
        """A call and its handler both end at the deadline if the handler does not answer."""
        async with outcomes_and_channel() as (outcomes, channel):
            with pytest.raises(RpcFailed) as caught, trio.fail_after(TIMEOUT_S):
                await drain(channel, "freeze", timeout_s=0.2)
            with trio.fail_after(TIMEOUT_S):
                await outcomes.cancelled.wait()
        assert caught.value.code is grpc.StatusCode.DEADLINE_EXCEEDED
        assert caught.value.sent

    async def test_cancelled_call_keeps_the_channel_usable(self):
        """A cancelled call returns at once, and the channel still works."""
        async with outcomes_and_channel() as (outcomes, channel):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(drain, channel, "freeze")
                with trio.fail_after(TIMEOUT_S):
                    await outcomes.started.wait()
                nursery.cancel_scope.cancel()
            assert await drain(channel, "echo") == "echo"

    async def test_refused_connection_is_not_sent(self):
        """A call whose connection is refused is reported as not sent."""
        async with outcomes_and_channel() as (_, channel):
            address = channel.address
        channel = RpcChannel(address, TOKEN)
        with pytest.raises(RpcFailed) as caught:
            await drain(channel, "echo")
        channel.close()
        assert (caught.value.code, caught.value.sent) == (grpc.StatusCode.UNAVAILABLE, False)


class TestServer:
    async def test_address_in_use_is_an_error(self):
        """A second server on the same address raises an error, instead of sharing the port."""
        async with outcomes_and_channel() as (_, channel):
            with pytest.raises(OSError, match=channel.address):
                async with serve_rpc(channel.address, [], None):
                    pass
