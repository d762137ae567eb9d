"""The queue of requests that wait for memory at a decode engine.

In a burst more requests arrive than the engines can decode. A stream that has started and lost its
engine goes before all others. Among the rest the more urgent priority goes first, and within a
priority organisations that have not had more than their share of what was granted lately. Among
those, requests that can still be answered on time are served before late ones: serving a late one
first would make both late. On-time requests are ordered by the time they have left, late ones by
first arrival. A request that its caller is about to abandon is refused early enough for the caller
to retry.

A late request that has waited for half of the time that its caller waits is overdue. One in
``GRANTS_PER_TURN`` grants goes to the overdue request that arrived first, whatever its priority, so
that no priority, organisation or size of prompt is passed over for ever.
"""

import math
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple, cast

from chivehold.core.direct.fair_shares import FairShares

OVERDUE_SHARE = 0.5
"""Share of a caller's wait after which its request is overdue.

The other half leaves time for several turns before the caller leaves.
"""
GRANTS_PER_TURN = 8
"""An overdue request gets one grant in so many; urgent ones lose at most this share."""
MAX_TURN_S = 0.5
"""Longest time for which an overdue request that no engine has room for holds back the others."""


class Waiter(NamedTuple):
    """A request that waits for memory at a decode engine; times are monotonic, in seconds."""

    request: str
    """Id of the request."""
    tokens: int
    """Memory that the request needs, in tokens."""
    arrived_at: float
    on_time_until: float
    """Memory granted later than this misses the route's latency target."""
    gives_up_at: float
    """When the request stops waiting and is refused."""
    excluded_engines: frozenset[str] = frozenset()
    """Names of engines that have already failed this request and must not get it again."""
    software: str | None = None
    """Version of the engine's software that a started stream needs."""
    has_started: bool = False
    """The caller has received events, and would notice any wait as a gap."""
    priority: int = 0
    """0 is the most urgent."""
    organisation: str | None = None
    """Name of the caller's organisation, if it has one."""
    waited_before_s: float = 0.0
    """How long the caller has waited before this retry; 0 where the order ignores retries."""
    expires_at: float = math.inf
    """When the caller's deadline expires."""
    leaves_at: float = math.inf
    """Memory granted later than this brings the first event after the caller has left.

    Infinite where streams do not differ in priority or organisation; such requests get no turns.
    """

    @property
    def key(self) -> str:
        """Identifies the request; two organisations may use the same id."""
        return self.request if self.organisation is None else f"{self.organisation}/{self.request}"

    @property
    def first_arrived_at(self) -> float:
        """When the caller sent the first request; earlier than ``arrived_at`` for a retry."""
        return self.arrived_at - self.waited_before_s

    def is_late(self, now: float) -> bool:
        """Return whether memory granted now misses the target; never for a started stream."""
        return not self.has_started and self.on_time_until < now

    def is_overdue(self, now: float) -> bool:
        """Return whether the request has waited for so long that it gets a turn."""
        waited_s = now - self.arrived_at
        return self.is_late(now) and waited_s > OVERDUE_SHARE * (self.leaves_at - self.arrived_at)


class Precedence(StrEnum):
    """Why a request was granted memory before one that had arrived earlier."""

    STARTED = "started"
    PRIORITY = "priority"
    TURN = "turn"
    """It was overdue, and had its turn."""
    SHARE = "share"
    """The other's organisation had been granted more than its share."""
    ON_TIME = "on_time"
    """It had less time left, or the other was late already."""


class PassedOver(NamedTuple):
    """How a waiting request was passed over."""

    times: int
    by: str
    """Id of the request that was granted memory first before it."""
    reason: Precedence


class WaitQueue:
    """The requests of one service that wait for memory."""

    def __init__(self) -> None:
        self._waiters: dict[str, Waiter] = {}
        self._shares = FairShares()
        self._passed_over: dict[str, PassedOver] = {}
        self._grants_since_turn = 0
        self._turn_began_at: float | None = None
        self._turn_request: str | None = None
        """The overdue request that the next grant goes to."""

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def waiters(self) -> tuple[Waiter, ...]:
        """The requests that wait, in no particular order."""
        return tuple(self._waiters.values())

    def add(self, waiter: Waiter) -> None:
        """Add a request."""
        self._waiters[waiter.key] = waiter

    def remove(self, request_id: str) -> None:
        """Remove a request if it is in the queue."""
        self._waiters.pop(request_id, None)
        self._passed_over.pop(request_id, None)

    def passed_over(self, request_id: str) -> PassedOver | None:
        """Return how a request of the queue was passed over, if it was."""
        return self._passed_over.get(request_id)

    def next_waiter(self, now: float) -> Waiter | None:
        """Return the request to serve next, or ``None`` if the queue is empty."""
        over = self.over_share(now)
        first = min(
            self._waiters.values(), key=lambda waiter: _order(waiter, over, now), default=None
        )
        if first is None or first.has_started:
            return first
        return self._overdue_waiter(first, now) or first

    def record_grant(self, waiter: Waiter, now: float) -> None:
        """Record that a request of the queue, which it may have left, was granted memory."""
        self._record_passed_over(waiter, now)
        self._shares.record_grant(waiter.organisation, waiter.tokens, now)
        if self._is_turn_of(waiter):
            self._end_turn()
        elif any(_passes_over(waiter, other, now) for other in self._waiters.values()):
            self._grants_since_turn += 1

    def over_share(self, now: float) -> frozenset[str]:
        """Return the waiting organisations that were granted more than their share."""
        names = frozenset(other.organisation for other in self._waiters.values()) - {None}
        return self._shares.over_share(cast(frozenset[str], names), now)

    def granted_lately(self, now: float) -> Mapping[str, int]:
        """Return the tokens granted lately by organisation."""
        return self._shares.dump(now)

    def ahead_of(self, waiter: Waiter, now: float) -> list[Waiter]:
        """Return the requests that are served before one, which need not be in the queue."""
        over = self.over_share(now)
        position = _order(waiter, over, now)
        return [
            other
            for other in self._waiters.values()
            if other.key != waiter.key and _order(other, over, now) <= position
        ]

    def _record_passed_over(self, granted: Waiter, now: float) -> None:
        over = self.over_share(now)
        for other in self._waiters.values():
            if (
                other.first_arrived_at >= granted.first_arrived_at
                or other.request == granted.request
            ):
                continue
            known = self._passed_over.get(other.key)
            if known is None:
                reason = _precedence(granted, other, over, self._is_turn_of(granted))
                known = PassedOver(0, granted.request, reason)
            self._passed_over[other.key] = known._replace(times=known.times + 1)

    def _overdue_waiter(self, first: Waiter, now: float) -> Waiter | None:
        """Return the overdue request whose turn it is, if it is the turn of one."""
        if self._grants_since_turn < GRANTS_PER_TURN - 1:
            return None
        overdue = [other for other in self._waiters.values() if _passes_over(first, other, now)]
        if not overdue:
            self._turn_began_at = self._turn_request = None
            return None
        if self._turn_began_at is None:
            self._turn_began_at = now
        elif now - self._turn_began_at > MAX_TURN_S:
            self._end_turn()
            return None
        oldest = min(overdue, key=lambda waiter: waiter.first_arrived_at)
        self._turn_request = oldest.key
        return oldest

    def _is_turn_of(self, waiter: Waiter) -> bool:
        return waiter.key == self._turn_request

    def _end_turn(self) -> None:
        self._grants_since_turn = 0
        self._turn_began_at = self._turn_request = None


def _order(
    waiter: Waiter, over_share: frozenset[str], now: float
) -> tuple[bool, int, bool, bool, float]:
    late = waiter.is_late(now)
    due_at = waiter.first_arrived_at if late else waiter.on_time_until
    is_over = waiter.organisation in over_share
    return (not waiter.has_started, waiter.priority, is_over, late, due_at)


def _precedence(
    granted: Waiter, other: Waiter, over_share: frozenset[str], is_turn: bool
) -> Precedence:
    if granted.has_started and not other.has_started:
        return Precedence.STARTED
    if granted.priority != other.priority:
        return Precedence.PRIORITY if granted.priority < other.priority else Precedence.TURN
    if is_turn:
        return Precedence.TURN
    is_over = other.organisation in over_share and granted.organisation not in over_share
    return Precedence.SHARE if is_over else Precedence.ON_TIME


def _passes_over(first: Waiter, other: Waiter, now: float) -> bool:
    """Return whether an overdue request waits because another one is preferred to it."""
    is_like = (first.priority, first.organisation) == (other.priority, other.organisation)
    return other.is_overdue(now) and (not is_like or first.tokens < other.tokens)
