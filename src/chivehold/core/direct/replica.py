"""A copy of the store's objects of one kind, which never takes an older state for a newer one.

While the store is away, objects whose owners renew them may lapse although the owners live. They
come back soon after the store does. An object that disappears around an outage is therefore kept
for a grace time after the store's return.
"""

from collections.abc import Iterable, Iterator
from typing import Generic, NamedTuple, TypeVar

ValueT = TypeVar("ValueT")

LAPSE_GRACE_S = 2.0
"""Time after the store's return within which lapsed objects are written again."""


class Versioned(NamedTuple, Generic[ValueT]):
    """An object's value with the store's revision of its last change."""

    revision: int
    value: ValueT


class Replica(Generic[ValueT]):
    """The objects of one kind, by name.

    Args:
        grace_s: How long an object that disappeared around an outage is kept after its end; 0
            where the store's owner never lets objects lapse.
    """

    def __init__(self, grace_s: float = 0.0) -> None:
        self._grace_s = grace_s
        self._objects: dict[str, Versioned[ValueT]] = {}
        self._revision = 0
        self._confirmed_at: float | None = None
        self._lost = False
        self._regained_at: float | None = None
        self._lapsed: dict[str, float] = {}

    @property
    def revision(self) -> int:
        """The store's revision that this copy has reached; 0 before the first list."""
        return self._revision

    def values(self) -> Iterator[ValueT]:
        """Yield the values of all objects that count as present."""
        return (item.value for item in self._objects.values())

    def age_s(self, now: float) -> float | None:
        """Return the time since the store last confirmed this copy, or ``None`` before."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def replace_all(
        self, revision: int, objects: Iterable[tuple[str, Versioned[ValueT]]], now: float
    ) -> None:
        """Take a whole list, read at a revision of the store."""
        self._mark_regained(now)
        if revision < self._revision:
            return
        listed = dict(objects)
        for name in [name for name in self._objects if name not in listed]:
            self._remove(name, now)
        for name, item in listed.items():
            self._put(name, item)
        self._revision = revision
        self._confirmed_at = now

    def apply_changes(
        self, revision: int, changes: Iterable[tuple[str, Versioned[ValueT] | None]], now: float
    ) -> None:
        """Take changes up to a revision; ``None`` for an object that was removed."""
        self._mark_regained(now)
        for name, item in changes:
            if item is None:
                self._remove(name, now)
            else:
                self._put(name, item)
        self._revision = max(self._revision, revision)
        self._confirmed_at = now

    def mark_store_lost(self) -> None:
        """Take note that the store cannot be reached."""
        self._lost = True

    def next_expiry(self) -> float | None:
        """Return when ``expire`` is due, in the caller's clock, or ``None``."""
        return min(self._lapsed.values(), default=None)

    def expire(self, now: float) -> list[str]:
        """Drop lapsed objects whose grace is over, and return their names."""
        expired = [name for name, until in self._lapsed.items() if until <= now]
        for name in expired:
            del self._lapsed[name]
            self._objects.pop(name, None)
        return expired

    def _mark_regained(self, now: float) -> None:
        if self._lost:
            self._lost = False
            self._regained_at = now

    def _put(self, name: str, item: Versioned[ValueT]) -> None:
        known = self._objects.get(name)
        if known is None or item.revision >= known.revision:
            self._objects[name] = item
            self._lapsed.pop(name, None)

    def _remove(self, name: str, now: float) -> None:
        if name not in self._objects:
            return
        if self._regained_at is not None and now < self._regained_at + self._grace_s:
            self._lapsed.setdefault(name, self._regained_at + self._grace_s)
            return
        self._lapsed.pop(name, None)
        del self._objects[name]
