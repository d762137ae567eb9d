"""Checkers for the work of engines and service VMs."""

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
NO_END_S = float("inf")

_START_KINDS_BY_END = {
    UpstreamEventKind.PREFILL_ENDED: {UpstreamEventKind.PREFILL_STARTED},
    UpstreamEventKind.DECODE_ENDED: {UpstreamEventKind.DECODE_STARTED},
    UpstreamEventKind.KV_EXPIRED: {UpstreamEventKind.DECODE_STARTED},
    UpstreamEventKind.CANCELLED: {
        UpstreamEventKind.PREFILL_STARTED,
        UpstreamEventKind.DECODE_STARTED,
    },
}


class MemoryHold(NamedTuple):
    """A period in which an attempt held memory at an engine.

    ``until_s`` is infinite if the memory was never released.
    """

    upstream: UpstreamName
    attempt: AttemptId
    from_s: float
    until_s: float


def memory_holds(history: History) -> Iterator[MemoryHold]:
    """Yield every period in which an attempt held memory at an engine."""
    open_holds: dict[tuple[UpstreamName, AttemptId, UpstreamEventKind], float] = {}
    for event in history.upstream_events:
        if event.kind is UpstreamEventKind.LOST:
            ended = [key for key in open_holds if key[0] == event.upstream]
        elif event.kind in _START_KINDS_BY_END and event.attempt is not None:
            keys = (
                (event.upstream, event.attempt, start) for start in _START_KINDS_BY_END[event.kind]
            )
            ended = [key for key in keys if key in open_holds]
        else:
            ended = []
        for key in ended:
            yield MemoryHold(key[0], key[1], open_holds.pop(key), event.at_s)
        if (
            event.kind in START_KINDS - {UpstreamEventKind.CALL_STARTED}
            and event.attempt is not None
        ):
            open_holds[(event.upstream, event.attempt, event.kind)] = event.at_s
    for (upstream, attempt, _), from_s in open_holds.items():
        yield MemoryHold(upstream, attempt, from_s, NO_END_S)


def check_memory_released(
    history: History, within_s: float = RELEASE_WITHIN_S
) -> tuple[Violation, ...]:
    """An engine releases memory within ``within_s`` seconds after the caller disconnects.

    A broken connection counts as a disconnect. If the engine's sidecar has an outage, the time is
    counted from the end of the outage, since only the sidecar can reach the engine.
    """
    disconnected_at = _disconnect_times(history)
    return tuple(
        Violation("memory_released", hold.attempt.request, f"{late_s:.2f} s late: {hold}")
        for hold in memory_holds(history)
        if hold.attempt.request in disconnected_at
        and (late_s := _late_s(hold, disconnected_at[hold.attempt.request], history, within_s)) > 0
    )


def check_nothing_held(history: History) -> tuple[Violation, ...]:
    """No engine holds any attempt at the end of a run."""
    return tuple(
        Violation("nothing_held", held.upstream, f"holds {held.attempts}")
        for held in history.engine_holdings
        if held.attempts
    )


def check_leaving(history: History, within_s: float = LEAVE_WITHIN_S) -> tuple[Violation, ...]:
    """An upstream starts no work later than ``within_s`` seconds after it started to leave."""
    leaving_since: dict[UpstreamName, float] = {}
    for leave in history.leaving:
        leaving_since.setdefault(leave.upstream, leave.at_s)
    return tuple(
        Violation(
            "leaving", event.upstream, f"{event.kind} of {event.attempt}, {after_s:.2f} s after"
        )
        for event in history.upstream_events
        if event.kind in START_KINDS
        and event.upstream in leaving_since
        and (after_s := event.at_s - leaving_since[event.upstream]) > within_s
    )


def _disconnect_times(history: History) -> dict[RequestId, float]:
    return {
        call.request: call.completed_at_s
        for call in history.calls
        if call.request
        and call.completed_at_s is not None
        and call.end in (CallEnd.CALLER_LEFT, CallEnd.BROKEN)
    }


def _late_s(hold: MemoryHold, disconnected_at_s: float, history: History, within_s: float) -> float:
    limit_s = disconnected_at_s + within_s
    for outage in sorted(history.sidecar_outages, key=lambda outage: outage.from_s):
        if outage.upstream == hold.upstream and _overlaps(outage, disconnected_at_s, limit_s):
            limit_s = max(limit_s, outage.until_s + within_s)
    return hold.until_s - max(limit_s, hold.from_s) if hold.until_s > limit_s else 0.0


def _overlaps(outage: SidecarOutage, disconnected_at_s: float, limit_s: float) -> bool:
    return outage.from_s < limit_s and outage.until_s > disconnected_at_s
