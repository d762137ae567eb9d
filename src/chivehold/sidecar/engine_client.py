"""Calls the engine's HTTP interface and converts its answers to the core's messages."""

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
from chivehold.core.untrusted_json import decode_json
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
MAX_DECODE_PAUSE_S = 60.0
"""Maximum time between two parts of a decode's stream."""
MAX_ERROR_BYTES = 65_536

DecodeEvent = EngineTokens | EngineFinished | EngineFailed
AnswerT = TypeVar("AnswerT")


class EngineTimeouts(NamedTuple):
    """Timeouts of calls to an engine, in seconds."""

    status_s: float = 1.0
    cancel_s: float = CANCEL_TIMEOUT_S
    order_s: float = ORDER_TIMEOUT_S
    decode_pause_s: float = MAX_DECODE_PAUSE_S


class EngineClient:
    """Calls the engine beside this sidecar.

    Args:
        http: The HTTP client.
        peer: ``host:port`` of the engine.
        timeouts: The timeouts of calls to it.
    """

    def __init__(self, http: HttpClient, peer: str, timeouts: EngineTimeouts) -> None:
        self._http = http
        self._peer = peer
        self._timeouts = timeouts

    async def status(self) -> EngineStatus:
        """Query the engine's status; without a valid answer it counts as unreachable."""
        try:
            answer = await self._http.call(
                self._peer, "GET", "/status", step="status", timeout_s=self._timeouts.status_s
            )
            status = _decode_answer(answer, StatusAnswer, "status", self._peer)
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
                return PrefillResult(
                    PrefillKind.FAILED, order.attempt, reason=_decode_reason(answer.body)
                )
            done = _decode_answer(answer, PrefillAnswer, "prefill", self._peer)
        except LinkError:
            reason = Reason.ENGINE_FAILED
            return PrefillResult(PrefillKind.FAILED, order.attempt, reason=reason)
        return PrefillResult(PrefillKind.DONE, order.attempt, engine_address=self._peer, **done)

    async def decode(
        self, offer: AttemptOffer, order: ImportOrder
    ) -> AsyncIterator[Sequence[DecodeEvent]]:
        """Import a KV cache and decode, yielding the events of each part of the answer.

        The last event is ``EngineFinished`` or ``EngineFailed``. Use the generator in ``aclosing``.
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
                    yield [EngineFailed(offer.attempt, _decode_reason(body))]
                    return
                async for lines in stream:
                    events = _parse_decode_lines(offer.attempt, lines)
                    yield events
                    if not isinstance(events[-1], EngineTokens):
                        return
        except (LinkError, msgspec.DecodeError):
            pass
        yield [EngineFailed(offer.attempt, Reason.ENGINE_FAILED)]

    async def cancel(self, attempt: AttemptId) -> bool:
        """Cancel an attempt and return whether the engine confirmed that it holds nothing."""
        call = CancelCall(attempt=attempt)
        try:
            answer = await self._post("/cancel", call, "cancel", self._timeouts.cancel_s)
            return not _decode_answer(answer, CancelAnswer, "cancel", self._peer)["held"]
        except LinkError:
            return False

    async def state(self) -> EngineState:
        """Return the engine's role, models and adapters.

        Raises:
            LinkError: The engine did not answer, or its answer is invalid.
        """
        timeout_s = self._timeouts.status_s
        answer = await self._http.call(
            self._peer, "GET", "/state", step="read state", timeout_s=timeout_s
        )
        return _decode_answer(answer, EngineState, "read state", self._peer)

    async def order(self, order: EngineOrder) -> OrderResult:
        """Forward an order to the engine."""
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


def _parse_decode_lines(attempt: AttemptId, lines: Sequence[bytes]) -> list[DecodeEvent]:
    """Return one event for each run of contiguous tokens, and one for the end if it is included."""
    events: list[DecodeEvent] = []
    tokens: list[str] = []
    start = end = 0
    for line in lines:
        content = decode_json(line, DecodeLine)
        if "total" in content:
            events.append(EngineFinished(attempt, content["total"]))
            break
        offset = content.get("offset", 0)
        if tokens and offset != end:
            events.append(EngineTokens(attempt, start, tuple(tokens)))
            tokens = []
        start = start if tokens else offset
        tokens += content.get("tokens", [])
        end = start + len(tokens)
    if tokens:
        index = (
            len(events) - 1 if events and isinstance(events[-1], EngineFinished) else len(events)
        )
        events.insert(index, EngineTokens(attempt, start, tuple(tokens)))
    return events


def _decode_answer(
    answer: HttpResponse, answer_type: type[AnswerT], step: str, peer: str
) -> AnswerT:
    if answer.status != 200:
        raise LinkBroken(step, peer, f"status {answer.status}")
    try:
        return decode_json(answer.body, answer_type)
    except msgspec.DecodeError as error:
        raise LinkBroken(step, peer, str(error)) from error


def _decode_reason(body: bytes) -> Reason:
    try:
        return Reason(decode_json(body, EngineError)["reason"])
    except (msgspec.DecodeError, ValueError):
        return Reason.ENGINE_FAILED


def _priority(urgency: Urgency) -> Literal["urgent", "patient"]:
    return "urgent" if urgency is Urgency.URGENT else "patient"
