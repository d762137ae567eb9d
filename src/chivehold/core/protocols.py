"""Protocols of the replaceable parts of the core."""

from collections.abc import Iterator, Sequence
from typing import NamedTuple, Protocol, TypeVar

from chivehold.core.identity import UpstreamName
from chivehold.core.wire import LoadReport

EventT = TypeVar("EventT", contravariant=True)
CommandT = TypeVar("CommandT", covariant=True)


class DecisionCore(Protocol[EventT, CommandT]):
    """A state machine without I/O; the caller must exhaust each iterator before the next event."""

    def handle(self, event: EventT, now: float) -> Iterator[CommandT]:
        """Process one event and yield the resulting commands.

        Args:
            event: What happened.
            now: Monotonic time in seconds; never decreases from call to call.

        Returns:
            The commands in the order of execution.
        """
        ...

    def next_wakeup(self) -> float | None:
        """Return the monotonic time in seconds at which a ``Tick`` is due, or ``None``."""
        ...


class DeadlineCore(DecisionCore[EventT, CommandT], Protocol):
    """A ``DecisionCore`` whose deadlines can be held back for a moment."""

    def hold_expiry(self, until: float) -> None:
        """Let no deadline expire before a monotonic time in seconds."""
        ...


class Candidate(NamedTuple):
    """An upstream that may be selected, as the entry sees it."""

    upstream: UpstreamName
    zone: str
    report: LoadReport
    report_age_s: float
    outstanding: int
    """Number of this entry's offers or prefills that the report does not include yet."""
    outstanding_s: float
    """Work of these offers or prefills, in seconds of the upstream's time."""


class UpstreamSelector(Protocol):
    """A strategy that selects one of several upstreams."""

    def choose(
        self, candidates: Sequence[Candidate], prefix_blocks: Sequence[int], prompt_tokens: int
    ) -> UpstreamName | None:
        """Return the upstream to send the work to, or ``None`` if there is none.

        Args:
            candidates: The usable upstreams.
            prefix_blocks: Digests of the prompt's blocks.
            prompt_tokens: Length of the prompt in tokens.
        """
        ...
