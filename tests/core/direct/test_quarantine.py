"""Orders that quarantine content or lift its quarantine."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from chivehold.core.direct.crash_keys import CrashKey, KeyKind
from chivehold.core.direct.quarantine import MAX_QUARANTINES, Quarantine, QuarantineList

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

    def test_lifted(self) -> None:
        """The next order lifts it; one that comes late does not bring it back."""
        quarantines = QuarantineList()
        begun = Quarantine(KEY, 1, True, 100.0)
        quarantines.merge(begun, 0.0)
        lifted = Quarantine(KEY, quarantines.next_version(KEY), False, 100.0)
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
