"""The gaps between the events of one stream, as its caller sees them."""

from enum import StrEnum
from typing import NamedTuple


class GapPosition(StrEnum):
    """Where in a stream a gap is."""

    NONE = "none"
    """The stream has had fewer than two events."""
    AFTER_FIRST = "after the first event"
    BETWEEN = "between events"
    RESUMED = "at a resumption"
    """The next event came from another engine."""


class Gap(NamedTuple):
    """Time between two successive events."""

    length_s: float
    position: GapPosition


class EventGaps:
    """Measures the gaps between the events of one stream.

    Args:
        target_s: Target for the longest gap in seconds; 0 if there is none.
    """

    def __init__(self, target_s: float) -> None:
        self._target_s = target_s
        self._longest = Gap(0.0, GapPosition.NONE)
        self._late = 0
        self._events = 0
        self._last_at = 0.0
        self._is_resumed = False

    @property
    def longest(self) -> Gap:
        """The longest gap so far."""
        return self._longest

    @property
    def late(self) -> int:
        """Number of gaps longer than the target."""
        return self._late

    def record_event(self, now: float) -> Gap:
        """Record an event at monotonic time ``now``, in seconds, and return the gap before it."""
        gap = Gap(now - self._last_at, self._position())
        if gap.position is not GapPosition.NONE:
            self._longest = max(self._longest, gap)
            self._late += self.is_late(gap)
        self._events += 1
        self._last_at = now
        self._is_resumed = False
        return gap

    def is_late(self, gap: Gap) -> bool:
        """Return whether a gap is longer than the target."""
        return gap.position is not GapPosition.NONE and 0 < self._target_s < gap.length_s

    def record_resumption(self) -> None:
        """Record that the next event comes from another engine."""
        self._is_resumed = True

    def _position(self) -> GapPosition:
        if not self._events:
            return GapPosition.NONE
        if self._is_resumed:
            return GapPosition.RESUMED
        return GapPosition.AFTER_FIRST if self._events == 1 else GapPosition.BETWEEN
