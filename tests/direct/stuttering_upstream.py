"""An upstream that sends bytes of a second answer on a kept connection."""

from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager

import trio

from chivehold.fakes.platform_upstream import ModelEngine, PlainUpstream
from tests.direct.harness import EntryHarness

MAX_HEAD_BYTES = 65_536


class Turn:
    """A request at the stand-in.

    Args:
        ids: Ids of the requests on its connection so far, its own last; empty for calls without.
        target: Method and path.
    """

    def __init__(self, ids: Sequence[str], target: str) -> None:
        self.ids = ids
        self.target = target

    @property
    def number(self) -> int:
        """Number of the request on its connection, from 1."""
        return len(self.ids)

    @property
    def request(self) -> str:
        """Id of the request."""
        return self.ids[-1]


Script = Callable[[Turn], Sequence[bytes]]
"""Returns the bytes to send for a request; a pause follows each of them."""


def answer(
    status: int,
    request: str,
    body: bytes | None,
    stamp: str = "by.raw",
    fields: Sequence[str] = (),
) -> bytes:
    """Return an answer; one with a body of ``None`` has no length, and nothing follows its head."""
    lines = [f"HTTP/1.1 {status} Some Reason", *fields]
    if body is not None:
        lines.append(f"content-length: {len(body)}")
    if request:
        lines += [f"x-chivehold-request-id: {request}", f"x-chivehold-server-stamp: {stamp}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


class StutteringUpstream:
    """Answers each request as a script says, and keeps its connections.

    Args:
        script: What to send for a request.
        pause_s: Pause between the parts, in seconds.
    """

    def __init__(self, script: Script, pause_s: float = 0.03) -> None:
        self._script = script
        self._pause_s = pause_s
        self.turns: list[Turn] = []
        self.connections = 0

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it is closed."""
        self.connections += 1
        ids: list[str] = []
        received = bytearray()
        try:
            while True:
                ids, target = await self._read_request(stream, received, ids)
                turn = Turn(ids, target)
                self.turns.append(turn)
                for number, part in enumerate(self._script(turn)):
                    if number:
                        await trio.sleep(self._pause_s)
                    if not part:
                        await stream.aclose()
                        return
                    await stream.send_all(part)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _read_request(
        self, stream: trio.SocketStream, received: bytearray, ids: Sequence[str]
    ) -> tuple[list[str], str]:
        while b"\r\n\r\n" not in received:
            await _receive(stream, received)
        head, _, _ = bytes(received).partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        fields = {name.lower(): value.strip() for name, _, value in map(_split, lines)}
        length = len(head) + 4 + int(fields.get("content-length", "0"))
        while len(received) < length:
            await _receive(stream, received)
        del received[:length]
        return [*ids, fields.get("x-chivehold-request-id", "")], first.rpartition(" ")[0]


def _split(line: str) -> tuple[str, str, str]:
    return line.partition(":")


async def _receive(stream: trio.SocketStream, received: bytearray) -> None:
    chunk = await stream.receive_some()
    if not chunk or len(received) > MAX_HEAD_BYTES:
        raise trio.BrokenResourceError
    received += chunk


@asynccontextmanager
async def stuttering_upstream(
    harness: EntryHarness, service: str, upstream: StutteringUpstream, stage: str = "decode"
) -> AsyncIterator[None]:
    """Serve an upstream and list it in the store."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    host, port = listeners[0].socket.getsockname()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, upstream.handle, listeners)
        name = f"raw-{stage}" if service == "model" else "raw"
        listed = ModelEngine(name, stage) if service == "model" else PlainUpstream(name)
        harness.list_upstream(listed, service, f"{host}:{port}")
        yield
        nursery.cancel_scope.cancel()
