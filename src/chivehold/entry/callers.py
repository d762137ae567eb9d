"""The ASGI application that serves callers."""

import itertools
import logging
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import trio

from chivehold.asgi import (
    JSON_TYPE,
    BodyIncomplete,
    BodyTooLarge,
    Receive,
    Scope,
    Send,
    end_response,
    read_body,
    respond,
    send_chunk,
    start_response,
    wait_for_disconnect,
)
from chivehold.bodies import (
    BodyBudget,
    CallerLimits,
    body_bytes_to_reserve,
)
from chivehold.core.entry_messages import Finish, RequestArrived
from chivehold.core.identity import EntryIncarnation, Outcome, RequestId
from chivehold.entry.answers import (
    OUTCOME_HEADER,
    REQUEST_HEADER,
    SSE_DONE,
    SSE_TYPE,
    ErrorAnswer,
    completion_body,
    error_answer,
    error_event,
    failure_answer,
    finish_reason,
    stream_event,
)
from chivehold.entry.caller_headers import HeaderBounds, read_headers
from chivehold.entry.caller_requests import (
    HOP_BY_HOP_HEADERS,
    SERVICES_PREFIX,
    ModelRequest,
    call_arrival,
    model_arrival,
    read_call,
    read_chat,
    read_completion,
)
from chivehold.entry.driver import EntryDriver
from chivehold.entry.pending import PendingRequest
from chivehold.exceptions import BudgetSpent, Malformed
from chivehold.logs import log_event
from chivehold.metrics import EntryMetrics

HTTP_VERSIONS = ("1.0", "1.1")
BUDGET_RETRY_S = 1.0
BODY_READERS = {"/v1/completions": read_completion, "/v1/chat/completions": read_chat}
DRAIN_RETRY_S = 1.0

_log = logging.getLogger(__name__)


class CallerApp:
    """Answers callers' requests.

    Args:
        driver: Runs the requests.
        metrics: Records their outcomes and latencies.
        incarnation: This run of the entry; makes request ids unique.
        bounds: Limits on the values of headers.
        limits: Size limits of one request, and of all bodies held at once.
    """

    def __init__(
        self,
        driver: EntryDriver,
        metrics: EntryMetrics,
        incarnation: EntryIncarnation,
        bounds: HeaderBounds,
        limits: CallerLimits,
    ) -> None:
        self._driver = driver
        self._metrics = metrics
        self._incarnation = incarnation
        self._bounds = bounds
        self._limits = limits
        self._budget = BodyBudget(limits.max_held_bytes)
        self._request_numbers = itertools.count(1)
        self._is_draining = False
        self._open_requests = 0

    @property
    def in_progress(self) -> int:
        """Number of requests whose answers have not been sent in full."""
        return self._open_requests

    def drain(self) -> None:
        """Refuse new requests from now on and close each connection after its answer."""
        self._is_draining = True

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        request = RequestId(f"{self._incarnation}-{next(self._request_numbers)}")
        self._open_requests += 1
        try:
            await self._answer_with_errors(request, scope, receive, send)
        finally:
            self._open_requests -= 1

    async def _answer_with_errors(
        self, request: RequestId, scope: Scope, receive: Receive, send: Send
    ) -> None:
        try:
            await self._answer(request, scope, receive, send)
        except Malformed as error:
            answer = error_answer(400, Outcome.REJECTED, "malformed", str(error))
            await self._send_error(send, request, answer)
        except BodyTooLarge as error:
            answer = error_answer(413, Outcome.REJECTED, "too large", str(error))
            await self._send_error(send, request, answer)
        except BodyIncomplete as error:
            answer = error_answer(408, Outcome.REJECTED, "body incomplete", str(error))
            await self._send_error(send, request, answer)
        except BudgetSpent as error:
            detail = error.detail
            answer = error_answer(503, Outcome.NOT_RUN, "bodies full", detail, BUDGET_RETRY_S)
            await self._send_error(send, request, answer)

    async def _answer(self, request: RequestId, scope: Scope, receive: Receive, send: Send) -> None:
        if error := self._refusal(request, scope):
            self._metrics.count_request("", error.fields["outcome"])
            await self._send_error(send, request, error)
        elif scope["path"] in BODY_READERS:
            await self._answer_model(request, scope, receive, send)
        else:
            await self._answer_call(request, scope, receive, send)

    def _refusal(self, request: RequestId, scope: Scope) -> ErrorAnswer | None:
        """Return the error for a request that is refused before its body is read."""
        header_bytes = sum(len(key) + len(value) for key, value in scope["headers"])
        if scope["http_version"] not in HTTP_VERSIONS:
            # Callers recognise an incomplete answer by the closed connection, which HTTP/2 lacks.
            return error_answer(505, Outcome.REJECTED, "HTTP version", "expected HTTP/1.1")
        if header_bytes > self._limits.max_header_bytes:
            message = f"headers exceed {self._limits.max_header_bytes} bytes"
            return error_answer(431, Outcome.REJECTED, "too large", message)
        if scope["path"] in BODY_READERS:
            if scope["method"] != "POST":
                return error_answer(405, Outcome.REJECTED, "method", "expected POST")
        elif not scope["path"].startswith(SERVICES_PREFIX):
            return error_answer(404, Outcome.REJECTED, "unknown path", "no such path")
        if self._is_draining:
            return failure_answer(Finish(request, Outcome.NOT_RUN, "draining", DRAIN_RETRY_S))
        return None

    async def _answer_model(
        self, request: RequestId, scope: Scope, receive: Receive, send: Send
    ) -> None:
        headers = read_headers(scope, self._bounds)
        async with self._held_body(scope, receive) as body:
            content = BODY_READERS[scope["path"]](body)
            arrival = model_arrival(request, headers, content)
            async with self._submitted(arrival, receive) as pending:
                if content.stream:
                    await self._stream_completion(send, content, arrival, pending)
                else:
                    await self._send_completion(send, content, arrival, pending)

    async def _answer_call(
        self, request: RequestId, scope: Scope, receive: Receive, send: Send
    ) -> None:
        headers = read_headers(scope, self._bounds)
        async with self._held_body(scope, receive) as body:
            target, call = read_call(scope, body)
            arrival = call_arrival(request, headers, target, call)
            async with self._submitted(arrival, receive) as pending:
                finish = await pending.wait_finished()
                self._record_end(arrival, finish)
                await self._respond_call(send, finish)

    async def _respond_call(self, send: Send, finish: Finish) -> None:
        result = finish.call
        if finish.outcome is not Outcome.ANSWERED or result is None:
            await self._send_error(send, finish.request, failure_answer(finish))
            return
        forwarded = [
            (key, value) for key, value in result.headers if key.lower() not in HOP_BY_HOP_HEADERS
        ]
        own_headers = self._answer_headers(finish.request, Outcome.ANSWERED)
        await respond(send, result.status, result.body, "", [*forwarded, *own_headers])

    @asynccontextmanager
    async def _held_body(self, scope: Scope, receive: Receive) -> AsyncIterator[bytes]:
        """Read a request's body and count it against the budget until the block ends."""
        max_bytes = self._limits.max_body_bytes
        with self._budget.reserve(body_bytes_to_reserve(scope, max_bytes)) as reserved:
            body = await read_body(receive, max_bytes)
            reserved.shrink_to(len(body))
            yield body

    @asynccontextmanager
    async def _submitted(
        self, arrival: RequestArrived, receive: Receive
    ) -> AsyncIterator[PendingRequest]:
        """Submit a request; the block is cancelled when the caller disconnects."""
        pending = self._driver.submit(arrival)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
                yield pending
                nursery.cancel_scope.cancel()
        finally:
            if not pending.is_finished:
                self._metrics.count_departed_caller()
            self._driver.cancel(pending)

    async def _stream_completion(
        self, send: Send, content: ModelRequest, arrival: RequestArrived, pending: PendingRequest
    ) -> None:
        request, created = arrival.request, int(time.time())
        is_started = False
        async for text in self._timed_texts(arrival, pending):
            if not is_started:
                is_started = True
                await start_response(send, 200, SSE_TYPE, self._stream_headers(request))
            await send_chunk(send, stream_event(request, content, text, None, created))
        finish = await pending.wait_finished()
        self._record_end(arrival, finish)
        answer = failure_answer(finish)
        if finish.outcome is Outcome.ANSWERED:
            if not is_started:
                await start_response(send, 200, SSE_TYPE, self._stream_headers(request))
            reason = finish_reason(content, pending.received_tokens)
            final_event = stream_event(request, content, "", reason, created)
            await send_chunk(send, final_event + SSE_DONE)
            await end_response(send)
        elif is_started:
            # Returning before the end of the body makes the server abort the connection.
            await send_chunk(send, error_event(answer))
        else:
            await self._send_error(send, request, answer)

    async def _send_completion(
        self, send: Send, content: ModelRequest, arrival: RequestArrived, pending: PendingRequest
    ) -> None:
        text = "".join([part async for part in self._timed_texts(arrival, pending)])
        finish = await pending.wait_finished()
        self._record_end(arrival, finish)
        if finish.outcome is not Outcome.ANSWERED:
            await self._send_error(send, arrival.request, failure_answer(finish))
            return
        created = int(time.time())
        body = completion_body(arrival.request, content, text, pending.received_tokens, created)
        headers = self._answer_headers(arrival.request, Outcome.ANSWERED)
        await respond(send, 200, msgspec.json.encode(body), JSON_TYPE, headers)

    async def _timed_texts(
        self, arrival: RequestArrived, pending: PendingRequest
    ) -> AsyncIterator[str]:
        arrived_at = trio.current_time()
        first_at, first_received = 0.0, 0
        async for text in pending.stream_text():
            if not first_at:
                first_at = trio.current_time()
                self._metrics.observe_first_token(arrival.traffic_class, first_at - arrived_at)
                first_received = pending.received_tokens
            yield text
        if first_at and pending.received_tokens > first_received:
            streamed_s = pending.last_token_at - first_at
            interval_s = streamed_s / (pending.received_tokens - first_received)
            self._metrics.observe_between_tokens(arrival.traffic_class, interval_s)

    def _record_end(self, arrival: RequestArrived, finish: Finish) -> None:
        self._metrics.count_request(arrival.traffic_class, finish.outcome)
        level = logging.DEBUG if finish.outcome is Outcome.ANSWERED else logging.INFO
        log_event(
            _log,
            level,
            "request ended",
            request=arrival.request,
            peer=arrival.target,
            outcome=finish.outcome,
            reason=finish.reason,
        )

    async def _send_error(
        self,
        send: Send,
        request: RequestId,
        answer: ErrorAnswer,
    ) -> None:
        connection = [("connection", "close")] if self._is_draining else []
        all_headers = [*answer.headers, (REQUEST_HEADER, request), *connection]
        await respond(send, answer.status, answer.body, JSON_TYPE, all_headers)

    def _stream_headers(self, request: RequestId) -> list[tuple[str, str]]:
        return [("cache-control", "no-cache"), (REQUEST_HEADER, request)]

    def _answer_headers(self, request: RequestId, outcome: Outcome) -> list[tuple[str, str]]:
        connection = [("connection", "close")] if self._is_draining else []
        return [(OUTCOME_HEADER, str(outcome)), (REQUEST_HEADER, request), *connection]


async def _cancel_on_disconnect(receive: Receive, scope: trio.CancelScope) -> None:
    await wait_for_disconnect(receive)
    scope.cancel()
