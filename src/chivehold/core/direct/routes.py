"""Routing configuration: which service a request goes to, and under which limits."""

import hashlib
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

from chivehold.core.direct.organisation_list import OrganisationFault
from chivehold.core.direct.organisations import (
    ApiKey,
    KeyFault,
    Organisation,
    OrganisationIndex,
)


class CallKind(StrEnum):
    """How a request may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Split(NamedTuple):
    """The share of a route's requests that goes to one service."""

    service: str
    weight: float


class Route(NamedTuple):
    """Target and limits of the requests to a host and path prefix."""

    name: str
    host: str
    path_prefix: str
    """Starts and ends with a slash."""
    kind: CallKind
    splits: tuple[Split, ...]
    timeout_s: float
    """Longest time that a caller is kept waiting."""
    latency_target_s: float
    """Target for the time to the response or, for streams, to the first event."""
    priority: int = 0
    """Priority among routes; 0 is the most urgent."""
    max_upstreams: int = 1
    """Maximum number of upstreams that may run the same request."""
    resumable: bool = False
    """A stream can be continued at another upstream after its last event."""
    event_gap_target_s: float = 0.0
    """Target for the longest gap between two events of a stream."""
    separate_prefill: bool = False
    """Requests carry a prompt that can be prefilled at a separate prefill engine."""
    anonymous: bool = False
    """Callers need no API key, although the configuration has organisations."""

    @property
    def retryable(self) -> bool:
        """Whether a request may safely run more than once."""
        return self.kind is CallKind.IDEMPOTENT or (self.kind is CallKind.STREAM and self.resumable)


class EngineConfig(NamedTuple):
    """Configuration shared by all engines of a model service."""

    kv_capacity: int
    """Size of an engine's KV cache, in tokens."""
    tokens_per_event: int
    max_hold_s: float
    """Longest lease on reserved memory."""
    handle_ttl_s: float
    """Lifetime of a prefilled KV cache that is not fetched."""
    stage_change_s: float
    """Time that an engine needs to change its stage."""


class ServiceConfig(NamedTuple):
    """Configuration of one service."""

    name: str
    max_connections: int
    """Maximum number of connections that one upstream accepts from all clients together."""
    health_path: str = "/health"
    engine: EngineConfig | None = None
    """Set only if the upstreams are model engines."""


class RouteTable(NamedTuple):
    """One version of the complete routing configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceConfig]
    max_body_bytes: int
    organisations: tuple[Organisation, ...] = ()
    organisation_faults: tuple[OrganisationFault, ...] = ()
    """What is unusable in the organisations of the configuration."""

    @property
    def has_organisations(self) -> bool:
        """Whether callers identify themselves by API keys, even if no organisation is usable."""
        return bool(self.organisations or self.organisation_faults)

    def engine_config(self, service: str) -> EngineConfig | None:
        """Return the configuration of a service's engines, or ``None`` for a plain service."""
        known = self.services.get(service)
        return known.engine if known else None


class RouteIndex:
    """Finds the route of a request.

    Args:
        table: The configuration in force.
    """

    def __init__(self, table: RouteTable) -> None:
        self._table = table
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(table.routes, key=lambda route: -len(route.path_prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)
        self._organisations = OrganisationIndex(table.organisations)

    @property
    def table(self) -> RouteTable:
        """The configuration in force."""
        return self._table

    def identify(self, key: ApiKey) -> Organisation | KeyFault:
        """Return the organisation that holds an API key, or why none is identified."""
        return self._organisations.identify(key)

    def needs_key(self, route: Route) -> bool:
        """Return whether callers of a route have to identify themselves by an API key."""
        return self._table.has_organisations and not route.anonymous

    def revokes(self, route: Route, key: ApiKey, organisation: str | None) -> bool:
        """Return whether a request that was accepted before is no longer its organisation's.

        Args:
            route: The request's route.
            key: Its API key.
            organisation: The name of the organisation that held the key then.
        """
        if organisation is None or not self.needs_key(route):
            return False
        identified = self.identify(key)
        return isinstance(identified, KeyFault) or identified.name != organisation

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or ``None``.

        Hosts are compared without regard to case. The port is ignored unless a route states it.
        """
        routes = self._by_host.get(host.lower()) or self._by_host.get(_without_port(host), [])
        return next((route for route in routes if path.startswith(route.path_prefix)), None)


def choose_service(splits: Sequence[Split], request_id: str) -> str:
    """Choose a service by weight; the same request id always gets the same service.

    Args:
        splits: At least one; weights of 0 or more.
        request_id: The request's id.
    """
    total = sum(split.weight for split in splits)
    if total <= 0:
        return splits[0].service
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    point = int.from_bytes(digest, "big") / 2**64 * total
    for split in splits:
        point -= split.weight
        if point < 0:
            return split.service
    return splits[-1].service


def _without_port(host: str) -> str:
    name, _, port = host.lower().rpartition(":")
    return name if name and port.isdigit() else host.lower()
