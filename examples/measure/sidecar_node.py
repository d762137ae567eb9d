"""A sidecar and its engine in the simulation."""

from collections.abc import Callable

from chivehold.core import entry_messages as to_entry
from chivehold.core import sidecar_messages as to_sidecar
from chivehold.core.declared import Upstream
from chivehold.core.identity import AttemptId, EntryIncarnation, Role, Urgency
from chivehold.core.policy import Policy
from chivehold.core.sidecar import SidecarCore
from chivehold.core.wire import (
    FrameKind,
    PrefillKind,
    PrefillResult,
    Reason,
)
from chivehold.fakes.engine_model import (
    DecodeDone,
    DecodeJob,
    EngineCost,
    EngineModel,
    EngineOutput,
    FirstToken,
    KvExpired,
    PrefillDone,
    PrefillJob,
)
from examples.measure.network import Network

ENGINE_CALL_DELAY_S = 0.0005
STATUS_POLL_S = 0.5
ENTRY_LEASE_S = 1.5
TOKEN = "t"


class SidecarNode:
    """Runs a sidecar's core and its engine model on the virtual clock."""

    def __init__(
        self, network: Network, upstream: Upstream, cost: EngineCost, policy: Policy
    ) -> None:
        self._network = network
        self._clock = network.clock
        self._upstream = upstream
        self._cost = cost
        self.engine = EngineModel(cost)
        self._engine_due: float | None = None
        self._wakeup: float | None = None
        self.alive = True
        self._orders: dict[AttemptId, tuple[to_sidecar.StartDecode, int]] = {}
        """By running attempt, its decode command and the number of tokens already sent."""
        self._prefill_entries: dict[AttemptId, EntryIncarnation] = {}
        self._replies: list[Callable[[object], None]] = []
        self.core = SidecarCore(
            to_sidecar.SidecarConfig(
                incarnation=f"{upstream.name}.1",
                role=upstream.role,
                places=upstream.places,
                patient_floor=0.1,
                entry_lease_s=ENTRY_LEASE_S,
                link_bytes_per_s=cost.link_bytes_per_s if upstream.role is Role.DECODE else 0.0,
                prefill_tokens_per_s=cost.prefill_tokens_per_s,
                key_retention_s=600.0,
            ),
            policy,
        )
        self._clock.call_at(network.random.random() * STATUS_POLL_S, self._poll)

    def feed(self, event: to_sidecar.SidecarEvent) -> None:
        """Pass an event to the core and run the commands that it returns."""
        for command in list(self.core.handle(event, self._clock.now)):
            _SIDECAR_COMMANDS[type(command)](self, command)
        self._plan_wakeup()

    def feed_with_reply(
        self,
        make_event: Callable[[int], to_sidecar.SidecarEvent],
        on_reply: Callable[[object], None],
    ) -> None:
        """Pass an event that the core replies to.

        Args:
            make_event: Makes the event from the number that identifies the reply.
            on_reply: Called with the reply.
        """
        self._replies.append(on_reply)
        self.feed(make_event(len(self._replies) - 1))

    def set_alive(self, alive: bool) -> None:
        """Kill the engine, or restart it with no requests and no cache."""
        now = self._clock.now
        if not alive:
            for attempt in tuple(self._orders):
                self._emit_produced(attempt, now)
            broken = tuple(self._orders)
            self._orders.clear()
            self.engine.clear(now)
            for attempt in broken:
                self.feed(to_sidecar.EngineFailed(attempt, Reason.ENGINE_FAILED))
            for attempt in tuple(self._prefill_entries):
                self._fail_prefill(attempt)
        self.alive = alive

    def set_speed(self, speed: float) -> None:
        """Set the engine's speed; 1.0 is full speed."""
        self.engine.set_speed(speed, self._clock.now)
        self._plan_engine()

    def _poll(self) -> None:
        if self._network.tokens_each_poll:
            for attempt in tuple(self._orders):
                self._emit_produced(attempt, self._clock.now)
        blocks = self.engine.cached_blocks[:64] if self._network.cache_events else ()
        held = tuple(self.engine.held)
        self.feed(to_sidecar.EngineStatus(self.alive, False, held, blocks))
        self._clock.call_after(STATUS_POLL_S, self._poll)

    def _plan_wakeup(self) -> None:
        due = self.core.next_wakeup()
        if due is None or (self._wakeup is not None and self._wakeup <= due):
            return
        self._wakeup = due
        self._clock.call_at(due, self._wake, due)

    def _wake(self, due: float) -> None:
        if self._wakeup != due:
            return
        self._wakeup = None
        self.feed(to_sidecar.Tick())

    def _plan_engine(self) -> None:
        due = self.engine.next_event_at()
        if due is None or due == self._engine_due:
            return
        self._engine_due = due
        self._clock.call_at(due, self._run_engine, due)

    def _run_engine(self, due: float) -> None:
        if self._engine_due != due:
            return
        self._engine_due = None
        for output in list(self.engine.advance(self._clock.now)):
            self._handle_engine_output(output)
        self._plan_engine()

    def _handle_engine_output(self, output: EngineOutput) -> None:
        if isinstance(output, PrefillDone):
            self._prefill_entries.pop(output.attempt, None)
            handle = f"{output.attempt.request}/{output.attempt.number}@{self._clock.now}"
            self._network.kv_expires_at[handle] = output.expires_at
            self._network.prefilled_by[handle] = output.attempt
            self._network.prefill_work_s[output.attempt] = (
                self._network.prefill_work_s.get(output.attempt, 0.0) + output.work_s
            )
            result = PrefillResult(
                kind=PrefillKind.DONE,
                attempt=output.attempt,
                handle=handle,
                engine_address=str(self._upstream.name),
                kv_bytes=output.kv_bytes,
                expires_in_s=output.expires_at - self._clock.now,
                reused_tokens=output.reused_tokens,
            )
            self.feed(to_sidecar.EnginePrefilled(result))
            return
        if output.attempt not in self._orders:
            return
        order, sent = self._orders[output.attempt]
        if isinstance(output, FirstToken):
            self._send_tokens(output.attempt, 1)
        elif isinstance(output, DecodeDone):
            self._send_tokens(output.attempt, output.tokens)
            del self._orders[output.attempt]
            total = order.offer.first_offset + output.tokens
            self.feed(to_sidecar.EngineFinished(output.attempt, total))
        elif isinstance(output, KvExpired):
            del self._orders[output.attempt]
            self.feed(to_sidecar.EngineFailed(output.attempt, Reason.KV_EXPIRED))

    def _emit_produced(self, attempt: AttemptId, now: float) -> None:
        self._send_tokens(attempt, self.engine.produced_tokens(attempt, now))

    def _send_tokens(self, attempt: AttemptId, produced: int) -> None:
        order, sent = self._orders[attempt]
        if produced <= sent:
            return
        self._orders[attempt] = (order, produced)
        offset = order.offer.first_offset + sent
        self.feed(to_sidecar.EngineTokens(attempt, offset, (TOKEN,) * (produced - sent)))

    def _send_frame(self, command: to_sidecar.SendFrame) -> None:
        if command.frame.kind is FrameKind.TOKENS:
            attempt = command.frame.attempt
            self._network.useful_prefills[attempt.request] = self._network.prefill_attempts.get(
                attempt, attempt
            )
        self._network.send_to_entry(command.entry, to_entry.FrameReceived(command.frame))

    def _send_prefill_result(self, command: to_sidecar.SendPrefillResult) -> None:
        self._network.send_to_entry(command.entry, to_entry.PrefillSettled(command.result))

    def _start_prefill(self, command: to_sidecar.StartPrefill) -> None:
        order = command.order
        self._prefill_entries[order.attempt] = order.entry
        if not self.alive:
            self._clock.call_after(ENGINE_CALL_DELAY_S, self._fail_prefill, order.attempt)
            return
        urgent = order.urgency is Urgency.URGENT
        job = PrefillJob(order.attempt, order.prompt_tokens, order.prefix_blocks, urgent)
        self.engine.submit_prefill(job, self._clock.now)
        self._plan_engine()

    def _fail_prefill(self, attempt: AttemptId) -> None:
        if self._prefill_entries.pop(attempt, None) is None:
            return
        result = PrefillResult(PrefillKind.FAILED, attempt, reason=Reason.ENGINE_FAILED)
        self.feed(to_sidecar.EnginePrefilled(result))

    def _start_decode(self, command: to_sidecar.StartDecode) -> None:
        attempt = command.offer.attempt
        self._network.prefill_attempts[attempt] = self._network.prefilled_by[command.order.handle]
        total = self._network.output_tokens[attempt.request]
        job = DecodeJob(
            attempt=attempt,
            kv_bytes=command.order.kv_bytes,
            kv_expires_at=self._network.kv_expires_at.get(command.order.handle, 0.0),
            tokens=max(1, total - command.offer.first_offset),
            stalls=self._network.random.random() < self._network.stall_share,
        )
        if not self.alive or not self.engine.submit_decode(job, self._clock.now):
            failed = to_sidecar.EngineFailed(attempt, Reason.ENGINE_FAILED)
            self._clock.call_after(ENGINE_CALL_DELAY_S, self.feed, failed)
            return
        self._orders[attempt] = (command, 0)
        self._plan_engine()

    def _cancel(self, command: to_sidecar.CancelAtEngine) -> None:
        self._orders.pop(command.attempt, None)
        self._prefill_entries.pop(command.attempt, None)
        self.engine.cancel(command.attempt, self._clock.now)
        self._plan_engine()
        settled = to_sidecar.CancelSettled(command.attempt, self.alive)
        self._clock.call_after(ENGINE_CALL_DELAY_S, self.feed, settled)

    def _reply(self, reply: int, value: object) -> None:
        self._replies[reply](value)

    def _reply_import(self, command: to_sidecar.ReplyImport) -> None:
        self._reply(command.reply, command.accepted)

    def _reply_revoke(self, command: to_sidecar.ReplyRevoke) -> None:
        self._reply(command.reply, command.result)

    def _reply_heartbeat(self, command: to_sidecar.ReplyHeartbeat) -> None:
        self._reply(command.reply, command.report)


_SIDECAR_COMMANDS: dict[type, Callable[[SidecarNode, object], None]] = {
    to_sidecar.SendFrame: SidecarNode._send_frame,
    to_sidecar.SendPrefillResult: SidecarNode._send_prefill_result,
    to_sidecar.StartPrefill: SidecarNode._start_prefill,
    to_sidecar.StartDecode: SidecarNode._start_decode,
    to_sidecar.CancelAtEngine: SidecarNode._cancel,
    to_sidecar.ReplyImport: SidecarNode._reply_import,
    to_sidecar.ReplyRevoke: SidecarNode._reply_revoke,
    to_sidecar.ReplyHeartbeat: SidecarNode._reply_heartbeat,
}
