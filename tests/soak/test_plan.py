"""Plans follow from their seeds, and strike every kind of thing."""

from tests.soak.faults import Faults
from tests.soak.plan import (
    ENGINES,
    ON_ENGINES,
    ON_ENTRIES,
    ON_UPSTREAMS,
    PLAIN,
    FaultKind,
    Plan,
    draw_plan,
)

SEEDS = range(100)


def drawn(seed: int) -> Plan:
    return draw_plan(seed, entries=3, load_s=10.0, faults=10)


class TestDrawPlan:
    def test_a_seed_gives_the_same_plan(self) -> None:
        assert drawn(7) == drawn(7)
        assert drawn(7) != drawn(8)

    def test_every_kind_comes(self) -> None:
        assert {fault.kind for seed in SEEDS for fault in drawn(seed).faults} == set(FaultKind)

    def test_every_kind_can_be_carried_out(self) -> None:
        assert set(Faults(None)._kinds) == set(FaultKind)  # type: ignore[arg-type]

    def test_faults_strike_what_they_can(self) -> None:
        for seed in SEEDS:
            plan = drawn(seed)
            for fault in plan.faults:
                if fault.kind in ON_ENTRIES:
                    assert fault.subject in plan.entries
                elif fault.kind in ON_UPSTREAMS:
                    assert fault.subject in PLAIN + ENGINES
                elif fault.kind in ON_ENGINES:
                    assert fault.subject in ENGINES
                else:
                    assert fault.subject == ""

    def test_series_and_overlaps_come(self) -> None:
        plans = [drawn(seed) for seed in SEEDS]
        assert any(fault.times > 1 for plan in plans for fault in plan.faults)
        assert any(
            before.subject == after.subject and after.at_s < before.at_s + before.for_s
            for plan in plans
            for before, after in zip(plan.faults, plan.faults[1:], strict=False)
        )
