from dataclasses import dataclass, field

import pytest

from chivehold.core.control import (
    CHECK_EVERY_S,
    UNFENCED_WAIT_S,
    ControlPlan,
    EngineReading,
    Need,
    WantedEngine,
    first_need,
)
from chivehold.core.identity import Role
from chivehold.core.wire import OrderKind, OrderResult

WANTED = WantedEngine("d1", Role.DECODE, "m", ("a", "b"), honours_fencing=True)
READING = EngineReading("s1", 7, "decode", ("m",), ("a", "b"), order_running=False)
EMPTY = READING._replace(models=(), adapters=())
LOAD_MODEL = Need(OrderKind.LOAD_MODEL, "m")


@dataclass
class Planned:
    wanted: WantedEngine = WANTED
    plan: ControlPlan = field(default_factory=ControlPlan)

    def __post_init__(self) -> None:
        self.plan.declare([self.wanted])
        self.plan.hold(7, 0.0)

    def decide(self, reading: EngineReading, now: float = 0.0):
        return self.plan.decide("d1", reading, now)


class TestFirstNeed:
    @pytest.mark.parametrize(
        ("reading", "need"),
        [
            (READING, None),
            (EMPTY._replace(role="prefill"), Need(OrderKind.SET_ROLE, "decode")),
            (EMPTY, LOAD_MODEL),
            (READING._replace(adapters=("a",)), Need(OrderKind.LOAD_ADAPTER, "b")),
            (READING._replace(models=("old", "m")), None),
        ],
    )
    def test_one_thing_at_a_time(self, reading: EngineReading, need: Need | None) -> None:
        """The role comes first, then the model, then each adapter; what is there is left alone."""
        assert first_need(WANTED, reading) == need


class TestControlPlan:
    def test_orders_nothing_while_another_order_runs_or_unread(self) -> None:
        """No order follows a reading with an order at the engine, or under an older number."""
        planned = Planned()
        assert planned.decide(EMPTY._replace(order_running=True)) is None
        assert planned.decide(EMPTY._replace(fencing_number=6)) is None
        order = planned.decide(EMPTY)
        assert (order.need, order.fencing_number, order.incarnation) == (LOAD_MODEL, 7, "s1")

    def test_unfenced_engine_waits_out_earlier_leases(self) -> None:
        """An engine that ignores fencing takes no order until an earlier lease must have ended."""
        planned = Planned(WANTED._replace(honours_fencing=False))
        assert planned.decide(EMPTY, UNFENCED_WAIT_S - 0.1) is None
        assert planned.decide(EMPTY, UNFENCED_WAIT_S) is not None
        planned.plan.hold(9, 20.0)
        assert planned.decide(EMPTY._replace(fencing_number=9), 20.1) is None

    def test_unsure_order_keeps_its_operation(self) -> None:
        """An order whose answer was lost is repeated under its id; any other has a new one."""
        planned = Planned()
        first = planned.decide(EMPTY)
        planned.plan.settle(first, OrderResult.UNSURE, 0.0)
        again = planned.decide(EMPTY)
        planned.plan.settle(again, OrderResult.FAILED, 0.0)
        other = planned.decide(EMPTY)
        assert again == first
        assert other.operation_id != first.operation_id

    def test_each_engine_has_its_turn(self) -> None:
        """One reading at a time per engine, not too often, and changed engines first."""
        planned = Planned()
        plan = planned.plan
        plan.declare([WANTED, WANTED._replace(name="d2")])
        assert [plan.next_to_read(0.0) for _ in range(3)] == ["d2", "d1", None]
        plan.release("d1")
        assert plan.next_to_read(CHECK_EVERY_S - 0.1) is None
        assert plan.next_to_read(CHECK_EVERY_S) == "d1"
        plan.release("d1")
        plan.declare([WANTED._replace(model="n"), WANTED._replace(name="d2")])
        assert plan.next_to_read(CHECK_EVERY_S) == "d1"
