"""Behaviour that varies, as Protocols."""

from collections.abc import Iterator, Sequence
from typing import NamedTuple, Protocol, TypeVar

from chivehold.core.identity import UpstreamName
from chivehold.core.wire import LoadReport

EventT = TypeVar("EventT", contravariant=True)
CommandT = TypeVar("CommandT", covariant=True)


class DecisionCore(Protocol[EventT, CommandT]):
    """A state machine without I/O; the caller exhausts each iterator before the next event."""

    def handle(self, event: EventT, now: float) -> Iterator[CommandT]:
        """Take one event and yield the commands that follow from it.

        Args:
            event: What happened.
            now: Monotonic time in seconds; never decreases from call to call.

        Returns:
            Commands in the order in which they are to be carried out.
        """
        ...

    def next_wakeup(self) -> float | None:
        """Return the time in seconds at which a ``Tick`` is due, or ``None``."""
        ...


class Candidate(NamedTuple):
    """An upstream as an entry sees it when it chooses."""

    upstream: UpstreamName
    zone: str
    report: LoadReport
    report_age_s: float
    outstanding: int
    """Offers or prefills this entry sent there that no report covers yet."""
    outstanding_s: float
    """Work in those, in seconds of the upstream's time."""


class UpstreamSelector(Protocol):
    """Chooses one of several upstreams."""

    def choose(
        self, candidates: Sequence[Candidate], prefix_blocks: Sequence[int], prompt_tokens: int
    ) -> UpstreamName | None:
        """Return the upstream to ask first, or ``None`` where none can take the work."""
        ...
