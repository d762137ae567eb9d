"""An upstream that answers with any bytes and ends its connections in any way."""

import socket
import struct
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from enum import StrEnum

import trio

from chivehold.fakes.platform_upstream import ModelEngine, PlainUpstream
from tests.direct.harness import EntryHarness, wait_until

MAX_REQUEST_BYTES = 65_536
ENDLESS_CHUNK_BYTES = 1_400
RESET_DELAY_S = 0.1
LONG_BODY = bytes(8 << 20)
"""More than the buffers of two sockets hold, so that it cannot be sent without being read."""


GRANTED = b'HTTP/1.1 200 OK\r\ncontent-length: 13\r\nconnection: close\r\n\r\n{"hold": "h"}'


class Ending(StrEnum):
    """How a connection ends after the answer's bytes."""

    ORDERLY = "orderly"
    RESET = "reset"
    SILENT = "silent"
    """Nothing more comes and the connection stays open."""
    ENDLESS = "endless"
    """Bytes that complete nothing go on until the caller closes."""
    TRICKLE = "trickle"
    """The same, a byte at a time."""
    RESET_LATER = "reset later"
    """The answer ends in an orderly way; a moment later the rest of the request is reset."""


class RawUpstream:
    """Answers each request with the same bytes.

    Args:
        answer: Returns the bytes of the answer to a request of a given id.
        ending: How the connection ends.
        filler: Repeated after the answer if bytes go on without end.
        is_early: Answer a request that has an id once its head is there, and read none of its body.
        answers_calls: Answer requests without an id in the same way; else all are granted.
    """

    def __init__(
        self,
        answer: Callable[[str], bytes],
        ending: Ending,
        filler: bytes = b"x",
        is_early: bool = False,
        answers_calls: bool = False,
    ) -> None:
        self._answer = answer
        self._ending = ending
        self._filler = filler
        self._is_early = is_early
        self._answers_calls = answers_calls
        self._may_answer = trio.Event()
        self._may_answer.set()
        self.requests = 0
        self.sent_bytes = 0

    def hold_answers(self) -> None:
        """Keep back all answers until they are released."""
        self._may_answer = trio.Event()

    def release_answers(self) -> None:
        """Send the answers that have been kept back."""
        self._may_answer.set()

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        try:
            request_id = await _read_request_id(stream, self._is_early, self._answers_calls)
            if not request_id and not self._answers_calls:
                # Reservations carry no request id.
                await stream.send_all(GRANTED)
                return
            self.requests += 1
            await self._may_answer.wait()
            await stream.send_all(self._answer(request_id))
            await self._end(stream)
        except trio.BrokenResourceError:
            return

    async def _end(self, stream: trio.SocketStream) -> None:
        if self._ending is Ending.RESET:
            linger = struct.pack("ii", 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        elif self._ending is Ending.SILENT:
            await trio.sleep_forever()
        elif self._ending is Ending.RESET_LATER:
            await stream.send_eof()
            await trio.sleep(RESET_DELAY_S)
        while self._ending in (Ending.ENDLESS, Ending.TRICKLE):
            filler = self._filler
            if self._ending is Ending.ENDLESS:
                filler *= ENDLESS_CHUNK_BYTES // len(filler)
            await stream.send_all(filler)
            self.sent_bytes += len(filler)
            await trio.sleep(0.0 if self._ending is Ending.ENDLESS else 0.05)


@asynccontextmanager
async def raw_peer(upstream: RawUpstream) -> AsyncIterator[str]:
    """Serve an upstream and yield its address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    host, port = listeners[0].socket.getsockname()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, upstream.handle, listeners)
        yield f"{host}:{port}"
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def raw_upstream(
    harness: EntryHarness, service: str, upstream: RawUpstream
) -> AsyncIterator[None]:
    """Serve an upstream and list it in the store."""
    async with raw_peer(upstream) as address:
        listed = ModelEngine("raw", "decode") if service == "model" else PlainUpstream("raw")
        harness.list_upstream(listed, service, address)
        yield


async def add_second_upstream(
    harness: EntryHarness, raw: RawUpstream, second: PlainUpstream, service: str
) -> None:
    """Add an upstream once the raw one has a request, whose answer is kept back until then."""
    raw.hold_answers()
    await wait_until(lambda: raw.requests)
    await harness.add_upstream(second, service)
    await wait_until(lambda: len(harness.entry.dump()["upstreams"]) == 2)
    raw.release_answers()


async def _read_request_id(stream: trio.SocketStream, is_early: bool, answers_calls: bool) -> str:
    """Read a request and return its id, empty if there is none.

    Closing a connection with unread bytes would reset it, so the body is read as well, unless the
    answer to a request with an id is to be early.
    """
    received = bytearray()
    while b"\r\n\r\n" not in received and len(received) < MAX_REQUEST_BYTES:
        received += await _receive(stream)
    head, _, body = bytes(received).partition(b"\r\n\r\n")
    fields = dict(_fields(head))
    request_id = fields.get(b"x-chivehold-request-id", b"").decode()
    if is_early and (request_id or answers_calls):
        return request_id
    missing = int(fields.get(b"content-length", b"0")) - len(body)
    while missing > 0:
        missing -= len(await _receive(stream))
    return request_id


def _fields(head: bytes) -> Iterator[tuple[bytes, bytes]]:
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        yield name.lower(), value.strip()


async def _receive(stream: trio.SocketStream) -> bytes:
    received = await stream.receive_some()
    if not received:
        raise trio.BrokenResourceError
    return bytes(received)
