import pytest

from chivehold.core.entry_messages import (
    AttemptLinkLost,
    CallSettled,
    Revoke,
    RevokeSettled,
    SendCall,
)
from chivehold.core.identity import AttemptId, Outcome, RequestId
from chivehold.core.wire import CallContent, CallResult, Reason, RevokeResult
from tests.core.entry_driver import CALL, READ, Driver, service

FIRST = AttemptId(RequestId("r"), 1)
BUILD = CallContent("POST", "/builds/7", (), b"")
VAN = CallContent("GET", "/vans/1", (), b"")


class TestCall:
    def test_relays_the_complete_answer(self) -> None:
        """The caller gets the service's own answer, also if it is an error."""
        driver = Driver()
        (send,) = driver.feed(service())
        assert (send.call, send.offer.attempt) == (CALL, FIRST)
        (finish,) = driver.feed(CallSettled(CallResult(FIRST, 404, body=b"no such slot")))
        assert (finish.outcome, finish.call.status) == (Outcome.ANSWERED, 404)

    @pytest.mark.parametrize(
        ("call", "idempotent", "repeated"),
        [
            (READ, None, True),
            (CALL, None, False),
            (BUILD, None, True),
            (CALL, True, True),
            (READ, False, False),
            (BUILD, False, False),
            (VAN, True, False),
        ],
        ids=[
            "method",
            "method not",
            "rule",
            "caller",
            "caller not",
            "caller not overrides rule",
            "rule not overrides caller",
        ],
    )
    @pytest.mark.parametrize("how", ["failed", "link lost"])
    def test_is_repeated_only_if_idempotent(
        self, call: CallContent, idempotent: bool | None, repeated: bool, how: str
    ) -> None:
        """A call that may have run is retried only if it is idempotent."""
        driver = Driver()
        driver.feed(service(call=call, idempotent=idempotent))
        if how == "failed":
            commands = driver.feed(CallSettled(CallResult(FIRST, reason=Reason.ENGINE_FAILED)))
        else:
            driver.feed(AttemptLinkLost(FIRST, sent=True))
            commands = driver.feed(RevokeSettled(FIRST, RevokeResult.OTHER_INCARNATION))
        last = commands[-1]
        assert isinstance(last, SendCall) is repeated
        assert repeated or last.outcome is Outcome.UNKNOWN

    @pytest.mark.parametrize(
        ("result", "reachable"),
        [(RevokeResult.UNREACHABLE, False), (RevokeResult.OTHER_INCARNATION, True)],
    )
    def test_unresponsive_sidecar_gets_no_new_work(
        self, result: RevokeResult, reachable: bool
    ) -> None:
        """A revocation that times out marks the sidecar as unreachable, like a failed heartbeat."""
        driver = Driver()
        (first,) = driver.feed(service())
        driver.feed(AttemptLinkLost(FIRST, sent=True))
        driver.feed(RevokeSettled(FIRST, result))
        assert driver.core.dump()["upstreams"][first.upstream]["reachable"] is reachable

    @pytest.mark.parametrize("how", ["refused", "not sent", "revoked"])
    def test_tries_another_vm_if_it_never_started(self, how: str) -> None:
        """A non-idempotent call that certainly did not start is sent to another VM."""
        driver = Driver()
        (first,) = driver.feed(service())
        match how:
            case "refused":
                result = CallResult(FIRST, reason=Reason.LEAVING, started=False)
                (second,) = driver.feed(CallSettled(result))
            case "not sent":
                (second,) = driver.feed(AttemptLinkLost(FIRST, sent=False))
            case "revoked":
                (revoke,) = driver.feed(AttemptLinkLost(FIRST, sent=True))
                assert revoke == Revoke(first.upstream, FIRST)
                (second,) = driver.feed(RevokeSettled(FIRST, RevokeResult.NEVER_STARTED))
        assert {first.upstream, second.upstream} == {"s1", "s2"}
        assert second.offer.attempt.number == 2
