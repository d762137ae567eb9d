"""The entry's view of its upstreams: their load reports and the work sent since."""

from collections import OrderedDict, deque
from collections.abc import Container, Iterable, Iterator, Mapping
from typing import TypedDict

from chivehold.core.declared import Upstream
from chivehold.core.identity import SidecarIncarnation, UpstreamName
from chivehold.core.protocols import Candidate
from chivehold.core.wire import LoadReport, UpstreamState

MAX_REPORT_AGE_S = 3.0
"""Age in seconds after which an upstream without a newer report gets no new work."""
REPORT_LATENCY_S = 0.05
"""Assumed latency of a report in seconds; it does not include work sent within that time."""
MAX_SENT_BLOCKS = 2_000
"""Blocks remembered as sent to an upstream."""
MIN_SUSPECT_S = 1.0
"""Time in seconds for which a first failure makes an upstream suspect."""
MAX_SUSPECT_S = 8.0
"""Maximum of that time in seconds; it doubles with each consecutive failure."""
NO_BLOCKS: frozenset[int] = frozenset()


class UpstreamDump(TypedDict):
    """Diagnostic state of one upstream."""

    incarnation: str
    state: str
    report_age_s: float | None
    reachable: bool
    leaving: bool
    uncovered: int
    in_flight: int


class PrefixCacheEstimate:
    """Blocks that an engine has probably cached: those reported and those recently sent."""

    def __init__(self) -> None:
        self._reported = NO_BLOCKS
        self._sent: OrderedDict[int, None] = OrderedDict()

    def __contains__(self, digest: object) -> bool:
        return digest in self._reported or digest in self._sent

    def replace_reported(self, blocks: Iterable[int]) -> None:
        """Replace the blocks that the engine reported as cached."""
        self._reported = frozenset(blocks)

    def add_sent(self, blocks: Iterable[int]) -> None:
        """Add the blocks of a prompt sent to the engine, and evict the oldest over the limit."""
        for digest in blocks:
            self._sent[digest] = None
            self._sent.move_to_end(digest)
        while len(self._sent) > MAX_SENT_BLOCKS:
            self._sent.popitem(last=False)

    def clear(self) -> None:
        """Remove all blocks, because the engine was replaced."""
        self._reported = NO_BLOCKS
        self._sent.clear()


class UpstreamView:
    """One upstream as this entry sees it: its last report and the work sent there since."""

    def __init__(self, declared: Upstream) -> None:
        self.declared = declared
        self.report: LoadReport | None = None
        self.reported_at = 0.0
        self.reachable = True
        self.listed_leaving = False
        self.refused_leaving = False
        self.suspect_until = 0.0
        """Other upstreams are preferred until this time, as reports do not show failed work."""
        self._failures = 0
        self.patient_allowed_at = 0.0
        """No patient offers before this time, because the sidecar refused one."""
        self.in_flight = 0
        """Number of this entry's offers and calls that hold or wait for a place."""
        self.blocks = PrefixCacheEstimate()
        self._uncovered: deque[tuple[float, float]] = deque()
        """Sending time and duration in seconds of the work that no report includes yet."""
        self._uncovered_s = 0.0

    def update_report(self, report: LoadReport, now: float) -> None:
        """Store a newer report and stop counting the sent work that it includes.

        Args:
            report: The report.
            now: Monotonic time in seconds at which it arrived.
        """
        if self.report is not None and self.report.incarnation != report.incarnation:
            self._reset()
        self.report = report
        self.reported_at = now
        self.reachable = True
        self.refused_leaving = False
        if report.places_free > 0:
            self.patient_allowed_at = 0.0
        self.blocks.replace_reported(report.prefix_blocks)
        while self._uncovered and self._uncovered[0][0] <= now - REPORT_LATENCY_S:
            self._uncovered_s -= self._uncovered.popleft()[1]
        if not self._uncovered:
            self._uncovered_s = 0.0

    def record_failure(self, now: float) -> None:
        """Mark the upstream as suspect, for twice as long after each consecutive failure."""
        if now < self.suspect_until:
            return
        self.suspect_until = now + min(MAX_SUSPECT_S, MIN_SUSPECT_S * 2**self._failures)
        self._failures += 1

    def record_output(self) -> None:
        """Clear the suspicion, because the engine produced output."""
        self._failures = 0
        self.suspect_until = 0.0

    def add_sent_work(self, work_s: float, now: float) -> None:
        """Count work sent to the upstream, in seconds of its time."""
        self._uncovered.append((now, work_s))
        self._uncovered_s += work_s

    def is_usable(self, now: float) -> bool:
        """Return whether the upstream may get new work."""
        report = self.report
        if report is None or now - self.reported_at > MAX_REPORT_AGE_S:
            return False
        if not self.reachable or self.listed_leaving or self.refused_leaving:
            return False
        return report.state is UpstreamState.READY

    def accepts(self, incarnation: SidecarIncarnation, now: float) -> bool:
        """Return whether the upstream may get new work addressed to this sidecar incarnation."""
        return (
            self.is_usable(now)
            and self.report is not None
            and (self.report.incarnation == incarnation)
        )

    def candidate(self, now: float) -> Candidate:
        """Return the upstream as a candidate for a selector; it must be usable."""
        report = self.report
        assert report is not None
        outstanding = max(len(self._uncovered), self._unreported(report))
        outstanding_s = self._uncovered_s
        if self._uncovered and outstanding > len(self._uncovered):
            outstanding_s *= outstanding / len(self._uncovered)
        age_s = now - self.reported_at
        return Candidate(
            self.declared.name, self.declared.zone, report, age_s, outstanding, outstanding_s
        )

    def dump(self, now: float) -> UpstreamDump:
        """Return the diagnostic state at monotonic time ``now``, in seconds."""
        report = self.report
        return UpstreamDump(
            incarnation=report.incarnation if report else "",
            state=report.state if report else "",
            report_age_s=round(now - self.reported_at, 3) if report else None,
            reachable=self.reachable,
            leaving=self.listed_leaving or self.refused_leaving,
            uncovered=len(self._uncovered),
            in_flight=self.in_flight,
        )

    def _unreported(self, report: LoadReport) -> int:
        """Return by how many this entry's own offers and calls exceed the total in the report.

        At least that many are not in the report, whatever its age.
        """
        reported = (
            report.places - report.places_free + report.waiting_urgent + report.waiting_patient
        )
        return self.in_flight - reported

    def _reset(self) -> None:
        self._uncovered.clear()
        self._uncovered_s = 0.0
        self.blocks.clear()


class _Incarnations(Mapping[UpstreamName, SidecarIncarnation]):
    def __init__(self, views: Mapping[UpstreamName, UpstreamView]) -> None:
        self._views = views

    def __getitem__(self, name: UpstreamName) -> SidecarIncarnation:
        report = self._views[name].report
        if report is None:
            raise KeyError(name)
        return report.incarnation

    def __iter__(self) -> Iterator[UpstreamName]:
        return (name for name, view in self._views.items() if view.report is not None)

    def __len__(self) -> int:
        return sum(1 for _ in self)


class Upstreams:
    """The views of all declared upstreams of all targets."""

    def __init__(self) -> None:
        self._views: dict[UpstreamName, UpstreamView] = {}
        self._leaving: frozenset[UpstreamName] = frozenset()

    @property
    def incarnations(self) -> Mapping[UpstreamName, SidecarIncarnation]:
        """The last reported sidecar incarnation of each upstream, as a live read-only mapping."""
        return _Incarnations(self._views)

    def get(self, name: UpstreamName) -> UpstreamView | None:
        """Return an upstream's view, or ``None`` if it is not declared."""
        return self._views.get(name)

    def set_declared(self, upstreams: Iterable[Upstream]) -> None:
        """Replace the declared upstreams; those already known keep their state."""
        views = {}
        for declared in upstreams:
            view = self._views.get(declared.name) or UpstreamView(declared)
            view.declared = declared
            view.listed_leaving = declared.name in self._leaving
            views[declared.name] = view
        self._views.clear()
        self._views.update(views)

    def add_in_flight(self, name: UpstreamName) -> None:
        """Count an offer or a call of this entry as in flight at the upstream."""
        if name in self._views:
            self._views[name].in_flight += 1

    def remove_in_flight(self, name: UpstreamName) -> None:
        """Stop counting an offer or a call as in flight at the upstream."""
        if name in self._views:
            self._views[name].in_flight = max(0, self._views[name].in_flight - 1)

    def set_leaving(self, names: Iterable[UpstreamName]) -> None:
        """Replace the platform's list of leaving upstreams."""
        self._leaving = frozenset(names)
        for name, view in self._views.items():
            view.listed_leaving = name in self._leaving

    def candidates(
        self,
        names: Iterable[UpstreamName],
        now: float,
        excluded: Container[UpstreamName] = (),
        patient: bool = False,
    ) -> list[Candidate]:
        """Return the usable upstreams among ``names``.

        Args:
            names: The pool.
            now: Monotonic time in seconds.
            excluded: Upstreams to leave out.
            patient: Leave out upstreams that recently refused patient work or are suspect.

        Returns:
            The upstreams that are not suspect. For urgent work, the suspect ones if there are no
            others.
        """
        views = [self._views[name] for name in names if name in self._views]
        usable = [
            view
            for view in views
            if view.is_usable(now)
            and view.declared.name not in excluded
            and not (patient and view.patient_allowed_at > now)
        ]
        trusted = [view for view in usable if view.suspect_until <= now]
        chosen = trusted if trusted or patient else usable
        return [view.candidate(now) for view in chosen]

    def dump(self, now: float) -> dict[str, UpstreamDump]:
        """Return the diagnostic state of every upstream."""
        return {name: view.dump(now) for name, view in self._views.items()}
