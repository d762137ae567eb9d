"""Checkers of what happened at engines and service VMs."""

from collections.abc import Iterator
from typing import NamedTuple

from chivehold.core.identity import AttemptId, RequestId, UpstreamName
from chivehold.history.events import (
    START_KINDS,
    CallEnd,
    History,
    SidecarOutage,
    UpstreamEventKind,
    Violation,
)

RELEASE_WITHIN_S = 2.0
LEAVE_WITHIN_S = 3.0
NEVER_S = float("inf")

_ENDS = {
    UpstreamEventKind.PREFILL_ENDED: {UpstreamEventKind.PREFILL_STARTED},
    UpstreamEventKind.DECODE_ENDED: {UpstreamEventKind.DECODE_STARTED},
    UpstreamEventKind.KV_EXPIRED: {UpstreamEventKind.DECODE_STARTED},
    UpstreamEventKind.CANCELLED: {
        UpstreamEventKind.PREFILL_STARTED,
        UpstreamEventKind.DECODE_STARTED,
    },
}


class MemoryHold(NamedTuple):
    """An attempt's hold of an engine's memory; without an end it lasts for ever."""

    upstream: UpstreamName
    attempt: AttemptId
    from_s: float
    until_s: float


def memory_holds(history: History) -> Iterator[MemoryHold]:
    """Yield each time in which an attempt held memory at an engine."""
    open_: dict[tuple[UpstreamName, AttemptId, UpstreamEventKind], float] = {}
    for work in history.upstream_events:
        if work.kind is UpstreamEventKind.LOST:
            ended = [slot for slot in open_ if slot[0] == work.upstream]
        elif work.kind in _ENDS and work.attempt is not None:
            slots = ((work.upstream, work.attempt, start) for start in _ENDS[work.kind])
            ended = [slot for slot in slots if slot in open_]
        else:
            ended = []
        for slot in ended:
            yield MemoryHold(slot[0], slot[1], open_.pop(slot), work.at_s)
        if work.kind in START_KINDS - {UpstreamEventKind.CALL_STARTED} and work.attempt is not None:
            open_[(work.upstream, work.attempt, work.kind)] = work.at_s
    for (upstream, attempt, _), from_s in open_.items():
        yield MemoryHold(upstream, attempt, from_s, NEVER_S)


def check_memory_released(
    history: History, within_s: float = RELEASE_WITHIN_S
) -> tuple[Violation, ...]:
    """No engine holds memory for a departed caller for longer than ``within_s`` seconds.

    Where the engine's sidecar was absent, the time counts from its return, since only the sidecar
    reaches the engine.
    """
    departed = _departures(history)
    return tuple(
        Violation("memory_released", hold.attempt.request, f"{late_s:.2f} s late: {hold}")
        for hold in memory_holds(history)
        if hold.attempt.request in departed
        and (late_s := _late_s(hold, departed[hold.attempt.request], history, within_s)) > 0
    )


def check_nothing_held(history: History) -> tuple[Violation, ...]:
    """At the end of a run no engine holds anything."""
    return tuple(
        Violation("nothing_held", held.upstream, f"holds {held.attempts}")
        for held in history.engine_holdings
        if held.attempts
    )


def check_leaving(history: History, within_s: float = LEAVE_WITHIN_S) -> tuple[Violation, ...]:
    """An upstream that leaves starts nothing later than ``within_s`` seconds after it began."""
    left: dict[UpstreamName, float] = {}
    for leave in history.leaving:
        left.setdefault(leave.upstream, leave.at_s)
    return tuple(
        Violation("leaving", work.upstream, f"{work.kind} of {work.attempt}, {after_s:.2f} s after")
        for work in history.upstream_events
        if work.kind in START_KINDS
        and work.upstream in left
        and (after_s := work.at_s - left[work.upstream]) > within_s
    )


def _departures(history: History) -> dict[RequestId, float]:
    return {
        call.request: call.completed_at_s
        for call in history.calls
        if call.request
        and call.completed_at_s is not None
        and call.end in (CallEnd.CALLER_LEFT, CallEnd.BROKEN)
    }


def _late_s(hold: MemoryHold, departed_at_s: float, history: History, within_s: float) -> float:
    limit_s = departed_at_s + within_s
    for absence in sorted(history.sidecar_outages, key=lambda absence: absence.from_s):
        if absence.upstream == hold.upstream and _covers(absence, departed_at_s, limit_s):
            limit_s = max(limit_s, absence.until_s + within_s)
    return hold.until_s - max(limit_s, hold.from_s) if hold.until_s > limit_s else 0.0


def _covers(absence: SidecarOutage, departed_at_s: float, limit_s: float) -> bool:
    return absence.from_s < limit_s and absence.until_s > departed_at_s
