from dataclasses import dataclass, field

import pytest

from chivehold.core.control import (
    MIN_READ_INTERVAL_S,
    UNFENCED_WAIT_S,
    DeclaredEngine,
    EngineReading,
    EngineReconciler,
    RequiredChange,
    first_required_change,
)
from chivehold.core.identity import Role
from chivehold.core.wire import OrderKind, OrderResult

DECLARED = DeclaredEngine("d1", Role.DECODE, "m", ("a", "b"), honours_fencing=True)
READING = EngineReading("s1", 7, "decode", ("m",), ("a", "b"), order_running=False)
EMPTY = READING._replace(models=(), adapters=())
LOAD_MODEL = RequiredChange(OrderKind.LOAD_MODEL, "m")


@dataclass
class Reconciling:
    declared: DeclaredEngine = DECLARED
    reconciler: EngineReconciler = field(default_factory=EngineReconciler)

    def __post_init__(self) -> None:
        self.reconciler.set_declared([self.declared])
        self.reconciler.use_lease(7, 0.0)

    def next_order(self, reading: EngineReading, now: float = 0.0):
        return self.reconciler.next_order("d1", reading, now)


class TestFirstRequiredChange:
    @pytest.mark.parametrize(
        ("reading", "change"),
        [
            (READING, None),
            (EMPTY._replace(role="prefill"), RequiredChange(OrderKind.SET_ROLE, "decode")),
            (EMPTY, LOAD_MODEL),
            (READING._replace(adapters=("a",)), RequiredChange(OrderKind.LOAD_ADAPTER, "b")),
            (READING._replace(models=("old", "m")), None),
        ],
    )
    def test_one_thing_at_a_time(
        self, reading: EngineReading, change: RequiredChange | None
    ) -> None:
        """The role comes first, then the model, then each adapter; what is there is left alone."""
        assert first_required_change(DECLARED, reading) == change


class TestEngineReconciler:
    def test_orders_nothing_while_another_order_runs_or_unread(self) -> None:
        """No order follows a reading with an order at the engine, or under an older number."""
        reconciling = Reconciling()
        assert reconciling.next_order(EMPTY._replace(order_running=True)) is None
        assert reconciling.next_order(EMPTY._replace(fencing_number=6)) is None
        order = reconciling.next_order(EMPTY)
        assert (order.change, order.fencing_number, order.incarnation) == (LOAD_MODEL, 7, "s1")

    def test_unfenced_engine_waits_out_earlier_leases(self) -> None:
        """An engine that ignores fencing takes no order until an earlier lease must have ended."""
        reconciling = Reconciling(DECLARED._replace(honours_fencing=False))
        assert reconciling.next_order(EMPTY, UNFENCED_WAIT_S - 0.1) is None
        assert reconciling.next_order(EMPTY, UNFENCED_WAIT_S) is not None
        reconciling.reconciler.use_lease(9, 20.0)
        assert reconciling.next_order(EMPTY._replace(fencing_number=9), 20.1) is None

    def test_unsure_order_keeps_its_operation(self) -> None:
        """An order whose answer was lost is repeated under its id; any other has a new one."""
        reconciling = Reconciling()
        first = reconciling.next_order(EMPTY)
        reconciling.reconciler.record_result(first, OrderResult.UNSURE, 0.0)
        again = reconciling.next_order(EMPTY)
        reconciling.reconciler.record_result(again, OrderResult.FAILED, 0.0)
        other = reconciling.next_order(EMPTY)
        assert again == first
        assert other.operation_id != first.operation_id

    def test_each_engine_has_its_turn(self) -> None:
        """One reading at a time per engine, not too often, and changed engines first."""
        reconciling = Reconciling()
        reconciler = reconciling.reconciler
        reconciler.set_declared([DECLARED, DECLARED._replace(name="d2")])
        assert [reconciler.next_to_read(0.0) for _ in range(3)] == ["d2", "d1", None]
        reconciler.mark_idle("d1")
        assert reconciler.next_to_read(MIN_READ_INTERVAL_S - 0.1) is None
        assert reconciler.next_to_read(MIN_READ_INTERVAL_S) == "d1"
        reconciler.mark_idle("d1")
        reconciler.set_declared([DECLARED._replace(model="n"), DECLARED._replace(name="d2")])
        assert reconciler.next_to_read(MIN_READ_INTERVAL_S) == "d1"
