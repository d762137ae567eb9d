"""The gate that passes orders to the engine and enforces their fencing numbers."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from chivehold.core.sidecar_messages import OrderEngine, ReplyEngineRead, ReplyOrder
from chivehold.core.wire import EngineOrder, OrderResult

MAX_RESULTS = 256
MAX_WAITING_ORDERS = 64


class _WaitingOrder(NamedTuple):
    reply: int
    order: EngineOrder
    lease_expires_at: float


class OrderGate:
    """Passes one order at a time to the engine, from the newest lease holder only."""

    def __init__(self) -> None:
        self._highest_number = 0
        self._running: EngineOrder | None = None
        self._replies: list[int] = []
        self._waiting: deque[_WaitingOrder] = deque()
        self._results: dict[str, OrderResult] = {}

    @property
    def highest_number(self) -> int:
        """The highest fencing number seen."""
        return self._highest_number

    @property
    def running(self) -> EngineOrder | None:
        """The order that the engine is working on, or ``None``."""
        return self._running

    def submit(
        self, reply: int, order: EngineOrder, now: float
    ) -> Iterator[OrderEngine | ReplyOrder]:
        """Pass an order to the engine, queue or refuse it.

        A repeated operation gets the result of the first one.
        """
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
        if len(self._waiting) >= MAX_WAITING_ORDERS:
            yield ReplyOrder(reply, OrderResult.FAILED)
            return
        self._waiting.append(_WaitingOrder(reply, order, now + order.lease_left_s))
        yield from self._start_next(now)

    def fence(self, reply: int, fencing_number: int) -> ReplyEngineRead:
        """Refuse orders with a lower number from now on; report whether an order is running."""
        newest = fencing_number >= self._highest_number
        self._highest_number = max(self._highest_number, fencing_number)
        return ReplyEngineRead(reply, newest, self._running is not None)

    def complete(
        self, order: EngineOrder, result: OrderResult, now: float
    ) -> Iterator[OrderEngine | ReplyOrder]:
        """Answer the running order with the engine's result and start the next one."""
        running = self._running
        if running is None or running.operation_id != order.operation_id:
            return
        self._remember(order.operation_id, result)
        for reply in self._replies:
            yield ReplyOrder(reply, result)
        self._running = None
        self._replies = []
        yield from self._start_next(now)

    def _start_next(self, now: float) -> Iterator[OrderEngine | ReplyOrder]:
        while self._running is None and self._waiting:
            reply, order, lease_expires_at = self._waiting.popleft()
            result = self._results.get(order.operation_id)
            if result is not None:
                yield ReplyOrder(reply, result)
                continue
            if order.fencing_number < self._highest_number or now >= lease_expires_at:
                yield ReplyOrder(reply, OrderResult.STALE)
                continue
            self._running = order
            self._replies = [reply]
            yield OrderEngine(reply, order)

    def _remember(self, operation_id: str, result: OrderResult) -> None:
        self._results[operation_id] = result
        if len(self._results) > MAX_RESULTS:
            del self._results[next(iter(self._results))]
