"""Places requests at upstreams: queueing, offers, refusals, revocations and retries."""

from collections.abc import Iterator

from chivehold.core.admission import QueuedRequest
from chivehold.core.entry_messages import ClaimDecision, EntryCommand, MakeClaim, Revoke
from chivehold.core.estimates import NO_UPSTREAM_RETRY_S, Estimates
from chivehold.core.identity import AttemptId, Outcome, RequestId, UpstreamName, Urgency
from chivehold.core.lifecycle import RequestLifecycle
from chivehold.core.requests import Attempt, Phase, Request
from chivehold.core.sending import Sender
from chivehold.core.state import EntryState
from chivehold.core.targets import Target
from chivehold.core.wire import Reason, RevokeResult

MAX_URGENT_REFUSALS = 3
"""Number of refusals and lost links above which an urgent request ends."""
PATIENT_REOFFER_DELAY_S = 0.25
"""Minimum delay in seconds before a sidecar that refused patient work is offered more of it."""
LOAD_REASONS = frozenset({Reason.FULL, Reason.TOO_LATE})
"""Refusals for lack of capacity; an urgent request that then tries again spends a retry."""
LEAVING_REASONS = frozenset({Reason.LEAVING, Reason.WRONG_INCARNATION})
"""Refusals after which the upstream gets no new work until its next report."""
FINAL_REASONS = frozenset({Reason.MALFORMED, Reason.DEADLINE})
"""Refusals that end the request."""
OPEN_PHASES = (Phase.OFFERED, Phase.PREFILLING, Phase.DECODING, Phase.CALLING)


class Placement:
    """Selects upstreams for requests and handles the results of their offers.

    Args:
        state: The entry's state.
        estimates: Estimates waiting times.
        lifecycle: Ends requests and attempts.
        sender: Sends attempts.
    """

    def __init__(
        self, state: EntryState, estimates: Estimates, lifecycle: RequestLifecycle, sender: Sender
    ) -> None:
        self._state = state
        self._estimates = estimates
        self._lifecycle = lifecycle
        self._sender = sender

    def place(self, request: Request) -> Iterator[EntryCommand]:
        """Offer an urgent request to an upstream, or add a patient request to the queue."""
        if request.urgency is Urgency.URGENT:
            yield from self._offer_urgent(request)
            return
        request.phase = Phase.QUEUED
        request.target.admission.queue.put(_queue_entry(request))
        yield from self.dispatch(request.target)

    def dispatch(self, target: Target) -> Iterator[EntryCommand]:
        """Offer queued patient requests in queue order, as far as limits and upstreams allow."""
        while target.admission.may_offer():
            queued = target.admission.queue.pop(self._state.now)
            if queued is None:
                return
            request = self._state.requests[queued.request]
            upstream = self._select_upstream(request, patient=True)
            prefill_s = self._estimates.patient_prefill_s(request)
            if upstream is None or prefill_s is None:
                target.admission.queue.requeue(queued)
                return
            target.admission.add_offer(request.id, prefill_s)
            yield from self._start_attempt(request, upstream)

    def handle_claim_result(
        self, request_id: RequestId, decision: ClaimDecision
    ) -> Iterator[EntryCommand]:
        """Send the attempt if its claim was granted, otherwise end the request with the outcome."""
        deferred_end = self._state.deferred_claim_ends.pop(request_id, None)
        if deferred_end is not None:
            yield deferred_end
        request = self._state.request_in_phase(request_id, Phase.CLAIMING)
        if request is None or request.attempt is None:
            return
        request.claim_pending = False
        request.claim_granted |= decision.granted
        request.claimed = request.claim_granted
        if not decision.granted:
            yield from self._handle_claim_declined(request, decision)
            return
        view = self._state.upstreams.get(request.attempt.upstream)
        if view is None or not view.accepts(request.attempt.incarnation, self._state.now):
            yield from self._handle_never_started(request)
            return
        yield from self._send(request, request.attempt)

    def handle_refusal(
        self, request: Request, reason: Reason | None, retry_after_s: float | None
    ) -> Iterator[EntryCommand]:
        """Handle a refusal by a sidecar, which proves that the attempt never ran there."""
        attempt = request.attempt
        if attempt is None:
            return
        yield from self._lifecycle.end_attempt(request, ran=attempt.prefill is not None)
        self._record_refusal(request, attempt.upstream, reason, retry_after_s)
        if reason in FINAL_REASONS:
            yield from self._lifecycle.fail(request, f"refused: {reason}")
        elif attempt.prefill is not None:
            yield from self.retry(request, f"refused after prefill: {reason}")
        else:
            wait_s = retry_after_s or 0.0
            yield from self._try_another_upstream(request, f"refused: {reason}", reason, wait_s)

    def handle_link_lost(self, attempt_id: AttemptId, sent: bool) -> Iterator[EntryCommand]:
        """Try another upstream if nothing was sent, otherwise revoke the attempt.

        Args:
            attempt_id: The attempt whose link was lost.
            sent: Whether anything may have reached the sidecar.
        """
        request = self._state.request_of_attempt(attempt_id, *OPEN_PHASES)
        if request is None or request.attempt is None or not request.attempt.is_open:
            return
        attempt = request.attempt
        view = self._state.upstreams.get(attempt.upstream)
        if sent:
            request.phase = Phase.REVOKING
            yield Revoke(attempt.upstream, attempt.id)
            return
        if view is not None:
            view.reachable = False
        yield from self._handle_never_started(request)

    def handle_revoke_result(
        self, attempt_id: AttemptId, result: RevokeResult
    ) -> Iterator[EntryCommand]:
        """Handle the result of revoking an attempt whose link was lost."""
        request = self._state.request_of_attempt(attempt_id, Phase.REVOKING)
        if request is None or request.attempt is None:
            return
        if result is RevokeResult.NEVER_STARTED:
            yield from self._handle_never_started(request)
            return
        ran, upstream = request.attempt_may_have_run, request.attempt.upstream
        view = self._state.upstreams.get(upstream)
        if view is not None and result is RevokeResult.UNREACHABLE:
            view.reachable = False
        self._record_refusal(request, upstream, None, None)
        yield from self._lifecycle.close_attempt(request)
        if ran:
            yield from self.retry(request, f"link lost: {result}")
        else:
            yield from self._try_another_upstream(request, "link lost")

    def retry(self, request: Request, reason: str, wait_s: float = 0.0) -> Iterator[EntryCommand]:
        """Retry after an attempt that may have run, within the retry budget.

        Args:
            request: A request without a current attempt.
            reason: Why the last attempt ended.
            wait_s: Time in seconds until capacity is expected, for the case that nothing ran.
        """
        if request.has_all_tokens:
            yield from self._lifecycle.complete(request)
            return
        if not self.try_spend_retry(request):
            yield from self._lifecycle.fail(request, reason, wait_s)
            return
        request.relay.discard_unrelayed()
        yield from self._place_again(request)

    def try_spend_retry(self, request: Request) -> bool:
        """Return whether a request that may have run is retried, and charge the retry budget.

        Patient model requests are not charged to the budget, because their queue paces them. A
        limit of their own stops a request that fails on every engine from being retried forever.
        """
        policy = self._state.policy
        if not request.idempotent:
            return False
        if request.urgency is Urgency.PATIENT and not request.target.is_service:
            return request.possible_runs < policy.patient_attempts_most
        return request.possible_runs < policy.attempts_most and self._state.budget.try_spend(
            self._state.now
        )

    def _handle_never_started(self, request: Request) -> Iterator[EntryCommand]:
        attempt = request.attempt
        if attempt is None:
            return
        prefilled = attempt.prefill is not None or attempt.prefill_upstream is not None
        self._record_refusal(request, attempt.upstream, None, None)
        yield from self._lifecycle.end_attempt(request, ran=prefilled)
        if prefilled:
            yield from self.retry(request, "link lost after prefill")
        else:
            yield from self._try_another_upstream(request, "link lost")

    def _try_another_upstream(
        self, request: Request, reason: str, refusal: Reason | None = None, wait_s: float = 0.0
    ) -> Iterator[EntryCommand]:
        if self._may_try_another_upstream(request, refusal):
            yield from self._place_again(request)
        else:
            yield from self._lifecycle.fail(request, reason, wait_s)

    def _place_again(self, request: Request) -> Iterator[EntryCommand]:
        if request.urgency is Urgency.URGENT:
            yield from self._offer_urgent(request)
            return
        request.phase = Phase.QUEUED
        request.refused_by.clear()
        request.target.admission.add_waiting(request.id, request.urgency)
        request.target.admission.queue.requeue(_queue_entry(request))
        yield from self.dispatch(request.target)

    def _offer_urgent(self, request: Request) -> Iterator[EntryCommand]:
        refusal = self._estimates.admission_refusal(request)
        if refusal is not None:
            yield from self._lifecycle.fail(request, refusal.reason, refusal.wait_s)
            return
        upstream = self._select_upstream(request, patient=False)
        if upstream is None:
            yield from self._lifecycle.fail(request, "no upstream", NO_UPSTREAM_RETRY_S)
            return
        yield from self._start_attempt(request, upstream)

    def _select_upstream(self, request: Request, patient: bool) -> UpstreamName | None:
        candidates = self._state.pool_candidates(request, patient)
        selector = request.target.selector(request.traffic_class)
        return selector.choose(candidates, request.arrival.prefix_blocks, request.prompt_tokens)

    def _start_attempt(self, request: Request, upstream: UpstreamName) -> Iterator[EntryCommand]:
        request.attempts += 1
        attempt_id = AttemptId(request.id, request.attempts)
        incarnation = self._state.upstreams.incarnations[upstream]
        attempt = request.attempt = Attempt(attempt_id, upstream, incarnation)
        if request.stalled is not None and request.stalled.has_valid_prefill(self._state.now):
            attempt.reuse_prefill(request.stalled)
        request.stalled = None
        key = request.arrival.key
        if not request.needs_claim or key is None:
            yield from self._send(request, attempt)
            return
        request.phase = Phase.CLAIMING
        request.claimed = request.claim_pending = True
        yield MakeClaim(
            request=request.id,
            key=key,
            attempt=attempt_id,
            upstream=upstream,
            first_sent_ago_s=request.arrival.first_sent_ago_s,
            deadline_in_s=self._estimates.remaining_s(request),
        )

    def _send(self, request: Request, attempt: Attempt) -> Iterator[EntryCommand]:
        if request.target.is_service:
            yield from self._sender.send_call(request, attempt)
        elif self._state.policy.reserve_before_prefill:
            yield from self._sender.send_offer(request, attempt)
        else:
            yield from self.send_prefill(request, attempt)

    def send_prefill(self, request: Request, attempt: Attempt) -> Iterator[EntryCommand]:
        """Send the current attempt's prefill, or close the attempt if there is no engine for it."""
        candidates = self._state.prefill_candidates(request)
        name = self._state.prefill_selector.choose(
            candidates, request.arrival.prefix_blocks, request.prompt_tokens
        )
        chosen = next((candidate for candidate in candidates if candidate.upstream == name), None)
        if chosen is not None:
            yield from self._sender.send_prefill(request, attempt, chosen)
            return
        yield from self._lifecycle.close_attempt(request)
        yield from self.requeue_or_fail(request, "no prefill engine")

    def offer_prefilled(self, request: Request, attempt: Attempt) -> Iterator[EntryCommand]:
        """Offer an attempt after its prefill to the decode engine that is now the best choice.

        A claim names the attempt's engine, so a claimed attempt keeps the engine it has.
        """
        upstream = (
            attempt.upstream if request.claimed else self._select_upstream(request, patient=False)
        )
        view = self._state.upstreams.get(upstream) if upstream is not None else None
        if view is None or view.report is None or not view.is_usable(self._state.now):
            yield from self._lifecycle.close_attempt(request)
            yield from self.retry(request, "no upstream")
            return
        attempt.upstream = view.declared.name
        attempt.incarnation = view.report.incarnation
        yield from self._sender.send_offer(request, attempt)

    def requeue_or_fail(
        self, request: Request, reason: str, wait_s: float = 0.0
    ) -> Iterator[EntryCommand]:
        """Requeue a patient request for which nothing ran, or end an urgent one."""
        if request.urgency is Urgency.URGENT:
            yield from self._lifecycle.fail(request, reason, wait_s)
            return
        request.phase = Phase.QUEUED
        request.target.admission.add_waiting(request.id, request.urgency)
        request.target.admission.queue.requeue(_queue_entry(request))
        pause_s = max(wait_s, PATIENT_REOFFER_DELAY_S)
        self._state.timers.schedule_dispatch(request.target.name, self._state.now + pause_s)

    def _handle_claim_declined(
        self, request: Request, decision: ClaimDecision
    ) -> Iterator[EntryCommand]:
        yield from self._lifecycle.end_attempt(request, ran=False)
        outcome = decision.outcome or Outcome.NOT_RUN
        if outcome is Outcome.NOT_RUN:
            yield from self._lifecycle.fail(request, "no claim", NO_UPSTREAM_RETRY_S)
        else:
            yield from self._lifecycle.finish(request, outcome, "claimed before")

    def _may_try_another_upstream(self, request: Request, reason: Reason | None) -> bool:
        if request.urgency is Urgency.PATIENT:
            return True
        request.refusals += 1
        if request.refusals > MAX_URGENT_REFUSALS:
            return False
        return reason not in LOAD_REASONS or self._state.budget.try_spend(self._state.now)

    def _record_refusal(
        self,
        request: Request,
        upstream: UpstreamName,
        reason: Reason | None,
        retry_after_s: float | None,
    ) -> None:
        request.refused_by.add(upstream)
        request.retry_hint_s = max(request.retry_hint_s, retry_after_s or 0.0)
        view = self._state.upstreams.get(upstream)
        if view is None:
            return
        if reason in LEAVING_REASONS:
            view.refused_leaving = True
        if request.urgency is Urgency.PATIENT:
            pause_s = max(retry_after_s or 0.0, PATIENT_REOFFER_DELAY_S)
            view.patient_allowed_at = self._state.now + pause_s
            self._state.timers.schedule_dispatch(request.target.name, view.patient_allowed_at)


def _queue_entry(request: Request) -> QueuedRequest:
    return QueuedRequest(request.sequence, request.id, request.organisation, request.arrived_at)
