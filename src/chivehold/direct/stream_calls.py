"""Streams of model services: a place at a decode engine, a prefill elsewhere, then the events."""

import math
from collections.abc import AsyncIterator
from enum import StrEnum
from typing import NamedTuple

import trio

from chivehold.core.direct.events import EventSplitter, EventTooLong, StreamEvent, is_newer_event
from chivehold.core.direct.fleet import Fleet, Verdict
from chivehold.core.direct.messages import ForwardingOptions, KvSource, RawHeaders
from chivehold.core.direct.output_estimate import OutputLengthEstimator
from chivehold.core.direct.reservations import MemoryReservation, MemoryReserver, ReservationRefused
from chivehold.core.direct.routes import EngineConfig
from chivehold.core.direct.shared_retries import SharedRetryBudget
from chivehold.core.direct.waiting import Waiter
from chivehold.direct.engines import EngineClient, Prefilled
from chivehold.direct.exchange import Exchange, Reply
from chivehold.direct.metrics import DirectMetrics
from chivehold.direct.prefills import Prefills
from chivehold.direct.refusals import Refusal, not_run, send_refusal, unknown
from chivehold.http_client import LinkError, NothingSent, RawAnswer

FIRST_EVENT_ALLOWANCE_S = 0.35
"""From a place to the first event, when nothing waits."""
LATE_PLACE_S = 0.25
"""How long after a first request has become late a place is still waited for."""
LATEST_PLACE_S = 2.8
"""A caller that came back waits so long; later it would leave before its first event."""
NOT_IN_SERVICE_S = 3.0
"""A decode engine that refuses what it has granted gets nothing new for so long."""
SILENCE_S = 1.5
"""A resumable stream without an event for so long goes on at another engine."""
LEAST_TIME_LEFT_S = 0.1
FULL_RETRY_S = 2.0
NO_ENGINE_RETRY_S = 1.0
OK_STATUS = 200
PART_BYTES_MOST = 1 << 16


class _End(StrEnum):
    """How one engine's part of a stream ended."""

    WHOLE = "whole"
    NOT_RUN = "not run"
    BROKEN = "broken"
    ANSWERED = "answered"
    """The engine gave an answer that is no stream."""


class _Run(NamedTuple):
    """One engine's part of a stream."""

    end: _End
    verdict: Verdict
    detail: str = ""


class StreamCalls:
    """Serves the streams of model services.

    Args:
        fleet: The engines.
        engines: Makes the calls.
        prefills: Has prompts prefilled.
        places: Grants memory at decode engines.
        retries: Bounds the calls beyond the first of each request.
        metrics: Counts and measures.
    """

    def __init__(
        self,
        fleet: Fleet,
        engines: EngineClient,
        prefills: Prefills,
        reserver: MemoryReserver,
        retries: SharedRetryBudget,
        metrics: DirectMetrics,
    ) -> None:
        self._fleet = fleet
        self._engines = engines
        self._prefills = prefills
        self._reserver = reserver
        self._retries = retries
        self._metrics = metrics
        self._estimates: dict[str, OutputLengthEstimator] = {}

    async def serve(self, exchange: Exchange, reply: Reply, traits: EngineConfig) -> str:
        """Answer a request, and return the outcome as one word."""
        stream = _Stream(self, exchange, reply, traits)
        refusal = await stream.run()
        if refusal is None:
            return "answered"
        if reply.started:
            exchange.log("stream broken off", reason=refusal.reason, last_event=stream.last_event)
            return "broken_off"
        await send_refusal(reply, refusal)
        return refusal.reason

    async def reserve(
        self,
        exchange: Exchange,
        traits: EngineConfig,
        has_begun: bool,
        excluded_engines: frozenset[str],
    ) -> MemoryReservation | ReservationRefused:
        """Wait for memory at a decode engine.

        Args:
            exchange: The request.
            traits: What the service's engines have in common.
            has_begun: Its caller has got events already; it goes before all others.
            without: Names of the engines that have failed it.
        """
        asked_at = trio.current_time()
        waiter = self._waiter(exchange, traits)._replace(excluded_engines=excluded_engines)
        if has_begun:
            gives_up_at = min(asked_at + LATEST_PLACE_S, exchange.expires_at)
            waiter = waiter._replace(on_time_until=asked_at, gives_up_at=gives_up_at)
        result = await self._reserver.reserve(exchange.service, waiter)
        waited_s = trio.current_time() - asked_at
        self._metrics.waited(exchange.service, waited_s)
        waited_ms = round(waited_s * 1_000)
        if isinstance(result, MemoryReservation):
            exchange.log(
                "place granted",
                peer=result.upstream.name,
                tokens=result.tokens,
                waited_ms=waited_ms,
                here=self._fleet.in_flight(result.upstream),
            )
        else:
            exchange.log("place refused", reason=result.reason, waited_ms=waited_ms)
        return result

    def release(self, reservation: MemoryReservation) -> None:
        """Give back a place that was not used."""
        self._reserver.release(reservation)

    def finished(self, reservation: MemoryReservation, run: _Run) -> None:
        """Take note of how the use of a place ended."""
        now = trio.current_time()
        self._fleet.work_ended(reservation.upstream, run.verdict, now, tokens=reservation.tokens)
        self._metrics.attempt(reservation.upstream.service, run.verdict)
        self._reserver.notify_freed(reservation.upstream.service)

    async def prefill(self, exchange: Exchange) -> Prefilled | None:
        """Have the prompt prefilled, or return ``None`` where the decode engine has to do it."""
        return await self._prefills.run(exchange)

    def refused(self, reservation: MemoryReservation, by_engine: bool) -> None:
        """Give back a place whose request was not run, and avoid the engine if that was why."""
        self._engines.give_back_hold(reservation.upstream, reservation.hold)
        if by_engine:
            self._fleet.suspend(reservation.upstream, trio.current_time() + NOT_IN_SERVICE_S)

    def learn(self, exchange: Exchange, traits: EngineConfig, events: int) -> None:
        """Learn from a stream that ended how long answers are."""
        if exchange.facts.output_tokens_hint is not None:
            estimate = self._estimate(exchange.service)
            estimate.record(exchange.facts.output_tokens_hint, events * traits.tokens_per_event)

    def give_back(self, exchange: Exchange, prefilled: Prefilled, refused: bool) -> None:
        """Free a KV cache that will not be used; ``refused`` if its decode engine did not run."""
        if refused:
            self._prefills.not_fetched(exchange, prefilled)
        self._engines.give_back_kv(prefilled)

    def may_repeat(self, exchange: Exchange) -> bool:
        """Spend one call beyond the first, if the shared budget allows it."""
        return self._retries.try_spend(exchange.service, trio.current_time())

    @property
    def engines(self) -> EngineClient:
        """Makes the calls."""
        return self._engines

    @property
    def metrics(self) -> DirectMetrics:
        """Counts and measures."""
        return self._metrics

    def _waiter(self, exchange: Exchange, traits: EngineConfig) -> Waiter:
        facts = exchange.facts
        output = facts.max_output_tokens
        if facts.output_tokens_hint is not None:
            output = self._estimate(exchange.service).tokens_to_reserve(
                facts.output_tokens_hint, output
            )
        tokens = facts.prompt_tokens + output
        began_at = exchange.arrived_at - exchange.waited_before_s
        on_time_until = began_at + exchange.route.latency_target_s - FIRST_EVENT_ALLOWANCE_S
        gives_up_at = on_time_until + LATE_PLACE_S
        if exchange.waited_before_s:
            gives_up_at = exchange.arrived_at + LATEST_PLACE_S
        return Waiter(
            request=exchange.request,
            tokens=min(tokens, traits.kv_capacity or tokens),
            arrived_at=exchange.arrived_at,
            on_time_until=on_time_until,
            gives_up_at=min(gives_up_at, exchange.expires_at),
        )

    def _estimate(self, service: str) -> OutputLengthEstimator:
        return self._estimates.setdefault(service, OutputLengthEstimator())


class _Stream:
    """One request for a stream, at one engine after the other."""

    def __init__(
        self, calls: StreamCalls, exchange: Exchange, reply: Reply, traits: EngineConfig
    ) -> None:
        self._calls = calls
        self._exchange = exchange
        self._reply = reply
        self._traits = traits
        self._runs = 0
        self._refusals = 0
        self._broken_at: set[str] = set()
        self.last_event = exchange.facts.last_event

    async def run(self) -> Refusal | None:
        """Relay the whole stream, or return why it has none or stays cut."""
        while True:
            if self._exchange.left_s() < LEAST_TIME_LEFT_S:
                return self._given_up("timeout", "no time is left", 504)
            reservation = await self._calls.reserve(
                self._exchange, self._traits, self._reply.started, frozenset(self._broken_at)
            )
            if isinstance(reservation, ReservationRefused):
                return self._refused(reservation)
            run = await self._use(reservation)
            if run.end in (_End.WHOLE, _End.ANSWERED):
                return None
            self._exchange.log(
                "attempt failed",
                peer=reservation.upstream.name,
                outcome=run.end,
                detail=run.detail,
                last_event=self.last_event,
            )
            if run.end is _End.BROKEN:
                self._broken_at.add(reservation.upstream.name)
            if refusal := self._after(run):
                return refusal

    def _after(self, run: _Run) -> Refusal | None:
        """Return ``None`` where another engine may be asked, else how the request ends."""
        route = self._exchange.route
        if run.end is _End.BROKEN:
            self._runs += 1
            if not route.retryable or self._runs >= route.max_upstreams:
                return self._given_up("broken", "the engine's stream broke off", 502)
        else:
            self._refusals += 1
        if not self._calls.may_repeat(self._exchange):
            return self._given_up("retry_budget", "the retry budget is spent", 502)
        return None

    def _given_up(self, reason: str, message: str, status: int) -> Refusal:
        if self._runs:
            return unknown(status, reason, message)
        return not_run(reason, message, FULL_RETRY_S)

    def _refused(self, reservation: ReservationRefused) -> Refusal:
        if self._runs:
            return unknown(502, reservation.reason, "no engine can go on with the stream")
        return not_run(reservation.reason, "no engine has room", reservation.retry_after_s)

    async def _use(self, reservation: MemoryReservation) -> _Run:
        """Prefill and decode; the place is used up or given back whatever happens."""
        prefilled: Prefilled | None = None
        run = _Run(_End.BROKEN, Verdict.UNKNOWN, "given up")
        sent = False
        try:
            if self._prefills_elsewhere():
                prefilled = await self._calls.prefill(self._exchange)
            sent = True
            source = prefilled.source if prefilled else None
            run = await self._decode(reservation, source)
            return run
        finally:
            if sent:
                self._calls.finished(reservation, run)
            else:
                self._calls.release(reservation)
            if run.end is _End.NOT_RUN:
                self._calls.refused(reservation, by_engine=sent and prefilled is None)
            if prefilled is not None and run.end is not _End.WHOLE:
                self._calls.give_back(self._exchange, prefilled, run.end is _End.NOT_RUN)

    def _prefills_elsewhere(self) -> bool:
        """A stream that is resumed is read by its decode engine: no time is left for a detour."""
        return self._runs == 0 and self._refusals == 0 and self._exchange.route.separate_prefill

    async def _decode(self, reservation: MemoryReservation, source: KvSource | None) -> _Run:
        forwarding = ForwardingOptions(
            self._exchange.left_s(),
            kv_source=source,
            hold=reservation.hold,
            last_event=self.last_event,
        )
        try:
            with trio.move_on_at(self._exchange.expires_at):
                async with self._calls.engines.decode(
                    self._exchange, reservation.upstream, forwarding
                ) as answer:
                    return await self._read(answer)
            return _Run(_End.BROKEN, Verdict.UNKNOWN, "out of time")
        except _Silent:
            return _Run(_End.BROKEN, Verdict.FAILED, f"silent for {SILENCE_S} s")
        except EventTooLong:
            return _Run(_End.BROKEN, Verdict.FAILED, "event too long")
        except NothingSent as error:
            return _Run(_End.NOT_RUN, Verdict.FAILED, error.detail)
        except LinkError as error:
            return _Run(_End.BROKEN, Verdict.FAILED, error.detail)

    async def _read(self, answer: RawAnswer) -> _Run:
        facts = self._calls.engines.dialect.read_response(answer.status, answer.headers)
        if facts.request_id is not None and not self._exchange.answers(facts):
            return _Run(_End.BROKEN, Verdict.FAILED, "answer to another request")
        if facts.not_run:
            # It has granted the place: an engine that refuses all the same is not in service.
            verdict = Verdict.GONE if facts.misdirected else Verdict.FAILED
            return _Run(_End.NOT_RUN, verdict, f"status {answer.status}")
        if not facts.signed or facts.content_encoded or facts.request_id is None:
            return _Run(_End.BROKEN, Verdict.FAILED, f"unsigned answer, status {answer.status}")
        if answer.status != OK_STATUS:
            return await self._pass_on(answer)
        return await self._relay(answer)

    async def _pass_on(self, answer: RawAnswer) -> _Run:
        """Pass on an answer that is no stream."""
        if self._reply.started:
            return _Run(_End.BROKEN, Verdict.ERROR, f"status {answer.status} on resuming")
        body = b""
        async for part in answer.parts:
            body += part
            if len(body) > PART_BYTES_MOST:
                return _Run(_End.BROKEN, Verdict.FAILED, "answer too long")
        headers = self._calls.engines.dialect.response_headers(answer.headers)
        await self._reply.whole(answer.status, headers, body)
        return _Run(_End.ANSWERED, Verdict.ERROR, f"status {answer.status}")

    async def _relay(self, answer: RawAnswer) -> _Run:
        """Relay whole events as they arrive."""
        splitter = EventSplitter()
        async for part in _unless_silent(answer.parts, self._patience_s()):
            events = [
                event
                for event in splitter.feed(part)
                if is_newer_event(event.event_id, self.last_event)
            ]
            if events:
                await self._relay_events(answer.headers, events)
        if splitter.remainder:
            # An event that the engine left unfinished is nobody's.
            return _Run(_End.BROKEN, Verdict.FAILED, "ended within an event")
        if not self._reply.started:
            await self._start(answer.headers)
        await self._reply.end()
        self._exchange.log("stream ended", last_event=self.last_event)
        if self.last_event is not None and self.last_event.isdigit():
            self._calls.learn(self._exchange, self._traits, int(self.last_event))
        return _Run(_End.WHOLE, Verdict.SOUND)

    async def _relay_events(self, headers: RawHeaders, events: list[StreamEvent]) -> None:
        if not self._reply.started:
            await self._start(headers)
        await self._reply.part(b"".join(event.raw for event in events))
        self.last_event = events[-1].event_id or self.last_event

    async def _start(self, headers: RawHeaders) -> None:
        first_s = self._exchange.age_s()
        self._calls.metrics.answered("stream", first_s)
        self._exchange.log("first event", event_id=self.last_event)
        await self._reply.start(OK_STATUS, self._calls.engines.dialect.response_headers(headers))

    def _patience_s(self) -> float:
        route = self._exchange.route
        may_resume = route.retryable and self._runs + 1 < route.max_upstreams
        return SILENCE_S if may_resume else math.inf


class _Silent(Exception):  # noqa: N818
    """The engine has sent nothing for too long."""


async def _unless_silent(parts: AsyncIterator[bytes], patience_s: float) -> AsyncIterator[bytes]:
    while True:
        part: bytes | None = None
        with trio.move_on_after(patience_s) as scope:
            part = await anext(parts, None)
        if scope.cancelled_caught:
            raise _Silent
        if part is None:
            return
        yield part
