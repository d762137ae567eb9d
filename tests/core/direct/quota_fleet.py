"""Entries with shared quotas on one simulated clock, and the network between them."""

import heapq
from collections import defaultdict
from collections.abc import Callable, Iterator
from random import Random
from typing import NamedTuple

from chivehold.core.direct.organisations import Organisation, Quota, QuotaUnit
from chivehold.core.direct.quotas import QuotaDecision, QuotaPolicy
from chivehold.core.direct.shared_quotas import Membership, ReceivedReport, SharedQuotas
from chivehold.rpc.convert_gossip import decode_message, encode_usage

POLICY = QuotaPolicy(window_s=8.0, overshoot=0.1, slack=140_000.0)
DELAY_S = (0.001, 0.02)


class Admission(NamedTuple):
    at: float
    cost: float


def organisation(name: str = "o", rate: float = 36_000.0, burst: float = 36_000.0) -> Organisation:
    """Return an organisation with a quota of tokens."""
    return Organisation(name, frozenset(), None, Quota(rate, burst, QuotaUnit.TOKENS))


class QuotaFleet:
    """Entries that send their reports as datagrams over a network with cuts.

    Args:
        size: The number of entries.
        organisations: The organisations of the configuration.
        seed: Seeds all random numbers.
        policy: What may be used beyond rate and burst.
    """

    def __init__(
        self,
        size: int,
        organisations: tuple[Organisation, ...],
        seed: int = 1,
        policy: QuotaPolicy = POLICY,
    ) -> None:
        self.rng = Random(seed)
        self.now = 1_000.0
        self.policy = policy
        self.names = frozenset(f"entry-{number}" for number in range(size))
        self.organisations = {each.name: each for each in organisations}
        self.entries: dict[str, SharedQuotas] = {}
        self.reaches: Callable[[str, str], bool] = lambda sender, receiver: True
        self.repeats = 0.0
        self.delay_s = DELAY_S
        self.admitted: dict[str, list[Admission]] = defaultdict(list)
        self.datagrams = 0
        self._due: list[tuple[float, int, str, bytes | None]] = []
        self._number = 0
        for name in sorted(self.names):
            self.start(name)

    def start(self, name: str) -> None:
        """Start an entry, or restart it without its former state."""
        self.entries[name] = SharedQuotas(
            name,
            self.rng.getrandbits(60) + 1,
            self.policy,
            lambda: Membership(self.names, len(self.names)),
            self.rng,
        )
        self.entries[name].configure(self.organisations.values(), self.now)
        self._push(self.now, name, None)

    def kill(self, name: str) -> None:
        """End an entry."""
        del self.entries[name]

    def configure(self, *organisations: Organisation) -> None:
        """Bring changed organisations into effect at all entries."""
        self.organisations |= {each.name: each for each in organisations}
        for entry in self.entries.values():
            entry.configure(self.organisations.values(), self.now)

    def request(self, name: str, of: str = "o", cost: float = 3_900.0) -> QuotaDecision:
        """Decide on a request at an entry."""
        decision = self.entries[name].decide(self.organisations[of], int(cost), self.now)
        assert decision is not None
        if decision.admitted:
            self.admitted[of].append(Admission(self.now, cost))
            self._push(self.entries[name].next_report_at(), name, None)
        return decision

    def run_until(self, at: float) -> None:
        """Deliver and send what is due until a moment."""
        while self._due and self._due[0][0] <= at:
            due_at, _, name, datagram = heapq.heappop(self._due)
            self.now = max(self.now, due_at)
            if name not in self.entries:
                continue
            if datagram is not None:
                self._deliver(name, datagram)
            elif due_at >= self.entries[name].next_report_at():
                self._send(name)
        self.now = at

    def _send(self, name: str) -> None:
        outgoing = self.entries[name].next_report(self.now)
        assert outgoing is not None
        self._push(self.entries[name].next_report_at(), name, None)
        datagram = encode_usage(name, outgoing.report)
        for receiver in sorted(outgoing.listed | set(outgoing.addresses)):
            self.datagrams += 1
            if not self.reaches(name, receiver):
                continue
            for _ in range(1 + (self.rng.random() < self.repeats)):
                self._push(self.now + self.rng.uniform(*self.delay_s), receiver, datagram)

    def _deliver(self, name: str, datagram: bytes) -> None:
        message = decode_message(datagram, self.now)
        assert message.usage is not None
        entry = self.entries[name]
        due_before = entry.next_report_at()
        entry.receive(ReceivedReport(message.sender, message.sender, message.usage), self.now)
        if entry.next_report_at() < due_before:
            self._push(entry.next_report_at(), name, None)

    def _push(self, at: float, name: str, datagram: bytes | None) -> None:
        self._number += 1
        heapq.heappush(self._due, (at, self._number, name, datagram))


def worst_window(admissions: list[Admission], window_s: float) -> float:
    """Return the largest cost of admissions within any window."""
    return max(window_sums(admissions, window_s), default=0.0)


def window_sums(admissions: list[Admission], window_s: float) -> Iterator[float]:
    """Yield the cost of the window that ends with each admission."""
    first, sum_ = 0, 0.0
    for admission in admissions:
        sum_ += admission.cost
        while admissions[first].at <= admission.at - window_s:
            sum_ -= admissions[first].cost
            first += 1
        yield sum_


def bound(quota: Quota, policy: QuotaPolicy = POLICY) -> float:
    """Return what an organisation may use within a window."""
    return quota.rate * policy.window_s + quota.burst + policy.excess(quota)
