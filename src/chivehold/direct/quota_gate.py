"""Admits callers' requests within the quota of their organisation, and refunds those not run."""

import logging
from collections.abc import Callable, Iterable
from random import Random

import trio

from chivehold.core.direct.messages import RequestMetadata
from chivehold.core.direct.organisations import Organisation
from chivehold.core.direct.quotas import QuotaDecision, QuotaUse
from chivehold.core.direct.shared_quotas import SharedQuotas
from chivehold.direct.exchange import Exchange
from chivehold.direct.metrics import QuotaFigures
from chivehold.direct.refusals import Refusal, quota_refusal
from chivehold.logs import log_event

RETRY_JITTER = 0.1
MIN_RETRY_JITTER_S = 0.05
"""Rejected callers that would all return at once spread over at least this time."""
MAX_LOGGED_NAME = 100
MAX_LABELS = 64
OTHER_LABEL = "other"

_log = logging.getLogger(__name__)


class QuotaGate:
    """Decides on each request of an organisation.

    Args:
        quotas: The quotas, shared with the other entries.
        reschedule: Called after each decision; it may have made the next report due earlier.
        rng: Draws the jitter of retry times.
    """

    def __init__(self, quotas: SharedQuotas, reschedule: Callable[[], None], rng: Random) -> None:
        self._quotas = quotas
        self._reschedule = reschedule
        self._rng = rng

    def admit(
        self, organisation: Organisation | None, metadata: RequestMetadata
    ) -> QuotaDecision | Refusal | None:
        """Charge a request, or return its refusal.

        Returns:
            ``None`` if nothing is charged, since the organisation has no quota.
        """
        # A caller's resumption is charged, too: its engine reads the prompt once more, and any
        # request may claim to be one.
        if organisation is None or organisation.quota is None:
            return None
        decision = self._quotas.decide(organisation, metadata.tokens, trio.current_time())
        self._reschedule()
        if decision is None or decision.admitted:
            return decision
        retry_after_s = self._with_jitter(decision.retry_after_s)
        log_event(
            _log,
            logging.INFO,
            "request over quota",
            request=metadata.request_id,
            organisation=decision.organisation[:MAX_LOGGED_NAME],
            cost=decision.cost,
            bucket_level=round(decision.level),
            oldest_report_ms=round(decision.oldest_report_s * 1_000),
            retry_after_ms=round(retry_after_s * 1_000),
        )
        return quota_refusal(retry_after_s)

    def refund(self, decision: QuotaDecision) -> None:
        """Give back the cost of a request that has certainly not run."""
        self._quotas.refund(decision, trio.current_time())

    def figures(self) -> list[QuotaFigures]:
        """Return the figures for the metrics: the largest quotas, and the sum of the others."""
        states = sorted(
            self._quotas.states(trio.current_time()),
            key=lambda state: (-state.quota.rate, state.organisation),
        )
        if len(states) <= MAX_LABELS:
            return [_sum_of(state.organisation, (state,)) for state in states]
        largest = [_sum_of(state.organisation, (state,)) for state in states[: MAX_LABELS - 1]]
        return [*largest, _sum_of(OTHER_LABEL, states[MAX_LABELS - 1 :])]

    def explain(self, exchange: Exchange) -> dict[str, object]:
        """Return what is left of the quota of a request's organisation, if it has one."""
        organisation = exchange.organisation
        if organisation is None or organisation.quota is None:
            return {}
        states = self._quotas.states(trio.current_time())
        levels = (state.level for state in states if state.organisation == organisation.name)
        return {
            "quota_level": next((round(level) for level in levels), None),
            "quota_rate": organisation.quota.rate,
            "cost": organisation.quota.cost(exchange.metadata.tokens),
        }

    def _with_jitter(self, retry_after_s: float) -> float:
        spread_s = max(MIN_RETRY_JITTER_S, RETRY_JITTER * retry_after_s)
        return retry_after_s + self._rng.uniform(0.0, spread_s)


def _sum_of(label: str, states: Iterable[QuotaUse]) -> QuotaFigures:
    summed = tuple(states)
    return QuotaFigures(
        label,
        level=sum(state.level for state in summed),
        rate=sum(state.quota.rate for state in summed),
        used=sum(state.used for state in summed),
        rejected=sum(state.rejected for state in summed),
    )
