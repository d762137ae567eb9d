"""Measures what delays a process: steps that hold the event loop, and wake-ups that come late.

Tasks share one thread. Each runs until it next waits, and during such a step no other task runs and
no deadline is noticed. What a long step did is told by the times of the thread: it has computed, it
was ready to run and had no core, or it was blocked.
"""

import gc
import logging
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress
from enum import StrEnum
from typing import Any, NamedTuple, TypedDict

import trio

from chivehold.logs import log_event
from chivehold.thread_times import ThreadClock, ThreadTimes

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
    thread: ThreadTimes
    """Times of the thread meanwhile."""


class PeakJson(TypedDict, total=False):
    """A peak as the dump shows it."""

    ms: float
    cpu_ms: float
    queued_ms: float
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
        thread_times: Returns the times of the thread.
        deadline_delay: Returns for how many seconds the earliest deadline has passed.
    """

    def __init__(
        self,
        thread_times: Callable[[], ThreadTimes],
        clock: Callable[[], float] = time.perf_counter,
        deadline_delay: Callable[[], float] | None = None,
    ) -> None:
        self._clock = clock
        self._thread_times = thread_times
        self._deadline_delay = deadline_delay or _current_deadline_delay
        self._steps: dict[str, Peak] = {}
        self._delays: dict[Delay, Peak] = {}
        self._checked_at = clock()
        """When the loop last looked for deadlines that have passed."""
        self._times_checked = thread_times()
        """The times of the thread at that moment."""
        self._wait_ends_at: float | None = None
        """When the current wait for events ends at the latest; ``None`` if it does not wait."""
        self._step_started_at: float | None = None
        self._step_times = self._times_checked
        self._collection_times = self._times_checked
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
        self._step_times = self._thread_times()
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
        thread = self._thread_times().since(self._step_times)
        if is_longest:
            self._steps[kind] = Peak(held_s, now, thread)
        if held_s >= LOG_FROM_S:
            log_event(
                _log,
                logging.WARNING,
                "event loop held",
                task=task.name,
                held_ms=round(held_s * MS_PER_S),
                **_to_log(thread),
            )

    def before_io_wait(self, timeout: float) -> None:
        """Record how long all steps since the last wait took."""
        now = self._clock()
        self._record(Delay.ROUND, now - self._checked_at, now, self._times_checked)
        self._wait_ends_at = now + timeout if timeout > 0 else None

    def after_io_wait(self, timeout: float) -> None:
        """Record how late the loop wakes up, and how late it notices a deadline."""
        now = self._clock()
        times_before, self._times_checked = self._times_checked, self._thread_times()
        # No deadline can have passed before the end of the wait or the last look, whichever it is.
        earliest = self._checked_at
        if self._wait_ends_at is not None:
            earliest = self._wait_ends_at
            self._record(Delay.WAIT, now - earliest, now, times_before)
        # The runtime's statistics are costly, so they are read only if there may be a new peak.
        if now - earliest > min(self._longest_s(Delay.DEADLINE), LOG_FROM_S):
            late_s = self._deadline_delay()
            self._record(Delay.DEADLINE, late_s, now, times_before)
            if late_s >= LOG_FROM_S:
                log_event(
                    _log,
                    logging.WARNING,
                    "deadline noticed late",
                    late_ms=round(late_s * MS_PER_S),
                    **_to_log(self._times_checked.since(times_before)),
                )
        self._checked_at = now

    def note_collection(self, phase: str, details: Mapping[str, int]) -> None:
        """Record how long a garbage collection took; called by the collector."""
        now = self._clock()
        if phase == "start":
            self._collection_started_at = now
            self._collection_times = self._thread_times()
        elif self._collection_started_at is not None:
            took_s, self._collection_started_at = now - self._collection_started_at, None
            self._record(Delay.COLLECTION, took_s, now, self._collection_times)

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

    def _record(self, delay: Delay, seconds: float, now: float, times_before: ThreadTimes) -> None:
        if seconds > self._longest_s(delay):
            self._delays[delay] = Peak(seconds, now, self._thread_times().since(times_before))


@contextmanager
def monitored_loop(is_enabled: bool) -> Iterator[LoopMonitor | None]:
    """Measure the running event loop in this context.

    Args:
        is_enabled: Whether to measure at all; if not, the loop runs as without this context.
    """
    if not is_enabled:
        yield None
        return
    thread_clock = ThreadClock()
    monitor = LoopMonitor(thread_clock.read)
    trio.lowlevel.add_instrument(monitor)
    gc.callbacks.append(monitor.note_collection)
    try:
        yield monitor
    finally:
        gc.callbacks.remove(monitor.note_collection)
        # Trio has removed a monitor that has raised an exception.
        with suppress(KeyError):
            trio.lowlevel.remove_instrument(monitor)
        thread_clock.close()


def _current_deadline_delay() -> float:
    return -trio.lowlevel.current_statistics().seconds_to_next_deadline


def _to_log(thread: ThreadTimes) -> dict[str, Any]:
    queued_ms = None if thread.queued_s is None else round(thread.queued_s * MS_PER_S)
    return {"cpu_ms": round(thread.cpu_s * MS_PER_S), "queued_ms": queued_ms}


def _to_json(peak: Peak, now: float) -> PeakJson:
    shown = PeakJson(
        ms=round(peak.seconds * MS_PER_S, 2),
        cpu_ms=round(peak.thread.cpu_s * MS_PER_S, 2),
        ago_s=round(now - peak.at, 2),
    )
    if peak.thread.queued_s is not None:
        shown["queued_ms"] = round(peak.thread.queued_s * MS_PER_S, 2)
    return shown
