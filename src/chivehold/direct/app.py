"""The process of an entry without sidecars: builds the components, serves, drains on a signal."""

import logging
import os
import secrets
import signal
from collections.abc import Mapping
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import trio

from chivehold.asgi import App
from chivehold.bodies import BodyBudget
from chivehold.core.direct.fleet import Fleet, FleetChange
from chivehold.core.direct.gossip import Gossip
from chivehold.core.direct.quotas import QuotaPolicy
from chivehold.core.direct.routes import EngineConfig, RouteIndex, RouteTable
from chivehold.core.direct.shared_quotas import Membership, SharedQuotas
from chivehold.core.direct.shared_retries import SharedRetryBudget
from chivehold.core.direct.stream_priorities import StreamPriorities, priorities_by_service
from chivehold.core.direct.upstream_admission import UpstreamAdmission
from chivehold.core.direct.upstream_limits import UpstreamLimits
from chivehold.core.identity import EntryIncarnation
from chivehold.direct.caller_app import CallerApp
from chivehold.direct.crash_protection import CrashProtection
from chivehold.direct.engines import EngineClient
from chivehold.direct.explanations import Explainer, QuestionJson
from chivehold.direct.fact_exchange import FactExchange
from chivehold.direct.gossip_socket import GossipSocket
from chivehold.direct.metrics import DirectMetrics
from chivehold.direct.operator_app import OperatorApp, ReadyApp
from chivehold.direct.plain_calls import PlainCalls
from chivehold.direct.platform_binding import PlatformBinding
from chivehold.direct.prefills import PrefillScheduler
from chivehold.direct.quarantines import Quarantines
from chivehold.direct.quota_gate import QuotaGate
from chivehold.direct.reservations import EngineMemoryReserver
from chivehold.direct.revocations import Revocations
from chivehold.direct.settings_file import SettingsFile
from chivehold.direct.signals import SignalReader
from chivehold.direct.stage_controller import StageController, suspended_s
from chivehold.direct.store_replicas import ChangeHandlers, StoreReplicas
from chivehold.direct.stream_calls import StreamCalls
from chivehold.direct.usage_exchange import UsageExchange
from chivehold.direct.version_tracking import VersionTracking
from chivehold.http_client import ClientLimits, HttpClient
from chivehold.http_server import OPERATOR_SERVER_LIMITS, ServerLimits, serve_http
from chivehold.logs import DroppedLogLines, log_event
from chivehold.loop_monitor import LoopMonitor, monitored_loop
from chivehold.metrics import RenderedMetrics
from chivehold.settings import DirectSettings
from chivehold.store.counted import CountedStore
from chivehold.store.leases import CONTROL_LEASES, CONTROL_POLL_S, LeaseKeeper
from chivehold.store.roster import EntryRoster

CONNECT_TIMEOUT_S = 0.3
STORE_CONNECT_TIMEOUT_S = 0.5
IDLE_CONNECTION_S = 1.0
"""Idle connections to upstreams are kept for reuse for this time."""
ACCEPT_WHILE_DRAINING_S = 3.0
"""The load balancer removes an entry after two failed health checks, one second apart."""
SHUTDOWN_MARGIN_S = 1.2
"""How long before the end of the shutdown time the last requests are cut off."""
ANSWER_MARGIN_S = 0.3
"""How long before they are cut off the last requests without a response get one."""
EXIT_MARGIN_S = 0.5
"""How long before the end of the shutdown time the process exits in any case."""
EXIT_CODE_DRAIN_OVERRAN = 3
INCARNATION_BYTES = 6
USAGE_INCARNATION_BITS = 62

_log = logging.getLogger(__name__)


class DirectAddresses(NamedTuple):
    """The addresses that an entry listens on, each as ``host:port``."""

    ready: str
    operator: str
    callers: str


class DirectEntry:
    """Builds and runs the components of one entry.

    Args:
        settings: The entry's settings.
        path: The settings file, reloaded when it changes.
        platform: The platform's adapter.
        logs: Counts the dropped log lines.
        nursery: Runs the background tasks; cancelled at the end.
        loop_monitor: What the event loop is measured by, if it is.
    """

    def __init__(
        self,
        settings: DirectSettings,
        path: Path,
        platform: PlatformBinding,
        logs: DroppedLogLines,
        nursery: trio.Nursery,
        loop_monitor: LoopMonitor | None = None,
    ) -> None:
        self._settings = settings
        self._logs = logs
        self._loop_monitor = loop_monitor
        self._nursery = nursery
        rng = self._rng = Random(secrets.randbits(64))
        self._drain_requested = trio.Event()
        self._settings_file = SettingsFile(path, settings, self._apply_settings)
        self._client = HttpClient(
            ClientLimits(connect_timeout_s=CONNECT_TIMEOUT_S, keep_alive_s=IDLE_CONNECTION_S)
        )
        self._store_client = HttpClient(ClientLimits(connect_timeout_s=STORE_CONNECT_TIMEOUT_S))
        limits = UpstreamLimits(settings.name, lambda: self._roster, rng)
        self._fleet = Fleet(
            settings.zone,
            rng,
            UpstreamAdmission(limits, rng),
            lambda upstream: self._version_tracking.is_confirmed(upstream),
        )
        self._metrics = DirectMetrics()
        self._priorities: Mapping[str, StreamPriorities] = {}
        self._retries = SharedRetryBudget(
            settings.retry_share,
            settings.retry_extra,
            settings.retry_window_s,
            settings.entries_most,
            trio.current_time(),
        )
        name = EntryIncarnation(f"{settings.name}.{secrets.token_hex(INCARNATION_BYTES)}")
        self._gossip = Gossip(settings.name, rng)
        self._gossip_socket = GossipSocket(
            self._gossip,
            lambda item: exchange.receive(item),
            lambda received: self._usage_exchange.receive(received),
        )
        self._quotas = SharedQuotas(
            settings.name,
            1 + secrets.randbits(USAGE_INCARNATION_BITS),
            _quota_policy(settings),
            lambda: Membership(self._roster.names, self._roster.count),
            rng,
        )
        self._usage_exchange = UsageExchange(
            settings.name, self._quotas, self._gossip, self._gossip_socket, nursery
        )
        self._quota_gate = QuotaGate(self._quotas, self._usage_exchange.reschedule, rng)
        exchange = FactExchange(name, self._gossip_socket.publish)
        signals = SignalReader(self._fleet, platform.dialect, self._metrics, exchange)
        engines = EngineClient(self._fleet, self._client, platform.dialect, signals, nursery)
        self._reserver = EngineMemoryReserver(
            self._fleet,
            engines,
            self._engine_config,
            self._stream_priorities,
            self._metrics,
            nursery,
            rng,
        )
        store = CountedStore(
            platform.open_store(settings.store_address, self._store_client),
            self._metrics.count_store_call,
        )
        self._crash_protection = CrashProtection(
            settings,
            name,
            store,
            exchange,
            lambda: self._roster.count,
            self._metrics,
            nursery,
            rng,
        )
        self._version_tracking = VersionTracking(
            settings.name, name, store, lambda: self._roster.count, self._metrics, rng
        )
        prefills = PrefillScheduler(
            self._fleet, engines, self._metrics, lambda: self._roster.count, self._retries
        )
        streams = StreamCalls(
            self._fleet,
            engines,
            prefills,
            self._reserver,
            self._retries,
            self._metrics,
            self._crash_protection.watch,
            self._version_tracking.resumptions,
            self._stream_priorities,
        )
        self._explainer = Explainer(
            platform.dialect,
            lambda: self._callers.routes,
            self._fleet,
            streams,
            self._reserver,
            prefills,
            [self._quota_gate.explain],
        )
        self._callers = CallerApp(
            platform.dialect,
            PlainCalls(
                self._fleet,
                self._client,
                platform.dialect,
                signals,
                self._retries,
                self._metrics,
                self._crash_protection.watch,
            ),
            streams,
            self._retries,
            self._metrics,
            BodyBudget(settings.max_held_bytes),
            lambda: self._replicas.configuration_age_s(trio.current_time()),
            self._quota_gate,
            Revocations(settings.strict_revoke),
            rng,
        )
        self._replicas = StoreReplicas(
            store,
            platform,
            settings,
            self._fleet,
            ChangeHandlers(self._apply_routes, self._apply_fleet_change),
            rng,
        )
        self._roster = EntryRoster(
            store,
            settings.name,
            name,
            settings.entries_most,
            self._configure_retries,
            rng,
            lambda: self._gossip.address,
            self._gossip.set_peers,
        )
        self._control_lease = LeaseKeeper(
            store,
            name,
            CONTROL_LEASES,
            CONTROL_POLL_S,
            rng,
            self._may_hold_control_lease,
            suspended_s,
        )
        self._stage_controller = StageController(
            self._control_lease,
            name,
            self._fleet,
            engines,
            self._route_table,
            lambda: self._settings.decode_per_prefill,
            self._metrics,
        )

    @property
    def quarantines(self) -> Quarantines:
        """The content that is refused."""
        return self._crash_protection.quarantines

    async def run(
        self, task_status: trio.TaskStatus[DirectAddresses] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until stopped by a signal, then drain."""
        if self._settings.exchange_address is not None:
            await self._nursery.start(self._gossip_socket.run, self._settings.exchange_address)
        self._nursery.start_soon(self._crash_protection.run)
        self._nursery.start_soon(self._version_tracking.run)
        self._nursery.start_soon(self._replicas.run)
        self._nursery.start_soon(self._run_control_tasks)
        await self._nursery.start(self._await_signals)
        self._nursery.start_soon(self._settings_file.run)
        settings = self._settings
        shutdown = trio.Event()
        drain_timeout_s = max(
            0.1, settings.shutdown_s - ACCEPT_WHILE_DRAINING_S - SHUTDOWN_MARGIN_S
        )
        limits = ServerLimits(
            max_requests=settings.max_requests,
            max_connections=settings.max_connections,
            keep_alive_s=settings.idle_timeout_s,
            drain_timeout_s=drain_timeout_s,
            date_header=False,
        )
        operator_limits = OPERATOR_SERVER_LIMITS._replace(drain_timeout_s=SHUTDOWN_MARGIN_S / 2)
        operator = OperatorApp(
            self._unready_reason,
            self._render_metrics,
            self.dump,
            lambda key, is_active: self.quarantines.order(key, is_active, "operator"),
            self.explain,
        )
        async with trio.open_nursery() as servers:

            async def listen(app: App, address: str, server_limits: ServerLimits) -> str:
                serve = partial(serve_http, app, address, limits=server_limits, shutdown=shutdown)
                bound: str = await servers.start(serve)
                return bound

            addresses = DirectAddresses(
                await listen(
                    ReadyApp(self._unready_reason), settings.ready_address, operator_limits
                ),
                await listen(operator, settings.operator_address, operator_limits),
                await listen(self._callers, settings.caller_address, limits),
            )
            log_event(
                _log,
                logging.INFO,
                "entry started",
                None,
                **addresses._asdict(),
                **_settings_to_log(settings),
            )
            task_status.started(addresses)
            await self._drain_requested.wait()
            self._nursery.start_soon(self._exit_if_drain_overruns)
            self._nursery.start_soon(self._answer_at_the_end, drain_timeout_s)
            await self._drain()
            shutdown.set()
        log_event(_log, logging.INFO, "entry stopped", in_progress=self._callers.in_progress)

    async def close(self) -> None:
        """Close all connections, after the background tasks have ended."""
        await self._client.aclose()
        await self._store_client.aclose()

    async def _drain(self) -> None:
        """Keep accepting requests until the load balancer has seen that the entry is not ready."""
        in_progress = self._callers.in_progress
        log_event(_log, logging.INFO, "drain started", in_progress=in_progress)
        accepts_until = trio.current_time() + ACCEPT_WHILE_DRAINING_S
        # What begins to run later has too little time left to end.
        self._callers.drain(accepts_until)
        await trio.sleep_until(accepts_until)

    async def _answer_at_the_end(self, drain_timeout_s: float) -> None:
        """Answer the requests that have no response, before their connections are cut."""
        await trio.sleep(ACCEPT_WHILE_DRAINING_S + drain_timeout_s - ANSWER_MARGIN_S)
        self._callers.end_unanswered()

    async def _exit_if_drain_overruns(self) -> None:
        """Exit the process if a caller that does not read its response blocks the shutdown.

        The server shields its writes from cancellation, so they cannot be interrupted.
        """
        await trio.sleep(self._settings.shutdown_s - EXIT_MARGIN_S)
        in_progress = self._callers.in_progress
        log_event(_log, logging.WARNING, "drain overran", in_progress=in_progress)
        os._exit(EXIT_CODE_DRAIN_OVERRAN)

    async def _run_control_tasks(self) -> None:
        """Run the tasks shared among the entries until this entry drains.

        Another entry then takes over the control lease.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._roster.run)
            nursery.start_soon(self._control_lease.run)
            nursery.start_soon(self._stage_controller.run)
            await self._drain_requested.wait()
            nursery.cancel_scope.cancel()

    def _may_hold_control_lease(self) -> bool:
        return not self._drain_requested.is_set() and bool(self._callers.configuration)

    async def _await_signals(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            task_status.started()
            async for signal_number in signals:
                if signal_number == signal.SIGHUP:
                    self._settings_file.request_reload()
                else:
                    self._drain_requested.set()

    def _apply_settings(self, settings: DirectSettings) -> None:
        self._settings = settings
        self._configure_retries(self._roster.count)
        self._quotas.set_policy(_quota_policy(settings))

    def _configure_retries(self, entries: int) -> None:
        """Apply the retry settings, with the extra divided by the number of entries."""
        self._retries.configure(self._settings.retry_share, self._settings.retry_extra, entries)

    def _apply_routes(self, table: RouteTable) -> None:
        self._version_tracking.apply_routes(table)
        self._usage_exchange.apply_routes(table)
        self._priorities = priorities_by_service(table)
        self._callers.apply_routes(RouteIndex(table))

    def _apply_fleet_change(self, change: FleetChange) -> None:
        self._metrics.set_upstreams(self._fleet.upstreams)
        self._version_tracking.apply_upstreams(
            self._fleet.upstreams, self._replicas.upstreams_revision
        )
        for upstream in change.removed:
            self._client.discard_pool(upstream.address)
        for service in {upstream.service for upstream in (*change.added, *change.changed)}:
            self._reserver.notify_freed(service)

    def _stream_priorities(self, service: str) -> StreamPriorities:
        return self._priorities.get(service, StreamPriorities())

    def _route_table(self) -> RouteTable | None:
        routes = self._callers.routes
        return routes.table if routes else None

    def _engine_config(self, service: str) -> EngineConfig | None:
        table = self._route_table()
        return table.engine_config(service) if table else None

    def _unready_reason(self) -> str:
        if self._drain_requested.is_set():
            return "draining"
        if not self._callers.configuration:
            return "no routes known yet"
        if not self._fleet.upstreams:
            return "no upstreams known yet"
        return self._crash_protection.unready_reason() or self._version_tracking.unready_reason()

    def _render_metrics(self, accepted: list[str]) -> RenderedMetrics:
        self._metrics.set_quotas(self._quota_gate.figures())
        self._metrics.loop.update(self._loop_monitor)
        self._metrics.set_waiting(self._reserver.waiting_by_priority())
        self._metrics.set_capacities(self._fleet.capacities(trio.current_time()))
        return self._metrics.render(
            accepted,
            self._callers.in_progress,
            self._callers.configuration,
            self._replicas.is_store_lost,
            self._logs.dropped,
        )

    def dump(self) -> dict[str, Any]:
        """Return the state shown to operators."""
        now = trio.current_time()
        return {
            "name": self._settings.name,
            "unready": self._unready_reason(),
            "configuration": self._callers.configuration,
            **self._replicas.dump(now),
            "upstreams": list(self._fleet.dump(now)),
            "software_versions": self._version_tracking.dump(),
            "in_progress": self._callers.in_progress,
            "entries": self._roster.count,
            "control_lease": {
                "held": self._control_lease.is_held(),
                "holders": self._control_lease.holders,
            },
            "quarantines": list(self.quarantines.dump(now)),
            "waiting_for_places": self._reserver.waiting_counts(),
            **({"quotas": self._quotas.dump(now)} if self._quotas.is_active else {}),
            "scarce_memory": list(self._reserver.dump(now)),
            "log_lines_dropped": self._logs.dropped,
            "loop": self._loop_monitor.dump() if self._loop_monitor else None,
        }

    def explain(self, question: QuestionJson) -> dict[str, object]:
        """Return where a request would be routed now and why, without changing any state."""
        ages = self._replicas.dump(trio.current_time())
        return self._explainer.explain(question) | ages


def _quota_policy(settings: DirectSettings) -> QuotaPolicy:
    return QuotaPolicy(settings.quota_window_s, settings.quota_overshoot, settings.quota_slack)


def _settings_to_log(settings: DirectSettings) -> dict[str, object]:
    """Return the settings to log, without the configured listen addresses."""
    return {
        key: value for key, value in settings._asdict().items() if not key.endswith("_address")
    } | {"store": settings.store_address}


async def run_direct_entry(
    settings: DirectSettings, path: Path, platform: PlatformBinding, logs: DroppedLogLines
) -> None:
    """Run an entry until SIGTERM or SIGINT.

    Args:
        settings: The entry's settings.
        path: The settings file.
        platform: The platform's adapter.
        logs: Counts the dropped log lines.

    Raises:
        OSError: An address cannot be bound.
    """
    with monitored_loop(settings.loop_monitor) as loop_monitor:
        async with trio.open_nursery() as nursery:
            entry = DirectEntry(settings, path, platform, logs, nursery, loop_monitor)
            await entry.run()
            nursery.cancel_scope.cancel()
        await entry.close()
