"""Relays one stream to its caller, from one engine after the other."""

import logging
import math
from collections.abc import AsyncIterator, Callable, Sequence
from enum import StrEnum
from typing import NamedTuple

import trio

from chivehold.core.direct.event_gaps import EventGaps, GapPosition
from chivehold.core.direct.event_sequence import EventSequence, OutOfSequence, ResumedRun
from chivehold.core.direct.events import EventSplitter, EventTooLong, StreamEvent
from chivehold.core.direct.fleet import Verdict
from chivehold.core.direct.messages import Dialect, RawHeaders, UpstreamRecord
from chivehold.direct.crash_watch import AttemptWatch
from chivehold.direct.exchange import Exchange, Reply
from chivehold.direct.metrics import DirectMetrics
from chivehold.http_client import RawResponse

PaceHandler = Callable[[UpstreamRecord, bool, float | None], None]
"""Called with the engine of a stream, whether the stream is late, and the mean time between its
events in seconds, if it has ended on time and had enough of them.
"""

EVENT_TIMEOUT_S = 1.5
"""A resumable stream without a new event for this time is resumed at another engine."""
MIN_EVENTS_FOR_SPEED = 8
OK_STATUS = 200
MAX_ERROR_BODY_BYTES = 1 << 16


class AttemptEnd(StrEnum):
    """How an attempt to serve a stream at one engine ended."""

    WHOLE = "whole"
    NOT_RUN = "not run"
    BROKEN = "broken"
    ANSWERED = "answered"
    """The engine sent an error response instead of a stream, which was relayed."""
    QUARANTINED = "quarantined"
    """The content was found to end engines before the request was sent."""


class AttemptResult(NamedTuple):
    """Result of an attempt to serve a stream at one engine."""

    end: AttemptEnd
    verdict: Verdict
    detail: str = ""


class StreamRelay:
    """Relays the responses of one or more engines to one caller as a single stream.

    Args:
        exchange: The request.
        reply: The reply to the caller.
        dialect: The wire format of responses.
        metrics: Records the time to the first event and the gaps between events.
        on_pace: Called once for each stream that ended whole or was late: with ``True`` at its
            first gap that exceeds the route's target, with ``False`` at its end without any.
    """

    def __init__(
        self,
        exchange: Exchange,
        reply: Reply,
        dialect: Dialect,
        metrics: DirectMetrics,
        on_pace: PaceHandler,
    ) -> None:
        self._exchange = exchange
        self._reply = reply
        self._dialect = dialect
        self._metrics = metrics
        self._on_pace = on_pace
        self._gaps = EventGaps(exchange.route.event_gap_target_s)
        self._sequence = EventSequence(exchange.metadata.last_event)
        self._started_at: float | None = None

    @property
    def started_at(self) -> float | None:
        """When the caller was sent the first event, on the trio clock; ``None`` before."""
        return self._started_at

    @property
    def last_event(self) -> str | None:
        """Id of the last event that the caller has received."""
        return self._sequence.last_id

    @property
    def last_number(self) -> int | None:
        """Number of the last event that the caller has received, if it is known."""
        return self._sequence.last_number

    @property
    def can_resume(self) -> bool:
        """Whether another engine can go on exactly after what the caller has received."""
        return not self._reply.started or self._sequence.is_position_known

    @property
    def has_started(self) -> bool:
        """Whether the caller has received status and headers."""
        return self._reply.started

    async def relay(
        self,
        response: RawResponse,
        upstream: UpstreamRecord,
        event_timeout_s: float,
        watch: AttemptWatch,
    ) -> AttemptResult:
        """Relay an engine's response.

        Args:
            response: The response.
            upstream: The engine.
            event_timeout_s: Longest time without a new event before the engine counts as failed,
                in seconds; may be infinite.
            watch: Watches the attempt.

        Raises:
            LinkError: The connection to the engine broke.
        """
        metadata = self._dialect.read_response(response.status, response.headers)
        if metadata.request_id is not None and not self._exchange.matches(metadata):
            return _failed("response to another request")
        if metadata.not_run:
            # The engine had granted the reservation, so a refusal means it is out of service.
            verdict = Verdict.GONE if metadata.misdirected else Verdict.FAILED
            return AttemptResult(AttemptEnd.NOT_RUN, verdict, f"status {response.status}")
        if not metadata.signed or metadata.content_encoded or metadata.request_id is None:
            return _failed(f"unsigned response, status {response.status}")
        if response.status != OK_STATUS:
            return await self._relay_error(response)
        try:
            return await self._relay_stream(response, upstream, event_timeout_s, watch)
        except _EventTimeout:
            return _failed(f"no event for {event_timeout_s} s")
        except EventTooLong:
            return _failed("event too long")
        except OutOfSequence as error:
            return _failed(f"event {error} does not follow on {self.last_event}")

    def log_end(self, event: str, reason: str | None = None) -> None:
        """Log the end of a stream that has started, with its longest gap, and count its gaps."""
        longest = self._gaps.longest
        self._metrics.observe_event_gaps(self._exchange.service, longest.length_s, self._gaps.late)
        fields: dict[str, object] = {
            "last_event": self.last_event,
            "longest_gap_ms": round(longest.length_s * 1_000),
            "gap_position": longest.position,
            "late_gaps": self._gaps.late,
        }
        if reason is not None:
            fields["reason"] = reason
        self._exchange.log(event, logging.INFO, **fields)

    async def _relay_error(self, response: RawResponse) -> AttemptResult:
        """Relay a response other than a stream."""
        if self._reply.started:
            detail = f"status {response.status} on resuming"
            return AttemptResult(AttemptEnd.BROKEN, Verdict.ERROR, detail)
        body = bytearray()
        async for chunk in response.chunks:
            body += chunk
            if len(body) > MAX_ERROR_BODY_BYTES:
                return _failed("response too long")
        headers = self._dialect.response_headers(response.headers)
        await self._reply.send_full(response.status, headers, bytes(body))
        return AttemptResult(AttemptEnd.ANSWERED, Verdict.ERROR, f"status {response.status}")

    async def _relay_stream(
        self,
        response: RawResponse,
        upstream: UpstreamRecord,
        event_timeout_s: float,
        watch: AttemptWatch,
    ) -> AttemptResult:
        """Relay complete events as they arrive.

        The events of the first engine are passed on unchanged, whatever their ids. Only events
        count as progress: an engine may send bytes that complete none, for ever.
        """
        self._gaps.record_resumption()
        splitter = EventSplitter()
        resumed = ResumedRun(self._sequence) if self._reply.started else None
        progress_at = trio.current_time()
        event_times: list[float] = []
        while True:
            timeout_s = event_timeout_s if self.can_resume else math.inf
            chunk = await _next_chunk(response.chunks, progress_at + timeout_s)
            if chunk is None:
                break
            completed = splitter.feed(chunk)
            events = list(resumed.new_events(completed) if resumed else completed)
            if events:
                progress_at = trio.current_time()
                event_times += [progress_at] * len(events)
                watch.record_output()
                await self._relay_events(response.headers, upstream, events)
        if splitter.remainder:
            watch.record_break()
            # The unfinished event is not relayed; the caller never sees part of an event.
            return _failed("ended within an event")
        if resumed:
            resumed.check_end()
        watch.record_harmless()
        if not self._reply.started:
            await self._start_reply(response.headers)
        await self._reply.send_end()
        self.log_end("stream ended")
        if not self._gaps.late:
            self._on_pace(upstream, False, _mean_gap_s(event_times))
        return AttemptResult(AttemptEnd.WHOLE, Verdict.SOUND)

    async def _relay_events(
        self, headers: RawHeaders, upstream: UpstreamRecord, events: list[StreamEvent]
    ) -> None:
        if not self._reply.started:
            await self._start_reply(headers)
        gap = self._gaps.record_event(trio.current_time())
        is_first_late = self._gaps.late == 1 and self._gaps.is_late(gap)
        if is_first_late and gap.position is not GapPosition.RESUMED:
            self._on_pace(upstream, True, None)
        await self._reply.send_chunk(b"".join(event.raw for event in events))
        for event in events:
            self._sequence.record(event)

    async def _start_reply(self, headers: RawHeaders) -> None:
        self._started_at = trio.current_time()
        self._metrics.observe_response_time("stream", self._exchange.age_s())
        self._exchange.log("first event", event_id=self.last_event)
        await self._reply.send_head(OK_STATUS, self._dialect.response_headers(headers))


def event_timeout_s(exchange: Exchange, broken_attempts: int) -> float:
    """Return how long an engine may send no event, in seconds; infinite if no other may go on."""
    route = exchange.route
    may_resume = route.retryable and broken_attempts + 1 < route.max_upstreams
    return EVENT_TIMEOUT_S if may_resume else math.inf


class _EventTimeout(Exception):  # noqa: N818
    """The engine completed no new event within the timeout."""


def _mean_gap_s(times: Sequence[float]) -> float | None:
    if len(times) < MIN_EVENTS_FOR_SPEED:
        return None
    return (times[-1] - times[0]) / (len(times) - 1)


def _failed(detail: str) -> AttemptResult:
    return AttemptResult(AttemptEnd.BROKEN, Verdict.FAILED, detail)


async def _next_chunk(chunks: AsyncIterator[bytes], until: float) -> bytes | None:
    """Return the next chunk, or ``None`` at the end of the response.

    Raises:
        _EventTimeout: There is none at the given time.
    """
    with trio.move_on_at(until):
        return await anext(chunks, None)
    raise _EventTimeout
