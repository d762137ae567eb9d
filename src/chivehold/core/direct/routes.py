"""Routes of a configuration: which service a request goes to, and under which limits."""

import hashlib
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple


class CallKind(StrEnum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Split(NamedTuple):
    """A service's part of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of a host and path prefix go."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash."""
    kind: CallKind
    splits: tuple[Split, ...]
    timeout_s: float
    """Longest time the caller is kept waiting."""
    latency_target_s: float
    """A response is on time up to here; for streams, its first event."""
    priority: int = 0
    """Rank among routes; 0 is the most urgent."""
    max_upstreams: int = 1
    """Upstreams that may run one request."""
    resumable: bool = False
    event_gap_target_s: float = 0.0
    """Longest pause between events of a stream that is on time."""
    separate_prefill: bool = False
    """The requests carry a prompt that can be prefilled at another engine."""

    @property
    def retryable(self) -> bool:
        """Whether a second run of a request does no harm."""
        return self.kind is CallKind.IDEMPOTENT or (self.kind is CallKind.STREAM and self.resumable)


class EngineConfig(NamedTuple):
    """What all engines of a model service have in common."""

    kv_capacity: int
    """Tokens of KV cache an engine holds."""
    tokens_per_event: int
    max_hold_s: float
    """Longest lease of reserved memory."""
    handle_ttl_s: float
    """Lifetime of a prefilled KV cache nobody fetches."""
    stage_change_s: float
    """Time an engine needs to change its stage."""


class ServiceConfig(NamedTuple):
    """A service as configured."""

    name: str
    max_connections: int
    """Connections one upstream accepts from all callers together."""
    health_path: str = "/health"
    engine: EngineConfig | None = None
    """Set where the upstreams are model engines."""


class RouteTable(NamedTuple):
    """A whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceConfig]
    max_body_bytes: int

    def engine_config(self, service: str) -> EngineConfig | None:
        """Return the traits of a service's engines, or ``None`` for a plain service."""
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

    @property
    def table(self) -> RouteTable:
        """The configuration in force."""
        return self._table

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or ``None``."""
        routes = self._by_host.get(host.lower()) or self._by_host.get(_without_port(host), [])
        return next((route for route in routes if path.startswith(route.path_prefix)), None)


def choose_service(splits: Sequence[Split], request_id: str) -> str:
    """Return the service of a request; the same request always gets the same one.

    Args:
        splits: At least one; weights of 0 or more.
        request: The request's id.
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
