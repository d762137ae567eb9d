"""Events and commands of the sidecar's core.

An event that expects an answer carries a ``reply`` number; the answering command repeats it.
"""

from typing import NamedTuple

from chivehold.core.identity import AttemptId, EntryIncarnation, Role
from chivehold.core.wire import (
    AttemptFrame,
    AttemptOffer,
    EngineOrder,
    Heartbeat,
    ImportOrder,
    KeyCommit,
    KeyDecision,
    KeyRegistration,
    LoadReport,
    OrderResult,
    PrefillOrder,
    PrefillResult,
    Reason,
    RevokeResult,
)


class SidecarConfig(NamedTuple):
    """Settings of a sidecar's core."""

    incarnation: str
    role: Role
    places: int
    patient_floor: float
    entry_lease_s: float
    """An entry that sends nothing for this long loses all its attempts here."""
    link_bytes_per_s: float
    """Rate of the inbound link for KV caches; 0 if there is none."""
    prefill_tokens_per_s: float
    """Initial estimate, replaced by measurements."""
    key_retention_s: float
    """How long a committed key is remembered; at least the longest caller retry."""
    waiting_most: int = 256
    """Maximum number of waiting offers or queued prompts."""
    import_wait_s: float = 10.0
    """A granted place without an import order for this long is freed."""
    transfer_stall_s: float = 0.25
    """A first token later than this after the expected end of the transfer means a stall."""


class OfferArrived(NamedTuple):
    """An entry opened an attempt's stream, or a plain service's call."""

    offer: AttemptOffer


class PrefillArrived(NamedTuple):
    """An entry ordered a prefill."""

    order: PrefillOrder


class ImportArrived(NamedTuple):
    """An entry sent the location of a granted attempt's KV cache."""

    reply: int
    order: ImportOrder


class StreamClosed(NamedTuple):
    """The entry closed an attempt's stream, or it broke."""

    attempt: AttemptId


class PrefillClosed(NamedTuple):
    """The entry closed a prefill's connection, or it broke."""

    attempt: AttemptId


class RevokeArrived(NamedTuple):
    """An entry revokes an attempt, so that it does not start."""

    reply: int
    attempt: AttemptId
    incarnation: str
    keeps_started: bool = False
    """Whether an attempt that has started keeps running, because another request asks about it;
    otherwise it is cancelled."""


class HeartbeatArrived(NamedTuple):
    """An entry renews its lease."""

    reply: int
    heartbeat: Heartbeat


class KeyRegisterArrived(NamedTuple):
    """An entry asks whether a request may run under its idempotency key."""

    reply: int
    registration: KeyRegistration


class KeyCommitArrived(NamedTuple):
    """An entry asks for permission to complete an answer."""

    reply: int
    commit: KeyCommit


class KeyReleaseArrived(NamedTuple):
    """An entry releases a key whose request was not answered."""

    commit: KeyCommit


class OrderArrived(NamedTuple):
    """The holder of the control lease sent an order for the engine."""

    reply: int
    order: EngineOrder


class EngineReadArrived(NamedTuple):
    """The holder of the control lease is about to read the engine's state."""

    reply: int
    fencing_number: int


class OrderSettled(NamedTuple):
    """The engine answered an order."""

    reply: int
    order: EngineOrder
    result: OrderResult


class EngineTokens(NamedTuple):
    """The engine produced output tokens of an attempt."""

    attempt: AttemptId
    offset: int
    tokens: tuple[str, ...]


class EngineFinished(NamedTuple):
    """The engine finished an attempt; ``total`` is the offset after its last token."""

    attempt: AttemptId
    total: int


class EngineFailed(NamedTuple):
    """An attempt failed at the engine; its place may still be held."""

    attempt: AttemptId
    reason: Reason


class EnginePrefilled(NamedTuple):
    """A prefill ended at the engine, successfully or not."""

    result: PrefillResult


class CallEnded(NamedTuple):
    """A plain service's call ended; the driver forwards the answer itself, not through the core."""

    attempt: AttemptId


class CancelSettled(NamedTuple):
    """The engine confirmed that an attempt holds nothing, or did not answer."""

    attempt: AttemptId
    released: bool


class EngineStatus(NamedTuple):
    """A status report of the engine, or the failure to get one (``reachable`` is false)."""

    reachable: bool
    leaving: bool
    held: tuple[AttemptId, ...]
    """Attempts that hold engine memory."""
    prefix_blocks: tuple[int, ...] = ()


class DeclarationRevision(NamedTuple):
    """Newer declarations were stored with this sidecar."""

    revision: int
    patient_floor: float


class DrainStarted(NamedTuple):
    """The upstream or this sidecar starts to drain."""


class Tick(NamedTuple):
    """The time returned by ``next_wakeup`` has been reached."""


SidecarEvent = (
    OfferArrived
    | PrefillArrived
    | ImportArrived
    | StreamClosed
    | PrefillClosed
    | RevokeArrived
    | HeartbeatArrived
    | KeyRegisterArrived
    | KeyCommitArrived
    | KeyReleaseArrived
    | OrderArrived
    | EngineReadArrived
    | OrderSettled
    | EngineTokens
    | EngineFinished
    | EngineFailed
    | EnginePrefilled
    | CallEnded
    | CancelSettled
    | EngineStatus
    | DeclarationRevision
    | DrainStarted
    | Tick
)


class SendFrame(NamedTuple):
    """Write a frame to an attempt's stream; ``FINISHED``, ``FAILED`` and ``REFUSED`` close it."""

    entry: EntryIncarnation
    frame: AttemptFrame


class SendPrefillResult(NamedTuple):
    """Answer a prefill order."""

    entry: EntryIncarnation
    result: PrefillResult


class StartPrefill(NamedTuple):
    """Run a prefill at the engine. Answered by ``EnginePrefilled``."""

    order: PrefillOrder


class StartDecode(NamedTuple):
    """Import a KV cache and decode.

    Answered by ``EngineTokens``, then ``EngineFinished`` or ``EngineFailed``.
    """

    offer: AttemptOffer
    order: ImportOrder


class StartCall(NamedTuple):
    """Forward a plain service's call. Answered by ``CallEnded``."""

    attempt: AttemptId


class CancelAtEngine(NamedTuple):
    """Free whatever an attempt holds at the engine. Answered by ``CancelSettled``."""

    attempt: AttemptId


class OrderEngine(NamedTuple):
    """Forward an order to the engine. Answered by ``OrderSettled``."""

    reply: int
    order: EngineOrder


class ReplyImport(NamedTuple):
    """Answer an import order."""

    reply: int
    accepted: bool


class ReplyRevoke(NamedTuple):
    """Answer a revocation."""

    reply: int
    result: RevokeResult


class ReplyHeartbeat(NamedTuple):
    """Answer a heartbeat."""

    reply: int
    report: LoadReport


class ReplyKey(NamedTuple):
    """Answer the registration of a key."""

    reply: int
    decision: KeyDecision


class ReplyKeyCommit(NamedTuple):
    """Answer the commit of a key."""

    reply: int
    committed: bool


class ReplyOrder(NamedTuple):
    """Answer an order."""

    reply: int
    result: OrderResult


class ReplyEngineRead(NamedTuple):
    """Answer whether the engine may be read under a fencing number."""

    reply: int
    newest: bool
    """False if a higher fencing number has been seen."""
    order_running: bool


SidecarCommand = (
    SendFrame
    | SendPrefillResult
    | StartPrefill
    | StartDecode
    | StartCall
    | CancelAtEngine
    | OrderEngine
    | ReplyImport
    | ReplyRevoke
    | ReplyHeartbeat
    | ReplyKey
    | ReplyKeyCommit
    | ReplyOrder
    | ReplyEngineRead
)
