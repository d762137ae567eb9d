"""The record of idempotency keys, kept by the sidecar that is the home of each key."""

from typing import NamedTuple

from chivehold.core.identity import EntryIncarnation, KeyId, RequestId
from chivehold.core.wire import KeyCommit, KeyDecision, KeyRegistration

CLOCK_MARGIN_S = 2.0
"""Margin on the age of a first sending, which is computed from two machines' clocks."""
MAX_KEYS = 65_536


class KeyOwner(NamedTuple):
    """The request that runs or ran under a key."""

    request: RequestId
    entry: EntryIncarnation


class _Committed(NamedTuple):
    owner: KeyOwner
    expires_at: float


class KeyRegistry:
    """Records which request runs under each key, and which keys have been answered.

    Args:
        retention_s: How long a committed key is remembered.
        max_keys: Maximum number of keys; beyond it, new ones are ``UNKNOWN``.
    """

    def __init__(self, retention_s: float, max_keys: int = MAX_KEYS) -> None:
        self._retention_s = retention_s
        self._max_keys = max_keys
        self._in_progress: dict[KeyId, KeyOwner] = {}
        self._by_entry: dict[EntryIncarnation, dict[KeyId, None]] = {}
        self._committed: dict[KeyId, _Committed] = {}

    @property
    def in_progress(self) -> int:
        """Number of keys whose request is running."""
        return len(self._in_progress)

    @property
    def committed(self) -> int:
        """Number of answered keys that are remembered."""
        return len(self._committed)

    def register(self, registration: KeyRegistration, up_for_s: float, now: float) -> KeyDecision:
        """Decide whether a request may run under its key.

        Args:
            registration: The request, from an entry whose lease has just been renewed.
            up_for_s: Uptime of this sidecar run in seconds.
            now: Time in seconds.

        Returns:
            ``FRESH`` if the request may run; ``UNKNOWN`` if the key may have been answered and
            forgotten, or if the record is full.
        """
        self._purge(now)
        key = registration.key
        owner = KeyOwner(registration.request, registration.entry)
        if key in self._committed:
            return KeyDecision.ALREADY_ANSWERED
        current_owner = self._in_progress.get(key)
        if current_owner is not None:
            return KeyDecision.FRESH if current_owner == owner else KeyDecision.IN_PROGRESS
        if not self._remembers_since(registration.first_sent_ago_s, up_for_s):
            return KeyDecision.UNKNOWN
        if len(self._in_progress) + len(self._committed) >= self._max_keys:
            return KeyDecision.UNKNOWN
        self._in_progress[key] = owner
        self._by_entry.setdefault(owner.entry, {})[key] = None
        return KeyDecision.FRESH

    def commit(self, commit: KeyCommit, now: float) -> bool:
        """Commit a key for its registered request; return whether the request may answer.

        A repeat of a granted commit is granted again.
        """
        self._purge(now)
        owner = KeyOwner(commit.request, commit.entry)
        committed = self._committed.get(commit.key)
        if committed is not None:
            return committed.owner == owner
        if self._in_progress.get(commit.key) != owner:
            return False
        self._remove(commit.key)
        self._committed[commit.key] = _Committed(owner, now + self._retention_s)
        return True

    def release(self, commit: KeyCommit) -> None:
        """Free a key whose request was not answered; a committed key is kept."""
        owner = KeyOwner(commit.request, commit.entry)
        if self._in_progress.get(commit.key) == owner:
            self._remove(commit.key)

    def release_all_of(self, entry: EntryIncarnation) -> None:
        """Free the uncommitted keys of an entry whose lease has lapsed."""
        for key in tuple(self._by_entry.get(entry, ())):
            self._remove(key)

    def _remembers_since(self, first_sent_ago_s: float, up_for_s: float) -> bool:
        if first_sent_ago_s < -CLOCK_MARGIN_S:
            return False
        return first_sent_ago_s + CLOCK_MARGIN_S <= min(up_for_s, self._retention_s)

    def _remove(self, key: KeyId) -> None:
        owner = self._in_progress.pop(key)
        entry_keys = self._by_entry[owner.entry]
        del entry_keys[key]
        if not entry_keys:
            del self._by_entry[owner.entry]

    def _purge(self, now: float) -> None:
        while self._committed:
            oldest = next(iter(self._committed))
            if self._committed[oldest].expires_at > now:
                return
            del self._committed[oldest]
