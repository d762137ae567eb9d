"""Random histories of the entry's core with sidecars that can fail in any way at any time."""

import json
from collections.abc import Callable, Iterator
from functools import partial
from random import Random
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from chivehold.core.entry_messages import (
    AttemptLinkLost,
    CallerDisconnected,
    CallSettled,
    ClaimDecision,
    ClaimSettled,
    CloseAttempt,
    CommitKey,
    DrainStarted,
    EndClaim,
    EntryEvent,
    Finish,
    ImportSettled,
    KeyCommitSettled,
    KeySettled,
    LeavingUpstreamsChanged,
    LoadReported,
    MakeClaim,
    PrefillSettled,
    RegisterKey,
    Relay,
    ReleaseKey,
    RequestArrived,
    Revoke,
    RevokeSettled,
    SendCall,
    SendImport,
    SendOffer,
    SendPrefill,
    Tick,
    UpstreamUnreachable,
)
from chivehold.core.identity import AttemptId, Outcome, RequestId, UpstreamName
from chivehold.core.policy import Policy
from chivehold.core.wire import (
    CallResult,
    FrameKind,
    KeyDecision,
    PrefillKind,
    PrefillResult,
    Reason,
    RevokeResult,
    UpstreamState,
)
from tests.core.entry_driver import (
    CALL,
    READ,
    REPORT,
    UPSTREAMS,
    Driver,
    frame,
    key,
    model,
    refused,
    service,
)

MAX_TOKENS = 6
CLASS_NAMES = ("hook", "review")
MODELS = [
    model(traffic_class=name, idempotent=idempotent, key=key_id, max_tokens=MAX_TOKENS)
    for name in CLASS_NAMES
    for idempotent in (None, False)
    for key_id in (None, key())
]
SERVICES = [
    service(traffic_class=name, idempotent=call is READ, call=call, key=key_id)
    for name in CLASS_NAMES
    for call in (READ, CALL)
    for key_id in (None, key())
]
ARRIVALS = st.tuples(st.sampled_from(MODELS + MODELS + SERVICES), st.integers(0, MAX_TOKENS))


class SimulatedAttempt:
    """The actual state of one attempt at its sidecars, which the entry may not know."""

    def __init__(self, upstream: UpstreamName | None, is_call: bool, first_offset: int) -> None:
        self.upstream = upstream
        self.is_call = is_call
        self.open = upstream is not None
        self.granted = False
        self.imported = False
        self.ran = False
        self.ran_before = False
        self.prefill_at: UpstreamName | None = None
        self.produced = first_offset
        self.revoking = False


class Caller:
    """A request from its caller's point of view."""

    def __init__(self, arrival: RequestArrived, total: int) -> None:
        self.arrival = arrival
        self.answer = [f"{arrival.request}:{index};" for index in range(total)]
        self.relayed: list[str] = []
        self.outcome: Outcome | None = None
        self.disconnected = False
        self.committed = False
        self.claims: list[tuple[AttemptId, UpstreamName]] = []
        self.claim_granted = False
        self.claim_ended = False
        self.holds_key = False

    @property
    def ended(self) -> bool:
        return self.disconnected or self.outcome is not None


def awaits_grant(simulated: SimulatedAttempt) -> bool:
    return has_link(simulated) and not simulated.granted and not simulated.is_call


def is_prefilling(simulated: SimulatedAttempt) -> bool:
    return simulated.prefill_at is not None


def is_decoding(simulated: SimulatedAttempt) -> bool:
    return has_link(simulated) and simulated.imported


def is_calling(simulated: SimulatedAttempt) -> bool:
    return has_link(simulated) and simulated.is_call


def has_link(simulated: SimulatedAttempt) -> bool:
    return simulated.open and not simulated.revoking


def is_closed(simulated: SimulatedAttempt) -> bool:
    return not simulated.open


def is_revoking(simulated: SimulatedAttempt) -> bool:
    return simulated.revoking


def when(predicate: Callable[[SimulatedAttempt], bool]) -> Any:
    """Enable a rule while the predicate holds for any attempt."""
    return precondition(
        lambda self: any(predicate(simulated) for simulated in self.simulated_attempts.values())
    )


class EntryHistories(RuleBasedStateMachine):
    """Interleaves the events of an entry and checks the promises to callers."""

    @initialize(reserve=st.booleans(), budget=st.sampled_from((0.0, 1.0)))
    def start(self, reserve: bool, budget: float) -> None:
        policy = Policy(reserve_before_prefill=reserve, retry_budget=budget, patient_offers_most=2)
        self.driver = Driver(policy)
        self.callers: dict[RequestId, Caller] = {}
        self.simulated_attempts: dict[AttemptId, SimulatedAttempt] = {}
        self.pending: list[Any] = []
        self.listed_leaving: set[UpstreamName] = set()
        self.unusable: set[UpstreamName] = set()

    # Commands of the entry

    def feed(self, event: EntryEvent) -> None:
        for command in self.driver.feed(event):
            checks: dict[type, Callable[[Any], None]] = {
                SendOffer: self.sent, SendCall: self.sent, SendPrefill: self.prefill_sent,
                SendImport: self.import_sent, CloseAttempt: self.closed, Relay: self.relayed,
                Finish: self.finished, MakeClaim: self.claim_made, Revoke: self.revoked,
                EndClaim: self.claim_ended,
            }  # fmt: skip
            if isinstance(command, RegisterKey | CommitKey):
                self.pending.append(command)
            elif isinstance(command, ReleaseKey):
                self.callers[command.commit.request].holds_key = False
            else:
                checks[type(command)](command)

    def may_start(self, attempt: AttemptId, is_prefill: bool) -> Caller:
        caller = self.callers[attempt.request]
        assert not caller.ended
        if caller.arrival.idempotent is False:
            ran = {
                name
                for name, simulated in self.simulated_attempts.items()
                if name.request == attempt.request and simulated.ran
            }
            assert ran <= (
                set() if is_prefill else {attempt}
            ), "sent again although it may have run"
        return caller

    def sent(self, command: SendOffer | SendCall) -> None:
        offer, upstream = command.offer, command.upstream
        caller = self.may_start(offer.attempt, is_prefill=False)
        assert upstream not in self.listed_leaving | self.unusable
        earlier = self.simulated_attempts.get(offer.attempt)
        assert earlier is None or earlier.upstream is None, "an attempt is sent once"
        assert offer.first_offset == len(caller.relayed)
        if caller.arrival.key is not None and caller.arrival.idempotent is False:
            assert caller.claim_granted
            assert caller.claims[-1] == (offer.attempt, upstream)
        simulated = SimulatedAttempt(upstream, isinstance(command, SendCall), offer.first_offset)
        if earlier is not None:
            simulated.ran = earlier.ran
        simulated.ran |= simulated.is_call
        self.simulated_attempts[offer.attempt] = simulated

    def prefill_sent(self, command: SendPrefill) -> None:
        caller = self.may_start(command.order.attempt, is_prefill=True)
        assert command.upstream not in self.listed_leaving | self.unusable
        assert command.order.prompt == "p" + "".join(caller.relayed)
        simulated = self.simulated_attempts.setdefault(
            command.order.attempt, SimulatedAttempt(None, False, len(caller.relayed))
        )
        assert simulated.prefill_at is None
        simulated.prefill_at = command.upstream
        simulated.ran_before = simulated.ran
        simulated.ran = True

    def import_sent(self, command: SendImport) -> None:
        simulated = self.simulated_attempts[command.order.attempt]
        assert simulated.granted
        assert not simulated.imported
        simulated.imported = True
        self.pending.append(command)

    def closed(self, command: CloseAttempt) -> None:
        simulated = self.simulated_attempts[command.attempt]
        assert command.upstream in (simulated.upstream, simulated.prefill_at)
        if command.upstream == simulated.upstream:
            simulated.open = False
        else:
            simulated.prefill_at = None

    def relayed(self, command: Relay) -> None:
        caller = self.callers[command.request]
        assert not caller.ended
        assert command.offset == len(caller.relayed)
        caller.relayed.extend(command.tokens)
        assert caller.relayed == caller.answer[: len(caller.relayed)], "another request's tokens"
        if caller.arrival.key is not None and caller.arrival.idempotent is not False:
            assert caller.committed or len(caller.relayed) < len(caller.answer)

    def finished(self, command: Finish) -> None:
        caller = self.callers[command.request]
        assert not caller.ended, "a second outcome"
        caller.outcome = command.outcome
        self.check_everything_released(command.request)
        simulated_attempts = [
            simulated
            for name, simulated in self.simulated_attempts.items()
            if name.request == command.request
        ]
        assert (command.retry_after_s is not None) is (command.outcome is Outcome.NOT_RUN)
        if command.outcome is Outcome.NOT_RUN:
            assert not any(simulated.ran for simulated in simulated_attempts)
        if command.outcome is not Outcome.ANSWERED:
            return
        if caller.arrival.call is None:
            assert caller.relayed == caller.answer
        else:
            assert command.call is not None
            assert command.call.body == command.request.encode()
        if caller.arrival.key is not None and caller.arrival.idempotent is not False:
            assert caller.committed

    def check_everything_released(self, request: RequestId) -> None:
        simulated_attempts = [
            simulated
            for name, simulated in self.simulated_attempts.items()
            if name.request == request
        ]
        assert not any(
            simulated.open or simulated.prefill_at for simulated in simulated_attempts
        ), "an open attempt still holds memory"

    def claim_made(self, command: MakeClaim) -> None:
        caller = self.callers[command.request]
        caller.claims.append((command.attempt, command.upstream))
        caller.claim_granted = False
        self.pending.append(command)

    def claim_ended(self, command: EndClaim) -> None:
        caller = self.callers[command.request]
        assert caller.claims
        assert not caller.claim_ended
        caller.claim_ended = True

    def revoked(self, command: Revoke) -> None:
        self.simulated_attempts[command.attempt].revoking = True

    # Actions of callers

    @rule(arrivals=st.lists(ARRIVALS, min_size=1, max_size=5))
    def arrive(self, arrivals) -> None:
        for arrival, total in arrivals:
            name = RequestId(f"r{len(self.callers)}")
            self.callers[name] = Caller(arrival._replace(request=name), total)
            self.feed(self.callers[name].arrival)

    @precondition(lambda self: any(not caller.ended for caller in self.callers.values()))
    @rule(data=st.data())
    def depart(self, data) -> None:
        waiting = [name for name, caller in self.callers.items() if not caller.ended]
        name = data.draw(st.sampled_from(waiting))
        self.callers[name].disconnected = True
        self.feed(CallerDisconnected(name))
        self.check_everything_released(name)

    # Answers of sidecars, homes and the platform

    @rule(count=st.integers(1, 40), seed=st.integers(0, 99))
    def work(self, count, seed) -> None:
        """Pending work succeeds, in any order."""
        random = Random(seed)
        for _ in range(count):
            steps = list(self.good_steps())
            if steps:
                random.choice(steps)()

    def good_steps(self) -> Iterator[Callable[[], None]]:
        for index in range(len(self.pending)):
            yield partial(self.settle, index, True)
        for name, simulated in list(self.simulated_attempts.items()):
            if is_prefilling(simulated):
                yield partial(self.end_prefill, name, simulated, PrefillKind.DONE)
            if is_calling(simulated):
                yield partial(self.answer_call, name, simulated, None)
            elif awaits_grant(simulated):
                yield partial(self.grant, name, simulated)
            elif is_decoding(simulated):
                whole = simulated.produced >= len(self.callers[name.request].answer)
                yield partial(self.decode, name, simulated, "end" if whole else "next")

    def settle(self, index: int, good: bool, other: int = 0) -> None:
        command = self.pending.pop(index)
        match command:
            case RegisterKey():
                decision = KeyDecision.FRESH if good else list(KeyDecision)[other % 5]
                self.callers[command.registration.request].holds_key = decision is KeyDecision.FRESH
                self.feed(KeySettled(command.registration.request, decision))
            case CommitKey():
                name = command.commit.request
                committed = good or (None, False)[other % 2]
                self.callers[name].committed |= good
                self.callers[name].holds_key &= committed is None
                self.feed(KeyCommitSettled(name, committed))
            case MakeClaim():
                outcome = None if good else (Outcome.NOT_RUN, Outcome.IN_PROGRESS)[other % 2]
                self.callers[command.request].claim_granted = good
                self.feed(ClaimSettled(command.request, ClaimDecision(good, outcome)))
            case SendImport():
                self.feed(ImportSettled(command.order.attempt, good))

    def grant(self, name: AttemptId, simulated: SimulatedAttempt) -> None:
        simulated.granted = True
        self.feed(frame(FrameKind.GRANTED, name))

    def end_prefill(self, name: AttemptId, simulated: SimulatedAttempt, kind: PrefillKind) -> None:
        simulated.prefill_at = None
        simulated.ran = kind is not PrefillKind.REFUSED or simulated.ran_before
        self.feed(PrefillSettled(PrefillResult(kind, name, "h", "engine", 10, 0.8)))

    def answer_call(
        self, name: AttemptId, simulated: SimulatedAttempt, started: bool | None
    ) -> None:
        simulated.open = False
        if started is None:
            self.feed(CallSettled(CallResult(name, 200, body=name.request.encode())))
            return
        simulated.ran = started
        self.feed(CallSettled(CallResult(name, reason=Reason.ENGINE_FAILED, started=started)))

    def decode(self, name: AttemptId, simulated: SimulatedAttempt, step: str) -> None:
        answer = self.callers[name.request].answer
        at = simulated.produced
        match step:
            case "next":
                simulated.produced = min(at + 2, len(answer))
                self.feed(frame(FrameKind.TOKENS, name, at, *answer[at : simulated.produced]))
            case "again":
                self.feed(frame(FrameKind.TOKENS, name, 0, *answer[:at]))
            case "skip":
                self.feed(frame(FrameKind.TOKENS, name, at + 1, *answer[at + 1 : at + 2]))
            case "end":
                simulated.open = False
                self.feed(frame(FrameKind.FINISHED, name, len(answer)))
            case "fail":
                simulated.open = False
                self.feed(frame(FrameKind.FAILED, name))

    # Failures

    def pick(
        self, data, predicate: Callable[[SimulatedAttempt], bool]
    ) -> tuple[AttemptId, SimulatedAttempt]:
        found = [
            name for name, simulated in self.simulated_attempts.items() if predicate(simulated)
        ]
        name = data.draw(st.sampled_from(found))
        return name, self.simulated_attempts[name]

    @precondition(lambda self: self.pending)
    @rule(pick=st.integers(0, 7), other=st.integers(0, 9))
    def settle_badly(self, pick, other) -> None:
        self.settle(pick % len(self.pending), False, other)

    @when(awaits_grant)
    @rule(data=st.data(), reason=st.sampled_from(list(Reason)))
    def refuse(self, data, reason) -> None:
        name, simulated = self.pick(data, awaits_grant)
        simulated.open = False
        self.feed(refused(name, reason, 0.1))

    @when(is_prefilling)
    @rule(data=st.data(), kind=st.sampled_from((PrefillKind.REFUSED, PrefillKind.FAILED)))
    def fail_prefill(self, data, kind) -> None:
        name, simulated = self.pick(data, is_prefilling)
        self.end_prefill(name, simulated, kind)

    @when(is_decoding)
    @rule(data=st.data(), step=st.sampled_from(("again", "skip", "end", "fail")))
    def decode_badly(self, data, step) -> None:
        name, simulated = self.pick(data, is_decoding)
        self.decode(name, simulated, step)

    @when(is_closed)
    @rule(data=st.data(), kind=st.sampled_from(list(FrameKind)))
    def stale_frame(self, data, kind) -> None:
        """An attempt that has ended still sends a frame."""
        name, _ = self.pick(data, is_closed)
        self.feed(frame(kind, name, 0, *self.callers[name.request].answer))

    @when(is_calling)
    @rule(data=st.data(), started=st.booleans())
    def fail_call(self, data, started) -> None:
        name, simulated = self.pick(data, is_calling)
        self.answer_call(name, simulated, started)

    @when(has_link)
    @rule(data=st.data(), sent=st.booleans())
    def lose_link(self, data, sent) -> None:
        name, simulated = self.pick(data, has_link)
        sent |= simulated.granted
        if not sent:
            simulated.open = False
            simulated.ran &= not simulated.is_call
        self.feed(AttemptLinkLost(name, sent))

    @when(is_revoking)
    @rule(data=st.data(), result=st.sampled_from(list(RevokeResult)))
    def answer_revoke(self, data, result) -> None:
        name, simulated = self.pick(data, is_revoking)
        simulated.revoking = False
        if result is RevokeResult.NEVER_STARTED:
            simulated.open = False
            simulated.ran &= not simulated.is_call
        self.feed(RevokeSettled(name, result))

    # Changes of upstreams

    @rule(name=st.sampled_from(UPSTREAMS), state=st.sampled_from(list(UpstreamState)))
    def report(self, name, state) -> None:
        """A sidecar reports its state."""
        self.unusable.discard(name)
        if state is not UpstreamState.READY:
            self.unusable.add(name)
        self.feed(LoadReported(name, REPORT._replace(state=state)))

    @rule(name=st.sampled_from(UPSTREAMS))
    def lose_upstream(self, name) -> None:
        self.unusable.add(name)
        self.feed(UpstreamUnreachable(name))

    @rule(names=st.sets(st.sampled_from(UPSTREAMS), max_size=2))
    def list_leaving(self, names) -> None:
        self.listed_leaving = names
        self.feed(LeavingUpstreamsChanged(tuple(sorted(names))))

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.0, 2.0, 31.0)))
    def advance(self, seconds) -> None:
        self.driver.now += seconds
        self.feed(Tick())
        for name in UPSTREAMS:
            if name not in self.unusable:
                self.feed(LoadReported(name, REPORT))

    @precondition(lambda self: len(self.callers) > 8)
    @rule()
    def drain(self) -> None:
        self.feed(DrainStarted())

    @invariant()
    def wakes_up_for_deadlines(self) -> None:
        """The core has a wake-up time whenever a request is in progress."""
        core = self.driver.core
        assert not core.in_progress or core.next_wakeup() is not None

    def teardown(self) -> None:
        """Every request ends by its deadline, and late answers release keys and claims."""
        if not hasattr(self, "driver"):
            return
        self.driver.now += 1_000.0
        self.feed(Tick())
        assert all(caller.ended for caller in self.callers.values())
        assert self.driver.core.in_progress == 0
        while self.pending:
            self.settle(0, True)
        for caller in self.callers.values():
            assert not caller.holds_key, "the key stays in progress"
            assert caller.claim_ended or not caller.claim_granted, "the claim stays open"
        json.dumps(self.driver.core.dump())


EntryHistories.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=500,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)


class TestEntryHistories(EntryHistories.TestCase):
    """Runs the state machine under pytest."""
