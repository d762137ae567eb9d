"""Decodes the operator's configuration into routes."""

from collections.abc import Iterator
from typing import NotRequired, TypedDict

import msgspec
from returns.result import Failure, Result, Success

from chivehold.core.direct.organisation_list import DeclaredOrganisation, check_organisations
from chivehold.core.direct.organisations import QuotaUnit
from chivehold.core.direct.routes import (
    CallKind,
    EngineConfig,
    Route,
    RouteTable,
    ServiceConfig,
    Split,
)
from chivehold.core.untrusted_json import decode_json

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


class _LimitsJson(TypedDict):
    maxBodyBytes: NotRequired[int | None]


class _ConfigurationJson(TypedDict):
    version: int
    routes: list[_RouteJson]
    services: list[_ServiceJson]
    limits: NotRequired[_LimitsJson | None]
    tenants: NotRequired[list[object] | None]
    """Fields that cannot be used do not make the whole configuration unusable."""


def decode_configuration(name: str, spec: bytes) -> Result[RouteTable, str]:
    """Decode the operator's configuration, or return a description of the error."""
    try:
        decoded = decode_json(spec, _ConfigurationJson)
    except msgspec.DecodeError as error:
        return Failure(str(error))
    services = {service["name"]: _decode_service(service) for service in decoded["services"]}
    routes = tuple(_decode_routes(decoded["routes"]))
    limits = decoded.get("limits") or {}
    max_body_bytes = limits.get("maxBodyBytes") or DEFAULT_BODY_BYTES
    organisations = check_organisations(map(_read_organisation, decoded.get("tenants") or ()))
    return Success(RouteTable(decoded["version"], routes, services, max_body_bytes, *organisations))


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


def _read_organisation(fields: object) -> DeclaredOrganisation:
    if not isinstance(fields, dict):
        return DeclaredOrganisation()
    return DeclaredOrganisation(
        name=fields.get("name"),
        keys=fields.get("apiKeys"),
        priority=fields.get("priority"),
        rate=fields.get("ratePerS"),
        burst=fields.get("burst"),
        default_tokens=fields.get("plainTokens"),
        unit=QuotaUnit.TOKENS if fields.get("unit") == TOKEN_UNIT else QuotaUnit.REQUESTS,
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
