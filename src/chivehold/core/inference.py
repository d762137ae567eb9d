"""Processing of model requests: place granted, prefill, KV cache transfer and output."""

from collections.abc import Iterator

from chivehold.core.entry_messages import EntryCommand, Relay
from chivehold.core.identity import AttemptId, UpstreamName
from chivehold.core.lifecycle import RequestLifecycle
from chivehold.core.placement import Placement
from chivehold.core.requests import Attempt, Phase, Request
from chivehold.core.sending import Sender
from chivehold.core.state import EntryState
from chivehold.core.wire import AttemptFrame, FrameKind, PrefillKind, PrefillResult, Reason

MAX_PREFILL_REFUSALS = 3
"""Prefill engines that an attempt tries before it gives up its place."""
OFFER_PHASES = (Phase.OFFERED, Phase.PREFILLING, Phase.DECODING)


class InferenceHandler:
    """Handles the events of model requests from the grant to the last token.

    Args:
        state: The entry's state.
        lifecycle: Ends requests and attempts.
        placement: Places requests and retries them.
        sender: Sends attempts.
    """

    def __init__(
        self, state: EntryState, lifecycle: RequestLifecycle, placement: Placement, sender: Sender
    ) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._placement = placement
        self._sender = sender

    def handle_frame(self, frame: AttemptFrame) -> Iterator[EntryCommand]:
        """Handle a frame of a request's current attempt; drop frames of other attempts."""
        request = self._state.request_of_attempt(frame.attempt, *OFFER_PHASES)
        if request is None or request.attempt is None:
            return
        match frame.kind:
            case FrameKind.GRANTED if request.phase is Phase.OFFERED:
                yield from self._handle_grant(request, request.attempt)
            case FrameKind.REFUSED if request.phase is Phase.OFFERED:
                yield from self._placement.handle_refusal(
                    request, frame.reason, frame.retry_after_s
                )
            case FrameKind.TOKENS if request.phase is Phase.DECODING:
                self._record_output(request.attempt.upstream)
                yield from self._relay_tokens(request, frame)
            case FrameKind.FINISHED if request.phase is Phase.DECODING:
                yield from self._handle_finish(request, frame.offset)
            case FrameKind.FAILED | FrameKind.REFUSED if request.attempt.is_open:
                yield from self._handle_failure(request, frame)

    def handle_prefill_result(self, result: PrefillResult) -> Iterator[EntryCommand]:
        """Handle the result of a prefill."""
        request = self._state.request_of_attempt(result.attempt, Phase.PREFILLING, Phase.REVOKING)
        if request is None or request.attempt is None:
            return
        attempt = request.attempt
        upstream, attempt.prefill_upstream = attempt.prefill_upstream, None
        if upstream is None:
            return
        if request.phase is Phase.REVOKING:
            attempt.prefill = None if result.kind is PrefillKind.REFUSED else result
            return
        match result.kind:
            case PrefillKind.DONE:
                self._record_output(upstream)
                yield from self._handle_prefill_done(request, attempt, result)
            case PrefillKind.REFUSED:
                attempt.prefill_refused_by.add(upstream)
                yield from self._handle_prefill_refusal(request, attempt, result)
            case PrefillKind.FAILED:
                self._record_failure(upstream)
                attempt.prefill_refused_by.add(upstream)
                yield from self._handle_prefill_failure(request, attempt)

    def handle_import_result(self, attempt: AttemptId, accepted: bool) -> Iterator[EntryCommand]:
        """Retry the request if the decode sidecar did not accept the import order."""
        request = self._state.request_of_attempt(attempt, Phase.DECODING)
        if request is not None and not accepted:
            yield from self._retry_after_import_failure(request, "import refused")

    def _handle_grant(self, request: Request, attempt: Attempt) -> Iterator[EntryCommand]:
        request.target.admission.remove_waiting(request.id, request.urgency)
        request.target.grant_rates[request.urgency].record_grant(self._state.now)
        if attempt.prefill is None:
            yield from self._placement.send_prefill(request, attempt)
        elif attempt.has_valid_prefill(self._state.now):
            yield from self._sender.send_import(request, attempt, attempt.prefill)
        else:
            yield from self._retry_after_import_failure(request, "KV cache expired")
        yield from self._placement.dispatch(request.target)

    def _handle_prefill_done(
        self, request: Request, attempt: Attempt, result: PrefillResult
    ) -> Iterator[EntryCommand]:
        attempt.prefill = result
        attempt.prefill_ended_at = self._state.now
        if attempt.is_open:
            yield from self._sender.send_import(request, attempt, result)
        else:
            yield from self._placement.offer_prefilled(request, attempt)

    def _handle_prefill_refusal(
        self, request: Request, attempt: Attempt, result: PrefillResult
    ) -> Iterator[EntryCommand]:
        if len(attempt.prefill_refused_by) < MAX_PREFILL_REFUSALS:
            yield from self._placement.send_prefill(request, attempt)
            return
        yield from self._lifecycle.close_attempt(request)
        wait_s = result.retry_after_s or 0.0
        yield from self._placement.requeue_or_fail(request, f"prefill: {result.reason}", wait_s)

    def _handle_prefill_failure(self, request: Request, attempt: Attempt) -> Iterator[EntryCommand]:
        request.possible_runs += 1
        if self._placement.try_spend_retry(request):
            yield from self._placement.send_prefill(request, attempt)
            return
        yield from self._lifecycle.fail(request, "prefill failed")

    def _record_output(self, upstream: UpstreamName) -> None:
        view = self._state.upstreams.get(upstream)
        if view is not None:
            view.record_output()

    def _record_failure(self, upstream: UpstreamName) -> None:
        view = self._state.upstreams.get(upstream)
        if view is not None:
            view.record_failure(self._state.now)

    def _relay_tokens(self, request: Request, frame: AttemptFrame) -> Iterator[EntryCommand]:
        for run in request.relay.add(frame.offset, frame.tokens):
            yield Relay(request.id, run.offset, run.tokens)

    def _handle_finish(self, request: Request, total: int) -> Iterator[EntryCommand]:
        yield from self._lifecycle.end_attempt(request, ran=True)
        if request.relay.is_complete(total):
            yield from self._lifecycle.complete(request)
        else:
            yield from self._placement.retry(request, "gap in the output")

    def _retry_after_import_failure(self, request: Request, reason: str) -> Iterator[EntryCommand]:
        yield from self._lifecycle.close_attempt(request)
        yield from self._placement.retry(request, reason)

    def _handle_failure(self, request: Request, frame: AttemptFrame) -> Iterator[EntryCommand]:
        if not request.attempt_may_have_run:
            yield from self._placement.handle_refusal(request, frame.reason, frame.retry_after_s)
            return
        if frame.reason is Reason.ENGINE_FAILED and request.attempt is not None:
            self._record_failure(request.attempt.upstream)
        if frame.reason is Reason.PREEMPTED:
            request.preemptions += 1
        if frame.reason is Reason.TRANSFER_STALLED and not request.relay.relayed:
            request.stalled = request.attempt
        yield from self._lifecycle.end_attempt(request, ran=True)
        yield from self._placement.retry(request, f"broken off: {frame.reason}")
