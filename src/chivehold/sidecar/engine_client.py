"""Speaks the engine's HTTP interface and turns its answers into the core's messages."""

from collections.abc import AsyncIterator, Sequence
from typing import Any, Literal, NamedTuple, TypeVar

import msgspec

from chivehold.core.identity import AttemptId, Urgency
from chivehold.core.sidecar_messages import (
    EngineFailed,
    EngineFinished,
    EngineStatus,
    EngineTokens,
)
from chivehold.core.wire import (
    AttemptOffer,
    EngineOrder,
    ImportOrder,
    OrderResult,
    PrefillKind,
    PrefillOrder,
    PrefillResult,
    Reason,
)
from chivehold.http_client import HttpClient, HttpResponse, LinkBroken, LinkError, NothingSent
from chivehold.sidecar.engine_api import (
    CancelAnswer,
    CancelCall,
    DecodeCall,
    DecodeLine,
    EngineError,
    EngineState,
    OrderCall,
    PrefillAnswer,
    PrefillCall,
    StatusAnswer,
)

CANCEL_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 60.0
DECODE_PAUSE_MOST_S = 60.0
MAX_ERROR_BYTES = 65_536

DecodeEvent = EngineTokens | EngineFinished | EngineFailed
ShapeT = TypeVar("ShapeT")


class EngineTimeouts(NamedTuple):
    """How long an engine may take to answer, in seconds."""

    status_s: float = 1.0
    cancel_s: float = CANCEL_TIMEOUT_S
    order_s: float = ORDER_TIMEOUT_S
    decode_pause_s: float = DECODE_PAUSE_MOST_S


class EngineClient:
    """Calls the engine beside this sidecar.

    Args:
        http: The HTTP client.
        peer: ``host:port`` of the engine.
        timeouts: How long it may take to answer.
    """

    def __init__(self, http: HttpClient, peer: str, timeouts: EngineTimeouts) -> None:
        self._http = http
        self._peer = peer
        self._timeouts = timeouts

    async def status(self) -> EngineStatus:
        """Ask what the engine holds; unreachable where it does not answer as agreed."""
        try:
            answer = await self._http.call(
                self._peer, "GET", "/status", step="status", timeout_s=self._timeouts.status_s
            )
            status = _decoded(answer, StatusAnswer, "status", self._peer)
        except LinkError:
            return EngineStatus(reachable=False, leaving=False, held=())
        held = tuple(status["held"])
        return EngineStatus(True, status["leaving"], held, tuple(status["prefix_blocks"]))

    async def prefill(self, order: PrefillOrder) -> PrefillResult:
        """Run a prompt at the engine."""
        call = PrefillCall(
            attempt=order.attempt,
            prompt=order.prompt,
            prompt_tokens=order.prompt_tokens,
            prefix_blocks=list(order.prefix_blocks),
            priority=_priority(order.urgency),
        )
        try:
            answer = await self._post("/prefill", call, "prefill", order.deadline_in_s)
            if answer.status != 200:
                return PrefillResult(PrefillKind.FAILED, order.attempt, reason=_reason(answer.body))
            done = _decoded(answer, PrefillAnswer, "prefill", self._peer)
        except LinkError:
            reason = Reason.ENGINE_FAILED
            return PrefillResult(PrefillKind.FAILED, order.attempt, reason=reason)
        return PrefillResult(PrefillKind.DONE, order.attempt, engine_address=self._peer, **done)

    async def decode(
        self, offer: AttemptOffer, order: ImportOrder
    ) -> AsyncIterator[Sequence[DecodeEvent]]:
        """Import a KV cache and decode; yield the events of each part that arrives.

        The last event is ``EngineFinished`` or ``EngineFailed``. Use it within ``aclosing``.
        """
        call = DecodeCall(
            attempt=offer.attempt,
            handle=order.handle,
            engine_address=order.engine_address,
            kv_bytes=order.kv_bytes,
            prompt_tokens=order.prompt_tokens,
            first_offset=offer.first_offset,
            max_tokens=offer.max_tokens,
            priority=_priority(offer.urgency),
        )
        try:
            async with self._http.stream(
                self._peer,
                "POST",
                "/decode",
                step="decode",
                body=msgspec.json.encode(call),
                read_timeout_s=self._timeouts.decode_pause_s,
            ) as stream:
                if stream.status != 200:
                    body = await stream.read(MAX_ERROR_BYTES)
                    yield [EngineFailed(offer.attempt, _reason(body))]
                    return
                async for lines in stream:
                    events = _decode_events(offer.attempt, lines)
                    yield events
                    if not isinstance(events[-1], EngineTokens):
                        return
        except (LinkError, msgspec.DecodeError):
            pass
        yield [EngineFailed(offer.attempt, Reason.ENGINE_FAILED)]

    async def cancel(self, attempt: AttemptId) -> bool:
        """Cancel an attempt; tell whether the engine confirmed that it holds nothing."""
        call = CancelCall(attempt=attempt)
        try:
            answer = await self._post("/cancel", call, "cancel", self._timeouts.cancel_s)
            return not _decoded(answer, CancelAnswer, "cancel", self._peer)["held"]
        except LinkError:
            return False

    async def state(self) -> EngineState:
        """Read what the engine has loaded.

        Raises:
            LinkError: It did not answer, or its answer has no meaning.
        """
        timeout_s = self._timeouts.status_s
        answer = await self._http.call(
            self._peer, "GET", "/state", step="read state", timeout_s=timeout_s
        )
        return _decoded(answer, EngineState, "read state", self._peer)

    async def order(self, order: EngineOrder) -> OrderResult:
        """Pass an order on."""
        call = OrderCall(
            fencing_number=order.fencing_number,
            operation_id=order.operation_id,
            kind=order.kind,
            argument=order.argument,
        )
        try:
            answer = await self._post("/order", call, "order", self._timeouts.order_s)
        except NothingSent:
            return OrderResult.FAILED
        except LinkBroken:
            return OrderResult.UNSURE
        if answer.status == 200:
            return OrderResult.DONE
        return OrderResult.STALE if answer.status == 409 else OrderResult.FAILED

    async def _post(self, path: str, call: Any, step: str, timeout_s: float) -> HttpResponse:
        return await self._http.call(
            self._peer,
            "POST",
            path,
            step=step,
            timeout_s=timeout_s,
            body=msgspec.json.encode(call),
            headers=[("content-type", "application/json")],
        )


def _decode_events(attempt: AttemptId, lines: Sequence[bytes]) -> list[DecodeEvent]:
    """Return one event for adjoining tokens, and one for the end where it is there."""
    events: list[DecodeEvent] = []
    tokens: list[str] = []
    first = end = 0
    for line in lines:
        part = msgspec.json.decode(line, type=DecodeLine)
        if "total" in part:
            events.append(EngineFinished(attempt, part["total"]))
            break
        offset = part.get("offset", 0)
        if tokens and offset != end:
            events.append(EngineTokens(attempt, first, tuple(tokens)))
            tokens = []
        first = first if tokens else offset
        tokens += part.get("tokens", [])
        end = first + len(tokens)
    if tokens:
        at = len(events) - 1 if events and isinstance(events[-1], EngineFinished) else len(events)
        events.insert(at, EngineTokens(attempt, first, tuple(tokens)))
    return events


def _decoded(answer: HttpResponse, shape: type[ShapeT], step: str, peer: str) -> ShapeT:
    if answer.status != 200:
        raise LinkBroken(step, peer, f"status {answer.status}")
    try:
        return msgspec.json.decode(answer.body, type=shape)
    except msgspec.DecodeError as error:
        raise LinkBroken(step, peer, str(error)) from error


def _reason(body: bytes) -> Reason:
    try:
        return Reason(msgspec.json.decode(body, type=EngineError)["reason"])
    except (msgspec.DecodeError, ValueError):
        return Reason.ENGINE_FAILED


def _priority(urgency: Urgency) -> Literal["urgent", "patient"]:
    return "urgent" if urgency is Urgency.URGENT else "patient"
