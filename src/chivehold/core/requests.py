"""State of a caller's request and of its attempts at the entry."""

from enum import StrEnum
from typing import TypedDict

from chivehold.core.declared import TrafficClass
from chivehold.core.entry_messages import RequestArrived
from chivehold.core.identity import (
    AttemptId,
    Organisation,
    RequestId,
    SidecarIncarnation,
    UpstreamName,
    Urgency,
)
from chivehold.core.relay import AnswerRelay
from chivehold.core.targets import Target
from chivehold.core.wire import CallResult, PrefillResult


class Phase(StrEnum):
    """What a request waits for."""

    REGISTERING = "registering"
    """The answer to its registration at its key's home."""
    QUEUED = "queued"
    """Its turn in the queue of patient requests."""
    CLAIMING = "claiming"
    """The platform's decision on its claim."""
    OFFERED = "offered"
    """The grant of a place."""
    PREFILLING = "prefilling"
    """The result of its prefill."""
    DECODING = "decoding"
    """Its output tokens."""
    CALLING = "calling"
    """The answer of a plain service."""
    REVOKING = "revoking"
    """The result of revoking an attempt whose link was lost."""
    COMMITTING = "committing"
    """The result of committing the answer at its key's home."""


class Attempt:
    """One attempt to run a request at one sidecar."""

    def __init__(
        self, attempt: AttemptId, upstream: UpstreamName, incarnation: SidecarIncarnation
    ) -> None:
        self.id = attempt
        self.upstream = upstream
        self.incarnation = incarnation
        self.is_open = False
        """Whether the sidecar has an open offer or call of this attempt."""
        self.prefill_upstream: UpstreamName | None = None
        """The upstream with a pending prefill of this attempt, if any."""
        self.prefill: PrefillResult | None = None
        self.prefill_ended_at = 0.0
        self.prefill_refused_by: set[UpstreamName] = set()

    def has_valid_prefill(self, now: float) -> bool:
        """Return whether the engine that ran the prefill still holds its KV cache."""
        prefill = self.prefill
        return prefill is not None and now - self.prefill_ended_at < prefill.expires_in_s

    def reuse_prefill(self, former: "Attempt") -> None:
        """Use the prefill result of an earlier attempt whose transfer failed."""
        self.prefill = former.prefill
        self.prefill_ended_at = former.prefill_ended_at


class RequestDump(TypedDict):
    """Diagnostic state of one request in progress."""

    target: str
    organisation: str
    traffic_class: str
    phase: str
    age_s: float
    deadline_in_s: float
    attempts: int
    upstream: str
    ran: bool
    relayed: int


class Request:
    """A request in progress, from its arrival to its outcome."""

    def __init__(
        self,
        arrival: RequestArrived,
        target: Target,
        traffic_class: TrafficClass,
        idempotent: bool,
        arrived_at: float,
        sequence: int,
    ) -> None:
        deadline_in_s = arrival.deadline_in_s
        if deadline_in_s is None:
            deadline_in_s = traffic_class.deadline_s
        self.id: RequestId = arrival.request
        self.arrival = arrival
        self.target = target
        self.traffic_class = traffic_class
        self.idempotent = idempotent
        self.arrived_at = arrived_at
        self.sequence = sequence
        self.deadline = arrived_at + deadline_in_s
        self.phase = Phase.REGISTERING
        self.relay = AnswerRelay(hold_last=self.uses_key_home)
        self.attempt: Attempt | None = None
        self.attempts = 0
        self.possible_runs = 0
        """Number of ended attempts and failed prefills that may have run."""
        self.refusals = 0
        self.refused_by: set[UpstreamName] = set()
        self.retry_hint_s = 0.0
        """The longest retry delay in seconds that a refusing sidecar gave."""
        self.home: UpstreamName | None = None
        self.home_may_hold_key = False
        """Whether the key's home may hold a record of this request."""
        self.registered = False
        """Whether the registration at the key's home is settled, successfully or not."""
        self.commit_attempts = 0
        self.claimed = False
        """Whether the platform may hold a claim of this request."""
        self.preemptions = 0
        """How often its stream was preempted by an urgent request."""
        self.stalled: Attempt | None = None
        """An earlier attempt whose transfer stalled and whose KV cache may still be usable."""
        self.claim_granted = False
        self.claim_pending = False
        """Whether the result of a claim is still awaited."""
        self.result: CallResult | None = None

    @property
    def organisation(self) -> Organisation:
        """The organisation that the request is charged to."""
        return self.arrival.organisation

    @property
    def urgency(self) -> Urgency:
        """The urgency of the request's class."""
        return self.traffic_class.urgency

    @property
    def uses_key_home(self) -> bool:
        """Whether the request is idempotent and has a key, which its home then records."""
        return self.arrival.key is not None and self.idempotent

    @property
    def needs_claim(self) -> bool:
        """Whether the request is non-idempotent and has a key, and so must be claimed first."""
        return self.arrival.key is not None and not self.idempotent

    @property
    def attempt_may_have_run(self) -> bool:
        """Whether anything may have run for the current attempt.

        An attempt at a model starts running with its prefill, one at a plain service with its call.
        """
        attempt = self.attempt
        if attempt is None:
            return False
        if self.arrival.call is not None:
            return attempt.is_open
        return attempt.prefill_upstream is not None or attempt.prefill is not None

    @property
    def may_have_run(self) -> bool:
        """Whether anything may have run for the request at any upstream."""
        return self.possible_runs > 0 or self.attempt_may_have_run

    @property
    def prompt(self) -> str:
        """The prompt followed by the relayed output, from which an answer is resumed."""
        return self.arrival.prompt + self.relay.text

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens in ``prompt``."""
        return self.arrival.prompt_tokens + self.relay.relayed

    @property
    def remaining_tokens(self) -> int:
        """Number of output tokens that may still be generated."""
        return self.arrival.max_tokens - self.relay.relayed

    @property
    def has_all_tokens(self) -> bool:
        """Whether the caller's maximum number of output tokens has been received."""
        return 0 < self.arrival.max_tokens <= self.relay.received

    def dump(self, now: float) -> RequestDump:
        """Return the diagnostic state at monotonic time ``now``, in seconds."""
        return RequestDump(
            target=self.target.name,
            organisation=self.organisation,
            traffic_class=self.traffic_class.name,
            phase=self.phase,
            age_s=round(now - self.arrived_at, 3),
            deadline_in_s=round(self.deadline - now, 3),
            attempts=self.attempts,
            upstream=self.attempt.upstream if self.attempt else "",
            ran=self.may_have_run,
            relayed=self.relay.relayed,
        )
