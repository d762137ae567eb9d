"""The load that upstreams report in their responses, trusted less as it ages.

A report reaches only the entry that called, at the end of its call, and what it counts lasts for a
tenth of a second. The work of other entries at an upstream is what it reported less this entry's
own calls at that moment. Own calls in progress are known exactly and need no report.
"""

from collections.abc import Collection
from typing import NamedTuple

from chivehold.core.direct.messages import ReportedLoad, UpstreamIncarnation

WORK_HALF_LIFE_S = 0.8
"""Half-life of what a report says about the work of other entries."""
SLOWNESS_HALF_LIFE_S = 0.2
"""Half-life of a reported slowness; a temporary slowdown lasts some 0.6 s."""
MAX_SLOWNESS_AGE_S = 0.6
"""A slowness reported longer ago says nothing about now."""
MAX_SLOWNESS = 3.0
"""Highest slowness that is believed."""
MAX_LOAD_FACTOR = 5
"""Most requests that are believed to be at an upstream, as a multiple of its slots."""
MAX_AGE_S = 5.0
"""Reports older than this are treated as if there had never been one."""


class LoadReport(NamedTuple):
    """A load as an upstream reported it."""

    load: ReportedLoad
    others: int
    """Requests of other entries at the upstream, running and waiting."""
    at: float
    """When the report was received, on the monotonic clock."""


class ReportedLoads:
    """Keeps the latest load that each incarnation of an upstream has reported."""

    def __init__(self) -> None:
        self._reports: dict[UpstreamIncarnation, LoadReport] = {}

    def record(
        self, upstream: UpstreamIncarnation, load: ReportedLoad, own: int, now: float
    ) -> None:
        """Record a report; one that cannot be true is ignored.

        Args:
            upstream: The upstream.
            load: What it reported.
            own: This entry's calls in progress there, including the one that brought the report.
            now: Monotonic time in seconds.
        """
        if not load.is_plausible:
            return
        load = _believed(load)
        others = max(0, load.running + load.waiting - own)
        self._reports[upstream] = LoadReport(load, others, now)

    def report_of(self, upstream: UpstreamIncarnation, now: float) -> LoadReport | None:
        """Return the latest report, or ``None`` without one that still says anything."""
        report = self._reports.get(upstream)
        return report if report is not None and now - report.at <= MAX_AGE_S else None

    def others(
        self, upstream: UpstreamIncarnation, now: float, half_life_s: float = WORK_HALF_LIFE_S
    ) -> float:
        """Return the requests of other entries at an upstream, weighted by the report's age."""
        report = self.report_of(upstream, now)
        return report.others * _weight(report.at, now, half_life_s) if report else 0.0

    def slowness(self, upstream: UpstreamIncarnation, now: float) -> float:
        """Return how many times as long as usual work takes at an upstream now; 1 if unknown."""
        report = self.report_of(upstream, now)
        if report is None or report.load.slowness is None or now - report.at > MAX_SLOWNESS_AGE_S:
            return 1.0
        return 1.0 + (report.load.slowness - 1.0) * _weight(report.at, now, SLOWNESS_HALF_LIFE_S)

    def reports_slowness(self, upstream: UpstreamIncarnation) -> bool:
        """Return whether the latest report of an upstream, however old, stated its slowness."""
        report = self._reports.get(upstream)
        return report is not None and report.load.slowness is not None

    def age_s(self, upstream: UpstreamIncarnation, now: float) -> float | None:
        """Return the age of the latest report in seconds, or ``None`` without one."""
        report = self._reports.get(upstream)
        return None if report is None else now - report.at

    def forget_others(self, upstreams: Collection[UpstreamIncarnation]) -> None:
        """Forget the reports of all upstreams except these."""
        for known in [known for known in self._reports if known not in upstreams]:
            del self._reports[known]


def _believed(load: ReportedLoad) -> ReportedLoad:
    """Return a load with the figures limited, so that a wrong report does little harm."""
    running = min(load.running, MAX_LOAD_FACTOR * load.slots)
    return load._replace(
        running=running,
        waiting=min(load.waiting, MAX_LOAD_FACTOR * load.slots - running),
        slowness=load.slowness and min(load.slowness, MAX_SLOWNESS),
    )


def _weight(at: float, now: float, half_life_s: float) -> float:
    weight: float = 0.5 ** (max(0.0, now - at) / half_life_s)
    return weight
