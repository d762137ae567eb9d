"""A caller's request and its attempts as the entry keeps them."""

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
    """The answer of its key's home."""
    QUEUED = "queued"
    """Its turn among the patient requests."""
    CLAIMING = "claiming"
    """The platform's word on its claim."""
    OFFERED = "offered"
    """The grant of a place."""
    PREFILLING = "prefilling"
    """The end of its prefill."""
    DECODING = "decoding"
    """Its output tokens."""
    CALLING = "calling"
    """The answer of a plain service."""
    REVOKING = "revoking"
    """A sidecar's word on an attempt whose link broke."""
    COMMITTING = "committing"
    """The home's leave to complete the answer."""


class Attempt:
    """One try of a request at one sidecar, with what may have run for it."""

    def __init__(
        self, attempt: AttemptId, upstream: UpstreamName, incarnation: SidecarIncarnation
    ) -> None:
        self.id = attempt
        self.upstream = upstream
        self.incarnation = incarnation
        self.is_open = False
        """An offer or a call is out at the sidecar."""
        self.prefill_upstream: UpstreamName | None = None
        """Where a prefill is out."""
        self.prefill: PrefillResult | None = None
        self.prefill_ended_at = 0.0
        self.prefill_refused_by: set[UpstreamName] = set()

    def has_valid_prefill(self, now: float) -> bool:
        """Tell whether the attempt's KV cache is still at the engine that made it."""
        prefill = self.prefill
        return prefill is not None and now - self.prefill_ended_at < prefill.expires_in_s

    def reuse_prefill(self, former: "Attempt") -> None:
        """Go on from the prefill of an attempt whose transfer failed."""
        self.prefill = former.prefill
        self.prefill_ended_at = former.prefill_ended_at


class RequestDump(TypedDict):
    """One request in progress."""

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
    """A request in progress."""

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
        """Attempts that may have run."""
        self.refusals = 0
        self.refused_by: set[UpstreamName] = set()
        self.retry_hint_s = 0.0
        """The longest time that a refusing sidecar named."""
        self.home: UpstreamName | None = None
        self.home_may_hold_key = False
        """The key's home may hold a record of this request."""
        self.registered = False
        """The key's home has answered the registration, or could not."""
        self.commit_attempts = 0
        self.claimed = False
        """The platform may hold a claim of this request."""
        self.preemptions = 0
        """How often its stream gave way to an urgent request."""
        self.stalled: Attempt | None = None
        """An attempt whose transfer stalled; its KV cache may still be used."""
        self.claim_granted = False
        self.claim_pending = False
        """A claim is being written."""
        self.result: CallResult | None = None

    @property
    def organisation(self) -> Organisation:
        """The customer by whom shares are kept."""
        return self.arrival.organisation

    @property
    def urgency(self) -> Urgency:
        """The urgency of the request's class."""
        return self.traffic_class.urgency

    @property
    def uses_key_home(self) -> bool:
        """Whether a key's home keeps a record of it; else a claim does, or nothing."""
        return self.arrival.key is not None and self.idempotent

    @property
    def needs_claim(self) -> bool:
        """Whether it must be claimed in the platform before it is sent."""
        return self.arrival.key is not None and not self.idempotent

    @property
    def attempt_may_have_run(self) -> bool:
        """Whether anything may have run for the present attempt.

        A model's attempt starts with its prefill, a plain service's with its call.
        """
        attempt = self.attempt
        if attempt is None:
            return False
        if self.arrival.call is not None:
            return attempt.is_open
        return attempt.prefill_upstream is not None or attempt.prefill is not None

    @property
    def may_have_run(self) -> bool:
        """Whether anything may have run for it at an upstream."""
        return self.possible_runs > 0 or self.attempt_may_have_run

    @property
    def prompt(self) -> str:
        """The prompt with the output already passed on, from which an answer is resumed."""
        return self.arrival.prompt + self.relay.text

    @property
    def prompt_tokens(self) -> int:
        """The tokens of ``prompt``."""
        return self.arrival.prompt_tokens + self.relay.relayed

    @property
    def remaining_tokens(self) -> int:
        """Output tokens that may still be produced."""
        return self.arrival.max_tokens - self.relay.relayed

    @property
    def has_all_tokens(self) -> bool:
        """Whether as many output tokens were received as the caller allows."""
        return 0 < self.arrival.max_tokens <= self.relay.received

    def dump(self, now: float) -> RequestDump:
        """Return the state for an operator."""
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
