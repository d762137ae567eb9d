"""The reasons for which a sidecar refuses work, shared by places and prefills."""

from chivehold.core.attempts import AttemptLedger
from chivehold.core.availability import Availability
from chivehold.core.wire import AttemptOffer, PrefillOrder, Reason

DEFAULT_RETRY_AFTER_S = 1.0
MIN_RETRY_AFTER_S = 0.1

Work = AttemptOffer | PrefillOrder


class RefusalRules:
    """Decides whether an offer or a prefill order is refused.

    Args:
        incarnation: The sidecar run to which work must be addressed.
        shed_late: Whether work that would be late is refused.
        attempts: Attempts in progress, and those remembered after their end.
        availability: Whether the upstream accepts new work.
    """

    def __init__(
        self,
        incarnation: str,
        shed_late: bool,
        attempts: AttemptLedger,
        availability: Availability,
    ) -> None:
        self._incarnation = incarnation
        self._shed_late = shed_late
        self._attempts = attempts
        self._availability = availability

    def immediate_reason(self, work: Work) -> Reason | None:
        """Return why work is refused whatever the load is, or ``None``."""
        if work.incarnation != self._incarnation:
            return Reason.WRONG_INCARNATION
        attempt_reason = self._attempts.refusal(work.attempt)
        if attempt_reason is not None:
            return attempt_reason
        if work.deadline_in_s <= 0:
            return Reason.DEADLINE
        return self._availability.refusal

    def lateness_reason(self, work: Work, wait_s: float) -> Reason | None:
        """Return why work that would wait ``wait_s`` seconds is refused, or ``None``."""
        if not self._shed_late:
            return None
        if wait_s > work.deadline_in_s:
            return Reason.DEADLINE
        return Reason.TOO_LATE if wait_s > work.start_within_s else None


def expiry_reason(work: Work) -> Reason:
    """Return the reason for refusing work that ran out of time while it waited."""
    return Reason.TOO_LATE if work.start_within_s < work.deadline_in_s else Reason.DEADLINE


def retry_after_s(wait_s: float) -> float:
    """Return the ``retry_after_s`` for an expected wait, at least ``MIN_RETRY_AFTER_S``."""
    return round(max(MIN_RETRY_AFTER_S, wait_s), 3)
