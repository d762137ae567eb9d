"""Drives the entry's core: feeds it events one at a time and executes its commands."""

import logging
import math
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import trio

from chivehold.core.entry import EntryCore, EntryDump
from chivehold.core.entry_messages import (
    CallerDisconnected,
    ClaimDecision,
    ClaimSettled,
    CloseAttempt,
    CommitKey,
    EndClaim,
    EntryCommand,
    EntryEvent,
    Finish,
    KeyCommitSettled,
    KeySettled,
    MakeClaim,
    RegisterKey,
    Relay,
    ReleaseKey,
    RequestArrived,
    Revoke,
    RevokeSettled,
    SendCall,
    SendImport,
    SendOffer,
    SendPrefill,
    Tick,
)
from chivehold.core.identity import AttemptId, RequestId, SidecarIncarnation, UpstreamName
from chivehold.entry.attempts import AttemptClient
from chivehold.entry.pending import PendingRequest
from chivehold.entry.settling import failure_event
from chivehold.entry.sidecar_calls import SidecarCalls
from chivehold.logs import log_event

IDLE_POLL_S = 0.02

_log = logging.getLogger(__name__)


class Claims(Protocol):
    """Stores claims of non-idempotent requests in the platform."""

    async def claim(self, command: MakeClaim) -> ClaimDecision:
        """Claim a request before it is sent."""
        ...

    async def record_outcome(self, command: EndClaim) -> None:
        """Record the outcome of a claimed request."""
        ...


class KeyHomeLeases(Protocol):
    """Holds leases at the homes of idempotency keys, the upstreams whose sidecars store them."""

    def hold(self, upstream: UpstreamName) -> None:
        """Keep a lease at an upstream until ``release``."""
        ...

    async def wait_granted(self, upstream: UpstreamName) -> None:
        """Return once the upstream has granted the lease, or after a short time."""
        ...

    def release(self, upstream: UpstreamName) -> None:
        """Undo one ``hold``."""
        ...


class _AttemptTask(NamedTuple):
    """A running task that executes a command of an attempt at one upstream."""

    scope: trio.CancelScope
    command: EntryCommand


class EntryDriver:
    """Owns the core and the tasks that its commands start.

    Args:
        core: Makes all decisions.
        attempts: Sends attempts over HTTP.
        calls: Calls sidecars over gRPC.
        claims: Stores claims in the platform.
        leases: Holds this entry's leases at key homes.
        nursery: Runs the tasks; it outlives all requests.
    """

    def __init__(
        self,
        core: EntryCore,
        attempts: AttemptClient,
        calls: SidecarCalls,
        claims: Claims,
        leases: KeyHomeLeases,
        nursery: trio.Nursery,
    ) -> None:
        self._core = core
        self._attempts = attempts
        self._calls = calls
        self._claims = claims
        self._leases = leases
        self._nursery = nursery
        self._events: deque[EntryEvent] = deque()
        self._is_feeding = False
        self._failure: Exception | None = None
        self._timer = trio.CancelScope()
        self._pending: dict[RequestId, PendingRequest] = {}
        self._attempt_tasks: dict[tuple[AttemptId, UpstreamName], _AttemptTask] = {}
        self._sidecar_incarnations: dict[RequestId, dict[AttemptId, SidecarIncarnation]] = {}
        self._key_homes: dict[RequestId, UpstreamName] = {}
        self._running_tasks = 0
        self._handlers = self._build_handlers()

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress and no task is running."""
        return not (self._pending or self._running_tasks or self._core.in_progress)

    @property
    def in_progress(self) -> int:
        """Number of requests that have not ended."""
        return self._core.in_progress

    def dump(self) -> EntryDump:
        """Return the core's current state in types that JSON can encode."""
        return self._core.dump()

    def submit(self, arrival: RequestArrived) -> PendingRequest:
        """Feed a caller's request to the core and return its pending answer."""
        pending = PendingRequest(arrival.request)
        self._pending[arrival.request] = pending
        self.feed(arrival)
        return pending

    def cancel(self, pending: PendingRequest) -> None:
        """Cancel a request whose caller has disconnected; does nothing once it has ended."""
        if self._pending.pop(pending.request, None) is not None:
            self.feed(CallerDisconnected(pending.request))
            self._forget(pending.request)

    def fail_upstream(self, upstream: UpstreamName) -> None:
        """Settle all attempts at an upstream that was silent for longer than this entry's lease.

        Its sidecar has cancelled them by now or is down. Without this, a connection that is open
        but silent would hold the requests until their deadlines.
        """
        affected = [
            attempt_task
            for (_, peer), attempt_task in self._attempt_tasks.items()
            if peer == upstream
        ]
        for attempt_task in affected:
            attempt_task.scope.cancel()
            if (event := failure_event(attempt_task.command)) is not None:
                self.feed(event)

    def feed(self, event: EntryEvent) -> None:
        """Feed an event to the core and execute the resulting commands.

        An event that is fed while another is being handled is queued and handled after it.
        """
        self._events.append(event)
        if self._is_feeding:
            return
        self._is_feeding = True
        try:
            while self._events:
                self._handle_event(self._events.popleft())
        except Exception as error:
            self._failure = error
            self._timer.cancel()
            raise
        finally:
            self._is_feeding = False
        self._timer.deadline = self._next_wakeup()

    async def run_timer(self) -> None:
        """Feed a ``Tick`` each time the core has asked to be woken.

        Raises:
            Exception: Raised by the core or a command handler before; the core's state can no
                longer be trusted.
        """
        while self._failure is None:
            with trio.CancelScope(deadline=self._next_wakeup()) as self._timer:
                await trio.sleep_forever()
            if self._failure is None:
                self.feed(Tick())
        raise self._failure

    async def wait_idle(self) -> None:
        """Wait until no request is in progress and no task is running."""
        while not self.is_idle:
            await trio.sleep(IDLE_POLL_S)

    def _next_wakeup(self) -> float:
        wakeup = self._core.next_wakeup()
        return math.inf if wakeup is None else wakeup

    def _handle_event(self, event: EntryEvent) -> None:
        for command in self._core.handle(event, trio.current_time()):
            self._handlers[type(command)](command)

    def _build_handlers(self) -> dict[type[EntryCommand], Callable[[Any], None]]:
        return {
            SendOffer: self._send_offer,
            SendCall: self._send_call,
            SendPrefill: self._send_prefill,
            SendImport: lambda command: self._start(self._send_import, command),
            Revoke: lambda command: self._start(self._revoke, command),
            CloseAttempt: self._close_attempt,
            RegisterKey: self._start_registration,
            CommitKey: lambda command: self._start(self._commit_key, command),
            ReleaseKey: lambda command: self._start(self._release_key, command),
            MakeClaim: lambda command: self._start(self._make_claim, command),
            EndClaim: lambda command: self._start(self._claims.record_outcome, command),
            Relay: self._relay,
            Finish: self._finish,
        }

    def _start_registration(self, command: RegisterKey) -> None:
        self._key_homes[command.registration.request] = command.home
        self._leases.hold(command.home)
        self._start(self._register_key, command)

    def _relay(self, command: Relay) -> None:
        if pending := self._pending.get(command.request):
            pending.relay(command.tokens)

    def _finish(self, command: Finish) -> None:
        self._forget(command.request)
        if pending := self._pending.pop(command.request, None):
            pending.finish(command)

    def _forget(self, request: RequestId) -> None:
        self._sidecar_incarnations.pop(request, None)
        if home := self._key_homes.pop(request, None):
            self._leases.release(home)

    def _send_offer(self, command: SendOffer) -> None:
        self._record_incarnation(command.offer.attempt, command.offer.incarnation)
        self._start_attempt_task(command.offer.attempt, command.upstream, self._run_offer, command)

    def _send_call(self, command: SendCall) -> None:
        self._record_incarnation(command.offer.attempt, command.offer.incarnation)
        self._start_attempt_task(command.offer.attempt, command.upstream, self._run_call, command)

    def _send_prefill(self, command: SendPrefill) -> None:
        self._start_attempt_task(
            command.order.attempt, command.upstream, self._run_prefill, command
        )

    def _close_attempt(self, command: CloseAttempt) -> None:
        if attempt_task := self._attempt_tasks.get((command.attempt, command.upstream)):
            attempt_task.scope.cancel()

    async def _run_offer(self, command: SendOffer) -> None:
        async for event in self._attempts.offer(command.upstream, command.offer):
            self.feed(event)

    async def _run_call(self, command: SendCall) -> None:
        self.feed(await self._attempts.call(command.upstream, command.offer, command.call))

    async def _run_prefill(self, command: SendPrefill) -> None:
        self.feed(await self._attempts.prefill(command.upstream, command.order))

    async def _send_import(self, command: SendImport) -> None:
        self.feed(await self._attempts.import_kv(command.upstream, command.order))

    async def _revoke(self, command: Revoke) -> None:
        incarnations = self._sidecar_incarnations.get(command.attempt.request, {})
        incarnation = incarnations.get(command.attempt, SidecarIncarnation(""))
        result = await self._calls.revoke(command.upstream, command.attempt, incarnation)
        self.feed(RevokeSettled(command.attempt, result))

    async def _register_key(self, command: RegisterKey) -> None:
        await self._leases.wait_granted(command.home)
        decision = await self._calls.register_key(command.home, command.registration)
        self.feed(KeySettled(command.registration.request, decision))

    async def _commit_key(self, command: CommitKey) -> None:
        committed = await self._calls.commit_key(command.home, command.commit)
        self.feed(KeyCommitSettled(command.commit.request, committed))

    async def _release_key(self, command: ReleaseKey) -> None:
        await self._calls.release_key(command.home, command.commit)

    async def _make_claim(self, command: MakeClaim) -> None:
        decision = await self._claims.claim(command)
        self.feed(ClaimSettled(command.request, decision))

    def _record_incarnation(self, attempt: AttemptId, incarnation: SidecarIncarnation) -> None:
        self._sidecar_incarnations.setdefault(attempt.request, {})[attempt] = incarnation

    def _start(self, task: Callable[[Any], Any], command: EntryCommand) -> None:
        self._running_tasks += 1
        self._nursery.start_soon(self._run, task, command)

    def _start_attempt_task(
        self,
        attempt: AttemptId,
        upstream: UpstreamName,
        task: Callable[[Any], Any],
        command: EntryCommand,
    ) -> None:
        attempt_task = _AttemptTask(trio.CancelScope(), command)
        self._attempt_tasks[attempt, upstream] = attempt_task
        self._running_tasks += 1
        self._nursery.start_soon(self._run_attempt_task, attempt_task, (attempt, upstream), task)

    async def _run_attempt_task(
        self,
        attempt_task: _AttemptTask,
        key: tuple[AttemptId, UpstreamName],
        task: Callable[[Any], Any],
    ) -> None:
        try:
            with attempt_task.scope:
                await self._run(task, attempt_task.command)
        finally:
            if self._attempt_tasks.get(key) is attempt_task:
                del self._attempt_tasks[key]

    async def _run(self, task: Callable[[Any], Any], command: EntryCommand) -> None:
        try:
            await task(command)
        except Exception as error:
            log_event(_log, logging.ERROR, "command failed", error, step=type(command).__name__)
            if self._failure is not None:
                return
            if (event := failure_event(command)) is not None:
                self.feed(event)
        finally:
            self._running_tasks -= 1
