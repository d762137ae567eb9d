"""Connections of an HTTP listener, which end each for itself."""

import logging
import socket
import struct
from contextlib import suppress

import trio
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState
from hypercorn.utils import parse_socket_addr

from chivehold.connection_table import ConnectionTable
from chivehold.http_protocol import HttpProtocol, RequestTasks
from chivehold.logs import log_event

READ_BYTES = 16_384
"""Maximum number of bytes that a connection reads at a time, and so reads ahead of a response."""
SEND_TIMEOUT_S = 30.0
MIN_SEND_BYTES_PER_S = 65_536
"""Bytes sent at a time have to be read within ``SEND_TIMEOUT_S`` and the time at this rate."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER``: enabled, for 0 seconds."""

_log = logging.getLogger(__name__)


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
        connections: ConnectionTable,
        stream: trio.SocketStream,
    ) -> None:
        super().__init__(app, config, context, ConnectionState({}), stream)
        self._connections = connections
        self._scope = trio.CancelScope()
        self._reading = trio.CancelScope()
        self._is_reading = True
        self._must_reset = False

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
            self._note_cut_off_response()
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
        """Close the connection, so that its client can tell whether a response is complete."""
        self._note_cut_off_response()
        sock = self.stream.socket
        with suppress(OSError):
            if self._must_reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            else:
                # ``send_eof`` would make a task fail that is sending.
                sock.shutdown(socket.SHUT_WR)
        await self.stream.aclose()

    def _note_cut_off_response(self) -> None:
        protocol = getattr(self, "protocol", None)
        if protocol is not None and protocol.is_response_cut_off:
            self._must_reset = True
