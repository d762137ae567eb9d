"""The connections of a gRPC server's clients, relayed to it through a Unix socket.

grpcio reads and answers whatever a client sends, before it knows whether the client has the token.
Here little is passed on of a client without it, and such a client gives way to others.
"""

import logging
import secrets
import socket
from collections.abc import Sequence
from contextlib import suppress

import trio

from chivehold.connection_table import ConnectionTable, connections_within
from chivehold.logs import log_event
from chivehold.rpc.client_check import Authorisation, ClientCheck, ClientError

MAX_CONNECTIONS = 256
"""Maximum number of clients; each peer has one connection."""
DESCRIPTORS_PER_CONNECTION = 3
"""The client's socket and the two ends of the Unix socket."""
PREFACE_TIMEOUT_S = 2.0
"""Time within which a client has to begin to speak HTTP/2."""
SEND_TIMEOUT_S = 30.0
"""Time within which a client has to read what is sent to it at a time."""
READ_BYTES = 16_384
RECEIVE_BUFFER_BYTES = 16_384
"""Size of a connection's receive buffer in the kernel, which doubles it."""
KEEPALIVE_IDLE_S = 30
"""Time without a byte after which the kernel asks whether the client's machine is still there."""
KEEPALIVE_INTERVAL_S = 10
KEEPALIVE_PROBES = 3

_log = logging.getLogger(__name__)


def random_socket_name() -> str:
    """Return a name for a Unix socket that has no file."""
    return f"chivehold-{secrets.token_hex(16)}"


def connection_limit() -> int:
    """Return the maximum number of connections for which the process has descriptors."""
    descriptors = connections_within(MAX_CONNECTIONS * DESCRIPTORS_PER_CONNECTION)
    return max(1, descriptors // DESCRIPTORS_PER_CONNECTION)


class RelayedConnection:
    """A connection of a client.

    Args:
        stream: The client's stream.
        socket_name: Name of the gRPC server's Unix socket.
        check: Checks what the client sends.
        connections: Table of all connections of the server.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        socket_name: str,
        check: ClientCheck,
        connections: ConnectionTable,
    ) -> None:
        self._stream = stream
        self._socket_name = socket_name
        self._check = check
        self._connections = connections
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        """Relay the connection until it is closed; an error ends this connection alone."""
        try:
            if not self._connections.add(self):
                return
            with self._scope:
                await self._relay()
        except (OSError, trio.BrokenResourceError, trio.TooSlowError, ClientError):
            return
        except Exception as error:
            log_event(_log, logging.ERROR, "connection failed", error)
        finally:
            self._connections.remove(self)
            await trio.aclose_forcefully(self._stream)

    def abandon(self) -> None:
        """Close the connection without finishing what is in progress on it."""
        self._scope.cancel()

    async def _relay(self) -> None:
        with trio.fail_after(PREFACE_TIMEOUT_S):
            data = await self._receive_preface()
        server = await _connect(self._socket_name)
        async with server, trio.open_nursery() as nursery:
            nursery.start_soon(self._relay_answers, server, nursery.cancel_scope)
            await self._relay_calls(server, data)
            nursery.cancel_scope.cancel()

    async def _receive_preface(self) -> bytes:
        received = b""
        while not self._check.has_preface:
            data = await self._receive()
            if not data:
                raise ClientError("no HTTP/2 preface")
            received += data
        return received

    async def _relay_calls(self, server: trio.SocketStream, data: bytes) -> None:
        with suppress(OSError, trio.BrokenResourceError, ClientError):
            while data:
                await server.send_all(data)
                data = await self._receive()

    async def _relay_answers(self, server: trio.SocketStream, scope: trio.CancelScope) -> None:
        with suppress(OSError, trio.BrokenResourceError, trio.TooSlowError):
            while data := await server.receive_some(READ_BYTES):
                with trio.fail_after(SEND_TIMEOUT_S):
                    await self._stream.send_all(data)
        scope.cancel()

    async def _receive(self) -> bytes:
        data = bytes(await self._stream.receive_some(READ_BYTES))
        if not self._check.is_authorised:
            self._check.receive(data)
            if self._check.is_authorised:
                self._connections.mark_busy(self)
        return data


async def _connect(socket_name: str) -> trio.SocketStream:
    sock = trio.socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        await sock.connect(f"\0{socket_name}")
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


async def bind(address: str) -> Sequence[trio.SocketListener]:
    """Listen on an address.

    Args:
        address: ``host:port``; port 0 binds a free port.

    Raises:
        OSError: The address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    try:
        listeners = await trio.open_tcp_listeners(int(port), host=host.strip("[]"))
    except OSError as error:
        raise OSError(f"cannot listen for gRPC on {address}: {error}") from error
    for listener in listeners:
        _set_options(listener.socket)
    return listeners


def _set_options(sock: trio.socket.SocketType) -> None:
    """Set the options that accepted sockets inherit."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class Relay:
    """Accepts clients and relays their connections to a gRPC server.

    Args:
        listeners: Where clients connect.
        socket_name: Name of the gRPC server's Unix socket.
        is_authorised: Tells whether a call carries the token.
    """

    def __init__(
        self,
        listeners: Sequence[trio.SocketListener],
        socket_name: str,
        is_authorised: Authorisation,
    ) -> None:
        self._listeners = listeners
        self._socket_name = socket_name
        self._is_authorised = is_authorised
        self._connections = ConnectionTable(connection_limit())
        self._accepting = trio.CancelScope()
        self._scope = trio.CancelScope(shield=True)

    async def run(self) -> None:
        """Relay connections until closed, also when cancelled: calls may still be in progress."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                with self._accepting:
                    await trio.serve_listeners(
                        self._relay, list(self._listeners), handler_nursery=nursery
                    )

    def stop_accepting(self) -> None:
        """Close the listeners."""
        self._accepting.cancel()

    def close(self) -> None:
        """Close all connections."""
        self._scope.cancel()

    async def _relay(self, stream: trio.SocketStream) -> None:
        check = ClientCheck(self._is_authorised)
        await RelayedConnection(stream, self._socket_name, check, self._connections).run()
