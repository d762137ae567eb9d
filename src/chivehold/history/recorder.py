"""Collects a history while a run goes on."""

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

DEATH_DETAIL = "'die': True"

_KINDS = frozenset(UpstreamEventKind)
_CALL_KINDS = (UpstreamEventKind.CALL_STARTED, UpstreamEventKind.CALL_ENDED)


class CallHandle(NamedTuple):
    """Names a call that has been invoked."""

    number: int


class Recorder:
    """Takes what the observers of a run see, in any order across observers."""

    def __init__(self) -> None:
        self._calls: list[Call] = []
        self._work: list[UpstreamEvent] = []
        self._absences: list[SidecarOutage] = []
        self._leaving: list[LeavingStarted] = []
        self._shutdowns: list[Shutdown] = []
        self._accepted: list[AcceptedChange] = []
        self._seen: list[RevisionSample] = []
        self._held: list[EngineHoldings] = []

    @property
    def open_calls(self) -> int:
        """Calls invoked and not completed."""
        return sum(call.end is None for call in self._calls)

    def start_call(self, call: Call) -> CallHandle:
        """Note a call before it is sent."""
        self._calls.append(call)
        return CallHandle(len(self._calls) - 1)

    def update_call(self, invocation: CallHandle, **fields: object) -> None:
        """Set fields of a call that was invoked, such as how it ended."""
        call = self._calls[invocation.number]
        self._calls[invocation.number] = call._replace(**fields)  # type: ignore[arg-type]

    def add_upstream_history(self, name: UpstreamName, answer: HistoryAnswer) -> None:
        """Take the whole history of one upstream, once, at the end of a run."""
        self._work.extend(_work(name, answer["started_at_unix_s"], answer["events"]))

    def add_sidecar_outage(self, upstream: UpstreamName, from_s: float, until_s: float) -> None:
        """Note that an upstream's sidecar was dead or stopped."""
        self._absences.append(SidecarOutage(upstream, from_s, until_s))

    def add_leaving_start(self, upstream: UpstreamName, at_s: float) -> None:
        """Note that an upstream has begun to leave."""
        self._leaving.append(LeavingStarted(upstream, at_s))

    def add_shutdown(self, shutdown: Shutdown) -> None:
        """Note a graceful shutdown, after its end."""
        self._shutdowns.append(shutdown)

    def add_accepted_change(self, revision: int, at_s: float) -> None:
        """Note that a change was accepted."""
        self._accepted.append(AcceptedChange(revision, at_s))

    def add_revision_sample(self, node: str, run: str, revision: int, at_s: float) -> None:
        """Note what is in force at a node."""
        self._seen.append(RevisionSample(node, run, revision, at_s))

    def add_engine_holdings(self, upstream: UpstreamName, attempts: Iterable[AttemptId]) -> None:
        """Note what an engine holds at the end of a run."""
        self._held.append(EngineHoldings(upstream, tuple(attempts)))

    def build_history(self) -> History:
        """Return what has been recorded, in order of time.

        A caller that left before the answer's head never learned its request's name. The call gets
        it from the prefill of its prompt, where no other call has the same prompt.
        """
        work = tuple(sorted(self._work, key=lambda work: work.at_s))
        return History(
            calls=tuple(_named(self._calls, work)),
            upstream_events=work,
            sidecar_outages=tuple(self._absences),
            leaving=tuple(self._leaving),
            shutdowns=tuple(self._shutdowns),
            accepted_changes=tuple(self._accepted),
            revision_samples=tuple(sorted(self._seen, key=lambda seen: seen.at_s)),
            engine_holdings=tuple(self._held),
        )


def _named(calls: Sequence[Call], work: Sequence[UpstreamEvent]) -> Iterator[Call]:
    requests = {one.prompt_digest: one.attempt.request for one in work if one.attempt}
    digests = [prompt_digest(call.prompt or "") for call in calls]
    shared = Counter(digests)
    for call, digest in zip(calls, digests, strict=True):
        if not call.request and call.prompt and shared[digest] == 1 and digest in requests:
            yield call._replace(request=requests[digest])
        else:
            yield call


def _work(
    name: UpstreamName, started_at_s: float, events: Iterable[HistoryEvent]
) -> Iterator[UpstreamEvent]:
    for event in events:
        at_s = started_at_s + event["at_s"]
        if event["kind"] in _KINDS:
            kind = UpstreamEventKind(event["kind"])
            key = event["detail"] if kind in _CALL_KINDS else ""
            digest = event["detail"] if kind is UpstreamEventKind.PREFILL_STARTED else ""
            yield UpstreamEvent(name, kind, at_s, event["attempt"], key, digest)
        elif event["kind"] == "fault" and DEATH_DETAIL in event["detail"]:
            yield UpstreamEvent(name, UpstreamEventKind.LOST, at_s)
