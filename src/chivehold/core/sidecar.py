"""The decision core of a sidecar, which controls all access to its upstream, without I/O."""

from collections.abc import Callable, Iterator
from typing import Any

from chivehold.core.attempts import Phase
from chivehold.core.identity import AttemptId, EntryIncarnation, Role
from chivehold.core.load_report import load_report
from chivehold.core.policy import Policy
from chivehold.core.sidecar_dump import SidecarDump, dump_sidecar
from chivehold.core.sidecar_ledgers import SidecarLedgers
from chivehold.core.sidecar_messages import (
    CallEnded,
    CancelSettled,
    DeclarationRevision,
    DrainStarted,
    EngineFailed,
    EngineFinished,
    EnginePrefilled,
    EngineReadArrived,
    EngineStatus,
    EngineTokens,
    HeartbeatArrived,
    ImportArrived,
    KeyCommitArrived,
    KeyRegisterArrived,
    KeyReleaseArrived,
    OfferArrived,
    OrderArrived,
    OrderSettled,
    PrefillArrived,
    PrefillClosed,
    ReplyHeartbeat,
    ReplyImport,
    ReplyKey,
    ReplyKeyCommit,
    ReplyOrder,
    ReplyRevoke,
    RevokeArrived,
    SendFrame,
    SendPrefillResult,
    SidecarCommand,
    SidecarConfig,
    SidecarEvent,
    StreamClosed,
    Tick,
)
from chivehold.core.wire import (
    AttemptFrame,
    FrameKind,
    LoadReport,
    OrderResult,
    PrefillKind,
    PrefillResult,
    Reason,
    RevokeResult,
)


class SidecarCore(SidecarLedgers):
    """The state machine for one upstream; a ``DecisionCore[SidecarEvent, SidecarCommand]``.

    A decode engine's places are granted only after its first ``EngineStatus``, which lists the
    attempts that an earlier run of the sidecar left at the engine.

    Args:
        config: The sidecar's settings.
        policy: The scheduling rules that are enabled.
    """

    def __init__(self, config: SidecarConfig, policy: Policy) -> None:
        super().__init__(config, policy)
        self._wakeup: float | None = None
        self._held_until = 0.0
        self._handlers: dict[type, Callable[[Any, float], Iterator[SidecarCommand]]] = {
            OfferArrived: self._on_offer,
            PrefillArrived: self._on_prefill,
            ImportArrived: self._on_import,
            StreamClosed: self._on_closed,
            PrefillClosed: self._on_closed,
            RevokeArrived: self._on_revoke,
            HeartbeatArrived: self._on_heartbeat,
            KeyRegisterArrived: self._on_key_register,
            KeyCommitArrived: self._on_key_commit,
            KeyReleaseArrived: self._on_key_release,
            OrderArrived: self._on_order,
            EngineReadArrived: self._on_engine_read,
            OrderSettled: self._on_order_settled,
            EngineTokens: self.places.forward_tokens,
            EngineFinished: self.places.finish,
            EngineFailed: self._on_engine_failed,
            EnginePrefilled: self._on_engine_prefilled,
            CallEnded: self._on_call_ended,
            CancelSettled: self._on_cancel_settled,
            EngineStatus: self._on_engine_status,
            DeclarationRevision: self._on_revision,
            DrainStarted: self._on_drain,
            Tick: self._on_tick,
        }

    def handle(self, event: SidecarEvent, now: float) -> Iterator[SidecarCommand]:
        """Process one event and yield the resulting commands.

        Args:
            event: What happened.
            now: Monotonic time in seconds; never decreases from call to call.

        Returns:
            Commands in the order in which to execute them; the iterator must be exhausted.
        """
        if self._started_at is None:
            self._started_at = now
        self._now = now
        is_due = self._wakeup is not None and self._wakeup <= now
        if is_due and now >= self._held_until:
            yield from self._expire(now)
        yield from self._handlers[type(event)](event, now)
        self._wakeup = self._next_due(now)

    def next_wakeup(self) -> float | None:
        """Return the time in seconds at which a ``Tick`` is due, or ``None``."""
        return self._wakeup

    def hold_expiry(self, until: float) -> None:
        """Let no deadline expire before a time in seconds, as events may wait to be read."""
        self._held_until = until
        if self._wakeup is not None:
            self._wakeup = max(self._wakeup, until)

    def report(self, now: float) -> LoadReport:
        """Return a report on the upstream's current load."""
        return load_report(self, now)

    def dump(self) -> SidecarDump:
        """Return the whole state as JSON-compatible types."""
        return dump_sidecar(self, self._now)

    def _next_due(self, now: float) -> float | None:
        times = (
            self.leases.next_due(),
            self.cancellations.next_due(),
            self.places.next_due(now),
            self.prefills.next_due(),
        )
        due = min((time for time in times if time is not None), default=None)
        return None if due is None else max(due, self._held_until)

    def _expire(self, now: float) -> Iterator[SidecarCommand]:
        lapsed_entries = list(self.leases.expire(now))
        if lapsed_entries:
            yield from self._end_entries(lapsed_entries, now)
        yield from self.cancellations.retry_due(now)
        yield from self.places.expire(now)
        yield from self.prefills.expire(now)

    def _end_entries(self, entries: list[EntryIncarnation], now: float) -> Iterator[SidecarCommand]:
        """Fail the attempts of entries whose lease has lapsed, and release their keys.

        Waiting offers fail first, so that none is granted a place that becomes free.
        """
        attempts = [live for entry in entries for live in self.attempts.attempts_of(entry)]
        attempts.sort(key=lambda live: live.phase is not Phase.WAITING)
        for live in attempts:
            yield from self._fail(live.attempt, Reason.LEASE_LAPSED, now)
        for entry in entries:
            self.keys.release_all_of(entry)

    def _fail(self, attempt: AttemptId, reason: Reason, now: float) -> Iterator[SidecarCommand]:
        yield from self.places.fail(attempt, reason, now)
        yield from self.prefills.fail(attempt, reason, now)

    def _on_offer(self, event: OfferArrived, now: float) -> Iterator[SidecarCommand]:
        offer = event.offer
        self.leases.renew(offer.entry, now)
        if self.config.role is Role.PREFILL:
            frame = AttemptFrame(FrameKind.REFUSED, offer.attempt, reason=Reason.MALFORMED)
            yield SendFrame(offer.entry, frame)
            return
        yield from self.places.offer(offer, now)

    def _on_prefill(self, event: PrefillArrived, now: float) -> Iterator[SidecarCommand]:
        order = event.order
        self.leases.renew(order.entry, now)
        if self.config.role is not Role.PREFILL:
            refused = PrefillResult(PrefillKind.REFUSED, order.attempt, reason=Reason.MALFORMED)
            yield SendPrefillResult(order.entry, refused)
            return
        yield from self.prefills.submit(order, now)

    def _on_import(self, event: ImportArrived, now: float) -> Iterator[SidecarCommand]:
        live = self.attempts.get(event.order.attempt)
        if live is None:
            yield ReplyImport(event.reply, False)
            return
        self.leases.renew(live.entry, now)
        yield from self.places.accept_import(event, now)

    def _on_closed(
        self, event: StreamClosed | PrefillClosed, now: float
    ) -> Iterator[SidecarCommand]:
        yield from self.places.drop(event.attempt, now)
        yield from self.prefills.drop(event.attempt, now)

    def _on_revoke(self, event: RevokeArrived, now: float) -> Iterator[SidecarCommand]:
        if event.incarnation != self.config.incarnation:
            yield ReplyRevoke(event.reply, RevokeResult.OTHER_INCARNATION)
            return
        live = self.attempts.get(event.attempt)
        if live is not None:
            self.leases.renew(live.entry, now)
        result = self.attempts.revoke(event.attempt, now)
        yield ReplyRevoke(event.reply, result)
        blocked = result is RevokeResult.NEVER_STARTED
        if event.keeps_started and not blocked:
            return
        yield from self._fail(event.attempt, Reason.REVOKED if blocked else Reason.CANCELLED, now)

    def _on_heartbeat(self, event: HeartbeatArrived, now: float) -> Iterator[SidecarCommand]:
        self.leases.renew(event.heartbeat.entry, now)
        yield ReplyHeartbeat(event.reply, self.report(now))

    def _on_key_register(self, event: KeyRegisterArrived, now: float) -> Iterator[SidecarCommand]:
        self.leases.renew(event.registration.entry, now)
        decision = self.keys.register(event.registration, self.up_for_s(now), now)
        yield ReplyKey(event.reply, decision)

    def _on_key_commit(self, event: KeyCommitArrived, now: float) -> Iterator[SidecarCommand]:
        self.leases.renew(event.commit.entry, now)
        yield ReplyKeyCommit(event.reply, self.keys.commit(event.commit, now))

    def _on_key_release(self, event: KeyReleaseArrived, now: float) -> Iterator[SidecarCommand]:
        self.leases.renew(event.commit.entry, now)
        self.keys.release(event.commit)
        yield from ()

    def _on_order(self, event: OrderArrived, now: float) -> Iterator[SidecarCommand]:
        if event.order.incarnation not in ("", self.config.incarnation):
            yield ReplyOrder(event.reply, OrderResult.STALE)
            return
        yield from self.orders.submit(event.reply, event.order, now)

    def _on_engine_read(self, event: EngineReadArrived, now: float) -> Iterator[SidecarCommand]:
        yield self.orders.fence(event.reply, event.fencing_number)

    def _on_order_settled(self, event: OrderSettled, now: float) -> Iterator[SidecarCommand]:
        yield from self.orders.complete(event.order, event.result, now)

    def _on_engine_failed(self, event: EngineFailed, now: float) -> Iterator[SidecarCommand]:
        yield from self._fail(event.attempt, event.reason, now)

    def _on_engine_prefilled(self, event: EnginePrefilled, now: float) -> Iterator[SidecarCommand]:
        yield from self.prefills.forward_result(event.result, now)

    def _on_call_ended(self, event: CallEnded, now: float) -> Iterator[SidecarCommand]:
        yield from self.places.end_call(event.attempt, now)

    def _on_cancel_settled(self, event: CancelSettled, now: float) -> Iterator[SidecarCommand]:
        if not event.released or event.attempt not in self.cancellations:
            return
        yield from self.places.confirm_release(event.attempt, now)
        yield from self.prefills.confirm_release(event.attempt, now)

    def _on_engine_status(self, event: EngineStatus, now: float) -> Iterator[SidecarCommand]:
        previous = self.availability.refusal
        self.availability.observe(event)
        refusal = self.availability.refusal
        if refusal is not previous:
            yield from self._refuse_work(refusal, now)
        if not event.reachable:
            return
        self._prefix_blocks = event.prefix_blocks
        self.prefills.queue.set_cached_blocks(event.prefix_blocks)
        for attempt in event.held:
            yield from self._cancel_unowned(attempt, now)
        yield from self.places.grant_waiting(now)

    def _refuse_work(self, refusal: Reason | None, now: float) -> Iterator[SidecarCommand]:
        if refusal is Reason.LEAVING:
            yield from self.places.refuse_all_waiting(refusal, now)
            yield from self.prefills.refuse_all_waiting(refusal, now)
        elif refusal is not None:
            yield from self.places.fail_all(refusal, now)
            yield from self.prefills.fail_all(refusal, now)

    def _cancel_unowned(self, attempt: AttemptId, now: float) -> Iterator[SidecarCommand]:
        if self.places.owns(attempt) or self.prefills.owns(attempt):
            return
        if self.config.role is not Role.PREFILL:
            self.places.slots.hold_orphan(attempt, now)
        yield from self.cancellations.begin(attempt, now)

    def _on_revision(self, event: DeclarationRevision, now: float) -> Iterator[SidecarCommand]:
        if event.revision < self._revision:
            return
        self._revision = event.revision
        self.places.slots.set_patient_floor(event.patient_floor)
        self.prefills.queue.set_patient_floor(event.patient_floor)
        yield from self.places.grant_waiting(now)

    def _on_drain(self, event: DrainStarted, now: float) -> Iterator[SidecarCommand]:
        previous = self.availability.refusal
        self.availability.drain()
        if self.availability.refusal is not previous:
            yield from self._refuse_work(self.availability.refusal, now)

    def _on_tick(self, event: Tick, now: float) -> Iterator[SidecarCommand]:
        yield from self._expire(now)
