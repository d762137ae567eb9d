"""Estimates of how long requests wait and whether they can meet their deadlines."""

from typing import NamedTuple

from chivehold.core.identity import Urgency
from chivehold.core.requests import Request
from chivehold.core.routing import prefill_work_s
from chivehold.core.shedding import min_expected_wait_s
from chivehold.core.state import EntryState

TRANSFER_S = 0.02
"""Time in seconds to transfer a KV cache over an idle link and produce the first token."""
MAX_PREFILL_WAIT_S = 5.0
"""Maximum time in seconds that a granted place stays idle while its prefill waits."""
NO_UPSTREAM_RETRY_S = 1.0
"""Retry delay in seconds for requests without a usable upstream."""
MAX_PATIENT_PREFILL_BACKLOG_S = 0.5
"""Limit in seconds on the prefill engines' backlog; above it no patient work is offered."""


class AdmissionRefusal(NamedTuple):
    """Why a request must be refused now, and the time in seconds until it could be admitted."""

    reason: str
    wait_s: float


class Estimates:
    """Estimates the waiting times of requests from load reports.

    Args:
        state: The entry's state.
    """

    def __init__(self, state: EntryState) -> None:
        self._state = state

    def remaining_s(self, request: Request) -> float:
        """Return the time until the request's deadline in seconds, at least 0."""
        return max(0.0, request.deadline - self._state.now)

    def waited_s(self, request: Request) -> float:
        """Return the time since the request's arrival in seconds."""
        return self._state.now - request.arrived_at

    def start_within_s(self, request: Request) -> float:
        """Return how long the request may wait for a place and still be in time, in seconds.

        Only the first attempt of an urgent model request has a first-token target. A prompt that
        is too long to meet the target even on idle engines is allowed the whole target as waiting
        time.
        """
        remaining_s = self.remaining_s(request)
        if not self._has_first_token_target(request):
            return remaining_s
        target_s = request.traffic_class.first_token_target_s
        work_s = self.first_token_work_s(request)
        if work_s >= target_s:
            work_s = 0.0
        return min(remaining_s, max(0.0, target_s - self.waited_s(request) - work_s))

    def prefill_start_within_s(self, request: Request, work_s: float) -> float:
        """Return how long the request's prefill may wait at the engine, in seconds.

        Args:
            request: The request.
            work_s: Duration of the prefill itself, in seconds.
        """
        if not self._has_first_token_target(request):
            return min(self.remaining_s(request), MAX_PREFILL_WAIT_S)
        target_s = request.traffic_class.first_token_target_s
        within_s = target_s - self.waited_s(request) - work_s - TRANSFER_S
        if within_s <= 0.0 or not self._state.policy.shed_late:
            within_s = MAX_PREFILL_WAIT_S
        return min(self.remaining_s(request), within_s, MAX_PREFILL_WAIT_S)

    def first_token_work_s(self, request: Request) -> float:
        """Return the estimated time from the grant of a place to the first token, in seconds."""
        selector = self._state.prefill_selector
        arrival = request.arrival
        times = [
            selector.time_s(candidate, arrival.prefix_blocks, request.prompt_tokens)
            for candidate in self._state.prefill_candidates(request)
        ]
        return min(times, default=0.0) + TRANSFER_S

    def can_prefill(self, request: Request) -> bool:
        """Return whether the request needs no prefill, or a prefill engine is usable."""
        return request.target.is_service or bool(self._state.prefill_candidates(request))

    def patient_prefill_s(self, request: Request) -> float | None:
        """Return a patient request's prefill work in seconds, or ``None`` if it must still wait.

        A place must not be reserved long before the prefill can start, so the backlog of the least
        loaded prefill engine and of the open offers is limited to
        ``MAX_PATIENT_PREFILL_BACKLOG_S``.
        """
        if request.target.is_service:
            return 0.0
        candidates = self._state.prefill_candidates(request)
        if not candidates:
            return None
        if self._state.policy.prefill_pacing:
            offered_s = request.target.admission.offered_prefill_s / len(candidates)
            backlogs_s = [
                candidate.report.prefill_backlog_s + candidate.outstanding_s
                for candidate in candidates
            ]
            if min(backlogs_s) + offered_s > MAX_PATIENT_PREFILL_BACKLOG_S:
                return None
        return prefill_work_s(candidates[0], request.prompt_tokens)

    def admission_refusal(self, request: Request) -> AdmissionRefusal | None:
        """Return why a request must be refused now, or ``None`` if it may be admitted."""
        if request.urgency is Urgency.PATIENT:
            late_s = self.patient_wait_s(request) - self.remaining_s(request)
            shed = late_s > 0.0 and self._state.policy.shed_late
            return AdmissionRefusal("too late", late_s) if shed else None
        candidates = self._state.pool_candidates(request)
        wait_s = min_expected_wait_s(candidates, request.urgency)
        if wait_s is None or not self.can_prefill(request):
            return AdmissionRefusal("no upstream", request.retry_hint_s or NO_UPSTREAM_RETRY_S)
        late_s = wait_s - self.start_within_s(request)
        if late_s > 0.0 and self._state.policy.shed_late and not request.may_have_run:
            return AdmissionRefusal("too late", late_s)
        return None

    def patient_wait_s(self, request: Request) -> float:
        """Return the estimated time in seconds that a new patient request waits for a place."""
        target = request.target
        candidates = self._state.pool_candidates(request)
        reported_s = min_expected_wait_s(candidates, Urgency.PATIENT) or 0.0
        rate = target.grant_rates[Urgency.PATIENT].per_s(self._state.now)
        if not rate:
            return reported_s
        return max(reported_s, target.admission.waiting(Urgency.PATIENT) / rate)

    def retry_after_s(self, request: Request, wait_s: float) -> float:
        """Return the time in seconds after which a refused caller should retry.

        Args:
            request: The refused request.
            wait_s: Time in seconds until capacity for it is expected.
        """
        target = request.target
        rate = target.grant_rates[request.urgency].per_s(self._state.now)
        return target.retry_schedules[request.urgency].retry_after_s(wait_s, rate, self._state.now)

    def _has_first_token_target(self, request: Request) -> bool:
        if request.target.is_service or request.urgency is Urgency.PATIENT:
            return False
        return self._state.policy.shed_late and not request.may_have_run
