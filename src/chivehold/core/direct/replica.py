"""A local replica of the store's objects of one kind, which never goes back to an older state.

During an outage of the store, objects that their owners must renew can expire although the owners
are alive. The owners write them again soon after the store is back. An object that disappears
around an outage is therefore kept for a grace period after the end of the outage. A silence too
short for objects to expire is no outage.

The store may also be restored from a copy some seconds old, which begins a new era. Objects that
the copy lacks are kept for the grace period as well. Objects that had been removed come back only
once they have been written again, or have outlasted the time in which records expire.
"""

from collections.abc import Iterable, Iterator
from typing import Generic, NamedTuple, TypeVar

from chivehold.core.store_version import era_of, revision_of

ValueT = TypeVar("ValueT")

LAPSE_GRACE_S = 2.0
"""Time after an outage of the store within which live owners write their expired objects again."""


RESTORED_HOLD_S = 5.0
"""Time after a restore within which records that nobody renews have expired again."""
MAX_REMOVED = 1_000
"""Removed objects to remember; a copy that is restored is only some seconds old."""


class Versioned(NamedTuple, Generic[ValueT]):
    """An object's value and the version of its last change."""

    revision: int
    value: ValueT


class Replica(Generic[ValueT]):
    """A replica of the objects of one kind, by name.

    Args:
        grace_s: How long after an outage an object that disappeared is kept, in seconds; 0 for
            objects that never expire.
        min_outage_s: Shortest time between two answers of the store in which objects can expire
            for want of renewal, in seconds.
    """

    def __init__(self, grace_s: float = 0.0, min_outage_s: float = 0.0) -> None:
        self._grace_s = grace_s
        self._min_outage_s = min_outage_s
        self._objects: dict[str, Versioned[ValueT]] = {}
        self._revision = 0
        self._confirmed_at: float | None = None
        self._lost = False
        self._regained_at: float | None = None
        self._grace_ends: dict[str, float] = {}
        self._removed: dict[str, int] = {}
        """The last version of removed objects, in the order of their removal."""
        self._doubtful: dict[str, Versioned[ValueT]] = {}
        """Objects that a restore has brought back although they had been removed."""
        self._doubtful_until = 0.0

    @property
    def revision(self) -> int:
        """Version of the store that this replica reflects; 0 before the first list."""
        return self._revision

    def values(self) -> Iterator[ValueT]:
        """Yield the values of all objects, including those kept for the grace period."""
        return (item.value for item in self._objects.values())

    def age_s(self, now: float) -> float | None:
        """Return the seconds since the store last confirmed this replica, or ``None`` if never."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def replace_all(
        self, revision: int, objects: Iterable[tuple[str, Versioned[ValueT]]], now: float
    ) -> list[str]:
        """Replace all objects by a full list read at a store revision; an older list is ignored.

        Returns:
            The names of missing objects that are kept for the grace period from now on.
        """
        self._mark_regained(now)
        if revision < self._revision:
            return []
        listed = dict(objects)
        if self._revision and era_of(revision) > era_of(self._revision):
            self._regained_at = now
            self._doubtful_until = now + RESTORED_HOLD_S
        if now < self._doubtful_until:
            self._doubtful = {
                name: item for name, item in listed.items() if self._is_doubtful(name, item)
            }
            listed = {name: item for name, item in listed.items() if name not in self._doubtful}
        missing = [name for name in self._objects if name not in listed]
        kept = [name for name in missing if self._remove(name, now)]
        for name, item in listed.items():
            self._put(name, item)
        self._revision = revision
        self._confirmed_at = now
        return kept

    def apply_changes(
        self, revision: int, changes: Iterable[tuple[str, Versioned[ValueT] | None]], now: float
    ) -> list[str]:
        """Apply the changes up to a store revision; changes up to an older one are ignored.

        Args:
            revision: The store revision.
            changes: Names and new values; ``None`` stands for a removed object.
            now: Monotonic time in seconds.

        Returns:
            The names of removed objects that are kept for the grace period from now on.
        """
        self._mark_regained(now)
        if revision < self._revision:
            return []
        kept: list[str] = []
        for name, item in changes:
            if item is not None:
                self._put(name, item)
            elif self._remove(name, now):
                kept.append(name)
        self._revision = revision
        self._confirmed_at = now
        return kept

    def mark_store_lost(self) -> None:
        """Record that the store is unreachable."""
        self._lost = True

    def next_expiry(self) -> float | None:
        """Return when ``expire`` must be called next, on the caller's clock, or ``None``."""
        doubtful_until = [self._doubtful_until] if self._doubtful else []
        return min([*self._grace_ends.values(), *doubtful_until], default=None)

    def expire(self, now: float) -> list[str]:
        """Drop the expired objects whose grace period is over, and return their names.

        Restored objects that have not expired meanwhile are used from now on.
        """
        if self._doubtful and now >= self._doubtful_until:
            doubtful, self._doubtful = self._doubtful, {}
            for name, item in doubtful.items():
                self._put(name, item)
        expired = [name for name, until in self._grace_ends.items() if until <= now]
        for name in expired:
            del self._grace_ends[name]
            self._drop(name)
        return expired

    def _mark_regained(self, now: float) -> None:
        if self._lost:
            self._lost = False
            if self._confirmed_at is None or now >= self._confirmed_at + self._min_outage_s:
                self._regained_at = now

    def _put(self, name: str, item: Versioned[ValueT]) -> None:
        known = self._objects.get(name)
        if known is None or item.revision >= known.revision:
            self._objects[name] = item
            self._doubtful.pop(name, None)
            self._removed.pop(name, None)
            self._grace_ends.pop(name, None)

    def _remove(self, name: str, now: float) -> bool:
        """Remove an object, or return whether it is kept for the grace period from now on."""
        self._doubtful.pop(name, None)
        if name not in self._objects:
            return False
        if self._regained_at is not None and now < self._regained_at + self._grace_s:
            is_kept_anew = name not in self._grace_ends
            self._grace_ends.setdefault(name, self._regained_at + self._grace_s)
            return is_kept_anew
        self._grace_ends.pop(name, None)
        self._drop(name)
        return False

    def _drop(self, name: str) -> None:
        self._removed.pop(name, None)
        self._removed[name] = self._objects.pop(name).revision
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def _is_doubtful(self, name: str, item: Versioned[ValueT]) -> bool:
        """Return whether a restored object may be one that had been removed, not written since."""
        removed = self._removed.get(name)
        return removed is not None and revision_of(item.revision) <= revision_of(removed)
