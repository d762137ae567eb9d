"""Prometheus metrics of an entry without sidecars."""

from collections import Counter as Counts
from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from chivehold.core.direct.messages import UpstreamRecord
from chivehold.core.direct.organisations import KeyFault
from chivehold.core.direct.quarantine import OrderEvent
from chivehold.core.direct.upstream_capacity import UpstreamCapacity, unevenness
from chivehold.core.direct.waiting import Waiter
from chivehold.loop_metrics import LoopMetrics
from chivehold.metrics import RenderedMetrics

RESPONSE_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.9, 1.5, 3.0, 6.0, 15.0, float("inf"))
MAX_ORGANISATIONS = 64
"""Label values for organisations; the others count together."""
OTHER_ORGANISATIONS = "other"
WAIT_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 2.0, 4.0, float("inf"))
MAX_UPSTREAM_LABELS = 64
CAPACITY_FIGURES = ("relative_time", "slowness", "in_progress")


class QuotaFigures(NamedTuple):
    """The figures of one organisation, or of several together."""

    organisation: str
    level: float
    rate: float
    used: float
    rejected: float


QUOTA_FIELDS = {
    "level": "What each organisation may use at once, as this entry sees it.",
    "rate": "What each organisation may use per second, over all entries.",
    "used": "Net cost of each organisation's requests admitted here since the start.",
    "rejected": "Cost of each organisation's requests rejected here since the start.",
}
"""Fields of ``QuotaFigures`` with the descriptions of their gauges."""


class WaitOutcome(StrEnum):
    """How the wait of a stream for memory ended, where streams of a service differ in priority."""

    ON_TIME = "on_time"
    LATE = "late"
    REFUSED_AT_ONCE = "refused_at_once"
    """On the estimate of the wait."""
    REFUSED_AFTER_WAIT = "refused_after_wait"
    """It was queued, and refused in the end."""
    LEFT = "left"
    """Its caller left."""
    REFUSED_WRONGLY = "refused_wrongly"
    """It was refused at once, counted as that, too, and could have been served."""


class LostPrefill(StrEnum):
    """The step at which the work of a prefill was lost."""

    CALLER_LEFT = "caller_left"
    """The caller left between the prefill and the end of the stream."""
    LEASE = "lease"
    """The prefill was given up before the decode engine's memory would have been lost."""
    REFUSED = "refused"
    """The decode engine refused the request: it lost the memory, or could not fetch the cache."""


class DirectMetrics:
    """Counters, histograms and gauges of one entry."""

    def __init__(self) -> None:
        registry = self._registry = Registry()
        self._upstream_kinds: set[tuple[str, str]] = set()
        self._requests = Counter(
            "chivehold_requests_total", "Requests ended, by route kind and outcome.", None, registry
        )
        self._attempts = Counter(
            "chivehold_attempts_total",
            "Calls to upstreams, by service and verdict.",
            None,
            registry,
        )
        self._unidentified = Counter(
            "chivehold_unidentified_requests_total",
            "Requests refused with 401, by what is wrong with their API key.",
            None,
            registry,
        )
        self._resumptions = Counter(
            "chivehold_resumptions_total",
            "Streams resumed by their callers, by service and how what began them was known, or why"
            " they were refused.",
            None,
            registry,
        )
        self._orders = Counter(
            "chivehold_orders_total", "Orders to engines, by service.", None, registry
        )
        self._store_calls = Counter(
            "chivehold_store_calls_total",
            "Calls to the store, by call and kind of object.",
            None,
            registry,
        )
        self._upstream_signals = Counter(
            "chivehold_upstream_signals_total",
            "Changes that upstreams announced in responses, by service and signal.",
            None,
            registry,
        )
        self._ends_under_requests = Counter(
            "chivehold_ends_under_requests_total",
            "Requests that had just begun at an upstream when it ended, by service.",
            None,
            registry,
        )
        self._quarantine_orders = Counter(
            "chivehold_quarantine_orders_total",
            "Orders that begin, try or lift a quarantine.",
            None,
            registry,
        )
        self._quarantines = Gauge(
            "chivehold_quarantines", "Content that is refused now.", None, registry
        )
        self._response_times = Histogram(
            "chivehold_answer_seconds",
            "Time from a request's arrival to its answer, for streams to the first event.",
            registry=registry,
            buckets=RESPONSE_BUCKETS_S,
        )
        self._reservation_waits = Histogram(
            "chivehold_place_wait_seconds",
            "Time that streams waited for memory at a decode engine.",
            registry=registry,
            buckets=WAIT_BUCKETS_S,
        )
        self._wait_ends = Counter(
            "chivehold_priority_waits_total",
            "Waits of streams for memory that ended, by service, priority and outcome.",
            None,
            registry,
        )
        self._organisations: set[str] = set()
        self._organisation_waits = Counter(
            "chivehold_organisation_waits_total",
            "Waits of streams for memory that ended, by organisation and outcome.",
            None,
            registry,
        )
        self._waiting_labels: set[tuple[tuple[str, str], tuple[str, str]]] = set()
        self._waiting = Gauge(
            "chivehold_waiting_streams",
            "Streams that wait for memory, by service and priority.",
            None,
            registry,
        )
        self._priority_waits = Histogram(
            "chivehold_priority_wait_seconds",
            "Time that streams waited for memory, by service and priority.",
            registry=registry,
            buckets=WAIT_BUCKETS_S,
        )
        self._prefill_times = Histogram(
            "chivehold_prefill_seconds",
            "Time that prefill engines took for a prompt.",
            registry=registry,
            buckets=WAIT_BUCKETS_S,
        )
        self._lost_prefills = Counter(
            "chivehold_lost_prefills_total",
            "Prefills whose work was lost, by service and step.",
            None,
            registry,
        )
        self._longest_gaps = Histogram(
            "chivehold_longest_gap_seconds",
            "Longest time between two events of a stream, by service.",
            registry=registry,
            buckets=WAIT_BUCKETS_S,
        )
        self._late_gaps = Counter(
            "chivehold_late_gaps_total",
            "Times between two events that exceeded the route's target, by service.",
            None,
            registry,
        )
        self._in_progress = Gauge(
            "chivehold_in_progress_requests", "Requests that have not ended.", None, registry
        )
        self._configuration = Gauge(
            "chivehold_configuration_version", "Version of the routes in force.", None, registry
        )
        self._store_lost = Gauge(
            "chivehold_store_lost", "1 while the store does not answer.", None, registry
        )
        self._upstreams = Gauge(
            "chivehold_upstreams", "Upstreams by service and software version.", None, registry
        )
        self._quota_gauges = {
            field: Gauge(f"chivehold_quota_{field}", text, None, registry)
            for field, text in QUOTA_FIELDS.items()
        }
        self._quota_labels: set[str] = set()
        self._capacity = Gauge(
            "chivehold_upstream_capacity",
            "Relative time per work, slowness and work in progress, by upstream and figure.",
            None,
            registry,
        )
        self._unevenness = Gauge(
            "chivehold_unevenness",
            "Deviation of work in progress among a service's upstreams over its mean.",
            None,
            registry,
        )
        self._log_lines_dropped = Gauge(
            "chivehold_log_lines_dropped",
            "Log lines left out to bound their volume.",
            None,
            registry,
        )
        self._loop = LoopMetrics(registry)

    @property
    def loop(self) -> LoopMetrics:
        """The metrics of the event loop."""
        return self._loop

    def set_upstreams(self, upstreams: Iterable[UpstreamRecord]) -> None:
        """Record the number of upstreams of each service by the version of their software."""
        counts = Counts((upstream.service, upstream.software) for upstream in upstreams)
        for service, software in self._upstream_kinds - counts.keys():
            self._upstreams.set({"service": service, "software": software}, 0)
        for (service, software), count in counts.items():
            self._upstreams.set({"service": service, "software": software}, count)
        self._upstream_kinds = set(counts)

    def set_capacities(self, capacities: Iterable[tuple[UpstreamRecord, UpstreamCapacity]]) -> None:
        """Record what the upstreams can do, the first ``MAX_UPSTREAM_LABELS`` of them by name."""
        known = sorted(capacities, key=lambda pair: pair[0].name)
        self._capacity.values.clear()
        for upstream, capacity in known[:MAX_UPSTREAM_LABELS]:
            for figure in CAPACITY_FIGURES:
                labels = {"upstream": upstream.name, "figure": figure}
                self._capacity.set(labels, float(getattr(capacity, figure)))
        by_service: dict[str, list[float]] = {}
        for upstream, capacity in known:
            kind = f"{upstream.service} {upstream.stage}".strip()
            by_service.setdefault(kind, []).append(capacity.in_progress)
        for kind, in_progress in by_service.items():
            self._unevenness.set({"service": kind}, unevenness(in_progress))

    def count_order(self, service: str, accepted: bool) -> None:
        """Count an order to an engine."""
        self._orders.inc({"service": service, "accepted": str(accepted).lower()})

    def count_store_call(self, call: str, kind: str) -> None:
        """Count a call to the store."""
        self._store_calls.inc({"call": call, "kind": kind})

    def count_upstream_signal(self, service: str, signal: str) -> None:
        """Count a change that an upstream announced in a response."""
        self._upstream_signals.inc({"service": service, "signal": signal})

    def count_end_under_request(self, service: str) -> None:
        """Count a request that had just begun at an upstream when the upstream ended."""
        self._ends_under_requests.inc({"service": service})

    def count_quarantine_order(self, event: OrderEvent) -> None:
        """Count an order by what it does."""
        self._quarantine_orders.inc({"order": event})

    def set_quarantines(self, count: int) -> None:
        """Record the number of quarantines in force."""
        self._quarantines.set({}, count)

    def set_quotas(self, figures: Iterable[QuotaFigures]) -> None:
        """Replace the figures of the organisations."""
        values = {each.organisation: each._asdict() for each in figures}
        for field, gauge in self._quota_gauges.items():
            for label in self._quota_labels - values.keys():
                del gauge.values[{"organisation": label}]
            for label, fields in values.items():
                gauge.set({"organisation": label}, fields[field])
        self._quota_labels = set(values)

    def count_request(self, kind: str, outcome: str) -> None:
        """Count a request that has ended."""
        self._requests.inc({"kind": kind, "outcome": outcome})

    def count_unidentified(self, fault: KeyFault) -> None:
        """Count a request that was refused because of its API key."""
        self._unidentified.inc({"reason": str(fault)})

    def count_attempt(self, service: str, verdict: str) -> None:
        """Count a call to an upstream."""
        self._attempts.inc({"service": service, "verdict": str(verdict)})

    def count_resumption(self, service: str, outcome: str) -> None:
        """Count a stream that its caller resumes."""
        self._resumptions.inc({"service": service, "outcome": str(outcome)})

    def observe_response_time(self, kind: str, after_s: float) -> None:
        """Record the time to a response or to a stream's first event, in seconds."""
        self._response_times.observe({"kind": kind}, float(after_s))

    def observe_reservation_wait(self, service: str, wait_s: float) -> None:
        """Record how long a stream waited for decode memory, in seconds."""
        self._reservation_waits.observe({"service": service}, float(wait_s))

    def count_wait_end(self, service: str, waiter: Waiter, outcome: WaitOutcome) -> None:
        """Count a stream whose wait for memory ended."""
        labels = {"service": service, "priority": str(waiter.priority), "outcome": str(outcome)}
        self._wait_ends.inc(labels)
        if waiter.organisation is not None:
            name = self._organisation_label(waiter.organisation)
            self._organisation_waits.inc({"organisation": name, "outcome": str(outcome)})

    def set_waiting(self, queues: Iterable[tuple[str, int, int]]) -> None:
        """Record how many streams wait, by service and priority."""
        for labels in self._waiting_labels:
            self._waiting.set(dict(labels), 0)
        for service, priority, count in queues:
            labels = (("service", service), ("priority", str(priority)))
            self._waiting_labels.add(labels)
            self._waiting.set(dict(labels), count)

    def _organisation_label(self, name: str) -> str:
        if len(self._organisations) < MAX_ORGANISATIONS:
            self._organisations.add(name)
        return name if name in self._organisations else OTHER_ORGANISATIONS

    def observe_priority_wait(self, service: str, priority: int, wait_s: float) -> None:
        """Record how long a stream of a priority waited for memory, in seconds."""
        labels = {"service": service, "priority": str(priority)}
        self._priority_waits.observe(labels, float(wait_s))

    def observe_prefill(self, service: str, took_s: float) -> None:
        """Record how long a prefill took, in seconds."""
        self._prefill_times.observe({"service": service}, float(took_s))

    def count_lost_prefill(self, service: str, step: LostPrefill) -> None:
        """Count a prefill whose work was lost."""
        self._lost_prefills.inc({"service": service, "step": str(step)})

    def observe_event_gaps(self, service: str, longest_s: float, late: int) -> None:
        """Record the longest gap of a stream, in seconds, and how many exceeded the target."""
        self._longest_gaps.observe({"service": service}, longest_s)
        self._late_gaps.add({"service": service}, late)

    def render(
        self,
        accepted: Sequence[str],
        in_progress: int,
        configuration: int,
        store_lost: bool,
        log_lines_dropped: int,
    ) -> RenderedMetrics:
        """Render all metrics, with the gauges set to the given values."""
        self._in_progress.set({}, in_progress)
        self._configuration.set({}, configuration)
        self._store_lost.set({}, int(store_lost))
        self._log_lines_dropped.set({}, log_lines_dropped)
        body, headers = render(self._registry, list(accepted))
        return RenderedMetrics(body, headers["Content-Type"])
