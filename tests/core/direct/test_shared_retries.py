"""The retries of all entries together stay within one limit, even across restarts."""

from collections import deque

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chivehold.core.direct.shared_retries import SharedRetryBudget

SHARE, EXTRA, WINDOW_S, ENTRIES = 0.2, 54.0, 10.0, 8


def entry(started_at: float = -WINDOW_S) -> SharedRetryBudget:
    return SharedRetryBudget(SHARE, EXTRA, WINDOW_S, ENTRIES, started_at)


class TestOneEntry:
    def test_extra_is_divided(self) -> None:
        """An entry without requests may spend exactly its equal part of the extra."""
        budget = entry()
        assert sum(budget.try_spend("s", 0.0) for _ in range(100)) == int(EXTRA / ENTRIES)

    def test_share_of_own_requests(self) -> None:
        """An entry may also spend half the share of the requests that it has received."""
        budget = entry()
        for _ in range(100):
            budget.count_request("s", 0.0)
        assert sum(budget.try_spend("s", 0.0) for _ in range(100)) == 10 + int(EXTRA / ENTRIES)

    def test_services_do_not_share(self) -> None:
        """A failing service does not use up the budget of another."""
        budget = entry()
        while budget.try_spend("failing", 0.0):
            pass
        assert budget.try_spend("sound", 0.0)

    def test_charged(self) -> None:
        """A retry that was charged leaves one less; charges may exceed the budget."""
        budget = entry()
        for _ in range(3):
            budget.charge("s", 0.0)
        assert sum(budget.try_spend("s", 0.0) for _ in range(100)) == int(EXTRA / ENTRIES) - 3
        budget.charge("s", 0.0)
        assert not budget.try_spend("s", 0.0)

    def test_reconfigured(self) -> None:
        """Changed limits also apply to existing budgets."""
        budget = entry()
        budget.try_spend("s", 0.0)
        budget.configure(SHARE, EXTRA, entries=54)
        assert not budget.try_spend("s", 0.0)

    def test_new_process_has_no_extra(self) -> None:
        """A new process gets no extra for one window: its predecessor may have spent it."""
        budget = entry(started_at=100.0)
        assert not budget.try_spend("s", 100.0)
        for _ in range(100):
            budget.count_request("s", 105.0)
        assert sum(budget.try_spend("s", 105.0) for _ in range(100)) == 10
        assert sum(budget.try_spend("t", 110.0) for _ in range(100)) == int(EXTRA / ENTRIES)


class TestBusyOneAfterTheOther:
    def test_bursts_at_two_entries(self) -> None:
        """Two entries with a burst each, a window apart, stay within the limit together."""
        first, second = entry(), entry()
        for _ in range(100):
            first.count_request("s", 0.0)
        spent = sum(first.try_spend("s", 9.0) for _ in range(100))
        for _ in range(100):
            second.count_request("s", 11.0)
        spent += sum(second.try_spend("s", 18.0) for _ in range(100))
        assert spent <= SHARE * 100 + EXTRA * 2 / ENTRIES


class ManyEntries(RuleBasedStateMachine):
    """Entries on one clock that are killed, restarted and retry as often as their budgets allow.

    There are few entries and a small extra, so that a few steps are enough to use it up.
    """

    ENTRIES = 3
    EXTRA = 6.0

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.entries = [self.entry(-WINDOW_S) for _ in range(self.ENTRIES)]
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def entry(self, started_at: float) -> SharedRetryBudget:
        return SharedRetryBudget(SHARE, self.EXTRA, WINDOW_S, self.ENTRIES, started_at)

    @rule(index=st.integers(0, ENTRIES - 1), count=st.integers(1, 40))
    def requests_come(self, index: int, count: int) -> None:
        """Callers send requests to one entry."""
        for _ in range(count):
            self.entries[index].count_request("s", self.now)
            self.requests.append(self.now)

    @rule(index=st.integers(0, ENTRIES - 1), count=st.integers(1, 30))
    def repeat(self, index: int, count: int) -> None:
        """One entry makes as many of ``count`` retries as its budget allows."""
        for _ in range(count):
            if self.entries[index].try_spend("s", self.now):
                self.repeats.append(self.now)

    @rule(index=st.integers(0, ENTRIES - 1))
    def restart(self, index: int) -> None:
        """One entry is killed and restarted without its former state."""
        self.entries[index] = self.entry(self.now)

    @rule(seconds=st.floats(0.1, 6.0))
    def pass_time(self, seconds: float) -> None:
        """Advance the clock that all entries share."""
        self.now += seconds

    @invariant()
    def sum_is_bounded(self) -> None:
        """The retries in any window stay within the share of the requests plus the extra.

        The requests are those of this window, of the one before it or of the one halfway between,
        whichever has the most: a retry may follow its request by most of a window.
        """
        repeats = self._within(self.repeats, self.now)
        ends = (self.now, self.now - WINDOW_S / 2, self.now - WINDOW_S)
        requests = max(self._within(self.requests, end) for end in ends)
        assert repeats <= SHARE * requests + self.EXTRA

    @staticmethod
    def _within(times: deque[float], end: float) -> int:
        return sum(end - WINDOW_S < at <= end for at in times)


TestManyEntries = ManyEntries.TestCase
TestManyEntries.settings = settings(max_examples=150, stateful_step_count=30, derandomize=True)
