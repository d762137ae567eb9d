"""Timers of the entry's core, in one heap."""

import heapq
from collections.abc import Container, Iterator
from typing import NamedTuple

from chivehold.core.identity import RequestId, TargetName

MAX_STALE_TIMERS = 256
"""The heap is compacted above this many stale timers, if they are also over half of it."""


class Timer(NamedTuple):
    """The deadline of a request, or the time to offer a target's patient requests again."""

    at: float
    sequence: int
    request: RequestId | None
    target: TargetName | None


class Timers:
    """Deadlines of requests and dispatch times of targets; stale timers are dropped lazily.

    Args:
        live: The requests in progress.
    """

    def __init__(self, live: Container[RequestId]) -> None:
        self._live_requests = live
        self._heap: list[Timer] = []
        self._sequence = 0
        self._stale = 0
        self._dispatch_times: dict[TargetName, float] = {}

    def set_deadline(self, request: RequestId, at: float) -> None:
        """Set the deadline of a request in monotonic seconds; it cannot be changed later."""
        self._push(at, request, None)

    def schedule_dispatch(self, target: TargetName, at: float) -> None:
        """Schedule a dispatch of a target in monotonic seconds, unless it has an earlier one."""
        if at < self._dispatch_times.get(target, float("inf")):
            self._dispatch_times[target] = at
            self._push(at, None, target)

    def record_ended_request(self) -> None:
        """Count the timer of an ended request as stale, and compact the heap if many are."""
        self._stale += 1
        if self._stale > MAX_STALE_TIMERS and self._stale > len(self._heap) // 2:
            self._heap = [timer for timer in self._heap if self._is_live(timer)]
            heapq.heapify(self._heap)
            self._stale = 0

    def next_due_at(self) -> float | None:
        """Return the time at which the next timer is due in monotonic seconds, or ``None``."""
        while self._heap and not self._is_live(self._heap[0]):
            heapq.heappop(self._heap)
            self._stale = max(0, self._stale - 1)
        return self._heap[0].at if self._heap else None

    def pop_due(self, now: float) -> Iterator[Timer]:
        """Remove and yield the timers that are due, the earliest first."""
        while (at := self.next_due_at()) is not None and at <= now:
            timer = heapq.heappop(self._heap)
            if timer.target is not None:
                self._dispatch_times.pop(timer.target, None)
            yield timer

    def _push(self, at: float, request: RequestId | None, target: TargetName | None) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, Timer(at, self._sequence, request, target))

    def _is_live(self, timer: Timer) -> bool:
        if timer.target is not None:
            return self._dispatch_times.get(timer.target) == timer.at
        return timer.request in self._live_requests
