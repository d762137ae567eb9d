"""Quotas shared by entries that exchange usage reports over a network with faults."""

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chivehold.core.direct.cells import TARGET_CELL_ENTRIES, cell_members
from chivehold.core.direct.organisations import Organisation, Quota
from chivehold.core.direct.shared_quotas import ReceivedReport
from chivehold.core.direct.usage_reports import SILENCE_S, Usage, UsageReport
from tests.core.direct.quota_fleet import (
    POLICY,
    QuotaFleet,
    bound,
    organisation,
    window_sums,
    worst_window,
)

MEAN_COST = 3_900.0
WARM_UP_S = 5.0
OVER = 5.3 * 0.6
"""Demand of the organisation that sends 5.3 times its usual, in multiples of its rate."""
WITHIN = (0.85, 0.5)
"""Demand of organisations within their quota, in multiples of their rates."""


class Outcome(NamedTuple):
    """What became of some demand."""

    worst: float
    """The worst window of any organisation, as a share of the bound."""
    rejected: float
    """Tokens rejected that one bucket with a global view would have admitted, as a share."""


class GlobalBucket:
    """One bucket with a global view."""

    def __init__(self, quota: Quota, now: float) -> None:
        self._quota = quota
        self._level = quota.burst
        self._at = now
        self.admitted = 0.0

    def admit(self, cost: float, now: float) -> bool:
        filled = self._level + (now - self._at) * self._quota.rate
        self._level, self._at = min(self._quota.burst, filled), now
        if self._level < min(cost, self._quota.burst):
            return False
        self._level -= cost
        self.admitted += cost
        return True


def quota_of(each: Organisation) -> Quota:
    assert each.quota is not None
    return each.quota


def organisations() -> tuple[Organisation, ...]:
    """Return some organisations; the first one is to send more than its quota."""
    rates = (36_000.0, 42_000.0, 80_000.0, 54_000.0)
    return tuple(organisation(f"o{number}", rate, rate) for number, rate in enumerate(rates))


def demand(
    fleet: QuotaFleet,
    duration_s: float,
    *,
    skewed: bool = False,
    on_time: Callable[[float], None] = lambda elapsed_s: None,
) -> Outcome:
    """Send requests of all organisations to the entries, and return what became of them."""
    rng = Random(7)
    everyone = tuple(fleet.organisations.values())
    factors = [OVER, *(WITHIN[number % 2] for number in range(len(everyone) - 1))]
    rates = [factor * quota_of(each).rate for factor, each in zip(factors, everyone, strict=True)]
    names = sorted(fleet.names)
    weights = [1 / (number + 1) if skewed else 1.0 for number in range(len(names))]
    fleet.run_until(fleet.now + WARM_UP_S)
    began_at = at = fleet.now
    global_buckets = {each.name: GlobalBucket(quota_of(each), at) for each in everyone}
    admitted = dict.fromkeys(global_buckets, 0.0)
    while at < began_at + duration_s:
        at += rng.expovariate(sum(rates) / MEAN_COST)
        on_time(at - began_at)
        fleet.run_until(at)
        of = rng.choices(everyone, rates)[0].name
        cost = float(round(min(15_000.0, max(500.0, rng.gauss(MEAN_COST, 1_200.0)))))
        name = rng.choices(names, weights)[0]
        if name in fleet.entries:
            global_buckets[of].admit(cost, at)
            admitted[of] += cost * fleet.request(name, of, cost).admitted
    short = sum(max(0.0, each.admitted - admitted[of]) for of, each in global_buckets.items())
    return Outcome(
        worst_share(fleet), short / sum(each.admitted for each in global_buckets.values())
    )


def worst_share(fleet: QuotaFleet) -> float:
    """Return the worst window of any organisation as a share of the bound."""
    return max(
        worst_window(fleet.admitted[each.name], POLICY.window_s) / bound(quota_of(each))
        for each in fleet.organisations.values()
    )


def partition(fleet: QuotaFleet, group: set[str]) -> None:
    """Cut a group of entries off from the others."""
    fleet.reaches = lambda sender, receiver: (sender in group) == (receiver in group)


def heal(fleet: QuotaFleet) -> None:
    fleet.reaches = lambda sender, receiver: True


def flooded(
    fleet: QuotaFleet, duration_s: float, step_s: float = 0.1, cost: float = MEAN_COST
) -> None:
    """Send more than the quota to all entries, evenly."""
    until = fleet.now + duration_s
    while fleet.now < until:
        fleet.run_until(fleet.now + step_s)
        for name in sorted(fleet.entries):
            fleet.request(name, cost=cost)


def level(fleet: QuotaFleet, name: str) -> float:
    return next(state.level for state in fleet.entries[name].states(fleet.now))


class TestPublishedTable:
    """The table of the alternatives on the requirements page, with the real modules."""

    def test_even(self) -> None:
        """Guards against rejecting callers because of reports that are half a second old."""
        outcome = demand(QuotaFleet(24, organisations()), 30.0)
        assert outcome.worst <= 1.0
        assert outcome.rejected <= 0.01

    @pytest.mark.parametrize("skewed", [False, True])
    def test_third_partitioned(self, skewed: bool) -> None:
        """Guards against two groups that use the quota twice, or hardly at all."""
        fleet = QuotaFleet(24, organisations())
        third = set(sorted(fleet.names)[1::3])

        def cut(elapsed_s: float) -> None:
            if elapsed_s > 10.0:
                partition(fleet, third)

        outcome = demand(fleet, 30.0, skewed=skewed, on_time=cut)
        assert outcome.worst <= 1.0
        assert outcome.rejected <= 0.05

    def test_cells(self) -> None:
        """Guards against cells that together admit more than the quota, or much less."""
        outcome = demand(QuotaFleet(120, organisations()), 15.0)
        assert outcome.worst <= 1.0
        assert outcome.rejected <= 0.01


class TestFailures:
    """The table of failures on the requirements page."""

    def test_entries_killed_and_restarted(self) -> None:
        """Guards against a restarted entry that grants what was granted before."""
        fleet = QuotaFleet(24, (organisation(),))
        flooded(fleet, 10.0)
        for name in sorted(fleet.names)[:12]:
            fleet.kill(name)
            flooded(fleet, 0.3)
            fleet.start(name)
            flooded(fleet, 0.3)
        flooded(fleet, 8.0)
        assert worst_share(fleet) <= 1.0

    def test_dead_entry_keeps_its_share(self) -> None:
        """Guards against giving the share of an entry that may be partitioned to the others."""
        fleet = QuotaFleet(4, (organisation(),))
        fleet.run_until(fleet.now + 3.0)
        fleet.kill("entry-3")
        fleet.run_until(fleet.now + 3.0)
        assert fleet.entries["entry-0"].dump(fleet.now)["share"] == pytest.approx(0.75)
        fleet.names -= {"entry-3"}
        assert fleet.entries["entry-0"].dump(fleet.now)["share"] == 1.0

    def test_all_entries_killed(self) -> None:
        """Guards against granting the burst again after a restart of everything."""
        fleet = QuotaFleet(24, organisations())
        kills = [4.0, 8.0]

        def kill_all(elapsed_s: float) -> None:
            if kills and elapsed_s >= kills[0]:
                kills.pop(0)
                for name in sorted(fleet.names):
                    fleet.kill(name)
                    fleet.start(name)

        outcome = demand(fleet, 20.0, on_time=kill_all)
        assert not kills
        assert outcome.worst <= 1.0

    def test_all_entries_killed_in_a_flood(self) -> None:
        """The same while all entries get requests at once, together 26 times the rate."""
        fleet = QuotaFleet(24, (organisation(),))
        fleet.run_until(fleet.now + 5.0)
        flooded(fleet, 4.0)
        for name in sorted(fleet.names):
            fleet.kill(name)
        for name in sorted(fleet.names):
            fleet.start(name)
        flooded(fleet, 10.0)
        assert worst_share(fleet) <= 1.0

    def test_two_groups(self) -> None:
        """Guards against a cut, and its end, that let two groups use more than the quota."""
        fleet = QuotaFleet(24, (organisation(),))
        flooded(fleet, 8.0)
        for _ in range(3):
            partition(fleet, set(sorted(fleet.names)[:8]))
            flooded(fleet, 4.0)
            heal(fleet)
            flooded(fleet, 4.0)
        assert worst_share(fleet) <= 1.0

    def test_one_direction_cut(self) -> None:
        """Guards against a cut in one direction that lets both sides use the whole quota."""
        fleet = QuotaFleet(24, (organisation(),))
        group = set(sorted(fleet.names)[:8])
        flooded(fleet, 8.0)
        fleet.reaches = lambda sender, receiver: sender not in group or receiver in group
        flooded(fleet, 12.0)
        assert worst_share(fleet) <= 1.0

    def test_lost_late_and_repeated(self) -> None:
        """Guards against charging a report twice, or not at all after a lost one."""
        fleet = QuotaFleet(8, (organisation(),))
        fleet.repeats, fleet.delay_s = 0.3, (0.001, 0.4)
        sent: Counter[tuple[str, str]] = Counter()

        def reaches(sender: str, receiver: str) -> bool:
            sent[sender, receiver] += 1
            return sent[sender, receiver] % 3 > 0

        fleet.reaches = reaches
        flooded(fleet, 20.0)
        assert worst_share(fleet) <= 1.0

    def test_joining_entry(self) -> None:
        """Guards against an entry that grants more than its share before it is heard."""
        fleet = QuotaFleet(8, (organisation(),))
        flooded(fleet, 8.0)
        fleet.names |= {"entry-8"}
        fleet.start("entry-8")
        flooded(fleet, 8.0)
        assert worst_share(fleet) <= 1.0
        assert fleet.entries["entry-0"].dump(fleet.now)["share"] == 1.0

    def test_entry_that_is_not_listed(self) -> None:
        """Guards against an entry whose use nobody charges because the store does not list it."""
        fleet = QuotaFleet(3, (organisation(),))
        fleet.run_until(fleet.now + 2.0)
        listed = fleet.names
        fleet.names |= {"entry-3"}
        fleet.start("entry-3")
        fleet.run_until(fleet.now + 1.0)
        fleet.names = listed
        fleet.run_until(fleet.now + 1.0)
        assert fleet.entries["entry-0"].dump(fleet.now)["reporting"] == 4
        fleet.request("entry-3", cost=36_000.0)
        fleet.run_until(fleet.now + 0.6)
        assert level(fleet, "entry-0") < 0.7 * 36_000.0

    def test_lowered_limit(self) -> None:
        """Guards against a lowered limit that is not binding one window later."""
        fleet = QuotaFleet(24, (organisation(rate=80_000.0, burst=80_000.0),))
        flooded(fleet, 10.0)
        lowered = organisation(rate=8_000.0, burst=8_000.0)
        fleet.configure(lowered)
        changed_at = fleet.now
        flooded(fleet, 20.0)
        later = [each for each in fleet.admitted["o"] if each.at >= changed_at]
        assert worst_window(later, POLICY.window_s) <= bound(quota_of(lowered))

    def test_raised_limit(self) -> None:
        """Guards against a raised limit that takes effect only later."""
        fleet = QuotaFleet(8, (organisation(rate=8_000.0, burst=8_000.0),))
        flooded(fleet, 10.0)
        fleet.configure(organisation(rate=80_000.0, burst=80_000.0))
        changed_at = fleet.now
        flooded(fleet, 4.0)
        later = sum(each.cost for each in fleet.admitted["o"] if each.at >= changed_at)
        assert later >= 0.8 * 4.0 * 80_000.0


class TestStart:
    def test_within_quota_after_start(self) -> None:
        """Guards against rejecting callers within their quota for long after a restart."""
        fleet = QuotaFleet(24, (organisation(),))
        fleet.run_until(fleet.now + 5.0)
        fleet.kill("entry-0")
        fleet.start("entry-0")
        fleet.run_until(fleet.now + 0.3)
        assert fleet.request("entry-0").admitted

    def test_removed_and_listed_again(self) -> None:
        """Guards against a counter that starts again and looks like a refund to the others."""
        fleet = QuotaFleet(3, (organisation(),))
        flooded(fleet, 3.0)
        for entry in fleet.entries.values():
            entry.configure((), fleet.now)
        fleet.run_until(fleet.now + 0.2)
        fleet.configure(organisation())
        flooded(fleet, 10.0)
        assert worst_share(fleet) <= 1.0


class TestDecisions:
    def test_larger_than_burst(self) -> None:
        """Guards against a request that is rejected forever since it exceeds the burst."""
        fleet = QuotaFleet(3, (organisation(rate=1_000.0, burst=1_000.0),))
        fleet.run_until(fleet.now + 3.0)
        assert fleet.request("entry-0", cost=15_000.0).admitted

    def test_retry_time_is_accurate(self) -> None:
        """Guards against a retry time at which the organisation still has no quota."""
        fleet = QuotaFleet(3, (organisation(rate=1_000.0, burst=20_000.0),))
        fleet.run_until(fleet.now + 25.0)
        while (decision := fleet.request("entry-0")).admitted:
            fleet.run_until(fleet.now + 0.6)
        fleet.run_until(fleet.now + decision.retry_after_s - 0.1)
        assert not fleet.request("entry-0").admitted
        fleet.run_until(fleet.now + 0.2)
        assert fleet.request("entry-0").admitted

    def test_refund_reaches_the_others(self) -> None:
        """Guards against charging what has not run."""
        fleet = QuotaFleet(3, (organisation(),))
        fleet.run_until(fleet.now + 3.0)
        decision = fleet.request("entry-0", cost=30_000.0)
        fleet.run_until(fleet.now + 0.6)
        assert level(fleet, "entry-1") < 36_000.0
        fleet.entries["entry-0"].refund(decision, fleet.now)
        fleet.run_until(fleet.now + 0.6)
        assert level(fleet, "entry-1") == pytest.approx(36_000.0)

    def test_organisation_without_quota(self) -> None:
        """An organisation without a quota is not charged."""
        free = Organisation("free", frozenset())
        entry = QuotaFleet(1, (organisation(),)).entries["entry-0"]
        assert entry.decide(free, 10, 1_000.0) is None

    def test_use_reported_after_a_pause(self) -> None:
        """Guards against a cap on the level that erases use reported after an idle period."""
        fleet = QuotaFleet(2, (organisation(),))
        fleet.run_until(fleet.now + 60.0)
        fleet.request("entry-0", cost=36_000.0)
        fleet.run_until(fleet.now + 0.6)
        assert level(fleet, "entry-1") < 0.7 * 36_000.0


class TestReports:
    def test_own_name_and_other_cells_are_ignored(self) -> None:
        """Guards against charging reports that are not meant for this entry."""
        fleet = QuotaFleet(120, (organisation(),))
        cell = cell_members("entry-0", fleet.names)
        other = next(name for name in sorted(fleet.names) if name not in cell | {"entry-0"})
        report = UsageReport(5, 1, (Usage(1, 2, 2),))
        for sender in ("entry-0", other):
            received = ReceivedReport(sender, "127.0.0.1:1", report)
            assert not fleet.entries["entry-0"].receive(received, fleet.now)

    @pytest.mark.parametrize("count", [1, 24, 48, 49, 155, 930])
    def test_sizes_of_cells(self, count: int) -> None:
        """Guards against cells that are far larger than intended."""
        names = [f"entry-{number}" for number in range(count)]
        sizes = [len(cell_members(name, names)) + 1 for name in names]
        assert max(sizes) <= 1.5 * TARGET_CELL_ENTRIES
        assert count > TARGET_CELL_ENTRIES or set(sizes) == {count}

    def test_report_of_an_earlier_process(self) -> None:
        """Guards against a late datagram of a killed process that counts as a new one."""
        fleet = QuotaFleet(2, (organisation(),))
        fleet.run_until(fleet.now + 1.0)
        entry = fleet.entries["entry-0"]

        def receive(incarnation: int, sequence: int) -> bool:
            report = UsageReport(incarnation, sequence, ())
            return entry.receive(ReceivedReport("entry-1", "a:1", report), fleet.now)

        assert receive(7, 1)
        assert receive(8, 1)
        assert not receive(7, 2)
        assert not receive(8, 1)


class ThreeEntries(RuleBasedStateMachine):
    """Three entries under cuts, kills and changed limits, with more demand than the quota."""

    SIZE = 3
    RATE = 80_000.0

    def __init__(self) -> None:
        super().__init__()
        start = organisation(rate=self.RATE, burst=self.RATE)
        self.fleet = QuotaFleet(self.SIZE, (start,))
        self.cut: set[tuple[str, str]] = set()
        self.fleet.reaches = lambda sender, receiver: (sender, receiver) not in self.cut
        self.limits = [(self.fleet.now, quota_of(start))]

    @rule(number=st.integers(0, SIZE - 1), count=st.integers(1, 30), cost=st.integers(1, 15_000))
    def requests_come(self, number: int, count: int, cost: int) -> None:
        """Callers send requests to one entry at once."""
        name = f"entry-{number}"
        for _ in range(count if name in self.fleet.entries else 0):
            self.fleet.request(name, cost=float(cost))

    @rule(number=st.integers(0, SIZE - 1), is_killed=st.booleans())
    def restart(self, number: int, is_killed: bool) -> None:
        """An entry is killed and restarted, or stays down."""
        name = f"entry-{number}"
        if name in self.fleet.entries:
            self.fleet.kill(name)
        if not is_killed:
            self.fleet.start(name)

    @rule(sender=st.integers(0, SIZE - 1), receiver=st.integers(0, SIZE - 1), both=st.booleans())
    def cut_link(self, sender: int, receiver: int, both: bool) -> None:
        """A link is cut in one direction or in both."""
        self.cut.add((f"entry-{sender}", f"entry-{receiver}"))
        if both:
            self.cut.add((f"entry-{receiver}", f"entry-{sender}"))

    @rule()
    def cut_all_links(self) -> None:
        """No entry receives anything."""
        names = sorted(self.fleet.names)
        self.cut.update((sender, receiver) for sender in names for receiver in names)

    @rule()
    def mend_links(self) -> None:
        """All links work again."""
        self.cut.clear()

    @rule(rate=st.sampled_from([36_000.0, 54_000.0, RATE]))
    def change_limit(self, rate: float) -> None:
        """A configuration changes the limit at all entries."""
        self.fleet.configure(organisation(rate=rate, burst=rate))
        self.limits.append((self.fleet.now, Quota(rate, rate)))

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, SILENCE_S, 4.0]))
    def pass_time(self, seconds: float) -> None:
        """Advance the clock that all entries share."""
        self.fleet.run_until(self.fleet.now + seconds)

    @rule(seconds=st.sampled_from([1.0, 3.0, 6.0]))
    def flood(self, seconds: float) -> None:
        """Callers send more than the quota to all entries for a while."""
        flooded(self.fleet, seconds, cost=13_000.0)

    @invariant()
    def window_is_bounded(self) -> None:
        """The admissions of the last window are within the largest limit in force in it."""
        admissions = self.fleet.admitted["o"]
        if not admissions:
            return
        *_, last = window_sums(admissions, POLICY.window_s)
        assert last <= bound(Quota(*self._largest_limit(admissions[-1].at - POLICY.window_s)))

    def _largest_limit(self, since: float) -> tuple[float, float]:
        latest = max(index for index, (at, _) in enumerate(self.limits) if at <= since or not index)
        rate = max(quota.rate for _, quota in self.limits[latest:])
        return rate, rate


TestThreeEntries = ThreeEntries.TestCase
TestThreeEntries.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
