import pytest

from chivehold.core.entry_messages import (
    AttemptLinkLost,
    CloseAttempt,
    EntryCommand,
    Finish,
    ImportSettled,
    PrefillSettled,
    Relay,
    Revoke,
    RevokeSettled,
    SendImport,
    SendOffer,
    SendPrefill,
)
from chivehold.core.identity import AttemptId, Outcome, RequestId, UpstreamName
from chivehold.core.policy import Policy
from chivehold.core.wire import FrameKind, PrefillKind, PrefillResult, Reason, RevokeResult
from tests.core.entry_driver import Driver, frame, model, prefilled, refused

FIRST = AttemptId(RequestId("r"), 1)
SECOND = AttemptId(RequestId("r"), 2)


def command_types(commands: list[EntryCommand]) -> list[type]:
    return [type(command) for command in commands]


def decoding(driver: Driver, **fields: object) -> None:
    """Bring a request to the point where two tokens are relayed."""
    driver.feed(model(**fields))
    driver.feed(frame(FrameKind.GRANTED, FIRST))
    driver.feed(prefilled(FIRST))
    driver.feed(frame(FrameKind.TOKENS, FIRST, 0, "x", "y"))


class TestPath:
    def test_reserves_before_the_prefill(self) -> None:
        """Nothing runs before the grant; then prefill, import, tokens and the end follow."""
        driver = Driver()
        steps = [
            model(),
            frame(FrameKind.QUEUED, FIRST),
            frame(FrameKind.GRANTED, FIRST),
            prefilled(FIRST),
            frame(FrameKind.TOKENS, FIRST, 0, "x"),
            frame(FrameKind.FINISHED, FIRST, 1),
        ]
        seen = [command_types(driver.feed(step)) for step in steps]
        assert seen == [[SendOffer], [], [SendPrefill], [SendImport], [Relay], [Finish]]

    @pytest.mark.parametrize(("waited_s", "expected"), [(0.1, SendImport), (0.9, CloseAttempt)])
    def test_without_reservation_prefills_first(self, waited_s: float, expected: type) -> None:
        """Without reservation a KV cache that expires before the grant is wasted."""
        driver = Driver(Policy(reserve_before_prefill=False))
        assert command_types(driver.feed(model())) == [SendPrefill]
        assert command_types(driver.feed(prefilled(FIRST))) == [SendOffer]
        driver.now = waited_s
        assert driver.feed(frame(FrameKind.GRANTED, FIRST))[0].__class__ is expected

    def test_refused_prefill_goes_to_another_engine_while_the_place_is_held(self) -> None:
        """The second try uses another engine; after both have refused, the place is released."""
        driver = Driver()
        driver.feed(model())
        (first,) = driver.feed(frame(FrameKind.GRANTED, FIRST))
        refusal = PrefillSettled(PrefillResult(PrefillKind.REFUSED, FIRST, reason=Reason.TOO_LATE))
        (second,) = driver.feed(refusal)
        assert {first.upstream, second.upstream} == {"p1", "p2"}
        closed, finish = driver.feed(refusal)
        assert closed == CloseAttempt(UpstreamName("d1"), FIRST) or closed.upstream == "d2"
        assert finish.outcome is Outcome.NOT_RUN


class TestResume:
    @pytest.mark.parametrize("how", ["failed", "import refused", "link lost", "gap"])
    def test_continues_after_the_relayed_tokens(self, how: str) -> None:
        """The next attempt starts at the next offset and has the relayed tokens in its prompt."""
        driver = Driver()
        decoding(driver)
        match how:
            case "failed":
                commands = driver.feed(frame(FrameKind.FAILED, FIRST))
            case "import refused":
                commands = driver.feed(ImportSettled(FIRST, accepted=False))
            case "link lost":
                assert command_types(driver.feed(AttemptLinkLost(FIRST, sent=True))) == [Revoke]
                commands = driver.feed(RevokeSettled(FIRST, RevokeResult.UNREACHABLE))
            case "gap":
                commands = driver.feed(frame(FrameKind.FINISHED, FIRST, 4))
        offer = commands[-1].offer
        assert (offer.attempt, offer.first_offset) == (SECOND, 2)
        assert (offer.prompt_tokens, offer.max_tokens) == (102, 2)
        (send,) = driver.feed(frame(FrameKind.GRANTED, SECOND))
        assert send.order.prompt == "pxy"

    @pytest.mark.parametrize(
        ("fields", "policy"),
        [({"idempotent": False}, Policy()), ({}, Policy(attempts_most=1))],
        ids=["non-idempotent", "attempts spent"],
    )
    def test_ends_unknown_if_not_retried(self, fields: dict[str, object], policy: Policy) -> None:
        """A request that ran and is not retried ends as unknown, not as answered or not run."""
        driver = Driver(policy)
        decoding(driver, **fields)
        (finish,) = driver.feed(frame(FrameKind.FAILED, FIRST))
        assert finish.outcome is Outcome.UNKNOWN

    @pytest.mark.parametrize(
        ("kind", "ended"), [(PrefillKind.DONE, Finish), (PrefillKind.REFUSED, SendOffer)]
    )
    def test_a_prefill_that_ends_during_a_revocation_counts(
        self, kind: PrefillKind, ended: type
    ) -> None:
        """A non-idempotent request is offered again only if the prefill was refused."""
        driver = Driver()
        driver.feed(model(idempotent=False))
        driver.feed(frame(FrameKind.GRANTED, FIRST))
        driver.feed(AttemptLinkLost(FIRST, sent=True))
        assert driver.feed(PrefillSettled(PrefillResult(kind, FIRST))) == []
        (last,) = driver.feed(RevokeSettled(FIRST, RevokeResult.NEVER_STARTED))
        assert isinstance(last, ended)
        assert ended is SendOffer or last.outcome is Outcome.UNKNOWN

    def test_within_the_retry_budget(self) -> None:
        """If every engine fails, the retries stay within the budget."""
        driver = Driver(Policy(retry_budget=0.1, retry_budget_floor=0))
        offers = 0
        for number in range(100):
            name = RequestId(f"r{number}")
            offers += len(driver.feed(model(name)))
            attempt = AttemptId(name, 1)
            driver.feed(frame(FrameKind.GRANTED, attempt))
            driver.feed(prefilled(attempt))
            commands = driver.feed(frame(FrameKind.FAILED, attempt))
            offers += command_types(commands).count(SendOffer)
        assert offers == 110

    def test_late_frames_of_the_old_attempt_are_dropped(self) -> None:
        """Frames of a superseded attempt do not change the answer."""
        driver = Driver()
        decoding(driver)
        driver.feed(frame(FrameKind.FAILED, FIRST))
        assert driver.feed(frame(FrameKind.TOKENS, FIRST, 2, "z")) == []
        assert driver.feed(frame(FrameKind.FINISHED, FIRST, 2)) == []


class TestRefusal:
    def test_urgent_request_tries_another_and_then_ends(self) -> None:
        """If both engines refuse, the request ends as not run, with the longer retry delay."""
        driver = Driver()
        (first,) = driver.feed(model())
        (second,) = driver.feed(refused(FIRST, Reason.FULL, 2.0))
        assert {first.upstream, second.upstream} == {"d1", "d2"}
        (finish,) = driver.feed(refused(SECOND, Reason.TOO_LATE, 1.0))
        assert finish.outcome is Outcome.NOT_RUN
        assert finish.retry_after_s >= 2.0

    def test_patient_waits_and_is_offered_again(self) -> None:
        """A refused patient request is offered again after a report or the given delay."""
        driver = Driver()
        (offer,) = driver.feed(model(traffic_class="review"))
        (other,) = driver.feed(refused(FIRST, Reason.FULL, 2.0))
        assert driver.feed(refused(SECOND, Reason.FULL, 2.0)) == []
        driver.now = 1.0
        assert driver.report(offer.upstream, places_free=0) == []
        (again,) = driver.report(other.upstream, places_free=1)
        assert again.upstream == other.upstream
        assert again.offer.waited_s == 1.0
