"""Settings of the daemons, read from TOML files.

All errors of a file are reported at once: invalid values, missing keys and unknown keys.
"""

from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypedDict

import msgspec
from returns.result import Failure

from chivehold.core.declared import DEFAULT_PATIENT_FLOOR
from chivehold.core.direct.crash_evidence import DEFAULT_CRASH_POLICY
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
    """Settings of an entry."""

    name: str
    zone: str
    caller_address: str
    """``host:port`` that serves callers over HTTP."""
    control_address: str
    """``host:port`` that serves operators over gRPC."""
    operator_address: str
    """``host:port`` that serves metrics and health over HTTP."""
    platform_address: str
    token: str
    """Shared by entries and sidecars."""
    platform_token: str | None = None
    """Sent to the platform with each call; ``None`` if it requires none."""
    heartbeat_s: float = 0.5
    max_body_bytes: int = 4 * MIB
    max_header_bytes: int = 16_384
    max_held_bytes: int = 256 * MIB
    """Maximum total size of the bodies of all requests in progress."""
    max_connections: int = 4096
    """Maximum number of callers' connections, and of concurrent requests."""
    max_answer_bytes: int = 8 * MIB
    """Maximum size of a service's response."""
    default_deadline_s: float = 900.0
    """Maximum deadline that a request can set."""
    key_retention_s: float = 3600.0
    upstreams_most: int = 96
    """Maximum number of upstreams, over all pools, to which an entry sends heartbeats.

    It is exceeded where a pool would otherwise get fewer than 4. An engine without heartbeats from
    any entry gets no work, so a few entries with many engines need a higher limit.
    """
    peer_addresses: tuple[str, ...] = ()
    """Control addresses of sidecars that supply declarations while the platform is unavailable."""
    drain_timeout_s: float = 900.0
    log_format: LogFormat = LogFormat.KEY_VALUE
    log_level: LogLevel = LogLevel.INFO
    loop_monitor: bool = False
    """Whether to measure what holds the event loop and how late it wakes up."""
    policy: Policy = Policy()


class SidecarSettings(NamedTuple):
    """Settings of the sidecar of an upstream."""

    name: str
    """Declared name of the upstream."""
    target: str
    role: Role
    zone: str
    data_address: str
    """``host:port`` that serves attempts over HTTP."""
    control_address: str
    """``host:port`` that serves entries over gRPC."""
    operator_address: str
    """``host:port`` that serves metrics and health over HTTP."""
    upstream_address: str
    """``host:port`` of the engine or service."""
    places: int
    token: str
    link_bytes_per_s: float = 0.0
    """Bandwidth of the inbound link for KV caches; 0 if there is none."""
    prefill_tokens_per_s: float = 0.0
    entry_lease_s: float = 1.5
    key_retention_s: float = 3600.0
    patient_floor: float = DEFAULT_PATIENT_FLOOR
    """Share of the places reserved for patient work, 0 to 1, until a declaration sets it."""
    status_poll_s: float = 0.5
    drain_timeout_s: float = 900.0
    max_body_bytes: int = 8 * MIB
    max_answer_bytes: int = 8 * MIB
    log_format: LogFormat = LogFormat.KEY_VALUE
    log_level: LogLevel = LogLevel.INFO
    loop_monitor: bool = False
    """Whether to measure what holds the event loop and how late it wakes up."""
    policy: Policy = Policy()


class DirectSettings(NamedTuple):
    """Settings of an entry that calls its upstreams directly, without sidecars."""

    name: str
    zone: str
    caller_address: str
    """``host:port`` that serves callers over HTTP."""
    ready_address: str
    """``host:port`` of the readiness endpoint for the load balancer."""
    operator_address: str
    """``host:port`` that serves metrics and the state dump over HTTP."""
    store_address: str
    """``host:port`` of the platform's store."""
    retry_share: float
    """Maximum number of retries as a share of a service's requests, over all entries."""
    retry_extra: float
    """Additional retries allowed within the window, over all entries."""
    retry_window_s: float
    shutdown_s: float
    """Time between SIGTERM and SIGKILL."""
    routes_deadline_ms: int = 2_000
    """Time within which a change of the routes must be in force at every entry."""
    upstreams_deadline_ms: int = 2_000
    """Time within which a change of the list of upstreams must be in force at every entry."""
    silence_allowance_ms: int = 3_000
    """Time after a connection to the store has gone silent within which both may be late."""
    upstream_heartbeat_ms: int = 1_200
    """Interval at which upstreams renew their records in the store."""
    entries_most: int = 8
    """Number of entries assumed to share common budgets until the actual number is known."""
    decode_per_prefill: float = 3.0
    """Number of decode engines that one prefill engine keeps busy; roles are assigned to match."""
    max_held_bytes: int = 16 * MIB
    """Maximum total size of the bodies and answers of all requests in progress."""
    idle_timeout_s: float = 60.0
    """Idle connections of callers are closed after this time."""
    max_requests: int = 1024
    """Maximum number of concurrent requests."""
    max_connections: int = 1280
    """Maximum number of callers' connections; one more takes the place of an idle one."""
    exchange_address: str | None = None
    """``host:port`` for datagrams between the entries; ``None`` if they tell each other nothing."""
    crash_ends: int = DEFAULT_CRASH_POLICY.ends
    """Ends of upstreams under the same content after which it is refused."""
    crash_ends_if_sound_before: int = DEFAULT_CRASH_POLICY.ends_if_sound_before
    """The same for content that was seen to run without harm before."""
    crash_evidence_s: float = DEFAULT_CRASH_POLICY.evidence_s
    """Age at which such an end no longer counts."""
    crash_settled_s: float = 0.5
    """A stream that has sent events for this time has not ended its engine."""
    quarantine_s: float = DEFAULT_CRASH_POLICY.quarantine_s
    """How long such content is refused."""
    quarantine_trial_s: float = DEFAULT_CRASH_POLICY.trial_s
    """Time after which one such request is let through, to see whether it is harmless."""
    quota_window_s: float = 8.0
    """Window in which the use of an organisation is bounded by its quota."""
    quota_overshoot: float = 0.0
    """Share of the quota of a window that may be used in addition."""
    quota_slack: float = 0.0
    """Units that may be used in addition in a window, over all entries."""
    strict_revoke: bool = False
    """Whether requests in progress are ended when their API key is removed."""
    log_lines_per_s: int = 400
    log_format: LogFormat = LogFormat.JSON
    log_level: LogLevel = LogLevel.INFO
    loop_monitor: bool = False
    """Whether to measure what holds the event loop and how late it wakes up."""


class PolicyTable(TypedDict, total=False):
    """The ``[policy]`` table of entries and sidecars; see ``core.policy.Policy``."""

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
    """Schema of an entry's settings file."""

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
    loop_monitor: bool
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
    """Schema of a sidecar's settings file."""

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
    loop_monitor: bool
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
    """Schema of the settings file of an entry without sidecars."""

    routes_deadline_ms: _Count
    upstreams_deadline_ms: _Count
    silence_allowance_ms: _Count
    upstream_heartbeat_ms: _Count
    entries_most: _Count
    decode_per_prefill: Annotated[
        float, msgspec.Meta(ge=0.1, le=100, description="a number, 0.1 to 100")
    ]
    max_held_bytes: _Bytes
    idle_timeout_s: _Seconds
    max_requests: _Count
    max_connections: _Count
    exchange_address: _Address
    crash_ends: Annotated[int, msgspec.Meta(ge=2, le=100, description="a count, 2 to 100")]
    crash_ends_if_sound_before: Annotated[
        int, msgspec.Meta(ge=2, le=100, description="a count, 2 to 100")
    ]
    crash_evidence_s: _Seconds
    crash_settled_s: _Seconds
    quarantine_s: Annotated[
        float, msgspec.Meta(gt=0, le=86_400, description="seconds above 0, at most 86400")
    ]
    quarantine_trial_s: _Seconds
    quota_window_s: _Seconds
    quota_overshoot: _Share
    quota_slack: _Rate
    strict_revoke: bool
    log_lines_per_s: _Count
    log_format: LogFormat
    log_level: LogLevel
    loop_monitor: bool


def read_direct_settings(path: Path) -> DirectSettings:
    """Read the settings of an entry without sidecars.

    Args:
        path: The TOML file.

    Returns:
        The settings, with defaults for missing keys.

    Raises:
        SettingsInvalid: The file cannot be read or is invalid; lists every error.
    """
    return DirectSettings(**_read_settings_table(path, DirectTable))


def read_entry_settings(path: Path) -> EntrySettings:
    """Read an entry's settings.

    Args:
        path: The TOML file.

    Returns:
        The settings, with defaults for missing keys.

    Raises:
        SettingsInvalid: The file cannot be read or is invalid; lists every error.
    """
    return EntrySettings(**_with_policy(_read_settings_table(path, EntryTable)))


def read_sidecar_settings(path: Path) -> SidecarSettings:
    """Read a sidecar's settings.

    Args:
        path: The TOML file.

    Returns:
        The settings, with defaults for missing keys.

    Raises:
        SettingsInvalid: The file cannot be read or is invalid; lists every error.
    """
    return SidecarSettings(**_with_policy(_read_settings_table(path, SidecarTable)))


def _with_policy(values: dict[str, Any]) -> dict[str, Any]:
    return {**values, "policy": Policy(**values.get("policy", {}))}


def _read_settings_table(path: Path, table_type: type) -> dict[str, Any]:
    table = read_table(path, table_type, MAX_SETTINGS_BYTES)
    if isinstance(table, Failure):
        raise SettingsInvalid(str(path), table.failure())
    return table.unwrap()
