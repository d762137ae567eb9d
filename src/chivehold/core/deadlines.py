"""Due times of keys, which are cheap to postpone."""

import heapq
from collections.abc import Hashable, Iterator
from typing import Generic, NamedTuple, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)


MAX_STALE_ENTRIES = 64


class _DueTime(NamedTuple):
    at: float
    sequence: int


class Deadlines(Generic[KeyT]):
    """Keeps one due time per key.

    Postponing a key needs no heap operation until its earlier due time is reached, so that a lease
    can be renewed with every message.
    """

    def __init__(self) -> None:
        self._due: dict[KeyT, _DueTime] = {}
        self._heap: list[tuple[float, int, KeyT]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._due)

    def __contains__(self, key: KeyT) -> bool:
        return key in self._due

    def __iter__(self) -> Iterator[KeyT]:
        return iter(tuple(self._due))

    def due_at(self, key: KeyT) -> float | None:
        """Return when a key is due in seconds, or ``None`` for an unknown key."""
        due = self._due.get(key)
        return None if due is None else due.at

    def set(self, key: KeyT, at: float) -> None:
        """Set or move a key's due time, in seconds on the caller's clock."""
        current = self._due.get(key)
        if current is not None and current.at <= at:
            self._due[key] = _DueTime(at, current.sequence)
            return
        self._sequence += 1
        self._due[key] = _DueTime(at, self._sequence)
        heapq.heappush(self._heap, (at, self._sequence, key))
        if len(self._heap) > 2 * len(self._due) + MAX_STALE_ENTRIES:
            self._compact()

    def discard(self, key: KeyT) -> None:
        """Remove a key; an unknown one is ignored."""
        self._due.pop(key, None)

    def next_due(self) -> float | None:
        """Return the earliest due time in seconds, or ``None``."""
        heap = self._heap
        while heap:
            at, sequence, key = heap[0]
            due = self._due.get(key)
            if due is None or due.sequence != sequence:
                heapq.heappop(heap)
            elif due.at > at:
                heapq.heapreplace(heap, (due.at, sequence, key))
            else:
                return at
        return None

    def expire(self, now: float) -> Iterator[KeyT]:
        """Remove and yield the keys that are due, the earliest first."""
        while (at := self.next_due()) is not None and at <= now:
            key = heapq.heappop(self._heap)[2]
            del self._due[key]
            yield key

    def _compact(self) -> None:
        """Drop the heap entries of removed keys, which would otherwise stay until they are due."""
        self._heap = [(due.at, due.sequence, key) for key, due in self._due.items()]
        heapq.heapify(self._heap)
