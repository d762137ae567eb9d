"""What ASGI applications use to read requests and to send responses."""

from collections.abc import Awaitable, Callable, Iterable, MutableMapping
from typing import Any, NamedTuple

import msgspec
import trio

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers = Iterable[tuple[str, str]]

JSON_TYPE = "application/json"
BODY_TIMEOUT_S = 30.0


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
