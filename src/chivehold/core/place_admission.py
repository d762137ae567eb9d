"""Admission control for the places (concurrency slots) of a decode engine or plain service."""

from collections.abc import Iterator

from chivehold.core.attempts import AttemptLedger, Phase
from chivehold.core.availability import Availability
from chivehold.core.cancellations import Cancellations
from chivehold.core.deadlines import Deadlines
from chivehold.core.identity import AttemptId, Role, Urgency
from chivehold.core.link import ImportLink
from chivehold.core.policy import Policy
from chivehold.core.refusals import (
    DEFAULT_RETRY_AFTER_S,
    RefusalRules,
    expiry_reason,
    retry_after_s,
)
from chivehold.core.sidecar_messages import (
    CancelAtEngine,
    EngineFinished,
    EngineTokens,
    ImportArrived,
    ReplyImport,
    SendFrame,
    SidecarCommand,
    SidecarConfig,
    StartCall,
    StartDecode,
)
from chivehold.core.slots import SlotLedger
from chivehold.core.smoothing import MovingAverage
from chivehold.core.wait_estimate import LATENESS_Z, expected_wait_s
from chivehold.core.waitlist import WaitList
from chivehold.core.wire import AttemptFrame, AttemptOffer, FrameKind, Reason

TOKEN_INTERVAL_WEIGHT = 0.05
STALL_TOKEN_INTERVALS = 10
"""The stall timeout is at least this many token intervals, for engines that are slow."""
MIN_WAIT_TO_PREEMPT_S = 0.45
"""An urgent offer preempts a patient stream only if its expected wait is longer than this."""


class PlaceAdmission:
    """Grants places to offers, starts granted attempts and frees places.

    The place of a running attempt becomes free only once the engine confirms that the attempt holds
    nothing.

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
        self._config = config
        self._policy = policy
        self._attempts = attempts
        self._availability = availability
        self._cancellations = cancellations
        self._refusal_rules = RefusalRules(
            config.incarnation, policy.shed_late, attempts, availability
        )
        self.slots = SlotLedger(config.places, config.patient_floor, policy.urgent_headroom)
        self.waitlist = WaitList(policy)
        self.link = ImportLink(config.link_bytes_per_s, policy.link_budget)
        self.token_interval_s = MovingAverage(TOKEN_INTERVAL_WEIGHT)
        self._offers: dict[AttemptId, AttemptOffer] = {}
        self._start_deadlines: Deadlines[AttemptId] = Deadlines()
        self._import_deadlines: Deadlines[AttemptId] = Deadlines()
        self._first_token_deadlines: Deadlines[AttemptId] = Deadlines()
        self._last_token_at: dict[AttemptId, float] = {}

    @property
    def _is_decode(self) -> bool:
        return self._config.role is Role.DECODE

    @property
    def _stall_timeout_s(self) -> float:
        """Timeout for the first token after a transfer; longer for a slow engine."""
        interval_s = self.token_interval_s.value_or(0.0)
        return max(self._config.transfer_stall_s, STALL_TOKEN_INTERVALS * interval_s)

    def offer(self, offer: AttemptOffer, now: float) -> Iterator[SidecarCommand]:
        """Grant an offer, queue it, or refuse it at once."""
        reason = self._refusal_rules.immediate_reason(offer)
        if reason is not None:
            yield from self._refuse_unopened(offer, reason, now)
            return
        self._attempts.open(offer.attempt, offer.entry)
        self._offers[offer.attempt] = offer
        self.waitlist.add(offer, now)
        yield from self.grant_waiting(now)
        if offer.attempt not in self.waitlist:
            return
        yield from self._preempt(offer, now)
        if offer.attempt not in self.waitlist:
            return
        ahead = self.waitlist.count_ahead(offer)
        wait_s = self.expected_wait_s(offer.urgency, ahead, now, LATENESS_Z)
        transfer_s = self._transfer_s(offer, now)
        reason = self._late_refusal(offer, wait_s + transfer_s)
        if reason is not None:
            yield from self._refuse_waiting(offer.attempt, reason, wait_s, now)
            return
        start_within_s = min(offer.start_within_s - transfer_s, offer.deadline_in_s)
        self._start_deadlines.set(offer.attempt, now + max(0.0, start_within_s))
        yield SendFrame(offer.entry, AttemptFrame(FrameKind.QUEUED, offer.attempt))

    def _preempt(self, offer: AttemptOffer, now: float) -> Iterator[SidecarCommand]:
        """Preempt a patient stream if an urgent offer would otherwise wait too long.

        Only places beyond the patient floor are taken. The stream with the shortest prompt is
        preempted, because it costs least to run again. Its place is granted once the engine
        confirms that it is free.
        """
        pending_releases = len(self._cancellations)
        if not offer.preempts or pending_releases >= self.waitlist.waiting(Urgency.URGENT):
            return
        held = self.slots.held_by(Urgency.PATIENT)
        if held - pending_releases <= self.slots.floor_places:
            return
        wait_s = self.expected_wait_s(offer.urgency, self.waitlist.count_ahead(offer), now)
        victims = [
            candidate for candidate in self._offers.values() if self._is_preemptible(candidate)
        ]
        if wait_s <= MIN_WAIT_TO_PREEMPT_S or not victims:
            return
        victim = min(victims, key=lambda candidate: candidate.prompt_tokens)
        yield from self.fail(victim.attempt, Reason.PREEMPTED, now)

    def _is_preemptible(self, offer: AttemptOffer) -> bool:
        return offer.preemptible and offer.attempt in self.slots

    def grant_waiting(self, now: float) -> Iterator[SidecarCommand]:
        """Grant free places to waiting offers."""
        while (offer := self._next_grant(now)) is not None:
            yield from self._grant(offer, now)

    def accept_import(self, event: ImportArrived, now: float) -> Iterator[SidecarCommand]:
        """Accept an import order if the granted attempt still waits for one; start the decode."""
        attempt = event.order.attempt
        accepted = attempt in self._import_deadlines
        yield ReplyImport(event.reply, accepted)
        if not accepted:
            return
        self._import_deadlines.discard(attempt)
        self.link.start(attempt, event.order.kv_bytes, now)
        self._attempts.advance(attempt, Phase.RUNNING)
        yield StartDecode(self._offers[attempt], event.order)

    def forward_tokens(self, event: EngineTokens, now: float) -> Iterator[SidecarCommand]:
        """Forward tokens to the attempt's stream."""
        offer = self._offers.get(event.attempt)
        if offer is None:
            return
        last_at = self._last_token_at.get(event.attempt)
        if last_at is None:
            self._first_token_deadlines.discard(event.attempt)
            self.link.release(event.attempt, now)
        elif event.tokens:
            self.token_interval_s.add((now - last_at) / len(event.tokens))
        self._last_token_at[event.attempt] = now
        frame = AttemptFrame(FrameKind.TOKENS, event.attempt, event.offset, event.tokens)
        yield SendFrame(offer.entry, frame)
        if last_at is None:
            yield from self.grant_waiting(now)

    def finish(self, event: EngineFinished, now: float) -> Iterator[SidecarCommand]:
        """End an attempt after the engine has produced its whole output."""
        offer = self._offers.get(event.attempt)
        if offer is not None:
            frame = AttemptFrame(FrameKind.FINISHED, event.attempt, event.total)
            yield SendFrame(offer.entry, frame)
            self._forget(event.attempt, now)
        yield from self.confirm_release(event.attempt, now)

    def end_call(self, attempt: AttemptId, now: float) -> Iterator[SidecarCommand]:
        """End a plain service's call."""
        if attempt in self._offers:
            self._forget(attempt, now)
        yield from self.confirm_release(attempt, now)

    def confirm_release(self, attempt: AttemptId, now: float) -> Iterator[SidecarCommand]:
        """Free a place after the engine confirms that the attempt holds nothing."""
        self._cancellations.confirm(attempt)
        if self.slots.release(attempt, now):
            yield from self.grant_waiting(now)

    def drop(self, attempt: AttemptId, now: float) -> Iterator[SidecarCommand]:
        """End an attempt whose entry has closed its stream."""
        if attempt in self._offers:
            yield from self._end(attempt, now)
            yield from self.grant_waiting(now)

    def fail(self, attempt: AttemptId, reason: Reason, now: float) -> Iterator[SidecarCommand]:
        """End an attempt and send the reason to its entry."""
        offer = self._offers.get(attempt)
        if offer is None:
            return
        kind = FrameKind.REFUSED if attempt in self.waitlist else FrameKind.FAILED
        yield SendFrame(offer.entry, AttemptFrame(kind, attempt, reason=reason))
        yield from self._end(attempt, now)
        yield from self.grant_waiting(now)

    def refuse_all_waiting(self, reason: Reason, now: float) -> Iterator[SidecarCommand]:
        """Refuse every waiting offer."""
        for waiting in self.waitlist:
            yield from self._refuse_waiting(
                waiting.offer.attempt, reason, DEFAULT_RETRY_AFTER_S, now
            )

    def fail_all(self, reason: Reason, now: float) -> Iterator[SidecarCommand]:
        """Refuse all waiting offers and fail all granted or running attempts."""
        yield from self.refuse_all_waiting(reason, now)
        for attempt in tuple(self._offers):
            yield from self.fail(attempt, reason, now)

    def owns(self, attempt: AttemptId) -> bool:
        """Return whether an attempt is in progress here."""
        return attempt in self._offers

    def expire(self, now: float) -> Iterator[SidecarCommand]:
        """Apply the timeouts that are due."""
        for attempt in list(self._start_deadlines.expire(now)):
            offer = self._offers[attempt]
            wait_s = self.expected_wait_s(offer.urgency, self.waitlist.count_ahead(offer), now)
            yield from self._refuse_waiting(attempt, expiry_reason(offer), wait_s, now)
        for attempt in list(self._import_deadlines.expire(now)):
            yield from self.fail(attempt, Reason.CANCELLED, now)
        for attempt in list(self.link.pop_ended(now)):
            self._first_token_deadlines.set(attempt, now + self._stall_timeout_s)
        for attempt in list(self._first_token_deadlines.expire(now)):
            yield from self.fail(attempt, Reason.TRANSFER_STALLED, now)
        yield from self.grant_waiting(now)

    def next_due(self, now: float) -> float | None:
        """Return the time at which ``expire`` is due, or ``None``."""
        times = [
            self._start_deadlines.next_due(),
            self._import_deadlines.next_due(),
            self._first_token_deadlines.next_due(),
            self.link.next_end(),
            self._next_recheck_at(now),
        ]
        return min((time for time in times if time is not None), default=None)

    def expected_wait_s(self, urgency: Urgency, ahead: int, now: float, z: float = 0.0) -> float:
        """Return the expected wait of an offer for its grant, in seconds.

        Args:
            urgency: The offer's urgency.
            ahead: Number of waiting offers before it in its queue.
            now: Time in seconds.
            z: Number of standard deviations added to the mean.
        """
        wait_s = expected_wait_s(self.slots, self.waitlist, urgency, ahead, now, z)
        link_s = self.link.grant_delay_s(self.waitlist.kv_bytes(urgency), urgency, now)
        return max(wait_s, link_s)

    def _transfer_s(self, offer: AttemptOffer, now: float) -> float:
        """Return the transfer time that counts towards an urgent offer's wait; 0 for patient."""
        if offer.urgency is Urgency.PATIENT:
            return 0.0
        return self.link.transfer_s(offer.kv_bytes, now)

    def _late_refusal(self, offer: AttemptOffer, wait_s: float) -> Reason | None:
        if not self._policy.wait_list or len(self.waitlist) > self._config.waiting_most:
            return Reason.FULL
        return self._refusal_rules.lateness_reason(offer, wait_s)

    def _refused(self, offer: AttemptOffer, reason: Reason, wait_s: float) -> SendFrame:
        frame = AttemptFrame(
            FrameKind.REFUSED, offer.attempt, reason=reason, retry_after_s=retry_after_s(wait_s)
        )
        return SendFrame(offer.entry, frame)

    def _refuse_unopened(
        self, offer: AttemptOffer, reason: Reason, now: float
    ) -> Iterator[SidecarCommand]:
        if self._attempts.refusal(offer.attempt) is None:
            self._attempts.refuse(offer.attempt, now)
        yield self._refused(offer, reason, DEFAULT_RETRY_AFTER_S)

    def _refuse_waiting(
        self, attempt: AttemptId, reason: Reason, wait_s: float, now: float
    ) -> Iterator[SidecarCommand]:
        yield self._refused(self._offers[attempt], reason, wait_s)
        yield from self._end(attempt, now)

    def _next_grant(self, now: float) -> AttemptOffer | None:
        if not len(self.waitlist) or not self.slots.free:
            return None
        if self._availability.refusal is not None:
            return None
        if self._is_decode and not self._availability.has_status:
            return None
        for offer in self.waitlist.candidates(self.slots, now):
            if self.link.grant_delay_s(offer.kv_bytes, offer.urgency, now) <= 0:
                return offer
        return None

    def _next_recheck_at(self, now: float) -> float | None:
        if not len(self.waitlist) or not self.slots.free:
            return None
        times = (
            self.link.recheck_at(offer.kv_bytes, offer.urgency, now)
            for offer in self.waitlist.candidates(self.slots, now)
        )
        return min((time for time in times if time is not None), default=None)

    def _grant(self, offer: AttemptOffer, now: float) -> Iterator[SidecarCommand]:
        attempt = offer.attempt
        self.waitlist.remove_granted(attempt)
        self._start_deadlines.discard(attempt)
        self.slots.hold(attempt, offer.urgency, now)
        yield SendFrame(offer.entry, AttemptFrame(FrameKind.GRANTED, attempt))
        if not self._is_decode:
            self._attempts.advance(attempt, Phase.RUNNING)
            yield StartCall(attempt)
            return
        self._attempts.advance(attempt, Phase.RESERVED)
        self.link.reserve(attempt, offer.kv_bytes, offer.urgency, now)
        self._import_deadlines.set(attempt, now + self._config.import_wait_s)

    def _end(self, attempt: AttemptId, now: float) -> Iterator[CancelAtEngine]:
        """Forget an attempt; if it runs, cancel it and hold its place until the engine confirms."""
        live = self._attempts.get(attempt)
        running = live is not None and live.phase is Phase.RUNNING
        self._forget(attempt, now)
        if running:
            yield from self._cancellations.begin(attempt, now)
            return
        self.slots.release(attempt, now, counts_as_sample=False)

    def _forget(self, attempt: AttemptId, now: float) -> None:
        del self._offers[attempt]
        self.waitlist.discard(attempt)
        self.link.release(attempt, now)
        self._start_deadlines.discard(attempt)
        self._import_deadlines.discard(attempt)
        self._first_token_deadlines.discard(attempt)
        self._last_token_at.pop(attempt, None)
        self._attempts.close(attempt, now)
