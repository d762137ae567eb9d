"""The virtual clock of a run, which jumps from one scheduled call to the next."""

import heapq
from collections.abc import Callable
from typing import Any


class Clock:
    """Calls functions at their time; calls at the same time run in the order of scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def call_at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call; a time in the past means now."""
        self._sequence += 1
        heapq.heappush(self._calls, (max(when, self.now), self._sequence, call, arguments))

    def call_after(self, delay_s: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call ``delay_s`` seconds from now."""
        self.call_at(self.now + delay_s, call, *arguments)

    def run(self, until: float, idle: Callable[[], bool]) -> None:
        """Make the scheduled calls up to the time ``until``, or until ``idle`` returns true."""
        while self._calls and self._calls[0][0] <= until and not idle():
            self.now, _, call, arguments = heapq.heappop(self._calls)
            call(*arguments)
