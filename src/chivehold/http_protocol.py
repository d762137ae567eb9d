"""HTTP/1 on the server's side of a connection.

Hypercorn's classes are extended so that a connection speaks nothing else, and so that a request can
always end, however much of its body has not been read.
"""

from collections.abc import Awaitable, Callable, MutableMapping
from http import HTTPStatus
from typing import Any

import h11
import trio
from hypercorn.config import Config
from hypercorn.events import Closed
from hypercorn.protocol.events import Request
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream
from hypercorn.trio.task_group import TaskGroup, _handle
from hypercorn.typing import AppWrapper

from chivehold.http_heads import folded_line_problem

HTTP_1_0 = b"1.0"
SUPPORTED_VERSIONS = (HTTP_1_0, b"1.1")
MAX_QUEUED_MESSAGES = 1
"""Parts of a body, of at most one read each, that wait for the application."""
DISCONNECT = "http.disconnect"

Message = MutableMapping[str, Any]


class RequestParser(h11.Connection):
    """Parses requests, refuses folded lines, and drops trailers, which nothing here reads."""

    def __init__(self, max_incomplete_event_size: int) -> None:
        super().__init__(h11.SERVER, max_incomplete_event_size)

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event; see ``h11.Connection``."""
        unparsed = self._unparsed_head()
        try:
            event = super().next_event()
        except h11.RemoteProtocolError as error:
            # h11's traceback refers to the error and would keep the buffer in memory.
            raise error.with_traceback(None) from None
        if isinstance(event, h11.Request):
            body_part, _ = self.trailing_data
            if problem := folded_line_problem(unparsed.removesuffix(body_part)):
                raise h11.RemoteProtocolError(problem)
        # Parsed, the many short fields of a long trailer take many times its size.
        return h11.EndOfMessage() if isinstance(event, h11.EndOfMessage) else event

    def _unparsed_head(self) -> bytes:
        """Return what has been received of the next request, empty if one is in progress."""
        if self.their_state is not h11.IDLE:
            return b""
        unparsed, _ = self.trailing_data
        return unparsed


class HttpProtocol(H11Protocol):  # type: ignore[misc]
    """HTTP/1 on one connection; upgrades and other versions are refused or ignored."""

    def __init__(self, app: AppWrapper, config: Config, *arguments: Any) -> None:
        super().__init__(app, config, *arguments)
        self.connection = RequestParser(config.h11_max_incomplete_size)

    @property
    def is_response_cut_off(self) -> bool:
        """Whether closing the connection would look like the end of an incomplete response.

        A client of HTTP/1.0 gets no chunks: the end of the connection is that of the response.
        """
        is_incomplete = self.connection.our_state is h11.SEND_BODY
        return is_incomplete and self.connection.their_http_version == HTTP_1_0

    async def _check_protocol(self, event: h11.Request) -> None:
        """Continue with HTTP/1, whatever the request asks for."""

    async def _create_stream(self, request: h11.Request) -> None:
        if request.http_version not in SUPPORTED_VERSIONS:
            await self._refuse(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED)
            return
        if request.method == b"CONNECT":
            await self._refuse(HTTPStatus.NOT_FOUND)
            return
        if _is_websocket_handshake(request):
            await self._refuse(HTTPStatus.FORBIDDEN)
            return
        self.stream = HTTPStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            STREAM_ID,
        )
        await self.stream.handle(
            Request(
                stream_id=STREAM_ID,
                headers=list(request.headers),
                http_version=request.http_version.decode(),
                method=request.method.decode("ascii").upper(),
                raw_path=request.target,
                state=self.connection_state,
            )
        )

    async def _refuse(self, status: HTTPStatus) -> None:
        """Answer a request and close the connection."""
        await self._send_error_response(status)
        await self.send(Closed())


class MessageQueue:
    """The messages of a request that its application has not received yet."""

    def __init__(self) -> None:
        self._messages: list[Message] = []
        self._is_disconnected = False
        self._changed = trio.Event()

    async def put(self, message: Message) -> None:
        """Add a message: a disconnect at once, a part of the body when there is room for it.

        After a disconnect, and while a part waits for room, parts of the body are dropped.
        """
        if message["type"] == DISCONNECT:
            self._is_disconnected = True
        while len(self._messages) >= MAX_QUEUED_MESSAGES and not self._is_disconnected:
            await self._changed.wait()
        if message["type"] == DISCONNECT or not self._is_disconnected:
            self._messages.append(message)
        self._notify()

    async def get(self) -> Message:
        """Wait for the next message and remove it."""
        while not self._messages:
            await self._changed.wait()
        message = self._messages.pop(0)
        self._notify()
        return message

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


class RequestTasks(TaskGroup):  # type: ignore[misc]
    """Runs the application for each request of a connection."""

    async def spawn_app(
        self,
        app: AppWrapper,
        config: Config,
        scope: MutableMapping[str, Any],
        send: Callable[[Message | None], Awaitable[None]],
    ) -> Callable[[Message], Awaitable[None]]:
        """Start the application on a request and return what passes messages to it."""
        queue = MessageQueue()
        run_sync, run = trio.to_thread.run_sync, trio.from_thread.run
        self.spawn(_handle, app, config, scope, queue.get, send, run_sync, run)
        return queue.put


def _is_websocket_handshake(request: h11.Request) -> bool:
    return request.method == b"GET" and any(
        name == b"upgrade" and value.strip().lower() == b"websocket"
        for name, value in request.headers
    )
