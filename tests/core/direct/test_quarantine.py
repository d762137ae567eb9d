"""Orders that quarantine content or lift its quarantine."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from chivehold.core.direct.crash_keys import CrashKey, KeyKind
from chivehold.core.direct.quarantine import (
    MAX_QUARANTINES,
    MAX_TRIALS,
    MIN_RETRY_S,
    Quarantine,
    QuarantineList,
)

KEY = CrashKey(KeyKind.PROMPT_PART, "bad")
OTHER = CrashKey(KeyKind.PROMPT_PART, "other")

orders = st.builds(
    Quarantine,
    key=st.sampled_from([KEY, OTHER]),
    version=st.integers(1, 3),
    is_active=st.booleans(),
    until=st.just(100.0),
)


class TestQuarantineList:
    def test_finds_by_any_key(self) -> None:
        """A request is refused if one of its keys is quarantined."""
        quarantines = QuarantineList()
        assert quarantines.find((KEY, OTHER), 0.0) is None
        assert quarantines.merge(Quarantine(KEY, 1, True, 100.0), 0.0)
        assert quarantines.find((OTHER, KEY), 0.0) == Quarantine(KEY, 1, True, 100.0)
        assert quarantines.find((OTHER,), 0.0) is None

    def test_ends_by_itself(self) -> None:
        """A quarantine is over at its time."""
        quarantines = QuarantineList()
        quarantines.merge(Quarantine(KEY, 1, True, 100.0), 0.0)
        assert quarantines.find((KEY,), 100.0) is None
        assert list(quarantines.orders(100.0)) == []

    def test_trials_are_few_and_far_between(self) -> None:
        """Each trial is due later than the one before, and after the last there is none."""
        order = Quarantine(KEY, 1, True, 5_000.0, 0, 120.0)
        assert not order.is_trial_due(119.0)
        assert order.is_trial_due(120.0)
        tried = order.claim_trial(120.0, 120.0)
        assert tried == Quarantine(KEY, 2, True, 5_000.0, 1, 600.0)
        assert tried.claim_trial(120.0, 600.0) == Quarantine(KEY, 3, True, 5_000.0, 2, None)

    # Guards against trials that start anew when bad content is quarantined a second time.
    def test_trials_count_on(self) -> None:
        """A quarantine that is lifted and begins again leaves no more trials than before."""
        quarantines = QuarantineList()
        quarantines.merge(Quarantine(KEY, 2, True, 100.0, 1, 50.0), 0.0)
        quarantines.merge(quarantines.next_order(KEY, False, 100.0, None), 0.0)
        assert quarantines.next_order(KEY, True, 100.0, 30.0).claim_trial(1.0, 30.0) == Quarantine(
            KEY, 5, True, 100.0, MAX_TRIALS, None
        )

    # Guards against callers who are told to come back at once while a trial cannot be made.
    def test_time_to_come_back(self) -> None:
        """A caller is told when it may be served at the earliest, and never to come at once."""
        assert Quarantine(KEY, 1, True, 100.0).retry_after_s(40.0) == 60.0
        assert Quarantine(KEY, 1, True, 100.0, 0, 50.0).retry_after_s(40.0) == 10.0
        assert Quarantine(KEY, 1, True, 100.0, 0, 50.0).retry_after_s(60.0) == MIN_RETRY_S

    # Guards against entries that never agree on whether content may be tried again.
    def test_orders_of_one_number_that_differ_in_trials(self) -> None:
        """An operator's order and a trial, given at the same moment, end the same everywhere."""
        tried = Quarantine(KEY, 2, True, 100.0, 1, 50.0)
        operators = Quarantine(KEY, 2, True, 100.0, 0, None)
        untried = Quarantine(KEY, 2, True, 100.0, 0, 50.0)
        for orders in itertools.permutations((tried, operators, untried)):
            quarantines = QuarantineList()
            for order in orders:
                quarantines.merge(order, 0.0)
            assert quarantines.known(KEY) == tried
        for orders in itertools.permutations((operators, untried)):
            quarantines = QuarantineList()
            for order in orders:
                quarantines.merge(order, 0.0)
            assert quarantines.known(KEY) == operators

    def test_lifted(self) -> None:
        """The next order lifts it; one that comes late does not bring it back."""
        quarantines = QuarantineList()
        begun = Quarantine(KEY, 1, True, 100.0)
        quarantines.merge(begun, 0.0)
        lifted = quarantines.next_order(KEY, False, 100.0, None)
        assert quarantines.merge(lifted, 0.0)
        assert not quarantines.merge(begun, 0.0)
        assert quarantines.find((KEY,), 0.0) is None

    @given(st.lists(orders, max_size=6))
    def test_all_orders_of_arrival_agree(self, told: list[Quarantine]) -> None:
        """Entries that learn the same orders in other sequences refuse the same."""
        results = set()
        for sequence in itertools.islice(itertools.permutations(told), 24):
            quarantines = QuarantineList()
            for order in [*sequence, *sequence]:
                quarantines.merge(order, 0.0)
            results.add(quarantines.active_keys(0.0))
        assert len(results) == 1

    def test_is_bounded(self) -> None:
        """Those that end first are dropped first."""
        quarantines = QuarantineList()
        for number in range(MAX_QUARANTINES + 5):
            key = CrashKey(KeyKind.REQUEST, f"{number}")
            quarantines.merge(Quarantine(key, 1, True, 100.0 + number), 0.0)
        assert len(quarantines.active_keys(0.0)) == MAX_QUARANTINES
        assert CrashKey(KeyKind.REQUEST, "0") not in quarantines.active_keys(0.0)
