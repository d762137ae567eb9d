"""What a history consists of: operations and events seen by callers, upstreams and nodes.

All times are Unix times in seconds; the clocks of the observers must agree to well within a
second.
"""

from enum import StrEnum
from typing import NamedTuple

from chivehold.core.identity import AttemptId, Outcome, RequestId, TargetName, UpstreamName


class CallEnd(StrEnum):
    """How a caller's request ended, as its caller saw it."""

    WHOLE = "whole"
    """An answer that looked whole."""
    ERROR = "error"
    """A typed error; ``Call.outcome`` says which."""
    BROKEN = "broken"
    """The connection broke before an answer or within one."""
    NOT_SENT = "not_sent"
    """No connection was accepted."""
    CALLER_LEFT = "left"
    """The caller left before the answer's end."""


class Call(NamedTuple):
    """A caller's request: invoked, and completed where ``end`` is set."""

    target: TargetName
    invoked_at_s: float
    entry: str = ""
    """The name of the entry that the caller spoke to."""
    key: str = ""
    idempotent: bool = True
    request: RequestId = RequestId("")
    """As the entry named it; empty where the caller never learned it."""
    prompt: str | None = None
    """For a model; ``None`` for a plain service's call."""
    max_tokens: int = 0
    path: str = ""
    """For a plain service's call."""
    body_digest: str = ""
    end: CallEnd | None = None
    outcome: Outcome | None = None
    text: str = ""
    """Output received, whole or not, or a service's answer."""
    completed_at_s: float | None = None

    @property
    def is_answered(self) -> bool:
        """Whether the caller holds an answer that it takes for whole."""
        return self.end is CallEnd.WHOLE


class UpstreamEventKind(StrEnum):
    """Events at an upstream, as the stand-ins name them."""

    PREFILL_STARTED = "prefill_started"
    PREFILL_ENDED = "prefill_ended"
    DECODE_STARTED = "decode_started"
    DECODE_ENDED = "decode_ended"
    KV_EXPIRED = "kv_expired"
    CANCELLED = "cancelled"
    CALL_STARTED = "started"
    CALL_ENDED = "ended"
    LOST = "lost"
    """The upstream died and holds nothing any more; has no attempt."""


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
    """The idempotency key as a plain service saw it."""
    prompt_digest: str = ""
    """Of the prompt that a prefill engine was given."""


class SidecarOutage(NamedTuple):
    """A time in which an upstream's sidecar was dead or stopped."""

    upstream: UpstreamName
    from_s: float
    until_s: float


class LeavingStarted(NamedTuple):
    """An upstream has begun to leave."""

    upstream: UpstreamName
    at_s: float


class Shutdown(NamedTuple):
    """A graceful shutdown of one process."""

    process: str
    began_at_s: float
    ended_at_s: float | None
    """``None`` where the process did not end by itself."""
    exit_code: int | None
    is_entry: bool
    """An entry owes only its own callers whole answers, a sidecar all of them."""


class AcceptedChange(NamedTuple):
    """An operator was told that a change was accepted."""

    revision: int
    at_s: float


class RevisionSample(NamedTuple):
    """The declarations in force at a node at a time; revision 0 for none."""

    node: str
    run: str
    """The node's incarnation."""
    revision: int
    at_s: float


class EngineHoldings(NamedTuple):
    """What an engine said that it holds, at the end of a run."""

    upstream: UpstreamName
    attempts: tuple[AttemptId, ...]


class History(NamedTuple):
    """A whole run, as its observers saw it."""

    calls: tuple[Call, ...] = ()
    upstream_events: tuple[UpstreamEvent, ...] = ()
    sidecar_outages: tuple[SidecarOutage, ...] = ()
    leaving: tuple[LeavingStarted, ...] = ()
    shutdowns: tuple[Shutdown, ...] = ()
    accepted_changes: tuple[AcceptedChange, ...] = ()
    revision_samples: tuple[RevisionSample, ...] = ()
    engine_holdings: tuple[EngineHoldings, ...] = ()


class Violation(NamedTuple):
    """Something in a history that must not be."""

    promise: str
    """The name of the checker that found it."""
    subject: str
    """The key, request, upstream or node concerned."""
    detail: str
