import pytest

from chivehold.core.declared import Weigh
from chivehold.core.entry_messages import FrameReceived, SendOffer
from chivehold.core.identity import AttemptId, RequestId, Urgency
from chivehold.core.sidecar_messages import CancelAtEngine, CancelSettled
from chivehold.core.wire import AttemptFrame, FrameKind, Reason
from tests.core import entry_driver
from tests.core.sidecar_driver import Driver, attempt, granted, outcome

PATIENT = {"urgency": Urgency.PATIENT, "preemptible": True}


def full_of_patient(places: int = 3, floor: float = 0.0, **changes: object) -> Driver:
    """Return a sidecar whose places are held by patient streams, each with a longer prompt."""
    driver = Driver(places=places, patient_floor=floor, entry_lease_s=99.0)
    for number in range(places):
        fields = {**PATIENT, "prompt_tokens": 1_000 * (number + 1), **changes}
        driver.run(f"p{number}", **fields)
    return driver


class TestSidecar:
    def test_cheapest_patient_stream_is_preempted(self) -> None:
        """The urgent offer gets the place once the engine confirms that it is free."""
        driver = full_of_patient()
        assert driver.offer("u", preempts=True) == "queued"
        assert outcome(driver.sent, "p0") == "failed:preempted"
        assert CancelAtEngine(attempt("p0")) in driver.sent
        assert granted(driver.feed(CancelSettled(attempt("p0"), True))) == ["u"]

    def test_each_offer_preempts_one_stream(self) -> None:
        """A second urgent offer preempts a second stream."""
        driver = full_of_patient()
        for name in ("u0", "u1"):
            driver.offer(name, preempts=True)
        failed = [name for name in ("p0", "p1", "p2") if "failed" in outcome(driver.sent, name)]
        assert failed == ["p0", "p1"]

    @pytest.mark.parametrize(
        ("floor", "preempts", "preemptible"),
        [(1.0, True, True), (0.0, False, True), (0.0, True, False)],
    )
    def test_floor_and_flags_protect_patient_streams(
        self, floor: float, preempts: bool, preemptible: bool
    ) -> None:
        """No stream is preempted within the floor, or unless both offers allow it."""
        driver = full_of_patient(1, floor, preemptible=preemptible)
        driver.offer("u", preempts=preempts)
        assert outcome(driver.sent, "p0") == "granted"


class TestEntry:
    @pytest.mark.parametrize("weigh", list(Weigh))
    def test_deployment_setting_decides(self, weigh: Weigh) -> None:
        """Only urgent offers of a deployment that favours goodput may preempt."""
        driver = entry_driver.Driver()
        declared = entry_driver.DECLARATIONS
        deployment = declared.deployments[0]._replace(weigh=weigh)
        changed = declared._replace(revision=2, deployments=(deployment,))
        driver.feed(entry_driver.DeclarationsChanged(changed))
        (urgent,) = driver.feed(entry_driver.model("u"))
        (patient,) = driver.feed(entry_driver.model("p", "review"))
        assert urgent.offer.preempts is (weigh is Weigh.GOODPUT)
        assert (patient.offer.preempts, patient.offer.preemptible) == (False, True)

    def test_preempted_request_resumes_at_its_offset(self) -> None:
        """A preempted request is offered again from its offset; it is preempted at most twice."""
        driver = entry_driver.Driver()
        driver.feed(entry_driver.model(traffic_class="review", max_tokens=9))
        offers = []
        for number in (1, 2):
            current = AttemptId(RequestId("r"), number)
            driver.feed(entry_driver.frame(FrameKind.GRANTED, current))
            driver.feed(entry_driver.prefilled(current))
            driver.feed(entry_driver.frame(FrameKind.TOKENS, current, number - 1, "x"))
            frame = AttemptFrame(FrameKind.FAILED, current, reason=Reason.PREEMPTED)
            offers += [
                command
                for command in driver.feed(FrameReceived(frame))
                if type(command) is SendOffer
            ]
        assert [command.offer.first_offset for command in offers] == [1, 2]
        assert [command.offer.preemptible for command in offers] == [True, False]
