"""A gRPC server whose calls a function of the test handles."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import grpc
import trio

from chivehold.rpc.channel import RpcChannel
from chivehold.rpc.chivehold_pb2 import DrainRequest, DrainResponse
from chivehold.rpc.chivehold_pb2_grpc import (
    SidecarServicer,
    SidecarStub,
    add_SidecarServicer_to_server,
)
from chivehold.rpc.server import serve_rpc

TIMEOUT_S = 5.0
TOKEN = "secret"

Handler = Callable[[str], Awaitable[None]]
"""Handles a call for the upstream of that name."""


class DrainServicer(SidecarServicer):
    """Answers with the upstream's name when the handler has returned."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler

    async def Drain(  # noqa: N802
        self, request: DrainRequest, context: grpc.ServicerContext
    ) -> DrainResponse:
        """Handle a call."""
        await self._handler(request.upstream)
        return DrainResponse(state=request.upstream)


async def return_at_once(upstream: str) -> None:
    """Handle a call by doing nothing."""
    await trio.lowlevel.checkpoint()


@asynccontextmanager
async def serving(handler: Handler = return_at_once) -> AsyncIterator[str]:
    """Serve calls that carry ``TOKEN``, and yield the address."""

    def add(server: grpc.Server) -> None:
        add_SidecarServicer_to_server(DrainServicer(handler), server)

    async with serve_rpc("127.0.0.1:0", [add], TOKEN) as address:
        yield address


@asynccontextmanager
async def channel_to(address: str, token: str | None = TOKEN) -> AsyncIterator[RpcChannel]:
    """Yield a channel whose calls carry a token."""
    channel = RpcChannel(address, token)
    try:
        yield channel
    finally:
        channel.close()


async def drain(channel: RpcChannel, upstream: str = "", timeout_s: float = TIMEOUT_S) -> str:
    """Call the server, and return the name that it answers with."""
    stub = SidecarStub(channel.grpc_channel)
    response = await channel.call(stub.Drain, DrainRequest(upstream=upstream), timeout_s)
    return str(response.state)
