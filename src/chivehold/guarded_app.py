"""Limits on the requests in progress at a listener."""

import logging
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

import trio

from chivehold.asgi import (
    App,
    BodyIncomplete,
    BodyTooLarge,
    Message,
    Receive,
    Scope,
    Send,
    respond_error,
)
from chivehold.logs import log_event

MIN_BODY_TIMEOUT_S = 1.0
"""Time that a body has in any case; if it takes longer, its request may give way to another one."""
ENDED_REQUEST_TIMEOUT_S = 1.0
"""Maximum time that a request waits for the place of one that gives way."""
UNREAD_BODY_TIMEOUT_S = 1.0
"""Maximum time to read and discard the rest of a body that the application has not read."""
BUSY_RETRY_AFTER_S = 1.0
HELD_FIELD_BYTES = 400
"""Memory for a header field besides its name and value, of which several copies exist."""

_log = logging.getLogger(__name__)


async def _respond_busy(scope: Scope, receive: Receive, send: Send) -> None:
    retry_after = ("retry-after", str(int(BUSY_RETRY_AFTER_S)))
    # What the client has sent ahead is not to wait in memory for room.
    headers = [retry_after, ("connection", "close")]
    await respond_error(send, 503, "full", "too many requests in progress", headers)


class GuardedApp:
    """Wraps an application to limit concurrent requests and to turn exceptions into responses.

    Args:
        app: The application.
        max_requests: Maximum number of concurrent requests.
        max_held_head_bytes: Maximum memory for the heads of all requests in progress.
    """

    def __init__(self, app: App, max_requests: int, max_held_head_bytes: int) -> None:
        self._app = app
        self._max_requests = max_requests
        self._max_held_head_bytes = max_held_head_bytes
        self._in_progress = 0
        self._head_bytes = 0
        self._receiving: dict[_Exchange, None] = {}
        """The requests whose bodies are incomplete, oldest first."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI request."""
        exchange = _Exchange(receive, send)
        head_bytes = _held_head_bytes(scope)
        has_room = self._has_room_for(head_bytes) or await self._make_room_for(head_bytes)
        app = self._app if has_room else _respond_busy
        self._in_progress += 1
        self._head_bytes += head_bytes
        try:
            with exchange.receiving(self._receiving if has_room else {}):
                await self._handle_request(app, scope, exchange)
        finally:
            self._in_progress -= 1
            self._head_bytes -= head_bytes
            exchange.ended.set()

    def _has_room_for(self, head_bytes: int) -> bool:
        if self._in_progress == 0:
            return True
        return (
            self._in_progress < self._max_requests
            and self._head_bytes + head_bytes <= self._max_held_head_bytes
        )

    async def _make_room_for(self, head_bytes: int) -> bool:
        """End the request whose body has been incomplete for longest, and return whether it helped.

        The request may not be receiving its body at the moment, and keeps its place until it ends.
        """
        oldest = next(iter(self._receiving), None)
        if oldest is None or not oldest.end_slow_body():
            return False
        with trio.move_on_after(ENDED_REQUEST_TIMEOUT_S):
            await oldest.ended.wait()
        return self._has_room_for(head_bytes)

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
        self.ended = trio.Event()
        """Set once the request no longer takes a place."""

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
