import pytest

from chivehold.core.entry_messages import SendOffer
from chivehold.core.estimates import TRANSFER_S
from chivehold.core.identity import AttemptId, RequestId
from chivehold.core.policy import Policy
from chivehold.core.wire import FrameKind
from tests.core.entry_driver import Driver, frame, model


def patient_offers(driver: Driver, count: int, prompt_tokens: int = 1_000) -> int:
    """Send patient requests and return how many are offered to a decode engine at once."""
    commands = []
    for number in range(count):
        request = model(f"r{number}", "review", prompt_tokens=prompt_tokens)
        commands += driver.feed(request)
    return sum(isinstance(command, SendOffer) for command in commands)


class TestPrefillPacing:
    @pytest.mark.parametrize(("pacing", "offered"), [(True, 11), (False, 30)])
    def test_offers_follow_the_prefill_backlog(self, pacing: bool, offered: int) -> None:
        """With pacing, patient requests are offered while their prefills can start within 0.5 s."""
        driver = Driver(Policy(prefill_pacing=pacing))
        assert patient_offers(driver, 30) == offered

    def test_offers_resume_when_the_backlog_is_gone(self) -> None:
        """A report of an idle prefill engine triggers the next patient offers."""
        driver = Driver()
        driver.report("p1", prefill_backlog_s=0.6)
        driver.report("p2", prefill_backlog_s=0.6)
        assert patient_offers(driver, 3) == 0
        commands = driver.report("p1")
        assert sum(isinstance(command, SendOffer) for command in commands) == 3

    def test_urgent_offers_do_not_wait_for_patient_prefills(self) -> None:
        """An urgent request is offered although patient prompts occupy the prefill engines."""
        driver = Driver()
        for name in ("p1", "p2"):
            driver.report(name, prefill_backlog_s=5.0, prefill_urgent_backlog_s=0.0)
        commands = driver.feed(model("u"))
        assert [type(command) for command in commands] == [SendOffer]
        assert commands[0].offer.attempt.request == RequestId("u")


class TestPrefillTime:
    def test_wait_excludes_the_prefill_time(self) -> None:
        """The allowed wait is the first-token target minus the prefill and transfer times."""
        driver = Driver()
        driver.feed(model(prompt_tokens=5_000))
        (order,) = driver.feed(frame(FrameKind.GRANTED, AttemptId(RequestId("r"), 1)))
        assert order.order.start_within_s == pytest.approx(1.0 - 0.5 - TRANSFER_S)
