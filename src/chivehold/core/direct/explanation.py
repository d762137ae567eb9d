"""Explains which upstreams a request would be sent to now, in which order, and why not to others.

The order comes from the code that orders the upstreams of requests. That code draws random numbers
and updates what it knows of limits, so that it runs on a copy: an explanation changes no state.
"""

from collections.abc import Collection, Iterator, Mapping
from copy import deepcopy
from typing import NamedTuple

from chivehold.core.direct.fleet import Fleet
from chivehold.core.direct.messages import Stage, UpstreamRecord
from chivehold.core.direct.waiting import Waiter, WaitQueue


class Candidate(NamedTuple):
    """An upstream of the service that a request would go to."""

    upstream: UpstreamRecord
    rank: int | None
    """Position in the order, from 1; ``None`` if it would not be asked now."""
    excluded: str
    """Why it would not be asked; empty if it would."""
    state: Mapping[str, object]
    """What the entry knows of it, as in the dump."""


class ServiceNeeds(NamedTuple):
    """What a request needs of an upstream."""

    service: str
    stage: Stage = Stage.NONE
    tokens: int = 0
    """Memory at a decode engine, in tokens."""
    software: str | None = None
    """Version of the software; ``None`` for any."""


def dry_run_copy(fleet: Fleet) -> Fleet:
    """Return a copy of a fleet on which choices can be tried without changing the fleet.

    The copy draws the same random numbers, so that it chooses what the fleet would choose next.
    """
    # Records of upstreams never change, so that the copy can share them.
    shared: dict[int, object] = {id(upstream): upstream for upstream in fleet.upstreams}
    return deepcopy(fleet, shared)


def explain_candidates(fleet: Fleet, needs: ServiceNeeds, now: float) -> tuple[Candidate, ...]:
    """Return all upstreams of a service, those that would be asked first.

    Args:
        fleet: The upstreams; not changed.
        needs: What the request needs.
        now: Monotonic time in seconds.
    """
    copied = dry_run_copy(fleet)
    ranked = _ranked(copied, needs, now)
    ranks = {upstream.name: rank for rank, upstream in enumerate(ranked, start=1)}
    available = copied.available(needs.service, needs.stage, now, needs.software)
    names = frozenset(upstream.name for upstream in available)
    states = {state["upstream"]: state for state in copied.dump(now)}
    candidates = [
        Candidate(
            upstream,
            ranks.get(upstream.name),
            "" if upstream.name in ranks else _exclusion(copied, needs, upstream, names, now),
            states[upstream.name],
        )
        for upstream in copied.upstreams
        if upstream.service == needs.service
    ]
    return tuple(sorted(candidates, key=_position))


def queue_position(queue: WaitQueue, waiter: Waiter, now: float) -> int:
    """Return the position that a request would have among those that wait, from 1.

    Args:
        queue: The waiting requests; not changed.
        waiter: The request.
        now: Monotonic time in seconds.
    """
    return next(
        position
        for position, first in enumerate(_in_order(deepcopy(queue), waiter, now), start=1)
        if first.key == waiter.key
    )


def _in_order(queue: WaitQueue, waiter: Waiter, now: float) -> Iterator[Waiter]:
    queue.add(waiter)
    while (first := queue.next_waiter(now)) is not None:
        yield first
        queue.remove(first.request)


def _ranked(fleet: Fleet, needs: ServiceNeeds, now: float) -> list[UpstreamRecord]:
    if needs.stage is Stage.DECODE:
        return fleet.decode_engines_by_load(
            needs.service, needs.tokens, now, software=needs.software
        )
    return fleet.ranked(needs.service, needs.stage, now, software=needs.software)


def _exclusion(
    fleet: Fleet,
    needs: ServiceNeeds,
    upstream: UpstreamRecord,
    available: Collection[str],
    now: float,
) -> str:
    """Return why an upstream would not be asked."""
    if upstream.stage is not needs.stage:
        return f"its stage is {upstream.stage}"
    if needs.software not in (None, upstream.software):
        return "it has another version of the software"
    if upstream.draining:
        return "it leaves"
    if upstream.name not in available:
        return "its address has refused requests as those of another upstream"
    if pause_s := fleet.pause_left_s(upstream, now):
        return f"it wants no requests for {pause_s:.1f} s"
    if not fleet.may_send(upstream, now):
        return "its limit is used up"
    if fleet.is_suspended(upstream, now):
        return "it is suspended after failures, and others are not"
    if needs.stage is Stage.DECODE:
        return "not all entries can know its version of the software yet"
    return "it was left out"


def _position(candidate: Candidate) -> tuple[bool, int, str]:
    return candidate.rank is None, candidate.rank or 0, candidate.upstream.name
