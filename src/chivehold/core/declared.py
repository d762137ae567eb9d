"""Declarations: deployments, services, their upstreams and their traffic classes."""

from enum import StrEnum
from typing import NamedTuple

from chivehold.core.identity import Organisation, Role, TargetName, UpstreamName, Urgency

DEFAULT_PATIENT_FLOOR = 0.10
DEFAULT_URGENT_DEADLINE_S = 30.0
DEFAULT_PATIENT_DEADLINE_S = 900.0
DEFAULT_FIRST_TOKEN_TARGET_S = 1.0
DEFAULT_BETWEEN_TOKENS_TARGET_S = 0.025


class Weigh(StrEnum):
    """The measure that a deployment favours where the two conflict."""

    GOODPUT = "goodput"
    WASTED_PREFILL = "wasted_prefill"


class Upstream(NamedTuple):
    """One engine or service VM, reached only through its sidecar."""

    name: UpstreamName
    role: Role
    zone: str
    data_address: str
    """``host:port`` of the sidecar's HTTP listener for attempts."""
    control_address: str
    """``host:port`` of the sidecar's gRPC listener."""
    places: int
    """Maximum number of concurrent requests at the upstream."""
    honours_fencing: bool = True
    """Whether the engine itself refuses orders with a fencing number lower than an earlier one."""


class TrafficClass(NamedTuple):
    """A class of traffic with its urgency, default deadline and latency targets."""

    name: str
    urgency: Urgency
    deadline_s: float
    first_token_target_s: float = DEFAULT_FIRST_TOKEN_TARGET_S
    between_tokens_target_s: float = DEFAULT_BETWEEN_TOKENS_TARGET_S


class Share(NamedTuple):
    """The weight of one organisation's share of a target, 1.0 if none is declared."""

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
    """Share of decode places reserved for patient work under overload, 0 to 1."""
    shares: tuple[Share, ...] = ()
    default_class: str = ""
    kv_bytes_per_token: int = 0
    adapters: tuple[str, ...] = ()


class CallRule(NamedTuple):
    """Declares whether matching calls of a plain service are idempotent."""

    method: str
    """An HTTP method, or ``*``."""
    path_prefix: str
    idempotent: bool


class Service(NamedTuple):
    """A plain service; the first matching rule decides whether a call is idempotent."""

    name: TargetName
    upstreams: tuple[Upstream, ...]
    classes: tuple[TrafficClass, ...]
    rules: tuple[CallRule, ...] = ()
    shares: tuple[Share, ...] = ()
    default_class: str = ""


class Declarations(NamedTuple):
    """All declarations in force on a node, as of a store revision."""

    revision: int
    deployments: tuple[Deployment, ...]
    services: tuple[Service, ...]
