"""A loopback proxy for one address that can delay, hold back, reset and refuse connections."""

import errno
import socket
import struct

import trio

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 1 << 16
BIND_ATTEMPTS = 100
BIND_PAUSE_S = 0.05
CLOSE_WITH_RESET = struct.pack("ii", 1, 0)


class Direction:
    """One direction of all connections through a link."""

    def __init__(self) -> None:
        self.delay_s = 0.0
        self._deliverable = trio.Event()
        self._deliverable.set()

    def silence(self) -> None:
        """Hold back all data and closes of connections until ``heal`` is called."""
        if self._deliverable.is_set():
            self._deliverable = trio.Event()

    def heal(self) -> None:
        """Deliver what was held back, and end the delay."""
        self.delay_s = 0.0
        self._deliverable.set()

    async def wait_to_deliver(self) -> None:
        """Wait for the delay, then until no silence is in effect."""
        await trio.sleep(self.delay_s)
        await self._deliverable.wait()


class Link:
    """Listens on its own address and relays connections to ``target``.

    Args:
        nursery: Runs the tasks of the connections.
        target: ``host:port``; changing it affects new connections only.
    """

    def __init__(self, nursery: trio.Nursery, target: str = "") -> None:
        self._nursery = nursery
        self._port = 0
        self._accept_scope = trio.CancelScope()
        self._stopped_listening = trio.Event()
        self._stopped_listening.set()
        self._open_streams: set[trio.SocketStream] = set()
        self.target = target
        self.to_server = Direction()
        self.to_client = Direction()

    @property
    def address(self) -> str:
        return f"{LOOPBACK}:{self._port}"

    async def accept(self) -> None:
        """Start to accept connections; after ``refuse``, on the same port as before."""
        if self._accept_scope.cancel_called:
            await self._stopped_listening.wait()
        if not self._stopped_listening.is_set():
            return
        self._stopped_listening = trio.Event()
        listeners = await self._bind()
        self._port = listeners[0].socket.getsockname()[1]
        self._accept_scope = trio.CancelScope()
        self._nursery.start_soon(self._listen, listeners, self._accept_scope)

    async def _bind(self) -> list[trio.SocketListener]:
        """Bind the port, which another connection may be using as its own until it closes."""
        for _ in range(BIND_ATTEMPTS):
            try:
                return await trio.open_tcp_listeners(self._port, host=LOOPBACK)
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
            await trio.sleep(BIND_PAUSE_S)
        return await trio.open_tcp_listeners(self._port, host=LOOPBACK)

    def refuse(self) -> None:
        """Stop accepting new connections."""
        self._accept_scope.cancel()

    def reset(self) -> None:
        """Reset all open connections."""
        for stream in tuple(self._open_streams):
            _reset(stream)

    def heal(self) -> None:
        """End the delays and silence of both directions."""
        self.to_server.heal()
        self.to_client.heal()

    async def _listen(
        self, listeners: list[trio.SocketListener], accept_scope: trio.CancelScope
    ) -> None:
        stopped_listening = self._stopped_listening
        try:
            with accept_scope:
                await trio.serve_listeners(self._relay, listeners, handler_nursery=self._nursery)
        finally:
            stopped_listening.set()

    async def _relay(self, client: trio.SocketStream) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except (OSError, ValueError):
            _reset(client)
            return
        self._open_streams |= {client, server}
        try:
            async with trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(self._pump, client, server, self.to_server, scope)
                nursery.start_soon(self._pump, server, client, self.to_client, scope)
        finally:
            self._open_streams -= {client, server}
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
            while chunk := await source.receive_some(CHUNK_BYTES):
                await direction.wait_to_deliver()
                await sink.send_all(chunk)
            await direction.wait_to_deliver()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            _reset(source)
            _reset(sink)
        connection.cancel()


def _reset(stream: trio.SocketStream) -> None:
    if stream.socket.fileno() >= 0:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_WITH_RESET)
        stream.socket.close()
