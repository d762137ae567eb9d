"""Moves streams off a decode engine that has become slow, where goodput weighs more."""

from collections.abc import Iterator
from statistics import median

from chivehold.core.declared import Weigh
from chivehold.core.entry_messages import EntryCommand
from chivehold.core.identity import UpstreamName
from chivehold.core.placement import Placement
from chivehold.core.requests import Phase, Request
from chivehold.core.routing import SLOW_FACTOR
from chivehold.core.state import EntryState
from chivehold.core.targets import Target

MOVE_TOKENS_LEAST = 20
"""A stream that may produce fewer tokens than this ends where it is."""


class SlowStreams:
    """Resumes elsewhere what a slow engine would take many times as long for.

    A move runs the prompt again, so it trades prefill for goodput: only deployments whose
    declaration weighs goodput move streams. Each stream is moved once at most, urgent ones within
    the retry budget.

    Args:
        state: The entry's state.
        placement: Finds places for what is moved.
    """

    def __init__(self, state: EntryState, placement: Placement) -> None:
        self._state = state
        self._placement = placement

    def leave(self, upstream: UpstreamName, target: Target) -> Iterator[EntryCommand]:
        """Move a target's streams off an upstream if that has become slow."""
        if not self._state.policy.move_slow or target.weigh is not Weigh.GOODPUT:
            return
        if target.is_service or not self._is_slow(upstream, target):
            return
        for request in list(self._state.requests.values()):
            if request.target is target and self._is_worth_moving(request, upstream):
                yield from self._placement.move(request)

    def _is_slow(self, upstream: UpstreamName, target: Target) -> bool:
        candidates = self._state.upstreams.candidates(target.pool, self._state.now)
        intervals = {
            one.upstream: one.report.token_interval_s
            for one in candidates
            if one.report.token_interval_s > 0.0
        }
        own_s = intervals.pop(upstream, 0.0)
        return bool(intervals) and own_s > SLOW_FACTOR * median(intervals.values())

    def _is_worth_moving(self, request: Request, upstream: UpstreamName) -> bool:
        attempt = request.attempt
        if attempt is None or attempt.upstream != upstream or request.phase is not Phase.DECODING:
            return False
        return not request.moved and request.tokens_left >= MOVE_TOKENS_LEAST
