"""Decides at one entry which requests are within the quotas that all entries share."""

import math
from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import Any, NamedTuple

from chivehold.core.direct.cells import cell_members, cell_of
from chivehold.core.direct.organisations import Organisation
from chivehold.core.direct.quotas import (
    QuotaDecision,
    QuotaPolicy,
    Quotas,
    QuotaUse,
    View,
    organisation_id,
)
from chivehold.core.direct.usage_reports import (
    REPORT_INTERVAL_S,
    OwnUsage,
    PeerUsage,
    UsageReport,
)

REPORT_JITTER = 0.1
EARLY_REPORT_S = 0.1
"""Shortest time between two reports; early ones follow much use or a process that is new."""
UNLISTED_S = 30.0
"""An entry that is not listed gets reports for this time after one from it."""
MAX_UNLISTED = 48


class Membership(NamedTuple):
    """The entries of the deployment as far as they are known."""

    names: frozenset[str]
    """Names of the listed entries; empty until they are known."""
    size: int
    """Their number, or an assumed one."""


class ReceivedReport(NamedTuple):
    """A report of another entry."""

    sender: str
    address: str
    """``host:port`` that it was sent from, where the sender takes reports."""
    report: UsageReport


class OutgoingReport(NamedTuple):
    """A report and whom it is sent to."""

    report: UsageReport
    listed: frozenset[str]
    """Names of listed entries."""
    addresses: tuple[str, ...]
    """Addresses of entries that are not listed."""


class _Unlisted(NamedTuple):
    address: str
    at: float


class SharedQuotas:
    """The quotas as one entry sees them, with what the others have reported.

    Args:
        name: The name of this entry.
        incarnation: Identifies this process in reports; not 0.
        policy: What may be used beyond rate and burst.
        membership: Returns the entries of the deployment.
        rng: Draws the jitter of the reports.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        policy: QuotaPolicy,
        membership: Callable[[], Membership],
        rng: Random,
    ) -> None:
        self._name = name
        self._membership = membership
        self._rng = rng
        self._quotas = Quotas(policy)
        self._own = OwnUsage(incarnation, self._quotas.rate)
        self._peers = PeerUsage()
        self._names: frozenset[str] | None = None
        self._listed = 1
        """Number of listed entries, including this one."""
        self._members: frozenset[str] = frozenset()
        self._unlisted: dict[str, _Unlisted] = {}
        self._share = 1.0
        self._last_report_at = -math.inf
        self._next_report_at = -math.inf
        self._ignored = 0

    @property
    def is_active(self) -> bool:
        """Whether any organisation has a quota."""
        return self._quotas.is_active

    def set_policy(self, policy: QuotaPolicy) -> None:
        """Apply changed settings."""
        self._quotas.set_policy(policy)

    def configure(self, organisations: Iterable[Organisation], now: float) -> None:
        """Apply the organisations of a new configuration."""
        self._quotas.configure(organisations, self._view(now).share, now)

    def decide(self, organisation: Organisation, tokens: int, now: float) -> QuotaDecision | None:
        """Charge a request if its organisation has room for it.

        Args:
            organisation: The caller's organisation.
            tokens: Tokens of the request; 0 if it states none.
            now: Monotonic time in seconds.

        Returns:
            ``None`` if the organisation has no quota.
        """
        if organisation.quota is None:
            return None
        key, cost = organisation_id(organisation.name), organisation.quota.cost(tokens)
        view = self._view(now)
        decision = self._quotas.decide(key, cost, view, now)
        if decision is not None and decision.admitted:
            self._own.add(key, cost)
            if 0 < self._quotas.max_unreported(key, view) <= self._own.unreported(key):
                self._report_early(now)
        return decision

    def refund(self, decision: QuotaDecision, now: float) -> None:
        """Give back the cost of an admitted request that has certainly not run."""
        key = organisation_id(decision.organisation)
        self._own.add(key, -decision.cost)
        self._quotas.refund(key, decision.cost, self._view(now).share, now)

    def receive(self, received: ReceivedReport, now: float) -> bool:
        """Apply a report; return whether it was one of this cell that is not outdated."""
        before = self._view(now)
        if not self.is_active or not self._is_in_cell(received.sender):
            self._ignored += 1
            return False
        is_first = self._peers.is_first(received.sender, received.report)
        used = self._peers.receive(received.sender, received.report, now)
        if used is None:
            self._ignored += 1
            return False
        if received.sender not in self._members:
            self._note_unlisted(received, now)
        self._quotas.charge_reported(used, before.share, now)
        if is_first:
            self._view(now)
            self._report_early(now)
        return True

    def next_report_at(self) -> float:
        """Return when the next report is due."""
        return self._next_report_at

    def next_report(self, now: float) -> OutgoingReport | None:
        """Return the report that is due, or ``None``."""
        if now < self._next_report_at:
            return None
        self._view(now)
        self._unlisted = {
            name: sender
            for name, sender in self._unlisted.items()
            if now < sender.at + UNLISTED_S and name not in self._members
        }
        addresses = tuple(sender.address for sender in self._unlisted.values())
        self._last_report_at = now
        jitter = self._rng.uniform(1 - REPORT_JITTER, 1.0)
        self._next_report_at = now + REPORT_INTERVAL_S * jitter
        report = self._own.next_report(len(self._members) + len(addresses))
        return OutgoingReport(report, self._members, addresses)

    def states(self, now: float) -> Iterator[QuotaUse]:
        """Yield the state of each quota."""
        return self._quotas.states(self._view(now).share, now)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the state for the operators' dump."""
        view = self._view(now)
        return {
            "share": view.share,
            "reporting": view.reporting,
            "oldest_report_s": view.oldest_report_s,
            "silent": [name for name in sorted(self._members) if self._peers.is_silent(name)],
            "reports_ignored": self._ignored,
            "organisations": [
                {
                    "organisation": state.organisation,
                    "unit": state.quota.unit,
                    "rate": state.quota.rate,
                    "burst": state.quota.burst,
                    "level": state.level,
                    "used": state.used,
                    "rejected": state.rejected,
                }
                for state in self.states(now)
            ],
        }

    def _view(self, now: float) -> View:
        """Return what is known of the other entries, after noting what has changed until now."""
        membership = self._membership()
        if membership.names is not self._names:
            self._names = membership.names
            self._listed = len(membership.names | {self._name})
            self._members = cell_members(self._name, membership.names)
            self._peers.set_members(self._members)
        silence = self._peers.mark_silent(now)
        view = self._current_view(membership, now)
        if view.share < self._share:
            since = silence.since if silence else now
            self._quotas.shrink_share(self._share, view.share, since, now)
        elif view.share > self._share:
            self._quotas.grow_share(self._share, view.share, now)
        self._share = view.share
        return view

    def _current_view(self, membership: Membership, now: float) -> View:
        reporting = 1 + self._peers.reporting
        listed = self._listed if membership.names else membership.size
        entries = max(reporting, listed + self._peers.unlisted_reporting())
        return View(entries, reporting, self._peers.oldest_report_s(now))

    def _report_early(self, now: float) -> None:
        self._next_report_at = min(
            self._next_report_at, max(now, self._last_report_at + EARLY_REPORT_S)
        )

    def _is_in_cell(self, sender: str) -> bool:
        if sender == self._name:
            return False
        if sender in self._members:
            return True
        entries = self._listed if self._names else self._membership().size
        return cell_of(sender, entries) == cell_of(self._name, entries)

    def _note_unlisted(self, received: ReceivedReport, now: float) -> None:
        if received.sender in self._unlisted or len(self._unlisted) < MAX_UNLISTED:
            self._unlisted[received.sender] = _Unlisted(received.address, now)
