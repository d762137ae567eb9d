"""Measures what delays a process: steps that hold the event loop, and wake-ups that come late.

Tasks share one thread. Each runs until it next waits, and during such a step no other task runs and
no deadline is noticed. Whether the process itself was the cause is told by the CPU time of a step:
if it is far below the time that has passed, the process was waiting for the machine.
"""

import gc
import logging
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress
from enum import StrEnum
from typing import NamedTuple, TypedDict

import trio

from chivehold.logs import log_event

MAX_KINDS = 64
"""Kinds of tasks that are measured separately; it bounds the labels of the metric."""
OTHER_KINDS = "other"
"""Stands for all kinds of tasks beyond these."""
LOG_FROM_S = 0.1
"""Shortest hold or delay that is logged."""
MS_PER_S = 1_000

_log = logging.getLogger(__name__)


class Delay(StrEnum):
    """What can delay a wake-up, and the delay itself."""

    DEADLINE = "deadline"
    """From a deadline until the loop noticed it."""
    WAIT = "wait"
    """From the end of the loop's wait for events until the process ran again."""
    ROUND = "round"
    """All steps between two waits for events."""
    COLLECTION = "collection"
    """One garbage collection; it is part of the step that it interrupts."""


class Peak(NamedTuple):
    """The longest time of its kind."""

    seconds: float
    at: float
    """When it ended, on the monitor's clock."""
    cpu_s: float | None = None
    """CPU time of the thread meanwhile, if measured."""


class PeakJson(TypedDict, total=False):
    """A peak as the dump shows it."""

    ms: float
    cpu_ms: float
    ago_s: float


class LoopDump(TypedDict):
    """Longest times since the start."""

    steps: dict[str, PeakJson]
    """By kind of task, the longest first."""
    delays: dict[str, PeakJson]


class LoopMonitor(trio.abc.Instrument):
    """Keeps the longest times, by the name of the tasks' root function; see ``monitored_loop``.

    Args:
        clock: Returns the time in seconds.
        cpu_clock: Returns the CPU time of the thread in seconds.
        deadline_delay: Returns for how many seconds the earliest deadline has passed.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.perf_counter,
        cpu_clock: Callable[[], float] = time.thread_time,
        deadline_delay: Callable[[], float] | None = None,
    ) -> None:
        self._clock = clock
        self._cpu_clock = cpu_clock
        self._deadline_delay = deadline_delay or _current_deadline_delay
        self._steps: dict[str, Peak] = {}
        self._delays: dict[Delay, Peak] = {}
        self._checked_at = clock()
        """When the loop last looked for deadlines that have passed."""
        self._wait_ends_at: float | None = None
        """When the current wait for events ends at the latest; ``None`` if it does not wait."""
        self._step_started_at: float | None = None
        self._step_cpu_s = 0.0
        self._collection_started_at: float | None = None

    @property
    def steps(self) -> Mapping[str, Peak]:
        """The longest step of each kind of task."""
        return self._steps

    @property
    def delays(self) -> Mapping[Delay, Peak]:
        """The longest delays."""
        return self._delays

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Note when a step begins."""
        self._step_cpu_s = self._cpu_clock()
        self._step_started_at = self._clock()

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Record how long a step took."""
        # A monitor that is added during a step has not seen its beginning.
        if self._step_started_at is None:
            return
        now = self._clock()
        held_s, self._step_started_at = now - self._step_started_at, None
        kind = self._kind_of(task)
        is_longest = kind not in self._steps or held_s > self._steps[kind].seconds
        if not is_longest and held_s < LOG_FROM_S:
            return
        cpu_s = self._cpu_clock() - self._step_cpu_s
        if is_longest:
            self._steps[kind] = Peak(held_s, now, cpu_s)
        if held_s >= LOG_FROM_S:
            log_event(
                _log,
                logging.WARNING,
                "event loop held",
                task=task.name,
                held_ms=round(held_s * MS_PER_S),
                cpu_ms=round(cpu_s * MS_PER_S),
            )

    def before_io_wait(self, timeout: float) -> None:
        """Record how long all steps since the last wait took."""
        now = self._clock()
        self._record(Delay.ROUND, now - self._checked_at, now)
        self._wait_ends_at = now + timeout if timeout > 0 else None

    def after_io_wait(self, timeout: float) -> None:
        """Record how late the loop wakes up, and how late it notices a deadline."""
        now = self._clock()
        # No deadline can have passed before the end of the wait or the last look, whichever it is.
        earliest = self._checked_at
        if self._wait_ends_at is not None:
            earliest = self._wait_ends_at
            self._record(Delay.WAIT, now - earliest, now)
        # The runtime's statistics are costly, so they are read only if there may be a new peak.
        if now - earliest > min(self._longest_s(Delay.DEADLINE), LOG_FROM_S):
            late_s = self._deadline_delay()
            self._record(Delay.DEADLINE, late_s, now)
            if late_s >= LOG_FROM_S:
                late_ms = round(late_s * MS_PER_S)
                log_event(_log, logging.WARNING, "deadline noticed late", late_ms=late_ms)
        self._checked_at = now

    def note_collection(self, phase: str, details: Mapping[str, int]) -> None:
        """Record how long a garbage collection took; called by the collector."""
        now = self._clock()
        if phase == "start":
            self._collection_started_at = now
        elif self._collection_started_at is not None:
            self._record(Delay.COLLECTION, now - self._collection_started_at, now)
            self._collection_started_at = None

    def dump(self) -> LoopDump:
        """Return the state shown to operators."""
        now = self._clock()
        steps = sorted(self._steps.items(), key=lambda step: step[1].seconds, reverse=True)
        return LoopDump(
            steps={kind: _to_json(peak, now) for kind, peak in steps},
            delays={str(delay): _to_json(peak, now) for delay, peak in self._delays.items()},
        )

    def _kind_of(self, task: trio.lowlevel.Task) -> str:
        if task.name in self._steps or len(self._steps) < MAX_KINDS - 1:
            return task.name
        return OTHER_KINDS

    def _longest_s(self, delay: Delay) -> float:
        known = self._delays.get(delay)
        return 0.0 if known is None else known.seconds

    def _record(self, delay: Delay, seconds: float, now: float) -> None:
        if seconds > self._longest_s(delay):
            self._delays[delay] = Peak(seconds, now)


@contextmanager
def monitored_loop(is_enabled: bool) -> Iterator[LoopMonitor | None]:
    """Measure the running event loop in this context.

    Args:
        is_enabled: Whether to measure at all; if not, the loop runs as without this context.
    """
    if not is_enabled:
        yield None
        return
    monitor = LoopMonitor()
    trio.lowlevel.add_instrument(monitor)
    gc.callbacks.append(monitor.note_collection)
    try:
        yield monitor
    finally:
        gc.callbacks.remove(monitor.note_collection)
        # Trio has removed a monitor that has raised an exception.
        with suppress(KeyError):
            trio.lowlevel.remove_instrument(monitor)


def _current_deadline_delay() -> float:
    return -trio.lowlevel.current_statistics().seconds_to_next_deadline


def _to_json(peak: Peak, now: float) -> PeakJson:
    shown = PeakJson(ms=round(peak.seconds * MS_PER_S, 2), ago_s=round(now - peak.at, 2))
    if peak.cpu_s is not None:
        shown["cpu_ms"] = round(peak.cpu_s * MS_PER_S, 2)
    return shown
