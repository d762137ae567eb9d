import pytest

from chivehold.core import attempts as module
from chivehold.core.attempts import ATTEMPT_RETENTION_S, AttemptLedger, Phase
from chivehold.core.identity import Role
from chivehold.core.sidecar_messages import CancelAtEngine, ReplyRevoke, RevokeArrived
from chivehold.core.wire import Reason, RevokeResult
from tests.core.sidecar_driver import ENTRY, Driver, attempt, of_type, outcome

A = attempt("a")


def ledger_in(phase: Phase | None, closed: bool) -> AttemptLedger:
    ledger = AttemptLedger()
    if phase is not None:
        ledger.open(A, ENTRY)
        ledger.advance(A, phase)
    if closed:
        ledger.close(A, 0.0)
    return ledger


class TestAttemptLedger:
    @pytest.mark.parametrize(
        ("phase", "closed", "result"),
        [
            (None, False, RevokeResult.NEVER_STARTED),
            (Phase.WAITING, False, RevokeResult.NEVER_STARTED),
            (Phase.RESERVED, True, RevokeResult.NEVER_STARTED),
            (Phase.RUNNING, False, RevokeResult.STARTED),
            (Phase.RUNNING, True, RevokeResult.STARTED),
        ],
    )
    def test_blocks_an_attempt_that_has_not_started(
        self, phase: Phase | None, closed: bool, result: RevokeResult
    ) -> None:
        """A revocation gives the same answer each time; a blocked attempt is never opened."""
        ledger = ledger_in(phase, closed)
        assert [ledger.revoke(A, at) for at in (0.0, 1.0)] == [result, result]
        blocked = result is RevokeResult.NEVER_STARTED
        assert ledger.refusal(A) is (Reason.REVOKED if blocked else Reason.DUPLICATE)

    def test_forgets_after_the_retention_time(self) -> None:
        """Attempts are forgotten after the retention time."""
        ledger = AttemptLedger()
        ledger.revoke(A, 0.0)
        ledger.revoke(attempt("b"), ATTEMPT_RETENTION_S)
        assert ledger.remembered == 1

    def test_answers_started_after_an_early_eviction(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Beyond its bounds, the ledger never claims that an attempt did not start."""
        monkeypatch.setattr(module, "MAX_STARTED_ATTEMPTS", 1)
        monkeypatch.setattr(module, "MAX_BLOCKED_ATTEMPTS", 1)
        ledger = ledger_in(Phase.RUNNING, closed=True)
        assert ledger.revoke(attempt("b"), 0.0) is RevokeResult.NEVER_STARTED
        assert ledger.revoke(attempt("c"), 0.0) is RevokeResult.STARTED
        ledger.open(attempt("d"), ENTRY)
        ledger.advance(attempt("d"), Phase.RUNNING)
        ledger.close(attempt("d"), 1.0)
        assert ledger.revoke(A, ATTEMPT_RETENTION_S) is RevokeResult.STARTED
        assert ledger.revoke(A, 1.0 + ATTEMPT_RETENTION_S) is RevokeResult.NEVER_STARTED


class TestRevokeByAnotherRequest:
    @pytest.mark.parametrize("keeps_started", [True, False])
    def test_leaves_a_started_attempt_alone(self, keeps_started: bool) -> None:
        """A revocation with `keeps_started` cancels nothing; one without it cancels."""
        driver = Driver(role=Role.SERVICE)
        driver.offer("a")
        sent = driver.feed(RevokeArrived(1, attempt("a"), "s1", keeps_started))
        assert of_type(sent, ReplyRevoke)[0].result is RevokeResult.STARTED
        assert bool(of_type(sent, CancelAtEngine)) is not keeps_started

    def test_blocks_a_waiting_attempt(self) -> None:
        """A waiting attempt is refused even with `keeps_started`, and never starts."""
        driver = Driver(role=Role.SERVICE, places=1)
        for name in ("a", "b"):
            driver.offer(name)
        sent = driver.feed(RevokeArrived(1, attempt("b"), "s1", True))
        assert of_type(sent, ReplyRevoke)[0].result is RevokeResult.NEVER_STARTED
        assert outcome(sent, "b") == "refused:revoked"
