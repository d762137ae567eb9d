"""Splitting a stream into server-sent events, and telling newer events from repeated ones."""

import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chivehold.core.direct.events import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLong,
    is_newer_event,
)

MOST_PER_CHUNK_S = 5e-5
"""Processor time for a chunk; the former search took milliseconds at the end of the buffer."""
STREAM = b"".join(b"id: %d\ndata: %s\n\n" % (number, b"x" * number) for number in range(1, 9))


class TestSplitter:
    @settings(derandomize=True)
    @given(st.lists(st.integers(1, len(STREAM) - 1), max_size=12))
    def test_events_do_not_depend_on_the_parts(self, cuts: list[int]) -> None:
        """The same events result, with no remainder, however the stream is cut into chunks."""
        edges = [0, *sorted(cuts), len(STREAM)]
        splitter = EventSplitter()
        parts = (STREAM[start:end] for start, end in zip(edges, edges[1:], strict=False))
        events = [event for part in parts for event in splitter.feed(part)]
        assert b"".join(event.raw for event in events) == STREAM
        assert [event.event_id for event in events] == [str(number) for number in range(1, 9)]
        assert splitter.remainder == b""

    def test_unfinished_event_is_not_yielded(self) -> None:
        """An event that an engine leaves unfinished is not yielded."""
        splitter = EventSplitter()
        events = list(splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda"))
        assert [event.event_id for event in events] == ["1"]
        assert splitter.remainder == b"id: 2\nda"

    def test_carriage_returns(self) -> None:
        """Lines may end with CR and LF."""
        (event,) = EventSplitter().feed(b"id: 7\r\ndata: a\r\n\r\n")
        assert event.event_id == "7"

    def test_too_long_event_is_rejected(self) -> None:
        """An event without an end is rejected, so that memory stays bounded."""
        splitter = EventSplitter()
        with pytest.raises(EventTooLong):
            list(splitter.feed(b"x" * (MAX_EVENT_BYTES + 1)))

    # Guards against bytes without an event's end that keep the loop busy for seconds.
    @pytest.mark.parametrize("chunk_bytes", [16, 100, 1_400])
    def test_bytes_without_an_end_cost_little(self, chunk_bytes: int) -> None:
        """The buffer is not searched again from its beginning for each chunk."""
        splitter, chunk = EventSplitter(), b"x" * chunk_bytes
        started_at = time.process_time()
        for _ in range(MAX_EVENT_BYTES // chunk_bytes):
            assert list(splitter.feed(chunk)) == []
        per_chunk_s = (time.process_time() - started_at) / (MAX_EVENT_BYTES // chunk_bytes)
        assert per_chunk_s < MOST_PER_CHUNK_S

    def test_end_in_parts(self) -> None:
        """An end whose bytes come one by one is found."""
        splitter = EventSplitter()
        events = [
            event for byte in b"id: 7\r\n\r\nid: 8\n\n" for event in splitter.feed(bytes([byte]))
        ]
        assert [event.event_id for event in events] == ["7", "8"]


class TestIsNewerEvent:
    @pytest.mark.parametrize(
        ("number", "last", "expected"),
        [("2", "1", True), ("10", "9", True), ("9", "10", False), ("3", "3", False)],
    )
    def test_numeric_ids_are_ordered(self, number: str, last: str, expected: bool) -> None:
        """Numeric ids are compared as numbers, not as text."""
        assert is_newer_event(number, last) is expected

    # Guards against ids that make the entry fail: digits that are no decimals, and very many.
    @pytest.mark.parametrize(
        ("number", "last", "expected"),
        [
            ("\xb2", "1", True),
            ("\xb2", "\xb2", False),
            ("9" * 5_000, "9" * 5_001, False),
            ("1" + "0" * 5_000, "9" * 5_000, True),
            ("007", "7", False),
            ("0", "", True),
        ],
    )
    def test_unusual_ids(self, number: str, last: str, expected: bool) -> None:
        """Numbers of any length are ordered; other ids are only compared for equality."""
        assert is_newer_event(number, last) is expected

    def test_event_without_id_counts_as_newer(self) -> None:
        """An event without an id, or the first event, counts as newer."""
        assert is_newer_event(None, "3")
        assert is_newer_event("1", None)
