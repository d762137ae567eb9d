"""The HTTP interface of a sidecar for entries: attempts, prefills, imports and calls."""

import hmac
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple, TypeVar

import msgspec
import trio

from chivehold.asgi import (
    Receive,
    Scope,
    Send,
    end_response,
    header,
    read_body,
    respond,
    respond_error,
    respond_json,
    send_chunk,
    start_response,
    wait_for_disconnect,
)
from chivehold.core.identity import AttemptId, Role
from chivehold.core.sidecar_messages import (
    ImportArrived,
    OfferArrived,
    PrefillArrived,
    PrefillClosed,
    StreamClosed,
)
from chivehold.core.untrusted_json import decode_json
from chivehold.core.wire import (
    AttemptFrame,
    AttemptOffer,
    CallContent,
    CallResult,
    FrameKind,
    ImportOrder,
    PrefillKind,
    PrefillOrder,
    PrefillResult,
    Reason,
)
from chivehold.exceptions import Malformed, Unauthorised
from chivehold.sidecar.driver import SidecarDriver
from chivehold.sidecar.service_client import call_problem
from chivehold.sidecar.sessions import AttemptStream, CallSession, Sessions

NDJSON_TYPE = "application/x-ndjson"
BODY_TYPE = "application/octet-stream"

MessageT = TypeVar("MessageT")
Handler = Callable[["_Exchange"], Awaitable[None]]


class CallHead(NamedTuple):
    """The content of the header ``Chivehold-Call``: a call without its body."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]


class _Exchange(NamedTuple):
    scope: Scope
    receive: Receive
    send: Send
    body: bytes


class DataApp:
    """ASGI application for entries.

    Args:
        role: The upstream's role, which determines the routes.
        token: The shared token.
        max_body_bytes: Maximum size of a request body.
        driver: Feeds events to the core.
        sessions: The open sessions.
    """

    def __init__(
        self, role: Role, token: str, max_body_bytes: int, driver: SidecarDriver, sessions: Sessions
    ) -> None:
        self._expected_authorization = f"Bearer {token}".encode("latin-1")
        self._max_body_bytes = max_body_bytes
        self._driver = driver
        self._sessions = sessions
        self._routes = self._routes_for(role)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        try:
            self._check_token(scope)
            handler = self._routes.get((scope["method"], scope["path"]))
            if handler is None:
                detail = f"{scope['method']} {scope['path']} is not served here"
                await respond_error(send, 404, Reason.MALFORMED, detail)
                return
            body = await read_body(receive, self._max_body_bytes)
            await handler(_Exchange(scope, receive, send, body))
        except Unauthorised as error:
            # What such a client has sent ahead is not to be held.
            closing = [("connection", "close")]
            await respond_error(send, 401, Reason.UNAUTHORISED, error.detail, closing)
        except Malformed as error:
            await respond_error(send, 400, Reason.MALFORMED, error.detail)

    def _routes_for(self, role: Role) -> dict[tuple[str, str], Handler]:
        if role is Role.PREFILL:
            return {("POST", "/v1/prefills"): self._handle_prefill}
        if role is Role.SERVICE:
            return {("POST", "/v1/calls"): self._handle_call}
        return {
            ("POST", "/v1/attempts"): self._handle_attempt,
            ("POST", "/v1/imports"): self._handle_import,
        }

    def _check_token(self, scope: Scope) -> None:
        presented = (header(scope, "authorization") or "").encode("latin-1")
        if not hmac.compare_digest(presented, self._expected_authorization):
            raise Unauthorised("check token", _client_address(scope), "wrong or missing token")

    async def _handle_attempt(self, exchange: _Exchange) -> None:
        offer = _validate_offer(_decode(exchange.body, AttemptOffer))
        if offer.attempt in self._sessions:
            frame = AttemptFrame(FrameKind.REFUSED, offer.attempt, reason=Reason.DUPLICATE)
            await respond(exchange.send, 200, _encode_line(frame), NDJSON_TYPE)
            return
        stream = self._sessions.open_stream(offer.attempt)
        try:
            self._driver.feed(OfferArrived(offer))
            async with _cancel_on_disconnect(exchange.receive):
                await _send_frames(stream, exchange.send)
        finally:
            self._sessions.close(offer.attempt)
            if not stream.ended:
                self._driver.feed(StreamClosed(offer.attempt))

    async def _handle_prefill(self, exchange: _Exchange) -> None:
        order = _decode(exchange.body, PrefillOrder)
        _require(order.prompt_tokens >= 1, "prompt_tokens: expected at least 1")
        if order.attempt in self._sessions:
            result = PrefillResult(PrefillKind.REFUSED, order.attempt, reason=Reason.DUPLICATE)
            await respond_json(exchange.send, 200, result)
            return
        pending = self._sessions.open_prefill(order.attempt)
        try:
            self._driver.feed(PrefillArrived(order))
            async with _cancel_on_disconnect(exchange.receive):
                await respond_json(exchange.send, 200, await pending.wait())
        finally:
            self._sessions.close(order.attempt)
            if not pending.ended:
                self._driver.feed(PrefillClosed(order.attempt))

    async def _handle_import(self, exchange: _Exchange) -> None:
        order = _decode(exchange.body, ImportOrder)
        _require(order.kv_bytes >= 0, "kv_bytes: expected at least 0")
        accepted = await self._driver.feed_and_wait(lambda reply: ImportArrived(reply, order))
        await respond_json(exchange.send, 200, accepted)

    async def _handle_call(self, exchange: _Exchange) -> None:
        offer = _validate_offer(_decode_header(exchange.scope, "chivehold-offer", AttemptOffer))
        head = _decode_header(exchange.scope, "chivehold-call", CallHead)
        content = CallContent(*head, body=exchange.body)
        problem = call_problem(content)
        _require(not problem, problem)
        if offer.attempt in self._sessions:
            await _respond_call(exchange.send, _refused_result(offer.attempt, Reason.DUPLICATE))
            return
        session = CallSession(offer, content, trio.current_time() + offer.deadline_in_s)
        self._sessions.open_call(session)
        try:
            self._driver.feed(OfferArrived(offer))
            async with _cancel_on_disconnect(exchange.receive):
                await _respond_call(exchange.send, await session.wait())
        finally:
            self._sessions.close(offer.attempt)
            if not session.ended:
                self._driver.feed(StreamClosed(offer.attempt))


async def _send_frames(stream: AttemptStream, send: Send) -> None:
    """Send frames as they arrive, all available ones in one part of the body."""
    await start_response(send, 200, NDJSON_TYPE)
    while True:
        frames = await stream.next_frames()
        is_last = stream.ended
        await send_chunk(send, b"".join(map(_encode_line, frames)))
        if is_last:
            break
    await end_response(send)


async def _respond_call(send: Send, result: CallResult) -> None:
    head = msgspec.json.encode(result._replace(body=b"")).decode()
    await respond(send, 200, result.body, BODY_TYPE, [("chivehold-result", head)])


def _refused_result(attempt: AttemptId, reason: Reason) -> CallResult:
    return CallResult(attempt, reason=reason, started=False)


@asynccontextmanager
async def _cancel_on_disconnect(receive: Receive) -> AsyncIterator[None]:
    """Cancel the block when the caller disconnects."""
    async with trio.open_nursery() as nursery:

        async def watch() -> None:
            await wait_for_disconnect(receive)
            nursery.cancel_scope.cancel()

        nursery.start_soon(watch)
        yield
        nursery.cancel_scope.cancel()


def _encode_line(frame: AttemptFrame) -> bytes:
    return msgspec.json.encode(frame) + b"\n"


def _decode(body: bytes | str, message_type: type[MessageT]) -> MessageT:
    try:
        return decode_json(body, message_type)
    except msgspec.DecodeError as error:
        raise Malformed(f"decode {message_type.__name__}", "", str(error)) from error


def _decode_header(scope: Scope, name: str, message_type: type[MessageT]) -> MessageT:
    text = header(scope, name)
    if text is None:
        raise Malformed(f"read header {name}", "", f"header {name}: missing")
    return _decode(text, message_type)


def _validate_offer(offer: AttemptOffer) -> AttemptOffer:
    counts = (offer.prompt_tokens, offer.max_tokens, offer.first_offset, offer.kv_bytes)
    _require(min(counts) >= 0, "counts: expected at least 0")
    _require(offer.share_weight > 0, "share_weight: expected above 0")
    _require(offer.attempt.request != "", "attempt: expected a request")
    return offer


def _require(condition: bool, problem: str) -> None:
    if not condition:
        raise Malformed("check message", "", problem)


def _client_address(scope: Scope) -> str:
    client = scope.get("client")
    return f"{client[0]}:{client[1]}" if client else ""
