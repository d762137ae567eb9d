"""Runs a sidecar as a process: builds its components, serves, and drains at shutdown."""

import logging
import uuid
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

import trio

from chivehold.asgi import (
    App,
    Receive,
    Scope,
    Send,
    respond,
    respond_error,
)
from chivehold.core.identity import Role
from chivehold.core.sidecar import SidecarCore
from chivehold.core.sidecar_messages import (
    CallEnded,
    CancelAtEngine,
    DrainStarted,
    OrderEngine,
    ReplyEngineRead,
    ReplyHeartbeat,
    ReplyImport,
    ReplyKey,
    ReplyKeyCommit,
    ReplyOrder,
    ReplyRevoke,
    SendFrame,
    SendPrefillResult,
    SidecarCommand,
    SidecarConfig,
    StartCall,
    StartDecode,
    StartPrefill,
)
from chivehold.core.wire import UpstreamState
from chivehold.http_client import ClientLimits, HttpClient
from chivehold.http_server import OPERATOR_SERVER_LIMITS, ServerLimits, serve_http
from chivehold.logs import log_event
from chivehold.loop_monitor import LoopMonitor, monitored_loop
from chivehold.rpc.chivehold_pb2_grpc import add_SidecarServicer_to_server
from chivehold.rpc.server import serve_rpc
from chivehold.settings import SidecarSettings
from chivehold.sidecar.command_log import log_command
from chivehold.sidecar.control import SidecarControl
from chivehold.sidecar.data_app import DataApp
from chivehold.sidecar.declarations import SidecarDeclarations
from chivehold.sidecar.driver import SidecarDriver
from chivehold.sidecar.engine_client import EngineClient, EngineTimeouts
from chivehold.sidecar.metrics import SidecarMetrics
from chivehold.sidecar.service_client import ServiceClient
from chivehold.sidecar.sessions import Sessions
from chivehold.sidecar.upstream_work import EngineTasks, ServiceTasks

STATUS_TIMEOUT_POLLS = 2.0
"""Timeout of a status call, in poll intervals."""
IDLE_POLL_S = 0.05
"""Interval at which a sidecar that shuts down checks whether its work has ended."""
LISTENER_DRAIN_TIMEOUT_S = 1.0
RELEASE_TIMEOUT_S = 2.0
"""Time to cancel the remaining attempts at the upstream once the listener has closed."""
MAX_HEADER_BYTES = 131_072
INITIAL_PREFILL_TOKENS_PER_S = 10_000.0
"""Used if the settings have no estimate; measurements replace it."""

_log = logging.getLogger(__name__)

CommandHandler = Callable[[Any], None]


class SidecarAddresses(NamedTuple):
    """Addresses a sidecar listens on, as ``host:port``."""

    data: str
    control: str
    operator: str


class Sidecar:
    """One run of a sidecar: its core with the parts that connect it to entries and the upstream.

    Args:
        settings: The sidecar's settings.
        nursery: Runs the tasks that call the upstream.
        http: The HTTP client for calls to the upstream.
        loop_monitor: What the event loop is measured by, if it is.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        nursery: trio.Nursery,
        http: HttpClient,
        loop_monitor: LoopMonitor | None = None,
    ) -> None:
        self._settings = settings
        self._loop_monitor = loop_monitor
        self._core = SidecarCore(_core_config(settings), settings.policy)
        self._metrics = SidecarMetrics()
        self._sessions = Sessions()
        self._driver = SidecarDriver(self._core, self._execute)
        self._client, self._tasks, handlers = self._connect_upstream(nursery, http)
        self._handlers = {**self._reply_handlers(), **handlers}
        self._declarations = SidecarDeclarations(
            settings.target, settings.patient_floor, self._driver.feed
        )
        self._control = SidecarControl(
            self._core,
            self._driver,
            self._declarations,
            self._process_state,
            self._client.state if isinstance(self._client, EngineClient) else None,
        )

    @property
    def data_app(self) -> App:
        """The ASGI application that serves entries."""
        settings = self._settings
        return DataApp(
            settings.role, settings.token, settings.max_body_bytes, self._driver, self._sessions
        )

    @property
    def control(self) -> SidecarControl:
        """The gRPC servicer for entries and operators."""
        return self._control

    @property
    def has_work(self) -> bool:
        """Whether any attempt is open, or still runs or holds a place at the upstream.

        Only open sessions count while the upstream is down, since nothing can be cancelled there.
        """
        if self._core.availability.state is UpstreamState.DOWN:
            return len(self._sessions) > 0
        return bool(len(self._sessions) or len(self._tasks) or self._core.places.slots.held)

    async def run_timer(self) -> None:
        """Run the core's timer until cancelled."""
        await self._driver.run_timer()

    async def poll_status(self) -> None:
        """Query the upstream's status once and feed it to the core."""
        self._driver.feed(await self._client.status())

    async def poll_forever(self) -> None:
        """Poll the upstream's status at the configured interval until cancelled."""
        while True:
            await trio.sleep(self._settings.status_poll_s)
            await self.poll_status()

    async def drain(self) -> None:
        """Refuse new work and wait until the current work has ended or the drain times out.

        New keys are accepted until this work has ended, and commits until every registered key is
        settled, because entries need the home of a key to complete an answer that runs elsewhere.
        """
        self._driver.feed(DrainStarted())
        log_event(_log, logging.INFO, "drain started", sessions=len(self._sessions))
        with trio.move_on_after(self._settings.drain_timeout_s):
            while self.has_work:
                await trio.sleep(IDLE_POLL_S)
            self._control.accepts_keys = False
            while self._core.keys.in_progress:
                await trio.sleep(IDLE_POLL_S)
        log_event(_log, logging.INFO, "drain ended", sessions=len(self._sessions))

    async def wait_released(self) -> None:
        """Wait at most ``RELEASE_TIMEOUT_S`` until the remaining attempts have been cancelled."""
        with trio.move_on_after(RELEASE_TIMEOUT_S):
            while self.has_work:
                await trio.sleep(IDLE_POLL_S)

    async def operator_app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve ``/metrics``, ``/healthz`` and ``/readyz``."""
        report = self._core.report(trio.current_time())
        match scope["path"]:
            case "/metrics":
                self._metrics.loop.update(self._loop_monitor)
                body, content_type = self._metrics.render(report, len(self._sessions))
                await respond(send, 200, body, content_type)
            case "/healthz":
                await respond(send, 200, b"ok\n", "text/plain")
            case "/readyz":
                ready = report.state is UpstreamState.READY
                body = f"{report.state}\n".encode()
                await respond(send, 200 if ready else 503, body, "text/plain")
            case path:
                await respond_error(send, 404, "malformed", f"{path} is not served here")

    def _execute(self, command: SidecarCommand) -> None:
        self._metrics.count(command)
        log_command(command)
        self._handlers[type(command)](command)

    def _reply_handlers(self) -> dict[type, CommandHandler]:
        settle = self._driver.settle_reply
        return {
            SendFrame: lambda command: self._sessions.deliver_frame(command.frame),
            SendPrefillResult: lambda command: self._sessions.deliver_prefill(command.result),
            ReplyImport: lambda command: settle(command.reply, command.accepted),
            ReplyRevoke: lambda command: settle(command.reply, command.result),
            ReplyHeartbeat: lambda command: settle(command.reply, command.report),
            ReplyKey: lambda command: settle(command.reply, command.decision),
            ReplyKeyCommit: lambda command: settle(command.reply, command.committed),
            ReplyOrder: lambda command: settle(command.reply, command.result),
            ReplyEngineRead: lambda command: settle(command.reply, command),
        }

    def _connect_upstream(
        self, nursery: trio.Nursery, http: HttpClient
    ) -> tuple[
        EngineClient | ServiceClient, EngineTasks | ServiceTasks, dict[type, CommandHandler]
    ]:
        peer, feed = self._settings.upstream_address, self._driver.feed
        status_s = STATUS_TIMEOUT_POLLS * self._settings.status_poll_s
        tasks: EngineTasks | ServiceTasks
        if self._settings.role is Role.SERVICE:
            service = ServiceClient(http, peer, status_s)
            tasks = ServiceTasks(service, feed, nursery)
            return (
                service,
                tasks,
                {**_common_handlers(tasks), StartCall: partial(self._start_call, tasks)},
            )
        engine = EngineClient(http, peer, EngineTimeouts(status_s=status_s))
        tasks = EngineTasks(engine, feed, nursery)
        start_handlers: dict[type, CommandHandler] = {
            StartPrefill: tasks.prefill,
            StartDecode: tasks.decode,
        }
        return engine, tasks, {**_common_handlers(tasks), **start_handlers}

    def _start_call(self, tasks: ServiceTasks, command: StartCall) -> None:
        session = self._sessions.find_call(command.attempt)
        if session is None:
            self._driver.feed(CallEnded(command.attempt))
            return
        tasks.call(session)

    def _process_state(self) -> dict[str, Any]:
        return {
            "name": self._settings.name,
            "target": self._settings.target,
            "zone": self._settings.zone,
            "upstream_address": self._settings.upstream_address,
            "sessions": len(self._sessions),
            "tasks_at_upstream": len(self._tasks),
            "takes_keys": self._control.accepts_keys,
            "declarations_revision": self._declarations.revision,
            "loop": self._loop_monitor.dump() if self._loop_monitor else None,
        }


async def run_sidecar(
    settings: SidecarSettings,
    *,
    shutdown: trio.Event | None = None,
    task_status: trio.TaskStatus[SidecarAddresses] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a sidecar until cancelled, or until it has drained after ``shutdown`` was set.

    Args:
        settings: The sidecar's settings.
        shutdown: Starts the graceful shutdown when set.
        task_status: Started with the bound addresses, after the first status query.

    Raises:
        OSError: An address cannot be bound.
    """
    shutdown = trio.Event() if shutdown is None else shutdown
    with monitored_loop(settings.loop_monitor) as loop_monitor:
        await _run_sidecar(settings, loop_monitor, shutdown, task_status)


async def _run_sidecar(
    settings: SidecarSettings,
    loop_monitor: LoopMonitor | None,
    shutdown: trio.Event,
    task_status: trio.TaskStatus[SidecarAddresses],
) -> None:
    stop_listener, listener_stopped = trio.Event(), trio.Event()
    http = HttpClient(ClientLimits(max_answer_bytes=settings.max_answer_bytes))
    async with trio.open_nursery() as nursery:
        sidecar = Sidecar(settings, nursery, http, loop_monitor)
        await sidecar.poll_status()
        nursery.start_soon(sidecar.run_timer)
        nursery.start_soon(sidecar.poll_forever)

        async def serve_data(task_status: trio.TaskStatus[str]) -> None:
            limits = ServerLimits(
                max_header_bytes=MAX_HEADER_BYTES, drain_timeout_s=LISTENER_DRAIN_TIMEOUT_S
            )
            await serve_http(
                sidecar.data_app,
                settings.data_address,
                limits=limits,
                shutdown=stop_listener,
                task_status=task_status,
            )
            listener_stopped.set()

        data = await nursery.start(serve_data)
        operator = await nursery.start(
            partial(
                serve_http,
                sidecar.operator_app,
                settings.operator_address,
                limits=OPERATOR_SERVER_LIMITS,
            )
        )
        adders = [partial(add_SidecarServicer_to_server, sidecar.control)]
        async with serve_rpc(settings.control_address, adders, settings.token) as control:
            addresses = SidecarAddresses(data, control, operator)
            log_event(_log, logging.INFO, "sidecar started", **addresses._asdict())
            task_status.started(addresses)
            await shutdown.wait()
            await sidecar.drain()
            stop_listener.set()
            await listener_stopped.wait()
            await sidecar.wait_released()
        nursery.cancel_scope.cancel()
    await http.aclose()


def _common_handlers(tasks: EngineTasks | ServiceTasks) -> dict[type, CommandHandler]:
    return {CancelAtEngine: lambda command: tasks.cancel(command.attempt), OrderEngine: tasks.order}


def _core_config(settings: SidecarSettings) -> SidecarConfig:
    return SidecarConfig(
        incarnation=f"{settings.name}-{uuid.uuid4().hex[:12]}",
        role=settings.role,
        places=settings.places,
        patient_floor=settings.patient_floor,
        entry_lease_s=settings.entry_lease_s,
        link_bytes_per_s=settings.link_bytes_per_s,
        prefill_tokens_per_s=settings.prefill_tokens_per_s or INITIAL_PREFILL_TOKENS_PER_S,
        key_retention_s=settings.key_retention_s,
    )
