"""Who gets freed memory when several entries ask: the pattern is a burst before full engines.

Two entries share one engine that grants to whoever asks first; time is paused, there is no network.
"""

from random import Random

import trio
import trio.testing

from chivehold.core.direct.fleet import Fleet
from chivehold.core.direct.messages import Stage, UpstreamRecord
from chivehold.core.direct.reservations import MemoryReservation, ReservationRefused
from chivehold.core.direct.routes import EngineConfig
from chivehold.core.direct.waiting import Waiter
from chivehold.direct.reservations import EngineMemoryReserver
from chivehold.http_client import LinkBroken
from tests.core.direct.factories import upstream

TRAITS = EngineConfig(10_000, 13, 2.0, 0.5, 6.0)


class Engine:
    """Grants memory while there is some; stands in for the calls of every entry."""

    def __init__(self) -> None:
        self.free = 0
        self.dark = False
        self.asked = 0
        self.asked_dark = 0
        self.given_back: list[str] = []

    async def hold(self, entry: UpstreamRecord, tokens: int, ttl_s: float) -> str | None:
        await trio.sleep(0.001)
        self.asked += 1
        if self.dark and entry.name == "d":
            self.asked_dark += 1
            await trio.sleep(0.25)
            raise LinkBroken("reserve memory", entry.name, "no answer")
        if tokens > self.free:
            return None
        self.free -= tokens
        return f"h{self.asked}"

    def give_back_hold(self, entry: UpstreamRecord, hold: str) -> None:
        self.given_back.append(hold)


def entry(engine: Engine, nursery: trio.Nursery, seed: int) -> EngineMemoryReserver:
    fleet = Fleet("a", Random(seed))
    fleet.replace([upstream("d", Stage.DECODE)])
    calls: object = engine
    return EngineMemoryReserver(fleet, calls, lambda _: TRAITS, nursery, Random(seed))  # type: ignore[arg-type]


def waiter(request: str, on_time_for_s: float, tokens: int = 100) -> Waiter:
    now = trio.current_time()
    return Waiter(request, tokens, now, now + on_time_for_s, now + 3.0)


async def ask(which: EngineMemoryReserver, one: Waiter, order: list[str]) -> None:
    if isinstance(await which.reserve("s", one), MemoryReservation):
        order.append(one.request)


class TestTurns:
    async def test_timely_goes_before_late_of_another_entry(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """In most cases: no entry knows who waits at another, but late ones ask less often."""
        first = 0
        for seed in range(40):
            engine = Engine()
            order: list[str] = []
            async with trio.open_nursery() as nursery:
                late, timely = entry(engine, nursery, seed), entry(engine, nursery, seed + 100)
                nursery.start_soon(ask, late, waiter("late", -1.0), order)
                nursery.start_soon(ask, timely, waiter("timely", 2.0), order)
                await trio.sleep(0.3 + Random(seed).random() * 0.2)
                engine.free = 100
                await trio.sleep(0.3)
                nursery.cancel_scope.cancel()
            first += order[:1] == ["timely"]
        assert first >= 30

    async def test_refused_when_it_would_leave(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """At its time, with a time to come back that callers honour."""
        async with trio.open_nursery() as nursery:
            one = entry(Engine(), nursery, 1)
            refused = await one.reserve("s", waiter("r", 0.5))
            assert isinstance(refused, ReservationRefused)
            assert refused.reason == "full"
            assert 3.0 <= refused.retry_after_s <= 4.5
            nursery.cancel_scope.cancel()

    async def test_departed_waiter_leaves_nothing_held(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Whether it leaves before or while its place is granted."""
        for after_s, free, given_back in ((0.0005, 100, 1), (0.5, 0, 0)):
            engine = Engine()
            engine.free = free
            async with trio.open_nursery() as nursery:
                one = entry(engine, nursery, 1)
                with trio.move_on_after(after_s):
                    await one.reserve("s", waiter("r", 2.0))
                engine.free += 100
                await trio.sleep(0.5)
                assert len(engine.given_back) == given_back
                assert engine.free == 100
                nursery.cancel_scope.cancel()

    async def test_dark_engine_is_asked_ever_less(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Its pauses double from half a second to four: six questions in ten seconds."""
        engine = Engine()
        engine.dark = True
        async with trio.open_nursery() as nursery:
            one = entry(engine, nursery, 1)
            other = upstream("sound", Stage.DECODE)
            one._fleet.replace([upstream("d", Stage.DECODE), other])
            for number in range(10):
                await one.reserve(
                    "s", waiter(f"r{number}", 0.2)._replace(gives_up_at=trio.current_time() + 1)
                )
            nursery.cancel_scope.cancel()
        assert 1 <= engine.asked_dark <= 6
