"""Messages between an entry and a sidecar.

Times on the wire are durations, never instants, so that clocks of two machines are never compared.
"""

from enum import StrEnum
from typing import NamedTuple

from chivehold.core.identity import (
    AttemptId,
    EntryIncarnation,
    KeyId,
    Organisation,
    RequestId,
    Role,
    SidecarIncarnation,
    TargetName,
    Urgency,
)


class Reason(StrEnum):
    """Why an attempt was refused or failed."""

    FULL = "full"
    TOO_LATE = "too_late"
    LEAVING = "leaving"
    WRONG_INCARNATION = "wrong_incarnation"
    REVOKED = "revoked"
    DUPLICATE = "duplicate"
    MALFORMED = "malformed"
    UNAUTHORISED = "unauthorised"
    CANCELLED = "cancelled"
    LEASE_LAPSED = "lease_lapsed"
    ENGINE_FAILED = "engine_failed"
    TRANSFER_STALLED = "transfer_stalled"
    PREEMPTED = "preempted"
    KV_EXPIRED = "kv_expired"
    DEADLINE = "deadline"


class AttemptOffer(NamedTuple):
    """An entry's request for a place; nothing runs at the upstream before the grant.

    At a decode engine the grant reserves a place, and the decode starts with the import. At a
    plain service the call starts with the grant.
    """

    attempt: AttemptId
    entry: EntryIncarnation
    incarnation: SidecarIncarnation
    """The sidecar run this attempt is addressed to; any other refuses it."""
    target: TargetName
    organisation: Organisation
    share_weight: float
    urgency: Urgency
    waited_s: float
    """Time since the caller's request arrived at the entry."""
    start_within_s: float
    """The sidecar refuses at once if it does not expect to grant a place within this time."""
    deadline_in_s: float
    prompt_tokens: int = 0
    max_tokens: int = 0
    """Output tokens to produce, the first of them at ``first_offset``."""
    first_offset: int = 0
    """Offset of the first output token to produce; above 0 when a stream is resumed."""
    kv_bytes: int = 0
    preempts: bool = False
    """Whether this urgent offer may preempt a preemptible one rather than wait."""
    preemptible: bool = False
    """Whether this patient offer's stream may be interrupted and resumed later."""


class FrameKind(StrEnum):
    """Kinds of frames in an attempt's stream."""

    QUEUED = "queued"
    GRANTED = "granted"
    REFUSED = "refused"
    TOKENS = "tokens"
    FINISHED = "finished"
    FAILED = "failed"


class AttemptFrame(NamedTuple):
    """One frame of the stream with which a sidecar answers an offer.

    The order is ``QUEUED? GRANTED TOKENS* (FINISHED | FAILED)`` or ``QUEUED? REFUSED``. After
    ``REFUSED`` the attempt has not run and never will. ``FINISHED`` carries in ``offset`` the total
    number of output tokens, so that missing tokens are detected.
    """

    kind: FrameKind
    attempt: AttemptId
    offset: int = 0
    tokens: tuple[str, ...] = ()
    reason: Reason | None = None
    retry_after_s: float | None = None


class PrefillOrder(NamedTuple):
    """An entry's order to run a prompt, sent to a prefill engine's sidecar."""

    attempt: AttemptId
    entry: EntryIncarnation
    incarnation: SidecarIncarnation
    target: TargetName
    organisation: Organisation
    urgency: Urgency
    prompt: str
    prompt_tokens: int
    prefix_blocks: tuple[int, ...]
    """Chained digests of the prompt's blocks, the first block first."""
    start_within_s: float
    deadline_in_s: float


class PrefillKind(StrEnum):
    """How a prefill ended."""

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"


class PrefillResult(NamedTuple):
    """The result of a prefill; the KV cache stays at its engine until imported or expired."""

    kind: PrefillKind
    attempt: AttemptId
    handle: str = ""
    engine_address: str = ""
    kv_bytes: int = 0
    expires_in_s: float = 0.0
    reused_tokens: int = 0
    reason: Reason | None = None
    retry_after_s: float | None = None


class ImportOrder(NamedTuple):
    """The location of an attempt's KV cache, sent to the decode engine's sidecar."""

    attempt: AttemptId
    handle: str
    engine_address: str
    kv_bytes: int
    prompt_tokens: int
    expires_in_s: float


class CallContent(NamedTuple):
    """A plain service's call as the caller made it."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class CallResult(NamedTuple):
    """A plain service's whole answer, or the reason why there is none.

    ``reason`` is ``None`` for an answer. ``started`` is whether the upstream may have run it.
    """

    attempt: AttemptId
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    reason: Reason | None = None
    started: bool = True
    retry_after_s: float | None = None


class RevokeResult(StrEnum):
    """What a sidecar knows about an attempt that an entry revokes."""

    NEVER_STARTED = "never_started"
    """It had not started and can no longer start."""
    STARTED = "started"
    """It has started, or has ended after starting; it is cancelled if it still runs."""
    OTHER_INCARNATION = "other_incarnation"
    """The attempt was addressed to an earlier run of the sidecar, which may have started it."""
    UNREACHABLE = "unreachable"
    """Set by the entry's driver if the sidecar did not answer in time."""


class UpstreamState(StrEnum):
    """Whether an upstream accepts new work."""

    READY = "ready"
    LEAVING = "leaving"
    DOWN = "down"


class Heartbeat(NamedTuple):
    """Renews an entry's lease at a sidecar; its attempts there end if the lease lapses."""

    entry: EntryIncarnation
    incarnation: SidecarIncarnation
    """The sidecar run that the entry last saw; empty at first contact."""
    revision: int
    """The revision of the newest declarations that the entry has."""


class LoadReport(NamedTuple):
    """A sidecar's answer to a heartbeat: the load of its upstream, from its own records."""

    incarnation: SidecarIncarnation
    up_for_s: float
    role: Role
    state: UpstreamState
    revision: int
    places: int
    places_free: int
    waiting_urgent: int
    waiting_patient: int
    wait_urgent_s: float
    """Expected wait of a new urgent offer for its grant."""
    wait_patient_s: float
    prefill_backlog_s: float
    """Duration of the prefill work ahead of a new patient prompt."""
    prefill_urgent_backlog_s: float
    """Duration of the prefill work ahead of a new urgent prompt."""
    prefill_tokens_per_s: float
    token_interval_s: float
    """Smoothed time between output tokens of a stream; 0 if unknown."""
    link_backlog_s: float
    prefix_blocks: tuple[int, ...] = ()
    """Digests of blocks believed cached, most recent first; a hint."""


class KeyDecision(StrEnum):
    """The answer of a key's home to a request that wants to run under the key."""

    FRESH = "fresh"
    IN_PROGRESS = "in_progress"
    ALREADY_ANSWERED = "already_answered"
    UNKNOWN = "unknown"
    """The home cannot rule out an answer, because its record does not reach back to the first
    sending; or its record is full."""
    UNREACHABLE = "unreachable"


class KeyRegistration(NamedTuple):
    """An entry asks a key's home, the sidecar that keeps its record, whether a request may run."""

    key: KeyId
    request: RequestId
    entry: EntryIncarnation
    first_sent_ago_s: float


class KeyCommit(NamedTuple):
    """An entry asks for permission to send the last part of the answer to the caller.

    Only the registered request of a live entry may commit, and a key commits once. An entry whose
    commit is refused must not let its answer appear complete.
    """

    key: KeyId
    request: RequestId
    entry: EntryIncarnation


class OrderKind(StrEnum):
    """Kinds of orders to an engine."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


class EngineOrder(NamedTuple):
    """An order to an engine, sent under the control lease with its fencing number."""

    fencing_number: int
    operation_id: str
    kind: OrderKind
    argument: str
    lease_left_s: float
    """Remaining time of the lease by its holder's clock, minus the pause margin."""
    incarnation: str = ""
    """The sidecar run that was read before the order; empty for any run."""


class OrderResult(StrEnum):
    """The result of an order."""

    DONE = "done"
    STALE = "stale"
    FAILED = "failed"
    UNSURE = "unsure"
