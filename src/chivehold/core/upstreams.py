"""What an entry knows of its upstreams: their reports and what it has sent since."""

from collections import OrderedDict, deque
from collections.abc import Container, Iterable, Iterator, Mapping
from typing import TypedDict

from chivehold.core.declared import Upstream
from chivehold.core.identity import SidecarIncarnation, UpstreamName
from chivehold.core.protocols import Candidate
from chivehold.core.wire import LoadReport, UpstreamState

MAX_REPORT_AGE_S = 3.0
REPORT_LATENCY_S = 0.05
"""What was sent later than this before a report's arrival is not covered by it."""
MAX_SENT_BLOCKS = 2_000
MIN_SUSPECT_S = 1.0
MAX_SUSPECT_S = 8.0
NO_BLOCKS: frozenset[int] = frozenset()


class UpstreamDump(TypedDict):
    """One upstream as this entry sees it."""

    incarnation: str
    state: str
    report_age_s: float | None
    reachable: bool
    leaving: bool
    uncovered: int
    in_flight: int


class PrefixCacheEstimate:
    """Blocks believed cached: those reported and those lately sent there."""

    def __init__(self) -> None:
        self._reported = NO_BLOCKS
        self._sent: OrderedDict[int, None] = OrderedDict()

    def __contains__(self, digest: object) -> bool:
        return digest in self._reported or digest in self._sent

    def replace_reported(self, blocks: Iterable[int]) -> None:
        """Replace what the engine reported."""
        self._reported = frozenset(blocks)

    def add_sent(self, blocks: Iterable[int]) -> None:
        """Remember the blocks of a prompt sent there; the oldest are forgotten."""
        for digest in blocks:
            self._sent[digest] = None
            self._sent.move_to_end(digest)
        while len(self._sent) > MAX_SENT_BLOCKS:
            self._sent.popitem(last=False)

    def clear(self) -> None:
        """Forget all; the engine was replaced."""
        self._reported = NO_BLOCKS
        self._sent.clear()


class UpstreamView:
    """One upstream as this entry sees it."""

    def __init__(self, declared: Upstream) -> None:
        self.declared = declared
        self.report: LoadReport | None = None
        self.reported_at = 0.0
        self.reachable = True
        self.listed_leaving = False
        self.refused_leaving = False
        self.suspect_until = 0.0
        """Before this time others are preferred: work broke off here, and no report tells of it."""
        self._failures = 0
        self.patient_allowed_at = 0.0
        """No patient offer before this time, by its own refusal."""
        self.in_flight = 0
        """Offers and calls of this entry that hold or wait for a place."""
        self.blocks = PrefixCacheEstimate()
        self._uncovered: deque[tuple[float, float]] = deque()
        self._uncovered_s = 0.0

    def update_report(self, report: LoadReport, now: float) -> None:
        """Take a newer report; what it covers is no longer counted on top of it."""
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
        """Note that the engine broke work off; each further time counts for twice as long."""
        if now < self.suspect_until:
            return
        self.suspect_until = now + min(MAX_SUSPECT_S, MIN_SUSPECT_S * 2**self._failures)
        self._failures += 1

    def record_output(self) -> None:
        """Note that the engine produced something."""
        self._failures = 0
        self.suspect_until = 0.0

    def add_sent_work(self, work_s: float, now: float) -> None:
        """Count work sent there, in seconds of the upstream's time."""
        self._uncovered.append((now, work_s))
        self._uncovered_s += work_s

    def is_usable(self, now: float) -> bool:
        """Tell whether new work may go there."""
        report = self.report
        if report is None or now - self.reported_at > MAX_REPORT_AGE_S:
            return False
        if not self.reachable or self.listed_leaving or self.refused_leaving:
            return False
        return report.state is UpstreamState.READY

    def accepts(self, incarnation: SidecarIncarnation, now: float) -> bool:
        """Tell whether new work for this run of the sidecar may go there."""
        return (
            self.is_usable(now)
            and self.report is not None
            and (self.report.incarnation == incarnation)
        )

    def candidate(self, now: float) -> Candidate:
        """Return the view by which a rule chooses; only for a usable upstream."""
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
        """Return the state for an operator."""
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
        """Count offers of this entry alone that the report cannot contain, however late it is."""
        seen = report.places - report.places_free + report.waiting_urgent + report.waiting_patient
        return self.in_flight - seen

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
    """Every declared upstream of every target."""

    def __init__(self) -> None:
        self._views: dict[UpstreamName, UpstreamView] = {}
        self._leaving: frozenset[UpstreamName] = frozenset()

    @property
    def incarnations(self) -> Mapping[UpstreamName, SidecarIncarnation]:
        """The newest known sidecar run of each upstream; read only, always current."""
        return _Incarnations(self._views)

    def get(self, name: UpstreamName) -> UpstreamView | None:
        """Return an upstream's view, or ``None`` for one that is not declared."""
        return self._views.get(name)

    def set_declared(self, upstreams: Iterable[Upstream]) -> None:
        """Keep exactly these upstreams; a known one keeps what is known of it."""
        views = {}
        for declared in upstreams:
            view = self._views.get(declared.name) or UpstreamView(declared)
            view.declared = declared
            view.listed_leaving = declared.name in self._leaving
            views[declared.name] = view
        self._views.clear()
        self._views.update(views)

    def add_in_flight(self, name: UpstreamName) -> None:
        """Count an offer or a call of this entry as out at the upstream."""
        if name in self._views:
            self._views[name].in_flight += 1

    def remove_in_flight(self, name: UpstreamName) -> None:
        """Count an offer or a call as no longer out."""
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
            excluded: Upstreams not to ask again.
            patient: Leave out those that lately refused patient work or are suspect.

        Returns:
            Those that are not suspect; for urgent work suspect ones where there are no others.
        """
        views = [self._views[name] for name in names if name in self._views]
        usable = [
            view
            for view in views
            if view.is_usable(now)
            and view.declared.name not in excluded
            and not (patient and view.patient_allowed_at > now)
        ]
        sound = [view for view in usable if view.suspect_until <= now]
        chosen = sound if sound or patient else usable
        return [view.candidate(now) for view in chosen]

    def dump(self, now: float) -> dict[str, UpstreamDump]:
        """Return every upstream's state for an operator."""
        return {name: view.dump(now) for name, view in self._views.items()}
