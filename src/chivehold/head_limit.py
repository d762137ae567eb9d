"""Bounds the bytes that a peer may send before the head of its response is complete.

Interim responses (status 1xx) may come before a response in any number, so the limit of the parser
on one head does not bound them.
"""

from collections.abc import Iterable
from typing import Any

import httpcore

MAX_HEAD_BYTES = 131_072
READ_BYTES = 16_384
"""Bytes read at once before the head is complete; other tasks run in between."""


class HeadLimitStream(httpcore.AsyncNetworkStream):
    """A connection that fails if a response has no head within ``MAX_HEAD_BYTES``.

    Args:
        stream: The connection.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._head_bytes = 0
        self._is_head_complete = False

    def end_head(self) -> None:
        """Lift the limit, as the head of the response is complete."""
        self._is_head_complete = True

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:  # noqa: ASYNC109
        """Read at most some bytes; none at the end of the connection.

        Raises:
            httpcore.ReadError: The connection broke, or the limit is exceeded.
        """
        if self._is_head_complete:
            return await self._stream.read(max_bytes, timeout)
        if self._head_bytes >= MAX_HEAD_BYTES:
            raise httpcore.ReadError(f"no response within {MAX_HEAD_BYTES} bytes")
        received = await self._stream.read(min(max_bytes, READ_BYTES), timeout)
        self._head_bytes += len(received)
        return received

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:  # noqa: ASYNC109
        """Write a part of a request; the response to it has a limit of its own."""
        self._head_bytes = 0
        self._is_head_complete = False
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the underlying socket."""
        return self._stream.get_extra_info(info)


class HeadLimitBackend(httpcore.AsyncNetworkBackend):
    """Opens connections with this limit."""

    def __init__(self) -> None:
        self._backend = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,  # noqa: ASYNC109
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> HeadLimitStream:
        """Connect to a peer.

        Raises:
            httpcore.ConnectError: The peer cannot be reached.
            httpcore.ConnectTimeout: It was not reached in time.
        """
        stream = await self._backend.connect_tcp(host, port, timeout, local_address, socket_options)
        return HeadLimitStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Sleep between two tries to connect."""
        await self._backend.sleep(seconds)


def end_head(response: httpcore.Response) -> None:
    """Lift the limit of the connection that a response arrives at."""
    stream = response.extensions.get("network_stream")
    if isinstance(stream, HeadLimitStream):
        stream.end_head()
