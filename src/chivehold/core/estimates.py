"""How long a request may still wait, and whether it can be in time at all."""

from typing import NamedTuple

from chivehold.core.identity import Urgency
from chivehold.core.requests import Request
from chivehold.core.routing import prefill_work_s
from chivehold.core.shedding import min_expected_wait_s
from chivehold.core.state import EntryState

TRANSFER_S = 0.02
"""Time for the transfer of a KV cache over an idle link, and the first token."""
MAX_PREFILL_WAIT_S = 5.0
"""A place granted is not kept idle for longer than this."""
NO_UPSTREAM_RETRY_S = 1.0
MAX_PATIENT_PREFILL_BACKLOG_S = 0.5


class AdmissionRefusal(NamedTuple):
    """Why a request is not to be offered now, and when there would be room, in seconds."""

    reason: str
    wait_s: float


class Estimates:
    """Estimates from load reports what a request has to wait for.

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

        Only a first attempt of an urgent model request has a first-token target to keep. A prompt
        too long for the target even on idle engines may wait as long as any other.
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
        """Return how long the request's prefill may wait at its engine, in seconds.

        Args:
            request: The request.
            work_s: Time that the prefill itself takes, in seconds.
        """
        if not self._has_first_token_target(request):
            return min(self.remaining_s(request), MAX_PREFILL_WAIT_S)
        target_s = request.traffic_class.first_token_target_s
        within_s = target_s - self.waited_s(request) - work_s - TRANSFER_S
        if within_s <= 0.0 or not self._state.policy.shed_late:
            within_s = MAX_PREFILL_WAIT_S
        return min(self.remaining_s(request), within_s, MAX_PREFILL_WAIT_S)

    def first_token_work_s(self, request: Request) -> float:
        """Estimate the time from the grant of a place to the first token, in seconds."""
        selector = self._state.prefill_selector
        arrival = request.arrival
        times = [
            selector.time_s(candidate, arrival.prefix_blocks, request.prompt_tokens)
            for candidate in self._state.prefill_candidates(request)
        ]
        return min(times, default=0.0) + TRANSFER_S

    def can_prefill(self, request: Request) -> bool:
        """Tell whether the request needs no prefill engine or one is usable."""
        return request.target.is_service or bool(self._state.prefill_candidates(request))

    def patient_prefill_s(self, request: Request) -> float | None:
        """Return a patient request's prefill work in seconds, or ``None`` where it is not its turn.

        A place is not reserved long before the prefill can start: the prefill engines' backlog,
        with that of the offers already out, is to be within ``MAX_PATIENT_PREFILL_BACKLOG_S``.
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
        """Return what speaks against taking a request now, if anything does."""
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
        """Estimate a new patient request's wait for its place, in seconds."""
        target = request.target
        candidates = self._state.pool_candidates(request)
        reported_s = min_expected_wait_s(candidates, Urgency.PATIENT) or 0.0
        rate = target.grant_rates[Urgency.PATIENT].per_s(self._state.now)
        if not rate:
            return reported_s
        return max(reported_s, target.admission.waiting(Urgency.PATIENT) / rate)

    def retry_after_s(self, request: Request, wait_s: float) -> float:
        """Return when a refused caller should come back, in seconds from now.

        Args:
            request: The request to be refused.
            wait_s: Time until there would be room for it, in seconds.
        """
        target = request.target
        rate = target.grant_rates[request.urgency].per_s(self._state.now)
        return target.retry_schedules[request.urgency].retry_after_s(wait_s, rate, self._state.now)

    def _has_first_token_target(self, request: Request) -> bool:
        if request.target.is_service or request.urgency is Urgency.PATIENT:
            return False
        return self._state.policy.shed_late and not request.may_have_run
