"""Admission control for a prefill engine."""

from collections.abc import Iterator

from chivehold.core.attempts import AttemptLedger, Phase
from chivehold.core.availability import Availability
from chivehold.core.cancellations import Cancellations
from chivehold.core.deadlines import Deadlines
from chivehold.core.identity import AttemptId
from chivehold.core.policy import Policy
from chivehold.core.prefill_queue import PrefillQueue
from chivehold.core.refusals import (
    DEFAULT_RETRY_AFTER_S,
    RefusalRules,
    expiry_reason,
    retry_after_s,
)
from chivehold.core.sidecar_messages import (
    SendPrefillResult,
    SidecarCommand,
    SidecarConfig,
    StartPrefill,
)
from chivehold.core.wire import PrefillKind, PrefillOrder, PrefillResult, Reason


class PrefillAdmission:
    """Queues prompts in the sidecar, not at the engine, so that waiting ones can be dropped.

    Args:
        config: The sidecar's settings.
        policy: The scheduling rules that are enabled.
        attempts: Attempts in progress, and those remembered after their end.
        availability: Whether the upstream accepts new work.
        cancellations: Sends cancels to the engine until they are confirmed.
    """

    def __init__(
        self,
        config: SidecarConfig,
        policy: Policy,
        attempts: AttemptLedger,
        availability: Availability,
        cancellations: Cancellations,
    ) -> None:
        self._max_waiting = config.waiting_most
        self._attempts = attempts
        self._cancellations = cancellations
        self._refusal_rules = RefusalRules(
            config.incarnation, policy.shed_late, attempts, availability
        )
        self.queue = PrefillQueue(policy, config.patient_floor, config.prefill_tokens_per_s)
        self._orders: dict[AttemptId, PrefillOrder] = {}
        self._start_deadlines: Deadlines[AttemptId] = Deadlines()

    def submit(self, order: PrefillOrder, now: float) -> Iterator[SidecarCommand]:
        """Start a prompt, queue it, or refuse it at once."""
        reason = self._refusal_rules.immediate_reason(order)
        if reason is not None:
            if self._attempts.refusal(order.attempt) is None:
                self._attempts.refuse(order.attempt, now)
            yield self._refused(order, reason, DEFAULT_RETRY_AFTER_S)
            return
        self.queue.add(order)
        wait_s = self.queue.wait_s(order, now)
        reason = self._late_refusal(order, wait_s)
        if reason is not None:
            self.queue.discard(order.attempt)
            self._attempts.refuse(order.attempt, now)
            yield self._refused(order, reason, wait_s - order.start_within_s)
            return
        self._attempts.open(order.attempt, order.entry)
        self._orders[order.attempt] = order
        self._start_deadlines.set(
            order.attempt, now + min(order.start_within_s, order.deadline_in_s)
        )
        yield from self.start_waiting(now)

    def start_waiting(self, now: float) -> Iterator[SidecarCommand]:
        """Start as many waiting prompts as the engine may run now."""
        while (order := self.queue.start_next(now)) is not None:
            self._start_deadlines.discard(order.attempt)
            self._attempts.advance(order.attempt, Phase.RUNNING)
            yield StartPrefill(order)

    def forward_result(self, result: PrefillResult, now: float) -> Iterator[SidecarCommand]:
        """Forward the engine's result and start the next prompt."""
        running = self.queue.remove_running(result.attempt)
        self._cancellations.confirm(result.attempt)
        if running is not None and result.kind is PrefillKind.DONE:
            self.queue.record_rate(running, result, now)
        order = self._orders.get(result.attempt)
        if order is not None:
            yield SendPrefillResult(order.entry, result)
            self._forget(result.attempt, now)
        yield from self.start_waiting(now)

    def confirm_release(self, attempt: AttemptId, now: float) -> Iterator[SidecarCommand]:
        """Start the next prompt after the engine confirms that a cancelled one has ended."""
        self._cancellations.confirm(attempt)
        if attempt not in self._orders and self.queue.remove_running(attempt) is not None:
            yield from self.start_waiting(now)

    def drop(self, attempt: AttemptId, now: float) -> Iterator[SidecarCommand]:
        """End a prompt whose entry has closed the connection."""
        if attempt not in self._orders:
            return
        waiting = self.queue.discard(attempt) is not None
        self._forget(attempt, now)
        if not waiting:
            yield from self._cancellations.begin(attempt, now)

    def fail(self, attempt: AttemptId, reason: Reason, now: float) -> Iterator[SidecarCommand]:
        """End a prompt and send the reason to its entry."""
        order = self._orders.get(attempt)
        if order is None:
            return
        kind = PrefillKind.REFUSED if attempt in self.queue else PrefillKind.FAILED
        yield SendPrefillResult(order.entry, PrefillResult(kind, attempt, reason=reason))
        yield from self.drop(attempt, now)

    def refuse_all_waiting(self, reason: Reason, now: float) -> Iterator[SidecarCommand]:
        """Refuse every queued prompt."""
        for order in self.queue:
            yield from self._refuse_waiting(order, reason, DEFAULT_RETRY_AFTER_S, now)

    def fail_all(self, reason: Reason, now: float) -> Iterator[SidecarCommand]:
        """Refuse all queued prompts and fail the running ones."""
        yield from self.refuse_all_waiting(reason, now)
        for attempt in tuple(self._orders):
            yield from self.fail(attempt, reason, now)

    def owns(self, attempt: AttemptId) -> bool:
        """Return whether an attempt is in progress here."""
        return attempt in self._orders

    def expire(self, now: float) -> Iterator[SidecarCommand]:
        """Refuse prompts that were not started in time."""
        for attempt in list(self._start_deadlines.expire(now)):
            order = self._orders[attempt]
            yield from self._refuse_waiting(
                order, expiry_reason(order), self.queue.backlog_s(now), now
            )

    def next_due(self) -> float | None:
        """Return the time at which ``expire`` is due, or ``None``."""
        return self._start_deadlines.next_due()

    def _late_refusal(self, order: PrefillOrder, wait_s: float) -> Reason | None:
        if len(self.queue) > self._max_waiting:
            return Reason.FULL
        return self._refusal_rules.lateness_reason(order, wait_s)

    def _refused(self, order: PrefillOrder, reason: Reason, wait_s: float) -> SendPrefillResult:
        result = PrefillResult(
            PrefillKind.REFUSED,
            order.attempt,
            reason=reason,
            retry_after_s=retry_after_s(wait_s),
        )
        return SendPrefillResult(order.entry, result)

    def _refuse_waiting(
        self, order: PrefillOrder, reason: Reason, wait_s: float, now: float
    ) -> Iterator[SidecarCommand]:
        yield self._refused(order, reason, wait_s)
        yield from self.drop(order.attempt, now)

    def _forget(self, attempt: AttemptId, now: float) -> None:
        del self._orders[attempt]
        self._start_deadlines.discard(attempt)
        self._attempts.close(attempt, now)
