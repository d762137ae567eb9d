"""Prometheus metrics of an entry."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from chivehold.core.identity import Outcome
from chivehold.core.targets import TargetDump
from chivehold.loop_metrics import LoopMetrics

FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0, float("inf"))
BETWEEN_TOKENS_BUCKETS_S = (0.005, 0.01, 0.015, 0.02, 0.025, 0.05, 0.1, 0.5, float("inf"))


class RenderedMetrics(NamedTuple):
    """Metrics in the exposition format that the client accepts."""

    body: bytes
    content_type: str


class EntryMetrics:
    """The metrics that an entry exposes."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._requests = Counter(
            "chivehold_requests_total",
            "Requests that ended, by class and outcome.",
            registry=self._registry,
        )
        self._departed_callers = Counter(
            "chivehold_departed_callers_total",
            "Callers that left before their requests ended.",
            registry=self._registry,
        )
        self._first_token = Histogram(
            "chivehold_first_token_seconds",
            "Time from a request's arrival to its first output token.",
            registry=self._registry,
            buckets=FIRST_TOKEN_BUCKETS_S,
        )
        self._between_tokens = Histogram(
            "chivehold_between_tokens_seconds",
            "Mean time between the output tokens of a request.",
            registry=self._registry,
            buckets=BETWEEN_TOKENS_BUCKETS_S,
        )
        self._waiting = Gauge(
            "chivehold_waiting_requests",
            "Requests that wait for a place, by target and urgency.",
            registry=self._registry,
        )
        self._in_progress = Gauge(
            "chivehold_in_progress_requests",
            "Requests that have not ended.",
            registry=self._registry,
        )
        self._revision = Gauge(
            "chivehold_declarations_revision",
            "Revision of the declarations in force.",
            registry=self._registry,
        )
        self._loop = LoopMetrics(self._registry)

    @property
    def loop(self) -> LoopMetrics:
        """The metrics of the event loop."""
        return self._loop

    def count_request(self, traffic_class: str, outcome: Outcome) -> None:
        """Count an ended request; a rejected one without its class, which may be unknown."""
        known_class = "" if outcome is Outcome.REJECTED else traffic_class
        self._requests.inc({"class": known_class, "outcome": str(outcome)})

    def count_departed_caller(self) -> None:
        """Count a caller that disconnected before its request ended."""
        self._departed_callers.inc({})

    def observe_first_token(self, traffic_class: str, elapsed_s: float) -> None:
        """Record the time to the first output token in seconds."""
        self._first_token.observe({"class": traffic_class}, float(elapsed_s))

    def observe_between_tokens(self, traffic_class: str, interval_s: float) -> None:
        """Record a request's mean time between output tokens in seconds."""
        self._between_tokens.observe({"class": traffic_class}, float(interval_s))

    def render(
        self,
        accept_headers: Sequence[str],
        targets: Mapping[str, TargetDump],
        in_progress: int,
        revision: int,
    ) -> RenderedMetrics:
        """Update the gauges and return all metrics.

        Args:
            accept_headers: Values of the client's ``Accept`` headers.
            targets: Queue lengths of each target.
            in_progress: Number of requests that have not ended.
            revision: Revision of the declarations in force.
        """
        for name, target in targets.items():
            self._waiting.set({"target": name, "urgency": "urgent"}, target["waiting_urgent"])
            self._waiting.set({"target": name, "urgency": "patient"}, target["waiting_patient"])
        self._in_progress.set({}, in_progress)
        self._revision.set({}, revision)
        body, headers = render(self._registry, list(accept_headers))
        return RenderedMetrics(body, headers["Content-Type"])
