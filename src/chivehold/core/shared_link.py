"""A link whose transfers in progress share its rate equally."""

import heapq
from collections.abc import Hashable, Iterator
from typing import Generic, NamedTuple, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)

NEGLIGIBLE_BYTES = 1.0
"""A transfer with no more than this left is due at once."""


class _Transfer(NamedTuple):
    ends_at_bytes: float
    sequence: int


class SharedLink(Generic[KeyT]):
    """Models transfers under processor sharing.

    Every transfer in progress gets the same share of the rate, so one counter of bytes per transfer
    gives the progress of all: a transfer of ``n`` bytes ends when the counter has grown by ``n``
    since its start.

    Args:
        bytes_per_s: The link's rate; 0 or below for a link without delay.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._bytes_per_transfer = 0.0
        self._updated_at = 0.0
        self._transfers: dict[KeyT, _Transfer] = {}
        self._heap: list[tuple[float, int, KeyT]] = []
        self._sequence = 0

    def __contains__(self, key: object) -> bool:
        return key in self._transfers

    def __len__(self) -> int:
        return len(self._transfers)

    def __iter__(self) -> Iterator[KeyT]:
        return iter(tuple(self._transfers))

    def start(self, key: KeyT, size: float, now: float) -> None:
        """Start a transfer of ``size`` bytes."""
        self._advance(now)
        self._sequence += 1
        ends_at = self._bytes_per_transfer + (max(0.0, size) if self._bytes_per_s > 0 else 0.0)
        self._transfers[key] = _Transfer(ends_at, self._sequence)
        heapq.heappush(self._heap, (ends_at, self._sequence, key))

    def stop(self, key: KeyT, now: float) -> bool:
        """Remove a transfer; return whether it was in progress."""
        self._advance(now)
        return self._transfers.pop(key, None) is not None

    def remaining_bytes(self, now: float) -> float:
        """Return the bytes still to be moved by the transfers in progress."""
        self._advance(now)
        return sum(self._remaining(transfer) for transfer in self._transfers.values())

    def transfer_time_s(self, size: float, now: float) -> float:
        """Return how long another transfer of ``size`` bytes would take, in seconds.

        While it runs, every other transfer moves at most as many bytes as it does.
        """
        if self._bytes_per_s <= 0:
            return 0.0
        self._advance(now)
        other_bytes = sum(
            min(size, self._remaining(transfer)) for transfer in self._transfers.values()
        )
        return (size + other_bytes) / self._bytes_per_s

    def next_end(self) -> float | None:
        """Return when the next transfer ends, in seconds, or ``None``."""
        while self._heap:
            ends_at, sequence, key = self._heap[0]
            transfer = self._transfers.get(key)
            if transfer is not None and transfer.sequence == sequence:
                return self._updated_at + self._seconds(ends_at - self._bytes_per_transfer)
            heapq.heappop(self._heap)
        return None

    def pop_ended(self, now: float) -> Iterator[KeyT]:
        """Remove and yield the transfers that have ended, the earliest first."""
        while (due := self.next_end()) is not None and due <= now + 1e-9:
            self._advance(max(due, self._updated_at))
            ends_at, _, key = heapq.heappop(self._heap)
            self._bytes_per_transfer = max(self._bytes_per_transfer, ends_at)
            del self._transfers[key]
            yield key
        self._advance(now)

    def _remaining(self, transfer: _Transfer) -> float:
        return max(0.0, transfer.ends_at_bytes - self._bytes_per_transfer)

    def _seconds(self, transfer_bytes: float) -> float:
        if transfer_bytes <= NEGLIGIBLE_BYTES or self._bytes_per_s <= 0:
            return 0.0
        return transfer_bytes * len(self._transfers) / self._bytes_per_s

    def _advance(self, now: float) -> None:
        if now <= self._updated_at:
            return
        if self._transfers:
            self._bytes_per_transfer += (
                (now - self._updated_at) * self._bytes_per_s / len(self._transfers)
            )
        self._updated_at = now
