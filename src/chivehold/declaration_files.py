"""Reads declarations from TOML files, which are meant to be kept in version control.

A file holds any number of ``[[deployments]]`` and ``[[services]]``. Files given together are
validated together: first the type of every key, then constraints between values.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypedDict

import msgspec
from returns.result import Failure, Result, Success

from chivehold.core.declarations import DeclaredSpec
from chivehold.core.declared import (
    CallRule,
    Deployment,
    Service,
    Share,
    TrafficClass,
    Upstream,
    Weigh,
)
from chivehold.core.identity import Role, TargetName, Urgency
from chivehold.core.validation import EXPECTED_NAME, NAME_PATTERN, Problem, validate
from chivehold.exceptions import DeclarationInvalid
from chivehold.toml_tables import read_table

MAX_DECLARATION_BYTES = 8_000_000

_Name = Annotated[str, msgspec.Meta(pattern=f"^{NAME_PATTERN.pattern}$", description=EXPECTED_NAME)]
_Text = Annotated[str, msgspec.Meta(max_length=256, description="text, at most 256 characters")]
_Number = Annotated[float, msgspec.Meta(ge=0, le=1e9, description="a number, 0 to 1000000000")]
_Count = Annotated[
    int, msgspec.Meta(ge=0, lt=1 << 32, description="a whole number, 0 to 4294967295")
]
_Texts = Annotated[list[_Text], msgspec.Meta(description="a list of texts")]


class _UpstreamRequired(TypedDict):
    name: _Name
    zone: _Name
    data_address: _Text
    control_address: _Text
    places: _Count


class UpstreamTable(_UpstreamRequired, total=False):
    """An engine or service VM; its role follows from the list that contains it."""

    ignores_fencing: bool


class _TrafficClassRequired(TypedDict):
    name: _Name
    urgency: Urgency
    deadline_s: _Number


class TrafficClassTable(_TrafficClassRequired, total=False):
    """A traffic class."""

    first_token_target_s: _Number
    between_tokens_target_s: _Number


class ShareTable(TypedDict):
    """The weight of an organisation's fair share."""

    organisation: _Text
    weight: _Number


class CallRuleTable(TypedDict):
    """Whether a service's calls with a given method and path prefix are idempotent."""

    method: _Text
    path_prefix: _Text
    idempotent: bool


class _DeploymentRequired(TypedDict):
    name: _Name
    model: _Text
    prefill: list[UpstreamTable]
    decode: list[UpstreamTable]
    classes: list[TrafficClassTable]


class DeploymentTable(_DeploymentRequired, total=False):
    """A model deployment."""

    weigh: Weigh
    patient_floor: _Number
    shares: list[ShareTable]
    default_class: _Text
    kv_bytes_per_token: _Count
    adapters: _Texts


class _ServiceRequired(TypedDict):
    name: _Name
    upstreams: list[UpstreamTable]
    classes: list[TrafficClassTable]


class ServiceTable(_ServiceRequired, total=False):
    """A plain service."""

    rules: list[CallRuleTable]
    shares: list[ShareTable]
    default_class: _Text


class DeclarationTable(TypedDict, total=False):
    """The top level of a declaration file."""

    deployments: list[DeploymentTable]
    services: list[ServiceTable]


class _LocatedSpec(NamedTuple):
    path: Path
    spec: DeclaredSpec


def read_declarations(paths: Sequence[Path]) -> tuple[DeclaredSpec, ...]:
    """Read and validate a set of declaration files.

    Args:
        paths: The TOML files.

    Returns:
        All declarations, in the order of the files.

    Raises:
        DeclarationInvalid: A file cannot be read or is invalid; lists every error.
    """
    tables = [(path, read_table(path, DeclarationTable, MAX_DECLARATION_BYTES)) for path in paths]
    problems = tuple(_schema_problems(table for _, table in tables))
    if problems:
        raise DeclarationInvalid(_join_paths(paths), problems)
    located_specs = [
        _LocatedSpec(path, spec) for path, table in tables for spec in _table_specs(table.unwrap())
    ]
    validated = validate([located_spec.spec for located_spec in located_specs])
    if isinstance(validated, Failure):
        raise DeclarationInvalid(
            _join_paths(paths), tuple(_locate_problems(validated.failure(), located_specs))
        )
    return tuple(located_spec.spec for located_spec in located_specs)


def _join_paths(paths: Sequence[Path]) -> str:
    return " ".join(map(str, paths))


def _schema_problems(
    tables: Iterable[Result[dict[str, Any], tuple[str, ...]]],
) -> Iterator[str]:
    for table in tables:
        if not isinstance(table, Success):
            yield from table.failure()


def _locate_problems(
    problems: Iterable[Problem], located_specs: Sequence[_LocatedSpec]
) -> Iterator[str]:
    paths: dict[str, list[Path]] = {}
    for located_spec in located_specs:
        paths.setdefault(located_spec.spec.name, []).append(located_spec.path)
    for problem in problems:
        for path in dict.fromkeys(paths[problem.declaration]):
            yield f"{path}: {problem}"


def _table_specs(table: Mapping[str, Any]) -> Iterator[DeclaredSpec]:
    yield from map(_build_deployment, table.get("deployments", ()))
    yield from map(_build_service, table.get("services", ()))


def _build_deployment(table: Mapping[str, Any]) -> Deployment:
    fields = {
        **table,
        **_traffic_fields(table),
        "name": TargetName(table["name"]),
        "prefill": _build_upstreams(table["prefill"], Role.PREFILL),
        "decode": _build_upstreams(table["decode"], Role.DECODE),
        "adapters": tuple(table.get("adapters", ())),
    }
    return Deployment(**fields)


def _build_service(table: Mapping[str, Any]) -> Service:
    fields = {
        **table,
        **_traffic_fields(table),
        "name": TargetName(table["name"]),
        "upstreams": _build_upstreams(table["upstreams"], Role.SERVICE),
        "rules": tuple(CallRule(**rule) for rule in table.get("rules", ())),
    }
    return Service(**fields)


def _traffic_fields(table: Mapping[str, Any]) -> dict[str, Any]:
    return {
        "classes": tuple(TrafficClass(**row) for row in table["classes"]),
        "shares": tuple(Share(**row) for row in table.get("shares", ())),
    }


def _build_upstreams(tables: Iterable[Mapping[str, Any]], role: Role) -> tuple[Upstream, ...]:
    return tuple(_build_upstream(table, role) for table in tables)


def _build_upstream(table: Mapping[str, Any], role: Role) -> Upstream:
    fields = {key: value for key, value in table.items() if key != "ignores_fencing"}
    honours_fencing = not table.get("ignores_fencing", False)
    return Upstream(role=role, honours_fencing=honours_fencing, **fields)
