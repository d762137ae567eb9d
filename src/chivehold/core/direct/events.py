"""Splitting a byte stream of server-sent events into whole events."""

import re
from collections.abc import Iterator
from typing import NamedTuple

MAX_EVENT_BYTES = 1 << 20
EVENT_END = re.compile(rb"\n\n|\r\n\r\n|\r\r")
MAX_END_BYTES = 4


class EventTooLong(Exception):  # noqa: N818
    """An event exceeds ``MAX_EVENT_BYTES``."""


class StreamEvent(NamedTuple):
    """One complete server-sent event."""

    raw: bytes
    """The bytes of the event, including the blank line that ends it."""
    event_id: str | None
    """Value of the last ``id`` field, or ``None`` if there is none."""

    @property
    def is_comment(self) -> bool:
        """Whether it consists of comments only, as sent to keep a connection open."""
        return all(line.startswith(b":") or not line for line in self.raw.splitlines())


class EventSplitter:
    """Buffers the chunks of a stream and yields its complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0
        """Length of the part of the buffer that holds no end of an event."""

    @property
    def remainder(self) -> bytes:
        """Bytes received after the end of the last complete event."""
        return bytes(self._buffer)

    def feed(self, chunk: bytes) -> Iterator[StreamEvent]:
        """Add a chunk to the buffer and yield the events that it completes.

        Raises:
            EventTooLong: An unfinished event exceeds ``MAX_EVENT_BYTES``.
        """
        self._buffer += chunk
        start = 0
        while (end := _event_end(self._buffer, max(start, self._searched))) >= 0:
            raw = bytes(self._buffer[start:end])
            start = end
            yield StreamEvent(raw, _event_id(raw))
        del self._buffer[:start]
        # An end may lie across the end of the buffer.
        self._searched = max(0, len(self._buffer) - MAX_END_BYTES + 1)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLong


def is_newer_event(event_id: str | None, last_id: str | None) -> bool:
    """Return whether an event is newer than the last one relayed.

    Numeric ids are compared as numbers. An event without an id, or with no event before it, counts
    as newer.
    """
    if event_id is None or last_id is None:
        return True
    if _is_number(event_id) and _is_number(last_id):
        return _magnitude(event_id) > _magnitude(last_id)
    return event_id != last_id


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit()


def _magnitude(digits: str) -> tuple[int, str]:
    """Return a key that orders numbers of any length, which ``int`` does not read."""
    significant = digits.lstrip("0")
    return len(significant), significant


def _event_end(data: bytearray, start: int) -> int:
    """Return the first end of an event after a position, or -1."""
    match = EVENT_END.search(data, start)
    return match.end() if match else -1


def _event_id(raw: bytes) -> str | None:
    for line in reversed(raw.splitlines()):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
