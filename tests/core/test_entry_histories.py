"""Histories of the entry's core against sidecars that fail in every way at any moment."""

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


class World:
    """What is true of one attempt at its sidecars, whatever the entry knows."""

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
    """A request as its caller sees it."""

    def __init__(self, arrival: RequestArrived, total: int) -> None:
        self.arrival = arrival
        self.answer = [f"{arrival.request}:{index};" for index in range(total)]
        self.relayed: list[str] = []
        self.outcome: Outcome | None = None
        self.gone = False
        self.committed = False
        self.claims: list[tuple[AttemptId, UpstreamName]] = []
        self.claim_granted = False
        self.claim_ended = False
        self.holds_key = False

    @property
    def ended(self) -> bool:
        return self.gone or self.outcome is not None


def awaits_grant(world: World) -> bool:
    return has_link(world) and not world.granted and not world.is_call


def in_prefill(world: World) -> bool:
    return world.prefill_at is not None


def decodes(world: World) -> bool:
    return has_link(world) and world.imported


def calls(world: World) -> bool:
    return has_link(world) and world.is_call


def has_link(world: World) -> bool:
    return world.open and not world.revoking


def is_closed(world: World) -> bool:
    return not world.open


def revokes(world: World) -> bool:
    return world.revoking


def when(wanted: Callable[[World], bool]) -> Any:
    """Allow a rule while an attempt is in some state."""
    return precondition(lambda self: any(wanted(world) for world in self.worlds.values()))


class EntryHistories(RuleBasedStateMachine):
    """Interleaves everything that can happen to an entry and checks its promises."""

    @initialize(reserve=st.booleans(), budget=st.sampled_from((0.0, 1.0)))
    def start(self, reserve: bool, budget: float) -> None:
        policy = Policy(reserve_before_prefill=reserve, retry_budget=budget, patient_offers_most=2)
        self.driver = Driver(policy)
        self.callers: dict[RequestId, Caller] = {}
        self.worlds: dict[AttemptId, World] = {}
        self.asked: list[Any] = []
        self.listed: set[UpstreamName] = set()
        self.barred: set[UpstreamName] = set()

    # What the entry does

    def feed(self, event: EntryEvent) -> None:
        for command in self.driver.feed(event):
            checks: dict[type, Callable[[Any], None]] = {
                SendOffer: self.sent, SendCall: self.sent, SendPrefill: self.prefill_sent,
                SendImport: self.import_sent, CloseAttempt: self.closed, Relay: self.relayed,
                Finish: self.finished, MakeClaim: self.claim_made, Revoke: self.revoked,
                EndClaim: self.claim_ended,
            }  # fmt: skip
            if isinstance(command, RegisterKey | CommitKey):
                self.asked.append(command)
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
                for name, world in self.worlds.items()
                if name.request == attempt.request and world.ran
            }
            assert ran <= (set() if is_prefill else {attempt}), "sent again, it may have run"
        return caller

    def sent(self, command: SendOffer | SendCall) -> None:
        offer, upstream = command.offer, command.upstream
        caller = self.may_start(offer.attempt, is_prefill=False)
        assert upstream not in self.listed | self.barred
        known = self.worlds.get(offer.attempt)
        assert known is None or known.upstream is None, "an attempt is sent once"
        assert offer.first_offset == len(caller.relayed)
        if caller.arrival.key is not None and caller.arrival.idempotent is False:
            assert caller.claim_granted
            assert caller.claims[-1] == (offer.attempt, upstream)
        world = World(upstream, isinstance(command, SendCall), offer.first_offset)
        if known is not None:
            world.ran = known.ran
        world.ran |= world.is_call
        self.worlds[offer.attempt] = world

    def prefill_sent(self, command: SendPrefill) -> None:
        caller = self.may_start(command.order.attempt, is_prefill=True)
        assert command.upstream not in self.listed | self.barred
        assert command.order.prompt == "p" + "".join(caller.relayed)
        world = self.worlds.setdefault(
            command.order.attempt, World(None, False, len(caller.relayed))
        )
        assert world.prefill_at is None
        world.prefill_at = command.upstream
        world.ran_before = world.ran
        world.ran = True

    def import_sent(self, command: SendImport) -> None:
        world = self.worlds[command.order.attempt]
        assert world.granted
        assert not world.imported
        world.imported = True
        self.asked.append(command)

    def closed(self, command: CloseAttempt) -> None:
        world = self.worlds[command.attempt]
        assert command.upstream in (world.upstream, world.prefill_at)
        if command.upstream == world.upstream:
            world.open = False
        else:
            world.prefill_at = None

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
        self.nothing_left(command.request)
        worlds = [world for name, world in self.worlds.items() if name.request == command.request]
        assert (command.retry_after_s is not None) is (command.outcome is Outcome.NOT_RUN)
        if command.outcome is Outcome.NOT_RUN:
            assert not any(world.ran for world in worlds)
        if command.outcome is not Outcome.ANSWERED:
            return
        if caller.arrival.call is None:
            assert caller.relayed == caller.answer
        else:
            assert command.call is not None
            assert command.call.body == command.request.encode()
        if caller.arrival.key is not None and caller.arrival.idempotent is not False:
            assert caller.committed

    def nothing_left(self, request: RequestId) -> None:
        worlds = [world for name, world in self.worlds.items() if name.request == request]
        assert not any(world.open or world.prefill_at for world in worlds), "memory stays held"

    def claim_made(self, command: MakeClaim) -> None:
        caller = self.callers[command.request]
        caller.claims.append((command.attempt, command.upstream))
        caller.claim_granted = False
        self.asked.append(command)

    def claim_ended(self, command: EndClaim) -> None:
        caller = self.callers[command.request]
        assert caller.claims
        assert not caller.claim_ended
        caller.claim_ended = True

    def revoked(self, command: Revoke) -> None:
        self.worlds[command.attempt].revoking = True

    # What callers do

    @rule(arrivals=st.lists(ARRIVALS, min_size=1, max_size=5))
    def arrive(self, arrivals) -> None:
        for arrival, total in arrivals:
            name = RequestId(f"r{len(self.callers)}")
            self.callers[name] = Caller(arrival._replace(request=name), total)
            self.feed(self.callers[name].arrival)

    @precondition(lambda self: any(not one.ended for one in self.callers.values()))
    @rule(data=st.data())
    def depart(self, data) -> None:
        waiting = [name for name, one in self.callers.items() if not one.ended]
        name = data.draw(st.sampled_from(waiting))
        self.callers[name].gone = True
        self.feed(CallerDisconnected(name))
        self.nothing_left(name)

    # What sidecars, homes and the platform answer

    @rule(count=st.integers(1, 40), seed=st.integers(0, 99))
    def work(self, count, seed) -> None:
        """What is pending goes well, in any order."""
        random = Random(seed)
        for _ in range(count):
            steps = list(self.good_steps())
            if steps:
                random.choice(steps)()

    def good_steps(self) -> Iterator[Callable[[], None]]:
        for index in range(len(self.asked)):
            yield partial(self.settle, index, True)
        for name, world in list(self.worlds.items()):
            if in_prefill(world):
                yield partial(self.end_prefill, name, world, PrefillKind.DONE)
            if calls(world):
                yield partial(self.answer_call, name, world, None)
            elif awaits_grant(world):
                yield partial(self.grant, name, world)
            elif decodes(world):
                whole = world.produced >= len(self.callers[name.request].answer)
                yield partial(self.decode, name, world, "end" if whole else "next")

    def settle(self, index: int, good: bool, other: int = 0) -> None:
        command = self.asked.pop(index)
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

    def grant(self, name: AttemptId, world: World) -> None:
        world.granted = True
        self.feed(frame(FrameKind.GRANTED, name))

    def end_prefill(self, name: AttemptId, world: World, kind: PrefillKind) -> None:
        world.prefill_at = None
        world.ran = kind is not PrefillKind.REFUSED or world.ran_before
        self.feed(PrefillSettled(PrefillResult(kind, name, "h", "engine", 10, 0.8)))

    def answer_call(self, name: AttemptId, world: World, started: bool | None) -> None:
        world.open = False
        if started is None:
            self.feed(CallSettled(CallResult(name, 200, body=name.request.encode())))
            return
        world.ran = started
        self.feed(CallSettled(CallResult(name, reason=Reason.ENGINE_FAILED, started=started)))

    def decode(self, name: AttemptId, world: World, step: str) -> None:
        answer = self.callers[name.request].answer
        at = world.produced
        match step:
            case "next":
                world.produced = min(at + 2, len(answer))
                self.feed(frame(FrameKind.TOKENS, name, at, *answer[at : world.produced]))
            case "again":
                self.feed(frame(FrameKind.TOKENS, name, 0, *answer[:at]))
            case "skip":
                self.feed(frame(FrameKind.TOKENS, name, at + 1, *answer[at + 1 : at + 2]))
            case "end":
                world.open = False
                self.feed(frame(FrameKind.FINISHED, name, len(answer)))
            case "fail":
                world.open = False
                self.feed(frame(FrameKind.FAILED, name))

    # What goes wrong

    def pick(self, data, wanted: Callable[[World], bool]) -> tuple[AttemptId, World]:
        found = [name for name, world in self.worlds.items() if wanted(world)]
        name = data.draw(st.sampled_from(found))
        return name, self.worlds[name]

    @precondition(lambda self: self.asked)
    @rule(pick=st.integers(0, 7), other=st.integers(0, 9))
    def settle_badly(self, pick, other) -> None:
        self.settle(pick % len(self.asked), False, other)

    @when(awaits_grant)
    @rule(data=st.data(), reason=st.sampled_from(list(Reason)))
    def refuse(self, data, reason) -> None:
        name, world = self.pick(data, awaits_grant)
        world.open = False
        self.feed(refused(name, reason, 0.1))

    @when(in_prefill)
    @rule(data=st.data(), kind=st.sampled_from((PrefillKind.REFUSED, PrefillKind.FAILED)))
    def fail_prefill(self, data, kind) -> None:
        name, world = self.pick(data, in_prefill)
        self.end_prefill(name, world, kind)

    @when(decodes)
    @rule(data=st.data(), step=st.sampled_from(("again", "skip", "end", "fail")))
    def decode_badly(self, data, step) -> None:
        name, world = self.pick(data, decodes)
        self.decode(name, world, step)

    @when(is_closed)
    @rule(data=st.data(), kind=st.sampled_from(list(FrameKind)))
    def stale_frame(self, data, kind) -> None:
        """An attempt that has ended still sends what it had."""
        name, _ = self.pick(data, is_closed)
        self.feed(frame(kind, name, 0, *self.callers[name.request].answer))

    @when(calls)
    @rule(data=st.data(), started=st.booleans())
    def fail_call(self, data, started) -> None:
        name, world = self.pick(data, calls)
        self.answer_call(name, world, started)

    @when(has_link)
    @rule(data=st.data(), sent=st.booleans())
    def lose_link(self, data, sent) -> None:
        name, world = self.pick(data, has_link)
        sent |= world.granted
        if not sent:
            world.open = False
            world.ran &= not world.is_call
        self.feed(AttemptLinkLost(name, sent))

    @when(revokes)
    @rule(data=st.data(), result=st.sampled_from(list(RevokeResult)))
    def answer_revoke(self, data, result) -> None:
        name, world = self.pick(data, revokes)
        world.revoking = False
        if result is RevokeResult.NEVER_STARTED:
            world.open = False
            world.ran &= not world.is_call
        self.feed(RevokeSettled(name, result))

    # What befalls upstreams

    @rule(name=st.sampled_from(UPSTREAMS), state=st.sampled_from(list(UpstreamState)))
    def report(self, name, state) -> None:
        """A sidecar reports its state, which may be that of another run."""
        self.barred.discard(name)
        if state is not UpstreamState.READY:
            self.barred.add(name)
        self.feed(LoadReported(name, REPORT._replace(state=state)))

    @rule(name=st.sampled_from(UPSTREAMS))
    def lose_upstream(self, name) -> None:
        self.barred.add(name)
        self.feed(UpstreamUnreachable(name))

    @rule(names=st.sets(st.sampled_from(UPSTREAMS), max_size=2))
    def list_leaving(self, names) -> None:
        self.listed = names
        self.feed(LeavingUpstreamsChanged(tuple(sorted(names))))

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.0, 2.0, 31.0)))
    def advance(self, seconds) -> None:
        self.driver.now += seconds
        self.feed(Tick())
        for name in UPSTREAMS:
            if name not in self.barred:
                self.feed(LoadReported(name, REPORT))

    @precondition(lambda self: len(self.callers) > 8)
    @rule()
    def drain(self) -> None:
        self.feed(DrainStarted())

    @invariant()
    def wakes_up_for_deadlines(self) -> None:
        """The core asks to be woken whenever a request is in progress."""
        core = self.driver.core
        assert not core.in_progress or core.next_wakeup() is not None

    def teardown(self) -> None:
        """Every request ends by its deadline, and late answers change nothing."""
        if not hasattr(self, "driver"):
            return
        self.driver.now += 1_000.0
        self.feed(Tick())
        assert all(caller.ended for caller in self.callers.values())
        assert self.driver.core.in_progress == 0
        while self.asked:
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
    """Runs the histories under pytest."""
