"""Splitting a byte stream of server-sent events into whole events."""

from collections.abc import Iterator
from typing import NamedTuple

MAX_EVENT_BYTES = 1 << 20


class EventTooLong(Exception):  # noqa: N818
    """An event exceeds ``MAX_EVENT_BYTES``."""


class StreamEvent(NamedTuple):
    """One complete server-sent event."""

    raw: bytes
    """The bytes of the event, including the blank line that ends it."""
    event_id: str | None
    """Value of the ``id`` field, or ``None`` if there is none."""


class EventSplitter:
    """Buffers the chunks of a stream and yields its complete events."""

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Bytes received after the end of the last complete event."""
        return self._remainder

    def feed(self, chunk: bytes) -> Iterator[StreamEvent]:
        """Add a chunk to the buffer and yield the events that it completes.

        Raises:
            EventTooLong: An unfinished event exceeds ``MAX_EVENT_BYTES``.
        """
        self._remainder += chunk
        while True:
            end = _event_end(self._remainder)
            if end < 0:
                break
            raw, self._remainder = self._remainder[:end], self._remainder[end:]
            yield StreamEvent(raw, _event_id(raw))
        if len(self._remainder) > MAX_EVENT_BYTES:
            raise EventTooLong


def is_newer_event(event_id: str | None, last_id: str | None) -> bool:
    """Return whether an event is newer than the last one relayed.

    Numeric ids are compared as numbers. An event without an id, or with no event before it, counts
    as newer.
    """
    if event_id is None or last_id is None:
        return True
    if event_id.isdigit() and last_id.isdigit():
        return int(event_id) > int(last_id)
    return event_id != last_id


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
