"""Sends orders to engines while this entry holds the control lease."""

import logging
from typing import Protocol

import trio

from chivehold.core.control import EngineReading, EngineReconciler, PlannedOrder, declared_engines
from chivehold.core.control_lease import HeldLease
from chivehold.core.declared import Declarations
from chivehold.core.identity import UpstreamName
from chivehold.core.wire import EngineOrder, OrderResult
from chivehold.exceptions import Malformed
from chivehold.logs import log_event
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.errors import RpcFailed

READ_PAUSE_S = 0.05
IDLE_PAUSE_S = 0.5
MAX_CONCURRENT_ORDERS = 4

_log = logging.getLogger(__name__)


class ControlLease(Protocol):
    """The lease whose holder may send orders to engines."""

    def current(self) -> HeldLease | None:
        """Return the lease, or ``None`` if it is not held now."""
        ...


class EngineCalls(Protocol):
    """The calls to sidecars that ``EngineController`` needs."""

    async def read_engine(
        self, upstream: UpstreamName, fencing_number: int
    ) -> pb.ReadEngineResponse:
        """Read what an engine has loaded."""
        ...

    async def order(self, upstream: UpstreamName, order: EngineOrder) -> OrderResult:
        """Send an order."""
        ...


class EngineController:
    """Keeps engines in their declared state while the lease is held.

    Args:
        lease: Checked right before each order.
        calls: Reads engines and sends them orders, through their sidecars.
    """

    def __init__(self, lease: ControlLease, calls: EngineCalls) -> None:
        self._lease = lease
        self._calls = calls
        self._reconciler = EngineReconciler()

    def update_declarations(self, declarations: Declarations) -> None:
        """Replace the declarations by newer ones."""
        self._reconciler.set_declared(declared_engines(declarations))

    def dump(self) -> dict[str, object]:
        """Return the state in types that JSON can encode."""
        held = self._lease.current()
        return {
            "fencing_number": held.fencing_number if held else 0,
            "busy_with": sorted(self._reconciler.busy),
        }

    async def run(self) -> None:
        """Read the engines and order the changes that they need, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                engine = self._next_engine()
                if engine is not None:
                    nursery.start_soon(self._reconcile, engine, self._reconciler.fencing_number)
                await trio.sleep(READ_PAUSE_S if engine else IDLE_PAUSE_S)

    def _next_engine(self) -> UpstreamName | None:
        held = self._lease.current()
        # The weight store is rate-limited, so only a few engines may load at once.
        if held is None or len(self._reconciler.busy) >= MAX_CONCURRENT_ORDERS:
            return None
        now = trio.current_time()
        self._reconciler.use_lease(held.fencing_number, now)
        return self._reconciler.next_to_read(now)

    async def _reconcile(self, engine: UpstreamName, fencing_number: int) -> None:
        try:
            message = await self._calls.read_engine(engine, fencing_number)
            reading = _reading_from_proto(message, fencing_number)
            order = self._reconciler.next_order(engine, reading, trio.current_time())
            if order is not None:
                await self._send_order(order)
        except (RpcFailed, Malformed) as error:
            log_event(_log, logging.INFO, "engine not read", peer=engine, detail=str(error))
        finally:
            self._reconciler.mark_idle(engine)

    async def _send_order(self, order: PlannedOrder) -> None:
        held = self._lease.current()
        if held is None or held.fencing_number != order.fencing_number:
            log_event(_log, logging.WARNING, "order given up: lease lapsed", peer=order.engine)
            return
        message = EngineOrder(
            fencing_number=order.fencing_number,
            operation_id=order.operation_id,
            kind=order.change.kind,
            argument=order.change.argument,
            lease_left_s=held.left_s,
            incarnation=order.incarnation,
        )
        result = await self._calls.order(order.engine, message)
        self._reconciler.record_result(order, result, trio.current_time())
        log_event(
            _log,
            logging.INFO,
            "order given",
            peer=order.engine,
            outcome=result,
            detail=f"{order.change.kind} {order.change.argument}",
        )


def _reading_from_proto(message: pb.ReadEngineResponse, fencing_number: int) -> EngineReading:
    return EngineReading(
        incarnation=message.incarnation,
        fencing_number=fencing_number,
        role=message.role,
        models=tuple(message.models),
        adapters=tuple(message.adapters),
        order_running=message.order_running,
    )
