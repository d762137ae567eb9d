"""Collects a history while a run goes on."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from chivehold.core.identity import AttemptId, UpstreamName
from chivehold.fakes.history import HistoryAnswer, HistoryEvent
from chivehold.fakes.output import prompt_digest
from chivehold.history.events import (
    Absence,
    Accepted,
    Call,
    Held,
    History,
    LeaveBegan,
    RevisionSeen,
    Shutdown,
    Work,
    WorkKind,
)

DEATH_DETAIL = "'die': True"

_KINDS = frozenset(WorkKind)
_CALL_KINDS = (WorkKind.CALL_STARTED, WorkKind.CALL_ENDED)


class Invocation(NamedTuple):
    """Names a call that has been invoked."""

    number: int


class Recorder:
    """Takes what the observers of a run see, in any order across observers."""

    def __init__(self) -> None:
        self._calls: list[Call] = []
        self._work: list[Work] = []
        self._absences: list[Absence] = []
        self._leaving: list[LeaveBegan] = []
        self._shutdowns: list[Shutdown] = []
        self._accepted: list[Accepted] = []
        self._seen: list[RevisionSeen] = []
        self._held: list[Held] = []

    @property
    def open_calls(self) -> int:
        """Calls invoked and not completed."""
        return sum(call.end is None for call in self._calls)

    def invoke(self, call: Call) -> Invocation:
        """Note a call before it is sent."""
        self._calls.append(call)
        return Invocation(len(self._calls) - 1)

    def update(self, invocation: Invocation, **fields: object) -> None:
        """Set fields of a call that was invoked, such as how it ended."""
        call = self._calls[invocation.number]
        self._calls[invocation.number] = call._replace(**fields)  # type: ignore[arg-type]

    def upstream(self, name: UpstreamName, answer: HistoryAnswer) -> None:
        """Take the whole history of one upstream, once, at the end of a run."""
        self._work.extend(_work(name, answer["started_at_unix_s"], answer["events"]))

    def absent(self, upstream: UpstreamName, from_s: float, until_s: float) -> None:
        """Note that an upstream's sidecar was dead or stopped."""
        self._absences.append(Absence(upstream, from_s, until_s))

    def leaves(self, upstream: UpstreamName, at_s: float) -> None:
        """Note that an upstream has begun to leave."""
        self._leaving.append(LeaveBegan(upstream, at_s))

    def shutdown(self, shutdown: Shutdown) -> None:
        """Note a graceful shutdown, after its end."""
        self._shutdowns.append(shutdown)

    def accepted(self, revision: int, at_s: float) -> None:
        """Note that a change was accepted."""
        self._accepted.append(Accepted(revision, at_s))

    def seen(self, node: str, run: str, revision: int, at_s: float) -> None:
        """Note what is in force at a node."""
        self._seen.append(RevisionSeen(node, run, revision, at_s))

    def held(self, upstream: UpstreamName, attempts: Iterable[AttemptId]) -> None:
        """Note what an engine holds at the end of a run."""
        self._held.append(Held(upstream, tuple(attempts)))

    def history(self) -> History:
        """Return what has been recorded, in order of time.

        A caller that left before the answer's head never learned its request's name. The call gets
        it from the prefill of its prompt, where no other call has the same prompt.
        """
        work = tuple(sorted(self._work, key=lambda work: work.at_s))
        return History(
            calls=tuple(_named(self._calls, work)),
            work=work,
            absences=tuple(self._absences),
            leaving=tuple(self._leaving),
            shutdowns=tuple(self._shutdowns),
            accepted=tuple(self._accepted),
            seen=tuple(sorted(self._seen, key=lambda seen: seen.at_s)),
            held=tuple(self._held),
        )


def _named(calls: Sequence[Call], work: Sequence[Work]) -> Iterator[Call]:
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
) -> Iterator[Work]:
    for event in events:
        at_s = started_at_s + event["at_s"]
        if event["kind"] in _KINDS:
            kind = WorkKind(event["kind"])
            key = event["detail"] if kind in _CALL_KINDS else ""
            digest = event["detail"] if kind is WorkKind.PREFILL_STARTED else ""
            yield Work(name, kind, at_s, event["attempt"], key, digest)
        elif event["kind"] == "fault" and DEATH_DETAIL in event["detail"]:
            yield Work(name, WorkKind.LOST, at_s)
