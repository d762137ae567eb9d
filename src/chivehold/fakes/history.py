"""The log of events that a stand-in serves at ``GET /history``, for ``chivehold.history``."""

import time
from collections import deque
from typing import TypedDict

import trio

from chivehold.core.identity import AttemptId

MAX_EVENTS = 200_000


class HistoryEvent(TypedDict):
    """An event at a stand-in."""

    kind: str
    attempt: AttemptId | None
    at_s: float
    """Seconds since the log was started."""
    tokens: int
    detail: str


class HistoryAnswer(TypedDict):
    """Body of the response to ``GET /history``."""

    started_at_unix_s: float
    events: list[HistoryEvent]


class EventLog:
    """The latest events, oldest first; must be created inside a trio run."""

    def __init__(self) -> None:
        self._started_at = trio.current_time()
        self._started_at_unix_s = time.time()
        self._events: deque[HistoryEvent] = deque(maxlen=MAX_EVENTS)

    def add(self, kind: str, attempt: AttemptId | None, tokens: int = 0, detail: str = "") -> None:
        """Append an event with the current time."""
        at_s = trio.current_time() - self._started_at
        self._events.append(
            HistoryEvent(kind=kind, attempt=attempt, at_s=at_s, tokens=tokens, detail=detail)
        )

    def to_answer(self) -> HistoryAnswer:
        """Return the body of the response to ``GET /history``."""
        return HistoryAnswer(started_at_unix_s=self._started_at_unix_s, events=list(self._events))
