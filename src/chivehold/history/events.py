"""The records of a history: calls, and events observed at upstreams and nodes.

All times are Unix times in seconds. The clocks of the observers must agree to well within a
second.
"""

from enum import StrEnum
from typing import NamedTuple

from chivehold.core.identity import AttemptId, Outcome, RequestId, TargetName, UpstreamName


class CallEnd(StrEnum):
    """How a call ended from its caller's point of view."""

    WHOLE = "whole"
    """The caller received an answer that looked complete."""
    ERROR = "error"
    """The caller received a typed error; ``Call.outcome`` holds its outcome."""
    BROKEN = "broken"
    """The connection broke before or during the answer."""
    NOT_SENT = "not_sent"
    """No connection was accepted, so nothing was sent."""
    CALLER_LEFT = "left"
    """The caller disconnected before the answer ended."""


class Call(NamedTuple):
    """A caller's request; it is still open while ``end`` is ``None``."""

    target: TargetName
    invoked_at_s: float
    entry: str = ""
    """The name of the entry that the caller connected to."""
    key: str = ""
    idempotent: bool = True
    request: RequestId = RequestId("")
    """The id that the entry assigned; empty if the caller never received it."""
    prompt: str | None = None
    """The prompt of a model's call; ``None`` for a plain service's call."""
    max_tokens: int = 0
    path: str = ""
    """The path of a plain service's call."""
    body_digest: str = ""
    end: CallEnd | None = None
    outcome: Outcome | None = None
    text: str = ""
    """The model output received, complete or not, or the answer of a plain service."""
    completed_at_s: float | None = None

    @property
    def is_answered(self) -> bool:
        """Whether the caller received an answer that looked complete."""
        return self.end is CallEnd.WHOLE


class UpstreamEventKind(StrEnum):
    """Kinds of events at an upstream, with the names that the stand-ins use."""

    PREFILL_STARTED = "prefill_started"
    PREFILL_ENDED = "prefill_ended"
    DECODE_STARTED = "decode_started"
    DECODE_ENDED = "decode_ended"
    KV_EXPIRED = "kv_expired"
    CANCELLED = "cancelled"
    CALL_STARTED = "started"
    CALL_ENDED = "ended"
    LOST = "lost"
    """The upstream died and lost all its work; the event has no attempt."""


START_KINDS = frozenset(
    {
        UpstreamEventKind.PREFILL_STARTED,
        UpstreamEventKind.DECODE_STARTED,
        UpstreamEventKind.CALL_STARTED,
    }
)


class UpstreamEvent(NamedTuple):
    """An event at an upstream."""

    upstream: UpstreamName
    kind: UpstreamEventKind
    at_s: float
    attempt: AttemptId | None = None
    key: str = ""
    """The idempotency key that a plain service received."""
    prompt_digest: str = ""
    """The digest of the prompt that a prefill engine received."""


class SidecarOutage(NamedTuple):
    """A period in which an upstream's sidecar was dead or stopped."""

    upstream: UpstreamName
    from_s: float
    until_s: float


class LeavingStarted(NamedTuple):
    """An upstream started to leave."""

    upstream: UpstreamName
    at_s: float


class Shutdown(NamedTuple):
    """A graceful shutdown of one process."""

    process: str
    began_at_s: float
    ended_at_s: float | None
    """``None`` if the process did not exit by itself."""
    exit_code: int | None
    is_entry: bool
    """Whether the process is an entry, which must complete only the calls of its own callers.

    A sidecar must let all calls complete.
    """


class AcceptedChange(NamedTuple):
    """A change of declarations that was reported to an operator as accepted."""

    revision: int
    at_s: float


class RevisionSample(NamedTuple):
    """The revision of the declarations in force at a node at a time; 0 for none."""

    node: str
    """The node, and who observed it if that was another one."""
    run: str
    """The incarnation of the node."""
    revision: int
    at_s: float
    """When the node was asked; it may have answered later."""


class EngineHoldings(NamedTuple):
    """The attempts that an engine reported as held at the end of a run."""

    upstream: UpstreamName
    attempts: tuple[AttemptId, ...]


class History(NamedTuple):
    """All observations of a run."""

    calls: tuple[Call, ...] = ()
    upstream_events: tuple[UpstreamEvent, ...] = ()
    sidecar_outages: tuple[SidecarOutage, ...] = ()
    leaving: tuple[LeavingStarted, ...] = ()
    shutdowns: tuple[Shutdown, ...] = ()
    accepted_changes: tuple[AcceptedChange, ...] = ()
    revision_samples: tuple[RevisionSample, ...] = ()
    engine_holdings: tuple[EngineHoldings, ...] = ()


class Violation(NamedTuple):
    """A broken promise that a checker found in a history."""

    promise: str
    """The name of the promise, such as ``run_once``."""
    subject: str
    """The key, request, upstream or node concerned."""
    detail: str
