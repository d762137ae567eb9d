"""Builds the messages to sidecars and counts them as load until a report includes them."""

from collections.abc import Iterator

from chivehold.core.declared import Weigh
from chivehold.core.entry_messages import (
    EntryCommand,
    SendCall,
    SendImport,
    SendOffer,
    SendPrefill,
)
from chivehold.core.estimates import Estimates
from chivehold.core.identity import UpstreamName, Urgency
from chivehold.core.protocols import Candidate
from chivehold.core.requests import Attempt, Phase, Request
from chivehold.core.routing import prefill_work_s
from chivehold.core.state import EntryState
from chivehold.core.wire import AttemptOffer, ImportOrder, PrefillOrder, PrefillResult

MAX_PREEMPTIONS = 2
"""Number of times that a patient request can be preempted."""
DEFAULT_TOKEN_INTERVAL_S = 0.02
"""Assumed time in seconds between tokens of an engine that has not reported it."""


class Sender:
    """Sends the current attempt of a request.

    Args:
        state: The entry's state.
        estimates: Estimates how long the attempt may wait.
    """

    def __init__(self, state: EntryState, estimates: Estimates) -> None:
        self._state = state
        self._estimates = estimates

    def send_offer(self, request: Request, attempt: Attempt) -> Iterator[EntryCommand]:
        """Offer the attempt to its decode sidecar, which grants it a place."""
        request.phase = Phase.OFFERED
        self._record_sent(attempt, request)
        yield SendOffer(attempt.upstream, self._attempt_offer(request, attempt))

    def send_call(self, request: Request, attempt: Attempt) -> Iterator[EntryCommand]:
        """Send a plain service's call."""
        call = request.arrival.call
        if call is None:
            return
        request.phase = Phase.CALLING
        self._record_sent(attempt, request)
        yield SendCall(attempt.upstream, self._attempt_offer(request, attempt), call)

    def send_prefill(
        self, request: Request, attempt: Attempt, candidate: Candidate
    ) -> Iterator[EntryCommand]:
        """Send the request's prompt, with the output relayed so far, to a prefill engine."""
        request.phase = Phase.PREFILLING
        arrival = request.arrival
        view = self._state.upstreams.get(candidate.upstream)
        work_s = prefill_work_s(candidate, request.prompt_tokens)
        if view is not None:
            view.add_sent_work(work_s, self._state.now)
            view.blocks.add_sent(arrival.prefix_blocks)
        order = PrefillOrder(
            attempt=attempt.id,
            entry=self._state.incarnation,
            incarnation=candidate.report.incarnation,
            target=request.target.name,
            organisation=request.organisation,
            urgency=request.urgency,
            prompt=request.prompt,
            prompt_tokens=request.prompt_tokens,
            prefix_blocks=arrival.prefix_blocks,
            start_within_s=self._estimates.prefill_start_within_s(request, work_s),
            deadline_in_s=self._estimates.remaining_s(request),
        )
        attempt.prefill_upstream = candidate.upstream
        yield SendPrefill(candidate.upstream, order)

    def send_import(
        self, request: Request, attempt: Attempt, prefill: PrefillResult
    ) -> Iterator[EntryCommand]:
        """Send the location of the KV cache to the decode sidecar."""
        request.phase = Phase.DECODING
        elapsed_s = self._state.now - attempt.prefill_ended_at
        order = ImportOrder(
            attempt=attempt.id,
            handle=prefill.handle,
            engine_address=prefill.engine_address,
            kv_bytes=prefill.kv_bytes,
            prompt_tokens=request.prompt_tokens,
            expires_in_s=prefill.expires_in_s - elapsed_s,
        )
        yield SendImport(attempt.upstream, order)

    def _attempt_offer(self, request: Request, attempt: Attempt) -> AttemptOffer:
        target = request.target
        kv_bytes = request.prompt_tokens * target.kv_bytes_per_token
        if attempt.prefill is not None:
            kv_bytes = attempt.prefill.kv_bytes
        return AttemptOffer(
            attempt=attempt.id,
            entry=self._state.incarnation,
            incarnation=attempt.incarnation,
            target=target.name,
            organisation=request.organisation,
            share_weight=target.weight_of(request.organisation),
            urgency=request.urgency,
            waited_s=self._estimates.waited_s(request),
            start_within_s=self._estimates.start_within_s(request),
            deadline_in_s=self._estimates.remaining_s(request),
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.remaining_tokens,
            first_offset=request.relay.relayed,
            kv_bytes=kv_bytes,
            preempts=self._preempts(request),
            preemptible=self._is_preemptible(request),
        )

    def _preempts(self, request: Request) -> bool:
        """Return whether the request may preempt a patient one, whose prefill is then wasted.

        The deployment's ``weigh`` setting decides.
        """
        weighs_goodput = request.target.weigh is Weigh.GOODPUT
        urgent = request.urgency is Urgency.URGENT and not request.target.is_service
        return self._state.policy.preemption and weighs_goodput and urgent

    def _is_preemptible(self, request: Request) -> bool:
        patient = request.urgency is Urgency.PATIENT and not request.target.is_service
        return patient and request.idempotent and request.preemptions < MAX_PREEMPTIONS

    def _record_sent(self, attempt: Attempt, request: Request) -> None:
        attempt.is_open = True
        self._state.upstreams.add_in_flight(attempt.upstream)
        view = self._state.upstreams.get(attempt.upstream)
        if view is not None:
            view.add_sent_work(self._place_hold_s(attempt.upstream, request), self._state.now)

    def _place_hold_s(self, upstream: UpstreamName, request: Request) -> float:
        view = self._state.upstreams.get(upstream)
        interval_s = view.report.token_interval_s if view and view.report else 0.0
        return max(1, request.remaining_tokens) * (interval_s or DEFAULT_TOKEN_INTERVAL_S)
