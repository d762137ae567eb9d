"""The gate through which orders reach the engine, in the order of their fencing numbers."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from chivehold.core.sidecar_messages import OrderEngine, ReplyEngineRead, ReplyOrder
from chivehold.core.wire import EngineOrder, OrderResult

RESULTS_KEPT = 256
ORDERS_WAITING_MOST = 64


class _Waiting(NamedTuple):
    reply: int
    order: EngineOrder
    lease_until: float


class OrderGate:
    """Passes one order at a time to the engine, from the newest lease holder only."""

    def __init__(self) -> None:
        self._highest_number = 0
        self._running: EngineOrder | None = None
        self._replies: list[int] = []
        self._waiting: deque[_Waiting] = deque()
        self._results: dict[str, OrderResult] = {}

    @property
    def highest_number(self) -> int:
        """The highest fencing number seen."""
        return self._highest_number

    @property
    def running(self) -> EngineOrder | None:
        """The order at the engine, or ``None``."""
        return self._running

    def arrive(
        self, reply: int, order: EngineOrder, now: float
    ) -> Iterator[OrderEngine | ReplyOrder]:
        """Take an order; a repeated operation gets the first one's result."""
        result = self._results.get(order.operation_id)
        if result is not None:
            yield ReplyOrder(reply, result)
            return
        if self._running is not None and self._running.operation_id == order.operation_id:
            self._replies.append(reply)
            return
        if order.fencing_number < self._highest_number or order.lease_left_s <= 0:
            yield ReplyOrder(reply, OrderResult.STALE)
            return
        self._highest_number = order.fencing_number
        if len(self._waiting) >= ORDERS_WAITING_MOST:
            yield ReplyOrder(reply, OrderResult.FAILED)
            return
        self._waiting.append(_Waiting(reply, order, now + order.lease_left_s))
        yield from self._start_next(now)

    def read(self, reply: int, fencing_number: int) -> ReplyEngineRead:
        """Bar all orders with a lower number; tell whether one is still at the engine."""
        newest = fencing_number >= self._highest_number
        self._highest_number = max(self._highest_number, fencing_number)
        return ReplyEngineRead(reply, newest, self._running is not None)

    def settle(
        self, order: EngineOrder, result: OrderResult, now: float
    ) -> Iterator[OrderEngine | ReplyOrder]:
        """Take the engine's answer and pass the next order on."""
        running = self._running
        if running is None or running.operation_id != order.operation_id:
            return
        self._keep(order.operation_id, result)
        for reply in self._replies:
            yield ReplyOrder(reply, result)
        self._running = None
        self._replies = []
        yield from self._start_next(now)

    def _start_next(self, now: float) -> Iterator[OrderEngine | ReplyOrder]:
        while self._running is None and self._waiting:
            reply, order, lease_until = self._waiting.popleft()
            result = self._results.get(order.operation_id)
            if result is not None:
                yield ReplyOrder(reply, result)
                continue
            if order.fencing_number < self._highest_number or now >= lease_until:
                yield ReplyOrder(reply, OrderResult.STALE)
                continue
            self._running = order
            self._replies = [reply]
            yield OrderEngine(reply, order)

    def _keep(self, operation_id: str, result: OrderResult) -> None:
        self._results[operation_id] = result
        if len(self._results) > RESULTS_KEPT:
            del self._results[next(iter(self._results))]
