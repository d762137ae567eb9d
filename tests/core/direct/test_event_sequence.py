"""Judging by their ids whether the events of a stream follow each other."""

import pytest

from chivehold.core.direct.event_sequence import EventSequence
from chivehold.core.direct.events import StreamEvent


def event(event_id: str | None) -> StreamEvent:
    line = b"" if event_id is None else b"id: %s\n" % event_id.encode()
    return StreamEvent(line + b"data: x\n\n", event_id)


def sequence(*event_ids: str | None, last_id: str | None = None) -> EventSequence:
    events = EventSequence(last_id)
    for event_id in event_ids:
        events.record(event(event_id))
    return events


class TestPosition:
    @pytest.mark.parametrize(
        "event_ids",
        [
            (),
            ("1",),
            ("0", "1"),
            ("1", "2", "3"),
            ("10", "20", "30"),
            ("7", "8"),
            ("a", "b"),
            ("1", "82", "3", "4"),
            ("9" * 30, "8" * 30),
        ],
    )
    def test_known(self, event_ids: tuple[str, ...]) -> None:
        """The position is known after evenly numbered events, also some time after a wrong id."""
        assert sequence(*event_ids).is_position_known

    # Guards against a stream that goes on at a wrong position, as the last id was spoilt.
    @pytest.mark.parametrize(
        "event_ids",
        [
            ("7",),
            ("1", "82"),
            ("1", "2", "3", "1"),
            ("1", "2", "2"),
            ("1", "82", "3"),
            ("1", "2", None),
            (None,),
            ("1", "a"),
            ("a", "a"),
            ("1", "\xb2"),
            ("10", "20"),
        ],
    )
    def test_not_known(self, event_ids: tuple[str | None, ...]) -> None:
        """The position is not known after an id that does not follow, or after none."""
        events = sequence(*event_ids)
        assert not events.is_position_known
        assert events.last_number is None

    def test_after_the_events_of_the_caller(self) -> None:
        """A caller that resumes a stream has its events up to an id."""
        assert sequence(last_id="17").is_position_known
        assert sequence("18", last_id="17").last_number == 18
        assert not sequence("1", last_id="17").is_position_known

    def test_comments_do_not_count(self) -> None:
        """Comments that keep a connection open have no position in the stream."""
        events = sequence("1", "2")
        events.record(StreamEvent(b": ping\n\n", None))
        assert events.is_position_known
        assert events.last_id == "2"


class TestNext:
    @pytest.mark.parametrize(
        ("event_id", "is_repeated", "is_next"),
        [("4", False, True), ("3", True, False), ("1", True, False), ("5", False, False)],
    )
    def test_event_of_an_engine_that_goes_on(
        self, event_id: str, is_repeated: bool, is_next: bool
    ) -> None:
        """Of an engine that goes on, earlier events are repeated and only one can be the next."""
        events = sequence("1", "2", "3")
        assert events.is_repeated(event(event_id)) is is_repeated
        assert events.is_next(event(event_id)) is is_next
