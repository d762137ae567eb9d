"""Simulates one scenario and records the results of its callers' requests."""

from random import Random
from typing import NamedTuple

from chivehold.core import entry_messages as to_entry
from chivehold.core.declared import DEFAULT_BETWEEN_TOKENS_TARGET_S, DEFAULT_FIRST_TOKEN_TARGET_S
from chivehold.core.identity import Organisation, Outcome, RequestId, TargetName, Urgency
from examples.measure.clock import Clock
from examples.measure.entry_node import EntryNode
from examples.measure.network import Network
from examples.measure.scenario import (
    POLICIES,
    RUN_END_S,
    ZONES,
    Fault,
    Scenario,
    arrivals_end_s,
    declarations,
    engine_cost,
    site_of,
)
from examples.measure.sidecar_node import SidecarNode
from examples.measure.workload import Arrival, arrivals

ARRIVALS_START_S = 1.0
"""Seconds before the first request, so that the first heartbeats come before it."""
FAULT_START_S = 15.0
FAULT_END_S = 25.0
STORM_END_S = 20.0
STORM_RETRY_S = 0.2
MAX_TRIES = 50
REPORT_DELAY_S = 2.0
STALL_SHARE = 0.05
SLOW_SPEED = 0.1
ENTRIES = 2
RESEND_DELAY_S = 0.01
ENTRY_RESTART_S = 2.0


class RequestRecord(NamedTuple):
    """The result of one caller's request; points in time are seconds on the virtual clock."""

    arrived_at: float
    organisation: Organisation
    urgent: bool
    output_tokens: int
    first_token_at: float | None
    tokens: int
    ended_at: float | None
    outcome: Outcome | None
    reason: str
    retry_after_s: float | None
    cancelled: bool
    tries: int
    last_try_at: float

    @property
    def first_token_s(self) -> float | None:
        """Seconds from the caller's last try to the first token; None without a token."""
        return None if self.first_token_at is None else self.first_token_at - self.last_try_at

    @property
    def interval_s(self) -> float | None:
        """Mean seconds between output tokens; None if no token came or the request is open."""
        if self.first_token_at is None or self.ended_at is None:
            return None
        return (self.ended_at - self.first_token_at) / max(1, self.output_tokens - 1)

    @property
    def is_answered(self) -> bool:
        """Whether the complete answer arrived."""
        return self.outcome is Outcome.ANSWERED and self.tokens == self.output_tokens

    @property
    def is_good(self) -> bool:
        """Whether the complete answer met its targets.

        They are the time to the first token, for urgent requests only, and the time between
        tokens.
        """
        if not self.is_answered or (self.interval_s or 0.0) > DEFAULT_BETWEEN_TOKENS_TARGET_S:
            return False
        return not self.urgent or (self.first_token_s or 0.0) <= DEFAULT_FIRST_TOKEN_TARGET_S


class Result(NamedTuple):
    """The raw results of a run."""

    scenario: Scenario
    requests: tuple[RequestRecord, ...]
    prefill_work_s: float
    wasted_prefill_s: float
    held_at_end: int
    retries: int
    """Number of tries that ended, without the first try of each request."""
    retries_refused: int


class _RequestState:
    """The state of one caller's request while the simulation runs."""

    __slots__ = (
        "arrival",
        "cancelled",
        "ended_at",
        "entry",
        "first_token_at",
        "last_try_at",
        "outcome",
        "reason",
        "request",
        "retry_after_s",
        "tokens",
        "tries",
    )

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.entry = ""
        self.request = RequestId("")
        self.first_token_at: float | None = None
        self.last_try_at = arrival.arrived_at
        self.tokens = 0
        self.ended_at: float | None = None
        self.outcome: Outcome | None = None
        self.reason = ""
        self.retry_after_s: float | None = None
        self.cancelled = False
        self.tries = 0

    def to_record(self) -> RequestRecord:
        """Return the state as an immutable record."""
        arrival = self.arrival
        return RequestRecord(
            arrived_at=arrival.arrived_at,
            organisation=arrival.organisation,
            urgent=arrival.traffic.urgency is Urgency.URGENT,
            output_tokens=arrival.output_tokens,
            first_token_at=self.first_token_at,
            tokens=self.tokens,
            ended_at=self.ended_at,
            outcome=self.outcome,
            reason=self.reason,
            retry_after_s=self.retry_after_s,
            cancelled=self.cancelled,
            tries=self.tries,
            last_try_at=self.last_try_at,
        )


class Run:
    """Simulates one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._site = site_of(scenario)
        self._policy = POLICIES[scenario.policy]
        self._cost = engine_cost(self._site, scenario.regime)
        self._declared = to_entry.DeclarationsChanged(declarations(self._site, self._cost))
        self.clock = Clock()
        self.network = Network(self.clock, Random(scenario.seed), self)
        self._states: dict[RequestId, _RequestState] = {}
        self._retries = 0
        self._retries_refused = 0
        self._open_requests = 0
        self._sequence = 0
        self._entries_started = 0
        self._set_up()

    def result(self) -> Result:
        """Run until all requests have ended, or to ``RUN_END_S``, and return the results."""
        last_s = arrivals_end_s(self._scenario) + ARRIVALS_START_S
        self.clock.run(RUN_END_S, lambda: self.clock.now > last_s and self._open_requests == 0)
        self.clock.run(self.clock.now + 5.0, lambda: False)
        engines = [node.engine for node in self.network.sidecars.values()]
        work_s = sum(self.network.prefill_work_s.values())
        work_s += sum(engine.abandoned_work_s for engine in engines)
        return Result(
            scenario=self._scenario,
            requests=tuple(state.to_record() for state in dict.fromkeys(self._states.values())),
            prefill_work_s=work_s,
            wasted_prefill_s=work_s - self._useful_prefill_s(),
            held_at_end=sum(len(engine.held) for engine in engines),
            retries=self._retries,
            retries_refused=self._retries_refused,
        )

    def record_tokens(self, request: RequestId, tokens: int) -> None:
        """Record tokens that reached a caller."""
        state = self._states[request]
        if state.first_token_at is None:
            state.first_token_at = self.clock.now
        state.tokens += tokens

    def record_finish(self, command: to_entry.Finish) -> None:
        """Record the end of a request; a refused caller may retry."""
        state = self._states[command.request]
        if state.tries > 1:
            self._retries += 1
            self._retries_refused += command.outcome is Outcome.NOT_RUN
        state.outcome = command.outcome
        state.reason = command.reason
        state.retry_after_s = command.retry_after_s
        state.ended_at = self.clock.now
        self._open_requests -= 1
        if command.outcome is Outcome.NOT_RUN and self._is_retried(state):
            storm = self._scenario.fault is Fault.RETRY_STORM
            wait_s = STORM_RETRY_S if storm else command.retry_after_s or STORM_RETRY_S
            self._open_requests += 1
            self.clock.call_after(wait_s, self._send, state)

    def _useful_prefill_s(self) -> float:
        received = {state.request for state in self._states.values() if _was_received(state)}
        return sum(
            seconds
            for attempt, seconds in self.network.prefill_work_s.items()
            if attempt.request in received
            and self.network.useful_prefills.get(attempt.request) == attempt
        )

    def _is_retried(self, state: _RequestState) -> bool:
        if state.tries >= MAX_TRIES:
            return False
        return self._scenario.fault in (Fault.RETRY_STORM, Fault.RETRY_AFTER, Fault.BURST_RETURN)

    def _set_up(self) -> None:
        declared = self._declared.declarations.deployments[0]
        for upstream in (*declared.prefill, *declared.decode):
            node = SidecarNode(self.network, upstream, self._cost, self._policy)
            self.network.sidecars[upstream.name] = node
        for index in range(ENTRIES):
            self._start_entry(index)
        for arrival in arrivals(self._scenario):
            self.clock.call_at(arrival.arrived_at + ARRIVALS_START_S, self._arrive, arrival)
        self._plan_fault()

    def _start_entry(self, index: int) -> EntryNode:
        self._entries_started += 1
        seed = self._scenario.seed * 100 + self._entries_started
        zone = ZONES[index % len(ZONES)]
        node = EntryNode(
            self.network, f"e{index}.{self._entries_started}", zone, self._policy, seed
        )
        node.start(self._declared)
        return node

    def _arrive(self, arrival: Arrival) -> None:
        state = _RequestState(arrival._replace(arrived_at=self.clock.now))
        self._open_requests += 1
        self._send(state)
        if arrival.cancel_after_s is not None:
            self.clock.call_after(arrival.cancel_after_s, self._cancel, state)

    def _send(self, state: _RequestState) -> None:
        arrival = state.arrival
        self._sequence += 1
        entries = sorted(self.network.entries)
        entry = self.network.entries[entries[self._sequence % len(entries)]]
        request = RequestId(f"{entry.incarnation}-{self._sequence}")
        state.entry = str(entry.incarnation)
        state.request = request
        state.tries += 1
        state.last_try_at = self.clock.now
        state.outcome = None
        state.first_token_at = None
        state.tokens = 0
        self._states[request] = state
        self.network.output_tokens[request] = arrival.output_tokens
        entry.feed(
            to_entry.RequestArrived(
                request=request,
                target=TargetName(self._site.name),
                organisation=arrival.organisation,
                traffic_class=arrival.traffic.name,
                key=None,
                first_sent_ago_s=0.0,
                idempotent=None,
                deadline_in_s=None,
                prompt="p",
                prompt_tokens=arrival.prompt_tokens,
                prefix_blocks=arrival.prefix_blocks,
                max_tokens=arrival.max_tokens,
            )
        )

    def _cancel(self, state: _RequestState) -> None:
        if state.outcome is not None:
            return
        state.cancelled = True
        state.ended_at = self.clock.now
        self._open_requests -= 1
        node = self.network.entries.get(state.entry)
        if node is not None:
            node.feed(to_entry.CallerDisconnected(state.request))

    def _plan_fault(self) -> None:
        fault = self._scenario.fault
        first = next(name for name in self.network.sidecars if "decode" in name)
        node = self.network.sidecars[first]
        if fault is Fault.ENGINE_KILLED:
            self._outage((node,), FAULT_END_S)
        if fault is Fault.ENGINE_SLOW:
            self.network.tokens_each_poll = True
            self.clock.call_at(FAULT_START_S, node.set_speed, SLOW_SPEED)
            self.clock.call_at(FAULT_END_S, node.set_speed, 1.0)
        if fault is Fault.TRANSFERS_STALL:
            self.network.stall_share = STALL_SHARE
        if fault is Fault.REPORTS_LATE:
            self.network.report_delay_s = REPORT_DELAY_S
        if fault is Fault.CACHE_EVENTS_LOST:
            self.network.cache_events = False
        if fault is Fault.ENTRY_REPLACED:
            self.clock.call_at(FAULT_START_S, self._replace_entry)
        if fault is Fault.ZONE_LOST:
            lost = [name for name in self.network.sidecars if name.endswith("-0")]
            self._outage(tuple(self.network.sidecars[name] for name in lost), FAULT_END_S)
        if fault in (Fault.RETRY_STORM, Fault.RETRY_AFTER):
            self._outage(tuple(self.network.sidecars.values()), STORM_END_S)

    def _outage(self, nodes: tuple[SidecarNode, ...], until: float) -> None:
        for node in nodes:
            self.clock.call_at(FAULT_START_S, node.set_alive, False)
            self.clock.call_at(until, node.set_alive, True)

    def _replace_entry(self) -> None:
        entry = self.network.entries[sorted(self.network.entries)[0]]
        entry.kill()
        for state in dict.fromkeys(self._states.values()):
            if state.entry == entry.incarnation and state.ended_at is None:
                state.reason = "entry gone"
                self.clock.call_after(RESEND_DELAY_S, self._send, state)
        self.clock.call_after(ENTRY_RESTART_S, self._start_entry, 0)


def _was_received(state: _RequestState) -> bool:
    if state.cancelled:
        return state.tokens > 0
    return state.outcome is Outcome.ANSWERED
