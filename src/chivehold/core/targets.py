"""A declared target with its queues and selectors at the entry."""

from collections.abc import Iterator
from random import Random
from typing import TypedDict

from chivehold.core.admission import Admission, PatientQueue
from chivehold.core.declared import (
    CallRule,
    Declarations,
    Deployment,
    Service,
    Share,
    TrafficClass,
    Upstream,
    Weigh,
)
from chivehold.core.identity import Organisation, TargetName, UpstreamName, Urgency
from chivehold.core.policy import Policy
from chivehold.core.protocols import UpstreamSelector
from chivehold.core.routing import decode_selector
from chivehold.core.shedding import GrantRate, RetrySchedule

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


class TargetDump(TypedDict):
    """Diagnostic state of one target's queues."""

    waiting_urgent: int
    waiting_patient: int
    queued_patient: int
    oldest_queued_s: float | None


class Target:
    """One deployment or service with its queues, which are kept when its declaration changes."""

    def __init__(
        self, declared: Deployment | Service, policy: Policy, zone: str, random: Random
    ) -> None:
        self.name: TargetName = declared.name
        self._policy = policy
        self._zone = zone
        self._random = random
        self._weights: dict[Organisation, float] = {}
        queue = PatientQueue(self.weight_of, policy.fair_shares, policy.patient_age_limit_s)
        self.admission = Admission(
            queue, policy.urgent_queue_most, policy.patient_queue_most, policy.patient_offers_most
        )
        self.grant_rates = {urgency: GrantRate() for urgency in Urgency}
        self.retry_schedules = {urgency: RetrySchedule(random) for urgency in Urgency}
        self.apply_declaration(declared)

    def apply_declaration(self, declared: Deployment | Service) -> None:
        """Replace the declaration by a newer one."""
        self._weights = _weights(declared.shares)
        self._classes = {traffic_class.name: traffic_class for traffic_class in declared.classes}
        self._default_class = declared.default_class or next(iter(self._classes), "")
        self._selectors = {
            traffic_class.name: decode_selector(
                self._policy, self._zone, self._random, traffic_class
            )
            for traffic_class in declared.classes
        }
        self.rules: tuple[CallRule, ...] = ()
        self.prefill: tuple[UpstreamName, ...] = ()
        self.kv_bytes_per_token = 0
        self.weigh = Weigh.GOODPUT
        self.is_service = isinstance(declared, Service)
        self.admission.places_without_grants = 0
        if isinstance(declared, Service):
            self.admission.places_without_grants = sum(
                upstream.places for upstream in declared.upstreams
            )
            self.pool = _upstream_names(declared.upstreams)
            self.rules = declared.rules
            return
        self.pool = _upstream_names(declared.decode)
        self.prefill = _upstream_names(declared.prefill)
        self.kv_bytes_per_token = declared.kv_bytes_per_token
        self.weigh = declared.weigh

    def traffic_class(self, name: str) -> TrafficClass | None:
        """Return a traffic class by name, or the default class for an empty name."""
        return self._classes.get(name or self._default_class)

    def selector(self, traffic_class: TrafficClass) -> UpstreamSelector:
        """Return the selector for requests of the traffic class."""
        selector = self._selectors.get(traffic_class.name)
        if selector is None:
            selector = decode_selector(self._policy, self._zone, self._random, traffic_class)
        return selector

    def weight_of(self, organisation: Organisation) -> float:
        """Return an organisation's declared weight, 1.0 if none is declared."""
        return self._weights.get(organisation, 1.0)

    def is_idempotent(self, method: str, path: str, stated: bool | None = None) -> bool:
        """Return whether a call of a plain service is idempotent.

        Args:
            method: The HTTP method.
            path: The path within the service.
            stated: What the caller states, or ``None``. ``False`` applies to every call, ``True``
                only to calls that no rule matches.
        """
        if stated is False:
            return False
        for rule in self.rules:
            if rule.method in ("*", method) and path.startswith(rule.path_prefix):
                return rule.idempotent
        return stated or method in IDEMPOTENT_METHODS

    def dump(self, now: float) -> TargetDump:
        """Return the diagnostic state at monotonic time ``now``, in seconds."""
        oldest = self.admission.queue.oldest_arrival()
        return TargetDump(
            waiting_urgent=self.admission.waiting(Urgency.URGENT),
            waiting_patient=self.admission.waiting(Urgency.PATIENT),
            queued_patient=len(self.admission.queue),
            oldest_queued_s=None if oldest is None else round(now - oldest, 3),
        )


def declared_targets(declarations: Declarations) -> Iterator[Deployment | Service]:
    """Yield every deployment and service."""
    yield from declarations.deployments
    yield from declarations.services


def declared_upstreams(declarations: Declarations) -> Iterator[Upstream]:
    """Yield every upstream of every target."""
    for deployment in declarations.deployments:
        yield from deployment.prefill
        yield from deployment.decode
    for service in declarations.services:
        yield from service.upstreams


def _upstream_names(upstreams: tuple[Upstream, ...]) -> tuple[UpstreamName, ...]:
    return tuple(upstream.name for upstream in upstreams)


def _weights(shares: tuple[Share, ...]) -> dict[Organisation, float]:
    return {share.organisation: share.weight for share in shares if share.weight > 0}
