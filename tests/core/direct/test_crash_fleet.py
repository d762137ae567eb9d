"""A fleet under prompts that crash engines: what reaches engines, which sound prompts suffer."""

import pytest
from trio.testing import MockClock

from tests.core.direct.crash_fleet import CrashFleet, FleetShape

ALLOWED_AFTER_FIFTH = 3
MOST_SOUND_REFUSED = 0.02

SHAPES = [
    FleetShape(4, 5, 1.0, bad_share=0.1),
    FleetShape(4, 5, 4.0, 0.1, bad_share=0.1),
    FleetShape(30, 20, 4.0, 0.2, bad_share=0.02, duration_s=25.0),
    FleetShape(120, 20, 4.0, 0.2, bad_share=0.02, duration_s=15.0),
]


class TestCrashingPart:
    # Guards against a part that is found too late by a fleet, or at the price of sound prompts.
    @pytest.mark.parametrize("seed", range(6))
    @pytest.mark.parametrize("shape", SHAPES, ids=str)
    async def test_is_found_in_time(
        self, mock_clock: MockClock, shape: FleetShape, seed: int
    ) -> None:
        """Few prompts with the part come after the fifth end, and nearly all sound ones go on."""
        result = CrashFleet(shape, seed, mock_clock).run()
        assert result.ends_by_part > 0
        assert result.late <= ALLOWED_AFTER_FIFTH
        assert result.sound_refused_share <= MOST_SOUND_REFUSED

    # Guards against sound prompts that are refused because engines crash for other reasons.
    @pytest.mark.parametrize("seed", range(2))
    async def test_crashes_for_other_reasons_convict_nobody(
        self, mock_clock: MockClock, seed: int
    ) -> None:
        """Engines that crash often, under no bad part, cost hardly any sound prompt."""
        shape = FleetShape(12, 20, 4.0, 0.5, bad_share=0.0)
        result = CrashFleet(shape, seed, mock_clock).run()
        assert result.sound_refused_share <= MOST_SOUND_REFUSED
