"""Whether the events of a stream follow each other, judged by their ids.

A stream that breaks off goes on at another engine after the last event that the caller has. That is
sound only if the id of this event is its true position. Engines number the events of a stream
evenly, so an id that does not follow on the one before it may be wrong.
"""

from collections.abc import Iterable, Iterator

from chivehold.core.direct.events import StreamEvent, is_newer_event

FIRST_NUMBERS = (0, 1)
"""Numbers of a stream's first event."""
MAX_NUMBER_DIGITS = 18
"""Longer numbers are compared as text."""


class EventSequence:
    """The events that a caller has of one stream.

    Args:
        last_id: Id of the last event that the caller had before; ``None`` if it had none.
    """

    def __init__(self, last_id: str | None) -> None:
        self._last_id = last_id
        self._step = 1
        """Difference of the last two numbers."""
        self._is_position_known = True

    @property
    def last_id(self) -> str | None:
        """Id of the last event that has one."""
        return self._last_id

    @property
    def last_number(self) -> int | None:
        """Number of the last event, or ``None`` if its position is not known."""
        return _number(self._last_id) if self._is_position_known else None

    @property
    def is_position_known(self) -> bool:
        """Whether the last id is the position of the last event, so that the stream can go on."""
        return self._is_position_known

    def is_repeated(self, event: StreamEvent) -> bool:
        """Return whether the caller has an event already, if its id is right."""
        return not is_newer_event(event.event_id, self._last_id)

    def is_next(self, event: StreamEvent) -> bool:
        """Return whether an event follows directly on the last one."""
        if event.event_id is None:
            return False
        number, last_number = _number(event.event_id), _number(self._last_id)
        if self._last_id is None:
            return number is None or number in FIRST_NUMBERS
        if number is None or last_number is None:
            return number is last_number and event.event_id != self._last_id
        return number - last_number in (1, self._step)

    def record(self, event: StreamEvent) -> None:
        """Record that an event is sent to the caller."""
        if event.is_comment:
            return
        self._is_position_known = self.is_next(event)
        if event.event_id is None:
            return
        number, last_number = _number(event.event_id), _number(self._last_id)
        if number is not None and last_number is not None:
            self._step = max(1, number - last_number)
        self._last_id = event.event_id


class OutOfSequence(Exception):  # noqa: N818
    """An event of an engine that goes on with a stream does not follow on what the caller has."""


class ResumedRun:
    """The events of an engine that goes on with a stream.

    Args:
        sequence: The events that the caller has.
    """

    def __init__(self, sequence: EventSequence) -> None:
        self._sequence = sequence
        self._has_new_events = False
        self._last_repeated: str | None = None

    def new_events(self, events: Iterable[StreamEvent]) -> Iterator[StreamEvent]:
        """Yield the events that the caller lacks; an engine may repeat earlier ones first.

        Raises:
            OutOfSequence: The first new event does not follow on the last one.
        """
        for event in events:
            if not self._has_new_events and not event.is_comment:
                if self._sequence.is_repeated(event):
                    self._last_repeated = event.event_id
                    continue
                if not self._sequence.is_next(event):
                    raise OutOfSequence(event.event_id)
                self._has_new_events = True
            yield event

    def check_end(self) -> None:
        """Check that the engine has not ended before the last event that the caller has.

        Raises:
            OutOfSequence: Its last event is none that ends the stream.
        """
        is_last_repeated = self._last_repeated in (None, self._sequence.last_id)
        if not self._has_new_events and not is_last_repeated:
            raise OutOfSequence(self._last_repeated)


def _number(event_id: str | None) -> int | None:
    if event_id is None or len(event_id) > MAX_NUMBER_DIGITS:
        return None
    return int(event_id) if event_id.isascii() and event_id.isdigit() else None
