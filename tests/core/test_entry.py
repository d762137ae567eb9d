import json

import pytest

from chivehold.core.entry_messages import (
    CallerDisconnected,
    CallSettled,
    ClaimDecision,
    ClaimSettled,
    CloseAttempt,
    CommitKey,
    DeclarationsChanged,
    DrainStarted,
    EndClaim,
    EntryCommand,
    Finish,
    KeyCommitSettled,
    KeySettled,
    LeavingUpstreamsChanged,
    MakeClaim,
    Relay,
    ReleaseKey,
    SendCall,
    SendOffer,
    Tick,
    UpstreamUnreachable,
)
from chivehold.core.homes import key_home
from chivehold.core.identity import AttemptId, Outcome, RequestId, TargetName, UpstreamName
from chivehold.core.policy import Policy
from chivehold.core.upstreams import MAX_REPORT_AGE_S
from chivehold.core.wire import CallResult, FrameKind, KeyDecision, UpstreamState
from tests.core.entry_driver import (
    DECLARATIONS,
    FORJA,
    READ,
    Driver,
    frame,
    key,
    model,
    prefilled,
    service,
)

R = RequestId("r")
FIRST = AttemptId(R, 1)
KEYED_CALL = {"key": key(FORJA)}


def command_types(commands: list[EntryCommand]) -> list[type]:
    return [type(command) for command in commands]


class TestAdmission:
    @pytest.mark.parametrize(
        "arrival",
        [
            model(target=TargetName("other")),
            model(traffic_class="other"),
            model(target=FORJA),
            service(target=TargetName("lector")),
        ],
        ids=["target", "class", "model request to a service", "call to a model"],
    )
    def test_rejects_undeclared_targets(self, arrival: object) -> None:
        """A request that can never run is rejected, without a retry delay."""
        (finish,) = Driver().feed(arrival)
        assert finish.outcome is Outcome.REJECTED

    @pytest.mark.parametrize(("traffic_class", "limit"), [("hook", 3), ("review", 5)])
    def test_queues_are_bounded(self, traffic_class: str, limit: int) -> None:
        """A request beyond the limit is refused at once with a retry delay."""
        driver = Driver(Policy(urgent_queue_most=3, patient_queue_most=5))
        commands = [
            driver.feed(model(f"r{number}", traffic_class))[-1:] for number in range(limit + 1)
        ]
        (finish,) = commands[-1]
        assert finish.outcome is Outcome.NOT_RUN
        assert finish.retry_after_s > 0
        assert not any(
            isinstance(command, Finish) for earlier in commands[:-1] for command in earlier
        )

    @pytest.mark.parametrize(
        ("wait_s", "shed", "sent"), [(0.9, True, True), (1.5, True, False), (1.5, False, True)]
    )
    def test_sheds_late_requests(self, wait_s: float, shed: bool, sent: bool) -> None:
        """An urgent request that would miss its first-token target is refused before it is sent."""
        driver = Driver(Policy(shed_late=shed))
        for name in ("d1", "d2"):
            driver.report(name, places_free=0, wait_urgent_s=wait_s)
        (command,) = driver.feed(model())
        assert isinstance(command, SendOffer) is sent
        if not sent:
            assert command.outcome is Outcome.NOT_RUN
            assert command.retry_after_s >= 0.5

    def test_patient_offers_are_limited(self) -> None:
        """Requests over the limit stay in the entry's queue, where their order can still change.

        The next one is offered when an earlier offer is granted.
        """
        driver = Driver(Policy(patient_offers_most=2))
        sent = [driver.feed(model(f"r{number}", "review")) for number in range(4)]
        assert [len(commands) for commands in sent] == [1, 1, 0, 0]
        follow = driver.feed(frame(FrameKind.GRANTED, AttemptId(RequestId("r0"), 1)))
        assert follow[-1].offer.attempt.request == "r2"

    def test_patient_waits_for_an_upstream(self) -> None:
        """Without a usable engine urgent requests are refused and patient ones are queued."""
        driver = Driver(ready=("p1",))
        (finish,) = driver.feed(model("u"))
        assert (finish.outcome, finish.reason) == (Outcome.NOT_RUN, "no upstream")
        assert driver.feed(model("p", "review")) == []
        assert command_types(driver.report("d2")) == [SendOffer]

    def test_drain_refuses_new_work_only(self) -> None:
        """A draining entry finishes its requests in progress."""
        driver = Driver()
        driver.feed(service())
        driver.feed(DrainStarted())
        (refusal,) = driver.feed(service("late"))
        (answer,) = driver.feed(CallSettled(CallResult(FIRST, 200)))
        assert (refusal.outcome, answer.outcome) == (Outcome.NOT_RUN, Outcome.ANSWERED)
        assert driver.core.in_progress == 0


class TestUpstreams:
    @pytest.mark.parametrize("how", ["listed", "leaving", "down", "unreachable", "stale"])
    def test_no_new_work(self, how: str) -> None:
        """Nothing is sent to an upstream that is leaving, down, unreachable or without a report."""
        driver = Driver()
        match how:
            case "listed":
                driver.feed(LeavingUpstreamsChanged((UpstreamName("s1"),)))
            case "leaving" | "down":
                driver.report("s1", state=UpstreamState(how))
            case "unreachable":
                driver.feed(UpstreamUnreachable(UpstreamName("s1")))
            case "stale":
                driver.now = MAX_REPORT_AGE_S + 0.1
                driver.report("s2")
        sent = [driver.feed(service(f"r{number}"))[0].upstream for number in range(20)]
        assert set(sent) == {"s2"}

    def test_removed_target_ends_queued_requests(self) -> None:
        """Queued requests of a target that is no longer declared end as not run."""
        driver = Driver(ready=())
        driver.feed(model(traffic_class="review"))
        newer = DECLARATIONS._replace(revision=2, deployments=())
        (finish,) = driver.feed(DeclarationsChanged(newer))
        assert finish.outcome is Outcome.NOT_RUN
        assert driver.feed(DeclarationsChanged(DECLARATIONS)) == []
        assert driver.feed(model())[0].outcome is Outcome.REJECTED

    def test_incarnations_are_those_last_reported(self) -> None:
        """The driver can read the last reported incarnation of each sidecar."""
        driver = Driver(ready=("d1",))
        assert dict(driver.core.incarnations) == {"d1": "i1"}


class TestKeys:
    def keyed(self, decision: KeyDecision) -> tuple[Driver, list[EntryCommand]]:
        driver = Driver()
        (register,) = driver.feed(model(key=key(), first_sent_ago_s=2.0))
        assert register.home == key_home(key(), (UpstreamName("d1"), UpstreamName("d2")))
        assert register.registration.first_sent_ago_s == 2.0
        return driver, driver.feed(KeySettled(R, decision))

    @pytest.mark.parametrize(
        ("decision", "outcome"),
        [
            (KeyDecision.IN_PROGRESS, Outcome.IN_PROGRESS),
            (KeyDecision.ALREADY_ANSWERED, Outcome.ALREADY_ANSWERED),
            (KeyDecision.UNKNOWN, Outcome.UNKNOWN),
            (KeyDecision.UNREACHABLE, Outcome.NOT_RUN),
        ],
    )
    def test_other_decisions_end_the_request(self, decision: KeyDecision, outcome: Outcome) -> None:
        """The home's decision becomes the request's outcome."""
        _, commands = self.keyed(decision)
        assert commands[-1].outcome is outcome

    @pytest.mark.parametrize(
        ("settled", "outcome"),
        [
            ([True], Outcome.ANSWERED),
            ([False], Outcome.UNKNOWN),
            ([None, True], Outcome.ANSWERED),
            ([None, None], Outcome.UNKNOWN),
        ],
    )
    def test_last_tokens_need_the_commit(
        self, settled: list[bool | None], outcome: Outcome
    ) -> None:
        """The last tokens are relayed only after the home has committed the answer."""
        driver, _ = self.keyed(KeyDecision.FRESH)
        driver.feed(frame(FrameKind.GRANTED, FIRST))
        driver.feed(prefilled(FIRST))
        assert driver.feed(frame(FrameKind.TOKENS, FIRST, 0, "x")) == []
        assert command_types(driver.feed(frame(FrameKind.TOKENS, FIRST, 1, "y"))) == [Relay]
        commands = driver.feed(frame(FrameKind.FINISHED, FIRST, 2))
        for committed in settled:
            assert command_types(commands) == [CommitKey]
            commands = driver.feed(KeyCommitSettled(R, committed))
        assert commands[-1].outcome is outcome
        assert any(isinstance(command, Relay) for command in commands) is (
            outcome is Outcome.ANSWERED
        )

    def test_release_is_resent_after_its_registration(self) -> None:
        """The key of a caller that disconnects during registration does not stay in progress."""
        driver = Driver()
        driver.feed(model(key=key()))
        assert command_types(driver.feed(CallerDisconnected(R))) == [ReleaseKey]
        assert command_types(driver.feed(KeySettled(R, KeyDecision.FRESH))) == [ReleaseKey]


class TestClaims:
    def test_claims_the_attempt_before_sending_it(self) -> None:
        """A non-idempotent call with a key is claimed, sent, answered and recorded as answered."""
        driver = Driver()
        (claim,) = driver.feed(service(**KEYED_CALL))
        (send,) = driver.feed(ClaimSettled(R, ClaimDecision(True)))
        assert (claim.attempt, claim.upstream) == (send.offer.attempt, send.upstream)
        end, finish = driver.feed(CallSettled(CallResult(FIRST, 200)))
        assert (end, finish.outcome) == (EndClaim(R, key(FORJA), Outcome.ANSWERED), end.outcome)

    @pytest.mark.parametrize("outcome", [Outcome.ALREADY_ANSWERED, Outcome.NOT_RUN])
    def test_declined_request_is_never_sent(self, outcome: Outcome) -> None:
        """The claim's decision is the outcome; the claim of another request is not ended."""
        driver = Driver()
        driver.feed(service(**KEYED_CALL))
        (finish,) = driver.feed(ClaimSettled(R, ClaimDecision(False, outcome)))
        assert finish.outcome is outcome

    def test_another_vm_needs_another_claim(self) -> None:
        """If the claimed VM starts leaving, another VM is claimed before anything is sent."""
        driver = Driver()
        (claim,) = driver.feed(service(**KEYED_CALL))
        driver.feed(LeavingUpstreamsChanged((claim.upstream,)))
        (second,) = driver.feed(ClaimSettled(R, ClaimDecision(True)))
        assert isinstance(second, MakeClaim)
        assert (second.attempt.number, second.upstream != claim.upstream) == (2, True)
        assert command_types(driver.feed(ClaimSettled(R, ClaimDecision(True)))) == [SendCall]

    @pytest.mark.parametrize("granted", [True, False])
    def test_claim_is_ended_after_its_write_is_settled(self, granted: bool) -> None:
        """If the caller disconnects while its claim is written, the claim is ended afterwards."""
        driver = Driver()
        (claim,) = driver.feed(service(deadline_in_s=7.0, **KEYED_CALL))
        assert claim.deadline_in_s == 7.0
        assert driver.feed(CallerDisconnected(R)) == []
        decision = ClaimDecision(granted, None if granted else Outcome.NOT_RUN)
        assert driver.feed(ClaimSettled(R, decision)) == [EndClaim(R, key(FORJA), Outcome.NOT_RUN)]

    @pytest.mark.parametrize("outcome", [Outcome.NOT_RUN, Outcome.IN_PROGRESS])
    def test_an_earlier_claim_is_ended_when_the_next_is_declined(self, outcome: Outcome) -> None:
        """The claim on a leaving VM does not stay open if the next claim is declined."""
        driver = Driver()
        (claim,) = driver.feed(service(**KEYED_CALL))
        driver.feed(LeavingUpstreamsChanged((claim.upstream,)))
        driver.feed(ClaimSettled(R, ClaimDecision(True)))
        end, finish = driver.feed(ClaimSettled(R, ClaimDecision(False, outcome)))
        assert end == EndClaim(R, key(FORJA), Outcome.NOT_RUN)
        assert finish.outcome is outcome


class TestRequestEnd:
    @pytest.mark.parametrize(
        ("steps", "outcome", "closed"),
        [
            ([], Outcome.NOT_RUN, 1),
            ([frame(FrameKind.GRANTED, FIRST)], Outcome.UNKNOWN, 2),
            ([frame(FrameKind.GRANTED, FIRST), prefilled(FIRST)], Outcome.UNKNOWN, 1),
        ],
        ids=["waiting", "in prefill", "decoding"],
    )
    @pytest.mark.parametrize("how", ["deadline", "caller gone"])
    def test_closes_open_attempts(
        self, steps: list, outcome: Outcome, closed: int, how: str
    ) -> None:
        """At the deadline, or if the caller disconnects, every stream and prefill is closed."""
        driver = Driver()
        driver.feed(model())
        for step in steps:
            driver.feed(step)
        if how == "deadline":
            assert driver.core.next_wakeup() == 30.0
            driver.now = 30.0
            commands = driver.feed(Tick())
            assert commands.pop().outcome is outcome
        else:
            commands = driver.feed(CallerDisconnected(R))
        assert command_types(commands) == [CloseAttempt] * closed
        assert driver.core.in_progress == 0
        assert driver.core.next_wakeup() is None

    def test_a_sent_call_past_its_deadline_is_unknown(self) -> None:
        """A call that was sent may have run."""
        driver = Driver()
        driver.feed(service(call=READ, deadline_in_s=2.0))
        driver.now = 2.0
        assert driver.feed(Tick())[-1].outcome is Outcome.UNKNOWN


class TestDump:
    def test_is_json(self) -> None:
        """The dump can be encoded as JSON while a request is in progress."""
        driver = Driver()
        driver.feed(model())
        state = json.loads(json.dumps(driver.core.dump()))
        assert state["requests"]["r"]["phase"] == "offered"
        assert state["targets"]["lector"]["waiting_urgent"] == 1
        assert state["upstreams"]["d1"]["incarnation"] == "i1"
