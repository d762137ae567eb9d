"""Computes the figures of a run, and their mean and standard deviation over seeds."""

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

from chivehold.core.identity import Outcome
from examples.measure.run import ARRIVALS_START_S, FAULT_END_S, RequestRecord, Result, Run
from examples.measure.scenario import WARM_UP_S, Scenario, arrivals_end_s

RECOVERY_S = 10.0
FAST_REFUSAL_S = 0.05


class Summary(NamedTuple):
    """One run's figures; shares are 0 to 1, times in seconds, rates per second."""

    goodput: float
    urgent_good: float
    """Urgent requests answered within both targets, as a share of all urgent ones."""
    patient_finished: float
    """Patient requests answered in full, as a share of the accepted ones."""
    patient_accepted: float
    wasted: float
    """Share of the prefill work whose output no caller received."""
    first_token_median: float
    first_token_p95: float
    first_token_p99: float
    interval_p95: float
    patient_oldest: float
    """Maximum time from the last try to the end of an accepted patient request."""
    refused: float
    refused_slowest: float
    """Maximum time from the last try to a refusal."""
    unknown: float
    lost: int
    """Number of requests that never ended."""
    held_at_end: int
    fairness: float
    """Jain's index of urgent goodput over organisations other than the first, the greedy one."""
    returned: float
    """Share of the retries that were admitted."""
    refused_fast: float
    """Share of the refusals that came within 50 ms of the try."""
    recovered: float
    """Share of urgent requests within both targets, from 10 s after the fault's end."""


def summarise(result: Result) -> Summary:
    """Return a run's figures over the uncancelled requests that arrived after the warm-up."""
    rows = [
        row
        for row in result.requests
        if row.arrived_at >= WARM_UP_S + ARRIVALS_START_S and not row.cancelled
    ]
    urgent = [row for row in rows if row.urgent]
    patient = [row for row in rows if not row.urgent]
    refused = [row for row in rows if row.outcome is Outcome.NOT_RUN]
    accepted = [row for row in patient if row.outcome is not Outcome.NOT_RUN]
    first_token_times_s = [row.first_token_s or 0.0 for row in urgent if row.is_answered]
    intervals = [row.interval_s or 0.0 for row in rows if row.is_answered]
    after_recovery = [
        row for row in urgent if row.arrived_at >= FAULT_END_S + RECOVERY_S + ARRIVALS_START_S
    ]
    span_s = arrivals_end_s(result.scenario) - WARM_UP_S
    return Summary(
        goodput=sum(row.is_good for row in rows) / span_s,
        urgent_good=_share([row.is_good for row in urgent]),
        patient_finished=_share([row.is_answered for row in accepted]),
        patient_accepted=_share([row.outcome is not Outcome.NOT_RUN for row in patient]),
        wasted=result.wasted_prefill_s / max(1e-9, result.prefill_work_s),
        first_token_median=_quantile(first_token_times_s, 0.5),
        first_token_p95=_quantile(first_token_times_s, 0.95),
        first_token_p99=_quantile(first_token_times_s, 0.99),
        interval_p95=_quantile(intervals, 0.95),
        patient_oldest=max((_last_try_s(row) for row in accepted), default=0.0),
        refused=_share([row.outcome is Outcome.NOT_RUN for row in rows]),
        refused_slowest=max((_last_try_s(row) for row in refused), default=0.0),
        unknown=_share([row.outcome is Outcome.UNKNOWN for row in rows]),
        lost=sum(row.ended_at is None for row in rows),
        held_at_end=result.held_at_end,
        fairness=_jain_index(urgent),
        returned=1.0 - result.retries_refused / max(1, result.retries),
        refused_fast=_share([_last_try_s(row) <= FAST_REFUSAL_S for row in refused]),
        recovered=_share([row.is_good for row in after_recovery]),
    )


def mean(summaries: Sequence[Summary]) -> Summary:
    """Return the mean of each figure over seeds."""
    return Summary(*(float(value) for value in np.mean(np.array(summaries), axis=0)))


def standard_deviation(summaries: Sequence[Summary]) -> Summary:
    """Return the standard deviation of each figure over seeds."""
    return Summary(*(float(value) for value in np.std(np.array(summaries), axis=0)))


def _last_try_s(row: RequestRecord) -> float:
    return (row.ended_at or 0.0) - row.last_try_at


def _share(flags: Sequence[bool]) -> float:
    return sum(flags) / len(flags) if flags else 1.0


def _quantile(values: Sequence[float], fraction: float) -> float:
    return float(np.quantile(values, fraction)) if values else 0.0


def _jain_index(rows: Sequence[RequestRecord]) -> float:
    """Return Jain's fairness index, (sum x)^2 / (n sum x^2), of good answers per organisation."""
    counts: dict[str, int] = {}
    for row in rows:
        if row.organisation != "org-0":
            counts[row.organisation] = counts.get(row.organisation, 0) + row.is_good
    if not any(counts.values()):
        return 1.0
    total = sum(counts.values())
    return total * total / (len(counts) * sum(count * count for count in counts.values()))


def measure(scenario: Scenario) -> tuple[Scenario, Summary]:
    """Run a scenario and return it with its figures; worker processes call this."""
    return scenario, summarise(Run(scenario).result())
