"""Declared intent: deployments, services, their upstreams and their traffic."""

from enum import StrEnum
from typing import NamedTuple

from chivehold.core.identity import Organisation, Role, TargetName, UpstreamName, Urgency

DEFAULT_PATIENT_FLOOR = 0.10
DEFAULT_URGENT_DEADLINE_S = 30.0
DEFAULT_PATIENT_DEADLINE_S = 900.0
DEFAULT_FIRST_TOKEN_TARGET_S = 1.0
DEFAULT_BETWEEN_TOKENS_TARGET_S = 0.025


class Weigh(StrEnum):
    """Which measure a deployment weighs more when both cannot be had."""

    GOODPUT = "goodput"
    WASTED_PREFILL = "wasted_prefill"


class Upstream(NamedTuple):
    """One engine or service VM, reached only through the sidecar beside it."""

    name: UpstreamName
    role: Role
    zone: str
    data_address: str
    """``host:port`` of the sidecar's HTTP listener for attempts."""
    control_address: str
    """``host:port`` of the sidecar's gRPC listener."""
    places: int
    """Requests the upstream may hold at once."""
    honours_fencing: bool = True


class TrafficClass(NamedTuple):
    """A kind of traffic with its urgency."""

    name: str
    urgency: Urgency
    deadline_s: float
    first_token_target_s: float = DEFAULT_FIRST_TOKEN_TARGET_S
    between_tokens_target_s: float = DEFAULT_BETWEEN_TOKENS_TARGET_S


class Share(NamedTuple):
    """The weight of one organisation's share of a target; 1.0 where none is declared."""

    organisation: Organisation
    weight: float


class Deployment(NamedTuple):
    """A model deployment with its separate prefill and decode pools."""

    name: TargetName
    model: str
    prefill: tuple[Upstream, ...]
    decode: tuple[Upstream, ...]
    classes: tuple[TrafficClass, ...]
    weigh: Weigh = Weigh.GOODPUT
    patient_floor: float = DEFAULT_PATIENT_FLOOR
    """Share of decode places kept for patient work under overload, 0 to 1."""
    shares: tuple[Share, ...] = ()
    default_class: str = ""
    kv_bytes_per_token: int = 0
    adapters: tuple[str, ...] = ()


class CallRule(NamedTuple):
    """Marks the calls of a plain service that match as idempotent or not."""

    method: str
    """An HTTP method, or ``*``."""
    path_prefix: str
    idempotent: bool


class Service(NamedTuple):
    """A plain service; the first matching rule decides whether a call may be repeated."""

    name: TargetName
    upstreams: tuple[Upstream, ...]
    classes: tuple[TrafficClass, ...]
    rules: tuple[CallRule, ...] = ()
    shares: tuple[Share, ...] = ()
    default_class: str = ""


class Declarations(NamedTuple):
    """Every declaration in force on a node, with the store revision it stems from."""

    revision: int
    deployments: tuple[Deployment, ...]
    services: tuple[Service, ...]
