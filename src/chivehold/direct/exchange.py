"""One caller's request on its way through the entry."""

import logging
from collections.abc import Callable
from typing import NamedTuple

import trio

from chivehold.core.direct.messages import RawHeaders, RequestMetadata, ResponseMetadata
from chivehold.core.direct.routes import Route
from chivehold.http_server import Send
from chivehold.logs import log_event

_log = logging.getLogger(__name__)


class Exchange(NamedTuple):
    """A request as read, with its route and its time limits in this entry's monotonic clock."""

    facts: RequestMetadata
    route: Route
    service: str
    configuration: int
    """Version of the configuration that named the route."""
    method: str
    target: bytes
    """Path with its query, as the caller wrote it."""
    headers: RawHeaders
    body: bytes
    arrived_at: float
    expires_at: float
    """When the caller or the route stops waiting."""
    waited_before_s: float
    """How long the caller has waited already before it came back; 0 for a first request."""

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.facts.request_id

    def time_left_s(self) -> float:
        """Return the time left, in seconds; below 0 when it is over."""
        return self.expires_at - trio.current_time()

    def age_s(self) -> float:
        """Return the time since the request arrived, in seconds."""
        return trio.current_time() - self.arrived_at

    def matches(self, facts: ResponseMetadata) -> bool:
        """Tell whether an answer belongs to this request."""
        return facts.request_id == self.request_id

    def log(self, event: str, level: int = logging.INFO, **fields: object) -> None:
        """Log a decision that touches this request."""
        age_ms = round(self.age_s() * 1_000)
        log_event(_log, level, event, None, request=self.request_id, age_ms=age_ms, **fields)


class Reply:
    """The answer to one request, as far as it has been sent.

    Args:
        send: The ASGI callable of the request.
        closes: Tells whether the connection is to be closed after the answer.
    """

    def __init__(self, send: Send, should_close: Callable[[], bool]) -> None:
        self._send = send
        self._should_close = should_close
        self._started = False
        self._ended = False

    @property
    def started(self) -> bool:
        """Whether status and headers have been sent."""
        return self._started

    @property
    def ended(self) -> bool:
        """Whether the whole answer has been sent."""
        return self._ended

    async def send_head(self, status: int, headers: RawHeaders) -> None:
        """Send status and headers."""
        self._started = True
        closing = [(b"connection", b"close")] if self._should_close() else []
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [*headers, *closing],
            }
        )

    async def send_chunk(self, body: bytes) -> None:
        """Send a part of the body."""
        await self._send({"type": "http.response.body", "body": body, "more_body": True})

    async def send_end(self) -> None:
        """Close the answer as whole; without this the connection is cut."""
        self._ended = True
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})

    async def send_full(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Send a whole answer."""
        length = (b"content-length", str(len(body)).encode())
        await self.send_head(status, [*headers, length])
        self._ended = True
        await self._send({"type": "http.response.body", "body": body, "more_body": False})
