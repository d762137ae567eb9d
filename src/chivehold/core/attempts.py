"""The ledger of attempts: each starts at most once, and never after it was blocked."""

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from chivehold.core.identity import AttemptId, EntryIncarnation
from chivehold.core.wire import Reason, RevokeResult

ATTEMPT_RETENTION_S = 960.0
MAX_BLOCKED_ATTEMPTS = 16_384
MAX_STARTED_ATTEMPTS = 32_768
MAX_REFUSED_ATTEMPTS = 8_192


class Phase(StrEnum):
    """Phases of an attempt in progress."""

    WAITING = "waiting"
    RESERVED = "reserved"
    """A place is granted; nothing runs yet."""
    RUNNING = "running"


class LiveAttempt(NamedTuple):
    """An attempt in progress."""

    attempt: AttemptId
    entry: EntryIncarnation
    phase: Phase


class _RecentAttempts:
    """A bounded set of attempts, each kept for ``ATTEMPT_RETENTION_S``, the oldest first."""

    def __init__(self, max_size: int) -> None:
        self._max_size = max_size
        self._expires_at: dict[AttemptId, float] = {}

    def __len__(self) -> int:
        return len(self._expires_at)

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self._expires_at

    @property
    def full(self) -> bool:
        """Whether adding an attempt evicts the oldest one before its retention time has passed."""
        return len(self._expires_at) >= self._max_size

    def add(self, attempt: AttemptId, now: float) -> bool:
        """Add an attempt; return whether an older one was evicted for lack of space."""
        self.purge(now)
        self._expires_at.pop(attempt, None)
        evicted = self.full
        if evicted:
            del self._expires_at[next(iter(self._expires_at))]
        self._expires_at[attempt] = now + ATTEMPT_RETENTION_S
        return evicted

    def purge(self, now: float) -> None:
        """Remove the attempts whose retention time has passed."""
        while self._expires_at:
            oldest = next(iter(self._expires_at))
            if self._expires_at[oldest] > now:
                return
            del self._expires_at[oldest]


class AttemptLedger:
    """Records attempts that are in progress, started, refused or blocked.

    The sets of attempts no longer in progress are bounded. A revocation that cannot be recorded,
    or that follows an early eviction of started attempts, is answered ``STARTED``: the attempt may
    have run.
    """

    def __init__(self) -> None:
        self._live: dict[AttemptId, LiveAttempt] = {}
        self._by_entry: dict[EntryIncarnation, dict[AttemptId, None]] = {}
        self._blocked = _RecentAttempts(MAX_BLOCKED_ATTEMPTS)
        self._started = _RecentAttempts(MAX_STARTED_ATTEMPTS)
        self._refused = _RecentAttempts(MAX_REFUSED_ATTEMPTS)
        self._uncertain_until = 0.0

    def __iter__(self) -> Iterator[LiveAttempt]:
        return iter(tuple(self._live.values()))

    @property
    def remembered(self) -> int:
        """Number of ended, refused and blocked attempts that are remembered."""
        return len(self._blocked) + len(self._started) + len(self._refused)

    def get(self, attempt: AttemptId) -> LiveAttempt | None:
        """Return an attempt in progress, or ``None``."""
        return self._live.get(attempt)

    def attempts_of(self, entry: EntryIncarnation) -> tuple[LiveAttempt, ...]:
        """Return an entry's attempts in progress."""
        return tuple(self._live[attempt] for attempt in self._by_entry.get(entry, ()))

    def refusal(self, attempt: AttemptId) -> Reason | None:
        """Return why an attempt may not be opened; ``None`` if it may."""
        if attempt in self._blocked:
            return Reason.REVOKED
        if attempt in self._live or attempt in self._started or attempt in self._refused:
            return Reason.DUPLICATE
        return None

    def open(self, attempt: AttemptId, entry: EntryIncarnation) -> None:
        """Add an attempt in progress, waiting."""
        self._live[attempt] = LiveAttempt(attempt, entry, Phase.WAITING)
        self._by_entry.setdefault(entry, {})[attempt] = None

    def advance(self, attempt: AttemptId, phase: Phase) -> None:
        """Move an attempt in progress to its next phase."""
        self._live[attempt] = self._live[attempt]._replace(phase=phase)

    def refuse(self, attempt: AttemptId, now: float) -> None:
        """Record an attempt that was refused before it was opened."""
        self._refused.add(attempt, now)

    def close(self, attempt: AttemptId, now: float) -> None:
        """End an attempt in progress; it will not be opened again."""
        live = self._live.pop(attempt)
        entry_attempts = self._by_entry[live.entry]
        del entry_attempts[attempt]
        if not entry_attempts:
            del self._by_entry[live.entry]
        if live.phase is not Phase.RUNNING:
            self._refused.add(attempt, now)
            return
        if self._started.add(attempt, now):
            self._uncertain_until = now + ATTEMPT_RETENTION_S

    def revoke(self, attempt: AttemptId, now: float) -> RevokeResult:
        """Block an attempt unless it may have started, and return which of these is the case.

        The caller closes an attempt that is in progress.
        """
        self._blocked.purge(now)
        live = self._live.get(attempt)
        if attempt in self._started or (live is not None and live.phase is Phase.RUNNING):
            return RevokeResult.STARTED
        if attempt in self._blocked:
            return RevokeResult.NEVER_STARTED
        surely_not_started = (
            live is not None or attempt in self._refused or now >= self._uncertain_until
        )
        if not surely_not_started or self._blocked.full:
            return RevokeResult.STARTED
        self._blocked.add(attempt, now)
        return RevokeResult.NEVER_STARTED
