"""Assignment of stages to engines by orders, done by one entry at a time.

The holder of the control lease sends the orders. Each order carries the lease's fencing number and
the number of orders that the engine had accepted when it was read. Thus neither a former lease
holder nor a delayed order can undo a later one.
"""

import logging
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

import trio

from chivehold.core.control_lease import HeldLease
from chivehold.core.direct.fleet import Fleet
from chivehold.core.direct.messages import (
    Stage,
    StageOrder,
    UpstreamIncarnation,
    UpstreamRecord,
    incarnation_of,
)
from chivehold.core.direct.routes import EngineConfig, RouteTable
from chivehold.core.direct.stages import (
    PrefillSupply,
    StageBalance,
    StageChange,
    prefill_engines_wanted,
    stage_changes,
)
from chivehold.direct.engines import ORDER_TIMEOUT_S, EngineClient
from chivehold.direct.metrics import DirectMetrics
from chivehold.http_client import LinkError
from chivehold.logs import log_event

ROUND_INTERVAL_S = 0.5
STAGE_CHANGE_MARGIN_S = 4.0
"""How long after an engine's stage change the list of upstreams may still show the former stage."""
REFUSED_PAUSE_S = 2.0
NO_ANSWER_PAUSE_S = 3.0
MAX_CHANGING_SHARE = 0.25
"""Share of a service's engines that may change their stage at once while it serves requests."""

_log = logging.getLogger(__name__)


class ControlLease(Protocol):
    """The lease that must be held to send orders."""

    def current(self) -> HeldLease | None:
        """Return the lease if it is currently held, else ``None``."""
        ...


class _PendingOrder(NamedTuple):
    """The stage that an engine was ordered to take, and until when the order counts as pending."""

    stage: Stage
    until: float


class StageController:
    """Reads the engines' state and orders stage changes; ``run`` does the work.

    Args:
        lease: The control lease, which must be held for each order.
        holder: The name of this run of the entry.
        fleet: The engines.
        engines: Client of the engines.
        table: Returns the configuration in force.
        decode_per_prefill: Returns the number of decode engines that one prefill engine keeps busy.
        metrics: Counts orders.
    """

    def __init__(
        self,
        lease: ControlLease,
        holder: str,
        fleet: Fleet,
        engines: EngineClient,
        table: Callable[[], RouteTable | None],
        decode_per_prefill: Callable[[], float],
        metrics: DirectMetrics,
    ) -> None:
        self._lease = lease
        self._holder = holder
        self._fleet = fleet
        self._engines = engines
        self._table = table
        self._decode_per_prefill = decode_per_prefill
        self._metrics = metrics
        self._pending_orders: dict[UpstreamIncarnation, _PendingOrder] = {}
        self._paused: dict[UpstreamIncarnation, float] = {}
        self._balances: dict[str, StageBalance] = {}

    async def run(self) -> None:
        """Check the stages and order changes until cancelled."""
        while True:
            await trio.sleep(ROUND_INTERVAL_S)
            table = self._table()
            if table is None or self._lease.current() is None:
                continue
            self._drop_completed(trio.current_time())
            for service, engine_config in _model_services(table):
                for change in self._changes(service, engine_config):
                    await self._order(change, engine_config)

    def _changes(self, service: str, engine_config: EngineConfig) -> list[StageChange]:
        now = trio.current_time()
        listed = [
            *self._fleet.available(service, Stage.PREFILL, now),
            *self._fleet.available(service, Stage.DECODE, now),
        ]
        engines = [self._with_pending_stage(engine) for engine in listed]
        changing = {
            engine.name
            for engine in listed
            if incarnation_of(engine) in self._pending_orders
            or incarnation_of(engine) in self._paused
        }
        wanted = prefill_engines_wanted(len(engines), self._decode_per_prefill())
        if not self._may_change(service, engines, wanted):
            return []
        max_changes = max(1, int(len(engines) * MAX_CHANGING_SHARE))
        return list(stage_changes(engines, changing, wanted, max_changes))

    def _may_change(self, service: str, engines: list[UpstreamRecord], wanted: int) -> bool:
        """Return whether there are too many prefill engines, or have long been too few."""
        listed = [engine for engine in self._fleet.upstreams if engine.service == service]
        supply = PrefillSupply(
            prefilling=sum(engine.stage is Stage.PREFILL for engine in engines),
            decoding=sum(engine.stage is Stage.DECODE for engine in engines),
            wanted=wanted,
            is_draining=any(engine.draining and engine.stage is Stage.PREFILL for engine in listed),
            is_in_use=any(self._fleet.in_flight(engine) for engine in listed),
        )
        balance = self._balances.setdefault(service, StageBalance())
        return balance.may_change(supply, trio.current_time())

    def _with_pending_stage(self, upstream: UpstreamRecord) -> UpstreamRecord:
        pending = self._pending_orders.get(incarnation_of(upstream))
        return upstream._replace(stage=pending.stage) if pending else upstream

    async def _order(self, change: StageChange, engine_config: EngineConfig) -> None:
        """Read an engine's state and order the change, if the lease is still held then."""
        upstream = change.upstream
        if (pause_s := self._fleet.pause_left_s(upstream, trio.current_time())) > 0:
            self._pause(upstream, pause_s)
            return
        try:
            report = await self._engines.read_state(upstream)
            lease = self._lease.current()
            if lease is None or lease.left_s < ORDER_TIMEOUT_S:
                log_event(_log, logging.INFO, "order given up", peer=upstream.name)
                return
            if report.busy or report.stage is change.stage:
                self._pause(upstream, REFUSED_PAUSE_S)
                return
            number = lease.fencing_number
            order = StageOrder(change.stage, self._holder, number, report.orders_accepted)
            status = await self._engines.order_stage(upstream, order)
        except LinkError as error:
            self._pause(upstream, NO_ANSWER_PAUSE_S)
            log_event(
                _log,
                logging.WARNING,
                "order unanswered",
                step=error.step,
                peer=upstream.name,
                detail=error.detail,
                stage=change.stage,
            )
            return
        accepted = status in (200, 202)
        self._metrics.count_order(upstream.service, accepted)
        if accepted:
            until = trio.current_time() + engine_config.stage_change_s + STAGE_CHANGE_MARGIN_S
            self._pending_orders[incarnation_of(upstream)] = _PendingOrder(change.stage, until)
        else:
            self._pause(upstream, REFUSED_PAUSE_S)
        log_event(
            _log,
            logging.INFO,
            "stage ordered",
            peer=upstream.name,
            stage=change.stage,
            outcome=status,
            fencing_number=number,
            orders_accepted=report.orders_accepted,
        )

    def _pause(self, upstream: UpstreamRecord, pause_s: float) -> None:
        self._paused[incarnation_of(upstream)] = trio.current_time() + pause_s

    def _drop_completed(self, now: float) -> None:
        """Drop expired pauses, and orders that have expired or that the list of upstreams shows."""
        self._paused = {engine: until for engine, until in self._paused.items() if until > now}
        listed = {incarnation_of(upstream): upstream.stage for upstream in self._fleet.upstreams}
        self._pending_orders = {
            engine: pending
            for engine, pending in self._pending_orders.items()
            if pending.until > now and listed.get(engine) not in (None, pending.stage)
        }


def suspended_s() -> float:
    """Return how long this machine has been suspended since boot, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)


def _model_services(table: RouteTable) -> Iterable[tuple[str, EngineConfig]]:
    return ((name, service.engine) for name, service in table.services.items() if service.engine)
