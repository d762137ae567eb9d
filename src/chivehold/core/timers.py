"""Times at which something is due, in one heap."""

import heapq
from collections.abc import Container, Iterator
from typing import NamedTuple

from chivehold.core.identity import RequestId, TargetName

DEAD_TIMERS_MOST = 256


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
        self._live = live
        self._heap: list[Timer] = []
        self._sequence = 0
        self._dead = 0
        self._reminders: dict[TargetName, float] = {}

    def set_deadline(self, request: RequestId, at: float) -> None:
        """Make a request due at a time; it has one deadline only."""
        self._push(at, request, None)

    def remind(self, target: TargetName, at: float) -> None:
        """Make a target due at a time, unless it is due earlier anyway."""
        if at < self._reminders.get(target, float("inf")):
            self._reminders[target] = at
            self._push(at, None, target)

    def ended(self) -> None:
        """Note that a request ended before its deadline."""
        self._dead += 1
        if self._dead > DEAD_TIMERS_MOST and self._dead > len(self._heap) // 2:
            self._heap = [one for one in self._heap if self._is_live(one)]
            heapq.heapify(self._heap)
            self._dead = 0

    def next_at(self) -> float | None:
        """Return when the next one is due, in monotonic seconds."""
        while self._heap and not self._is_live(self._heap[0]):
            heapq.heappop(self._heap)
            self._dead = max(0, self._dead - 1)
        return self._heap[0].at if self._heap else None

    def due(self, now: float) -> Iterator[Timer]:
        """Yield what is due, the earliest first."""
        while (at := self.next_at()) is not None and at <= now:
            timer = heapq.heappop(self._heap)
            if timer.target is not None:
                self._reminders.pop(timer.target, None)
            yield timer

    def _push(self, at: float, request: RequestId | None, target: TargetName | None) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, Timer(at, self._sequence, request, target))

    def _is_live(self, timer: Timer) -> bool:
        if timer.target is not None:
            return self._reminders.get(timer.target) == timer.at
        return timer.request in self._live
