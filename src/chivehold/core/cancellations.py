"""Cancels sent to the engine, repeated until they are confirmed."""

from collections.abc import Iterator

from chivehold.core.deadlines import Deadlines
from chivehold.core.identity import AttemptId
from chivehold.core.sidecar_messages import CancelAtEngine

CANCEL_RETRY_INTERVAL_S = 0.25


class Cancellations:
    """The attempts that were cancelled at the engine and are not yet confirmed to have ended."""

    def __init__(self) -> None:
        self._retry_at: Deadlines[AttemptId] = Deadlines()

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self._retry_at

    def __len__(self) -> int:
        return len(self._retry_at)

    def __iter__(self) -> Iterator[AttemptId]:
        return iter(self._retry_at)

    def begin(self, attempt: AttemptId, now: float) -> Iterator[CancelAtEngine]:
        """Cancel an attempt, unless its cancel is already pending."""
        if attempt in self._retry_at:
            return
        self._retry_at.set(attempt, now + CANCEL_RETRY_INTERVAL_S)
        yield CancelAtEngine(attempt)

    def confirm(self, attempt: AttemptId) -> None:
        """Stop repeating a cancel: the engine confirms that the attempt holds nothing."""
        self._retry_at.discard(attempt)

    def retry_due(self, now: float) -> Iterator[CancelAtEngine]:
        """Repeat the cancels that were not confirmed in time."""
        for attempt in list(self._retry_at.expire(now)):
            self._retry_at.set(attempt, now + CANCEL_RETRY_INTERVAL_S)
            yield CancelAtEngine(attempt)

    def next_due(self) -> float | None:
        """Return the time at which the next retry is due, or ``None``."""
        return self._retry_at.next_due()
