"""One request for a stream, served by one or more engines in turn."""

from typing import TYPE_CHECKING

import trio

from chivehold.core.direct.fleet import Verdict
from chivehold.core.direct.messages import ForwardingOptions, KvSource, UpstreamRecord
from chivehold.core.direct.reservations import MemoryReservation, ReservationRefused
from chivehold.core.direct.routes import EngineConfig
from chivehold.direct.crash_watch import MAX_ENDS_UNDER_REQUEST
from chivehold.direct.engines import PrefilledCache
from chivehold.direct.exchange import Exchange, Reply
from chivehold.direct.metrics import LostPrefill
from chivehold.direct.refusals import (
    Refusal,
    final_refusal,
    not_run_refusal,
    unknown_outcome_refusal,
)
from chivehold.direct.stream_relay import AttemptEnd, AttemptResult, StreamRelay, event_timeout_s
from chivehold.http_client import LinkError, NothingSent

if TYPE_CHECKING:
    from chivehold.direct.stream_calls import StreamCalls

LEASE_MARGIN_S = 0.3
"""How long before the end of a reservation's lease the request must be sent to its engine.

The lease begins while the reservation is being made, which may take 0.25 s.
"""
MIN_TIME_LEFT_S = 0.1
FULL_RETRY_S = 2.0


class StreamRequest:
    """A request for a stream, served by one or more engines in turn.

    Args:
        calls: What all streams share.
        exchange: The request.
        reply: The reply to the caller.
        engine_config: The configuration of the service's engines.
    """

    def __init__(
        self, calls: "StreamCalls", exchange: Exchange, reply: Reply, engine_config: EngineConfig
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
        if not self._relay.can_resume:
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
