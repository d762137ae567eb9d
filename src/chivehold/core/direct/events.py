"""Splits a stream of server-sent events at the ends of its events."""

from collections.abc import Iterator
from typing import NamedTuple

EVENT_BYTES_MOST = 1 << 20


class EventTooLong(Exception):  # noqa: N818
    """An event exceeds ``EVENT_BYTES_MOST``."""


class StreamEvent(NamedTuple):
    """One whole event."""

    raw: bytes
    """The event with the blank line that ends it."""
    number: str | None
    """Its ``id`` field."""


class EventSplitter:
    """Collects the parts of a stream and gives out whole events."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """What has arrived since the last whole event."""
        return self._rest

    def feed(self, part: bytes) -> Iterator[StreamEvent]:
        """Take the next part and yield the events that it completes.

        Raises:
            EventTooLong: No event has ended within the bound.
        """
        self._rest += part
        while True:
            end = _event_end(self._rest)
            if end < 0:
                break
            raw, self._rest = self._rest[:end], self._rest[end:]
            yield StreamEvent(raw, _event_id(raw))
        if len(self._rest) > EVENT_BYTES_MOST:
            raise EventTooLong


def follows(number: str | None, last: str | None) -> bool:
    """Tell whether an event comes after the last one that was relayed."""
    if number is None or last is None:
        return True
    if number.isdigit() and last.isdigit():
        return int(number) > int(last)
    return number != last


def _event_end(data: bytes) -> int:
    ends = [
        index + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n", b"\r\r")
        if (index := data.find(mark)) >= 0
    ]
    return min(ends, default=-1)


def _event_id(raw: bytes) -> str | None:
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
