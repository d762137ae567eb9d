"""Events and commands of the entry's core.

Every command names the request or the attempt it belongs to. For each command that expects an
answer from a peer, the driver feeds back exactly one event that settles it, even if the peer does
not answer. A key's home is the upstream whose sidecar stores the record of the idempotency key.
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
    """A caller's request, whose form and size the driver has already checked."""

    request: RequestId
    target: TargetName
    organisation: Organisation
    traffic_class: str
    """Empty for the target's default class."""
    key: KeyId | None
    first_sent_ago_s: float
    idempotent: bool | None
    """What the caller states; ``True`` does not override a declared rule."""
    deadline_in_s: float | None
    prompt: str = ""
    prompt_tokens: int = 0
    prefix_blocks: tuple[int, ...] = ()
    max_tokens: int = 0
    call: CallContent | None = None
    """The call, for requests to a plain service."""


class CallerDisconnected(NamedTuple):
    """The caller closed its connection or cancelled the request."""

    request: RequestId


class FrameReceived(NamedTuple):
    """A frame of an attempt's stream arrived."""

    frame: AttemptFrame


class AttemptLinkLost(NamedTuple):
    """The connection of an offer or a call was lost before its last frame."""

    attempt: AttemptId
    sent: bool
    """``False`` means that certainly nothing reached the sidecar."""


class PrefillSettled(NamedTuple):
    """A prefill ended; the driver reports a lost connection as ``FAILED``."""

    result: PrefillResult


class ImportSettled(NamedTuple):
    """The decode sidecar answered the import order, or it could not be delivered."""

    attempt: AttemptId
    accepted: bool


class CallSettled(NamedTuple):
    """A plain service's call ended with a result."""

    result: CallResult


class RevokeSettled(NamedTuple):
    """A sidecar answered a revocation, or did not answer in time."""

    attempt: AttemptId
    result: RevokeResult


class KeySettled(NamedTuple):
    """The key's home answered a registration, or did not answer in time."""

    request: RequestId
    decision: KeyDecision


class KeyCommitSettled(NamedTuple):
    """The key's home answered a commit; ``None`` if it was unreachable."""

    request: RequestId
    committed: bool | None


class ClaimDecision(NamedTuple):
    """Whether a non-idempotent request may be sent.

    Exactly one field is set: ``granted``, or the ``outcome`` with which the request ends instead.
    """

    granted: bool
    outcome: Outcome | None = None


class ClaimSettled(NamedTuple):
    """The claim of a non-idempotent request was written or refused, or writing it failed."""

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
    """The platform's complete list of leaving upstreams; it lags behind their own state."""

    upstreams: tuple[UpstreamName, ...]


class DeclarationsChanged(NamedTuple):
    """Newer declarations are in force."""

    declarations: Declarations


class DrainStarted(NamedTuple):
    """The entry shuts down: new requests end as ``not_run``, those in progress finish."""


class Tick(NamedTuple):
    """The time returned by ``next_wakeup`` was reached."""


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
    """Send a prefill to a prefill sidecar. Settled by ``PrefillSettled``."""

    upstream: UpstreamName
    order: PrefillOrder


class SendImport(NamedTuple):
    """Send the location of the KV cache to the decode sidecar. Settled by ``ImportSettled``."""

    upstream: UpstreamName
    order: ImportOrder


class Revoke(NamedTuple):
    """Revoke an attempt, so that it cannot start. Settled by ``RevokeSettled``."""

    upstream: UpstreamName
    attempt: AttemptId


class CloseAttempt(NamedTuple):
    """Close an attempt's stream and cancel its prefill; the sidecar frees what it holds.

    Not settled: later frames of the attempt are dropped by the core.
    """

    upstream: UpstreamName
    attempt: AttemptId


class RegisterKey(NamedTuple):
    """Register a request at its key's home. Settled by ``KeySettled``."""

    home: UpstreamName
    registration: KeyRegistration


class CommitKey(NamedTuple):
    """Ask the key's home to commit the answer, before it is completed for the caller.

    Settled by ``KeyCommitSettled``.
    """

    home: UpstreamName
    commit: KeyCommit


class ReleaseKey(NamedTuple):
    """Tell the key's home that the request ended without an answer; not settled."""

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
    """Until then a retry that finds the claim ends as ``in_progress``, later as ``unknown``."""


class EndClaim(NamedTuple):
    """Record the outcome of a claimed request in the platform; not settled."""

    request: RequestId
    key: KeyId
    outcome: Outcome


class Relay(NamedTuple):
    """Relay output tokens to the caller; ``offset`` counts from the answer's first token."""

    request: RequestId
    offset: int
    tokens: tuple[str, ...]


class Finish(NamedTuple):
    """End a request. Only for ``ANSWERED`` is the caller's stream closed as a complete answer.

    ``call`` contains a plain service's answer.
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
