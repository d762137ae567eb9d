"""One HTTP/1.1 connection of a client's pool, used for one request after the other.

A peer may send bytes that belong to no request: a second response to an earlier one, or a part of
it. A connection is reused only if nothing followed the last response and nothing has arrived since.
Bytes that arrive after the next request was sent come before its response. If they are a part of a
head, the parser reads it and the response's head as one; such a head is refused.
"""

import logging
from collections.abc import AsyncGenerator, AsyncIterable, AsyncIterator, Iterable
from enum import Enum, auto

import h11
import httpcore
import trio

from chivehold.http_heads import response_problem
from chivehold.logs import log_event

MAX_HEAD_BYTES = 131_072
"""Limit on the bytes before a response's head is complete, interim responses (1xx) included.

These may come in any number, so the limit of the parser on one head does not bound them.
"""
MAX_EVENT_BYTES = 102_400
"""Limit of the parser on one head or one chunk's head."""
HEAD_READ_BYTES = 16_384
"""Bytes read at once before the head is complete; other tasks run in between."""
BODY_READ_BYTES = 65_536

_log = logging.getLogger(__name__)


class _State(Enum):
    NEW = auto()
    ACTIVE = auto()
    IDLE = auto()
    CLOSED = auto()


class ReusableConnection(httpcore.AsyncConnectionInterface):
    """A connection to one origin, opened for its first request.

    Args:
        origin: Scheme, host and port.
        keep_alive_s: An idle connection expires after this time.
        socket_options: Options of its socket.
    """

    def __init__(
        self,
        origin: httpcore.Origin,
        keep_alive_s: float,
        socket_options: Iterable[httpcore.SOCKET_OPTION],
    ) -> None:
        self._origin = origin
        self._keep_alive_s = keep_alive_s
        self._socket_options = socket_options
        self._backend = httpcore.TrioBackend()
        self._stream: httpcore.AsyncNetworkStream | None = None
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_EVENT_BYTES)
        self._state = _State.NEW
        self._expires_at = 0.0
        self._responses = 0
        self._send_failure = ""
        """Why the connection broke while a request was being sent, empty if it did not."""

    async def handle_async_request(self, request: httpcore.Request) -> httpcore.Response:
        """Send a request and return its response, whose body has still to be read.

        Raises:
            httpcore.ConnectionNotAvailable: The connection cannot be used; nothing was sent.
            httpcore.NetworkError: It could not be opened, or it broke.
            httpcore.ProtocolError: The request cannot be sent, or the response is malformed.
            httpcore.TimeoutException: A timeout of the request has passed.
        """
        if self._state is _State.IDLE and self._is_readable():
            await self.aclose()
        if self._state not in (_State.NEW, _State.IDLE):
            raise httpcore.ConnectionNotAvailable
        self._state = _State.ACTIVE
        try:
            if self._stream is None:
                self._stream = await self._connect(request)
            await self._send(self._stream, request)
            head = await self._receive_head(self._stream, request)
        except BaseException:
            with trio.CancelScope(shield=True):
                await self.aclose()
            raise
        return httpcore.Response(
            status=head.status_code,
            headers=head.headers.raw_items(),
            content=_Body(self, self._receive_body(self._stream, request)),
            extensions={"http_version": b"HTTP/" + head.http_version, "reason_phrase": head.reason},
        )

    async def end_response(self) -> None:
        """Keep the connection if the response has ended and nothing follows it, else close it."""
        extra, _ = self._parser.trailing_data
        is_whole = self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE
        if is_whole and extra:
            log_event(
                _log, logging.WARNING, "bytes after a response", peer=self._peer, size=len(extra)
            )
        if not is_whole or any(self._parser.trailing_data):
            await self.aclose()
            return
        self._parser.start_next_cycle()
        self._expires_at = trio.current_time() + self._keep_alive_s
        self._state = _State.IDLE

    async def aclose(self) -> None:
        """Close the connection."""
        self._state = _State.CLOSED
        if self._stream is not None:
            await self._stream.aclose()

    def info(self) -> str:
        """Return a description for logs."""
        return f"{self._peer}, {self._state.name.lower()}, {self._responses} responses"

    def can_handle_request(self, origin: httpcore.Origin) -> bool:
        """Return whether the connection is one to an origin."""
        return origin == self._origin

    def is_available(self) -> bool:
        """Return whether the connection can take a request."""
        return self._state is _State.IDLE

    def has_expired(self) -> bool:
        """Return whether the connection is to be closed: idle for too long, or not silent."""
        if self._state is not _State.IDLE:
            return False
        return trio.current_time() > self._expires_at or self._is_readable()

    def is_idle(self) -> bool:
        """Return whether the connection has no request."""
        return self._state is _State.IDLE

    def is_closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._state is _State.CLOSED

    @property
    def _peer(self) -> str:
        return f"{self._origin.host.decode()}:{self._origin.port}"

    def _is_readable(self) -> bool:
        """Return whether the peer has closed the connection or sent bytes."""
        return self._stream is not None and bool(self._stream.get_extra_info("is_readable"))

    async def _connect(self, request: httpcore.Request) -> httpcore.AsyncNetworkStream:
        return await self._backend.connect_tcp(
            self._origin.host.decode("ascii"),
            self._origin.port,
            timeout=_timeout_s(request, "connect"),
            socket_options=self._socket_options,
        )

    async def _send(self, stream: httpcore.AsyncNetworkStream, request: httpcore.Request) -> None:
        timeout_s = _timeout_s(request, "write")
        try:
            for part in self._encoded(request, await _body_of(request)):
                await stream.write(part, timeout_s)
        except httpcore.WriteError as error:
            # A peer may respond and close the connection before it has read the whole body.
            if not _is_broken_pipe(error):
                self._send_failure = str(error)

    async def _read(
        self, stream: httpcore.AsyncNetworkStream, max_bytes: int, timeout_s: float | None
    ) -> bytes:
        """Return the next bytes of a response, empty at an orderly end of the connection.

        A socket reports its error once. After a failed write its reads return the bytes that have
        arrived, and then an end like that of a connection that the peer has closed.

        Raises:
            httpcore.ReadError: The connection broke, now or while the request was being sent.
        """
        chunk = await stream.read(max_bytes, timeout_s)
        if not chunk and self._send_failure:
            raise httpcore.ReadError(self._send_failure)
        return chunk

    def _encoded(self, request: httpcore.Request, body: bytes) -> list[bytes]:
        """Return the bytes of a request."""
        try:
            head = h11.Request(
                method=request.method, target=request.url.target, headers=request.headers
            )
            events = [head, *([h11.Data(body)] if body else []), h11.EndOfMessage()]
            return [part for part in map(self._parser.send, events) if part]
        except h11.LocalProtocolError as error:
            raise httpcore.LocalProtocolError(str(error)) from error

    async def _receive_head(
        self, stream: httpcore.AsyncNetworkStream, request: httpcore.Request
    ) -> h11.Response:
        timeout_s = _timeout_s(request, "read")
        received = bytearray()
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                break
            if isinstance(event, h11.InformationalResponse):
                continue
            if event is not h11.NEED_DATA:
                raise httpcore.RemoteProtocolError("no response where one is due")
            if len(received) >= MAX_HEAD_BYTES:
                raise httpcore.ReadError(f"no response within {MAX_HEAD_BYTES} bytes")
            chunk = await self._read(stream, HEAD_READ_BYTES, timeout_s)
            if not chunk:
                raise httpcore.RemoteProtocolError("connection closed without a response")
            received += chunk
            self._parser.receive_data(chunk)
        body_part, _ = self._parser.trailing_data
        raw_head = bytes(received).removesuffix(body_part)
        if problem := response_problem(event, raw_head, is_first=not self._responses):
            raise httpcore.RemoteProtocolError(problem)
        self._responses += 1
        return event

    async def _receive_body(
        self, stream: httpcore.AsyncNetworkStream, request: httpcore.Request
    ) -> AsyncGenerator[bytes, None]:
        timeout_s = _timeout_s(request, "read")
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif event is h11.NEED_DATA:
                self._parser.receive_data(await self._read(stream, BODY_READ_BYTES, timeout_s))
            else:
                return

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            raise httpcore.RemoteProtocolError(str(error)) from error


class ConnectionPool(httpcore.AsyncConnectionPool):
    """A pool of such connections to one origin.

    Args:
        max_connections: Maximum number of concurrent connections.
        max_idle: Maximum number of idle connections.
        keep_alive_s: Idle connections are closed after this time.
        socket_options: Options of their sockets.
    """

    def __init__(
        self,
        max_connections: int,
        max_idle: int,
        keep_alive_s: float,
        socket_options: Iterable[httpcore.SOCKET_OPTION],
    ) -> None:
        super().__init__(max_connections=max_connections, max_keepalive_connections=max_idle)
        self._keep_alive_s = keep_alive_s
        self._options = tuple(socket_options)

    def create_connection(self, origin: httpcore.Origin) -> ReusableConnection:
        """Return a connection that is opened for its first request."""
        return ReusableConnection(origin, self._keep_alive_s, self._options)


class _Body:
    """The body of a response, in chunks.

    Args:
        connection: The connection that it arrives at.
        chunks: Its bytes.
    """

    def __init__(self, connection: ReusableConnection, chunks: AsyncGenerator[bytes, None]) -> None:
        self._connection = connection
        self._chunks = chunks
        self._is_closed = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self._chunks

    async def aclose(self) -> None:
        """End the response, whether its body has been read or not."""
        if not self._is_closed:
            self._is_closed = True
            await self._chunks.aclose()
            await self._connection.end_response()


async def _body_of(request: httpcore.Request) -> bytes:
    assert isinstance(request.stream, AsyncIterable)
    return b"".join([chunk async for chunk in request.stream])


def _is_broken_pipe(error: BaseException) -> bool:
    """Return whether a write failed as the peer had closed the connection in an orderly way.

    All that it has sent has arrived then. If the connection breaks first, the error is another one.
    """
    cause: BaseException | None = error
    while cause is not None and not isinstance(cause, OSError):
        cause = cause.__cause__
    return isinstance(cause, BrokenPipeError)


def _timeout_s(request: httpcore.Request, step: str) -> float | None:
    timeout_s: float | None = request.extensions.get("timeout", {}).get(step)
    return timeout_s
