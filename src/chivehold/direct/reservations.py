"""Reservations of decode memory, recorded at the engines themselves under a lease."""

import logging
import math
from collections import Counter
from collections.abc import Callable, Iterator
from copy import copy
from random import Random
from typing import NamedTuple

import trio

from chivehold.core.direct.fleet import Fleet, Verdict
from chivehold.core.direct.messages import Stage, UpstreamRecord
from chivehold.core.direct.reservations import MemoryReservation, ReservationRefused
from chivehold.core.direct.routes import EngineConfig
from chivehold.core.direct.stream_priorities import (
    StreamPriorities,
    equal_poll_interval_s,
)
from chivehold.core.direct.wait_bounds import exceeds_caller_wait, retry_after_s
from chivehold.core.direct.waiting import PassedOver, Waiter, WaitQueue
from chivehold.direct.draining import DRAINING, drain_retry_after_s
from chivehold.direct.engines import EngineClient
from chivehold.direct.metrics import DirectMetrics, WaitOutcome
from chivehold.direct.refusals import MAX_RETRY_AFTER_S
from chivehold.direct.reservation_queue import PendingReservation, ReservationQueue
from chivehold.http_client import LinkError
from chivehold.logs import log_event

POLL_JITTER = 0.3
NO_ENGINE_RETRY_S = 1.0
NO_ANSWER_PAUSE_S = 0.5
"""Shortest suspension of an engine that did not answer."""

_log = logging.getLogger(__name__)


class _QueueKey(NamedTuple):
    """Streams that need one software version wait apart, as room elsewhere is no use to them."""

    service: str
    software: str | None


class EngineMemoryReserver:
    """Reserves memory at decode engines in the order of the queue; implements ``MemoryReserver``.

    Args:
        fleet: The engines.
        engines: Client of the engines.
        engine_config: Returns the configuration of a service's engines.
        priorities: Returns the priorities of a service's streams.
        metrics: Counts the requests by priority where those differ.
        nursery: Runs one task per queue with waiting requests.
        rng: Source of the jitter.
    """

    def __init__(
        self,
        fleet: Fleet,
        engines: EngineClient,
        engine_config: Callable[[str], EngineConfig | None],
        priorities: Callable[[str], StreamPriorities],
        metrics: DirectMetrics,
        nursery: trio.Nursery,
        rng: Random,
    ) -> None:
        self._fleet = fleet
        self._engines = engines
        self._engine_config = engine_config
        self._priorities = priorities
        self._metrics = metrics
        self._nursery = nursery
        self._rng = rng
        self._queues: dict[_QueueKey, ReservationQueue] = {}
        self._waits_end_at = math.inf

    async def reserve(self, service: str, waiter: Waiter) -> MemoryReservation | ReservationRefused:
        """Wait for memory until the waiter's ``gives_up_at`` or the end of all waits."""
        key = _QueueKey(service, waiter.software)
        queue = self._queues.setdefault(key, ReservationQueue())
        is_ordered = self._priorities(service).is_ordered
        if is_ordered and (refusal := self._refusal_at_once(service, queue, waiter)):
            return refusal
        pending = PendingReservation(waiter)
        self._limit_wait(queue, pending)
        queue.add(pending)
        if not queue.is_served:
            queue.is_served = True
            self._nursery.start_soon(self._serve_queue, key, queue)
        try:
            with pending.scope:
                await pending.resolved.wait()
        except trio.Cancelled:
            if is_ordered:
                self._metrics.count_wait_end(service, waiter, WaitOutcome.LEFT)
            if isinstance(pending.result, MemoryReservation):
                self.release(pending.result)
            raise
        finally:
            if is_ordered:
                _log_passed_over(service, waiter, queue.passed_over(waiter.key))
            queue.remove(waiter.key)
        if is_ordered:
            self._count_end(service, waiter, pending.result)
        if pending.result is None:
            return self._refusal_after_wait(queue, waiter, is_ordered)
        return pending.result

    def release(self, reservation: MemoryReservation) -> None:
        """Release an unused reservation in the background."""
        self._fleet.record_end(
            reservation.upstream, Verdict.UNKNOWN, trio.current_time(), tokens=reservation.tokens
        )
        self._engines.release_hold(reservation.upstream, reservation.hold)
        self.notify_freed(reservation.upstream.service)

    def drain(self, waits_end_at: float) -> None:
        """Refuse the requests that would wait beyond a time, unless their stream has started."""
        self._waits_end_at = waits_end_at
        for queue in self._queues.values():
            for pending in queue.pending:
                self._limit_wait(queue, pending)

    def notify_freed(self, service: str) -> None:
        """Wake the tasks that serve the queues of a service."""
        for key, queue in self._queues.items():
            if key.service == service:
                queue.wake.set()

    def waiting_counts(self) -> dict[str, int]:
        """Return the number of waiting requests by service."""
        counts = dict.fromkeys((key.service for key in self._queues), 0)
        for key, queue in self._queues.items():
            counts[key.service] += len(queue.waiters)
        return counts

    def waiting_by_priority(self) -> Iterator[tuple[str, int, int]]:
        """Yield service, priority and number of waiting requests where priorities matter."""
        counts = Counter(
            (key.service, waiter.priority)
            for key, queue in self._queues.items()
            if self._priorities(key.service).is_ordered
            for waiter in queue.waiters.waiters
        )
        for (service, priority), count in counts.items():
            yield service, priority, count

    def dump(self, now: float) -> Iterator[dict[str, object]]:
        """Yield the state of each queue in which streams differ, for the operators' dump."""
        for key, queue in self._queues.items():
            if self._priorities(key.service).is_ordered:
                yield {"service": key.service, "software": key.software, **queue.dump(now)}

    def with_fleet(self, fleet: Fleet) -> "EngineMemoryReserver":
        """Return a copy that decides by another fleet; it shares the queues with this one."""
        copied = copy(self)
        copied._fleet = fleet
        return copied

    def waiting(self, service: str, software: str | None) -> WaitQueue | None:
        """Return the requests that wait for engines of a software version, ``None`` if none do."""
        queue = self._queues.get(_QueueKey(service, software))
        return queue.waiters if queue else None

    async def _serve_queue(self, key: _QueueKey, queue: ReservationQueue) -> None:
        """Reserve memory for the next waiter until the queue is empty."""
        try:
            while (waiter := queue.waiters.next_waiter(trio.current_time())) is not None:
                if refusal := self.refusal_without_engine(key.service, waiter):
                    queue.resolve(waiter.key, refusal)
                    queue.waiters.remove(waiter.key)
                    continue
                if not await self._grant(key.service, queue, waiter):
                    now = trio.current_time()
                    queue.grant_rate.record_waiting(True, now)
                    poll_s = equal_poll_interval_s(waiter, now)
                    if self._priorities(key.service).is_ordered:
                        is_over = waiter.organisation in queue.waiters.over_share(now)
                        poll_s = queue.served.poll_interval_s(waiter, is_over, now)
                    await queue.wait(poll_s * self._rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER))
        finally:
            queue.is_served = False
            queue.grant_rate.record_waiting(False, trio.current_time())
            if key.software is not None:
                del self._queues[key]
                # Requests for which any version will do may have its engines now.
                self.notify_freed(key.service)

    def refusal_without_engine(self, service: str, waiter: Waiter) -> ReservationRefused | None:
        """Return the refusal of a waiter for which no engine takes requests in time."""
        now = trio.current_time()
        if waiter.software is not None and not self._fleet.lists(service, waiter.software):
            return ReservationRefused("version_gone", None)
        engines = self._fleet.available(service, Stage.DECODE, now, waiter.software)
        if all(engine.name in waiter.excluded_engines for engine in engines):
            return ReservationRefused("no_engine", NO_ENGINE_RETRY_S)
        wait_s = self._fleet.wait_s(service, Stage.DECODE, now, waiter.software) or 0.0
        if now + wait_s > waiter.gives_up_at:
            return ReservationRefused("limited", min(wait_s, MAX_RETRY_AFTER_S))
        return None

    async def _grant(self, service: str, queue: ReservationQueue, waiter: Waiter) -> bool:
        """Try each engine once, and return whether a reservation was made.

        A reservation for a waiter that has left meanwhile is released.
        """
        engine_config = self._engine_config(service)
        ttl_s = engine_config.max_hold_s if engine_config else 1.0
        for upstream in self._fleet.decode_engines_by_load(
            service, waiter.tokens, trio.current_time(), waiter.excluded_engines, waiter.software
        ):
            if not self._fleet.may_send(upstream, trio.current_time()):
                continue
            if waiter.software is None and self.is_waited_for(upstream):
                continue
            # The permit covers the request that uses the reservation, too.
            self._fleet.spend_permit(upstream, trio.current_time())
            hold = await self._reserve_at(upstream, waiter.tokens, ttl_s)
            if hold is None:
                continue
            reservation = MemoryReservation(upstream, hold, waiter.tokens)
            self._fleet.record_start(upstream, waiter.tokens)
            if queue.resolve(waiter.key, reservation):
                self._record_grant(service, queue, waiter)
            else:
                self.release(reservation)
            return True
        return False

    def _refusal_at_once(
        self, service: str, queue: ReservationQueue, waiter: Waiter
    ) -> ReservationRefused | None:
        """Return the refusal of a request that would wait in vain."""
        now = trio.current_time()
        queue.served.record_arrival(waiter.priority, waiter.tokens, now)
        expected_s = queue.expected_wait_s(waiter, now)
        if not exceeds_caller_wait(waiter, expected_s, now):
            return None
        queue.refusals.record_refusal(waiter)
        self._metrics.count_wait_end(service, waiter, WaitOutcome.REFUSED_AT_ONCE)
        return ReservationRefused(
            "expected_wait", retry_after_s(waiter, expected_s, now, self._rng), expected_s
        )

    def _limit_wait(self, queue: ReservationQueue, pending: PendingReservation) -> None:
        """End the wait of a request before the shutdown, at once if it would be in vain."""
        waiter = pending.waiter
        if waiter.has_started or self._waits_end_at == math.inf:
            return
        now = trio.current_time()
        expected_s = queue.expected_wait_s(waiter, now) or 0.0
        is_in_vain = now + expected_s > self._waits_end_at
        pending.limit(now if is_in_vain else self._waits_end_at)

    def _refusal_after_wait(
        self, queue: ReservationQueue, waiter: Waiter, is_ordered: bool
    ) -> ReservationRefused:
        if trio.current_time() < waiter.gives_up_at:
            return ReservationRefused(DRAINING, drain_retry_after_s(self._rng))
        if not is_ordered:
            return ReservationRefused("full", queue.retry_after_s(self._rng))
        now = trio.current_time()
        expected_s = queue.expected_wait_s(waiter, now)
        retry_s = retry_after_s(waiter, expected_s, now, self._rng)
        return ReservationRefused("full", retry_s, expected_s)

    def _count_end(
        self, service: str, waiter: Waiter, result: MemoryReservation | ReservationRefused | None
    ) -> None:
        """Count how the wait of a request ended that was not cancelled."""
        now = trio.current_time()
        outcome = WaitOutcome.REFUSED_AFTER_WAIT
        if isinstance(result, MemoryReservation):
            outcome = WaitOutcome.LATE if waiter.is_late(now) else WaitOutcome.ON_TIME
        self._metrics.count_wait_end(service, waiter, outcome)
        self._metrics.observe_priority_wait(service, waiter.priority, now - waiter.arrived_at)

    def _record_grant(self, service: str, queue: ReservationQueue, waiter: Waiter) -> None:
        """Record a grant for the order of the queue and for the estimates."""
        now = trio.current_time()
        queue.waiters.record_grant(waiter, now)
        queue.grant_rate.record_grant(waiter.tokens, now)
        for wrong in queue.refusals.wrong_refusals(waiter, now):
            self._metrics.count_wait_end(service, wrong, WaitOutcome.REFUSED_WRONGLY)

    def is_waited_for(self, upstream: UpstreamRecord) -> bool:
        """Return whether streams that need an engine's version wait for it, which go first."""
        queue = self._queues.get(_QueueKey(upstream.service, upstream.software))
        return queue is not None and len(queue.waiters) > 0

    async def _reserve_at(self, upstream: UpstreamRecord, tokens: int, ttl_s: float) -> str | None:
        try:
            hold = await self._engines.reserve_memory(upstream, tokens, ttl_s)
            if hold is None:
                self._fleet.record_full(upstream, tokens, trio.current_time())
            return hold
        except LinkError as error:
            suspended_s = self._fleet.record_no_answer(
                upstream, trio.current_time(), NO_ANSWER_PAUSE_S
            )
            log_event(
                _log,
                logging.WARNING,
                "engine did not answer",
                step=error.step,
                peer=upstream.name,
                detail=error.detail,
                suspended_ms=round(suspended_s * 1_000),
            )
            return None


def _log_passed_over(service: str, waiter: Waiter, passed_over: PassedOver | None) -> None:
    """Log, once for each request, why others were granted memory before it."""
    if passed_over is not None:
        log_event(
            _log,
            logging.INFO,
            "request passed over",
            service=service,
            request=waiter.request,
            priority=waiter.priority,
            organisation=waiter.organisation,
            times=passed_over.times,
            by=passed_over.by,
            reason=passed_over.reason,
            waited_ms=round((trio.current_time() - waiter.arrived_at) * 1_000),
        )
