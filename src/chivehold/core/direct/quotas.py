"""Quotas of organisations: one token bucket for all entries together, kept at each entry.

Each entry charges its own use at once and that of the others when they report it. A bucket fills at
the organisation's rate, reduced by the equal shares of the entries that report nothing, since they
may be using them. Its level may fall below zero: use that was reported late is repaid.

Two limits make up for late reports. A part of the slack is granted as debt, so that callers within
their quota are not rejected because of a stale view. And what an entry admits on the strength of
reports of one age is bounded, since the others may be admitting as much at the same time.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from hashlib import blake2b
from typing import NamedTuple

from chivehold.core.direct.organisations import Organisation, Quota

DEBT_SHARE = 0.7
"""Part of the slack that is granted as debt; the rest is left for use that is reported late."""
STALE_VIEW_SHARE = 0.5
"""Part of what a full bucket could grant that one entry may use on reports of one age."""
STALE_VIEW_SHARE_AT_START = 0.25
"""The same until the bucket has been full for the first time."""
SLOT_S = 0.125
"""Resolution with which recent use is remembered."""
SLOTS = 24
_ID_BYTES = 8

OrganisationId = int
"""Digest of an organisation's name, short enough for reports."""


class QuotaPolicy(NamedTuple):
    """What an organisation may use beyond rate and burst, over all entries together."""

    window_s: float
    """Any window of this length is bounded."""
    overshoot: float
    """Share of the quota of a window that may be used in addition."""
    slack: float
    """Units that may be used in addition in a window."""

    def excess(self, quota: Quota) -> float:
        """Return how much more than rate and burst may be used in a window."""
        return self.overshoot * (quota.rate * self.window_s + quota.burst) + self.slack

    @property
    def debt(self) -> float:
        """How far below zero the level may fall by requests that are admitted."""
        return DEBT_SHARE * self.slack


class View(NamedTuple):
    """What an entry knows of the use of the other entries."""

    entries: int
    """Entries of the deployment, including this one."""
    reporting: int
    """Entries whose reports arrive, including this one."""
    oldest_report_s: float
    """Age of the oldest report among those of the reporting entries; 0 without any."""

    @property
    def share(self) -> float:
        """Part of each quota that is left to the reporting entries."""
        return min(1.0, self.reporting / self.entries)


class QuotaDecision(NamedTuple):
    """Whether a request is within the quota of its organisation, and why."""

    organisation: str
    cost: float
    admitted: bool
    level: float
    """Level of the bucket after the request, if it is admitted."""
    oldest_report_s: float
    """Age of the oldest report that the decision is based on."""
    retry_after_s: float = 0.0
    """Time until the bucket has room for the request, if it is rejected."""


class QuotaUse(NamedTuple):
    """The state of one quota, for operators."""

    organisation: str
    quota: Quota
    level: float
    used: float
    """Net cost of the requests that this entry has admitted."""
    rejected: float
    """Cost of the requests that this entry has rejected."""


class RecentUse:
    """Sums of what was used in the last few seconds."""

    def __init__(self) -> None:
        self._slots: dict[int, float] = {}

    def add(self, amount: float, now: float) -> None:
        """Add a use."""
        slot = math.floor(now / SLOT_S)
        if slot not in self._slots:
            self._slots = {at: sum_ for at, sum_ in self._slots.items() if at > slot - SLOTS}
        self._slots[slot] = self._slots.get(slot, 0.0) + amount

    def since(self, at: float) -> float:
        """Return the use since a moment, rounded down to the resolution."""
        first = math.floor(at / SLOT_S)
        return sum(amount for slot, amount in self._slots.items() if slot >= first)


class QuotaBucket:
    """The bucket of one organisation as one entry sees it; starts empty.

    Args:
        name: The organisation's name.
        quota: Its quota.
        now: Monotonic time in seconds.
    """

    def __init__(self, name: str, quota: Quota, now: float) -> None:
        self._name = name
        self._quota = quota
        self._level = 0.0
        self._filled_at = now
        self._own = RecentUse()
        self._all = RecentUse()
        self._used = 0.0
        self._rejected = 0.0
        self._has_been_full = False
        """Whether nothing is left of what was used before this process started.

        Until then no debt is granted, since the other entries may already have granted it.
        """

    @property
    def quota(self) -> Quota:
        """The quota in force."""
        return self._quota

    def state(self, share: float, now: float) -> QuotaUse:
        """Return the state for operators."""
        self._fill(share, now)
        return QuotaUse(self._name, self._quota, self._level, self._used, self._rejected)

    def configure(self, quota: Quota, share: float, now: float) -> None:
        """Apply a changed quota: a smaller burst cuts the level, a larger one fills at the rate."""
        self._fill(share, now)
        self._quota = quota
        self._level = min(self._level, quota.burst * share)

    def decide(self, cost: float, policy: QuotaPolicy, view: View, now: float) -> QuotaDecision:
        """Charge a request if there is room for it."""
        self._fill(view.share, now)
        wait_s = self._wait_s(cost, policy, view, now) if cost > 0 else 0.0
        if wait_s > 0:
            self._rejected += cost
        else:
            self.charge(cost, view.share, now)
        return QuotaDecision(
            self._name, cost, wait_s <= 0, self._level, view.oldest_report_s, wait_s
        )

    def charge(self, amount: float, share: float, now: float) -> None:
        """Charge use of this entry; a negative amount is a refund."""
        self._used += amount
        self._own.add(amount, now)
        self.charge_reported(amount, share, now)

    def charge_reported(self, amount: float, share: float, now: float) -> None:
        """Charge use that another entry has reported; a negative amount is a refund."""
        self._fill(share, now)
        self._all.add(amount, now)
        self._level -= amount

    def shrink_share(self, before: float, after: float, silent_since: float, now: float) -> None:
        """Leave a part of the quota to entries that have sent no report since a moment.

        The level that all entries had in common at that moment is divided, and so is what has been
        filled in since. What the remaining entries have used since counts against their part.
        """
        self._fill(before, now)
        used = self._all.since(silent_since)
        self._level = (self._level + used) * after / before - used

    def grow_share(self, before: float, after: float, now: float) -> None:
        """Share with entries that report again.

        They have taken debt as much as this one. What they have left is not granted again.
        """
        self._fill(before, now)
        if self._level < 0:
            self._level *= after / before

    def max_unreported(self, policy: QuotaPolicy, view: View) -> float:
        """Return the use that every entry may have at once without the others knowing."""
        return (policy.excess(self._quota) - policy.debt) / max(1, view.entries - 1)

    def _fill(self, share: float, now: float) -> None:
        elapsed_s = max(0.0, now - self._filled_at)
        self._filled_at = max(self._filled_at, now)
        filled = self._level + elapsed_s * self._quota.rate * share
        full = self._quota.burst * share
        self._has_been_full = self._has_been_full or filled >= full
        self._level = min(filled, full)

    def _wait_s(self, cost: float, policy: QuotaPolicy, view: View, now: float) -> float:
        """Return the time until a request has room; 0 if it has room now."""
        # A request larger than the burst is admitted once the bucket is full.
        needed = min(cost, self._quota.burst * view.share)
        debt = policy.debt * view.share if self._has_been_full else 0.0
        missing = needed - debt - self._level
        wait_s = missing / (self._quota.rate * view.share) if missing > 0 else 0.0
        if view.reporting > 1:
            most = self._most_on_one_view(policy, view)
            recent = self._own.since(now - view.oldest_report_s)
            if recent + min(cost, most) > most:
                wait_s = max(wait_s, view.oldest_report_s, SLOT_S)
        return wait_s

    def _most_on_one_view(self, policy: QuotaPolicy, view: View) -> float:
        """Return how much this entry may use on reports that are as old as the oldest one."""
        filled = self._quota.rate * view.oldest_report_s
        equal = self.max_unreported(policy, view) + filled / view.entries
        part = STALE_VIEW_SHARE if self._has_been_full else STALE_VIEW_SHARE_AT_START
        return max(equal, part * view.share * (self._quota.burst + filled))


class Quotas:
    """The buckets of all organisations that have a quota.

    Args:
        policy: What may be used beyond rate and burst.
    """

    def __init__(self, policy: QuotaPolicy) -> None:
        self._policy = policy
        self._buckets: dict[OrganisationId, QuotaBucket] = {}

    @property
    def is_active(self) -> bool:
        """Whether any organisation has a quota."""
        return bool(self._buckets)

    def set_policy(self, policy: QuotaPolicy) -> None:
        """Apply changed settings."""
        self._policy = policy

    def configure(self, organisations: Iterable[Organisation], share: float, now: float) -> None:
        """Apply the organisations of a new configuration."""
        buckets: dict[OrganisationId, QuotaBucket] = {}
        for organisation in organisations:
            if organisation.quota is None:
                continue
            key = organisation_id(organisation.name)
            bucket = self._buckets.get(key)
            if bucket is None:
                bucket = QuotaBucket(organisation.name, organisation.quota, now)
            elif bucket.quota != organisation.quota:
                bucket.configure(organisation.quota, share, now)
            buckets[key] = bucket
        self._buckets = buckets

    def decide(
        self, key: OrganisationId, cost: float, view: View, now: float
    ) -> QuotaDecision | None:
        """Charge a request if there is room for it; ``None`` if the organisation has no quota."""
        bucket = self._buckets.get(key)
        return bucket.decide(cost, self._policy, view, now) if bucket else None

    def max_unreported(self, key: OrganisationId, view: View) -> float:
        """Return the use of an organisation that is to be reported at once."""
        bucket = self._buckets.get(key)
        return bucket.max_unreported(self._policy, view) if bucket else math.inf

    def refund(self, key: OrganisationId, cost: float, share: float, now: float) -> None:
        """Give back the cost of a request that has not run."""
        if bucket := self._buckets.get(key):
            bucket.charge(-cost, share, now)

    def charge_reported(
        self, used: Mapping[OrganisationId, float], share: float, now: float
    ) -> None:
        """Charge what another entry has reported."""
        for key, amount in used.items():
            if bucket := self._buckets.get(key):
                bucket.charge_reported(amount, share, now)

    def shrink_share(self, before: float, after: float, silent_since: float, now: float) -> None:
        """Leave a part of all quotas to entries that have sent no report since a moment."""
        for bucket in self._buckets.values():
            bucket.shrink_share(before, after, silent_since, now)

    def grow_share(self, before: float, after: float, now: float) -> None:
        """Share with entries that report again, for all quotas."""
        for bucket in self._buckets.values():
            bucket.grow_share(before, after, now)

    def rate(self, key: OrganisationId) -> float:
        """Return the rate of an organisation, or 0 if it has no quota."""
        bucket = self._buckets.get(key)
        return bucket.quota.rate if bucket else 0.0

    def states(self, share: float, now: float) -> Iterator[QuotaUse]:
        """Yield the state of each quota."""
        return (bucket.state(share, now) for bucket in self._buckets.values())


def organisation_id(name: str) -> OrganisationId:
    """Return the digest by which reports name an organisation."""
    return int.from_bytes(blake2b(name.encode(), digest_size=_ID_BYTES).digest(), "big")
