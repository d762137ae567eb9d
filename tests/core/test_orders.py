from chivehold.core.orders import OrderGate
from chivehold.core.sidecar_messages import OrderEngine, ReplyOrder
from chivehold.core.wire import EngineOrder, OrderKind, OrderResult

DONE, STALE = OrderResult.DONE, OrderResult.STALE


def order(number: int, operation: str, lease_left_s: float = 5.0) -> EngineOrder:
    return EngineOrder(number, operation, OrderKind.LOAD_MODEL, "m", lease_left_s)


class TestOrderGate:
    def test_refuses_an_old_holder(self) -> None:
        """An order with an old fencing number or a lapsed lease never reaches the engine."""
        gate = OrderGate()
        assert list(gate.submit(1, order(5, "a"), 0.0)) == [OrderEngine(1, order(5, "a"))]
        assert list(gate.submit(2, order(4, "b"), 0.0)) == [ReplyOrder(2, STALE)]
        assert list(gate.submit(3, order(6, "c", 0.0), 0.0)) == [ReplyOrder(3, STALE)]
        assert gate.highest_number == 5

    def test_passes_one_order_at_a_time(self) -> None:
        """The next order starts when the running one ends, if its holder is still the newest."""
        gate = OrderGate()
        first, old, lapsed, newest = order(1, "a"), order(1, "b"), order(2, "c", 1.0), order(2, "d")
        list(gate.submit(1, first, 0.0))
        for reply, waiting in enumerate((old, lapsed, newest), 2):
            assert not list(gate.submit(reply, waiting, 0.0))
        assert list(gate.complete(first, DONE, 2.0)) == [
            ReplyOrder(1, DONE),
            ReplyOrder(2, STALE),
            ReplyOrder(3, STALE),
            OrderEngine(4, newest),
        ]

    def test_runs_an_operation_once(self) -> None:
        """A repeated operation id gets the result of the first one, during and after its run."""
        gate = OrderGate()
        list(gate.submit(1, order(1, "a"), 0.0))
        assert not list(gate.submit(2, order(1, "a"), 0.0))
        assert list(gate.complete(order(1, "a"), DONE, 1.0)) == [
            ReplyOrder(1, DONE),
            ReplyOrder(2, DONE),
        ]
        assert list(gate.submit(3, order(1, "a"), 9.0)) == [ReplyOrder(3, DONE)]
