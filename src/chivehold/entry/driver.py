"""Drives the entry's core: feeds events one at a time and carries out the commands."""

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
    """Claims of non-idempotent requests in the platform."""

    async def make(self, command: MakeClaim) -> ClaimDecision:
        """Claim a request before it is sent."""
        ...

    async def end(self, command: EndClaim) -> None:
        """Record a claimed request's outcome."""
        ...


class Leases(Protocol):
    """Leases at the homes of keys."""

    def hold(self, upstream: UpstreamName) -> None:
        """Keep a lease at an upstream until ``release``."""
        ...

    async def wait_heard(self, upstream: UpstreamName) -> None:
        """Return once the upstream has granted the lease, or after a short time."""
        ...

    def release(self, upstream: UpstreamName) -> None:
        """End one ``hold``."""
        ...


class _Leg(NamedTuple):
    """What runs at one upstream for an attempt."""

    scope: trio.CancelScope
    command: EntryCommand


class EntryDriver:
    """Owns the core and every task that a command starts.

    Args:
        core: The decisions.
        attempts: Carries attempts over HTTP.
        calls: Asks sidecars over gRPC.
        claims: Keeps claims in the platform.
        leases: Keeps this entry's leases at keys' homes.
        nursery: Runs the tasks; it outlives all requests.
    """

    def __init__(
        self,
        core: EntryCore,
        attempts: AttemptClient,
        calls: SidecarCalls,
        claims: Claims,
        leases: Leases,
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
        self._legs: dict[tuple[AttemptId, UpstreamName], _Leg] = {}
        self._addressed: dict[RequestId, dict[AttemptId, SidecarIncarnation]] = {}
        self._homes: dict[RequestId, UpstreamName] = {}
        self._tasks = 0
        self._carriers = self._carrier_table()

    @property
    def is_idle(self) -> bool:
        """Whether no request and no task of one is left."""
        return not (self._pending or self._tasks or self._core.in_progress)

    @property
    def in_progress(self) -> int:
        """Requests that have not ended."""
        return self._core.in_progress

    def dump(self) -> EntryDump:
        """Return the core's state as of now, fit for JSON."""
        return self._core.dump()

    def arrive(self, arrival: RequestArrived) -> PendingRequest:
        """Take a caller's request."""
        pending = PendingRequest(arrival.request)
        self._pending[arrival.request] = pending
        self.feed(arrival)
        return pending

    def leave(self, pending: PendingRequest) -> None:
        """Forget a request whose caller has gone; does nothing once it has ended."""
        if self._pending.pop(pending.request, None) is not None:
            self.feed(CallerDisconnected(pending.request))
            self._forget(pending.request)

    def lose(self, upstream: UpstreamName) -> None:
        """Give up what runs at an upstream that has not been heard from for longer than its lease.

        Its sidecar has dropped all of it by now, or is gone; a link that is merely silent would
        hold the requests until their deadlines.
        """
        lost = [leg for (_, peer), leg in self._legs.items() if peer == upstream]
        for leg in lost:
            leg.scope.cancel()
            if (event := failure_event(leg.command)) is not None:
                self.feed(event)

    def feed(self, event: EntryEvent) -> None:
        """Feed an event, after those that are being fed, and start what the commands ask for."""
        self._events.append(event)
        if self._is_feeding:
            return
        self._is_feeding = True
        try:
            while self._events:
                self._feed_one(self._events.popleft())
        except Exception as error:
            self._failure = error
            self._timer.cancel()
            raise
        finally:
            self._is_feeding = False
        self._timer.deadline = self._wakeup()

    async def run_timer(self) -> None:
        """Feed a ``Tick`` whenever the core asked for one.

        Raises:
            Exception: What the core or a command raised; its state cannot be trusted after it.
        """
        while self._failure is None:
            with trio.CancelScope(deadline=self._wakeup()) as self._timer:
                await trio.sleep_forever()
            if self._failure is None:
                self.feed(Tick())
        raise self._failure

    async def wait_idle(self) -> None:
        """Return once no request is left."""
        while not self.is_idle:
            await trio.sleep(IDLE_POLL_S)

    def _wakeup(self) -> float:
        wakeup = self._core.next_wakeup()
        return math.inf if wakeup is None else wakeup

    def _feed_one(self, event: EntryEvent) -> None:
        for command in self._core.handle(event, trio.current_time()):
            self._carriers[type(command)](command)

    def _carrier_table(self) -> dict[type[EntryCommand], Callable[[Any], None]]:
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
            EndClaim: lambda command: self._start(self._claims.end, command),
            Relay: self._relay,
            Finish: self._finish,
        }

    def _start_registration(self, command: RegisterKey) -> None:
        self._homes[command.registration.request] = command.home
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
        self._addressed.pop(request, None)
        if home := self._homes.pop(request, None):
            self._leases.release(home)

    def _send_offer(self, command: SendOffer) -> None:
        self._address(command.offer.attempt, command.offer.incarnation)
        self._start_leg(command.offer.attempt, command.upstream, self._offer_leg, command)

    def _send_call(self, command: SendCall) -> None:
        self._address(command.offer.attempt, command.offer.incarnation)
        self._start_leg(command.offer.attempt, command.upstream, self._call_leg, command)

    def _send_prefill(self, command: SendPrefill) -> None:
        self._start_leg(command.order.attempt, command.upstream, self._prefill_leg, command)

    def _close_attempt(self, command: CloseAttempt) -> None:
        if leg := self._legs.get((command.attempt, command.upstream)):
            leg.scope.cancel()

    async def _offer_leg(self, command: SendOffer) -> None:
        async for event in self._attempts.offer(command.upstream, command.offer):
            self.feed(event)

    async def _call_leg(self, command: SendCall) -> None:
        self.feed(await self._attempts.call(command.upstream, command.offer, command.call))

    async def _prefill_leg(self, command: SendPrefill) -> None:
        self.feed(await self._attempts.prefill(command.upstream, command.order))

    async def _send_import(self, command: SendImport) -> None:
        self.feed(await self._attempts.import_kv(command.upstream, command.order))

    async def _revoke(self, command: Revoke) -> None:
        addressed = self._addressed.get(command.attempt.request, {})
        incarnation = addressed.get(command.attempt, SidecarIncarnation(""))
        result = await self._calls.revoke(command.upstream, command.attempt, incarnation)
        self.feed(RevokeSettled(command.attempt, result))

    async def _register_key(self, command: RegisterKey) -> None:
        await self._leases.wait_heard(command.home)
        decision = await self._calls.register_key(command.home, command.registration)
        self.feed(KeySettled(command.registration.request, decision))

    async def _commit_key(self, command: CommitKey) -> None:
        committed = await self._calls.commit_key(command.home, command.commit)
        self.feed(KeyCommitSettled(command.commit.request, committed))

    async def _release_key(self, command: ReleaseKey) -> None:
        await self._calls.release_key(command.home, command.commit)

    async def _make_claim(self, command: MakeClaim) -> None:
        decision = await self._claims.make(command)
        self.feed(ClaimSettled(command.request, decision))

    def _address(self, attempt: AttemptId, incarnation: SidecarIncarnation) -> None:
        self._addressed.setdefault(attempt.request, {})[attempt] = incarnation

    def _start(self, task: Callable[[Any], Any], command: EntryCommand) -> None:
        self._tasks += 1
        self._nursery.start_soon(self._run, task, command)

    def _start_leg(
        self,
        attempt: AttemptId,
        upstream: UpstreamName,
        task: Callable[[Any], Any],
        command: EntryCommand,
    ) -> None:
        leg = _Leg(trio.CancelScope(), command)
        self._legs[attempt, upstream] = leg
        self._tasks += 1
        self._nursery.start_soon(self._run_leg, leg, (attempt, upstream), task)

    async def _run_leg(
        self, leg: _Leg, key: tuple[AttemptId, UpstreamName], task: Callable[[Any], Any]
    ) -> None:
        try:
            with leg.scope:
                await self._run(task, leg.command)
        finally:
            if self._legs.get(key) is leg:
                del self._legs[key]

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
            self._tasks -= 1
