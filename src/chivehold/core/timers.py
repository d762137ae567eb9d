"""Times at which something is due, in one heap."""

import heapq
from collections.abc import Container, Iterator
from typing import NamedTuple

from chivehold.core.identity import RequestId, TargetName

MAX_STALE_TIMERS = 256


class Timer(NamedTuple):
    """A request's deadline, or the time to offer a target's patient requests again."""

    at: float
    sequence: int
    request: RequestId | None
    target: TargetName | None


class Timers:
    """Deadlines and reminders by time; those of ended requests are dropped in passing.

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
        """Make a request due at a time; it has one deadline only."""
        self._push(at, request, None)

    def schedule_dispatch(self, target: TargetName, at: float) -> None:
        """Make a target due at a time, unless it is due earlier anyway."""
        if at < self._dispatch_times.get(target, float("inf")):
            self._dispatch_times[target] = at
            self._push(at, None, target)

    def record_ended_request(self) -> None:
        """Note that a request ended before its deadline."""
        self._stale += 1
        if self._stale > MAX_STALE_TIMERS and self._stale > len(self._heap) // 2:
            self._heap = [timer for timer in self._heap if self._is_live(timer)]
            heapq.heapify(self._heap)
            self._stale = 0

    def next_due_at(self) -> float | None:
        """Return when the next one is due, in monotonic seconds."""
        while self._heap and not self._is_live(self._heap[0]):
            heapq.heappop(self._heap)
            self._stale = max(0, self._stale - 1)
        return self._heap[0].at if self._heap else None

    def pop_due(self, now: float) -> Iterator[Timer]:
        """Yield what is due, the earliest first."""
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
