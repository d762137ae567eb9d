"""Cancels at the engine, repeated until confirmed."""

from collections.abc import Iterator

from chivehold.core.deadlines import Deadlines
from chivehold.core.identity import AttemptId
from chivehold.core.sidecar_messages import CancelAtEngine

CANCEL_REPEAT_S = 0.25


class Cancellations:
    """Attempts whose hold at the engine is to end and has not been confirmed to have ended."""

    def __init__(self) -> None:
        self._due: Deadlines[AttemptId] = Deadlines()

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self._due

    def __len__(self) -> int:
        return len(self._due)

    def __iter__(self) -> Iterator[AttemptId]:
        return iter(self._due)

    def begin(self, attempt: AttemptId, now: float) -> Iterator[CancelAtEngine]:
        """Cancel an attempt, unless that is under way already."""
        if attempt in self._due:
            return
        self._due.set(attempt, now + CANCEL_REPEAT_S)
        yield CancelAtEngine(attempt)

    def settle(self, attempt: AttemptId) -> None:
        """Note the engine's word that an attempt holds nothing."""
        self._due.discard(attempt)

    def repeat(self, now: float) -> Iterator[CancelAtEngine]:
        """Cancel again what has not been confirmed in time."""
        for attempt in list(self._due.expire(now)):
            self._due.set(attempt, now + CANCEL_REPEAT_S)
            yield CancelAtEngine(attempt)

    def next_due(self) -> float | None:
        """Return when ``repeat`` has something to do, or ``None``."""
        return self._due.next_due()
