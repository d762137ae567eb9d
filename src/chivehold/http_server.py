"""HTTP server for ASGI applications with limits on bodies, requests and shutdown time."""

import logging
import socket
from functools import partial
from typing import NamedTuple

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config, Sockets
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.utils import repr_socket_addr

from chivehold.asgi import App
from chivehold.connection_table import ConnectionTable, connections_within
from chivehold.guarded_app import GuardedApp
from chivehold.http_server_connection import Connection

RECEIVE_BUFFER_BYTES = 16_384
"""Size of a connection's receive buffer in the kernel, which doubles it."""
SEND_BUFFER_BYTES = 65_536
"""Size of a connection's send buffer in the kernel, which doubles it."""

_hypercorn_log = logging.getLogger(f"{__name__}.hypercorn")
_hypercorn_log.setLevel(logging.WARNING)


class ServerLimits(NamedTuple):
    """Limits of a listener."""

    max_header_bytes: int = 16_384
    """Limit of a request's incomplete head. A complete one may be longer by what is read at a time,
    so an application that needs an exact limit must check it itself."""
    max_held_head_bytes: int = 8 << 20
    """Maximum memory for the heads of all requests in progress; further ones are answered with 503,
    and a single request never."""
    max_connections: int = 1_024
    """Maximum number of connections, or fewer if the process may not have as many descriptors. One
    more takes the place of an idle one, or is closed."""
    max_requests: int = 4_096
    """Maximum number of concurrent requests; further ones are answered with 503."""
    keep_alive_s: float = 5.0
    """An idle connection is closed after this time."""
    drain_timeout_s: float = 30.0
    """Requests still in progress this long after the shutdown are aborted."""
    send_stall_s: float = 10.0
    """A connection is closed if sent data stays unacknowledged for this time."""
    backlog: int = 1_024
    date_header: bool = True
    """Whether to add a ``Date`` header; off when responses of an upstream are relayed unchanged."""


DEFAULT_SERVER_LIMITS = ServerLimits()
OPERATOR_SERVER_LIMITS = ServerLimits(max_requests=32, max_connections=64)
"""Limits of a listener for operators, health checks and metrics."""


class _ListenerConfig(Config):  # type: ignore[misc]
    """Hypercorn configuration that bounds what the kernel holds for a connection, and how long.

    Connections are closed whose peer has stopped reading. Hypercorn shields its writes from
    cancellation, so a frozen peer would prevent the process from exiting.
    """

    send_stall_s = 10.0

    def create_sockets(self) -> Sockets:
        """Create the listening sockets; accepted sockets inherit their options."""
        sockets = super().create_sockets()
        stall_ms = int(self.send_stall_s * 1_000)
        for sock in sockets.insecure_sockets:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, stall_ms)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            sock.listen(self.backlog)
        return sockets


async def serve_http(
    app: App,
    address: str,
    *,
    limits: ServerLimits = DEFAULT_SERVER_LIMITS,
    shutdown: trio.Event | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until cancelled, or until drained after ``shutdown`` is set.

    Args:
        app: ASGI application, called for ``http`` scopes only.
        address: ``host:port``; port 0 binds a free port.
        limits: Limits of this listener.
        shutdown: When set, the listener closes and requests in progress have
            ``limits.drain_timeout_s`` to finish.
        task_status: Reports the bound ``host:port`` once the server is listening.

    Raises:
        OSError: The address cannot be bound.
    """
    config = _listener_config(address, limits)
    (listening,) = config.create_sockets().insecure_sockets
    guarded = ASGIWrapper(GuardedApp(app, limits.max_requests, limits.max_held_head_bytes))
    context = WorkerContext(None)
    connections = ConnectionTable(connections_within(limits.max_connections))

    async def serve_connection(stream: trio.SocketStream) -> None:
        await Connection(guarded, config, context, connections, stream).run()

    async with trio.open_nursery() as handlers:
        try:
            async with trio.open_nursery() as acceptor:
                listener = trio.SocketListener(trio.socket.from_stdlib_socket(listening))
                acceptor.start_soon(
                    partial(
                        trio.serve_listeners,
                        serve_connection,
                        [listener],
                        handler_nursery=handlers,
                    )
                )
                task_status.started(repr_socket_addr(listening.family, listening.getsockname()))
                await (trio.sleep_forever() if shutdown is None else shutdown.wait())
                acceptor.cancel_scope.cancel()
        finally:
            await context.terminated.set()
            handlers.cancel_scope.deadline = trio.current_time() + limits.drain_timeout_s


def _listener_config(address: str, limits: ServerLimits) -> _ListenerConfig:
    config = _ListenerConfig()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = _hypercorn_log
    config.backlog = limits.backlog
    config.h11_max_incomplete_size = limits.max_header_bytes
    config.include_server_header = False
    config.include_date_header = limits.date_header
    config.keep_alive_timeout = limits.keep_alive_s
    config.send_stall_s = limits.send_stall_s
    return config
