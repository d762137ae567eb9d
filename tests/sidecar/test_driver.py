from collections.abc import Iterator

import pytest
import trio
import trio.testing

from chivehold.core.sidecar_messages import (
    DrainStarted,
    ReplyImport,
    SidecarCommand,
    SidecarEvent,
    Tick,
)
from chivehold.sidecar.driver import SidecarDriver


class RecordingCore:
    """A core that records its events and answers each with a command for reply number 1.

    It asks for a tick 2 s after ``DrainStarted``.
    """

    def __init__(self) -> None:
        self.handled: list[tuple[type, float]] = []
        self.wakeup: float | None = None
        self.is_handling = False

    def handle(self, event: SidecarEvent, now: float) -> Iterator[SidecarCommand]:
        assert not self.is_handling
        self.is_handling = True
        self.handled.append((type(event), now))
        self.wakeup = now + 2.0 if isinstance(event, DrainStarted) else None
        yield ReplyImport(1, True)
        self.is_handling = False

    def next_wakeup(self) -> float | None:
        return self.wakeup

    def hold_expiry(self, until: float) -> None:
        self.wakeup = until


class TestSidecarDriver:
    async def test_ticks_when_due(self, autojump_clock: trio.testing.MockClock) -> None:
        """A tick is fed once, at the time the core asked for."""
        core = RecordingCore()
        driver = SidecarDriver(core, lambda command: None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(driver.run_timer)
            await trio.sleep(1.0)
            driver.feed(DrainStarted())
            await trio.sleep(10.0)
            nursery.cancel_scope.cancel()
        start = core.handled[0][1]
        assert [(kind, time - start) for kind, time in core.handled] == [
            (DrainStarted, 0),
            (Tick, 2.0),
        ]

    @pytest.mark.parametrize(("pause_s", "due_s"), [(2.05, 2.05), (3.0, 3.1)])
    async def test_deadlines_wait_after_a_pause(
        self, pause_s: float, due_s: float, mock_clock: trio.testing.MockClock
    ) -> None:
        """A tick found late by more than a moment is held once, for a tenth of a second."""
        core = RecordingCore()
        driver = SidecarDriver(core, lambda command: None)
        driver.feed(DrainStarted())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(driver.run_timer)
            mock_clock.jump(pause_s)
            await trio.testing.wait_all_tasks_blocked()
            mock_clock.autojump_threshold = 0
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        start = core.handled[0][1]
        times = [time - start for kind, time in core.handled if kind is Tick]
        assert times[-1] == pytest.approx(due_s)

    async def test_event_fed_by_a_command_is_handled_afterwards(self) -> None:
        """An event fed during the execution of a command is handled after the current one."""
        core = RecordingCore()
        fed = False

        def execute(command: SidecarCommand) -> None:
            nonlocal fed
            if not fed:
                fed = True
                driver.feed(Tick())

        driver = SidecarDriver(core, execute)
        driver.feed(DrainStarted())
        assert [kind for kind, _ in core.handled] == [DrainStarted, Tick]

    async def test_feed_and_wait_returns_the_reply(self) -> None:
        """``feed_and_wait`` returns the value of the core's reply with its number."""
        driver = SidecarDriver(
            RecordingCore(), lambda command: driver.settle_reply(1, command.accepted)
        )
        assert await driver.feed_and_wait(lambda reply: Tick()) is True

    async def test_failed_command_ends_the_timer(self) -> None:
        """An error of a command is raised to the caller of ``feed`` and by the timer."""

        def execute(command: SidecarCommand) -> None:
            raise ValueError("broken")

        driver = SidecarDriver(RecordingCore(), execute)
        with pytest.RaisesGroup(ValueError):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(driver.run_timer)
                await trio.testing.wait_all_tasks_blocked()
                with pytest.raises(ValueError, match="broken"):
                    driver.feed(Tick())
