import pytest

from chivehold.core.identity import Urgency
from chivehold.core.policy import Policy
from chivehold.core.slots import SlotLedger
from chivehold.core.waitlist import WaitList
from tests.core.sidecar_driver import attempt, offer

URGENT, PATIENT = Urgency.URGENT, Urgency.PATIENT
AGE_S = Policy().patient_age_limit_s


def slots_with(urgent: int, patient: int, places: int = 10) -> SlotLedger:
    slots = SlotLedger(places, 0.2)
    for number in range(urgent):
        slots.hold(attempt(f"held-u{number}"), URGENT, 0.0)
    for number in range(patient):
        slots.hold(attempt(f"held-p{number}"), PATIENT, 0.0)
    return slots


def waitlist_of(policy: Policy, *names: str, waited_s: float = 0.0) -> WaitList:
    """Return a list of offers whose names give urgency (`p` or `u`), organisation and number."""
    waitlist = WaitList(policy)
    for name in names:
        urgency = PATIENT if name[0] == "p" else URGENT
        aged_s = waited_s if urgency is PATIENT else 0.0
        waitlist.add(offer(name, urgency=urgency, organisation=name[1], waited_s=aged_s), 0.0)
    return waitlist


def grant_all(waitlist: WaitList, slots: SlotLedger) -> list[str]:
    order = []
    while slots.free and (chosen := next(waitlist.candidates(slots, 0.0), None)) is not None:
        waitlist.remove_granted(chosen.attempt)
        slots.hold(chosen.attempt, chosen.urgency, 0.0)
        order.append(chosen.attempt.request)
    return order


class TestWaitList:
    @pytest.mark.parametrize(
        ("held", "aged", "expected"),
        [
            ((7, 2), False, "ua0"),
            ((7, 0), False, "ua0"),
            ((8, 1), False, "pa0"),
            ((8, 0), False, "pa0"),
            ((9, 0), False, "pa0"),
            ((0, 9), False, "ua0"),
            ((3, 1), True, "pa0"),
            ((3, 2), True, "ua0"),
        ],
    )
    def test_keeps_the_patient_floor(
        self, held: tuple[int, int], aged: bool, expected: str
    ) -> None:
        """Urgent offers go first while more than the patient floor is free.

        Aged patient offers get the places of their floor at once.
        """
        waitlist = waitlist_of(Policy(), "ua0", "pa0", waited_s=AGE_S if aged else 0.0)
        chosen = next(waitlist.candidates(slots_with(*held), 0.0), None)
        assert chosen is not None
        assert chosen.attempt == attempt(expected)

    @pytest.mark.parametrize(
        ("policy", "expected"),
        [
            (Policy(), ["ua3", "pa0", "pb2", "pa1"]),
            (Policy(fair_shares=False), ["ua3", "pa0", "pa1", "pb2"]),
            (Policy(class_order=False), ["pa0", "pb2", "pa1", "ua3"]),
            (Policy(class_order=False, fair_shares=False), ["pa0", "pa1", "pb2", "ua3"]),
        ],
    )
    def test_orders_by_policy(self, policy: Policy, expected: list[str]) -> None:
        """Urgency and fair shares apply as the policy says; without both, arrival order does."""
        waitlist = waitlist_of(policy, "pa0", "pa1", "pb2", "ua3")
        assert grant_all(waitlist, slots_with(0, 0)) == expected

    def test_serves_the_oldest_patient_offer_first_once_aged(self) -> None:
        """An aged offer goes first even within its organisation, which is charged for it."""
        waitlist = waitlist_of(Policy(), "pa0", "pb1")
        waitlist.add(offer("pa9", urgency=PATIENT, organisation="a", waited_s=AGE_S + 1.0), 0.0)
        assert grant_all(waitlist, slots_with(0, 0)) == ["pa9", "pb1", "pa0"]

    @pytest.mark.parametrize(
        ("places", "min_grants", "max_grants"), [(1, 5, 30), (2, 10, 50), (10, 20, 40)]
    )
    def test_starves_neither_class(self, places: int, min_grants: int, max_grants: int) -> None:
        """If both urgencies always wait, patient work gets about its floor, even of one place."""
        slots = SlotLedger(places, 0.2)
        waitlist = WaitList(Policy())
        patient = 0
        for number in range(100 * places):
            now = float(number)
            for urgency in Urgency:
                waitlist.add(offer(f"{urgency}{number}", urgency=urgency), now)
            held = list(slots)
            if len(held) == places:
                slots.release(held[0][0], now)
            chosen = next(waitlist.candidates(slots, now))
            waitlist.remove_granted(chosen.attempt)
            slots.hold(chosen.attempt, chosen.urgency, now)
            patient += chosen.urgency is PATIENT
        assert min_grants <= patient / places <= max_grants
