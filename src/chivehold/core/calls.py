"""Calls of plain services, each answered by one complete response."""

from collections.abc import Iterator

from chivehold.core.entry_messages import EntryCommand
from chivehold.core.lifecycle import RequestLifecycle
from chivehold.core.placement import Placement
from chivehold.core.requests import Phase, Request
from chivehold.core.state import EntryState
from chivehold.core.wire import CallResult


class ServiceCallHandler:
    """Handles the results of calls.

    Args:
        state: The entry's state.
        lifecycle: Ends requests and attempts.
        placement: Retries requests and offers queued ones.
    """

    def __init__(
        self, state: EntryState, lifecycle: RequestLifecycle, placement: Placement
    ) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._placement = placement

    def handle_result(self, result: CallResult) -> Iterator[EntryCommand]:
        """Handle the result of a request's current attempt; drop results of other attempts."""
        request = self._state.request_of_attempt(result.attempt, Phase.CALLING)
        if request is None:
            return
        if result.reason is None:
            yield from self._finish_answered(request, result)
        elif result.started:
            yield from self._lifecycle.end_attempt(request, ran=True)
            yield from self._placement.retry(request, f"call failed: {result.reason}")
        else:
            yield from self._placement.handle_refusal(request, result.reason, result.retry_after_s)
        yield from self._placement.dispatch(request.target)

    def _finish_answered(self, request: Request, result: CallResult) -> Iterator[EntryCommand]:
        request.result = result
        request.target.grant_rates[request.urgency].record_grant(self._state.now)
        yield from self._lifecycle.end_attempt(request, ran=True)
        yield from self._lifecycle.complete(request)
