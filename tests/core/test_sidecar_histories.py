"""Random histories of a sidecar's core and an engine that may become unreachable."""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from chivehold.core.identity import (
    AttemptId,
    EntryIncarnation,
    KeyId,
    Organisation,
    RequestId,
    Role,
    TargetName,
    Urgency,
)
from chivehold.core.sidecar_messages import (
    CallEnded,
    CancelAtEngine,
    CancelSettled,
    DrainStarted,
    EngineFailed,
    EngineFinished,
    EnginePrefilled,
    EngineStatus,
    EngineTokens,
    HeartbeatArrived,
    KeyCommitArrived,
    KeyRegisterArrived,
    KeyReleaseArrived,
    OfferArrived,
    PrefillArrived,
    PrefillClosed,
    ReplyKeyCommit,
    ReplyRevoke,
    RevokeArrived,
    SendFrame,
    SendPrefillResult,
    SidecarEvent,
    StartCall,
    StartDecode,
    StartPrefill,
    StreamClosed,
    Tick,
)
from chivehold.core.wire import (
    FrameKind,
    Heartbeat,
    KeyCommit,
    KeyRegistration,
    PrefillKind,
    PrefillResult,
    Reason,
    RevokeResult,
)
from tests.core.sidecar_driver import Driver, attempt, of_type, offer, prefill

PLACES = 3
LEASE_S = 1.5
DRAIN_AFTER_S = 8.0
FINAL = {FrameKind.REFUSED, FrameKind.FINISHED, FrameKind.FAILED}
ENTRIES = st.sampled_from([EntryIncarnation(name) for name in ("e1", "e2")])
NAMES = st.sampled_from([f"r{number}" for number in range(9)])
KEY = KeyId(Organisation("bruma"), TargetName("lector"), "k")


class SidecarHistories(RuleBasedStateMachine):
    """One sidecar and its engine; commands reach the engine at once, answers by rules."""

    def __init__(self) -> None:
        super().__init__()
        self.held: set[AttemptId] = set()
        self.running: set[AttemptId] = set()
        self.cancelled: list[AttemptId] = []
        self.opened: dict[AttemptId, EntryIncarnation] = {}
        self.offers: Counter[AttemptId] = Counter()
        self.finals: Counter[AttemptId] = Counter()
        self.starts: Counter[AttemptId] = Counter()
        self.blocked: set[AttemptId] = set()
        self.closed: set[AttemptId] = set()
        self.registrants: set[tuple[RequestId, EntryIncarnation]] = set()
        self.committed: set[tuple[RequestId, EntryIncarnation]] = set()
        self.last_message_at: dict[EntryIncarnation, float] = {}

    @initialize(
        role=st.sampled_from(list(Role)),
        left=st.integers(0, 2),
        link_bytes_per_s=st.sampled_from([0.0, 1_000.0]),
    )
    def start(self, role: Role, left: int, **config: object) -> None:
        self.role = role
        self.driver = Driver(ready=False, role=role, places=PLACES, entry_lease_s=LEASE_S, **config)
        self.held = {attempt(f"old{number}") for number in range(left)}
        if role is not Role.DECODE:
            self.held.clear()

    def feed(self, event: SidecarEvent) -> None:
        for command in self.driver.feed(event):
            if isinstance(command, StartDecode):
                self.record_start(command.offer.attempt)
            elif isinstance(command, StartCall):
                self.record_start(command.attempt)
            elif isinstance(command, StartPrefill):
                self.record_start(command.order.attempt)
            elif isinstance(command, CancelAtEngine):
                self.running.discard(command.attempt)
                self.cancelled.append(command.attempt)
            elif isinstance(command, SendFrame) and command.frame.kind in FINAL:
                self.finals[command.frame.attempt] += 1
            elif isinstance(command, SendPrefillResult):
                self.finals[command.result.attempt] += 1
            elif isinstance(command, ReplyRevoke):
                self.record_revocation(event, command)
            elif isinstance(command, ReplyKeyCommit) and command.committed:
                assert isinstance(event, KeyCommitArrived)
                self.committed.add((event.commit.request, event.commit.entry))

    def record_start(self, started: AttemptId) -> None:
        self.starts[started] += 1
        self.held.add(started)
        self.running.add(started)

    def record_revocation(self, event: SidecarEvent, reply: ReplyRevoke) -> None:
        assert isinstance(event, RevokeArrived)
        if reply.result is RevokeResult.NEVER_STARTED:
            assert not self.starts[event.attempt]
            self.blocked.add(event.attempt)

    def record_message(self, entry: EntryIncarnation) -> None:
        self.last_message_at[entry] = self.driver.now

    @rule(
        name=NAMES,
        entry=ENTRIES,
        urgency=st.sampled_from(Urgency),
        organisation=st.sampled_from(["bruma", "kinisi"]),
        start_within_s=st.sampled_from([0.5, 5.0, 60.0]),
        kv_bytes=st.sampled_from([0, 400]),
        preempts=st.booleans(),
        imports=st.booleans(),
    )
    def offer(
        self,
        name: str,
        entry: EntryIncarnation,
        kv_bytes: int,
        preempts: bool,
        imports: bool,
        **changes: object,
    ) -> None:
        known = attempt(name)
        if self.opened.setdefault(known, entry) != entry:
            return
        self.offers[known] += 1
        self.record_message(entry)
        if self.role is Role.PREFILL:
            self.feed(PrefillArrived(prefill(name, entry=entry, **changes)))
        else:
            changes |= {"kv_bytes": kv_bytes, "preempts": preempts, "preemptible": True}
            self.feed(OfferArrived(offer(name, entry=entry, **changes)))
            if imports:
                self.import_kv(name)

    @rule(name=NAMES)
    def import_kv(self, name: str) -> None:
        if self.role is Role.DECODE and attempt(name) in self.opened:
            live = self.driver.core.attempts.get(attempt(name))
            if live is not None:
                self.record_message(live.entry)
            before = len(self.driver.sent)
            self.driver.import_kv(name, kv_bytes=400)
            for command in of_type(self.driver.sent[before:], StartDecode):
                self.record_start(command.offer.attempt)

    @rule(name=NAMES)
    def close(self, name: str) -> None:
        self.closed.add(attempt(name))
        kind = PrefillClosed if self.role is Role.PREFILL else StreamClosed
        self.feed(kind(attempt(name)))

    @rule(name=NAMES, incarnation=st.sampled_from(["s1", "s0"]))
    def revoke(self, name: str, incarnation: str) -> None:
        live = self.driver.core.attempts.get(attempt(name))
        if live is not None and incarnation == "s1":
            self.record_message(live.entry)
        self.feed(RevokeArrived(1, attempt(name), incarnation))

    @rule(entry=ENTRIES)
    def heartbeat(self, entry: EntryIncarnation) -> None:
        self.record_message(entry)
        self.feed(HeartbeatArrived(1, Heartbeat(entry, "s1", 0)))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), whole=st.booleans())
    def engine_ends(self, data: st.DataObject, whole: bool) -> None:
        ended = data.draw(st.sampled_from(sorted(self.running)))
        self.running.discard(ended)
        if self.role is Role.PREFILL:
            self.held.discard(ended)
            kind = PrefillKind.DONE if whole else PrefillKind.FAILED
            self.feed(EnginePrefilled(PrefillResult(kind, ended)))
        elif not whole:
            self.feed(EngineFailed(ended, Reason.ENGINE_FAILED))
        elif self.role is Role.DECODE:
            self.held.discard(ended)
            self.feed(EngineFinished(ended, 2))
        else:
            self.held.discard(ended)
            self.finals[ended] += 1  # the driver forwards the answer itself
            self.feed(CallEnded(ended))

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def engine_tokens(self, data: st.DataObject) -> None:
        if self.role is Role.DECODE:
            self.feed(EngineTokens(data.draw(st.sampled_from(sorted(self.running))), 0, ("x",)))

    @precondition(lambda self: self.cancelled)
    @rule(released=st.booleans())
    def cancel_settles(self, released: bool) -> None:
        settled = self.cancelled.pop(0)
        if released:
            self.held.discard(settled)
        self.feed(CancelSettled(settled, released))

    @rule(reachable=st.booleans(), leaving=st.just(False))
    def status(self, reachable: bool, leaving: bool) -> None:
        self.feed(EngineStatus(reachable, leaving, tuple(sorted(self.held)) if reachable else ()))

    @precondition(lambda self: self.driver.now > DRAIN_AFTER_S)
    @rule()
    def drain(self) -> None:
        self.feed(DrainStarted())

    @rule(seconds=st.sampled_from([0.0, 0.1, 0.3, 1.0, 4.0]))
    def wait(self, seconds: float) -> None:
        end = self.driver.now + seconds
        while (due := self.driver.core.next_wakeup()) is not None and due <= end:
            self.driver.now = max(due, self.driver.now)
            self.feed(Tick())
            again = self.driver.core.next_wakeup()
            assert again is None or again > self.driver.now
        self.driver.now = end

    @rule(request=st.sampled_from(["q1", "q2"]), entry=ENTRIES, verb=st.integers(0, 2))
    def key(self, request: str, entry: EntryIncarnation, verb: int) -> None:
        commit = KeyCommit(KEY, RequestId(request), entry)
        self.record_message(entry)
        if verb == 0:
            self.feed(KeyRegisterArrived(1, KeyRegistration(KEY, commit.request, entry, 0.0)))
        elif verb == 1:
            self.feed(KeyCommitArrived(1, commit))
        else:
            self.feed(KeyReleaseArrived(commit))

    @invariant()
    def places_are_not_oversold(self) -> None:
        """The engine never holds more attempts than it has places, even after a restart."""
        if hasattr(self, "driver") and self.role is not Role.PREFILL:
            assert len(self.held) <= PLACES
            assert self.driver.core.places.slots.held <= PLACES

    @invariant()
    def at_most_one_start(self) -> None:
        """An attempt starts at most once, and never after a reply that it had not started."""
        assert all(count == 1 for count in self.starts.values())
        assert not self.blocked & set(self.starts)

    @invariant()
    def one_final_frame_per_offer(self) -> None:
        """Each offer gets at most one final frame; only live or closed attempts have none."""
        for known, offers in self.offers.items():
            live = self.driver.core.attempts.get(known) is not None
            silent = offers - self.finals[known] - live
            assert silent == 0 or (silent == 1 and known in self.closed)

    @invariant()
    def lapsed_entries_hold_nothing(self) -> None:
        """After a lease ends, every attempt of its entry is released or being cancelled."""
        if not hasattr(self, "driver"):
            return
        for started in self.held:
            entry = self.opened.get(started)
            lapsed = entry is not None and self.driver.now > self.last_message_at[entry] + LEASE_S
            if lapsed:
                assert started in self.driver.core.cancellations

    @invariant()
    def a_key_commits_once(self) -> None:
        """At most one request may answer under a key."""
        assert len(self.committed) <= 1

    def teardown(self) -> None:
        """Once entries stop sending and cancels are confirmed, nothing is held."""
        if not hasattr(self, "driver"):
            return
        self.feed(EngineStatus(True, False, tuple(sorted(self.held))))
        self.wait(LEASE_S + 0.5)
        while self.cancelled:
            self.cancel_settles(True)
        assert not self.held
        assert self.driver.core.places.slots.held == 0
        assert not list(self.driver.core.attempts)


class TestSidecarHistories:
    def test_invariants_hold(self) -> None:
        """Every invariant holds in random histories of each role."""
        run_state_machine_as_test(
            SidecarHistories,
            settings=settings(
                derandomize=True, deadline=None, max_examples=500, stateful_step_count=40
            ),
        )
