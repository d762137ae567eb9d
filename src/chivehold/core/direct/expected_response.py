"""Expected response time of an upstream of a plain service, and the choice by it.

The usual service time, times the present slowness, times the work in progress. The work of other
entries counts little: all entries receive much the same reports, and if they trusted them fully
they would all move to the same upstream at once. Mostly only two random candidates are compared,
for the same reason.

Where no upstream of a service reports its load, the service time cannot be told apart from the
latency, and this entry's own calls are all the work that is known.
"""

from collections.abc import Mapping, Sequence
from random import Random
from typing import NamedTuple

from chivehold.core.direct.messages import UpstreamRecord
from chivehold.core.direct.reported_load import LoadReport

OWN_WEIGHT = 2.0
"""Weight of a request of this entry in an upstream's load; its own count is exact and current."""
OTHERS_WEIGHT = 0.2
"""Weight of a request of another entry."""
MIN_USUAL_SHARE = 0.5
"""A service time is taken to be at least this share of the latency, whatever load is reported."""
FAILURE_COST_S = 0.5
"""Cost of a failed attempt to the caller; weighted by the upstream's failure rate."""
COST_JITTER = 0.1
"""Random share added to the cost, so that entries that see the same load choose differently."""
TWO_CHOICES_SHARE = 0.3
"""Share of the requests that go to the better of two random candidates, instead of the best."""
ZONE_TOLERANCE = 1.25
"""Upstreams in the own zone are preferred up to this multiple of the shortest service time."""
MAX_NEAR_FILL = 0.6
"""Share of its slots in use up to which an upstream in the own zone is preferred."""
MIN_CANDIDATES_FOR_TWO = 3
"""With fewer, the better of two random candidates is the best one anyway."""


class UpstreamWork(NamedTuple):
    """What an entry knows of an upstream when it chooses one."""

    latency_s: float
    """Mean latency of this entry's calls."""
    in_flight: int
    """This entry's calls in progress."""
    failure_rate: float


class ReportedWork(NamedTuple):
    """What an entry also knows of an upstream of a service that reports its load."""

    usual_s: float
    """Service time at usual slowness and without waiting."""
    others: float
    """Requests of other entries, weighted by the age of the report."""
    slowness: float
    """How many times as long as usual work takes now."""


def expected_response_s(work: UpstreamWork, reported: ReportedWork | None) -> float:
    """Return the expected response time of one more request, in seconds.

    Attempts that fail have a cost, so that an upstream that fails fast does not attract work.
    """
    failure_s = FAILURE_COST_S * work.failure_rate
    if reported is None:
        return work.latency_s * (1 + work.in_flight) + failure_s
    in_progress = 1 + OWN_WEIGHT * work.in_flight + OTHERS_WEIGHT * reported.others
    return reported.usual_s * reported.slowness * in_progress + failure_s


def service_time_s(latency_s: float, report: LoadReport | None) -> float:
    """Return what a request would have taken at usual slowness and without waiting.

    Args:
        latency_s: What it has taken.
        report: What the upstream reported with its response.
    """
    if report is None:
        return latency_s
    load = report.load
    crowd = max(1.0, (load.running + load.waiting) / load.slots)
    return latency_s / crowd / (load.slowness or 1.0)


class Candidate(NamedTuple):
    """What an upstream offers to a request."""

    cost_s: float
    service_s: float
    """Service time now, without waiting."""
    fill: float
    """Share of its slots in use, as far as it is known."""


def candidate_order(
    candidates: Mapping[UpstreamRecord, Candidate], zone: str, rng: Random
) -> list[UpstreamRecord]:
    """Return the upstreams in the order in which to use them.

    Those in the entry's own zone come first while they have free slots and are hardly slower than
    the fastest one, since bytes between zones cost money. Some requests go to the better of two
    random candidates.

    Args:
        candidates: The upstreams.
        zone: The zone of this entry.
        rng: Picks the two.
    """
    ranked = sorted(candidates, key=lambda upstream: candidates[upstream].cost_s)
    if all(upstream.zone == zone for upstream in ranked):
        return _better_of_two_first(ranked, rng)
    shortest_s = min((each.service_s for each in candidates.values()), default=0.0)
    near = [
        upstream
        for upstream in ranked
        if upstream.zone == zone
        and candidates[upstream].fill <= MAX_NEAR_FILL
        and candidates[upstream].service_s <= ZONE_TOLERANCE * shortest_s
    ]
    far = [upstream for upstream in ranked if upstream not in near]
    if not near:
        return _better_of_two_first(far, rng)
    return [*_better_of_two_first(near, rng), *far]


def _better_of_two_first(ranked: Sequence[UpstreamRecord], rng: Random) -> list[UpstreamRecord]:
    """Move the better one of two random candidates to the front, for most requests.

    Args:
        ranked: The candidates, best first.
        rng: Picks the two.
    """
    if len(ranked) < MIN_CANDIDATES_FOR_TWO or rng.random() >= TWO_CHOICES_SHARE:
        return list(ranked)
    first = min(rng.sample(range(len(ranked)), 2))
    return [ranked[first], *ranked[:first], *ranked[first + 1 :]]
