"""What upstreams can do now, and how evenly work is spread over them, as shown to operators."""

from collections.abc import Sequence
from statistics import fmean, pstdev
from typing import NamedTuple


class UpstreamCapacity(NamedTuple):
    """What an entry believes of one upstream."""

    relative_time: float
    """How many times as long as at the median upstream of its service and stage work takes."""
    slowness: float
    """How many times as long as usual its work takes now."""
    in_progress: float
    """Own requests, and those of other entries weighted by the age of the report."""
    report_age_s: float | None
    limit: float | None
    """How many requests of this entry it may have; ``None`` without a limit."""


def unevenness(in_progress: Sequence[float]) -> float:
    """Return the deviation of work in progress over its mean; 0 if it is perfectly even."""
    mean = fmean(in_progress) if in_progress else 0.0
    return pstdev(in_progress) / mean if mean else 0.0
