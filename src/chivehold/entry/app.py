"""Runs an entry as a process: builds its components, serves, and drains at shutdown."""

import logging
import secrets
import signal
from functools import partial
from random import Random
from typing import Any, NamedTuple

import trio

from chivehold.bodies import CallerLimits
from chivehold.core.declarations import DeclarationReplica
from chivehold.core.declared import Declarations, Upstream
from chivehold.core.entry import EntryCore
from chivehold.core.entry_messages import DeclarationsChanged, DrainStarted, LeavingUpstreamsChanged
from chivehold.core.identity import EntryIncarnation, UpstreamName
from chivehold.entry.attempts import AttemptClient
from chivehold.entry.caller_headers import HeaderBounds
from chivehold.entry.callers import CallerApp
from chivehold.entry.control import EngineController
from chivehold.entry.declaration_peers import SidecarPeers
from chivehold.entry.driver import EntryDriver
from chivehold.entry.heartbeats import Heartbeats, pools
from chivehold.entry.operator_http import OperatorApp
from chivehold.entry.operators import EntryNode, OperatorsService
from chivehold.entry.sidecar_calls import SidecarCalls
from chivehold.entry.vm_list import poll_leaving_vms
from chivehold.http_client import ClientLimits, HttpClient
from chivehold.http_server import OPERATOR_SERVER_LIMITS, ServerLimits, serve_http
from chivehold.logs import log_event
from chivehold.loop_monitor import LoopMonitor, monitored_loop
from chivehold.metrics import EntryMetrics
from chivehold.rpc.chivehold_pb2_grpc import add_OperatorsServicer_to_server
from chivehold.rpc.server import serve_rpc
from chivehold.settings import EntrySettings
from chivehold.store.claims import ClaimWriter
from chivehold.store.client import HttpObjectStore
from chivehold.store.declaration_sync import DeclarationSync
from chivehold.store.leases import (
    CONTROL_LEASES,
    CONTROL_POLL_S,
    POLL_S,
    WATCH_LEASES,
    LeaseKeeper,
)

INCARNATION_BYTES = 6
OPERATOR_DRAIN_TIMEOUT_S = 1.0
CALLER_DRAIN_TIMEOUT_S = 10.0
"""Time that callers' connections get to close after the drain has ended or timed out."""
ANSWERS_POLL_S = 0.02
PEERS_RETRY_S = 1.0
CLAIMS_DRAIN_TIMEOUT_S = 3.0
CLAIMS_POLL_S = 0.1
"""Interval of the checks for unwritten claims, and the time left for a last write after them."""

_log = logging.getLogger(__name__)


class EntryAddresses(NamedTuple):
    """Addresses that an entry listens on, each as ``host:port``."""

    callers: str
    control: str
    operator: str


class Entry:
    """The components of one entry.

    Args:
        settings: The entry's settings.
        nursery: Runs the background tasks; cancelled after the drain.
        loop_monitor: What the event loop is measured by, if it is.
    """

    def __init__(
        self,
        settings: EntrySettings,
        nursery: trio.Nursery,
        loop_monitor: LoopMonitor | None = None,
    ) -> None:
        self._settings = settings
        self._loop_monitor = loop_monitor
        self._nursery = nursery
        self._rng = Random(secrets.randbits(64))
        random_name = secrets.token_hex(INCARNATION_BYTES)
        self._incarnation = EntryIncarnation(f"{settings.name}.{random_name}")
        self._drain_requested = trio.Event()
        self._upstreams: dict[UpstreamName, Upstream] = {}
        self._replica = DeclarationReplica()
        self._client = HttpClient(ClientLimits(max_answer_bytes=settings.max_answer_bytes))
        self._store = HttpObjectStore(
            settings.platform_address, self._client, settings.platform_token
        )
        self._calls = SidecarCalls(self._upstreams.get, settings.token)
        self._metrics = EntryMetrics()
        self._watch_lease = LeaseKeeper(
            self._store, self._incarnation, WATCH_LEASES, POLL_S, self._rng
        )
        self._control_lease = LeaseKeeper(
            self._store,
            self._incarnation,
            CONTROL_LEASES,
            CONTROL_POLL_S,
            self._rng,
            eligible=self._watch_lease.is_held,
        )
        self._control = EngineController(self._control_lease, self._calls)
        self._sync = DeclarationSync(
            self._store,
            self._replica,
            SidecarPeers(self._calls),
            self._apply_declarations,
            self._watch_lease.is_held,
            self._rng,
        )
        core = EntryCore(self._incarnation, settings.zone, settings.policy, self._rng)
        self._heartbeats = Heartbeats(
            self._calls,
            settings.name,
            self._incarnation,
            settings.heartbeat_s,
            settings.upstreams_most,
            lambda event: self._driver.feed(event),
            lambda upstream: self._driver.fail_upstream(upstream),
            lambda: self._replica.revision,
            self._sync,
            nursery,
        )
        self._claims = ClaimWriter(
            self._store,
            self._incarnation,
            self._calls.revoke_unstarted,
            core.incarnations.get,
            self._rng,
            settings.key_retention_s,
        )
        self._driver = EntryDriver(
            core,
            AttemptClient(self._client, self._upstreams.get, settings.token),
            self._calls,
            self._claims,
            self._heartbeats,
            nursery,
        )
        bounds = HeaderBounds(settings.default_deadline_s, settings.key_retention_s)
        limits = CallerLimits(
            settings.max_body_bytes, settings.max_header_bytes, settings.max_held_bytes
        )
        self._callers = CallerApp(self._driver, self._metrics, self._incarnation, bounds, limits)
        self._operators = OperatorsService(
            self._build_node(),
            self._replica,
            self._sync,
            self._driver,
            self._heartbeats,
            self._calls,
        )

    async def run(self, task_status: trio.TaskStatus[EntryAddresses]) -> None:
        """Serve until told to shut down, then drain."""
        background = self._nursery
        background.start_soon(self._driver.run_timer)
        background.start_soon(self._watch_lease.run)
        background.start_soon(self._control_lease.run)
        background.start_soon(self._control.run)
        background.start_soon(self._sync.run)
        background.start_soon(self._pull_initial_declarations)
        background.start_soon(poll_leaving_vms, self._store, self._feed_leaving_vms, self._rng)
        await background.start(self._claims.run)
        await background.start(self._wait_for_signal)
        add = [partial(add_OperatorsServicer_to_server, self._operators)]
        async with serve_rpc(self._settings.control_address, add, self._settings.token) as control:
            await self._serve(control, task_status)

    async def close(self) -> None:
        """Close all connections, after the background tasks have ended."""
        await self._client.aclose()
        self._calls.close()

    async def _serve(self, control: str, task_status: trio.TaskStatus[EntryAddresses]) -> None:
        settings = self._settings
        shutdown = trio.Event()
        limits = ServerLimits(
            max_header_bytes=settings.max_header_bytes,
            max_requests=settings.max_connections,
            max_connections=settings.max_connections,
            drain_timeout_s=CALLER_DRAIN_TIMEOUT_S,
        )
        operator_limits = OPERATOR_SERVER_LIMITS._replace(drain_timeout_s=OPERATOR_DRAIN_TIMEOUT_S)
        async with trio.open_nursery() as servers:
            operator_app = OperatorApp(
                self._driver,
                self._metrics,
                self._incarnation,
                lambda: self._replica.revision,
                self._unready_reason,
                self._loop_monitor,
            )
            operator = await servers.start(
                _serve_app, operator_app, settings.operator_address, operator_limits, shutdown
            )
            callers = await servers.start(
                _serve_app, self._callers, settings.caller_address, limits, shutdown
            )
            addresses = EntryAddresses(callers, control, operator)
            log_event(_log, logging.INFO, "entry started", **addresses._asdict())
            task_status.started(addresses)
            await self._drain_requested.wait()
            await self._drain()
            shutdown.set()

    async def _drain(self) -> None:
        log_event(_log, logging.INFO, "drain started", in_progress=self._driver.in_progress)
        self._callers.drain()
        self._driver.feed(DrainStarted())
        with trio.move_on_after(self._settings.drain_timeout_s):
            await self._driver.wait_idle()
            while self._callers.in_progress:
                await trio.sleep(ANSWERS_POLL_S)
            await self._wait_for_claims()
        log_event(_log, logging.INFO, "drain ended", in_progress=self._driver.in_progress)

    async def _wait_for_claims(self) -> None:
        """Wait until the outcomes of claimed requests are written, or a timeout has passed."""
        with trio.move_on_after(CLAIMS_DRAIN_TIMEOUT_S):
            while self._claims.pending_count:
                await trio.sleep(CLAIMS_POLL_S)
            await trio.sleep(CLAIMS_POLL_S)

    async def _wait_for_signal(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            task_status.started()
            async for _ in signals:
                self._drain_requested.set()

    async def _pull_initial_declarations(self) -> None:
        """Fetch declarations from the sidecars listed in the settings until some are found."""
        peers = self._settings.peer_addresses
        while peers and not await self._sync.pull_from_any(peers):
            await trio.sleep(PEERS_RETRY_S)

    def _apply_declarations(self, declarations: Declarations) -> None:
        self._upstreams.clear()
        for pool in pools(declarations):
            self._upstreams.update((upstream.name, upstream) for upstream in pool)
        addresses = frozenset(upstream.control_address for upstream in self._upstreams.values())
        self._calls.keep_only(addresses)
        self._driver.feed(DeclarationsChanged(declarations))
        self._heartbeats.apply_declarations(declarations)
        self._control.update_declarations(declarations)

    def _feed_leaving_vms(self, leaving: tuple[UpstreamName, ...]) -> None:
        self._driver.feed(LeavingUpstreamsChanged(leaving))

    def _unready_reason(self) -> str:
        if self._drain_requested.is_set():
            return "draining"
        return "" if self._replica.revision else "no declarations known yet"

    def _build_node(self) -> EntryNode:
        return EntryNode(
            name=self._settings.name,
            zone=self._settings.zone,
            incarnation=self._incarnation,
            is_draining=self._drain_requested.is_set,
            start_drain=self._drain_requested.set,
            control_holder=self._control_holder,
            dump=self._dump,
        )

    def _control_holder(self) -> str:
        return next(iter(self._control_lease.holders.values()), "")

    def _dump(self) -> dict[str, Any]:
        active = [upstream.name for upstream in self._heartbeats.active_upstreams]
        return {
            "name": self._settings.name,
            "ready": not self._unready_reason(),
            "revision": self._replica.revision,
            "watches_platform": self._watch_lease.is_held(),
            "control": self._control.dump(),
            "claims_waiting": self._claims.pending_count,
            "declarations_digest": self._replica.digest,
            "heartbeats_with": sorted(active),
            "core": self._driver.dump(),
            "loop": self._loop_monitor.dump() if self._loop_monitor else None,
        }


async def run_entry(
    settings: EntrySettings,
    task_status: trio.TaskStatus[EntryAddresses] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an entry until SIGTERM, SIGINT or an operator's drain.

    Requests in progress are then completed, for at most ``settings.drain_timeout_s``.

    Args:
        settings: The entry's settings.
        task_status: Receives the bound addresses.

    Raises:
        OSError: An address cannot be listened on.
    """
    with monitored_loop(settings.loop_monitor) as loop_monitor:
        async with trio.open_nursery() as nursery:
            entry = Entry(settings, nursery, loop_monitor)
            await entry.run(task_status)
            nursery.cancel_scope.cancel()
        await entry.close()


async def _serve_app(
    app: Any,
    address: str,
    limits: ServerLimits,
    shutdown: trio.Event,
    task_status: trio.TaskStatus[str],
) -> None:
    await serve_http(app, address, limits=limits, shutdown=shutdown, task_status=task_status)
