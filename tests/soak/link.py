"""A loopback proxy for one address: it delays, silences, resets and refuses connections."""

import socket
import struct

import trio

LOOPBACK = "127.0.0.1"
PART_BYTES = 1 << 16
CLOSE_WITH_RESET = struct.pack("ii", 1, 0)


class Direction:
    """One direction of all connections through a link."""

    def __init__(self) -> None:
        self.delay_s = 0.0
        self._heard = trio.Event()
        self._heard.set()

    def silence(self) -> None:
        """Hold everything back, ends of connections included."""
        if self._heard.is_set():
            self._heard = trio.Event()

    def heal(self) -> None:
        """Deliver what was held back, and all that follows without delay."""
        self.delay_s = 0.0
        self._heard.set()

    async def pass_through(self) -> None:
        await trio.sleep(self.delay_s)
        await self._heard.wait()


class Link:
    """Listens on an address of its own and carries connections to ``target``.

    Args:
        nursery: Runs the connections.
        target: ``host:port``; may change, connections that are open stay where they are.
    """

    def __init__(self, nursery: trio.Nursery, target: str = "") -> None:
        self._nursery = nursery
        self._port = 0
        self._accepting = trio.CancelScope()
        self._refused = trio.Event()
        self._refused.set()
        self._open: set[trio.SocketStream] = set()
        self.target = target
        self.to_server = Direction()
        self.to_client = Direction()

    @property
    def address(self) -> str:
        return f"{LOOPBACK}:{self._port}"

    async def accept(self) -> None:
        """Take connections, after ``refuse`` on the same port as before."""
        if self._accepting.cancel_called:
            await self._refused.wait()
        if not self._refused.is_set():
            return
        self._refused = trio.Event()
        listeners = await trio.open_tcp_listeners(self._port, host=LOOPBACK)
        self._port = listeners[0].socket.getsockname()[1]
        self._accepting = trio.CancelScope()
        self._nursery.start_soon(self._listen, listeners, self._accepting)

    def refuse(self) -> None:
        """Refuse new connections."""
        self._accepting.cancel()

    def reset(self) -> None:
        """Reset all connections."""
        for stream in tuple(self._open):
            _reset(stream)

    def heal(self) -> None:
        """End delays and silence."""
        self.to_server.heal()
        self.to_client.heal()

    async def _listen(
        self, listeners: list[trio.SocketListener], accepting: trio.CancelScope
    ) -> None:
        refused = self._refused
        try:
            with accepting:
                await trio.serve_listeners(self._carry, listeners, handler_nursery=self._nursery)
        finally:
            refused.set()

    async def _carry(self, client: trio.SocketStream) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except (OSError, ValueError):
            _reset(client)
            return
        self._open |= {client, server}
        try:
            async with trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(self._pump, client, server, self.to_server, scope)
                nursery.start_soon(self._pump, server, client, self.to_client, scope)
        finally:
            self._open -= {client, server}
            client.socket.close()
            server.socket.close()

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        direction: Direction,
        connection: trio.CancelScope,
    ) -> None:
        try:
            while part := await source.receive_some(PART_BYTES):
                await direction.pass_through()
                await sink.send_all(part)
            await direction.pass_through()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            _reset(source)
            _reset(sink)
        connection.cancel()


def _reset(stream: trio.SocketStream) -> None:
    if stream.socket.fileno() >= 0:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_WITH_RESET)
        stream.socket.close()
