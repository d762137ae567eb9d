"""Collects a history during a run."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from chivehold.core.identity import AttemptId, UpstreamName
from chivehold.fakes.history import HistoryAnswer, HistoryEvent
from chivehold.fakes.output import prompt_digest
from chivehold.history.events import (
    AcceptedChange,
    Call,
    EngineHoldings,
    History,
    LeavingStarted,
    RevisionSample,
    Shutdown,
    SidecarOutage,
    UpstreamEvent,
    UpstreamEventKind,
)

DEATH_FAULT = "'die': True"

_EVENT_KINDS = frozenset(UpstreamEventKind)
_CALL_KINDS = (UpstreamEventKind.CALL_STARTED, UpstreamEventKind.CALL_ENDED)


class CallHandle(NamedTuple):
    """Identifies a call in a recorder."""

    number: int


class Recorder:
    """Collects observations of a run; different observers may report in any order."""

    def __init__(self) -> None:
        self._calls: list[Call] = []
        self._upstream_events: list[UpstreamEvent] = []
        self._sidecar_outages: list[SidecarOutage] = []
        self._leaving: list[LeavingStarted] = []
        self._shutdowns: list[Shutdown] = []
        self._accepted_changes: list[AcceptedChange] = []
        self._revision_samples: list[RevisionSample] = []
        self._engine_holdings: list[EngineHoldings] = []

    @property
    def open_calls(self) -> int:
        """Number of calls that have started and not ended."""
        return sum(call.end is None for call in self._calls)

    def start_call(self, call: Call) -> CallHandle:
        """Record a call before it is sent."""
        self._calls.append(call)
        return CallHandle(len(self._calls) - 1)

    def update_call(self, handle: CallHandle, **fields: object) -> None:
        """Set fields of a recorded call, such as how it ended."""
        call = self._calls[handle.number]
        self._calls[handle.number] = call._replace(**fields)  # type: ignore[arg-type]

    def add_upstream_history(self, name: UpstreamName, answer: HistoryAnswer) -> None:
        """Add the history that an upstream served; call this once per upstream, after a run."""
        self._upstream_events.extend(
            _upstream_events(name, answer["started_at_unix_s"], answer["events"])
        )

    def add_sidecar_outage(self, upstream: UpstreamName, from_s: float, until_s: float) -> None:
        """Record a period in which an upstream's sidecar was dead or stopped."""
        self._sidecar_outages.append(SidecarOutage(upstream, from_s, until_s))

    def add_leaving_start(self, upstream: UpstreamName, at_s: float) -> None:
        """Record that an upstream started to leave."""
        self._leaving.append(LeavingStarted(upstream, at_s))

    def add_shutdown(self, shutdown: Shutdown) -> None:
        """Record a graceful shutdown after it ended."""
        self._shutdowns.append(shutdown)

    def add_accepted_change(self, revision: int, at_s: float) -> None:
        """Record that a change was accepted."""
        self._accepted_changes.append(AcceptedChange(revision, at_s))

    def add_revision_sample(self, node: str, run: str, revision: int, at_s: float) -> None:
        """Record the revision in force at a node."""
        self._revision_samples.append(RevisionSample(node, run, revision, at_s))

    def add_engine_holdings(self, upstream: UpstreamName, attempts: Iterable[AttemptId]) -> None:
        """Record the attempts that an engine holds at the end of a run."""
        self._engine_holdings.append(EngineHoldings(upstream, tuple(attempts)))

    def build_history(self) -> History:
        """Return the recorded history with events and samples in order of time.

        A caller that disconnected before the head of the answer never received its request id. Such
        a call gets the id from the prefill of its prompt, if no other call has the same prompt.
        """
        events = tuple(sorted(self._upstream_events, key=lambda event: event.at_s))
        return History(
            calls=tuple(_with_request_ids(self._calls, events)),
            upstream_events=events,
            sidecar_outages=tuple(self._sidecar_outages),
            leaving=tuple(self._leaving),
            shutdowns=tuple(self._shutdowns),
            accepted_changes=tuple(self._accepted_changes),
            revision_samples=tuple(sorted(self._revision_samples, key=lambda sample: sample.at_s)),
            engine_holdings=tuple(self._engine_holdings),
        )


def _with_request_ids(calls: Sequence[Call], events: Sequence[UpstreamEvent]) -> Iterator[Call]:
    requests = {event.prompt_digest: event.attempt.request for event in events if event.attempt}
    digests = [prompt_digest(call.prompt or "") for call in calls]
    prompt_counts = Counter(digests)
    for call, digest in zip(calls, digests, strict=True):
        if not call.request and call.prompt and prompt_counts[digest] == 1 and digest in requests:
            yield call._replace(request=requests[digest])
        else:
            yield call


def _upstream_events(
    name: UpstreamName, started_at_s: float, events: Iterable[HistoryEvent]
) -> Iterator[UpstreamEvent]:
    for event in events:
        at_s = started_at_s + event["at_s"]
        if event["kind"] in _EVENT_KINDS:
            kind = UpstreamEventKind(event["kind"])
            key = event["detail"] if kind in _CALL_KINDS else ""
            digest = event["detail"] if kind is UpstreamEventKind.PREFILL_STARTED else ""
            yield UpstreamEvent(name, kind, at_s, event["attempt"], key, digest)
        elif event["kind"] == "fault" and DEATH_FAULT in event["detail"]:
            yield UpstreamEvent(name, UpstreamEventKind.LOST, at_s)
