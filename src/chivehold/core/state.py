"""State shared by the parts of the entry's core."""

from collections.abc import Container, Sequence
from random import Random

from chivehold.core.entry_messages import EndClaim, ReleaseKey
from chivehold.core.identity import (
    AttemptId,
    EntryIncarnation,
    RequestId,
    TargetName,
    UpstreamName,
    Urgency,
)
from chivehold.core.policy import Policy
from chivehold.core.protocols import Candidate
from chivehold.core.requests import Phase, Request
from chivehold.core.retries import RetryBudget
from chivehold.core.routing import ShortestPrefillTime
from chivehold.core.targets import Target
from chivehold.core.timers import Timers
from chivehold.core.upstreams import NO_BLOCKS, Upstreams


class EntryState:
    """Requests, targets and upstreams of one entry as of the current event.

    Args:
        incarnation: This run of the entry process.
        zone: The entry's availability zone.
        policy: Settings of the decisions.
        random: Breaks ties and adds jitter.
    """

    def __init__(
        self, incarnation: EntryIncarnation, zone: str, policy: Policy, random: Random
    ) -> None:
        self.incarnation = incarnation
        self.zone = zone
        self.policy = policy
        self.random = random
        self.now = 0.0
        self.draining = False
        self.requests: dict[RequestId, Request] = {}
        self.releases_to_resend: dict[RequestId, ReleaseKey] = {}
        """Sent again once the registration that they may have overtaken is settled."""
        self.deferred_claim_ends: dict[RequestId, EndClaim] = {}
        """Sent once the claim that they end is settled, so that they cannot overtake it."""
        self.targets: dict[TargetName, Target] = {}
        self.upstreams = Upstreams()
        self.budget = RetryBudget(
            policy.retry_budget, policy.retry_budget_floor, policy.retry_window_s
        )
        self.timers = Timers(self.requests)
        self.prefill_selector = ShortestPrefillTime(random, self._cached)

    def request_of_attempt(self, attempt_id: AttemptId, *phases: Phase) -> Request | None:
        """Return the request with this current attempt, if it is in one of the phases."""
        request = self.requests.get(attempt_id.request)
        if request is None or request.attempt is None or request.attempt.id != attempt_id:
            return None
        return request if request.phase in phases else None

    def request_in_phase(self, request_id: RequestId, phase: Phase) -> Request | None:
        """Return the request, if it is in progress and in this phase."""
        request = self.requests.get(request_id)
        return request if request is not None and request.phase is phase else None

    def pool_candidates(self, request: Request, patient: bool = False) -> list[Candidate]:
        """Return the upstreams that can take the request's next attempt.

        Those that refused it are left out, unless it may have run and there are no others.
        """
        pool = request.target.pool
        candidates = self.upstreams.candidates(pool, self.now, request.refused_by, patient=patient)
        if candidates or not request.possible_runs:
            return candidates
        return self.upstreams.candidates(pool, self.now, patient=patient)

    def prefill_candidates(self, request: Request) -> Sequence[Candidate]:
        """Return the prefill engines that can run the request's prompt."""
        refused_by = request.attempt.prefill_refused_by if request.attempt else ()
        candidates = self.upstreams.candidates(request.target.prefill, self.now, refused_by)
        if request.urgency is Urgency.PATIENT:
            return candidates
        return [_without_patient_backlog(candidate) for candidate in candidates]

    def _cached(self, upstream: UpstreamName) -> Container[int]:
        view = self.upstreams.get(upstream)
        if view is None or not self.policy.prefix_affinity:
            return NO_BLOCKS
        return view.blocks


def _without_patient_backlog(candidate: Candidate) -> Candidate:
    """Remove the prefill backlog of patient work, which urgent prompts overtake."""
    report = candidate.report
    return candidate._replace(
        report=report._replace(prefill_backlog_s=report.prefill_urgent_backlog_s)
    )
