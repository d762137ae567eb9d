"""Ends requests: each exactly once, with its key and claim settled and its resources released."""

from collections.abc import Iterator

from chivehold.core.entry_messages import (
    CloseAttempt,
    CommitKey,
    EndClaim,
    EntryCommand,
    Finish,
    Relay,
    ReleaseKey,
)
from chivehold.core.estimates import Estimates
from chivehold.core.identity import Outcome, RequestId
from chivehold.core.requests import Phase, Request
from chivehold.core.state import EntryState
from chivehold.core.wire import KeyCommit

MAX_COMMIT_ATTEMPTS = 2
"""Commits sent to an unreachable key's home before the request ends as ``UNKNOWN``."""


class RequestLifecycle:
    """Ends requests and attempts.

    Args:
        state: The entry's state.
        estimates: Computes retry delays of refused callers.
    """

    def __init__(self, state: EntryState, estimates: Estimates) -> None:
        self._state = state
        self._estimates = estimates

    def finish(
        self, request: Request, outcome: Outcome, reason: str = "", retry_after_s: float = 0.0
    ) -> Iterator[EntryCommand]:
        """Release everything a request holds and send its outcome to the caller."""
        yield from self._clean_up(request, outcome)
        retry_after = retry_after_s if outcome is Outcome.NOT_RUN else None
        call = request.result if outcome is Outcome.ANSWERED else None
        yield Finish(request.id, outcome, reason, retry_after, call)

    def fail(self, request: Request, reason: str, wait_s: float = 0.0) -> Iterator[EntryCommand]:
        """End a request unanswered: ``NOT_RUN`` if nothing can have run, otherwise ``UNKNOWN``.

        Args:
            request: The request.
            reason: Why it is not answered.
            wait_s: Time in seconds until capacity for it is expected.
        """
        if request.may_have_run:
            yield from self.finish(request, Outcome.UNKNOWN, reason)
            return
        retry_after_s = self._estimates.retry_after_s(request, wait_s)
        yield from self.finish(request, Outcome.NOT_RUN, reason, retry_after_s)

    def abandon(self, request: Request) -> Iterator[EntryCommand]:
        """Release everything a request holds after its caller has disconnected."""
        outcome = Outcome.UNKNOWN if request.may_have_run else Outcome.NOT_RUN
        yield from self._clean_up(request, outcome)

    def close_attempt(self, request: Request) -> Iterator[EntryCommand]:
        """End the current attempt, close its stream and count it if it may have run."""
        attempt = request.attempt
        if attempt is None:
            return
        was_open = attempt.is_open
        yield from self.end_attempt(request, request.attempt_may_have_run)
        if was_open:
            yield CloseAttempt(attempt.upstream, attempt.id)

    def end_attempt(self, request: Request, ran: bool) -> Iterator[EntryCommand]:
        """Clear the current attempt, which holds nothing at its sidecar any more.

        Args:
            request: The request.
            ran: Whether anything may have run for the attempt.
        """
        attempt = request.attempt
        if attempt is None:
            return
        request.attempt = None
        if ran:
            request.possible_runs += 1
            request.refused_by.add(attempt.upstream)
        request.target.admission.remove_offer(request.id)
        if attempt.prefill_upstream is not None:
            yield CloseAttempt(attempt.prefill_upstream, attempt.id)
        if attempt.is_open:
            self._state.upstreams.remove_in_flight(attempt.upstream)

    def complete(self, request: Request) -> Iterator[EntryCommand]:
        """End a request whose answer is complete, after a commit at its key's home, if any."""
        if not request.home_may_hold_key:
            yield from self._finish_answered(request)
            return
        request.phase = Phase.COMMITTING
        yield from self._send_commit(request)

    def handle_commit_result(
        self, request_id: RequestId, committed: bool | None
    ) -> Iterator[EntryCommand]:
        """Finish the answer if the key's home committed it, otherwise end it as ``UNKNOWN``.

        Args:
            request_id: The request.
            committed: The result of the commit, ``None`` if the home was unreachable.
        """
        request = self._state.request_in_phase(request_id, Phase.COMMITTING)
        if request is None:
            return
        if committed:
            request.home_may_hold_key = False
            yield from self._finish_answered(request)
        elif committed is False:
            request.home_may_hold_key = False
            yield from self.finish(request, Outcome.UNKNOWN, "superseded")
        elif request.commit_attempts < MAX_COMMIT_ATTEMPTS:
            yield from self._send_commit(request)
        else:
            yield from self.finish(request, Outcome.UNKNOWN, "key's home unreachable")

    def _finish_answered(self, request: Request) -> Iterator[EntryCommand]:
        for run in request.relay.release_held():
            yield Relay(request.id, run.offset, run.tokens)
        yield from self.finish(request, Outcome.ANSWERED)

    def _send_commit(self, request: Request) -> Iterator[EntryCommand]:
        home, commit = request.home, self._key_commit(request)
        if home is None or commit is None:
            return
        request.commit_attempts += 1
        yield CommitKey(home, commit)

    def _clean_up(self, request: Request, outcome: Outcome) -> Iterator[EntryCommand]:
        yield from self.close_attempt(request)
        request.target.admission.remove_waiting(request.id, request.urgency)
        del self._state.requests[request.id]
        self._state.timers.record_ended_request()
        commit = self._key_commit(request)
        if request.home_may_hold_key and request.home is not None and commit is not None:
            release = ReleaseKey(request.home, commit)
            if request.phase is Phase.REGISTERING and not request.registered:
                self._state.releases_to_resend[request.id] = release
            yield release
        if request.claimed and request.arrival.key is not None:
            end = EndClaim(request.id, request.arrival.key, _own_outcome(request, outcome))
            if request.claim_pending:
                self._state.deferred_claim_ends[request.id] = end
            else:
                yield end

    def _key_commit(self, request: Request) -> KeyCommit | None:
        key = request.arrival.key
        return KeyCommit(key, request.id, self._state.incarnation) if key is not None else None


def _own_outcome(request: Request, outcome: Outcome) -> Outcome:
    """Return the outcome to record in the request's own claim.

    The caller's outcome can describe another request with the same key.
    """
    if outcome is Outcome.ANSWERED:
        return outcome
    return Outcome.UNKNOWN if request.may_have_run else Outcome.NOT_RUN
