"""Connections of an HTTP listener, which end each for itself."""

import logging
import socket
from contextlib import suppress

import trio
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.trio.tcp_server import MAX_RECV, TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState
from hypercorn.utils import parse_socket_addr

from chivehold.http_protocol import HttpProtocol, RequestTasks
from chivehold.logs import log_event

_log = logging.getLogger(__name__)


class Connection(TCPServer):  # type: ignore[misc]
    """A connection of a listener.

    Args:
        app: The application.
        config: The listener's configuration.
        context: Tells whether the listener is shutting down.
        stream: The accepted connection.
    """

    def __init__(
        self,
        app: AppWrapper,
        config: Config,
        context: WorkerContext,
        stream: trio.SocketStream,
    ) -> None:
        super().__init__(app, config, context, ConnectionState({}), stream)
        self._reading = trio.CancelScope()
        self._is_reading = True

    async def run(self) -> None:
        """Serve the connection until it ends, whatever happens on it."""
        try:
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
            await self._close()

    async def protocol_send(self, event: Event) -> None:
        """Carry out what the protocol asks for: send bytes, close, or note the idle state."""
        if isinstance(event, Updated) and not self._is_reading:
            return
        await super().protocol_send(event)
        if isinstance(event, Closed):
            self._reading.cancel()

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
                data = bytes(await self.stream.receive_some(MAX_RECV))
                await self.protocol.handle(RawData(data))
                is_open = bool(data)
        self._is_reading = False
        await self.protocol.handle(Closed())

    async def _close(self) -> None:
        # ``send_eof`` would make a task fail that is sending.
        with suppress(OSError):
            self.stream.socket.shutdown(socket.SHUT_WR)
        await self.stream.aclose()
