"""Bytes on the wire and processor time of a heartbeat over gRPC on loopback."""

import time
from collections.abc import Iterator
from functools import partial

import trio

from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.bridge import RpcChannel, serve_rpc
from chivehold.rpc.chivehold_pb2_grpc import (
    SidecarServicer,
    SidecarStub,
    add_SidecarServicer_to_server,
)
from examples.slopes.fit import Slope, line
from examples.slopes.messages import heartbeat, load_report

TOKEN = "0123456789abcdef"
COUNTS = (100, 300, 600)
WARM_UP = 50
PART_BYTES = 65_536


class _Sidecar(SidecarServicer):
    """Answers every heartbeat with the same report."""

    def __init__(self, report: pb.HeartbeatResponse) -> None:
        self._report = report

    async def Heartbeat(self, request, context):  # noqa: N802
        return self._report


class CountingProxy:
    """Passes TCP streams on and counts their bytes, both ways."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self.passed = 0

    async def listen(self, nursery: trio.Nursery) -> str:
        """Listen until the nursery is cancelled; returns the address."""
        serve = partial(trio.serve_tcp, self._pass_on, 0, host="127.0.0.1")
        (listener,) = await nursery.start(serve)
        return f"127.0.0.1:{listener.socket.getsockname()[1]}"

    async def _pass_on(self, stream: trio.SocketStream) -> None:
        peer = await trio.open_tcp_stream(self._host, self._port)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, stream, peer)
            nursery.start_soon(self._copy, peer, stream)

    async def _copy(self, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        while part := await source.receive_some(PART_BYTES):
            self.passed += len(part)
            await sink.send_all(part)


def heartbeat_slopes() -> Iterator[Slope]:
    """Yield bytes and processor time of a heartbeat, with and without the list of blocks."""
    full, short = load_report(), load_report()
    del short.prefix_blocks[:]
    for name, report in (("heartbeat, 64 blocks", full), ("heartbeat, no blocks", short)):
        sent = trio.run(_bytes_passed, report)
        yield line("entry and sidecar", "bytes on TCP", "B", name, COUNTS, sent)
        used = trio.run(_processor_s, report)
        yield line("both ends together", "CPU", "µs", name, COUNTS, [one * 1e6 for one in used])


async def _bytes_passed(report: pb.HeartbeatResponse) -> list[int]:
    async with _served(report) as address, trio.open_nursery() as nursery:
        proxy = CountingProxy(address)
        channel = RpcChannel(await proxy.listen(nursery), TOKEN)
        passed = []
        await _beat(channel, WARM_UP)
        for count in COUNTS:
            before = proxy.passed
            await _beat(channel, count)
            passed.append(proxy.passed - before)
        channel.close()
        nursery.cancel_scope.cancel()
    return passed


async def _processor_s(report: pb.HeartbeatResponse) -> list[float]:
    async with _served(report) as address:
        channel = RpcChannel(address, TOKEN)
        used = []
        await _beat(channel, WARM_UP)
        for count in COUNTS:
            start = time.process_time()
            await _beat(channel, count)
            used.append(time.process_time() - start)
        channel.close()
    return used


def _served(report: pb.HeartbeatResponse):
    add = partial(add_SidecarServicer_to_server, _Sidecar(report))
    return serve_rpc("127.0.0.1:0", [add], TOKEN)


async def _beat(channel: RpcChannel, count: int) -> None:
    stub = SidecarStub(channel.grpc_channel)
    request = heartbeat()
    for _ in range(count):
        await channel.call(stub.Heartbeat, request, 5.0)
