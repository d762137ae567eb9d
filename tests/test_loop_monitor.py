"""The monitor of the event loop, on clocks that the tests set and on small tasks."""

import gc
import logging
import time
from collections.abc import Iterator
from typing import Any, NamedTuple

import pytest
import trio
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render
from trio.testing import MockClock

from chivehold.loop_metrics import LoopMetrics
from chivehold.loop_monitor import (
    MAX_KINDS,
    OTHER_KINDS,
    Delay,
    LoopMonitor,
    monitored_loop,
)
from chivehold.thread_times import ThreadTimes

HOLD_S = 0.05
TASK_PREFIX = f"{__name__}."


class _NamedTask(NamedTuple):
    name: str


class _Loop:
    """A monitor, and what the event loop tells it, at times that the test chooses."""

    def __init__(self) -> None:
        self.now = 100.0
        self.times = ThreadTimes(1.0, 2.0)
        self.late_s = -1.0
        self.questions = 0
        self.monitor = LoopMonitor(lambda: self.times, lambda: self.now, self._deadline_delay)

    def step(self, name: str, held_s: float, cpu_s: float = 0.0, queued_s: float = 0.0) -> None:
        task: Any = _NamedTask(name)
        self.monitor.before_task_step(task)
        self.now += held_s
        self._pass(cpu_s, queued_s)
        self.monitor.after_task_step(task)

    def wait(self, timeout_s: float, waits_s: float, queued_s: float = 0.0) -> None:
        self.monitor.before_io_wait(timeout_s)
        self.now += waits_s
        self._pass(0.0, queued_s)
        self.monitor.after_io_wait(timeout_s)

    def _pass(self, cpu_s: float, queued_s: float) -> None:
        queued_before_s = self.times.queued_s or 0.0
        self.times = ThreadTimes(self.times.cpu_s + cpu_s, queued_before_s + queued_s)

    def _deadline_delay(self) -> float:
        self.questions += 1
        return self.late_s


class _Lines(logging.Handler):
    """Keeps the fields of the logged events."""

    def __init__(self) -> None:
        super().__init__()
        self.fields: list[dict[str, Any]] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.fields.append(vars(record)["event_fields"])


@pytest.fixture
def lines() -> Iterator[_Lines]:
    handler = _Lines()
    logger = logging.getLogger("chivehold.loop_monitor")
    logger.addHandler(handler)
    yield handler
    logger.removeHandler(handler)


@pytest.fixture
def loop() -> _Loop:
    return _Loop()


class TestSteps:
    def test_longest_step_of_each_kind(self, loop: _Loop) -> None:
        """The longest step of a kind is kept, with the times of the thread in it."""
        loop.step("a", 0.01, 0.01)
        loop.step("a", 0.04, 0.03)
        loop.step("a", 0.02, 0.02)
        loop.step("b", 0.03, 0.0, 0.02)
        assert list(loop.monitor.dump()["steps"]) == ["a", "b"]
        assert loop.monitor.steps["a"].seconds == pytest.approx(0.04)
        assert loop.monitor.steps["a"].thread == pytest.approx((0.03, 0.0))
        assert loop.monitor.steps["b"].thread == pytest.approx((0.0, 0.02))

    # Guards against metrics whose labels grow without bound.
    def test_kinds_are_bounded(self, loop: _Loop) -> None:
        """Kinds beyond the maximum are measured together."""
        for number in range(2 * MAX_KINDS):
            loop.step(f"task-{number}", 0.001 * number)
        assert len(loop.monitor.steps) == MAX_KINDS
        longest = loop.monitor.steps[OTHER_KINDS].seconds
        assert longest == pytest.approx(0.001 * (2 * MAX_KINDS - 1))

    # Guards against a step that seems to have lasted since the process started.
    def test_step_in_which_the_monitor_is_added(self, loop: _Loop) -> None:
        """A step whose beginning was not seen is not measured."""
        task: Any = _NamedTask("a")
        loop.monitor.after_task_step(task)
        assert not loop.monitor.steps

    def test_long_steps_are_logged(self, loop: _Loop, lines: _Lines) -> None:
        """Each long step is logged, also one that is not the longest."""
        loop.step("a", 0.5)
        loop.step("a", 0.3, 0.1, 0.2)
        loop.step("a", 0.01)
        assert [line["queued_ms"] for line in lines.fields] == [0, 200]
        assert [line["held_ms"] for line in lines.fields] == [500, 300]
        assert [line["cpu_ms"] for line in lines.fields] == [0, 100]


class TestDelays:
    def test_round(self, loop: _Loop) -> None:
        """A round is all steps between two waits, without the waits."""
        loop.wait(5.0, 5.0)
        loop.step("a", 0.02)
        loop.step("b", 0.03)
        loop.wait(5.0, 5.0)
        loop.step("a", 0.01)
        loop.wait(5.0, 5.0)
        assert loop.monitor.delays[Delay.ROUND].seconds == pytest.approx(0.05)

    def test_wait_that_ends_late(self, loop: _Loop) -> None:
        """A process that gets no CPU time comes back late from its wait."""
        loop.wait(1.0, 0.5)
        assert Delay.WAIT not in loop.monitor.delays
        loop.wait(1.0, 1.3, queued_s=0.25)
        assert loop.monitor.delays[Delay.WAIT].seconds == pytest.approx(0.3)
        assert loop.monitor.delays[Delay.WAIT].thread.queued_s == pytest.approx(0.25)

    def test_deadline_that_passes_during_a_step(self, loop: _Loop) -> None:
        """The delay of a deadline is what the loop says, not the length of the step."""
        loop.wait(0.0, 0.0)
        loop.step("a", 0.5)
        loop.late_s = 0.2
        loop.wait(0.0, 0.0)
        assert loop.monitor.delays[Delay.DEADLINE].seconds == pytest.approx(0.2)

    # Guards against a monitor that asks for the costly statistics each time the loop wakes up.
    def test_asks_only_if_a_deadline_may_be_later_than_ever(self, loop: _Loop) -> None:
        """The loop's statistics are not read while no deadline can be later than known."""
        loop.late_s = 0.05
        loop.step("a", 0.06)
        loop.wait(0.0, 0.0)
        assert loop.questions == 1
        for _ in range(10):
            loop.step("a", 0.04)
            loop.wait(0.0, 0.0)
            loop.wait(9.0, 8.0)
        assert loop.questions == 1

    # Guards against delays that are not logged because an earlier one was longer.
    def test_late_deadlines_are_logged(self, loop: _Loop, lines: _Lines) -> None:
        """Each deadline that is noticed long after it has passed is logged."""
        for late_s in (0.5, 0.3, 0.01):
            loop.late_s = late_s
            loop.step("a", late_s / 10)
            loop.wait(1.0, 1.0 + late_s)
        assert [line["late_ms"] for line in lines.fields] == [500, 300]

    def test_collection(self, loop: _Loop) -> None:
        """The longest garbage collection is kept."""
        loop.monitor.note_collection("stop", {})
        for took_s in (0.01, 0.03, 0.02):
            loop.monitor.note_collection("start", {})
            loop.now += took_s
            loop.monitor.note_collection("stop", {})
        assert loop.monitor.delays[Delay.COLLECTION].seconds == pytest.approx(0.03)


class TestLoop:
    async def test_task_that_holds_the_loop(self) -> None:
        """A task that sleeps without waiting is found, and what it has delayed."""
        with monitored_loop(is_enabled=True) as monitor:
            assert monitor is not None
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_wait_for_deadlines)
                nursery.start_soon(_hold)
            gc.collect()
        name, *_ = monitor.dump()["steps"]
        assert name == f"{TASK_PREFIX}_hold"
        assert monitor.steps[name].seconds >= HOLD_S
        assert monitor.steps[name].thread.cpu_s < HOLD_S
        assert monitor.delays[Delay.ROUND].seconds >= HOLD_S
        assert monitor.delays[Delay.DEADLINE].seconds >= HOLD_S / 2
        assert monitor.delays[Delay.COLLECTION].seconds > 0

    async def test_deadline_on_the_paused_clock(self, mock_clock: MockClock) -> None:
        """Delays of deadlines are measured on the runtime's clock."""
        with monitored_loop(is_enabled=True) as monitor:
            assert monitor is not None
            with trio.move_on_after(1.0):
                mock_clock.jump(4.0)
                await trio.sleep_forever()
        assert monitor.delays[Delay.DEADLINE].seconds == pytest.approx(3.0)

    # Guards against measuring when nobody has asked for it, and after the end.
    async def test_off(self) -> None:
        """Without the setting nothing is added to the loop; afterwards nothing is left there."""
        callbacks = list(gc.callbacks)
        with monitored_loop(is_enabled=False) as monitor:
            assert monitor is None
            assert gc.callbacks == callbacks
        with monitored_loop(is_enabled=True) as monitor:
            assert monitor is not None
            await trio.lowlevel.checkpoint()
        assert gc.callbacks == callbacks
        measured = dict(monitor.steps)
        time.sleep(HOLD_S)
        await trio.lowlevel.checkpoint()
        assert monitor.steps == measured


class TestMetrics:
    def test_gauges(self, loop: _Loop) -> None:
        """Steps and delays are gauges in seconds; without a monitor there are no values."""
        registry = Registry()
        metrics = LoopMetrics(registry)
        metrics.update(None)
        assert b"{" not in render(registry, ["text/plain"])[0]
        loop.step("a", 0.25)
        loop.wait(1.0, 1.5)
        metrics.update(loop.monitor)
        text = render(registry, ["text/plain"])[0].decode()
        assert 'chivehold_loop_longest_step_seconds{task="a"} 0.25' in text
        assert 'chivehold_loop_longest_delay_seconds{delay="wait"} 0.5' in text


async def _hold() -> None:
    await trio.sleep(HOLD_S / 4)
    time.sleep(HOLD_S)  # noqa: ASYNC251


async def _wait_for_deadlines() -> None:
    for _ in range(10):
        await trio.sleep(HOLD_S / 10)
