import json
from typing import Any

import pytest

from chivehold.core.cancellations import CANCEL_RETRY_INTERVAL_S
from chivehold.core.identity import (
    EntryIncarnation,
    KeyId,
    Organisation,
    RequestId,
    Role,
    SidecarIncarnation,
    TargetName,
    Urgency,
)
from chivehold.core.policy import Policy
from chivehold.core.sidecar_messages import (
    CallEnded,
    CancelAtEngine,
    CancelSettled,
    DeclarationRevision,
    DrainStarted,
    EngineFailed,
    EngineFinished,
    EngineStatus,
    EngineTokens,
    HeartbeatArrived,
    ImportArrived,
    KeyCommitArrived,
    KeyRegisterArrived,
    OfferArrived,
    ReplyHeartbeat,
    ReplyImport,
    ReplyKey,
    ReplyKeyCommit,
    ReplyRevoke,
    RevokeArrived,
    SendFrame,
    SidecarEvent,
    StartCall,
    StartDecode,
    StreamClosed,
)
from chivehold.core.wire import (
    Heartbeat,
    ImportOrder,
    KeyCommit,
    KeyDecision,
    KeyRegistration,
    LoadReport,
    Reason,
    RevokeResult,
    UpstreamState,
)
from tests.core.sidecar_driver import ENTRY, Driver, attempt, granted, of_type, offer, outcome

A = attempt("a")
CANCEL_A = CancelAtEngine(A)


def heartbeat(driver: Driver, at: float | None = None) -> LoadReport:
    event = HeartbeatArrived(1, Heartbeat(ENTRY, SidecarIncarnation("s1"), 0))
    return of_type(driver.feed(event, at), ReplyHeartbeat)[0].report


def full_engine(**config: Any) -> Driver:
    """Return a decode engine whose two places run `a` and `b`."""
    driver = Driver(**config)
    driver.run("a")
    driver.run("b")
    return driver


class TestRefusals:
    @pytest.mark.parametrize(
        ("changes", "reason"),
        [
            ({"incarnation": "s0"}, "wrong_incarnation"),
            ({"deadline_in_s": 0.0}, "deadline"),
            ({"start_within_s": 0.1}, "too_late"),
            ({"deadline_in_s": 0.1}, "deadline"),
        ],
    )
    def test_refuses_at_once_what_would_be_late(self, changes: dict[str, Any], reason: str) -> None:
        """An offer that cannot be granted in time is refused at once, with a retry time."""
        driver = full_engine()
        assert driver.offer("c", **changes) == f"refused:{reason}"
        assert (of_type(driver.sent, SendFrame)[-1].frame.retry_after_s or 0) > 0
        assert driver.offer("c") == "refused:duplicate"

    def test_refuses_duplicate_and_revoked_attempts(self) -> None:
        """An attempt cannot be offered twice, nor after it was revoked."""
        driver = full_engine()
        driver.feed(RevokeArrived(1, attempt("c"), "s1"))
        assert (driver.offer("a"), driver.offer("c")) == ("refused:duplicate", "refused:revoked")

    @pytest.mark.parametrize(
        ("policy", "waiting_most", "expected"),
        [
            (Policy(), 1, ["queued", "refused:full"]),
            (Policy(wait_list=False), 9, ["refused:full", "refused:full"]),
        ],
    )
    def test_refuses_beyond_the_wait_list(
        self, policy: Policy, waiting_most: int, expected: list[str]
    ) -> None:
        """Offers are refused if the list is full or, without a list, if no place is free."""
        driver = full_engine(policy=policy, waiting_most=waiting_most)
        assert [driver.offer("c"), driver.offer("d")] == expected

    @pytest.mark.parametrize(
        ("changes", "reason"),
        [({"start_within_s": 1.2}, "too_late"), ({"deadline_in_s": 1.2}, "deadline")],
    )
    def test_refuses_an_offer_that_waited_too_long(
        self, changes: dict[str, Any], reason: str
    ) -> None:
        """A waiting offer is refused when its time runs out."""
        driver = full_engine(policy=Policy(shed_late=False))
        assert driver.offer("c", **changes) == "queued"
        assert outcome(driver.tick_until(1.19), "c") == ""
        assert outcome(driver.tick_until(1.2), "c") == f"refused:{reason}"

    @pytest.mark.parametrize(
        ("events", "reason"),
        [
            ([DrainStarted()], "leaving"),
            ([EngineStatus(True, True, ())], "leaving"),
            ([EngineStatus(False, False, ())] * 2, "engine_failed"),
        ],
    )
    def test_refuses_if_the_upstream_drains_or_is_down(
        self, events: list[SidecarEvent], reason: str
    ) -> None:
        """An upstream that drains or is down refuses waiting and new offers."""
        driver = full_engine()
        driver.offer("c")
        sent = [command for event in events for command in driver.feed(event)]
        assert outcome(sent, "c") == f"refused:{reason}"
        assert driver.offer("d") == f"refused:{reason}"
        if reason == "leaving":
            assert outcome(sent, "a") == ""
            assert outcome(driver.feed(EngineFinished(A, 3)), "a") == "finished"
            assert heartbeat(driver).state is UpstreamState.LEAVING
        else:
            assert outcome(sent, "a") == "failed:engine_failed"
            assert CANCEL_A in sent
            assert heartbeat(driver).state is UpstreamState.DOWN


class TestPlaces:
    @pytest.mark.parametrize(
        "ending",
        [
            [EngineFinished(A, 1)],
            [StreamClosed(A), CancelSettled(A, False), CancelSettled(A, True)],
            [EngineFailed(A, Reason.ENGINE_FAILED), CancelSettled(A, True)],
            [RevokeArrived(1, A, "s1"), CancelSettled(A, True)],
        ],
    )
    def test_place_is_held_until_the_engine_confirms(self, ending: list[SidecarEvent]) -> None:
        """A place is granted again only once the engine holds nothing for the previous attempt."""
        driver = full_engine()
        driver.offer("c")
        sent = [driver.feed(event) for event in ending]
        assert [granted(commands) for commands in sent[:-1]] == [[]] * (len(sent) - 1)
        assert granted(sent[-1]) == ["c"]

    def test_cancel_is_repeated_until_confirmed(self) -> None:
        """An unconfirmed cancel is repeated at a bounded rate until it is confirmed."""
        driver = full_engine(entry_lease_s=99.0)
        assert CANCEL_A in driver.feed(StreamClosed(A))
        assert driver.tick_until(4 * CANCEL_RETRY_INTERVAL_S).count(CANCEL_A) == 4
        driver.feed(CancelSettled(A, True))
        assert CANCEL_A not in driver.tick_until(8 * CANCEL_RETRY_INTERVAL_S)

    def test_grants_nothing_while_an_earlier_run_holds_places(self) -> None:
        """After a restart, nothing is granted before the engine reports and releases old holds."""
        driver = Driver(ready=False)
        assert driver.offer("c") == "queued"
        old = attempt("old"), attempt("older")
        assert [*of_type(driver.feed(EngineStatus(True, False, old)), CancelAtEngine)] == [
            CancelAtEngine(name) for name in old
        ]
        assert granted(driver.feed(CancelSettled(old[0], True))) == ["c"]

    def test_cancels_attempts_that_are_unknown_here(self) -> None:
        """An attempt that the engine holds and this sidecar does not know is cancelled."""
        driver = full_engine()
        stray = attempt("stray")
        sent = driver.feed(EngineStatus(True, False, (A, attempt("b"), stray)))
        assert sent == [CancelAtEngine(stray)]

    def test_service_call_starts_with_the_grant(self) -> None:
        """A plain service's call starts with its grant and frees its place when it ends."""
        driver = Driver(role=Role.SERVICE, places=1)
        driver.offer("a")
        assert driver.sent[-1] == StartCall(A)
        assert driver.offer("b") == "queued"
        assert granted(driver.feed(CallEnded(A))) == ["b"]


class TestImports:
    def test_only_the_first_import_starts_the_attempt(self) -> None:
        """Only the first import of a granted attempt is accepted."""
        driver = Driver()
        driver.offer("a")
        first, again, unknown = (driver.import_kv(name) for name in ("a", "a", "x"))
        assert [of_type(sent, ReplyImport)[0].accepted for sent in (first, again, unknown)] == [
            True,
            False,
            False,
        ]
        assert [len(of_type(sent, StartDecode)) for sent in (first, again, unknown)] == [1, 0, 0]

    @pytest.mark.parametrize(
        ("imported", "at", "reason", "cancelled"),
        [(False, 10.0, "cancelled", False), (True, 0.25, "transfer_stalled", True)],
    )
    def test_missing_import_or_first_token_times_out(
        self, imported: bool, at: float, reason: str, cancelled: bool
    ) -> None:
        """A place is freed if no import arrives, or no token after the import."""
        driver = Driver(entry_lease_s=99.0)
        driver.offer("a")
        if imported:
            driver.import_kv("a")
        assert outcome(driver.tick_until(at - 0.01), "a") == ""
        sent = driver.tick_until(at)
        assert outcome(sent, "a") == f"failed:{reason}"
        assert (CANCEL_A in sent) == cancelled
        assert not of_type(driver.import_kv("a"), StartDecode)

    def test_no_stall_after_the_first_token(self) -> None:
        """After its first token, an attempt has no transfer timeout."""
        driver = Driver(entry_lease_s=99.0)
        driver.run("a")
        driver.feed(EngineTokens(A, 0, ("x",)), 0.5)
        assert driver.tick_until(50.0) == []

    def test_first_token_frees_the_link(self) -> None:
        """An offer held back for the link is granted once the earlier transfer has ended."""
        driver = Driver(link_bytes_per_s=1_000.0)
        patient = {"urgency": Urgency.PATIENT, "kv_bytes": 400}
        driver.offer("a", **patient)
        driver.import_kv("a", kv_bytes=400)
        assert driver.offer("b", **patient) == "queued"
        assert granted(driver.feed(EngineTokens(A, 0, ("x",)), 0.001)) == ["b"]
        assert driver.core.next_wakeup() == 1.5


class TestRevocation:
    @pytest.mark.parametrize(
        ("steps", "incarnation", "result"),
        [
            (0, "s1", RevokeResult.NEVER_STARTED),
            (1, "s1", RevokeResult.NEVER_STARTED),
            (2, "s1", RevokeResult.STARTED),
            (2, "s0", RevokeResult.OTHER_INCARNATION),
        ],
    )
    def test_blocks_an_attempt_that_has_not_started(
        self, steps: int, incarnation: str, result: RevokeResult
    ) -> None:
        """An unknown or granted attempt is blocked; a running one is cancelled."""
        driver = Driver()
        for step in (driver.offer, driver.import_kv)[:steps]:
            step("a")
        sent = driver.feed(RevokeArrived(1, A, incarnation))
        assert of_type(sent, ReplyRevoke) == [ReplyRevoke(1, result)]
        assert (CANCEL_A in sent) == (result is RevokeResult.STARTED)
        if result is RevokeResult.NEVER_STARTED:
            assert driver.offer("a") == "refused:revoked"
            assert not of_type(driver.import_kv("a"), StartDecode)


class TestLeases:
    def test_lapse_ends_all_attempts_of_the_entry(self) -> None:
        """All attempts of a dead entry end at once: waiting, granted and running ones."""
        driver = Driver(places=3)
        driver.run("a")
        driver.feed(EngineTokens(A, 0, ("x",)))
        for name in ("b", "c", "d"):
            driver.offer(name)
        driver.offer("e", entry=EntryIncarnation("e2"))
        heartbeat(driver, 0.5)
        assert outcome(driver.tick_until(1.5), "e") == "refused:lease_lapsed"
        assert outcome(driver.sent, "a") == "tokens"
        sent = driver.tick_until(2.0)
        ended = [outcome(sent, name) for name in ("a", "b", "c", "d")]
        assert ended == ["failed:lease_lapsed"] * 3 + ["refused:lease_lapsed"]
        assert of_type(sent, CancelAtEngine) == [CANCEL_A]

    @pytest.mark.parametrize(
        ("renews", "event"),
        [
            (True, HeartbeatArrived(1, Heartbeat(ENTRY, SidecarIncarnation("s1"), 0))),
            (True, ImportArrived(1, ImportOrder(A, "h", "p:1", 0, 0, 0.8))),
            (True, RevokeArrived(1, A, "s1")),
            (True, OfferArrived(offer("b"))),
            (False, StreamClosed(attempt("b"))),
        ],
    )
    def test_each_message_renews_the_lease(self, renews: bool, event: SidecarEvent) -> None:
        """Any message of a live entry renews its lease; a broken stream does not."""
        driver = Driver()
        driver.offer("a")
        driver.feed(event, 1.0)
        leases = driver.core.dump()["leases"]
        assert [lease["left_s"] for lease in leases] == [1.5 if renews else 0.5]

    def test_frozen_entry_loses_its_keys(self) -> None:
        """An entry that resumes after its lease is refused its commit, even as the first event."""
        driver = Driver()
        key = KeyId(Organisation("bruma"), TargetName("lector"), "k")
        registration = KeyRegistration(key, RequestId("r"), ENTRY, 0.0)
        decisions = [
            of_type(driver.feed(KeyRegisterArrived(1, registration), at), ReplyKey)[0].decision
            for at in (0.1, 9.0)
        ]
        assert decisions == [KeyDecision.UNKNOWN, KeyDecision.FRESH]
        commit = KeyCommitArrived(1, KeyCommit(key, RequestId("r"), ENTRY))
        assert driver.feed(commit, 10.5) == [ReplyKeyCommit(1, False)]


class TestReport:
    def test_heartbeat_reports_the_load(self) -> None:
        """The answer to a heartbeat has places, waiting offers, waits and the token interval."""
        driver = full_engine(places=2)
        driver.feed(DeclarationRevision(7, 0.5))
        driver.offer("c")
        driver.offer("d", urgency=Urgency.PATIENT)
        driver.feed(EngineTokens(A, 0, ("x",)), 0.1)
        driver.feed(EngineTokens(A, 1, ("x", "y")), 0.14)
        report = heartbeat(driver, 0.2)
        assert (report.places, report.places_free) == (2, 0)
        assert (report.waiting_urgent, report.waiting_patient, report.revision) == (1, 1, 7)
        assert report.token_interval_s == pytest.approx(0.02)
        assert report.wait_urgent_s > 0

    def test_dump_is_json(self) -> None:
        """The dump consists of JSON-compatible types."""
        driver = full_engine()
        driver.offer("c")
        driver.feed(StreamClosed(A))
        dump = json.loads(json.dumps(driver.core.dump()))
        assert [hold["cancelling"] for hold in dump["holds"]] == [True, False]
        assert [waiting["attempt"] for waiting in dump["waiting"]] == ["c/1"]
