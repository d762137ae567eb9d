"""Places granted by the engines themselves: memory reserved under a lease of theirs."""

import logging
from collections.abc import Callable
from random import Random

import trio

from chivehold.core.direct.fleet import Fleet, Verdict
from chivehold.core.direct.messages import Stage, UpstreamRecord
from chivehold.core.direct.reservations import MemoryReservation, ReservationRefused
from chivehold.core.direct.routes import EngineConfig
from chivehold.core.direct.waiting import Waiter, WaitQueue
from chivehold.direct.engines import EngineClient
from chivehold.http_client import LinkError
from chivehold.logs import log_event

POLL_S = 0.03
"""Between rounds while all engines are full; memory freed by other entries is seen only so."""
LATE_POLL_S = 0.15
"""The same for a request that is late already, so that other entries' timely ones go first."""
POLL_JITTER = 0.3
NO_ENGINE_RETRY_S = 1.0
UNANSWERED_PAUSE_S = 0.5
"""An engine that did not answer is not asked again for so long."""

_log = logging.getLogger(__name__)


class _Pending:
    """A waiting request and what became of it."""

    def __init__(self, waiter: Waiter) -> None:
        self.waiter = waiter
        self.settled = trio.Event()
        self.result: MemoryReservation | ReservationRefused | None = None

    def settle(self, result: MemoryReservation | ReservationRefused) -> None:
        self.result = result
        self.settled.set()


class EngineMemoryReserver:
    """Asks decode engines for memory in the order of the waiting room; implements ``Places``.

    Args:
        fleet: The engines.
        engines: Makes the calls.
        traits: Returns what the engines of a service have in common.
        nursery: Runs the tasks that ask.
        rng: Draws the pauses.
    """

    def __init__(
        self,
        fleet: Fleet,
        engines: EngineClient,
        traits: Callable[[str], EngineConfig | None],
        nursery: trio.Nursery,
        rng: Random,
    ) -> None:
        self._fleet = fleet
        self._engines = engines
        self._traits = traits
        self._nursery = nursery
        self._rng = rng
        self._lines: dict[str, _Line] = {}

    async def reserve(self, service: str, waiter: Waiter) -> MemoryReservation | ReservationRefused:
        """Wait for a place until the waiter's ``leaves_at``."""
        if service not in self._lines:
            self._lines[service] = _Line()
        line = self._lines[service]
        pending = _Pending(waiter)
        line.enter(pending)
        if not line.served:
            line.served = True
            self._nursery.start_soon(self._serve, service, line)
        try:
            with trio.move_on_at(waiter.gives_up_at):
                await pending.settled.wait()
        except trio.Cancelled:
            if isinstance(pending.result, MemoryReservation):
                self.release(pending.result)
            raise
        finally:
            line.leave(waiter.request)
        if pending.result is None:
            return ReservationRefused("full", line.retry_after_s(self._rng))
        return pending.result

    def release(self, reservation: MemoryReservation) -> None:
        """Give back a place that was not used."""
        self._fleet.work_ended(
            reservation.upstream, Verdict.UNKNOWN, trio.current_time(), tokens=reservation.tokens
        )
        self._engines.give_back_hold(reservation.upstream, reservation.hold)
        self.notify_freed(reservation.upstream.service)

    def notify_freed(self, service: str) -> None:
        """Take note that memory has become free at an engine of a service."""
        if service in self._lines:
            self._lines[service].wake.set()

    def waiting(self) -> dict[str, int]:
        """Return how many requests wait, by service."""
        return {service: len(line.room) for service, line in self._lines.items()}

    async def _serve(self, service: str, line: "_Line") -> None:
        """Ask for the head of the line until nobody waits."""
        try:
            while (waiter := line.room.next_waiter(trio.current_time())) is not None:
                serving = self._fleet.available(service, Stage.DECODE, trio.current_time())
                if all(one.name in waiter.excluded_engines for one in serving):
                    line.settle(waiter.request, ReservationRefused("no_engine", NO_ENGINE_RETRY_S))
                    line.room.remove(waiter.request)
                    continue
                if not await self._grant(service, line, waiter):
                    is_late = waiter.on_time_until < trio.current_time()
                    poll_s = LATE_POLL_S if is_late else POLL_S
                    await line.pause(poll_s * self._rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER))
        finally:
            line.served = False

    async def _grant(self, service: str, line: "_Line", waiter: Waiter) -> bool:
        """Ask each engine once for a waiter; tells whether it got a place or has left."""
        traits = self._traits(service)
        ttl_s = traits.max_hold_s if traits else 1.0
        for upstream in self._fleet.decode_engines_by_load(
            service, trio.current_time(), waiter.excluded_engines
        ):
            hold = await self._hold(upstream, waiter.tokens, ttl_s)
            if hold is None:
                continue
            reservation = MemoryReservation(upstream, hold, waiter.tokens)
            self._fleet.work_started(upstream, waiter.tokens)
            if not line.settle(waiter.request, reservation):
                self.release(reservation)
            return True
        return False

    async def _hold(self, upstream: UpstreamRecord, tokens: int, ttl_s: float) -> str | None:
        try:
            return await self._engines.hold(upstream, tokens, ttl_s)
        except LinkError as error:
            suspended_s = self._fleet.record_no_answer(
                upstream, trio.current_time(), UNANSWERED_PAUSE_S
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


class _Line:
    """The requests of one service that wait, and the task that serves them."""

    RETRY_S = (3.0, 4.5)
    """Range of the times to come back."""

    def __init__(self) -> None:
        self.room = WaitQueue()
        self.served = False
        self.wake = trio.Event()
        self._pending: dict[str, _Pending] = {}

    def enter(self, pending: _Pending) -> None:
        self.room.add(pending.waiter)
        self._pending[pending.waiter.request] = pending
        self.wake.set()

    def leave(self, request: str) -> None:
        self.room.remove(request)
        self._pending.pop(request, None)

    def settle(self, request: str, result: MemoryReservation | ReservationRefused) -> bool:
        """Tell a waiting request what became of it; ``False`` where it no longer waits."""
        pending = self._pending.get(request)
        if pending is None or pending.result is not None:
            return False
        self.room.remove(request)
        pending.settle(result)
        return True

    async def pause(self, pause_s: float) -> None:
        """Wait for a time, or until something changes."""
        self.wake = trio.Event()
        with trio.move_on_after(pause_s):
            await self.wake.wait()

    def retry_after_s(self, rng: Random) -> float:
        return rng.uniform(*self.RETRY_S)
