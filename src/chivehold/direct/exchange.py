"""A caller's request and the reply to it."""

import logging
from collections.abc import Callable
from typing import NamedTuple

import trio

from chivehold.asgi import Send
from chivehold.bodies import Reservation
from chivehold.core.direct.crash_keys import CrashKey
from chivehold.core.direct.messages import RawHeaders, RequestMetadata, ResponseMetadata
from chivehold.core.direct.organisations import Organisation
from chivehold.core.direct.routes import Route
from chivehold.logs import log_event

_log = logging.getLogger(__name__)


class RequestProgress:
    """How far a request has come."""

    def __init__(self) -> None:
        self.was_sent = False
        """Whether an attempt to send it to an upstream has begun."""
        self.may_have_run = False
        """Whether an upstream was to run it, and not only to prefill its prompt."""


class Exchange(NamedTuple):
    """A received request with its route and time limits, in seconds of the monotonic clock."""

    metadata: RequestMetadata
    route: Route
    service: str
    configuration: int
    """Version of the configuration that contains the route."""
    host: str
    method: str
    target: bytes
    """Path and query as sent by the caller."""
    headers: RawHeaders
    """Without the caller's API key, and with the name of its organisation."""
    body: bytes
    arrived_at: float
    expires_at: float
    """When the caller's deadline or the route's timeout expires, whichever is earlier."""
    waited_before_s: float
    """How long the caller waited before this retry, in seconds; 0 for a first request."""
    crash_keys: tuple[CrashKey, ...] = ()
    """The key of the request's content, then those of the parts of its prompt."""
    software: str | None = None
    """Version of the software at which a stream that the caller resumes has to go on."""
    trial_of: CrashKey | None = None
    """The quarantined content that this request is let through with, to see if it is harmless."""
    organisation: Organisation | None = None
    """The organisation that holds the caller's API key, if there is one."""
    progress: RequestProgress | None = None
    memory: Reservation | None = None
    """Reserved for the body, and for answers that are held until they can be sent."""
    urgency: int | None = None
    """Urgency stated to engines; ``None`` where all streams of the service are equally urgent."""

    @property
    def priority(self) -> int:
        """Priority of the organisation, else of the route; 0 is the most urgent."""
        if self.organisation is None or self.organisation.priority is None:
            return self.route.priority
        return self.organisation.priority

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.metadata.request_id

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return self.progress is None or self.progress.may_have_run

    def record_prefill(self) -> None:
        """Record that the request is about to be sent to an upstream that prefills its prompt."""
        if self.progress is not None:
            self.progress.was_sent = True

    def record_attempt(self) -> None:
        """Record that the request is about to be sent to an upstream that runs it."""
        if self.progress is not None:
            self.progress.was_sent = True
            self.progress.may_have_run = True

    async def reserve_answer(self, size: int) -> None:
        """Wait until there is memory for further bytes of an answer, and reserve them."""
        if self.memory is not None:
            await self.memory.grow_when_free(size)

    def time_left_s(self) -> float:
        """Return the time left until the request expires, in seconds; negative afterwards."""
        return self.expires_at - trio.current_time()

    def age_s(self) -> float:
        """Return the time since the request arrived, in seconds."""
        return trio.current_time() - self.arrived_at

    def matches(self, metadata: ResponseMetadata) -> bool:
        """Return whether a response belongs to this request."""
        return metadata.request_id == self.request_id

    def log(self, event: str, level: int = logging.INFO, **fields: object) -> None:
        """Log an event of this request."""
        age_ms = round(self.age_s() * 1_000)
        log_event(_log, level, event, None, request=self.request_id, age_ms=age_ms, **fields)


class Reply:
    """Sends the response to one request and tracks how much has been sent.

    Args:
        send: The ASGI send callable of the request.
        should_close: Returns whether to close the connection after the response.
    """

    def __init__(self, send: Send, should_close: Callable[[], bool]) -> None:
        self._send = send
        self._should_close = should_close
        self._started = False
        self._ended = False
        self.has_not_run = False
        """Whether the request was refused and has certainly not run."""

    @property
    def started(self) -> bool:
        """Whether status and headers have been sent."""
        return self._started

    @property
    def ended(self) -> bool:
        """Whether the complete response has been sent."""
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
        """Send a chunk of the body."""
        await self._send({"type": "http.response.body", "body": body, "more_body": True})

    async def send_end(self) -> None:
        """Mark the response as complete; without this call the connection is aborted."""
        self._ended = True
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})

    async def send_full(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Send a complete response."""
        length = (b"content-length", str(len(body)).encode())
        await self.send_head(status, [*headers, length])
        self._ended = True
        await self._send({"type": "http.response.body", "body": body, "more_body": False})
