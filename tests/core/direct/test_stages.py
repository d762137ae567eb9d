"""How many engines should prefill, and which ones change their stage."""

import pytest

from chivehold.core.direct.messages import Stage
from chivehold.core.direct.stages import (
    SHORTAGE_GRACE_S,
    PrefillSupply,
    StageBalance,
    prefill_engines_wanted,
    stage_changes,
)
from tests.core.direct.factories import upstream

P, D = Stage.PREFILL, Stage.DECODE


class TestWanted:
    @pytest.mark.parametrize(
        ("engines", "wanted"), [(0, 0), (1, 0), (2, 1), (5, 1), (8, 2), (22, 4), (23, 5)]
    )
    def test_one_prefill_per_four_decode(self, engines: int, wanted: int) -> None:
        """A single engine decodes; of two or more, at least one prefills and one decodes."""
        assert prefill_engines_wanted(engines, 4.0) == wanted

    def test_at_least_one_decodes(self) -> None:
        """At least one engine decodes, whatever the ratio."""
        assert prefill_engines_wanted(3, 0.1) == 2


class TestChanges:
    def test_no_change_at_the_wanted_number(self) -> None:
        """No change if the number of prefill engines is the wanted one."""
        engines = [upstream("a", P), upstream("b", D), upstream("c", D)]
        assert list(stage_changes(engines, (), 1, 5)) == []

    def test_surplus_prefill_engines_change(self) -> None:
        """Surplus prefill engines are changed to decode."""
        engines = [upstream(name, P) for name in "abc"] + [upstream("d", D)]
        changes = list(stage_changes(engines, (), 1, 5))
        assert [(change.upstream.name, change.stage) for change in changes] == [("a", D), ("b", D)]

    def test_lost_prefill_engine_is_replaced(self) -> None:
        """A decode engine replaces the only prefill engine after a crash."""
        engines = [upstream(name, D) for name in "abc"]
        (change,) = stage_changes(engines, (), 1, 5)
        assert change.stage is P

    def test_changes_at_once_are_limited(self) -> None:
        """Engines that are already changing count against the limit and get no new order."""
        engines = [upstream(name, P) for name in "abcd"]
        assert len(list(stage_changes(engines, {"a"}, 1, 2))) == 1
        assert list(stage_changes(engines, {"a", "b"}, 1, 2)) == []
        (change,) = stage_changes(engines, {"a"}, 1, 2)
        assert change.upstream.name != "a"

    def test_remaining_engines_are_spread_over_zones(self) -> None:
        """The remaining engines are spread over as many zones as possible."""
        engines = [
            upstream("a", P, zone="x"),
            upstream("b", P, zone="x"),
            upstream("c", P, zone="y"),
            upstream("d", P, zone="z"),
        ]
        changed = {change.upstream.name for change in stage_changes(engines, (), 2, 5)}
        remaining = [engine for engine in engines if engine.name not in changed]
        assert len({engine.zone for engine in remaining}) == 2


class TestBalance:
    """A change costs an engine for seconds, on a fleet of five a fifth of all."""

    SMALL, LARGE = 1, 15

    @pytest.mark.parametrize("wanted", [SMALL, LARGE])
    def test_loss_by_crash_is_waited_for(self, wanted: int) -> None:
        """Engines that vanished are replaced only after the grace time, counted from the loss."""
        balance = StageBalance()
        missing = PrefillSupply(0, 4 * wanted, wanted, is_draining=False, is_in_use=True)
        assert not balance.may_change(missing, 0.0)
        assert not balance.may_change(missing, SHORTAGE_GRACE_S - 0.1)
        assert balance.may_change(missing, SHORTAGE_GRACE_S)

    def test_recovery_ends_the_wait(self) -> None:
        """An engine that came back and is lost again is waited for anew."""
        balance = StageBalance()
        missing = PrefillSupply(0, 4, self.SMALL, is_draining=False, is_in_use=True)
        balance.may_change(missing, 0.0)
        balance.may_change(missing._replace(prefilling=1), 7.0)
        assert not balance.may_change(missing, 9.0)

    @pytest.mark.parametrize("wanted", [SMALL, LARGE])
    def test_final_loss(self, wanted: int) -> None:
        """A draining engine is replaced at once, also after it has left the list."""
        balance = StageBalance()
        draining = PrefillSupply(0, 4 * wanted, wanted, is_draining=True, is_in_use=True)
        assert balance.may_change(draining, 0.0)
        assert balance.may_change(draining._replace(is_draining=False), 1.0)

    def test_drain_of_one_of_many(self) -> None:
        """On a large fleet one draining engine is no shortage."""
        supply = PrefillSupply(self.LARGE - 1, 60, self.LARGE, is_draining=True, is_in_use=True)
        assert not StageBalance().may_change(supply, 0.0)

    def test_surplus(self) -> None:
        """A surplus is removed while nothing runs; in use, one engine more is kept."""
        idle = PrefillSupply(2, 3, self.SMALL, is_draining=False, is_in_use=False)
        assert StageBalance().may_change(idle, 0.0)
        assert not StageBalance().may_change(idle._replace(is_in_use=True), 0.0)
        large = PrefillSupply(self.LARGE + 4, 60, self.LARGE, is_draining=False, is_in_use=True)
        assert StageBalance().may_change(large, 0.0)

    def test_surplus_after_engines_were_lost(self) -> None:
        """Two prefill engines before a single decode engine left are too many, also in use."""
        supply = PrefillSupply(2, 1, self.SMALL, is_draining=False, is_in_use=True)
        assert StageBalance().may_change(supply, 0.0)
        assert StageBalance().may_change(supply._replace(decoding=2), 0.0)
