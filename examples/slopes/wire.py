"""Measures bytes on TCP and processor time of a heartbeat over gRPC on loopback."""

import time
from collections.abc import Iterator
from functools import partial

import trio

from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.channel import RpcChannel
from chivehold.rpc.chivehold_pb2_grpc import (
    SidecarServicer,
    SidecarStub,
    add_SidecarServicer_to_server,
)
from chivehold.rpc.server import serve_rpc
from examples.slopes.fit import Slope, fit_line
from examples.slopes.messages import heartbeat, load_report

TOKEN = "0123456789abcdef"
COUNTS = (100, 300, 600)
WARM_UP = 50
CHUNK_BYTES = 65_536


class _Sidecar(SidecarServicer):
    """Answers every heartbeat with the same report."""

    def __init__(self, report: pb.HeartbeatResponse) -> None:
        self._report = report

    async def Heartbeat(self, request, context):  # noqa: N802
        return self._report


class CountingProxy:
    """A TCP proxy that counts the bytes of both directions."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self.bytes_passed = 0

    async def listen(self, nursery: trio.Nursery) -> str:
        """Start listening until the nursery is cancelled, and return the address."""
        serve = partial(trio.serve_tcp, self._pass_on, 0, host="127.0.0.1")
        (listener,) = await nursery.start(serve)
        return f"127.0.0.1:{listener.socket.getsockname()[1]}"

    async def _pass_on(self, stream: trio.SocketStream) -> None:
        peer = await trio.open_tcp_stream(self._host, self._port)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, stream, peer)
            nursery.start_soon(self._copy, peer, stream)

    async def _copy(self, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        while chunk := await source.receive_some(CHUNK_BYTES):
            self.bytes_passed += len(chunk)
            await sink.send_all(chunk)


def heartbeat_slopes() -> Iterator[Slope]:
    """Yield the slopes by number of heartbeats, with and without the list of cached blocks."""
    full, short = load_report(), load_report()
    del short.prefix_blocks[:]
    for name, report in (("heartbeat, 64 blocks", full), ("heartbeat, no blocks", short)):
        sent_bytes = trio.run(_measure_bytes, report)
        yield fit_line("entry and sidecar", "bytes on TCP", "B", name, COUNTS, sent_bytes)
        cpu_s = trio.run(_measure_cpu_s, report)
        yield fit_line(
            "both ends together", "CPU", "µs", name, COUNTS, [seconds * 1e6 for seconds in cpu_s]
        )


async def _measure_bytes(report: pb.HeartbeatResponse) -> list[int]:
    async with _serve(report) as address, trio.open_nursery() as nursery:
        proxy = CountingProxy(address)
        channel = RpcChannel(await proxy.listen(nursery), TOKEN)
        sent_bytes = []
        await _send_heartbeats(channel, WARM_UP)
        for count in COUNTS:
            before = proxy.bytes_passed
            await _send_heartbeats(channel, count)
            sent_bytes.append(proxy.bytes_passed - before)
        channel.close()
        nursery.cancel_scope.cancel()
    return sent_bytes


async def _measure_cpu_s(report: pb.HeartbeatResponse) -> list[float]:
    async with _serve(report) as address:
        channel = RpcChannel(address, TOKEN)
        cpu_s = []
        await _send_heartbeats(channel, WARM_UP)
        for count in COUNTS:
            start = time.process_time()
            await _send_heartbeats(channel, count)
            cpu_s.append(time.process_time() - start)
        channel.close()
    return cpu_s


def _serve(report: pb.HeartbeatResponse):
    add = partial(add_SidecarServicer_to_server, _Sidecar(report))
    return serve_rpc("127.0.0.1:0", [add], TOKEN)


async def _send_heartbeats(channel: RpcChannel, count: int) -> None:
    stub = SidecarStub(channel.grpc_channel)
    request = heartbeat()
    for _ in range(count):
        await channel.call(stub.Heartbeat, request, 5.0)
