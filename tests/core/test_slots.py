import pytest

from chivehold.core.identity import Urgency
from chivehold.core.slots import DEFAULT_HOLDING_S, SlotLedger
from tests.core.sidecar_driver import attempt


class TestSlotLedger:
    @pytest.mark.parametrize(
        ("places", "floor", "expected"),
        [(20, 0.1, 2), (30, 0.1, 3), (21, 0.1, 3), (1, 0.1, 1), (2, 0.9, 1), (5, 0.0, 0)],
    )
    def test_rounds_the_floor_up(self, places: int, floor: float, expected: int) -> None:
        """The floor is rounded up, and leaves a place to urgent work."""
        assert SlotLedger(places, floor).floor_places == expected

    def test_counts_orphaned_holds(self) -> None:
        """Places held since an earlier run count, even if there are more than the total."""
        slots = SlotLedger(2, 0.1)
        for name in ("a", "b", "c"):
            slots.hold_orphan(attempt(name), 0.0)
        assert (slots.held, slots.free) == (3, 0)

    def test_learns_how_long_places_are_held(self) -> None:
        """The drain rate follows past holding times, and drops when the engine becomes slow."""
        slots = SlotLedger(2, 0.1)
        slots.hold(attempt("a"), Urgency.URGENT, 0.0)
        assert slots.drain_rate(Urgency.URGENT, 0.0) == 1 / DEFAULT_HOLDING_S
        slots.release(attempt("a"), 0.5)
        slots.hold(attempt("b"), Urgency.URGENT, 1.0)
        assert slots.drain_rate(Urgency.URGENT, 1.0) == pytest.approx(2.0)
        assert slots.drain_rate(Urgency.URGENT, 21.0) == pytest.approx(0.1)

    @pytest.mark.parametrize(("urgent", "free_needed"), [(0, 1), (4, 5), (9, 7)])
    def test_patient_work_leaves_headroom_for_urgent(self, urgent: int, free_needed: int) -> None:
        """Beyond its floor, patient work leaves twice the square root of the urgent demand free."""
        slots = SlotLedger(20, 0.0, urgent_headroom=2.0)
        for number in range(urgent):
            slots.hold(attempt(f"u{number}"), Urgency.URGENT, 0.0)
        now = 1_000.0
        taken = 0
        while slots.has_room_for_patient(now):
            slots.hold(attempt(f"p{taken}"), Urgency.PATIENT, now)
            taken += 1
        assert slots.free == free_needed - 1

    def test_floor_overrides_headroom(self) -> None:
        """Patient work may take the places of its floor whatever the urgent demand."""
        slots = SlotLedger(20, 0.1, urgent_headroom=2.0)
        for number in range(17):
            slots.hold(attempt(f"u{number}"), Urgency.URGENT, 0.0)
        assert slots.has_room_for_patient(1_000.0)
