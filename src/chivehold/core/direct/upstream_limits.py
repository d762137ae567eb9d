"""This entry's part of the limits that upstreams name for all entries together.

An upstream may name the requests per second that it takes from all entries. Nothing is exchanged
between the entries: a few users are drawn for each limited upstream by rendezvous hashing over the
names of all entries, and each user takes an equal part of the rate. The bound of what all may send
at once grows with the number of users, so it is the limit that determines how many there are. The
other entries only ask from time to time whether the limit still holds.

An upstream tolerates, in any four seconds, half as much again as its limit allows, and five
requests more. What users and others may send at once stays below that surplus.

Entries may know different names for a while. A new entry takes no part until all others know it;
one that restarts under its name takes its part again as soon as it knows the others.
"""

import hashlib
import math
from collections.abc import Callable, Collection
from functools import lru_cache
from random import Random
from typing import NamedTuple, Protocol

from chivehold.core.direct.messages import UpstreamIncarnation

BURST_PERIOD_S = 1.75
"""All users together may send what the upstream takes in this time at once, and some more."""
BURST_EXTRA = 4.5
"""Requests that all users together may send at once beyond that; it keeps low limits usable."""
PROBE_ALLOWANCE = 1.0
"""Part of these that is left to the entries that are not users."""
PROBE_PERIOD_S = 10.0
"""Time in which one of the entries that are not users asks whether the limit still holds."""
PROBE_WINDOW_S = 1.0
"""An entry without a request to send at that time lets its turn pass."""
SCORE_BYTES = 8
CACHED_DRAWS = 512


class LimitShare(NamedTuple):
    """One entry's part of an upstream's limit."""

    rate: float
    """Requests per second."""
    burst: float
    """Requests that may be sent at once after a pause."""


NO_SHARE = LimitShare(0.0, 0.0)


class Membership(Protocol):
    """What an entry knows of all entries."""

    @property
    def names(self) -> frozenset[str]:
        """The names of all entries, including this one; empty until they are known."""
        ...

    @property
    def is_established(self) -> bool:
        """Whether the other entries know the name of this one."""
        ...


@lru_cache(maxsize=CACHED_DRAWS)
def limit_users(max_rate: float, upstream: str, entries: frozenset[str]) -> frozenset[str]:
    """Return the entries that may use an upstream with a limit.

    Args:
        max_rate: Requests per second that the upstream takes from all entries.
        upstream: The name of the upstream.
        entries: The names of all entries.
    """
    most = BURST_PERIOD_S * max_rate + BURST_EXTRA
    if len(entries) <= most:
        return entries
    count = int(most - PROBE_ALLOWANCE)
    return frozenset(sorted(entries, key=lambda entry: _score(upstream, entry))[:count])


def limit_share(max_rate: float, upstream: str, entry: str, entries: frozenset[str]) -> LimitShare:
    """Return the part of a limit that an entry may use; see ``limit_users``."""
    users = limit_users(max_rate, upstream, entries)
    if entry not in users:
        return NO_SHARE
    burst = BURST_PERIOD_S * max_rate + BURST_EXTRA
    if len(users) < len(entries):
        burst -= PROBE_ALLOWANCE
    return LimitShare(max_rate / len(users), burst / len(users))


class _Limit:
    """A limit that an upstream has named, and what this entry has used of its part."""

    def __init__(self, max_rate: float, now: float) -> None:
        self.max_rate = max_rate
        self.named_at = now
        self.share = NO_SHARE
        self.permits = 0.0
        self.refilled_at = now
        self.probe_at = -math.inf

    def refill(self, share: LimitShare, now: float) -> None:
        """Add the permits since the last call; a larger share counts only from now on."""
        rate = min(self.share.rate, share.rate)
        self.permits = min(share.burst, self.permits + rate * (now - self.refilled_at))
        self.share = share
        self.refilled_at = now


class UpstreamLimits:
    """Decides when this entry may send to the upstreams that have named a limit.

    Args:
        entry: The name of this entry.
        membership: Returns what this entry knows of all entries.
        rng: Spreads the requests of entries that are not users.
    """

    def __init__(self, entry: str, membership: Callable[[], Membership], rng: Random) -> None:
        self._entry = entry
        self._membership = membership
        self._rng = rng
        self._limits: dict[UpstreamIncarnation, _Limit] = {}

    def max_rate(self, upstream: UpstreamIncarnation) -> float | None:
        """Return the limit that an upstream has named, or ``None``."""
        limit = self._limits.get(upstream)
        return limit.max_rate if limit else None

    def record(
        self, upstream: UpstreamIncarnation, max_rate: float | None, sent_at: float, now: float
    ) -> None:
        """Record the limit in a response; ``None`` if it names none.

        Args:
            upstream: The upstream.
            max_rate: Requests per second.
            sent_at: When the request of the response was sent. A response to an earlier request
                than the one that brought the limit does not end it.
            now: Monotonic time in seconds.
        """
        limit = self._limits.get(upstream)
        if max_rate is None:
            if limit is not None and sent_at >= limit.named_at:
                del self._limits[upstream]
        elif limit is None:
            self._limits[upstream] = _Limit(max_rate, now)
        else:
            limit.max_rate = max_rate
            limit.named_at = now

    def forget_others(self, upstreams: Collection[UpstreamIncarnation]) -> None:
        """Forget the limits of all upstreams except these."""
        for upstream in [known for known in self._limits if known not in upstreams]:
            del self._limits[upstream]

    def may_send(self, upstream: UpstreamIncarnation, now: float) -> bool:
        """Return whether one request may be sent to an upstream now."""
        return self.wait_s(upstream, now) <= 0

    def wait_s(self, upstream: UpstreamIncarnation, now: float) -> float:
        """Return the time until a request may be sent to an upstream, in seconds."""
        limit = self._limits.get(upstream)
        if limit is None:
            return 0.0
        limit.refill(self._share(upstream, limit), now)
        if limit.share is NO_SHARE:
            return self._probe_wait_s(upstream, limit, now)
        return max(0.0, (1 - limit.permits) / limit.share.rate)

    def spend(self, upstream: UpstreamIncarnation, now: float) -> None:
        """Record that a request is sent to an upstream."""
        limit = self._limits.get(upstream)
        if limit is None:
            return
        limit.refill(self._share(upstream, limit), now)
        limit.permits -= 1
        if limit.share is NO_SHARE:
            limit.permits = 0.0
            limit.probe_at = now + self._rng.uniform(0.5, 1.5) * self._probe_period_s(
                upstream, limit
            )

    def _share(self, upstream: UpstreamIncarnation, limit: _Limit) -> LimitShare:
        membership = self._membership()
        if not membership.is_established:
            return NO_SHARE
        return limit_share(limit.max_rate, upstream.name, self._entry, membership.names)

    def _probe_wait_s(self, upstream: UpstreamIncarnation, limit: _Limit, now: float) -> float:
        if now > limit.probe_at + PROBE_WINDOW_S:
            limit.probe_at = now + self._rng.uniform(0.0, 1.0) * self._probe_period_s(
                upstream, limit
            )
        return limit.probe_at - now

    def _probe_period_s(self, upstream: UpstreamIncarnation, limit: _Limit) -> float:
        entries = self._membership().names
        users = limit_users(limit.max_rate, upstream.name, entries)
        return PROBE_PERIOD_S * max(1, len(entries) - len(users))


def _score(upstream: str, entry: str) -> bytes:
    text = f"{upstream}\x00{entry}"
    return hashlib.blake2b(text.encode(), digest_size=SCORE_BYTES).digest()
