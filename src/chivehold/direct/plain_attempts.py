"""One attempt at a request to a plain service: sends it to an upstream and reads the response."""

from contextlib import suppress
from typing import NamedTuple

import trio

from chivehold.core.direct.fleet import Fleet, Verdict
from chivehold.core.direct.messages import Dialect, ForwardingOptions, RawHeaders, UpstreamRecord
from chivehold.direct.crash_watch import CrashWatch
from chivehold.direct.exchange import Exchange
from chivehold.direct.metrics import DirectMetrics
from chivehold.direct.room_waiting import RoomWaiting
from chivehold.direct.signals import SignalReader
from chivehold.http_client import HttpClient, LinkBroken, NothingSent, RawResponse

MAX_RESPONSE_BYTES = 8 << 20
MIN_ERROR_STATUS = 500


class CompleteResponse(NamedTuple):
    """An upstream's complete response."""

    upstream: UpstreamRecord
    status: int
    headers: RawHeaders
    body: bytes


class NotRun(NamedTuple):
    """The upstream has not run the request."""

    upstream: UpstreamRecord
    detail: str
    sent: bool
    """Whether the request was sent to the upstream at all."""
    misdirected: bool = False
    """The address now belongs to another upstream."""


class BrokenCall(NamedTuple):
    """There was no valid response; the upstream may have run the request."""

    upstream: UpstreamRecord
    detail: str
    ended: bool = False
    """Whether the upstream's process ended meanwhile; the request may be the cause."""


AttemptResult = CompleteResponse | NotRun | BrokenCall


class PlainAttempts:
    """Sends requests to the upstreams of plain services, each attempt by itself.

    Args:
        fleet: The upstreams.
        client: Sends the calls.
        dialect: The wire format of the calls.
        signals: Reads the headers of all responses.
        metrics: Counts attempts.
        crashes: Watches the attempts for those that end their upstream.
        room: Is told when an attempt has ended.
    """

    def __init__(
        self,
        fleet: Fleet,
        client: HttpClient,
        dialect: Dialect,
        signals: SignalReader,
        metrics: DirectMetrics,
        crashes: CrashWatch,
        room: RoomWaiting,
    ) -> None:
        self._fleet = fleet
        self._client = client
        self._dialect = dialect
        self._signals = signals
        self._metrics = metrics
        self._crashes = crashes
        self._room = room

    def record_start(self, upstream: UpstreamRecord) -> None:
        """Record that a request is about to be sent; ``send`` must follow."""
        self._fleet.spend_permit(upstream, trio.current_time())
        self._fleet.record_start(upstream)

    async def send(self, exchange: Exchange, upstream: UpstreamRecord) -> AttemptResult:
        """Send the request to one upstream and read its complete response."""
        sent_at = trio.current_time()
        verdict = Verdict.UNKNOWN
        latency_s: float | None = None
        try:
            result = await self._call(exchange, upstream)
            latency_s = trio.current_time() - sent_at
            verdict = _verdict_of(result)
            return result
        finally:
            now = trio.current_time()
            if verdict is not Verdict.SOUND:
                latency_s = None
            suspended_s = self._fleet.record_end(upstream, verdict, now, latency_s)
            self._room.notify(exchange.service)
            self._metrics.count_attempt(exchange.service, verdict)
            if verdict not in (Verdict.SOUND, Verdict.UNKNOWN):
                exchange.log(
                    "attempt failed",
                    peer=upstream.name,
                    outcome=verdict,
                    detail=result.detail if isinstance(result, NotRun | BrokenCall) else "",
                    took_ms=round((now - sent_at) * 1_000),
                    suspended_ms=round(suspended_s * 1_000),
                )

    async def _call(self, exchange: Exchange, upstream: UpstreamRecord) -> AttemptResult:
        forwarding = ForwardingOptions(exchange.time_left_s())
        sent_at = trio.current_time()
        headers = self._dialect.forwarded_headers(exchange.headers, upstream, forwarding)
        watch = self._crashes.start_attempt(exchange, upstream)
        try:
            async with self._client.relay(
                upstream.address,
                exchange.method,
                exchange.target,
                step="call service",
                headers=headers,
                body=exchange.body,
                new_connection=not exchange.route.retryable,
            ) as response:
                self._signals.read(upstream, response.status, response.headers, sent_at)
                metadata = self._dialect.read_response(response.status, response.headers)
                if metadata.request_id is not None and not exchange.matches(metadata):
                    return BrokenCall(upstream, "response to another request")
                if metadata.not_run:
                    await _discard_body(response, exchange)
                    return NotRun(upstream, f"status {response.status}", True, metadata.misdirected)
                body = await _read_body(response, exchange)
        except NothingSent as error:
            return NotRun(upstream, error.detail, sent=False)
        except LinkBroken as error:
            watch.record_break()
            ended = await self._crashes.has_ended(upstream)
            return BrokenCall(upstream, error.detail, ended)
        if response.status < MIN_ERROR_STATUS:
            watch.record_harmless()
        if body is None:
            return BrokenCall(upstream, "response too long")
        if not metadata.signed or metadata.content_encoded or metadata.request_id is None:
            return BrokenCall(upstream, f"unsigned response with status {response.status}")
        return CompleteResponse(upstream, response.status, response.headers, body)


def _verdict_of(result: AttemptResult) -> Verdict:
    if isinstance(result, CompleteResponse):
        return Verdict.SOUND if result.status < MIN_ERROR_STATUS else Verdict.ERROR
    if isinstance(result, BrokenCall) or not result.sent:
        return Verdict.FAILED
    return Verdict.GONE if result.misdirected else Verdict.FULL


async def _discard_body(response: RawResponse, exchange: Exchange) -> None:
    """Read a body that is not passed on, so that its connection can be used again.

    The head of a refusal says all that counts, whether its body is complete or not.
    """
    with suppress(LinkBroken):
        await _read_body(response, exchange)


async def _read_body(response: RawResponse, exchange: Exchange) -> bytes | None:
    """Read a response body, or return ``None`` if it exceeds ``MAX_RESPONSE_BYTES``.

    Memory for it is reserved first, the whole at once if its length is known: two that are held in
    part could wait for each other.
    """
    reserved = _declared_length(response)
    if reserved > MAX_RESPONSE_BYTES:
        return None
    await exchange.reserve_answer(reserved)
    collected: list[bytes] = []
    size = 0
    async for chunk in response.chunks:
        size += len(chunk)
        if size > MAX_RESPONSE_BYTES:
            return None
        if size > reserved:
            await exchange.reserve_answer(size - reserved)
            reserved = size
        collected.append(chunk)
    return b"".join(collected)


def _declared_length(response: RawResponse) -> int:
    """Return the ``Content-Length`` of a response, or 0 if there is none."""
    for name, value in response.headers:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return 0
