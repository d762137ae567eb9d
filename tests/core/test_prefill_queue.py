import pytest

from chivehold.core.identity import Role, Urgency
from chivehold.core.policy import Policy
from chivehold.core.prefill_queue import PrefillQueue
from chivehold.core.sidecar_messages import (
    CancelAtEngine,
    CancelSettled,
    DrainStarted,
    EnginePrefilled,
    PrefillClosed,
    ReplyRevoke,
    RevokeArrived,
    SidecarCommand,
    StartPrefill,
)
from chivehold.core.wire import PrefillKind, PrefillResult, Reason, RevokeResult
from tests.core.sidecar_driver import Driver, attempt, of_type, prefill, results


def driver_with(*names: str, **config: object) -> Driver:
    driver = Driver(role=Role.PREFILL, **config)
    for name in names:
        driver.prefill(name)
    return driver


def done(name: str) -> EnginePrefilled:
    return EnginePrefilled(PrefillResult(PrefillKind.DONE, attempt(name), "h"))


def started(commands: list[SidecarCommand]) -> list[str]:
    return [command.order.attempt.request for command in of_type(commands, StartPrefill)]


def run_all(queue: PrefillQueue, count: int) -> list[str]:
    """Run prompts one after another and return their names in the order of their starts."""
    names = []
    for _ in range(count):
        order = queue.start_next(0.0)
        assert order is not None
        names.append(str(order.attempt.request))
        queue.remove_running(order.attempt)
    return names


class TestPrefillQueue:
    @pytest.mark.parametrize(
        ("policy", "expected"),
        [
            (Policy(), ["u2", "u3", "p0", "p1"]),
            (Policy(class_order=False), ["p0", "p1", "u2", "u3"]),
        ],
    )
    def test_runs_urgent_before_patient(self, policy: Policy, expected: list[str]) -> None:
        """Urgent prompts run first, unless the policy is first come, first served."""
        queue = PrefillQueue(policy, 0.1, 1_000.0)
        for name in ("p0", "p1", "u2", "u3"):
            urgency = Urgency.PATIENT if name[0] == "p" else Urgency.URGENT
            queue.add(prefill(name, urgency=urgency))
        assert run_all(queue, len(expected)) == expected

    def test_keeps_a_share_for_patient_prompts(self) -> None:
        """While both urgencies wait, patient prompts get the floor's share of the tokens."""
        queue = PrefillQueue(Policy(), 0.2, 1_000.0)
        for number in range(40):
            queue.add(prefill(f"u{number}"))
            queue.add(prefill(f"p{number}", urgency=Urgency.PATIENT))
        patient = [name for name in run_all(queue, 40) if name[0] == "p"]
        assert abs(len(patient) - 8) <= 1

    def test_urgent_joins_a_running_patient_prompt(self) -> None:
        """One urgent prompt may run beside a patient one, and no other."""
        queue = PrefillQueue(Policy(), 0.1, 1_000.0)
        queue.add(prefill("p0", urgency=Urgency.PATIENT))
        assert queue.start_next(0.0) is not None
        for name in ("u1", "u2"):
            queue.add(prefill(name))
        queue.add(prefill("p3", urgency=Urgency.PATIENT))
        joined = queue.start_next(0.0)
        assert joined is not None
        assert joined.attempt.request == "u1"
        assert queue.start_next(0.0) is None

    def test_urgent_backlog_leaves_patient_prompts_out(self) -> None:
        """Patient prompts do not count towards the backlog of an urgent prompt."""
        queue = PrefillQueue(Policy(), 0.1, 1_000.0)
        for name in ("p0", "p1"):
            queue.add(prefill(name, urgency=Urgency.PATIENT))
        queue.start_next(0.0)
        assert queue.backlog_s(0.0, Urgency.URGENT) == 0.0
        assert queue.backlog_s(0.0) == pytest.approx(2.0)

    def test_learns_the_rate_without_cached_tokens(self) -> None:
        """Cached tokens count neither for the rate nor for the backlog."""
        queue = PrefillQueue(Policy(), 0.1, 1_000.0)
        queue.add(prefill("a"))
        queue.start_next(0.0)
        running = queue.remove_running(attempt("a"))
        assert running is not None
        reused = PrefillResult(PrefillKind.DONE, attempt("a"), reused_tokens=500)
        queue.record_rate(running, reused, 0.25)
        assert queue.tokens_per_s == pytest.approx(2_000.0)
        queue.set_cached_blocks((7,))
        queue.add(prefill("b", prefix_blocks=(7, 8)))
        assert queue.backlog_s(1.0) == pytest.approx((1_000 - 64) / 2_000)


class TestPrefillAdmission:
    def test_starts_one_prompt_at_a_time(self) -> None:
        """One prompt runs at the engine; the next starts after its result."""
        driver = driver_with("a", "b")
        assert started(driver.sent) == ["a"]
        sent = driver.feed(done("a"), 1.0)
        assert (results(sent), started(sent)) == ([("a", None)], ["b"])

    def test_drops_a_closed_prompt(self) -> None:
        """A queued prompt whose connection closes is not run; a running one is cancelled."""
        driver = driver_with("a", "b", "c")
        assert driver.feed(PrefillClosed(attempt("b"))) == []
        assert driver.feed(PrefillClosed(attempt("a"))) == [CancelAtEngine(attempt("a"))]
        assert started(driver.feed(CancelSettled(attempt("a"), True))) == ["c"]
        assert results(driver.sent) == []

    def test_revocation_blocks_only_a_queued_prompt(self) -> None:
        """A revoked prompt never runs if it was queued; a running one is cancelled."""
        driver = driver_with("a", "b")
        sent = [driver.feed(RevokeArrived(1, attempt(name), "s1")) for name in ("b", "a")]
        assert [of_type(commands, ReplyRevoke)[0].result for commands in sent] == [
            RevokeResult.NEVER_STARTED,
            RevokeResult.STARTED,
        ]
        assert CancelAtEngine(attempt("a")) in sent[1]
        assert driver.feed(CancelSettled(attempt("a"), True)) == []

    @pytest.mark.parametrize(("start_within_s", "at_once"), [(0.9, Reason.TOO_LATE), (1.5, None)])
    def test_refuses_what_starts_too_late(
        self, start_within_s: float, at_once: Reason | None
    ) -> None:
        """A prompt is refused at once for the backlog, or later when its time runs out."""
        driver = driver_with("a", entry_lease_s=99.0)
        sent = driver.prefill("b", start_within_s=start_within_s)
        assert results(sent) == ([("b", at_once)] if at_once else [])
        late = driver.tick_until(2.0)
        assert results(late) == ([] if at_once else [("b", Reason.TOO_LATE)])

    def test_lapsed_lease_drops_queued_and_cancels_running(self) -> None:
        """After a lease lapses, queued prompts are not run and the running one is cancelled."""
        driver = driver_with("a", "b")
        sent = driver.tick_until(1.5)
        assert results(sent) == [("b", Reason.LEASE_LAPSED), ("a", Reason.LEASE_LAPSED)]
        assert of_type(sent, CancelAtEngine) == [CancelAtEngine(attempt("a"))]

    def test_drain_refuses_queued_and_finishes_running(self) -> None:
        """A draining engine finishes the running prompt and gets no other."""
        driver = driver_with("a", "b")
        assert results(driver.feed(DrainStarted())) == [("b", Reason.LEAVING)]
        assert results(driver.prefill("c")) == [("c", Reason.LEAVING)]
        assert results(driver.feed(done("a"))) == [("a", None)]
