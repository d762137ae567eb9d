"""Decodes the operator's configuration into routes."""

from collections.abc import Iterator
from typing import NotRequired, TypedDict

import msgspec
from returns.result import Failure, Result, Success

from chivehold.core.direct.organisations import Organisation, Quota, QuotaUnit, digest_key
from chivehold.core.direct.routes import (
    CallKind,
    EngineConfig,
    Route,
    RouteTable,
    ServiceConfig,
    Split,
)

CONFIGURATION_KIND = "config"
DEFAULT_BODY_BYTES = 4 << 20
DEFAULT_TIMEOUT_MS = 30_000.0

TOKEN_UNIT = "generate"

_CALL_KINDS = {
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.NON_IDEMPOTENT,
    "stream": CallKind.STREAM,
}


class _SplitJson(TypedDict):
    service: str
    weight: float


class _RouteJson(TypedDict):
    name: str
    host: str
    pathPrefix: str
    kind: str
    service: NotRequired[str | None]
    trafficSplit: NotRequired[list[_SplitJson] | None]
    timeoutMs: NotRequired[float | None]
    targetLatencyMs: NotRequired[float | None]
    priority: NotRequired[int | None]
    maxAttempts: NotRequired[int | None]
    sessionAffinity: NotRequired[bool | None]
    """Set on routes whose requests contain a prompt."""
    anonymous: NotRequired[bool | None]
    resumable: NotRequired[bool | None]
    gapAimMs: NotRequired[float | None]
    """The longest acceptable pause between the events of a stream, in milliseconds."""


class _EngineJson(TypedDict):
    kvCapacity: NotRequired[int | None]
    stride: NotRequired[int | None]
    """Number of tokens in one event."""
    holdMs: NotRequired[float | None]
    handleTtlS: NotRequired[float | None]
    reconfigS: NotRequired[float | None]


class _ServiceJson(TypedDict):
    name: str
    healthPath: NotRequired[str | None]
    maxConnections: NotRequired[int | None]
    engine: NotRequired[_EngineJson | None]


class _OrganisationJson(TypedDict):
    name: str
    apiKeys: NotRequired[list[str] | None]
    priority: NotRequired[int | None]
    unit: NotRequired[str | None]
    plainTokens: NotRequired[float | None]
    """Cost of a request without a number of tokens."""
    ratePerS: NotRequired[float | None]
    burst: NotRequired[float | None]


class _LimitsJson(TypedDict):
    maxBodyBytes: NotRequired[int | None]


class _ConfigurationJson(TypedDict):
    version: int
    routes: list[_RouteJson]
    services: list[_ServiceJson]
    limits: NotRequired[_LimitsJson | None]
    tenants: NotRequired[list[_OrganisationJson] | None]


def decode_configuration(name: str, spec: bytes) -> Result[RouteTable, str]:
    """Decode the operator's configuration, or return a description of the error."""
    try:
        decoded = msgspec.json.decode(spec, type=_ConfigurationJson)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(str(error))
    services = {service["name"]: _decode_service(service) for service in decoded["services"]}
    routes = tuple(_decode_routes(decoded["routes"]))
    limits = decoded.get("limits") or {}
    max_body_bytes = limits.get("maxBodyBytes") or DEFAULT_BODY_BYTES
    organisations = tuple(map(_decode_organisation, decoded.get("tenants") or ()))
    return Success(RouteTable(decoded["version"], routes, services, max_body_bytes, organisations))


def _decode_routes(routes: list[_RouteJson]) -> Iterator[Route]:
    for route in routes:
        splits = tuple(_decode_splits(route))
        if not splits:
            continue
        timeout_s = (route.get("timeoutMs") or DEFAULT_TIMEOUT_MS) / 1_000
        yield Route(
            name=route["name"],
            host=route["host"],
            path_prefix=route["pathPrefix"],
            # Calls of an unknown kind must not be retried.
            kind=_CALL_KINDS.get(route["kind"], CallKind.NON_IDEMPOTENT),
            splits=splits,
            timeout_s=timeout_s,
            latency_target_s=(route.get("targetLatencyMs") or timeout_s * 1_000) / 1_000,
            priority=route.get("priority") or 0,
            max_upstreams=route.get("maxAttempts") or 1,
            resumable=bool(route.get("resumable")),
            event_gap_target_s=(route.get("gapAimMs") or 0.0) / 1_000,
            separate_prefill=bool(route.get("sessionAffinity")),
            anonymous=bool(route.get("anonymous")),
        )


def _decode_organisation(organisation: _OrganisationJson) -> Organisation:
    digests = (digest_key(key.encode()) for key in organisation.get("apiKeys") or ())
    rate = organisation.get("ratePerS") or 0.0
    quota = Quota(
        rate=rate,
        burst=organisation.get("burst") or 0.0,
        unit=QuotaUnit.TOKENS if organisation.get("unit") == TOKEN_UNIT else QuotaUnit.REQUESTS,
        default_tokens=int(organisation.get("plainTokens") or 0),
    )
    return Organisation(
        name=organisation["name"],
        key_digests=frozenset(digest for digest in digests if digest is not None),
        priority=organisation.get("priority"),
        quota=quota if rate > 0 else None,
    )


def _decode_splits(route: _RouteJson) -> Iterator[Split]:
    for split in route.get("trafficSplit") or ():
        yield Split(split["service"], split["weight"])
    if not route.get("trafficSplit") and (service := route.get("service")):
        yield Split(service, 1.0)


def _decode_service(service: _ServiceJson) -> ServiceConfig:
    engine = service.get("engine")
    return ServiceConfig(
        name=service["name"],
        max_connections=service.get("maxConnections") or 0,
        health_path=service.get("healthPath") or "/health",
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(engine: _EngineJson) -> EngineConfig:
    return EngineConfig(
        kv_capacity=engine.get("kvCapacity") or 0,
        tokens_per_event=engine.get("stride") or 1,
        max_hold_s=(engine.get("holdMs") or 0.0) / 1_000,
        handle_ttl_s=engine.get("handleTtlS") or 0.0,
        stage_change_s=engine.get("reconfigS") or 0.0,
    )
