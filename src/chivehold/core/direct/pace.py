"""Detection of streams that miss their target for the gap between events.

A decode engine that prefills a prompt does so between the tokens of its streams. Depending on the
engine, a prompt delays the next events a little, or so much that the streams count as late. An
entry sees this in the gaps of its own streams.
"""

from collections import deque
from typing import NamedTuple

STREAMS_KEPT = 20
LATE_STREAMS = 2
"""Late streams among those kept from which on streams count as disturbed."""
LATE_ENGINES = 2
"""Engines that must have had late streams; a single one may be slow for a reason of its own."""
HOLD_S = 30.0
"""How long streams count as disturbed after the last time that they were."""


class _StreamPace(NamedTuple):
    engine: str
    is_late: bool


class PaceMonitor:
    """Tells from the streams of one service whether they keep their pace."""

    def __init__(self) -> None:
        self._streams: deque[_StreamPace] = deque(maxlen=STREAMS_KEPT)
        self._disturbed_until = 0.0

    def record_stream(self, engine: str, is_late: bool, now: float) -> None:
        """Record a stream that has finished on time, or whose first late gap has just ended.

        Args:
            engine: Name of the engine.
            is_late: Whether a gap between events was longer than the target.
            now: Monotonic time in seconds.
        """
        self._streams.append(_StreamPace(engine, is_late))
        late_engines = [stream.engine for stream in self._streams if stream.is_late]
        if len(late_engines) >= LATE_STREAMS and len(set(late_engines)) >= LATE_ENGINES:
            self._disturbed_until = now + HOLD_S
            self._streams.clear()

    def is_disturbed(self, now: float) -> bool:
        """Return whether streams have recently missed their target at several engines."""
        return now < self._disturbed_until
