"""Events and commands of the sidecar's core.

Events that want an answer carry a ``reply`` number, which the answering command repeats.
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
    """What a sidecar core is told at its start."""

    incarnation: str
    role: Role
    places: int
    patient_floor: float
    entry_lease_s: float
    """An entry not heard from for this long loses all its attempts here."""
    link_bytes_per_s: float
    """Rate of the inbound link for KV caches; 0 where there is none."""
    prefill_tokens_per_s: float
    """First estimate; corrected by what is seen."""
    key_retention_s: float
    """How long a committed key is remembered; at least the longest caller retry."""
    waiting_most: int = 256
    """Offers the wait list holds."""
    import_wait_s: float = 10.0
    """A granted place without an import order for this long is freed."""
    transfer_stall_s: float = 0.25
    """An import without its first token for this long beyond its expected time has stalled."""


class OfferArrived(NamedTuple):
    """An entry opened an attempt's stream, or a plain service's call."""

    offer: AttemptOffer


class PrefillArrived(NamedTuple):
    """An entry asked for a prefill."""

    order: PrefillOrder


class ImportArrived(NamedTuple):
    """An entry told where a granted attempt's KV cache lies."""

    reply: int
    order: ImportOrder


class StreamClosed(NamedTuple):
    """The entry closed an attempt's stream, or it broke."""

    attempt: AttemptId


class PrefillClosed(NamedTuple):
    """The entry closed a prefill's connection, or it broke."""

    attempt: AttemptId


class RevokeArrived(NamedTuple):
    """An entry bars an attempt from starting."""

    reply: int
    attempt: AttemptId
    incarnation: str
    keeps_started: bool = False
    """Another request asks, and a started attempt is left alone; else it is cancelled."""


class HeartbeatArrived(NamedTuple):
    """An entry renews its lease."""

    reply: int
    heartbeat: Heartbeat


class KeyRegisterArrived(NamedTuple):
    """An entry asks whether a key's request may run."""

    reply: int
    registration: KeyRegistration


class KeyCommitArrived(NamedTuple):
    """An entry asks leave to complete an answer."""

    reply: int
    commit: KeyCommit


class KeyReleaseArrived(NamedTuple):
    """An entry gives a key back unanswered."""

    commit: KeyCommit


class OrderArrived(NamedTuple):
    """The holder of the control lease orders something of the engine."""

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
    """Output tokens of an attempt from the engine."""

    attempt: AttemptId
    offset: int
    tokens: tuple[str, ...]


class EngineFinished(NamedTuple):
    """The engine ended an attempt in full; ``total`` is the offset after its last token."""

    attempt: AttemptId
    total: int


class EngineFailed(NamedTuple):
    """The engine broke an attempt off; its place may still be held."""

    attempt: AttemptId
    reason: Reason


class EnginePrefilled(NamedTuple):
    """A prefill ended at the engine, well or not."""

    result: PrefillResult


class CallEnded(NamedTuple):
    """A plain service's call ended; the shell passes the answer on itself."""

    attempt: AttemptId


class CancelSettled(NamedTuple):
    """The engine confirmed that an attempt holds nothing, or did not answer."""

    attempt: AttemptId
    released: bool


class EngineStatus(NamedTuple):
    """What the engine says of itself."""

    reachable: bool
    leaving: bool
    held: tuple[AttemptId, ...]
    """Attempts that hold engine memory."""
    prefix_blocks: tuple[int, ...] = ()


class DeclarationRevision(NamedTuple):
    """The newest declarations kept beside this sidecar."""

    revision: int
    patient_floor: float


class DrainStarted(NamedTuple):
    """The upstream or this sidecar is to leave."""


class Tick(NamedTuple):
    """The time asked for by ``next_wakeup`` has come."""


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
    """Write a frame to an attempt's stream; ``FINISHED``, ``FAILED``, ``REFUSED`` close it."""

    entry: EntryIncarnation
    frame: AttemptFrame


class SendPrefillResult(NamedTuple):
    """Answer a prefill order."""

    entry: EntryIncarnation
    result: PrefillResult


class StartPrefill(NamedTuple):
    """Run a prefill at the engine. Settled by ``EnginePrefilled``."""

    order: PrefillOrder


class StartDecode(NamedTuple):
    """Import a KV cache and decode. Settled by tokens and ``EngineFinished``/``EngineFailed``."""

    offer: AttemptOffer
    order: ImportOrder


class StartCall(NamedTuple):
    """Pass a plain service's call on. Settled by ``CallEnded``."""

    attempt: AttemptId


class CancelAtEngine(NamedTuple):
    """Free whatever an attempt holds at the engine. Settled by ``CancelSettled``."""

    attempt: AttemptId


class OrderEngine(NamedTuple):
    """Pass an order on. Settled by ``OrderSettled``."""

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
    """Answer a key's registration."""

    reply: int
    decision: KeyDecision


class ReplyKeyCommit(NamedTuple):
    """Answer a key's commit."""

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
    """False: a newer holder has been heard of."""
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
