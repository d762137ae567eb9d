"""Why a sidecar refuses work: the rules that places and prefills share."""

from chivehold.core.attempts import AttemptLedger
from chivehold.core.availability import Availability
from chivehold.core.wire import AttemptOffer, PrefillOrder, Reason

DEFAULT_RETRY_AFTER_S = 1.0
MIN_RETRY_AFTER_S = 0.1

Work = AttemptOffer | PrefillOrder


class RefusalRules:
    """Tells what stands against work, whatever the load.

    Args:
        incarnation: The sidecar's run, to which work has to be addressed.
        shed_late: Whether work that would be late is refused.
        attempts: The ledger of attempts.
        availability: Whether the upstream takes new work.
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
        """Return why work is refused before its place in a queue is looked at."""
        if work.incarnation != self._incarnation:
            return Reason.WRONG_INCARNATION
        known = self._attempts.refusal(work.attempt)
        if known is not None:
            return known
        if work.deadline_in_s <= 0:
            return Reason.DEADLINE
        return self._availability.refusal

    def lateness_reason(self, work: Work, wait_s: float) -> Reason | None:
        """Return why work is refused that would wait for so many seconds."""
        if not self._shed_late:
            return None
        if wait_s > work.deadline_in_s:
            return Reason.DEADLINE
        return Reason.TOO_LATE if wait_s > work.start_within_s else None


def expiry_reason(work: Work) -> Reason:
    """Return why work is refused whose time is up while it waits."""
    return Reason.TOO_LATE if work.start_within_s < work.deadline_in_s else Reason.DEADLINE


def retry_after_s(wait_s: float) -> float:
    """Return when to come back after a wait of so many seconds, at least ``MIN_RETRY_AFTER_S``."""
    return round(max(MIN_RETRY_AFTER_S, wait_s), 3)
