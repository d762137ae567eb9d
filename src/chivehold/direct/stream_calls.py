"""Streams of model services: reserve decode memory, prefill at another engine, relay the events."""

import logging
from collections.abc import Callable
from copy import copy, deepcopy

import trio

from chivehold.core.direct.fleet import Fleet, Verdict
from chivehold.core.direct.messages import ForwardingOptions, KvSource, UpstreamRecord
from chivehold.core.direct.output_estimate import OutputLengthEstimator
from chivehold.core.direct.reservations import MemoryReservation, MemoryReserver, ReservationRefused
from chivehold.core.direct.routes import EngineConfig
from chivehold.core.direct.shared_retries import SharedRetryBudget
from chivehold.core.direct.stream_priorities import StreamPriorities
from chivehold.core.direct.wait_bounds import with_bounds
from chivehold.core.direct.waiting import Waiter
from chivehold.direct.crash_watch import MAX_ENDS_UNDER_REQUEST, CrashWatch
from chivehold.direct.engines import EngineClient, PrefilledCache
from chivehold.direct.exchange import Exchange, Reply
from chivehold.direct.metrics import DirectMetrics, LostPrefill
from chivehold.direct.prefills import PrefillScheduler
from chivehold.direct.refusals import (
    Refusal,
    final_refusal,
    not_run_refusal,
    send_refusal,
    unknown_outcome_refusal,
)
from chivehold.direct.resumptions import Resumptions
from chivehold.direct.stream_relay import (
    AttemptEnd,
    AttemptResult,
    PaceHandler,
    StreamRelay,
    event_timeout_s,
)
from chivehold.http_client import LinkError, NothingSent

FIRST_EVENT_ALLOWANCE_S = 0.35
"""Time from a reservation to the first event on idle engines."""
MAX_LATE_WAIT_S = 0.25
"""How long a first request still waits for memory after it has become late."""
MAX_WAIT_S = 2.8
"""Longest wait for memory of a returning caller or of a stream that has started.

After a longer wait a returning caller would leave before its first event.
"""
REFUSING_ENGINE_PAUSE_S = 3.0
"""Suspension of a decode engine that refuses a request for which it granted memory."""
LEASE_MARGIN_S = 0.3
"""How long before the end of a reservation's lease the request must be sent to its engine.

The lease begins while the reservation is being made, which may take 0.25 s.
"""
MIN_TIME_LEFT_S = 0.1
FULL_RETRY_S = 2.0


class StreamCalls:
    """Serves the streams of model services.

    Args:
        fleet: The engines.
        engines: Client of the engines.
        prefill_scheduler: Prefills prompts.
        reserver: Reserves memory at decode engines.
        retries: Limits the retries.
        metrics: Counts attempts and records durations.
        crashes: Watches the attempts for those that end their engine.
        resumptions: Finds the software version at which a resumed stream goes on.
        priorities: Returns the priorities of a service's streams.
    """

    def __init__(
        self,
        fleet: Fleet,
        engines: EngineClient,
        prefill_scheduler: PrefillScheduler,
        reserver: MemoryReserver,
        retries: SharedRetryBudget,
        metrics: DirectMetrics,
        crashes: CrashWatch,
        resumptions: Resumptions,
        priorities: Callable[[str], StreamPriorities],
    ) -> None:
        self._fleet = fleet
        self._engines = engines
        self._prefill_scheduler = prefill_scheduler
        self._reserver = reserver
        self._retries = retries
        self._metrics = metrics
        self._crashes = crashes
        self._resumptions = resumptions
        self._priorities = priorities
        self._length_estimators: dict[str, OutputLengthEstimator] = {}

    async def serve(self, exchange: Exchange, reply: Reply, engine_config: EngineConfig) -> str:
        """Answer a request, and return its outcome for logs and metrics."""
        exchange = await self._crashes.admit(exchange)
        if exchange.metadata.is_resumption:
            software = await self._resumptions.resolve(exchange)
            if isinstance(software, Refusal):
                await send_refusal(reply, software)
                return software.reason
            exchange = exchange._replace(software=software)
        urgency = self._priorities(exchange.service).urgency(exchange.priority)
        exchange = exchange._replace(urgency=urgency)
        stream = _StreamRequest(self, exchange, reply, engine_config)
        try:
            refusal = await stream.run()
        except trio.Cancelled:
            if reply.started:
                stream.relay.log_end("stream abandoned")
            raise
        if refusal is None:
            return "answered"
        if reply.started:
            stream.relay.log_end("stream broken off", reason=refusal.reason)
            return "broken_off"
        await send_refusal(reply, refusal)
        return refusal.reason

    async def reserve(
        self,
        exchange: Exchange,
        engine_config: EngineConfig,
        software: str | None,
        excluded_engines: frozenset[str],
    ) -> MemoryReservation | ReservationRefused:
        """Wait for memory at a decode engine.

        Args:
            exchange: The request.
            engine_config: The configuration of the service's engines.
            software: Version of the software that wrote the events that the caller has; ``None`` if
                it has none. A stream that has begun is due at once.
            excluded_engines: Names of the engines that have already failed the request.
        """
        requested_at = trio.current_time()
        waiter = self._waiter(exchange, engine_config)._replace(
            software=software, excluded_engines=excluded_engines
        )
        if software is not None:
            gives_up_at = min(requested_at + MAX_WAIT_S, exchange.expires_at)
            waiter = waiter._replace(has_started=True, gives_up_at=gives_up_at)
        result = await self._reserver.reserve(exchange.service, waiter)
        waited_s = trio.current_time() - requested_at
        self._metrics.observe_reservation_wait(exchange.service, waited_s)
        waited_ms = round(waited_s * 1_000)
        if isinstance(result, MemoryReservation):
            exchange.log(
                "place granted",
                peer=result.upstream.name,
                software=result.upstream.software,
                tokens=result.tokens,
                waited_ms=waited_ms,
                here=self._fleet.in_flight(result.upstream),
            )
        else:
            exchange.log(
                "place refused",
                logging.INFO,
                reason=result.reason,
                waited_ms=waited_ms,
                **self._priority_fields(exchange, result),
            )
        return result

    def drain(self, waits_end_at: float) -> None:
        """Refuse the requests that would wait beyond a time for memory."""
        self._reserver.drain(waits_end_at)

    def release(self, reservation: MemoryReservation) -> None:
        """Release an unused reservation."""
        self._reserver.release(reservation)

    def record_start(
        self, exchange: Exchange, upstream: UpstreamRecord, before: UpstreamRecord | None
    ) -> None:
        """Record which engine begins a stream; see ``Resumptions.record_start``."""
        self._resumptions.record_start(exchange, upstream, before)

    def record_result(self, reservation: MemoryReservation, result: AttemptResult) -> None:
        """Record the result of an attempt that used a reservation."""
        now = trio.current_time()
        self._fleet.record_end(reservation.upstream, result.verdict, now, tokens=reservation.tokens)
        self._metrics.count_attempt(reservation.upstream.service, result.verdict)
        self._reserver.notify_freed(reservation.upstream.service)

    async def prefill(self, exchange: Exchange) -> PrefilledCache | None:
        """Prefill the prompt, or return ``None`` if the decode engine has to do it."""
        return await self._prefill_scheduler.run(exchange)

    def record_local_prefill(
        self, exchange: Exchange, upstream: UpstreamRecord, took_s: float
    ) -> None:
        """Record the time to the first event of a prompt that its decode engine prefilled."""
        self._prefill_scheduler.record_local_prefill(exchange, upstream, took_s)

    def release_refused(self, reservation: MemoryReservation, by_engine: bool) -> None:
        """Release the reservation of a refused request.

        Args:
            reservation: The reservation.
            by_engine: Whether the engine itself is the cause, so that it is suspended.
        """
        self._engines.release_hold(reservation.upstream, reservation.hold)
        if by_engine:
            self._fleet.suspend(reservation.upstream, trio.current_time() + REFUSING_ENGINE_PAUSE_S)

    def release_hold(self, reservation: MemoryReservation) -> None:
        """Release a reservation at its engine that a request sent there may not have used."""
        self._engines.release_hold(reservation.upstream, reservation.hold)

    def is_ordered(self, exchange: Exchange) -> bool:
        """Return whether the streams of a request's service differ in priority or organisation."""
        return self._priorities(exchange.service).is_ordered

    def record_length(
        self, exchange: Exchange, engine_config: EngineConfig, events: int | None
    ) -> None:
        """Record the output length of a finished stream for the length estimator.

        Args:
            exchange: The request.
            engine_config: The configuration of the service's engines.
            events: Number of events, or ``None`` if it is not known.
        """
        hint = exchange.metadata.output_tokens_hint
        if hint is not None and events is not None:
            estimator = self._length_estimator(exchange.service)
            estimator.record(hint, events * engine_config.tokens_per_event)

    def free_kv_cache(self, exchange: Exchange, prefilled: PrefilledCache, refused: bool) -> None:
        """Free an unused KV cache.

        Args:
            exchange: The request.
            prefilled: The KV cache.
            refused: Whether the decode engine refused the request that referred to it.
        """
        if refused:
            self._prefill_scheduler.record_not_fetched(exchange, prefilled)
        self._engines.free_kv_cache(prefilled)

    def try_spend_retry(self, exchange: Exchange) -> bool:
        """Spend one retry, or return ``False`` if the shared budget is exhausted."""
        return self._retries.try_spend(exchange.service, trio.current_time())

    @property
    def record_pace(self) -> PaceHandler:
        """Records whether a stream kept its pace."""
        return self._prefill_scheduler.record_pace

    @property
    def engines(self) -> EngineClient:
        """Client of the engines."""
        return self._engines

    @property
    def crashes(self) -> CrashWatch:
        """Watches the attempts for those that end their engine."""
        return self._crashes

    @property
    def metrics(self) -> DirectMetrics:
        """The entry's metrics."""
        return self._metrics

    def dry_run_waiter(self, exchange: Exchange, engine_config: EngineConfig) -> Waiter:
        """Return what a request would wait for, without creating an estimator."""
        copied = copy(self)
        copied._length_estimators = deepcopy(self._length_estimators)
        return copied._waiter(exchange, engine_config)

    def _waiter(self, exchange: Exchange, engine_config: EngineConfig) -> Waiter:
        metadata = exchange.metadata
        output = metadata.max_output_tokens
        if metadata.output_tokens_hint is not None:
            output = self._length_estimator(exchange.service).tokens_to_reserve(
                metadata.output_tokens_hint, output
            )
        tokens = metadata.prompt_tokens + output
        first_arrived_at = exchange.arrived_at - exchange.waited_before_s
        on_time_until = first_arrived_at + exchange.route.latency_target_s - FIRST_EVENT_ALLOWANCE_S
        gives_up_at = on_time_until + MAX_LATE_WAIT_S
        if exchange.waited_before_s:
            gives_up_at = exchange.arrived_at + MAX_WAIT_S
        waiter = Waiter(
            request=exchange.request_id,
            tokens=min(tokens, engine_config.kv_capacity or tokens),
            arrived_at=exchange.arrived_at,
            on_time_until=on_time_until,
            gives_up_at=min(gives_up_at, exchange.expires_at),
        )
        if not self.is_ordered(exchange):
            return waiter
        waiter = waiter._replace(
            priority=exchange.priority,
            organisation=exchange.organisation.name if exchange.organisation else None,
            waited_before_s=exchange.waited_before_s,
            expires_at=exchange.expires_at,
        )
        return with_bounds(waiter, exchange.route, trio.current_time())

    def _priority_fields(
        self, exchange: Exchange, refused: ReservationRefused
    ) -> dict[str, object]:
        """Return the fields of the log that say why a request of a priority was refused."""
        if not self.is_ordered(exchange):
            return {}
        wait_s, retry_s = refused.expected_wait_s, refused.retry_after_s
        return {
            "priority": exchange.priority,
            "organisation": exchange.organisation.name if exchange.organisation else None,
            "expected_wait_ms": None if wait_s is None else round(wait_s * 1_000),
            "retry_after_ms": None if retry_s is None else round(retry_s * 1_000),
        }

    def _length_estimator(self, service: str) -> OutputLengthEstimator:
        return self._length_estimators.setdefault(service, OutputLengthEstimator())


class _StreamRequest:
    """A request for a stream, served by one or more engines in turn."""

    def __init__(
        self, calls: StreamCalls, exchange: Exchange, reply: Reply, engine_config: EngineConfig
    ) -> None:
        self._calls = calls
        self._exchange = exchange
        self._engine_config = engine_config
        self._relay = StreamRelay(
            exchange, reply, calls.engines.dialect, calls.metrics, calls.record_pace
        )
        self._broken_attempts = 0
        self._refusals = 0
        self._ends = 0
        """Engines that ended when the stream had just begun there."""
        self._has_settled = False
        """Whether an engine has sent events for so long that the content is harmless."""
        self._failed_engines: set[str] = set()
        self._software = exchange.software
        """Version of the software that wrote the events that the caller has, if it has any."""
        self._engine: UpstreamRecord | None = None
        """The engine of the latest attempt."""

    @property
    def relay(self) -> StreamRelay:
        """Relays the events to the caller."""
        return self._relay

    async def run(self) -> Refusal | None:
        """Relay the complete stream, or return why it could not be started or completed."""
        while True:
            if self._exchange.time_left_s() < MIN_TIME_LEFT_S:
                return self._refusal("timeout", "no time is left", 504)
            if refusal := self._quarantine_refusal():
                return refusal
            reservation = await self._calls.reserve(
                self._exchange,
                self._engine_config,
                self._software,
                frozenset(self._failed_engines),
            )
            if isinstance(reservation, ReservationRefused):
                return self._reservation_refusal(reservation)
            self._note_engine(reservation.upstream)
            result = await self._attempt(reservation)
            if self._relay.has_started:
                self._software = reservation.upstream.software
            if result.end is AttemptEnd.QUARANTINED:
                continue
            if result.end is AttemptEnd.WHOLE:
                events = self._relay.last_number
                self._calls.record_length(self._exchange, self._engine_config, events)
            if result.end in (AttemptEnd.WHOLE, AttemptEnd.ANSWERED):
                return None
            self._exchange.log(
                "attempt failed",
                peer=reservation.upstream.name,
                software=reservation.upstream.software,
                outcome=result.end,
                detail=result.detail,
                last_event=self._relay.last_event,
            )
            if result.end is AttemptEnd.BROKEN:
                self._failed_engines.add(reservation.upstream.name)
            if refusal := self._refusal_after(result):
                return refusal

    def _note_engine(self, upstream: UpstreamRecord) -> None:
        """Record the engine of the next attempt, at which the stream may begin."""
        if not self._relay.has_started:
            self._calls.record_start(self._exchange, upstream, self._engine)
        self._engine = upstream

    def _refusal_after(self, result: AttemptResult) -> Refusal | None:
        """Return the refusal that ends the request, or ``None`` if another engine may be tried."""
        route = self._exchange.route
        if result.end is AttemptEnd.BROKEN:
            self._broken_attempts += 1
            if not self._may_repeat() or self._broken_attempts >= route.max_upstreams:
                return self._refusal("broken", "the engine's stream broke off", 502)
        else:
            self._refusals += 1
        if not self._calls.try_spend_retry(self._exchange):
            return self._refusal("retry_budget", "the retry budget is spent", 502)
        return None

    def _may_repeat(self) -> bool:
        if self._exchange.trial_of is not None and not self._has_settled:
            return False
        if not self._relay.can_go_on:
            return False
        return self._exchange.route.retryable and self._ends < MAX_ENDS_UNDER_REQUEST

    def _refusal(self, reason: str, message: str, status: int) -> Refusal:
        if self._broken_attempts:
            return unknown_outcome_refusal(status, reason, message)
        return not_run_refusal(reason, message, FULL_RETRY_S)

    def _is_quarantined(self) -> bool:
        return self._calls.crashes.is_quarantined(self._exchange)

    def _quarantine_refusal(self) -> Refusal | None:
        refusal = self._calls.crashes.refusal(self._exchange)
        if refusal is not None and self._broken_attempts:
            return unknown_outcome_refusal(502, refusal.reason, refusal.message)
        return refusal

    def _reservation_refusal(self, reservation: ReservationRefused) -> Refusal:
        if self._broken_attempts:
            return unknown_outcome_refusal(
                502, reservation.reason, "no engine can go on with the stream"
            )
        if reservation.retry_after_s is None:
            return final_refusal(reservation.reason, "no engine has the version that began it")
        return not_run_refusal(reservation.reason, "no engine has room", reservation.retry_after_s)

    async def _attempt(self, reservation: MemoryReservation) -> AttemptResult:
        """Prefill and decode; the reservation is used or released in any case."""
        prefilled: PrefilledCache | None = None
        result = AttemptResult(AttemptEnd.BROKEN, Verdict.UNKNOWN, "cancelled")
        sent = False
        try:
            if self._should_prefill() and not self._is_quarantined():
                prefilled = await self._prefill()
            if self._is_quarantined():
                result = AttemptResult(AttemptEnd.QUARANTINED, Verdict.UNKNOWN)
                return result
            sent = True
            source = prefilled.source if prefilled else None
            result = await self._decode(reservation, source)
            return result
        except trio.Cancelled:
            if self._calls.is_ordered(self._exchange) and sent:
                # The engine may not have taken up the request, and would keep the memory for it.
                self._calls.release_hold(reservation)
            self._count_lost_prefill(prefilled, LostPrefill.CALLER_LEFT)
            raise
        finally:
            if sent:
                self._calls.record_result(reservation, result)
            else:
                self._calls.release(reservation)
            if result.end is AttemptEnd.NOT_RUN:
                self._count_lost_prefill(prefilled, LostPrefill.REFUSED)
                self._calls.release_refused(reservation, by_engine=sent and prefilled is None)
            if prefilled is not None and result.end is not AttemptEnd.WHOLE:
                self._calls.free_kv_cache(
                    self._exchange, prefilled, result.end is AttemptEnd.NOT_RUN
                )

    async def _prefill(self) -> PrefilledCache | None:
        """Prefill the prompt, but not for longer than the memory stays reserved."""
        if not self._calls.is_ordered(self._exchange):
            return await self._calls.prefill(self._exchange)
        lease_s = self._engine_config.max_hold_s
        with trio.move_on_after(lease_s - LEASE_MARGIN_S):
            return await self._calls.prefill(self._exchange)
        self._calls.metrics.count_lost_prefill(self._exchange.service, LostPrefill.LEASE)
        self._exchange.log("prefill given up", reason=LostPrefill.LEASE, lease_s=lease_s)
        return None

    def _count_lost_prefill(self, prefilled: PrefilledCache | None, step: LostPrefill) -> None:
        if prefilled is not None:
            self._calls.metrics.count_lost_prefill(self._exchange.service, step)

    def _should_prefill(self) -> bool:
        """Return whether to prefill at another engine.

        After a failed attempt there is no time for that; the decode engine prefills the prompt.
        """
        return (
            self._broken_attempts == 0
            and self._refusals == 0
            and self._exchange.route.separate_prefill
            and self._has_lease_for_prefill()
        )

    def _has_lease_for_prefill(self) -> bool:
        if not self._calls.is_ordered(self._exchange):
            return True
        return self._engine_config.max_hold_s > LEASE_MARGIN_S

    async def _decode(
        self, reservation: MemoryReservation, source: KvSource | None
    ) -> AttemptResult:
        forwarding = ForwardingOptions(
            self._exchange.time_left_s(),
            kv_source=source,
            hold=reservation.hold,
            last_event=self._relay.last_event,
            urgency=self._exchange.urgency,
        )
        watch = self._calls.crashes.start_attempt(
            self._exchange, reservation.upstream, self._has_settled
        )
        sent_at = trio.current_time()
        is_local_prefill = source is None and self._relay.last_event is None
        try:
            with trio.move_on_at(self._exchange.expires_at):
                async with self._calls.engines.decode(
                    self._exchange, reservation.upstream, forwarding
                ) as response:
                    timeout_s = event_timeout_s(self._exchange, self._broken_attempts)
                    return await self._relay.relay(response, reservation.upstream, timeout_s, watch)
            return AttemptResult(AttemptEnd.BROKEN, Verdict.UNKNOWN, "out of time")
        except NothingSent as error:
            return AttemptResult(AttemptEnd.NOT_RUN, Verdict.FAILED, error.detail)
        except LinkError as error:
            watch.record_break()
            if watch.is_suspect and await self._calls.crashes.has_ended(reservation.upstream):
                self._ends += 1
            return AttemptResult(AttemptEnd.BROKEN, Verdict.FAILED, error.detail)
        finally:
            self._has_settled = watch.has_settled
            if is_local_prefill and self._relay.started_at is not None:
                took_s = self._relay.started_at - sent_at
                self._calls.record_local_prefill(self._exchange, reservation.upstream, took_s)
