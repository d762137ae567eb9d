"""Stand-in upstreams that record the work they do and whose answers can be checked."""

import json
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from chivehold.asgi import Scope, Send, respond
from chivehold.core.identity import AttemptId, RequestId, UpstreamName
from chivehold.fakes.identity import identity_fault
from chivehold.fakes.output import output_tokens, prompt_digest
from chivehold.fakes.platform_upstream import REQUEST_ID_HEADER, ModelEngine, PlainUpstream
from chivehold.history.events import UpstreamEvent, UpstreamEventKind, Violation

EXPECTED_INSTANCE = "x-chivehold-expect-instance"
STREAM_EVENTS = 40
EVENT_INTERVAL_S = 0.08
PREFILL_WORK_S = 0.05
PLAIN_WORK_S = 0.04
HANDLE_TTL_S = 1.0
SOFTWARE_MARK = "@"
"""Separates an event's token from the version of the software of the engine that wrote it."""
SOFTWARE_VERSIONS = ("v1", "v2")


class Arrival(NamedTuple):
    """A request that arrived at an upstream; ``at_s`` is a Unix time in seconds."""

    at_s: float
    service: str
    request: str
    is_prefill: bool
    upstream: str = ""
    """The run of the upstream."""


class SentSignal(NamedTuple):
    """A header that an upstream has sent in a response; ``at_s`` is a Unix time in seconds."""

    at_s: float
    upstream: str
    """The run of the upstream."""
    request: str
    header: str
    value: str


class WorkLog:
    """Records the work and the arrivals at all upstreams; times are Unix times in seconds."""

    def __init__(self) -> None:
        self.events: list[UpstreamEvent] = []
        self.arrivals: list[Arrival] = []
        self.signals: list[SentSignal] = []
        self.violations: list[Violation] = []
        self.organisations: dict[str, str | None] = {}
        """The organisation of each request; ``None`` if it has no known key and must not run."""
        self._attempts: Counter[str] = Counter()

    def record_arrival(
        self, service: str, request: str, upstream: str, is_prefill: bool = False
    ) -> None:
        self.arrivals.append(Arrival(time.time(), service, request, is_prefill, upstream))

    def check_identity(self, upstream: str, request: str, headers: Mapping[str, str]) -> None:
        """Check that a request carries its caller's organisation and no API key."""
        organisation = self.organisations.get(request)
        fault = identity_fault(headers, organisation)
        if fault is None and organisation is None:
            fault = "it has no known key"
        if fault is not None:
            self.violations.append(Violation("identity", upstream, f"{request}: {fault}"))

    def record_signals(
        self, upstream: str, request: str, headers: Iterable[tuple[str, str]]
    ) -> None:
        """Record the further headers of a response that has been sent."""
        self.signals += [
            SentSignal(time.time(), upstream, request, name, value) for name, value in headers
        ]

    def record_start(
        self, upstream: str, kind: UpstreamEventKind, request: str
    ) -> Callable[[UpstreamEventKind], None]:
        """Record the start of work, and return a function that records its end."""
        self._attempts[request] += 1
        attempt = AttemptId(RequestId(request), self._attempts[request])
        self._record(upstream, kind, attempt)
        return lambda end_kind: self._record(upstream, end_kind, attempt)

    def record_lost(self, upstream: str) -> None:
        self.events.append(
            UpstreamEvent(UpstreamName(upstream), UpstreamEventKind.LOST, time.time())
        )

    def _record(self, upstream: str, kind: UpstreamEventKind, attempt: AttemptId) -> None:
        self.events.append(UpstreamEvent(UpstreamName(upstream), kind, time.time(), attempt))


class SoakService(PlainUpstream):
    """A plain service that answers with a digest of the request body."""

    def __init__(self, name: str, run: str, work_log: WorkLog) -> None:
        super().__init__(name)
        self.run = run
        self._work_log = work_log
        self.work_s = PLAIN_WORK_S

    async def _handle(
        self, scope: Scope, headers: Mapping[str, str], body: bytes, send: Send
    ) -> None:
        request, announced = headers[REQUEST_ID_HEADER], tuple(self.response_headers)
        self._work_log.record_arrival("plain", request, self.run)
        self._work_log.check_identity(self.run, request, headers)
        await super()._handle(scope, headers, body, send)
        sent = (header for header in announced if header in self.response_headers)
        self._work_log.record_signals(self.run, request, sent)

    async def _run(self, headers: Mapping[str, str], body: bytes, send: Send) -> None:
        record_end = self._work_log.record_start(
            self.run, UpstreamEventKind.CALL_STARTED, headers[REQUEST_ID_HEADER]
        )
        try:
            await super()._run(headers, body, send)
        finally:
            record_end(UpstreamEventKind.CALL_ENDED)

    def _response_body(self, request: str, request_body: bytes) -> bytes:
        text = request_body.decode()
        return json.dumps({"path": text, "body_digest": prompt_digest(text)}).encode()


class SoakEngine(ModelEngine):
    """A model engine whose output is a function of the prompt."""

    def __init__(self, name: str, run: str, stage: str, work_log: WorkLog) -> None:
        super().__init__(name, stage)
        self.run = run
        self._work_log = work_log
        self.events = STREAM_EVENTS
        self.event_s = EVENT_INTERVAL_S
        self.work_s = PREFILL_WORK_S
        self.handle_ttl_s = HANDLE_TTL_S
        self.peers: Mapping[str, SoakEngine] = {}
        """All engines by address, from which this one fetches KV caches."""

    async def _handle(
        self, scope: Scope, headers: Mapping[str, str], body: bytes, send: Send
    ) -> None:
        request, announced = headers.get(REQUEST_ID_HEADER), tuple(self.response_headers)
        if request is not None:
            is_prefill = headers.get("x-chivehold-stage") == "prefill"
            self._work_log.record_arrival("model", request, self.run, is_prefill)
            self._work_log.check_identity(self.run, request, headers)
        await super()._handle(scope, headers, body, send)
        if request is not None:
            sent = (header for header in announced if header in self.response_headers)
            self._work_log.record_signals(self.run, request, sent)

    async def _prefill(self, request: str, body: bytes, send: Send) -> None:
        record_end = self._work_log.record_start(
            self.run, UpstreamEventKind.PREFILL_STARTED, request
        )
        end_kind = UpstreamEventKind.CANCELLED
        try:
            await super()._prefill(request, body, send)
            end_kind = UpstreamEventKind.PREFILL_ENDED
        finally:
            record_end(end_kind)

    async def _stream(self, request: str, body: bytes, last: int, send: Send) -> None:
        record_end = self._work_log.record_start(
            self.run, UpstreamEventKind.DECODE_STARTED, request
        )
        end_kind = UpstreamEventKind.CANCELLED
        try:
            await super()._stream(request, body, last, send)
            end_kind = UpstreamEventKind.DECODE_ENDED
        finally:
            record_end(end_kind)

    def _event_data(self, request: str, number: int, body: bytes) -> str:
        (token,) = output_tokens(prompt_digest(body.decode()), number - 1, number)
        return f"{token.strip()}{SOFTWARE_MARK}{self.software}"

    def _can_fetch_kv(self, request: str, source: str) -> bool:
        address, _, handle = source.rpartition("/")
        peer = self.peers.get(address)
        if self.lose_handles or peer is None:
            return False
        peer.expire()
        owner = peer.handles.pop(handle, None)
        if owner not in (None, request):
            detail = f"{request} continues from the KV cache of {owner}"
            self._work_log.violations.append(Violation("own_kv_cache", self.name, detail))
        return owner == request


class ProbeUpstream(PlainUpstream):
    """Serves many services at one address, and answers with the instance name of the request."""

    async def _handle(
        self, scope: Scope, headers: Mapping[str, str], body: bytes, send: Send
    ) -> None:
        self.body = headers[EXPECTED_INSTANCE].encode()
        response_headers = [
            (REQUEST_ID_HEADER, headers[REQUEST_ID_HEADER]),
            ("x-chivehold-server-stamp", "by.probe"),
        ]
        await respond(
            send, 200, headers[EXPECTED_INSTANCE].encode(), "text/plain", response_headers
        )
