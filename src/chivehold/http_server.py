"""HTTP server for ASGI applications with limits on bodies, requests and shutdown time."""

import logging
import socket
from collections.abc import Awaitable, Callable, Iterable, Iterator, MutableMapping
from contextlib import contextmanager
from functools import partial
from typing import Any, NamedTuple

import msgspec
import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config, Sockets
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.utils import repr_socket_addr

from chivehold.http_connections import Connection, Connections, connections_within
from chivehold.logs import log_event

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers = Iterable[tuple[str, str]]

JSON_TYPE = "application/json"
BODY_TIMEOUT_S = 30.0
MIN_BODY_TIMEOUT_S = 1.0
"""Time that a body has in any case; if it takes longer, its request may give way to another one."""
UNREAD_BODY_TIMEOUT_S = 1.0
"""Maximum time to read and discard the rest of a body that the application has not read."""
BUSY_RETRY_AFTER_S = 1.0
RECEIVE_BUFFER_BYTES = 16_384
"""Size of a connection's receive buffer in the kernel, which doubles it."""
SEND_BUFFER_BYTES = 65_536
"""Size of a connection's send buffer in the kernel, which doubles it."""
HELD_FIELD_BYTES = 400
"""Memory for a header field besides its name and value, of which several copies exist."""

_log = logging.getLogger(__name__)
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


class BodyTooLarge(Exception):  # noqa: N818
    """A request's body is longer than allowed."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"body exceeds {max_bytes} bytes")
        self.max_bytes = max_bytes


class BodyIncomplete(Exception):  # noqa: N818
    """The caller disconnected, or timed out, before its body had arrived completely."""


class ErrorBody(NamedTuple):
    """The fields of a JSON error response."""

    reason: str
    message: str


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
    overflow: App | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until cancelled, or until drained after ``shutdown`` is set.

    Args:
        app: ASGI application, called for ``http`` scopes only.
        address: ``host:port``; port 0 binds a free port.
        limits: Limits of this listener.
        shutdown: When set, the listener closes and requests in progress have
            ``limits.drain_timeout_s`` to finish.
        overflow: ASGI application for requests above ``limits.max_requests``; they are answered
            with 503 by default.
        task_status: Reports the bound ``host:port`` once the server is listening.

    Raises:
        OSError: The address cannot be bound.
    """
    config = _listener_config(address, limits)
    (listening,) = config.create_sockets().insecure_sockets
    guarded = ASGIWrapper(_GuardedApp(app, limits, overflow or _respond_busy))
    context = WorkerContext(None)
    connections = Connections(connections_within(limits.max_connections))

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


def header(scope: Scope, name: str) -> str | None:
    """Return the first value of a request header, or ``None``; ``name`` must be in lower case."""
    encoded_name = name.encode("latin-1")
    for key, value in scope["headers"]:
        if key == encoded_name:
            return bytes(value).decode("latin-1")
    return None


async def read_body(
    receive: Receive,
    max_bytes: int,
    timeout_s: float = BODY_TIMEOUT_S,
    on_size: Callable[[int], None] = lambda size: None,
) -> bytes:
    """Read the complete body of a request.

    Args:
        receive: ASGI ``receive`` callable of the request.
        max_bytes: Maximum size of the body in bytes.
        timeout_s: Timeout for the whole body in seconds.
        on_size: Called before each chunk is kept, with the number of bytes read so far, including
            that chunk; may raise.

    Raises:
        BodyTooLarge: The body exceeds ``max_bytes``.
        BodyIncomplete: The caller disconnected or timed out.
    """
    chunks: list[bytes] = []
    size = 0
    with trio.move_on_after(timeout_s):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise BodyIncomplete("the caller left")
            chunk = message.get("body", b"")
            size += len(chunk)
            if size > max_bytes:
                raise BodyTooLarge(max_bytes)
            on_size(size)
            chunks.append(chunk)
            if not message.get("more_body", False):
                return b"".join(chunks)
    raise BodyIncomplete(f"the body took longer than {timeout_s} s")


async def wait_for_disconnect(receive: Receive) -> None:
    """Return once the caller has disconnected; call it only after the body has been read."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def respond(
    send: Send,
    status: int,
    body: bytes = b"",
    content_type: str = JSON_TYPE,
    headers: Headers = (),
) -> None:
    """Send a complete response."""
    await start_response(send, status, content_type, [*headers, ("content-length", str(len(body)))])
    await send({"type": "http.response.body", "body": body, "more_body": False})


async def respond_json(send: Send, status: int, value: Any, headers: Headers = ()) -> None:
    """Send a complete response with a value encoded as JSON."""
    await respond(send, status, msgspec.json.encode(value), JSON_TYPE, headers)


async def respond_error(
    send: Send, status: int, reason: str, message: str, headers: Headers = ()
) -> None:
    """Send an error response: a JSON object with ``reason`` and ``message``."""
    await respond_json(send, status, ErrorBody(reason, message)._asdict(), headers)


async def start_response(send: Send, status: int, content_type: str, headers: Headers = ()) -> None:
    """Send the status and headers; continue with ``send_chunk`` and ``end_response``."""
    raw_headers = [(b"content-type", content_type.encode("latin-1"))] if content_type else []
    raw_headers += [
        (key.lower().encode("latin-1"), value.encode("latin-1")) for key, value in headers
    ]
    await send({"type": "http.response.start", "status": status, "headers": raw_headers})


async def send_chunk(send: Send, body: bytes) -> None:
    """Send a chunk of a streamed body."""
    await send({"type": "http.response.body", "body": body, "more_body": True})


async def end_response(send: Send) -> None:
    """Complete a streamed response; without this call its connection is aborted."""
    await send({"type": "http.response.body", "body": b"", "more_body": False})


async def _respond_busy(scope: Scope, receive: Receive, send: Send) -> None:
    retry_after = ("retry-after", str(int(BUSY_RETRY_AFTER_S)))
    # What the client has sent ahead is not to wait in memory for room.
    headers = [retry_after, ("connection", "close")]
    await respond_error(send, 503, "full", "too many requests in progress", headers)


class _GuardedApp:
    """Wraps an application to limit concurrent requests and to turn exceptions into responses."""

    def __init__(self, app: App, limits: ServerLimits, overflow: App) -> None:
        self._app = app
        self._limits = limits
        self._overflow = overflow
        self._in_progress = 0
        self._head_bytes = 0
        self._receiving: dict[_Exchange, None] = {}
        """The requests whose bodies are incomplete, oldest first."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        exchange = _Exchange(receive, send)
        head_bytes = _held_head_bytes(scope)
        has_room = self._has_room_for(head_bytes) or self._end_slow_body()
        app = self._app if has_room else self._overflow
        self._in_progress += 1
        self._head_bytes += head_bytes
        try:
            with exchange.receiving(self._receiving if has_room else {}):
                await self._handle_request(app, scope, exchange)
        finally:
            self._in_progress -= 1
            self._head_bytes -= head_bytes

    def _has_room_for(self, head_bytes: int) -> bool:
        if self._in_progress == 0:
            return True
        return (
            self._in_progress < self._limits.max_requests
            and self._head_bytes + head_bytes <= self._limits.max_held_head_bytes
        )

    def _end_slow_body(self) -> bool:
        """End the request whose body has been incomplete for longest; return whether one had to."""
        oldest = next(iter(self._receiving), None)
        return oldest is not None and oldest.end_slow_body()

    async def _handle_request(self, app: App, scope: Scope, exchange: "_Exchange") -> None:
        try:
            await app(scope, exchange.receive, exchange.send)
        except BodyTooLarge as error:
            if exchange.started:
                raise
            await respond_error(exchange.send, 413, "too_large", str(error))
        except BodyIncomplete as error:
            log_event(_log, logging.INFO, "body incomplete", path=scope["path"], detail=error)
            if not exchange.started:
                await respond_error(exchange.send, 408, "timeout", str(error))
        except Exception as error:
            log_event(_log, logging.ERROR, "request failed", error, path=scope["path"])
            if exchange.started:
                return
            await respond_error(exchange.send, 500, "internal", "internal error")


class _Exchange:
    """A request and its response.

    The rest of a body that the application has not read is discarded before the end of the response
    is sent, so that the client can read the response.
    """

    def __init__(self, receive: Receive, send: Send) -> None:
        self._receive = receive
        self._send = send
        self._began_at = trio.current_time()
        self._body_ended = False
        self._body_given_up = False
        self._body_scope = trio.CancelScope()
        self._receiving: dict[_Exchange, None] = {}
        self.started = False

    @contextmanager
    def receiving(self, receiving: "dict[_Exchange, None]") -> Iterator[None]:
        """Be listed among those whose bodies are incomplete, until it is whole."""
        self._receiving = receiving
        receiving[self] = None
        try:
            yield
        finally:
            receiving.pop(self, None)

    def end_slow_body(self) -> bool:
        """Give up the body if it has taken long enough; return whether it has."""
        if trio.current_time() - self._began_at < MIN_BODY_TIMEOUT_S:
            return False
        self._receiving.pop(self, None)
        self._body_given_up = True
        self._body_scope.cancel()
        return True

    async def receive(self) -> Message:
        """Return the next message of the request.

        Raises:
            BodyIncomplete: The body was given up.
        """
        if self._body_ended:
            return await self._receive()
        if not self._body_given_up:
            with trio.CancelScope() as self._body_scope:
                return await self._receive_body()
        raise BodyIncomplete("other requests needed the room")

    async def _receive_body(self) -> Message:
        message = await self._receive()
        if message["type"] == "http.disconnect" or not message.get("more_body", False):
            self._body_ended = True
            self._receiving.pop(self, None)
        return message

    async def send(self, message: Message) -> None:
        """Send the next message of the response."""
        self.started = True
        if message["type"] == "http.response.start" or message.get("more_body", False):
            await self._send(message)
            return
        if not self._body_ended and not self._body_given_up:
            await self._send({**message, "more_body": True})
            message = {**message, "body": b""}
            with trio.move_on_after(UNREAD_BODY_TIMEOUT_S):
                await self._discard_body()
        await self._send_last(message)

    async def _send_last(self, message: Message) -> None:
        """Send the last message without being cancelled.

        While sending it, Hypercorn notifies the application of the disconnect. If that cancelled
        the sending task, Hypercorn would not mark the connection as idle and would never close it.
        """
        with trio.CancelScope(shield=True):
            await self._send(message)

    async def _discard_body(self) -> None:
        while not self._body_ended:
            await self._receive_body()


def _held_head_bytes(scope: Scope) -> int:
    """Return the memory that the head of a request takes."""
    fields: Iterable[tuple[bytes, bytes]] = scope["headers"]
    return sum(HELD_FIELD_BYTES + len(name) + len(value) for name, value in fields)
