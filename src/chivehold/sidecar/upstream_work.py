"""Executes the core's commands at the upstream, each in a separate task."""

from collections.abc import Awaitable, Callable
from contextlib import aclosing

import trio

from chivehold.core.identity import AttemptId
from chivehold.core.sidecar_messages import (
    CallEnded,
    CancelSettled,
    EnginePrefilled,
    OrderEngine,
    OrderSettled,
    SidecarEvent,
    StartDecode,
    StartPrefill,
)
from chivehold.core.wire import OrderResult
from chivehold.sidecar.engine_client import EngineClient
from chivehold.sidecar.service_client import ServiceClient
from chivehold.sidecar.sessions import CallSession

CANCEL_RETRY_DELAY_S = 0.1
"""Time before a decode without any answer is cancelled a second time."""

Feed = Callable[[SidecarEvent], None]


class _AttemptTasks:
    """Running tasks by attempt, each with a cancel scope."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._scopes: dict[AttemptId, trio.CancelScope] = {}

    def __len__(self) -> int:
        return len(self._scopes)

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self._scopes

    def start(self, attempt: AttemptId, task: Callable[[], Awaitable[None]]) -> None:
        """Start an attempt's task."""
        scope = self._scopes[attempt] = trio.CancelScope()
        self._nursery.start_soon(self._run, attempt, scope, task)

    def cancel(self, attempt: AttemptId) -> None:
        """Cancel an attempt's task, if it has one."""
        if attempt in self._scopes:
            self._scopes[attempt].cancel()

    async def _run(
        self, attempt: AttemptId, scope: trio.CancelScope, task: Callable[[], Awaitable[None]]
    ) -> None:
        with scope:
            try:
                await task()
            finally:
                if self._scopes.get(attempt) is scope:
                    del self._scopes[attempt]


class EngineTasks:
    """The tasks that execute commands at an engine.

    A cancel uses another connection than its decode and can reach the engine first. A decode that
    is cancelled before the engine has answered is therefore cancelled a second time.

    Args:
        engine: The client of the engine.
        feed: Feeds an event to the core.
        nursery: Runs the tasks.
    """

    def __init__(self, engine: EngineClient, feed: Feed, nursery: trio.Nursery) -> None:
        self._engine = engine
        self._feed = feed
        self._nursery = nursery
        self._tasks = _AttemptTasks(nursery)
        self._cancel_tasks = _AttemptTasks(nursery)
        self._unanswered_decodes: set[AttemptId] = set()

    def __len__(self) -> int:
        return len(self._tasks) + len(self._cancel_tasks)

    def prefill(self, command: StartPrefill) -> None:
        """Start a prefill."""

        async def run() -> None:
            self._feed(EnginePrefilled(await self._engine.prefill(command.order)))

        self._tasks.start(command.order.attempt, run)

    def decode(self, command: StartDecode) -> None:
        """Start a decode, which begins with the import of its KV cache."""

        async def run() -> None:
            async with aclosing(self._engine.decode(command.offer, command.order)) as parts:  # type: ignore[type-var]
                async for events in parts:
                    self._unanswered_decodes.discard(attempt)
                    for event in events:
                        self._feed(event)

        attempt = command.offer.attempt
        self._unanswered_decodes.add(attempt)
        self._tasks.start(attempt, run)

    def cancel(self, attempt: AttemptId) -> None:
        """Cancel an attempt's task, and the attempt at the engine unless a cancel is pending."""
        self._tasks.cancel(attempt)
        if attempt in self._cancel_tasks:
            return

        async def run() -> None:
            released = await self._engine.cancel(attempt)
            if released and attempt in self._unanswered_decodes:
                await trio.sleep(CANCEL_RETRY_DELAY_S)
                released = await self._engine.cancel(attempt)
            if released:
                self._unanswered_decodes.discard(attempt)
            self._feed(CancelSettled(attempt, released))

        self._cancel_tasks.start(attempt, run)

    def order(self, command: OrderEngine) -> None:
        """Start forwarding an order to the engine."""
        self._nursery.start_soon(self._send_order, command)

    async def _send_order(self, command: OrderEngine) -> None:
        result = await self._engine.order(command.order)
        self._feed(OrderSettled(command.reply, command.order, result))


class ServiceTasks:
    """The tasks that forward calls to a plain service.

    Args:
        service: The client of the service.
        feed: Feeds an event to the core.
        nursery: Runs the tasks.
    """

    def __init__(self, service: ServiceClient, feed: Feed, nursery: trio.Nursery) -> None:
        self._service = service
        self._feed = feed
        self._nursery = nursery
        self._tasks = _AttemptTasks(nursery)

    def __len__(self) -> int:
        return len(self._tasks)

    def call(self, session: CallSession) -> None:
        """Start forwarding a call; its session is settled with the result."""

        async def run() -> None:
            session.settle(await self._service.call(session))
            self._feed(CallEnded(session.offer.attempt))

        self._tasks.start(session.offer.attempt, run)

    def cancel(self, attempt: AttemptId) -> None:
        """Cancel a call's task; its place can be granted again at once."""
        self._tasks.cancel(attempt)
        self._feed(CancelSettled(attempt, released=True))

    def order(self, command: OrderEngine) -> None:
        """Settle an order as failed, because a plain service accepts none."""
        self._feed(OrderSettled(command.reply, command.order, OrderResult.FAILED))
