"""An entry in the simulation."""

from collections.abc import Callable
from random import Random

from chivehold.core import entry_messages as to_entry
from chivehold.core import sidecar_messages as to_sidecar
from chivehold.core.entry import EntryCore
from chivehold.core.identity import AttemptId, EntryIncarnation
from chivehold.core.policy import Policy
from chivehold.core.wire import (
    Heartbeat,
    ImportOrder,
    LoadReport,
    RevokeResult,
)
from examples.measure.network import NETWORK_DELAY_S, Network

HEARTBEAT_S = 0.5


class EntryNode:
    """Runs an entry's core on the virtual clock and sends its commands over the network."""

    def __init__(self, network: Network, name: str, zone: str, policy: Policy, seed: int) -> None:
        self._network = network
        self._clock = network.clock
        self.incarnation = EntryIncarnation(name)
        self.core = EntryCore(self.incarnation, zone, policy, Random(seed))
        self._wakeup: float | None = None
        self._is_running = True
        self._prefill_upstreams: dict[AttemptId, str] = {}
        network.entries[self.incarnation] = self

    def start(self, declarations: to_entry.DeclarationsChanged) -> None:
        """Apply the declarations and start to send heartbeats."""
        self.feed(declarations)
        for upstream in self._network.sidecars:
            self._clock.call_after(self._network.random.random() * 0.05, self._heartbeat, upstream)

    def kill(self) -> None:
        """Stop the entry at once, without notifying callers or sidecars."""
        self._is_running = False
        del self._network.entries[self.incarnation]

    def feed(self, event: to_entry.EntryEvent) -> None:
        """Pass an event to the core and run the commands that it returns."""
        for command in list(self.core.handle(event, self._clock.now)):
            _ENTRY_COMMANDS[type(command)](self, command)
        self._plan_wakeup()

    def _plan_wakeup(self) -> None:
        due = self.core.next_wakeup()
        if due is None or (self._wakeup is not None and self._wakeup <= due):
            return
        self._wakeup = due
        self._clock.call_at(due, self._wake, due)

    def _wake(self, due: float) -> None:
        if self._wakeup != due or not self._is_running:
            return
        self._wakeup = None
        self.feed(to_entry.Tick())

    def _heartbeat(self, upstream: str) -> None:
        if not self._is_running:
            return
        self._clock.call_after(HEARTBEAT_S, self._heartbeat, upstream)
        heartbeat = Heartbeat(self.incarnation, f"{upstream}.1", 1)
        self._clock.call_after(
            NETWORK_DELAY_S,
            self._network.sidecars[upstream].feed_with_reply,
            lambda reply: to_sidecar.HeartbeatArrived(reply, heartbeat),
            lambda report: self._deliver_report(upstream, report),
        )

    def _deliver_report(self, upstream: str, report: LoadReport) -> None:
        if not self._network.cache_events:
            report = report._replace(prefix_blocks=())
        delay_s = NETWORK_DELAY_S + self._network.report_delay_s
        self._clock.call_after(
            delay_s,
            self._network.deliver_to_entry,
            self.incarnation,
            to_entry.LoadReported(upstream, report),
        )

    def _send_offer(self, command: to_entry.SendOffer) -> None:
        self._network.send_to_sidecar(command.upstream, to_sidecar.OfferArrived(command.offer))

    def _send_prefill(self, command: to_entry.SendPrefill) -> None:
        self._prefill_upstreams[command.order.attempt] = command.upstream
        self._network.send_to_sidecar(command.upstream, to_sidecar.PrefillArrived(command.order))

    def _send_import(self, command: to_entry.SendImport) -> None:
        order: ImportOrder = command.order
        self._prefill_upstreams.pop(order.attempt, None)
        self._clock.call_after(
            NETWORK_DELAY_S,
            self._network.sidecars[command.upstream].feed_with_reply,
            lambda reply: to_sidecar.ImportArrived(reply, order),
            lambda accepted: self._network.send_to_entry(
                self.incarnation, to_entry.ImportSettled(order.attempt, bool(accepted))
            ),
        )

    def _revoke(self, command: to_entry.Revoke) -> None:
        self._clock.call_after(
            NETWORK_DELAY_S,
            self._network.sidecars[command.upstream].feed_with_reply,
            lambda reply: to_sidecar.RevokeArrived(reply, command.attempt, f"{command.upstream}.1"),
            lambda result: self._network.send_to_entry(
                self.incarnation, to_entry.RevokeSettled(command.attempt, RevokeResult(str(result)))
            ),
        )

    def _close(self, command: to_entry.CloseAttempt) -> None:
        self._network.send_to_sidecar(command.upstream, to_sidecar.StreamClosed(command.attempt))
        prefill = self._prefill_upstreams.pop(command.attempt, None)
        if prefill is not None:
            self._network.send_to_sidecar(prefill, to_sidecar.PrefillClosed(command.attempt))

    def _relay(self, command: to_entry.Relay) -> None:
        self._network.callers.record_tokens(command.request, len(command.tokens))

    def _finish(self, command: to_entry.Finish) -> None:
        self._network.callers.record_finish(command)


_ENTRY_COMMANDS: dict[type, Callable[[EntryNode, object], None]] = {
    to_entry.SendOffer: EntryNode._send_offer,
    to_entry.SendPrefill: EntryNode._send_prefill,
    to_entry.SendImport: EntryNode._send_import,
    to_entry.Revoke: EntryNode._revoke,
    to_entry.CloseAttempt: EntryNode._close,
    to_entry.Relay: EntryNode._relay,
    to_entry.Finish: EntryNode._finish,
}
