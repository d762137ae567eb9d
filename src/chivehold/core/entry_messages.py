"""Events and commands of the entry's core.

Every command names the request or the attempt it belongs to. For each command that asks something
of a peer the shell feeds exactly one settling event back, also when the peer does not answer.
"""

from typing import NamedTuple

from chivehold.core.declared import DEFAULT_URGENT_DEADLINE_S, Declarations
from chivehold.core.identity import (
    AttemptId,
    KeyId,
    Organisation,
    Outcome,
    RequestId,
    TargetName,
    UpstreamName,
)
from chivehold.core.wire import (
    AttemptFrame,
    AttemptOffer,
    CallContent,
    CallResult,
    ImportOrder,
    KeyCommit,
    KeyDecision,
    KeyRegistration,
    LoadReport,
    PrefillOrder,
    PrefillResult,
    RevokeResult,
)


class RequestArrived(NamedTuple):
    """A caller's request, already checked for form and size by the shell."""

    request: RequestId
    target: TargetName
    organisation: Organisation
    traffic_class: str
    """Empty for the target's default class."""
    key: KeyId | None
    first_sent_ago_s: float
    idempotent: bool | None
    """What the caller states; ``True`` does not outweigh a declared rule."""
    deadline_in_s: float | None
    prompt: str = ""
    prompt_tokens: int = 0
    prefix_blocks: tuple[int, ...] = ()
    max_tokens: int = 0
    call: CallContent | None = None
    """Present for a plain service."""


class CallerDisconnected(NamedTuple):
    """The caller closed its connection or cancelled."""

    request: RequestId


class FrameReceived(NamedTuple):
    """A frame of an attempt's stream."""

    frame: AttemptFrame


class AttemptLinkLost(NamedTuple):
    """The stream of an offer or a call broke before its last frame."""

    attempt: AttemptId
    sent: bool
    """``False`` proves that nothing reached the sidecar."""


class PrefillSettled(NamedTuple):
    """A prefill ended; the shell turns a broken connection into ``FAILED``."""

    result: PrefillResult


class ImportSettled(NamedTuple):
    """The decode sidecar took the import order, or could not be told."""

    attempt: AttemptId
    accepted: bool


class CallSettled(NamedTuple):
    """A plain service's call ended with a result."""

    result: CallResult


class RevokeSettled(NamedTuple):
    """A sidecar answered a revocation, or did not in time."""

    attempt: AttemptId
    result: RevokeResult


class KeySettled(NamedTuple):
    """The key's home answered a registration, or did not in time."""

    request: RequestId
    decision: KeyDecision


class KeyCommitSettled(NamedTuple):
    """The key's home answered a commit; ``None`` when it could not be reached."""

    request: RequestId
    committed: bool | None


class ClaimDecision(NamedTuple):
    """The platform's word on a non-idempotent request.

    Exactly one field is set: ``granted``, or ``outcome`` with the answer to give instead.
    """

    granted: bool
    outcome: Outcome | None = None


class ClaimSettled(NamedTuple):
    """The claim of a non-idempotent request was written, refused or could not be made."""

    request: RequestId
    decision: ClaimDecision


class LoadReported(NamedTuple):
    """A sidecar answered a heartbeat."""

    upstream: UpstreamName
    report: LoadReport


class UpstreamUnreachable(NamedTuple):
    """A heartbeat to a sidecar failed or timed out."""

    upstream: UpstreamName


class LeavingUpstreamsChanged(NamedTuple):
    """The platform's lagging list names these upstreams as leaving; replaces the former list."""

    upstreams: tuple[UpstreamName, ...]


class DeclarationsChanged(NamedTuple):
    """Newer declarations are in force."""

    declarations: Declarations


class DrainStarted(NamedTuple):
    """The entry is to shut down: new requests are answered ``not_run``, held ones finish."""


class Tick(NamedTuple):
    """The time asked for by ``next_wakeup`` has come."""


EntryEvent = (
    RequestArrived
    | CallerDisconnected
    | FrameReceived
    | AttemptLinkLost
    | PrefillSettled
    | ImportSettled
    | CallSettled
    | RevokeSettled
    | KeySettled
    | KeyCommitSettled
    | ClaimSettled
    | LoadReported
    | UpstreamUnreachable
    | LeavingUpstreamsChanged
    | DeclarationsChanged
    | DrainStarted
    | Tick
)


class SendOffer(NamedTuple):
    """Open an attempt's stream at a sidecar. Settled by frames or ``AttemptLinkLost``."""

    upstream: UpstreamName
    offer: AttemptOffer


class SendCall(NamedTuple):
    """Send a plain service's call. Settled by ``CallSettled`` or ``AttemptLinkLost``."""

    upstream: UpstreamName
    offer: AttemptOffer
    call: CallContent


class SendPrefill(NamedTuple):
    """Run a prefill. Settled by ``PrefillSettled``."""

    upstream: UpstreamName
    order: PrefillOrder


class SendImport(NamedTuple):
    """Tell the decode sidecar where the KV cache is. Settled by ``ImportSettled``."""

    upstream: UpstreamName
    order: ImportOrder


class Revoke(NamedTuple):
    """Bar an attempt from starting. Settled by ``RevokeSettled``."""

    upstream: UpstreamName
    attempt: AttemptId


class CloseAttempt(NamedTuple):
    """Close an attempt's stream and cancel its prefill; the sidecar frees what it holds.

    Not settled: later frames of the attempt are dropped by the core.
    """

    upstream: UpstreamName
    attempt: AttemptId


class RegisterKey(NamedTuple):
    """Ask the key's home. Settled by ``KeySettled``."""

    home: UpstreamName
    registration: KeyRegistration


class CommitKey(NamedTuple):
    """Ask leave to complete the answer. Settled by ``KeyCommitSettled``."""

    home: UpstreamName
    commit: KeyCommit


class ReleaseKey(NamedTuple):
    """Tell the key's home that the request did not run or was not answered; not settled."""

    home: UpstreamName
    commit: KeyCommit


class MakeClaim(NamedTuple):
    """Claim a non-idempotent request before it is sent. Settled by ``ClaimSettled``."""

    request: RequestId
    key: KeyId
    attempt: AttemptId
    upstream: UpstreamName
    first_sent_ago_s: float
    deadline_in_s: float = DEFAULT_URGENT_DEADLINE_S
    """Until then a retry that finds the claim is told ``in_progress``, later ``unknown``."""


class EndClaim(NamedTuple):
    """Record a claimed request's outcome in the platform; not settled."""

    request: RequestId
    key: KeyId
    outcome: Outcome


class Relay(NamedTuple):
    """Pass output tokens to the caller; ``offset`` counts from the answer's first token."""

    request: RequestId
    offset: int
    tokens: tuple[str, ...]


class Finish(NamedTuple):
    """End a request. For ``ANSWERED`` the answer is whole; anything else is never closed as such.

    ``call`` carries a plain service's answer.
    """

    request: RequestId
    outcome: Outcome
    reason: str = ""
    retry_after_s: float | None = None
    call: CallResult | None = None


EntryCommand = (
    SendOffer
    | SendCall
    | SendPrefill
    | SendImport
    | Revoke
    | CloseAttempt
    | RegisterKey
    | CommitKey
    | ReleaseKey
    | MakeClaim
    | EndClaim
    | Relay
    | Finish
)
