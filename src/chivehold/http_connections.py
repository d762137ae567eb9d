"""Connections of an HTTP listener, which end each for itself and of which there is a maximum."""

import logging
import math
import resource
import socket
from contextlib import suppress

import trio
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState
from hypercorn.utils import parse_socket_addr

from chivehold.http_protocol import HttpProtocol, RequestTasks
from chivehold.logs import log_event

READ_BYTES = 16_384
"""Maximum number of bytes that a connection reads at a time, and so reads ahead of a response."""
RESERVED_DESCRIPTORS = 200
"""Descriptors of the process that are left for files."""
CONNECTION_SHARE = 0.75
"""Share of the other descriptors that the callers' connections may take."""
SEND_TIMEOUT_S = 30.0
MIN_SEND_BYTES_PER_S = 65_536
"""Bytes sent at a time have to be read within ``SEND_TIMEOUT_S`` and the time at this rate."""
MAX_UNFINISHED_HEAD_BYTES = 4 << 20
"""Limit of the unfinished heads of all connections of a listener; the longest one gives way."""
LIMIT_LOG_INTERVAL_S = 10.0
"""Minimum time between two log lines that tell of connections at their limit."""

_log = logging.getLogger(__name__)


def connections_within(max_connections: int) -> int:
    """Return a limit on callers' connections that leaves descriptors for everything else."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return max_connections
    available = int((descriptors - RESERVED_DESCRIPTORS) * CONNECTION_SHARE)
    return max(1, min(max_connections, available))


class Connections:
    """The open connections of a listener, at most a fixed number.

    A connection above that number takes the place of one without a request: of the oldest that
    has never had one, else of the one that has been idle for longest. If there is none, the new
    connection is closed before anything is read from it, and the next one to become idle is closed
    too: otherwise clients that send their requests ahead would keep their places.

    Args:
        max_connections: Maximum number of connections.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._unused: dict[Connection, None] = {}
        """Those without a first request, oldest first."""
        self._idle: dict[Connection, None] = {}
        """Those between two requests, idle for longest first."""
        self._busy: set[Connection] = set()
        self._places_wanted = 0
        self._head_bytes: dict[Connection, int] = {}
        """What each connection has received of an unfinished head."""
        self._closed = 0
        self._logged_at = -math.inf

    def __len__(self) -> int:
        return len(self._unused) + len(self._idle) + len(self._busy)

    def add(self, connection: "Connection") -> bool:
        """Add a new connection, closing another one if necessary; return whether there is room."""
        if len(self) >= self._max_connections:
            self._log_limit()
            if not self._close_one():
                self._places_wanted = min(self._places_wanted + 1, self._max_connections)
                return False
        self._unused[connection] = None
        return True

    def count_received(self, connection: "Connection", size: int) -> None:
        """Count bytes that a connection has received, and close one if there are too many heads."""
        if connection in self._busy:
            return
        self._head_bytes[connection] = self._head_bytes.get(connection, 0) + size
        if sum(self._head_bytes.values()) > MAX_UNFINISHED_HEAD_BYTES:
            longest = max(self._head_bytes, key=self._head_bytes.__getitem__)
            self.remove(longest)
            longest.abandon()

    def mark_busy(self, connection: "Connection") -> None:
        """Record that a request has begun on a connection."""
        self.remove(connection)
        self._busy.add(connection)

    def mark_idle(self, connection: "Connection") -> None:
        """Record that the requests of a connection have ended."""
        self.remove(connection)
        if self._places_wanted:
            self._places_wanted -= 1
            connection.abandon()
            return
        self._idle[connection] = None

    def remove(self, connection: "Connection") -> None:
        """Remove a connection."""
        self._unused.pop(connection, None)
        self._idle.pop(connection, None)
        self._busy.discard(connection)
        self._head_bytes.pop(connection, None)

    def _log_limit(self) -> None:
        """Log that a connection has to be closed, unless that was logged recently."""
        self._closed += 1
        now = trio.current_time()
        if now - self._logged_at < LIMIT_LOG_INTERVAL_S:
            return
        log_event(
            _log,
            logging.WARNING,
            "connections at the limit",
            limit=self._max_connections,
            closed=self._closed,
        )
        self._logged_at = now
        self._closed = 0

    def _close_one(self) -> bool:
        """Close a connection without a request; return whether there was one."""
        for candidates in (self._unused, self._idle):
            for connection in candidates:
                self.remove(connection)
                connection.abandon()
                return True
        return False


class Connection(TCPServer):  # type: ignore[misc]
    """A connection of a listener.

    Args:
        app: The application.
        config: The listener's configuration.
        context: Tells whether the listener is shutting down.
        connections: All connections of the listener.
        stream: The accepted connection.
    """

    def __init__(
        self,
        app: AppWrapper,
        config: Config,
        context: WorkerContext,
        connections: Connections,
        stream: trio.SocketStream,
    ) -> None:
        super().__init__(app, config, context, ConnectionState({}), stream)
        self._connections = connections
        self._scope = trio.CancelScope()
        self._reading = trio.CancelScope()
        self._is_reading = True

    async def run(self) -> None:
        """Serve the connection until it ends, whatever happens on it."""
        if not self._connections.add(self):
            await self.stream.aclose()
            return
        try:
            with self._scope:
                await self._serve()
        except OSError:
            return
        except Exception as error:
            log_event(_log, logging.ERROR, "connection failed", error)
        except BaseExceptionGroup as group:
            cancellations, errors = group.split(trio.Cancelled)
            if errors is not None:
                log_event(_log, logging.ERROR, "connection failed", errors)
            if cancellations is not None:
                raise cancellations from None
        finally:
            self._connections.remove(self)
            # The protocol refers to this object: its buffers would wait for the garbage collector.
            with suppress(AttributeError):
                del self.protocol
            await self._close()

    def abandon(self) -> None:
        """Close the connection without finishing what is in progress on it."""
        self._scope.cancel()

    async def protocol_send(self, event: Event) -> None:
        """Carry out what the protocol asks for: send bytes, close, or note the idle state."""
        if isinstance(event, RawData):
            await self._send(event.data)
            return
        if isinstance(event, Updated):
            if not self._is_reading:
                return
            if event.idle:
                self._connections.mark_idle(self)
            else:
                self._connections.mark_busy(self)
        await super().protocol_send(event)
        if isinstance(event, Closed):
            self._reading.cancel()

    async def _send(self, data: bytes) -> None:
        """Send bytes, and close the connection if its client does not read them in time."""
        timeout_s = SEND_TIMEOUT_S + len(data) / MIN_SEND_BYTES_PER_S
        async with self.send_lock:
            deadline = trio.current_time() + timeout_s
            with (
                suppress(trio.BrokenResourceError, trio.ClosedResourceError),
                trio.CancelScope(shield=True, deadline=deadline),
            ):
                await self.stream.send_all(data)
                return
            await self._close()
        await self.protocol.handle(Closed())

    async def _serve(self) -> None:
        sock = self.stream.socket
        client = parse_socket_addr(sock.family, sock.getpeername())
        server = parse_socket_addr(sock.family, sock.getsockname())
        async with RequestTasks() as self._task_group:
            self.protocol = HttpProtocol(
                self.app,
                self.config,
                self.context,
                self._task_group,
                self.state,
                False,
                client,
                server,
                self.protocol_send,
            )
            await self.idle_task.restart(self._task_group, self._idle_timeout)
            await self._read_data()
            # The timeout would keep the closed connection in memory until it has passed.
            await self.idle_task.stop()

    async def _read_data(self) -> None:
        is_open = True
        with suppress(trio.ClosedResourceError, trio.BrokenResourceError), self._reading:
            while is_open:
                data = bytes(await self.stream.receive_some(READ_BYTES))
                self._connections.count_received(self, len(data))
                await self.protocol.handle(RawData(data))
                is_open = bool(data)
        self._is_reading = False
        await self.protocol.handle(Closed())

    async def _close(self) -> None:
        # ``send_eof`` would make a task fail that is sending.
        with suppress(OSError):
            self.stream.socket.shutdown(socket.SHUT_WR)
        await self.stream.aclose()
