"""Reconciles engines with the declarations: decides which orders each engine needs.

The holder of the control lease reads the engines in turn and orders one change at a time: the role,
then the model, then each adapter. It orders only what a reading has shown to be missing.

An engine that ignores fencing numbers gets no orders until the holder has held the lease for as
long as any earlier holder's lease could last.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from chivehold.core.control_lease import PAUSE_MARGIN_S, SUCCESSOR_MARGIN_S, TERM_S
from chivehold.core.declared import Declarations, Upstream
from chivehold.core.identity import Role, UpstreamName
from chivehold.core.wire import OrderKind, OrderResult

MIN_READ_INTERVAL_S = 5.0
"""Shortest time between two readings of one engine."""
UNFENCED_WAIT_S = TERM_S + PAUSE_MARGIN_S + SUCCESSOR_MARGIN_S
"""An engine that ignores fencing numbers gets no orders until the lease has been held this long."""


class DeclaredEngine(NamedTuple):
    """The declared state of one engine."""

    name: UpstreamName
    role: Role
    model: str
    adapters: tuple[str, ...]
    honours_fencing: bool


class EngineReading(NamedTuple):
    """The state of an engine, as read through its sidecar."""

    incarnation: str
    fencing_number: int
    """The fencing number of the lease under which it was read."""
    role: str
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    order_running: bool
    """Whether the engine still works on an earlier order."""


class RequiredChange(NamedTuple):
    """The next change that an engine needs to match its declaration."""

    kind: OrderKind
    argument: str


class PlannedOrder(NamedTuple):
    """An order to send under the lease with this fencing number."""

    engine: UpstreamName
    change: RequiredChange
    operation_id: str
    fencing_number: int
    incarnation: str


def declared_engines(declarations: Declarations) -> Iterator[DeclaredEngine]:
    """Yield every declared engine."""
    for deployment in declarations.deployments:
        for upstream in (*deployment.prefill, *deployment.decode):
            yield _declared_engine(upstream, deployment.model, deployment.adapters)


def first_required_change(
    declared: DeclaredEngine, reading: EngineReading
) -> RequiredChange | None:
    """Return the first change that an engine needs; ``None`` if it matches its declaration."""
    if reading.role != declared.role:
        return RequiredChange(OrderKind.SET_ROLE, declared.role)
    if declared.model not in reading.models:
        return RequiredChange(OrderKind.LOAD_MODEL, declared.model)
    missing = (adapter for adapter in declared.adapters if adapter not in reading.adapters)
    return next((RequiredChange(OrderKind.LOAD_ADAPTER, adapter) for adapter in missing), None)


class EngineReconciler:
    """Decides which engine to read next and which order to send it; times are in seconds."""

    def __init__(self) -> None:
        self._declared: dict[UpstreamName, DeclaredEngine] = {}
        self._read_queue: deque[UpstreamName] = deque()
        self._read_due_at: dict[UpstreamName, float] = {}
        self._busy: set[UpstreamName] = set()
        self._unsure_operations: dict[tuple[UpstreamName, RequiredChange], str] = {}
        self._fencing_number = 0
        self._held_since = 0.0
        self._order_count = 0

    @property
    def fencing_number(self) -> int:
        """The fencing number of the latest lease; 0 before the first."""
        return self._fencing_number

    @property
    def busy(self) -> frozenset[UpstreamName]:
        """Engines with a reading or an order in progress."""
        return frozenset(self._busy)

    def set_declared(self, declared: Iterable[DeclaredEngine]) -> None:
        """Replace the declared engines; new and changed ones are read first."""
        before, self._declared = self._declared, {engine.name: engine for engine in declared}
        changed = [name for name, engine in self._declared.items() if before.get(name) != engine]
        unchanged = [
            name for name in self._read_queue if name in self._declared and name not in changed
        ]
        self._read_queue = deque((*changed, *unchanged))
        self._read_due_at = {
            name: self._read_due_at[name] for name in unchanged if name in self._read_due_at
        }

    def use_lease(self, fencing_number: int, now: float) -> None:
        """Act under the lease with this fencing number.

        A new number makes a reading of every engine due and discards the unsure operations.
        """
        if fencing_number == self._fencing_number:
            return
        self._fencing_number = fencing_number
        self._held_since = now
        self._read_due_at.clear()
        self._unsure_operations.clear()

    def next_to_read(self, now: float) -> UpstreamName | None:
        """Return the next engine to read and mark it as busy; ``None`` if none is due."""
        for name in self._read_queue:
            if name not in self._busy and self._read_due_at.get(name, now) <= now:
                self._read_queue.remove(name)
                self._read_queue.append(name)
                self._read_due_at[name] = now + MIN_READ_INTERVAL_S
                self._busy.add(name)
                return name
        return None

    def next_order(
        self, name: UpstreamName, reading: EngineReading, now: float
    ) -> PlannedOrder | None:
        """Return the next order after a reading; ``None`` if none is needed or may be sent yet."""
        declared = self._declared.get(name)
        if reading.fencing_number != self._fencing_number or reading.order_running:
            return None
        if declared is None or self._must_wait(declared, now):
            return None
        change = first_required_change(declared, reading)
        if change is None:
            return None
        operation_id = self._unsure_operations.get((name, change)) or self._new_operation_id()
        return PlannedOrder(name, change, operation_id, self._fencing_number, reading.incarnation)

    def record_result(self, order: PlannedOrder, result: OrderResult, now: float) -> None:
        """Record the result of an order; an unsure one is repeated under the same operation id."""
        key = (order.engine, order.change)
        self._unsure_operations.pop(key, None)
        if result is OrderResult.UNSURE and order.fencing_number == self._fencing_number:
            self._unsure_operations[key] = order.operation_id
        if result is OrderResult.DONE:
            self._read_due_at[order.engine] = now

    def mark_idle(self, name: UpstreamName) -> None:
        """Mark an engine's reading and order as ended."""
        self._busy.discard(name)

    def _must_wait(self, declared: DeclaredEngine, now: float) -> bool:
        held_for_s = now - self._held_since
        return not declared.honours_fencing and held_for_s < UNFENCED_WAIT_S

    def _new_operation_id(self) -> str:
        self._order_count += 1
        return f"control/{self._fencing_number}/{self._order_count}"


def _declared_engine(upstream: Upstream, model: str, adapters: tuple[str, ...]) -> DeclaredEngine:
    return DeclaredEngine(upstream.name, upstream.role, model, adapters, upstream.honours_fencing)
