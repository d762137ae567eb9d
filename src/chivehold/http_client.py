"""HTTP client whose errors distinguish whether the peer may have read the request."""

import socket
from collections.abc import AsyncIterator, Iterable, Mapping, Sequence
from contextlib import asynccontextmanager
from typing import NamedTuple

import httpcore
import trio

from chivehold.exceptions import ChiveholdError
from chivehold.http_client_connection import ConnectionPool

READ_TIMEOUT_S = 30.0
MAX_LINE_BYTES = 4_194_304
MAX_DETAIL_CHARS = 200
"""Limit on an error's detail, which may quote what a peer has sent."""
TCP_USER_TIMEOUT_MS = 3_000
"""A connection is closed if sent data stays unacknowledged for this time."""
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
)


class ClientLimits(NamedTuple):
    """Limits of an ``HttpClient``."""

    max_connections: int = 512
    """Maximum number of concurrent connections to a peer."""
    max_idle_connections: int = 32
    """Maximum number of idle connections to a peer; each request scans all of them."""
    connect_timeout_s: float = 1.0
    keep_alive_s: float = 2.0
    """Idle connections are closed after this time; shorter than the servers' keep-alive."""
    max_answer_bytes: int = 16_777_216


DEFAULT_CLIENT_LIMITS = ClientLimits()


class LinkError(ChiveholdError):
    """A call to a peer ended without a complete response."""


class NothingSent(LinkError):  # noqa: N818
    """The peer cannot have read the request.

    No connection could be established, or the request contains characters that cannot be sent.
    """


class LinkBroken(LinkError):  # noqa: N818
    """The connection broke or timed out: the peer may have read the request."""


class AnswerTooLarge(LinkBroken):
    """The peer's response exceeds the size limit."""


class HttpResponse(NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or ``None``; ``name`` must be in lower case."""
        return next((value for key, value in self.headers if key == name), None)


class RawResponse(NamedTuple):
    """A streamed response with its headers and body as raw bytes."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    """Names in lower case."""
    chunks: AsyncIterator[bytes]
    """Raises ``LinkBroken`` if the response is cut off."""


class HttpStream:
    """A streamed response; iteration yields the lines completed by each received chunk.

    Iteration raises ``LinkBroken`` if the response is cut off or ends within a line, and
    ``AnswerTooLarge`` if a line exceeds ``MAX_LINE_BYTES``.
    """

    def __init__(self, response: httpcore.Response, step: str, peer: str) -> None:
        self.status = response.status
        self.headers = _decoded_headers(response)
        self._chunks = response.aiter_stream()
        self._step = step
        self._peer = peer
        self._partial_line = b""

    def __aiter__(self) -> "HttpStream":
        return self

    async def __anext__(self) -> list[bytes]:
        while True:
            chunk = await self._next_chunk()
            if chunk is None:
                raise StopAsyncIteration
            *lines, self._partial_line = (self._partial_line + chunk).split(b"\n")
            if len(self._partial_line) > MAX_LINE_BYTES:
                detail = f"line exceeds {MAX_LINE_BYTES} bytes"
                raise AnswerTooLarge(self._step, self._peer, detail)
            if lines:
                return lines

    async def read(self, max_bytes: int) -> bytes:
        """Read the rest of the response.

        Raises:
            AnswerTooLarge: It exceeds ``max_bytes`` bytes.
            LinkBroken: It was cut off.
        """
        chunks: list[bytes] = []
        size = 0
        while (chunk := await self._next_chunk()) is not None:
            chunks.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                raise AnswerTooLarge(self._step, self._peer, f"answer exceeds {max_bytes} bytes")
        return b"".join(chunks)

    async def _next_chunk(self) -> bytes | None:
        try:
            return await anext(self._chunks)
        except StopAsyncIteration:
            if self._partial_line:
                raise LinkBroken(self._step, self._peer, "ended within a line") from None
            return None
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            raise LinkBroken(self._step, self._peer, _error_detail(error)) from error


class HttpClient:
    """Calls peers given by ``host:port``, with a connection pool for each."""

    def __init__(self, limits: ClientLimits = DEFAULT_CLIENT_LIMITS) -> None:
        self._limits = limits
        self._pools: dict[str, ConnectionPool] = {}
        self._single_use_pools: dict[str, ConnectionPool] = {}

    async def call(
        self,
        peer: str,
        method: str,
        path: str,
        *,
        step: str,
        timeout_s: float,
        body: bytes = b"",
        headers: Iterable[tuple[str, str]] = (),
        new_connection: bool = False,
    ) -> HttpResponse:
        """Send a request and read the complete response, whatever its status.

        Args:
            peer: ``host:port``.
            method: HTTP method.
            path: Path and query.
            step: The purpose of the call, included in errors.
            timeout_s: Timeout of the whole call in seconds.
            body: Request body.
            headers: Additional request headers.
            new_connection: Open a new connection, which cannot hold bytes of an earlier response.

        Raises:
            NothingSent: The peer cannot have read the request.
            LinkBroken: The peer may have read the request.
            AnswerTooLarge: The response body exceeds ``ClientLimits.max_answer_bytes``.
        """
        with trio.move_on_after(timeout_s):
            async with self.stream(
                peer,
                method,
                path,
                step=step,
                body=body,
                headers=headers,
                read_timeout_s=timeout_s,
                new_connection=new_connection,
            ) as stream:
                response_body = await stream.read(self._limits.max_answer_bytes)
                return HttpResponse(stream.status, stream.headers, response_body)
        raise LinkBroken(step, peer, f"no answer within {timeout_s} s")

    @asynccontextmanager
    async def stream(
        self,
        peer: str,
        method: str,
        path: str,
        *,
        step: str,
        body: bytes = b"",
        headers: Iterable[tuple[str, str]] = (),
        read_timeout_s: float = READ_TIMEOUT_S,
        new_connection: bool = False,
    ) -> AsyncIterator[HttpStream]:
        """Send a request and yield the response as it arrives.

        Leaving the context before the end of the response closes the connection, which tells the
        peer that the response is no longer needed.

        Args:
            peer: ``host:port``.
            method: HTTP method.
            path: Path and query.
            step: The purpose of the call, included in errors.
            body: Request body.
            headers: Additional request headers.
            read_timeout_s: Maximum time between two chunks of the response, in seconds.
            new_connection: Open a new connection, which cannot hold bytes of an earlier response.

        Raises:
            NothingSent: The peer cannot have read the request.
            LinkBroken: The peer may have read the request.
        """
        try:
            request = _request(peer, method, path, body, headers)
        except UnicodeEncodeError as error:
            raise NothingSent(step, peer, _error_detail(error)) from error
        request.extensions["timeout"] = self._timeouts(read_timeout_s)
        try:
            response = await self._pool(peer, new_connection).handle_async_request(request)
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
            raise NothingSent(step, peer, _error_detail(error)) from error
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            raise LinkBroken(step, peer, _error_detail(error)) from error
        try:
            yield HttpStream(response, step, peer)
        finally:
            await response.aclose()

    @asynccontextmanager
    async def relay(
        self,
        peer: str,
        method: str,
        target: bytes,
        *,
        step: str,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes = b"",
        new_connection: bool = False,
    ) -> AsyncIterator[RawResponse]:
        """Send a request with exactly the given headers and yield the response as it arrives.

        Only connecting has a timeout. Leaving the context before the end of the response closes
        the connection.

        Args:
            peer: ``host:port``.
            method: HTTP method.
            target: Path and query.
            step: The purpose of the call, included in errors.
            headers: All request headers except ``Content-Length``.
            body: Request body.
            new_connection: Open a new connection, which the peer cannot have closed as idle and
                which cannot hold bytes of an earlier response.

        Raises:
            NothingSent: The peer cannot have read the request.
            LinkBroken: The peer may have read the request.
        """
        raw_headers = list(headers)
        if body or method in ("POST", "PUT", "PATCH"):
            raw_headers.append((b"content-length", str(len(body)).encode("ascii")))
        request = httpcore.Request(
            method, _url(peer, target), headers=raw_headers, content=body, extensions={}
        )
        connect_timeout_s = self._limits.connect_timeout_s
        request.extensions["timeout"] = {"connect": connect_timeout_s, "pool": connect_timeout_s}
        try:
            response = await self._pool(peer, new_connection).handle_async_request(request)
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
            raise NothingSent(step, peer, _error_detail(error)) from error
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            raise LinkBroken(step, peer, _error_detail(error)) from error
        try:
            lowercase_headers = tuple((key.lower(), value) for key, value in response.headers)
            yield RawResponse(
                response.status, lowercase_headers, _response_chunks(response, step, peer)
            )
        finally:
            await response.aclose()

    def discard_pool(self, peer: str) -> None:
        """Discard the connection pools of a peer, unless they still have connections."""
        for pools in (self._pools, self._single_use_pools):
            pool = pools.get(peer)
            if pool is not None and not pool.connections:
                del pools[peer]

    async def aclose(self) -> None:
        """Close all connections."""
        pools = [*self._pools.values(), *self._single_use_pools.values()]
        self._pools, self._single_use_pools = {}, {}
        for pool in pools:
            await pool.aclose()

    def _pool(self, peer: str, is_single_use: bool) -> ConnectionPool:
        pools = self._single_use_pools if is_single_use else self._pools
        if peer not in pools:
            pools[peer] = ConnectionPool(
                self._limits.max_connections,
                0 if is_single_use else self._limits.max_idle_connections,
                self._limits.keep_alive_s,
                _SOCKET_OPTIONS,
            )
        return pools[peer]

    def _timeouts(self, read_timeout_s: float) -> Mapping[str, float]:
        connect_timeout_s = self._limits.connect_timeout_s
        return {
            "connect": connect_timeout_s,
            "pool": connect_timeout_s,
            "read": read_timeout_s,
            "write": read_timeout_s,
        }


def _request(
    peer: str, method: str, path: str, body: bytes, headers: Iterable[tuple[str, str]]
) -> httpcore.Request:
    raw_headers = [(b"host", peer.encode("ascii"))]
    raw_headers += [(key.encode("latin-1"), value.encode("latin-1")) for key, value in headers]
    if body or method in ("POST", "PUT", "PATCH"):
        raw_headers.append((b"content-length", str(len(body)).encode("ascii")))
    url = _url(peer, path.encode("ascii"))
    return httpcore.Request(method, url, headers=raw_headers, content=body, extensions={})


def _url(peer: str, target: bytes) -> httpcore.URL:
    host, _, port = peer.rpartition(":")
    return httpcore.URL(
        scheme=b"http", host=host.strip("[]").encode("ascii"), port=int(port), target=target
    )


async def _response_chunks(
    response: httpcore.Response, step: str, peer: str
) -> AsyncIterator[bytes]:
    try:
        async for chunk in response.aiter_stream():
            yield chunk
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
        raise LinkBroken(step, peer, _error_detail(error)) from error


def _decoded_headers(response: httpcore.Response) -> tuple[tuple[str, str], ...]:
    return tuple(
        (key.decode("latin-1").lower(), value.decode("latin-1")) for key, value in response.headers
    )


def _error_detail(error: Exception) -> str:
    detail = f"{type(error).__name__}: {error}" if str(error) else type(error).__name__
    return detail if len(detail) <= MAX_DETAIL_CHARS else f"{detail[:MAX_DETAIL_CHARS]}..."
