"""Settings of the daemons, read from TOML and checked whole.

Every fault of a file is reported at once: a value of the wrong form, a missing key, an unknown one.
"""

from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypedDict

import msgspec
from returns.result import Failure

from chivehold.core.declared import DEFAULT_PATIENT_FLOOR
from chivehold.core.identity import Role
from chivehold.core.policy import DecodeChoiceKind, Policy
from chivehold.exceptions import SettingsInvalid
from chivehold.logs import LogFormat, LogLevel
from chivehold.toml_tables import read_table

MAX_SETTINGS_BYTES = 65_536
MIB = 1 << 20

_Name = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[a-z][a-z0-9-]{0,62}$", description="a name of a-z, 0-9 and -, at most 63 long"
    ),
]
_Address = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^(\[[0-9a-fA-F:.]+\]|[A-Za-z0-9.-]{1,253}):"
        r"(0|[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])$",
        description="an address host:port with a port of 0 to 65535",
    ),
]
_Token = Annotated[
    str, msgspec.Meta(pattern=r"^[!-~]{16,512}$", description="16 to 512 visible ASCII characters")
]
_Seconds = Annotated[
    float, msgspec.Meta(gt=0, le=1e6, description="seconds above 0, at most 1000000")
]
_Bytes = Annotated[int, msgspec.Meta(ge=1024, le=1 << 30, description="bytes, 1024 to 1073741824")]
_Rate = Annotated[float, msgspec.Meta(ge=0, le=1e15, description="a rate a second, 0 or more")]
_Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000, description="a count, 1 to 1000000")]
_Share = Annotated[float, msgspec.Meta(ge=0, le=1, description="a share, 0 to 1")]
_Headroom = Annotated[float, msgspec.Meta(ge=0, le=10, description="a factor, 0 to 10")]


class EntrySettings(NamedTuple):
    """Settings of one entry."""

    name: str
    zone: str
    caller_address: str
    """``host:port`` for callers' HTTP."""
    control_address: str
    """``host:port`` for operators' gRPC."""
    operator_address: str
    """``host:port`` for metrics and health over HTTP."""
    platform_address: str
    token: str
    """Shared between entries and sidecars."""
    platform_token: str | None = None
    """Sent to the platform with each call; ``None`` where it asks for none."""
    heartbeat_s: float = 0.5
    max_body_bytes: int = 4 * MIB
    max_header_bytes: int = 16_384
    max_held_bytes: int = 256 * MIB
    """Bound of the bodies of all requests in progress together."""
    max_connections: int = 4096
    """Requests in progress at once."""
    max_answer_bytes: int = 8 * MIB
    """Bound of a plain service's whole answer."""
    default_deadline_s: float = 900.0
    """Longest time a request may name for itself."""
    key_retention_s: float = 3600.0
    upstreams_most: int = 96
    """Upstreams of all pools together an entry keeps heartbeats with; at least 4 of each pool.

    Few entries before many engines need more, for an engine that no entry follows gets no work.
    """
    peer_addresses: tuple[str, ...] = ()
    """Control addresses of sidecars to fetch declarations from while the platform is out."""
    drain_timeout_s: float = 900.0
    log_format: LogFormat = LogFormat.KEY_VALUE
    log_level: LogLevel = LogLevel.INFO
    policy: Policy = Policy()


class SidecarSettings(NamedTuple):
    """Settings of the sidecar beside one upstream."""

    name: str
    """The declared name of the upstream."""
    target: str
    role: Role
    zone: str
    data_address: str
    """``host:port`` for attempts over HTTP."""
    control_address: str
    """``host:port`` for entries' gRPC."""
    operator_address: str
    """``host:port`` for metrics and health over HTTP."""
    upstream_address: str
    """``host:port`` of the engine or service."""
    places: int
    token: str
    link_bytes_per_s: float = 0.0
    """Rate of the inbound link for KV caches; 0 where there is none."""
    prefill_tokens_per_s: float = 0.0
    entry_lease_s: float = 1.5
    key_retention_s: float = 3600.0
    patient_floor: float = DEFAULT_PATIENT_FLOOR
    """Share of places kept for patient work until a declaration says otherwise, 0 to 1."""
    status_poll_s: float = 0.5
    drain_timeout_s: float = 900.0
    max_body_bytes: int = 8 * MIB
    max_answer_bytes: int = 8 * MIB
    log_format: LogFormat = LogFormat.KEY_VALUE
    log_level: LogLevel = LogLevel.INFO
    policy: Policy = Policy()


class DirectSettings(NamedTuple):
    """Settings of one entry that reaches its upstreams without sidecars."""

    name: str
    zone: str
    caller_address: str
    """``host:port`` for callers' HTTP."""
    ready_address: str
    """``host:port`` that the load balancer asks whether this entry takes requests."""
    operator_address: str
    """``host:port`` for metrics and the state dump over HTTP."""
    store_address: str
    """``host:port`` of the platform's store."""
    retry_share: float
    """Calls beyond the first, as a share of a service's requests, over all entries together."""
    retry_extra: float
    """Further such calls within the window, over all entries together."""
    retry_window_s: float
    shutdown_s: float
    """Time between SIGTERM and SIGKILL."""
    entries_most: int = 8
    """Entries that share what is shared, until their number is known."""
    decode_per_prefill: float = 3.0
    """Decode engines that one prefill engine keeps busy; the stages are ordered to fit."""
    max_held_bytes: int = 32 * MIB
    """Bound of the bodies of all requests in progress together."""
    idle_timeout_s: float = 60.0
    """An idle caller's connection is closed after this time."""
    max_requests: int = 1024
    """Requests in progress at once."""
    log_lines_per_s: int = 400
    log_format: LogFormat = LogFormat.JSON
    log_level: LogLevel = LogLevel.INFO


class PolicyTable(TypedDict, total=False):
    """The table ``[policy]`` of entries and sidecars; see ``core.policy.Policy``."""

    decode_choice: DecodeChoiceKind
    reserve_before_prefill: bool
    wait_list: bool
    class_order: bool
    urgent_headroom: _Headroom
    preemption: bool
    fair_shares: bool
    prefill_pacing: bool
    prefix_affinity: bool
    link_budget: bool
    shed_late: bool
    avoid_slow: bool
    retry_budget: _Share
    retry_budget_floor: Annotated[
        int, msgspec.Meta(ge=0, le=10_000, description="a count, 0 to 10000")
    ]
    retry_window_s: _Seconds
    attempts_most: Annotated[int, msgspec.Meta(ge=1, le=10, description="a count, 1 to 10")]
    patient_attempts_most: Annotated[
        int, msgspec.Meta(ge=1, le=100, description="a count, 1 to 100")
    ]
    urgent_queue_most: _Count
    patient_queue_most: _Count
    patient_offers_most: _Count
    patient_age_limit_s: _Seconds


class _EntryRequired(TypedDict):
    name: _Name
    zone: _Name
    caller_address: _Address
    control_address: _Address
    operator_address: _Address
    platform_address: _Address
    token: _Token


class EntryTable(_EntryRequired, total=False):
    """An entry's settings file."""

    platform_token: _Token
    heartbeat_s: _Seconds
    max_body_bytes: _Bytes
    max_header_bytes: _Bytes
    max_held_bytes: Annotated[
        int, msgspec.Meta(ge=1 << 20, le=1 << 40, description="bytes, 1048576 to 1099511627776")
    ]
    max_connections: _Count
    max_answer_bytes: _Bytes
    default_deadline_s: _Seconds
    key_retention_s: _Seconds
    upstreams_most: _Count
    peer_addresses: Annotated[
        tuple[_Address, ...],
        msgspec.Meta(max_length=64, description="a list of at most 64 addresses host:port"),
    ]
    drain_timeout_s: _Seconds
    log_format: LogFormat
    log_level: LogLevel
    policy: PolicyTable


class _SidecarRequired(TypedDict):
    name: _Name
    target: _Name
    role: Role
    zone: _Name
    data_address: _Address
    control_address: _Address
    operator_address: _Address
    upstream_address: _Address
    places: _Count
    token: _Token


class SidecarTable(_SidecarRequired, total=False):
    """A sidecar's settings file."""

    link_bytes_per_s: _Rate
    prefill_tokens_per_s: _Rate
    entry_lease_s: _Seconds
    key_retention_s: _Seconds
    patient_floor: _Share
    status_poll_s: _Seconds
    drain_timeout_s: _Seconds
    max_body_bytes: _Bytes
    max_answer_bytes: _Bytes
    log_format: LogFormat
    log_level: LogLevel
    policy: PolicyTable


class _DirectRequired(TypedDict):
    name: _Name
    zone: _Name
    caller_address: _Address
    ready_address: _Address
    operator_address: _Address
    store_address: _Address
    retry_share: _Share
    retry_extra: _Rate
    retry_window_s: _Seconds
    shutdown_s: _Seconds


class DirectTable(_DirectRequired, total=False):
    """The settings file of an entry without sidecars."""

    entries_most: _Count
    decode_per_prefill: Annotated[
        float, msgspec.Meta(ge=0.1, le=100, description="a number, 0.1 to 100")
    ]
    max_held_bytes: _Bytes
    idle_timeout_s: _Seconds
    max_requests: _Count
    log_lines_per_s: _Count
    log_format: LogFormat
    log_level: LogLevel


def read_direct_settings(path: Path) -> DirectSettings:
    """Read the settings of an entry without sidecars.

    Args:
        path: The TOML file.

    Returns:
        The settings, defaults filled in.

    Raises:
        SettingsInvalid: The file cannot be read or is wrong; names every fault.
    """
    return DirectSettings(**_read_settings_table(path, DirectTable))


def read_entry_settings(path: Path) -> EntrySettings:
    """Read an entry's settings.

    Args:
        path: The TOML file.

    Returns:
        The settings, defaults filled in.

    Raises:
        SettingsInvalid: The file cannot be read or is wrong; names every fault.
    """
    return EntrySettings(**_with_policy(_read_settings_table(path, EntryTable)))


def read_sidecar_settings(path: Path) -> SidecarSettings:
    """Read a sidecar's settings.

    Args:
        path: The TOML file.

    Returns:
        The settings, defaults filled in.

    Raises:
        SettingsInvalid: The file cannot be read or is wrong; names every fault.
    """
    return SidecarSettings(**_with_policy(_read_settings_table(path, SidecarTable)))


def _with_policy(values: dict[str, Any]) -> dict[str, Any]:
    return {**values, "policy": Policy(**values.get("policy", {}))}


def _read_settings_table(path: Path, table_type: type) -> dict[str, Any]:
    table = read_table(path, table_type, MAX_SETTINGS_BYTES)
    if isinstance(table, Failure):
        raise SettingsInvalid(str(path), table.failure())
    return table.unwrap()
