"""Telling the end of an upstream from a broken connection, over real sockets."""

import trio

from chivehold.core.direct.crash_keys import CrashKey, KeyKind
from chivehold.core.direct.messages import UpstreamRecord
from chivehold.direct.upstream_ends import BrokenRequest, UpstreamEndDetector
from chivehold.listener_probe import refuses_connections

LATE_CLOSE_S = 0.02
MAX_CONNECTIONS = 3
KEYS = (CrashKey(KeyKind.REQUEST, "d1"),)


class Ends:
    """The ends that a detector has reported."""

    def __init__(self) -> None:
        self.requests: list[str] = []

    def record(self, upstream: UpstreamRecord, broken: BrokenRequest) -> None:
        self.requests.append(broken.request_id)


def upstream_at(address: str) -> UpstreamRecord:
    return UpstreamRecord("u1", 1, "plain", address, "zone-a", 4, False)


def broken(request: str) -> BrokenRequest:
    now = trio.current_time()
    return BrokenRequest(request, KEYS, now - 0.1, now)


async def unused_address() -> str:
    """Return an address at which nothing listens."""
    with trio.socket.socket() as sock:
        await sock.bind(("127.0.0.1", 0))
        host, port = sock.getsockname()
    return f"{host}:{port}"


class TestUpstreamEndDetector:
    # Guards against a crash that is taken for a broken connection.
    async def test_refused_address_is_an_end(self) -> None:
        """All suspects of an upstream whose address refuses connections are reported once."""
        ends = Ends()
        async with trio.open_nursery() as nursery:
            detector = UpstreamEndDetector(nursery, ends.record)
            upstream = upstream_at(await unused_address())
            detector.record_break(upstream, broken("r1"))
            detector.record_break(upstream, broken("r2"))
        assert ends.requests == ["r1", "r2"]
        async with trio.open_nursery() as nursery:
            detector.record_break(upstream, broken("r3"))
        assert ends.requests == ["r1", "r2", "r3"]

    # Guards against a reset, or a spoilt response, that is taken for a crash.
    async def test_upstream_that_listens_has_not_ended(self) -> None:
        """An upstream that still accepts connections convicts nobody."""
        ends = Ends()
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listener.socket.getsockname()
        async with listener, trio.open_nursery() as nursery:
            detector = UpstreamEndDetector(nursery, ends.record)
            detector.record_break(upstream_at(f"{host}:{port}"), broken("r1"))
        assert ends.requests == []

    # Guards against a crash that is missed, as the listener is closed after the connections.
    async def test_listener_that_closes_late_is_an_end(self) -> None:
        """An upstream is watched for a moment after it has accepted the probe."""
        ends = Ends()
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listener.socket.getsockname()
        upstream = upstream_at(f"{host}:{port}")
        async with trio.open_nursery() as nursery:
            detector = UpstreamEndDetector(nursery, ends.record)
            detector.record_break(upstream, broken("r1"))
            await trio.sleep(LATE_CLOSE_S)
            await listener.aclose()
        assert ends.requests == ["r1"]
        assert await detector.has_ended(upstream)

    # Guards against probes that take many places at an upstream which closes connections.
    async def test_upstream_that_closes_connections_gets_few(self) -> None:
        """One at its limit of connections has not ended and is not asked over and over."""
        ends = Ends()
        accepted = 0

        async def close(stream: trio.SocketStream) -> None:
            nonlocal accepted
            accepted += 1
            await stream.aclose()

        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listener.socket.getsockname()
        async with trio.open_nursery() as serving:
            serving.start_soon(trio.serve_listeners, close, [listener])
            async with trio.open_nursery() as nursery:
                detector = UpstreamEndDetector(nursery, ends.record)
                detector.record_break(upstream_at(f"{host}:{port}"), broken("r1"))
            serving.cancel_scope.cancel()
        assert ends.requests == []
        assert accepted <= MAX_CONNECTIONS


class TestRefusesConnections:
    async def test_silent_address(self) -> None:
        """An address that does not answer in time does not refuse."""
        with trio.socket.socket() as sock:
            await sock.bind(("127.0.0.1", 0))
            sock.listen(0)
            host, port = sock.getsockname()
            waiting = [trio.socket.socket() for _ in range(3)]
            async with trio.open_nursery() as nursery:
                for client in waiting:
                    nursery.start_soon(client.connect, (host, port))
                await trio.sleep(0.05)
                assert not await refuses_connections(f"{host}:{port}", 0.1)
                nursery.cancel_scope.cancel()
            for client in waiting:
                client.close()
