"""What the entries report to one another about the use of quotas.

A report carries cumulative sums since the start of the sender's process, so lost and repeated
reports do no harm. An organisation is reported for a few intervals after it was last used.
"""

import math
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from chivehold.core.direct.quotas import OrganisationId

REPORT_INTERVAL_S = 0.5
SILENCE_INTERVALS = 3
"""Intervals without a report after which an entry counts as silent."""
SILENCE_S = SILENCE_INTERVALS * REPORT_INTERVAL_S
REPEATS = SILENCE_INTERVALS + 1
"""Reports that name an organisation after its last use; an entry that misses all is silent."""
BYTES_PER_S = 10_000
"""Volume of the reports that an entry sends; those to many entries name fewer organisations."""
REPORT_OVERHEAD_BYTES = 56
USAGE_BYTES = 15
MIN_USAGES = 4
MAX_USAGES = 64
"""Organisations in one report, so that a datagram is not split on the way."""
MAX_KNOWN_USAGES = 4_096
"""Organisations to remember of each other entry."""
MAX_PEERS = 1_024


class Usage(NamedTuple):
    """The use of one organisation's quota at the reporting entry."""

    organisation: OrganisationId
    used: int
    """Net cost since the start of the process."""
    recent: int
    """The part of it since the organisation was last absent from the reports."""


class UsageReport(NamedTuple):
    """A report of one entry."""

    incarnation: int
    """Identifies the sender's process."""
    sequence: int
    """Number of the report since the start of the process, from 1."""
    usages: tuple[Usage, ...]


class _OwnUse:
    def __init__(self) -> None:
        self.used = 0.0
        self.absent_at = 0
        """Sum when it was last absent from the reports."""
        self.reported = 0
        self.repeats_left = 0


class OwnUsage:
    """Sums up this entry's use and builds its reports.

    Args:
        incarnation: Identifies this process.
        rate: Returns the rate of an organisation's quota, or 0 without one.
    """

    def __init__(self, incarnation: int, rate: Callable[[OrganisationId], float]) -> None:
        self._incarnation = incarnation
        self._rate = rate
        self._sequence = 0
        self._uses: dict[OrganisationId, _OwnUse] = {}
        self._changed: dict[OrganisationId, _OwnUse] = {}

    def add(self, organisation: OrganisationId, amount: float) -> None:
        """Add use; a negative amount is a refund."""
        use = self._uses.setdefault(organisation, _OwnUse())
        use.used += amount
        use.repeats_left = REPEATS
        self._changed[organisation] = use

    def unreported(self, organisation: OrganisationId) -> float:
        """Return the use since the last report that named an organisation."""
        use = self._uses.get(organisation)
        return use.used - use.reported if use else 0.0

    def next_report(self, peers: int) -> UsageReport:
        """Return the report that is due, to be sent to a number of entries.

        If it cannot name all organisations used recently, it names those whose use since their last
        report is the largest part of their quota.
        """
        self._sequence += 1
        chosen = sorted(self._changed, key=self._urgency, reverse=True)[: max_usages(peers)]
        usages = tuple(self._report(organisation) for organisation in chosen)
        return UsageReport(self._incarnation, self._sequence, usages)

    def _urgency(self, organisation: OrganisationId) -> float:
        return abs(self.unreported(organisation)) / max(self._rate(organisation), 1.0)

    def _report(self, organisation: OrganisationId) -> Usage:
        use = self._changed[organisation]
        use.reported = round(use.used)
        usage = Usage(organisation, max(0, use.reported), use.reported - use.absent_at)
        use.repeats_left -= 1
        if use.repeats_left <= 0:
            use.absent_at = use.reported
            del self._changed[organisation]
        return usage


class _Peer:
    """What this entry knows of another one."""

    def __init__(self) -> None:
        self.last_report_at = -math.inf
        self.is_silent = True
        self.incarnation = 0
        self.previous_incarnation = 0
        self.sequence = 0
        self.used: dict[OrganisationId, int] = {}

    def is_newer(self, report: UsageReport) -> bool:
        """Return whether a report is neither a repeated nor an overtaken one."""
        if report.incarnation == self.incarnation:
            return report.sequence > self.sequence
        return report.incarnation != self.previous_incarnation

    def apply(self, report: UsageReport, now: float) -> dict[OrganisationId, int]:
        """Apply a report and return what has to be charged for it."""
        is_first_report = self.is_silent
        if report.incarnation != self.incarnation:
            self.previous_incarnation, self.incarnation = self.incarnation, report.incarnation
            self.used = {}
        if is_first_report:
            self.used = {}
        self.last_report_at, self.is_silent, self.sequence = now, False, report.sequence
        charges: dict[OrganisationId, int] = {}
        for usage in report.usages:
            before = self.used.get(usage.organisation)
            if before is None and len(self.used) >= MAX_KNOWN_USAGES:
                continue
            self.used[usage.organisation] = usage.used
            if before is not None:
                charges[usage.organisation] = usage.used - before
            elif not is_first_report:
                charges[usage.organisation] = usage.recent
        return {organisation: amount for organisation, amount in charges.items() if amount}


class Silence(NamedTuple):
    """Entries that have become silent."""

    entries: int
    since: float
    """When the first of them last sent a report."""


class PeerUsage:
    """Tracks which other entries send reports, and what they have reported."""

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        self._members: frozenset[str] = frozenset()

    @property
    def reporting(self) -> int:
        """Number of other entries that are not silent."""
        return sum(not peer.is_silent for peer in self._peers.values())

    def unlisted_reporting(self) -> int:
        """Return the number of entries that send reports although they are not listed."""
        return sum(
            not peer.is_silent and name not in self._members for name, peer in self._peers.items()
        )

    def oldest_report_s(self, now: float) -> float:
        """Return the age of the oldest report among those of the reporting entries, or 0."""
        return max(0.0, now - min(self._report_times(), default=now))

    def ages(self, now: float) -> Iterator[tuple[str, float, bool]]:
        """Yield the name of each entry, the age of its last report, and whether it is silent."""
        for name, peer in self._peers.items():
            yield name, now - peer.last_report_at, peer.is_silent

    def set_members(self, names: Iterable[str]) -> None:
        """Set the names of the listed entries that report to this one.

        A reporting entry stays known until it is silent.
        """
        self._members = frozenset(names)
        self._peers = {
            name: peer
            for name, peer in self._peers.items()
            if name in self._members or not peer.is_silent
        }

    def is_silent(self, name: str) -> bool:
        """Return whether an entry has sent no report, or none recently."""
        peer = self._peers.get(name)
        return peer is None or peer.is_silent

    def is_first(self, sender: str, report: UsageReport) -> bool:
        """Return whether a report is the first one of a process, or the first after a silence."""
        peer = self._peers.get(sender)
        return peer is None or peer.is_silent or report.incarnation != peer.incarnation

    def receive(
        self, sender: str, report: UsageReport, now: float
    ) -> dict[OrganisationId, int] | None:
        """Return what has to be charged for a report; ``None`` if it is to be ignored."""
        peer = self._peers.get(sender)
        if peer is None:
            if len(self._peers) >= MAX_PEERS:
                return None
            peer = self._peers[sender] = _Peer()
        return peer.apply(report, now) if peer.is_newer(report) else None

    def mark_silent(self, now: float) -> Silence | None:
        """Mark the entries from which nothing has been received for too long."""
        latest = now - SILENCE_S
        silent = [
            peer
            for peer in self._peers.values()
            if not peer.is_silent and peer.last_report_at <= latest
        ]
        if not silent:
            return None
        for peer in silent:
            peer.is_silent = True
        since = min(peer.last_report_at for peer in silent)
        self.set_members(self._members)
        return Silence(len(silent), since)

    def _report_times(self) -> Iterator[float]:
        return (peer.last_report_at for peer in self._peers.values() if not peer.is_silent)


def max_usages(peers: int) -> int:
    """Return how many organisations a report to a number of entries may name."""
    datagrams_per_s = max(1, peers) / REPORT_INTERVAL_S
    room = (BYTES_PER_S / datagrams_per_s - REPORT_OVERHEAD_BYTES) / USAGE_BYTES
    return max(MIN_USAGES, min(MAX_USAGES, math.floor(room)))
