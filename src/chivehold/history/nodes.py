"""Checkers of processes: graceful shutdowns and declarations in force."""

from collections.abc import Iterator

from chivehold.core.identity import Outcome
from chivehold.history.events import (
    AcceptedChange,
    Call,
    CallEnd,
    History,
    RevisionSample,
    Shutdown,
    Violation,
)

IN_FORCE_WITHIN_S = 3.0
ARRIVAL_S = 0.5
"""A call sent this shortly before a shutdown's begin may arrive after it."""

_TOLD = (Outcome.ALREADY_ANSWERED, Outcome.IN_PROGRESS, Outcome.REJECTED)


def check_shutdown(history: History) -> tuple[Violation, ...]:
    """A graceful shutdown cuts no call in progress, and the process ends by itself.

    A call that began after the shutdown's begin may be refused, but must not be cut either.
    """
    return tuple(violation for one in history.shutdowns for violation in _cut(one, history))


def check_in_force(history: History, within_s: float = IN_FORCE_WITHIN_S) -> tuple[Violation, ...]:
    """An accepted change is in force, ``within_s`` seconds later, at every node that then runs.

    A node that has just started has the same time to learn of it.
    """
    started = _starts(history)
    return tuple(
        Violation("in_force", seen.node, f"{seen.revision} in force, accepted {accepted}")
        for accepted in history.accepted_changes
        for seen in history.revision_samples
        if seen.revision < accepted.revision and _is_due(seen, accepted, started, within_s)
    )


def check_monotonic(history: History) -> tuple[Violation, ...]:
    """What is in force at a node never goes back, restarts included; a new run may know none."""
    newest: dict[str, int] = {}
    known: set[str] = set()
    found = []
    for seen in history.revision_samples:
        is_back = seen.revision < newest.get(seen.node, 0)
        if is_back and (seen.revision > 0 or seen.run in known):
            detail = f"{seen.revision} after {newest[seen.node]}"
            found.append(Violation("monotonic", seen.node, detail))
        if seen.revision > 0:
            known.add(seen.run)
        newest[seen.node] = max(seen.revision, newest.get(seen.node, 0))
    return tuple(found)


def _cut(shutdown: Shutdown, history: History) -> Iterator[Violation]:
    if shutdown.ended_at_s is None or shutdown.exit_code != 0:
        yield Violation("shutdown", shutdown.process, f"did not end by itself: {shutdown}")
    for call in history.calls:
        if _in_progress(call, shutdown) and _is_cut(call, shutdown):
            yield Violation(
                "shutdown", shutdown.process, f"cut {call.request}: {call.end} {call.outcome}"
            )
        elif _is_later(call, shutdown) and call.end is CallEnd.BROKEN:
            yield Violation("shutdown", shutdown.process, f"cut the new {call.request}")


def _is_cut(call: Call, shutdown: Shutdown) -> bool:
    if call.end in (CallEnd.WHOLE, CallEnd.CALLER_LEFT) or call.outcome in _TOLD:
        return False
    may_be_refused = call.end is CallEnd.NOT_SENT or call.outcome is Outcome.NOT_RUN
    return not may_be_refused or call.invoked_at_s < shutdown.began_at_s - ARRIVAL_S


def _concerns(call: Call, shutdown: Shutdown) -> bool:
    return not shutdown.is_entry or call.entry == shutdown.process


def _in_progress(call: Call, shutdown: Shutdown) -> bool:
    if not _concerns(call, shutdown) or call.invoked_at_s >= shutdown.began_at_s:
        return False
    return call.completed_at_s is None or call.completed_at_s > shutdown.began_at_s


def _is_later(call: Call, shutdown: Shutdown) -> bool:
    return _concerns(call, shutdown) and call.invoked_at_s >= shutdown.began_at_s


def _starts(history: History) -> dict[str, float]:
    started: dict[str, float] = {}
    for seen in history.revision_samples:
        started.setdefault(seen.run, seen.at_s)
    return started


def _is_due(
    seen: RevisionSample, accepted: AcceptedChange, started: dict[str, float], within_s: float
) -> bool:
    return seen.at_s >= max(accepted.at_s, started[seen.run]) + within_s
