"""Streams of model services: reserve decode memory, prefill at another engine, relay the events."""

import logging
from collections.abc import Callable
from copy import copy, deepcopy

import trio

from chivehold.core.direct.fleet import Fleet
from chivehold.core.direct.messages import UpstreamRecord
from chivehold.core.direct.output_estimate import OutputLengthEstimator
from chivehold.core.direct.reservations import MemoryReservation, MemoryReserver, ReservationRefused
from chivehold.core.direct.routes import EngineConfig
from chivehold.core.direct.shared_retries import SharedRetryBudget
from chivehold.core.direct.stream_priorities import StreamPriorities
from chivehold.core.direct.wait_bounds import with_bounds
from chivehold.core.direct.waiting import Waiter
from chivehold.direct.crash_watch import CrashWatch
from chivehold.direct.engines import EngineClient, PrefilledCache
from chivehold.direct.exchange import Exchange, Reply
from chivehold.direct.metrics import DirectMetrics
from chivehold.direct.prefills import PrefillScheduler
from chivehold.direct.refusals import Refusal, send_refusal
from chivehold.direct.resumptions import Resumptions
from chivehold.direct.stream_relay import AttemptResult, PaceHandler
from chivehold.direct.stream_request import StreamRequest

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
        stream = StreamRequest(self, exchange, reply, engine_config)
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
