"""Which request gets freed memory in a burst, when several entries poll full engines.

Two entries share one engine that grants memory to the first request. The tests run on a mock clock
and without a network.
"""

import logging
from random import Random

import pytest
import trio
import trio.testing

from chivehold.core.direct.messages import Stage, UpstreamRecord, UpstreamSignals
from chivehold.core.direct.reservations import MemoryReservation, ReservationRefused
from chivehold.core.direct.routes import EngineConfig
from chivehold.core.direct.stream_priorities import StreamPriorities
from chivehold.core.direct.waiting import Waiter
from chivehold.direct.metrics import DirectMetrics
from chivehold.direct.reservations import EngineMemoryReserver
from chivehold.http_client import LinkBroken
from tests.core.direct import factories
from tests.core.direct.factories import upstream

ENGINE_CONFIG = EngineConfig(10_000, 13, 2.0, 0.5, 6.0)


class Engine:
    """Fakes the engine client of all entries; grants memory while some is free."""

    def __init__(self) -> None:
        self.free = 0
        self.unanswering = False
        self.calls = 0
        self.unanswered_calls = 0
        self.released: list[str] = []

    async def reserve_memory(self, record: UpstreamRecord, tokens: int, ttl_s: float) -> str | None:
        await trio.sleep(0.001)
        self.calls += 1
        if self.unanswering and record.name == "d":
            self.unanswered_calls += 1
            await trio.sleep(0.25)
            raise LinkBroken("reserve memory", record.name, "no answer")
        if tokens > self.free:
            return None
        self.free -= tokens
        return f"h{self.calls}"

    def release_hold(self, record: UpstreamRecord, hold: str) -> None:
        self.released.append(hold)


def make_reserver(
    engine: Engine, nursery: trio.Nursery, seed: int, priorities: tuple[int, ...] = ()
) -> EngineMemoryReserver:
    fleet = factories.fleet(seed)
    fleet.replace([upstream("d", Stage.DECODE)])
    calls: object = engine
    return EngineMemoryReserver(
        fleet,
        calls,  # type: ignore[arg-type]
        lambda _: ENGINE_CONFIG,
        lambda _: StreamPriorities(priorities),
        DirectMetrics(),
        nursery,
        Random(seed),
    )


def make_waiter(request: str, on_time_for_s: float, tokens: int = 100) -> Waiter:
    now = trio.current_time()
    return Waiter(request, tokens, now, now + on_time_for_s, now + 3.0)


async def reserve_memory(reserver: EngineMemoryReserver, waiter: Waiter, order: list[str]) -> None:
    if isinstance(await reserver.reserve("s", waiter), MemoryReservation):
        order.append(waiter.request)


class TestReservations:
    async def test_on_time_request_goes_before_late_one_of_another_entry(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """An on-time request mostly gets memory before a late one of another entry.

        Entries do not know each other's queues, but late requests poll less often.
        """
        first = 0
        for seed in range(40):
            engine = Engine()
            order: list[str] = []
            async with trio.open_nursery() as nursery:
                late, timely = make_reserver(engine, nursery, seed), make_reserver(
                    engine, nursery, seed + 100
                )
                nursery.start_soon(reserve_memory, late, make_waiter("late", -1.0), order)
                nursery.start_soon(reserve_memory, timely, make_waiter("timely", 2.0), order)
                await trio.sleep(0.3 + Random(seed).random() * 0.2)
                engine.free = 100
                await trio.sleep(0.3)
                nursery.cancel_scope.cancel()
            first += order[:1] == ["timely"]
        assert first >= 30

    async def test_refused_when_it_gives_up(self, autojump_clock: trio.testing.MockClock) -> None:
        """A request is refused when it gives up waiting, with a retry-after that callers honour."""
        async with trio.open_nursery() as nursery:
            reserver = make_reserver(Engine(), nursery, 1)
            refused = await reserver.reserve("s", make_waiter("r", 0.5))
            assert isinstance(refused, ReservationRefused)
            assert refused.reason == "full"
            assert 3.0 <= refused.retry_after_s <= 4.5
            nursery.cancel_scope.cancel()

    # Guards against requests that wait beyond the end of a planned shutdown.
    async def test_waits_end_with_the_shutdown(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Requests that wait, and later ones, are refused when the entry stops accepting."""
        async with trio.open_nursery() as nursery:
            reserver = make_reserver(Engine(), nursery, 1)
            refusals: list[tuple[str, float]] = []

            async def reserve(request: str) -> None:
                refused = await reserver.reserve("s", make_waiter(request, 2.0))
                assert isinstance(refused, ReservationRefused)
                refusals.append((refused.reason, trio.current_time()))

            async with trio.open_nursery() as waiting:
                waiting.start_soon(reserve, "before")
                await trio.sleep(0.2)
                reserver.drain(trio.current_time() + 1.0)
                waiting.start_soon(reserve, "after")
            assert refusals == [("draining", 1.2), ("draining", 1.2)]
            await reserve("last")
            assert refusals[-1] == ("draining", 1.2)
            nursery.cancel_scope.cancel()

    async def test_wait_in_vain_ends_at_once(self, autojump_clock: trio.testing.MockClock) -> None:
        """A request that will not be granted memory before the end of the waits is told so."""
        engine = Engine()
        async with trio.open_nursery() as nursery:
            reserver = make_reserver(engine, nursery, 1)
            refused_at: list[float] = []

            async def reserve(request: str, on_time_for_s: float) -> None:
                result = await reserver.reserve("s", make_waiter(request, on_time_for_s))
                if isinstance(result, ReservationRefused):
                    refused_at.append(trio.current_time())

            async with trio.open_nursery() as waiting:
                for number in range(20):
                    waiting.start_soon(reserve, f"r{number}", 1.0 + number / 10)
                await trio.sleep(0.6)
                engine.free = 100
                await trio.sleep(0.4)
                assert len(reserver.waiting("s", None) or ()) == 19
                reserver.drain(trio.current_time() + 1.5)
                await trio.sleep(0.01)
                # One grant a second so far: the next one may get memory in time, the last cannot.
                assert 10 <= len(refused_at) < 19
            nursery.cancel_scope.cancel()

    async def test_started_stream_still_waits(self, autojump_clock: trio.testing.MockClock) -> None:
        """A stream that lost its engine waits for as long as without a shutdown."""
        async with trio.open_nursery() as nursery:
            reserver = make_reserver(Engine(), nursery, 1)
            reserver.drain(trio.current_time() + 0.1)
            waiter = make_waiter("r", 2.0)._replace(has_started=True)
            refused = await reserver.reserve("s", waiter)
            assert isinstance(refused, ReservationRefused)
            assert (refused.reason, trio.current_time()) == ("full", waiter.gives_up_at)
            nursery.cancel_scope.cancel()

    async def test_cancelled_waiter_leaves_nothing_reserved(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Nothing stays reserved, whether the waiter is cancelled before or during the grant."""
        for after_s, free, released in ((0.0005, 100, 1), (0.5, 0, 0)):
            engine = Engine()
            engine.free = free
            async with trio.open_nursery() as nursery:
                reserver = make_reserver(engine, nursery, 1)
                with trio.move_on_after(after_s):
                    await reserver.reserve("s", make_waiter("r", 2.0))
                engine.free += 100
                await trio.sleep(0.5)
                assert len(engine.released) == released
                assert engine.free == 100
                nursery.cancel_scope.cancel()

    # Guards against polling an engine in need for memory many times a second.
    async def test_limited_engine_is_asked_no_more_often_than_it_says(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Each call for memory counts against the limit, also if there is none."""
        engine = Engine()
        async with trio.open_nursery() as nursery:
            reserver = make_reserver(engine, nursery, 1)
            signals = UpstreamSignals(max_rate=1.0)
            reserver._fleet.record_signals(
                upstream("d", Stage.DECODE), signals, trio.current_time(), trio.current_time()
            )
            for number in range(5):
                await reserver.reserve("s", make_waiter(f"r{number}", 2.0))
            nursery.cancel_scope.cancel()
        assert engine.calls <= trio.current_time() * 1.0 + 1

    async def test_unanswering_engine_is_called_less_and_less(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """The pauses double from 0.5 to 4 seconds: at most six calls in ten seconds."""
        engine = Engine()
        engine.unanswering = True
        async with trio.open_nursery() as nursery:
            reserver = make_reserver(engine, nursery, 1)
            other = upstream("sound", Stage.DECODE)
            reserver._fleet.replace([upstream("d", Stage.DECODE), other])
            for number in range(10):
                await reserver.reserve(
                    "s",
                    make_waiter(f"r{number}", 0.2)._replace(gives_up_at=trio.current_time() + 1),
                )
            nursery.cancel_scope.cancel()
        assert 1 <= engine.unanswered_calls <= 6


class TestFreedMemory:
    async def test_freed_between_two_waits(self, autojump_clock: trio.testing.MockClock) -> None:
        """Memory freed while the engines are being asked is noticed before the next poll."""
        engine = Engine()
        async with trio.open_nursery() as nursery:
            reserver = make_reserver(engine, nursery, 1)
            late = make_waiter("r", on_time_for_s=-1.0)
            nursery.start_soon(reserver.reserve, "s", late)
            await trio.sleep(0.0005)
            reserver.notify_freed("s")
            await trio.sleep(0.01)
            assert engine.calls >= 2
            nursery.cancel_scope.cancel()


class TestPriorities:
    async def test_urgent_request_goes_first_at_another_entry(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """A burst of the least urgent class mostly leaves memory to an urgent one elsewhere."""
        first = 0
        for seed in range(20):
            engine = Engine()
            order: list[str] = []
            async with trio.open_nursery() as nursery:
                busy = make_reserver(engine, nursery, seed, (0, 2))
                urgent = make_reserver(engine, nursery, seed + 100, (0, 2))
                # The entry of the burst has served urgent requests before.
                with trio.move_on_after(0.1):
                    await busy.reserve("s", make_waiter("before", 1.0))
                for number in range(3):
                    least = make_waiter(f"least{number}", 2.0)._replace(priority=2)
                    nursery.start_soon(reserve_memory, busy, least, order)
                nursery.start_soon(reserve_memory, urgent, make_waiter("urgent", 2.0), order)
                await trio.sleep(0.3 + Random(seed).random() * 0.2)
                engine.free = 100
                await trio.sleep(0.3)
                nursery.cancel_scope.cancel()
            first += order[:1] == ["urgent"]
        assert first >= 15

    async def test_refused_at_once_and_checked(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Half of the engines gone: what cannot be served is not queued, and errors are counted."""
        engine = Engine()
        async with trio.open_nursery() as nursery:
            reserver = make_reserver(engine, nursery, 1, (0, 1))
            for number in range(3):
                waiter = make_waiter(f"r{number}", 1.0)
                nursery.start_soon(reserver.reserve, "s", waiter)
            await trio.sleep(2.5)
            asked_at = trio.current_time()
            refused = await reserver.reserve(
                "s", make_waiter("r", 1.0)._replace(priority=1, leaves_at=asked_at + 2.0)
            )
            assert isinstance(refused, ReservationRefused)
            assert (refused.reason, trio.current_time()) == ("expected_wait", asked_at)
            assert refused.retry_after_s > 3.0
            engine.free = 400
            later = make_waiter("later", 1.0)._replace(priority=1)
            assert isinstance(await reserver.reserve("s", later), MemoryReservation)
            text = reserver._metrics.render(["text/plain"], 0, 0, False, 0).body.decode()
            assert 'outcome="refused_at_once",priority="1",service="s"} 1' in text
            assert 'outcome="refused_wrongly",priority="1",service="s"} 1' in text
            nursery.cancel_scope.cancel()

    async def test_passed_over_is_logged_once(
        self, autojump_clock: trio.testing.MockClock, caplog: pytest.LogCaptureFixture
    ) -> None:
        """All classes at twice the capacity: one line says why a request waited behind others."""
        caplog.set_level(logging.INFO)
        engine = Engine()
        async with trio.open_nursery() as nursery:
            reserver = make_reserver(engine, nursery, 1, (0, 2))
            least = make_waiter("least", 2.0)._replace(priority=2)
            nursery.start_soon(reserver.reserve, "s", least)
            await trio.sleep(0.1)
            for number in range(3):
                urgent = make_waiter(f"urgent{number}", 2.0)
                nursery.start_soon(reserver.reserve, "s", urgent)
            await trio.sleep(0.1)
            (dumped,) = reserver.dump(trio.current_time())
            assert dumped["waiting_by_priority"] == {"2": 1, "0": 3}
            engine.free = 400
            await trio.sleep(2.0)
            nursery.cancel_scope.cancel()
        lines = [record for record in caplog.records if "passed over" in record.getMessage()]
        assert len(lines) == 1

    async def test_grant_to_a_caller_that_left_counts_for_nobody(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """One organisation at five times its usual: only memory that it got counts as its share."""
        engine = Engine()
        engine.free = 100
        async with trio.open_nursery() as nursery:
            reserver = make_reserver(engine, nursery, 1, (0, 2))
            with trio.move_on_after(0.0005):
                await reserver.reserve("s", make_waiter("r", 2.0)._replace(organisation="o"))
            await trio.sleep(0.1)
            assert engine.released
            (dumped,) = reserver.dump(trio.current_time())
            assert dumped["granted_lately"] == {}
            nursery.cancel_scope.cancel()
