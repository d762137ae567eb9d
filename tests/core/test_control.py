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
class Scenario:
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
    def test_returns_one_change_at_a_time(
        self, reading: EngineReading, change: RequiredChange | None
    ) -> None:
        """The role comes first, then the model, then each adapter; what is loaded stays."""
        assert first_required_change(DECLARED, reading) == change


class TestEngineReconciler:
    def test_orders_nothing_while_busy_or_from_an_old_reading(self) -> None:
        """A reading leads to no order if an order is running or its fencing number is old."""
        scenario = Scenario()
        assert scenario.next_order(EMPTY._replace(order_running=True)) is None
        assert scenario.next_order(EMPTY._replace(fencing_number=6)) is None
        order = scenario.next_order(EMPTY)
        assert (order.change, order.fencing_number, order.incarnation) == (LOAD_MODEL, 7, "s1")

    def test_unfenced_engine_waits_out_earlier_leases(self) -> None:
        """An engine that ignores fencing gets no order until any earlier lease must have ended."""
        scenario = Scenario(DECLARED._replace(honours_fencing=False))
        assert scenario.next_order(EMPTY, UNFENCED_WAIT_S - 0.1) is None
        assert scenario.next_order(EMPTY, UNFENCED_WAIT_S) is not None
        scenario.reconciler.use_lease(9, 20.0)
        assert scenario.next_order(EMPTY._replace(fencing_number=9), 20.1) is None

    def test_unsure_order_keeps_its_operation_id(self) -> None:
        """An order whose answer was lost is repeated with its id; any other gets a new id."""
        scenario = Scenario()
        first = scenario.next_order(EMPTY)
        scenario.reconciler.record_result(first, OrderResult.UNSURE, 0.0)
        again = scenario.next_order(EMPTY)
        scenario.reconciler.record_result(again, OrderResult.FAILED, 0.0)
        other = scenario.next_order(EMPTY)
        assert again == first
        assert other.operation_id != first.operation_id

    def test_reads_engines_in_turn(self) -> None:
        """Engines are read one reading at a time, not too often, and changed ones first."""
        scenario = Scenario()
        reconciler = scenario.reconciler
        reconciler.set_declared([DECLARED, DECLARED._replace(name="d2")])
        assert [reconciler.next_to_read(0.0) for _ in range(3)] == ["d2", "d1", None]
        reconciler.mark_idle("d1")
        assert reconciler.next_to_read(MIN_READ_INTERVAL_S - 0.1) is None
        assert reconciler.next_to_read(MIN_READ_INTERVAL_S) == "d1"
        reconciler.mark_idle("d1")
        reconciler.set_declared([DECLARED._replace(model="n"), DECLARED._replace(name="d2")])
        assert reconciler.next_to_read(MIN_READ_INTERVAL_S) == "d1"
