"""Upstreams that write down what they start and end, and whose answers can be checked."""

import json
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import NamedTuple

from chivehold.core.identity import AttemptId, RequestId, UpstreamName
from chivehold.fakes.output import output_tokens, prompt_digest
from chivehold.fakes.platform_upstream import REQUEST_ID_HEADER, ModelEngine, PlainUpstream
from chivehold.history.events import UpstreamEvent, UpstreamEventKind, Violation
from chivehold.http_server import Scope, Send, respond

EXPECTED = "x-chivehold-expect-instance"
STREAM_EVENTS = 40
EVENT_S = 0.08
PREFILL_S = 0.05
PLAIN_S = 0.04
HANDLE_TTL_S = 1.0


class Arrival(NamedTuple):
    """A request that reached an upstream."""

    at_s: float
    service: str
    request: str
    is_prefill: bool


class Ledger:
    """What all upstreams of a run saw; times are Unix times in seconds."""

    def __init__(self) -> None:
        self.work: list[UpstreamEvent] = []
        self.arrivals: list[Arrival] = []
        self.violations: list[Violation] = []
        self._attempts: Counter[str] = Counter()

    def arrived(self, service: str, request: str, is_prefill: bool = False) -> None:
        self.arrivals.append(Arrival(time.time(), service, request, is_prefill))

    def began(
        self, upstream: str, kind: UpstreamEventKind, request: str
    ) -> Callable[[UpstreamEventKind], None]:
        """Note a start, and return what notes its end."""
        self._attempts[request] += 1
        attempt = AttemptId(RequestId(request), self._attempts[request])
        self._note(upstream, kind, attempt)
        return lambda end: self._note(upstream, end, attempt)

    def lost(self, upstream: str) -> None:
        self.work.append(UpstreamEvent(UpstreamName(upstream), UpstreamEventKind.LOST, time.time()))

    def _note(self, upstream: str, kind: UpstreamEventKind, attempt: AttemptId) -> None:
        self.work.append(UpstreamEvent(UpstreamName(upstream), kind, time.time(), attempt))


class SoakService(PlainUpstream):
    """A plain service that answers with a digest of what it was asked."""

    def __init__(self, name: str, run: str, ledger: Ledger) -> None:
        super().__init__(name)
        self.run = run
        self._ledger = ledger
        self.work_s = PLAIN_S

    async def _handle(
        self, scope: Scope, headers: Mapping[str, str], body: bytes, send: Send
    ) -> None:
        self._ledger.arrived("plain", headers[REQUEST_ID_HEADER])
        await super()._handle(scope, headers, body, send)

    async def _run(self, headers: Mapping[str, str], body: bytes, send: Send) -> None:
        end = self._ledger.began(
            self.run, UpstreamEventKind.CALL_STARTED, headers[REQUEST_ID_HEADER]
        )
        try:
            await super()._run(headers, body, send)
        finally:
            end(UpstreamEventKind.CALL_ENDED)

    def _response_body(self, request: str, request_body: bytes) -> bytes:
        text = request_body.decode()
        return json.dumps({"path": text, "body_digest": prompt_digest(text)}).encode()


class SoakEngine(ModelEngine):
    """A model engine whose output is a function of the prompt."""

    def __init__(self, name: str, run: str, stage: str, ledger: Ledger) -> None:
        super().__init__(name, stage)
        self.run = run
        self._ledger = ledger
        self.events = STREAM_EVENTS
        self.event_s = EVENT_S
        self.work_s = PREFILL_S
        self.handle_ttl_s = HANDLE_TTL_S
        self.peers: Mapping[str, SoakEngine] = {}
        """All engines by address, for the KV caches that this one fetches."""

    async def _handle(
        self, scope: Scope, headers: Mapping[str, str], body: bytes, send: Send
    ) -> None:
        if REQUEST_ID_HEADER in headers:
            is_prefill = headers.get("x-chivehold-stage") == "prefill"
            self._ledger.arrived("model", headers[REQUEST_ID_HEADER], is_prefill)
        await super()._handle(scope, headers, body, send)

    async def _prefill(self, request: str, body: bytes, send: Send) -> None:
        end = self._ledger.began(self.run, UpstreamEventKind.PREFILL_STARTED, request)
        ended = UpstreamEventKind.CANCELLED
        try:
            await super()._prefill(request, body, send)
            ended = UpstreamEventKind.PREFILL_ENDED
        finally:
            end(ended)

    async def _stream(self, request: str, body: bytes, last: int, send: Send) -> None:
        end = self._ledger.began(self.run, UpstreamEventKind.DECODE_STARTED, request)
        ended = UpstreamEventKind.CANCELLED
        try:
            await super()._stream(request, body, last, send)
            ended = UpstreamEventKind.DECODE_ENDED
        finally:
            end(ended)

    def _event_data(self, request: str, number: int, body: bytes) -> str:
        (token,) = output_tokens(prompt_digest(body.decode()), number - 1, number)
        return token.strip()

    def _can_fetch_kv(self, request: str, source: str) -> bool:
        address, _, handle = source.rpartition("/")
        peer = self.peers.get(address)
        if self.lose_handles or peer is None:
            return False
        peer.expire()
        owner = peer.handles.pop(handle, None)
        if owner not in (None, request):
            detail = f"{request} goes on from the KV cache of {owner}"
            self._ledger.violations.append(Violation("own_kv_cache", self.name, detail))
        return owner == request


class ProbeUpstream(PlainUpstream):
    """Stands for many services at one address, and answers with the name it was called by."""

    async def _handle(
        self, scope: Scope, headers: Mapping[str, str], body: bytes, send: Send
    ) -> None:
        self.body = headers[EXPECTED].encode()
        answered = [
            (REQUEST_ID_HEADER, headers[REQUEST_ID_HEADER]),
            ("x-chivehold-server-stamp", "by.probe"),
        ]
        await respond(send, 200, headers[EXPECTED].encode(), "text/plain", answered)
