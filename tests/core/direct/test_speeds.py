"""Speeds of engines of three speeds, a third of them five times slower, and newly started ones."""

from random import Random

import pytest

from chivehold.core.direct.messages import Stage, UpstreamIncarnation
from chivehold.core.direct.speeds import Speeds, WorkKind

KIND = WorkKind("s", Stage.PREFILL)


def engine(number: int) -> UpstreamIncarnation:
    return UpstreamIncarnation(f"p{number}", 1)


def learn(speeds: Speeds, factors: list[float], samples: int = 8) -> None:
    rng = Random(1)
    for number, factor in enumerate(factors):
        for _ in range(samples):
            speeds.record(KIND, engine(number), factor * rng.uniform(1.0, 1.1))


class TestRelative:
    @pytest.mark.parametrize(
        "factors", [[0.7, 0.7, 1.7], [1.0] * 7 + [5.0] * 3], ids=["three speeds", "30% slow"]
    )
    def test_slow_engines_are_told_apart(self, factors: list[float]) -> None:
        """A slow engine is known to be slow, and the others to be as fast as usual."""
        speeds = Speeds()
        learn(speeds, factors)
        for number, factor in enumerate(factors):
            expected = factor / factors[0]
            assert speeds.relative(KIND, engine(number)) == pytest.approx(expected, rel=0.25)

    def test_equal_engines_stay_equal(self) -> None:
        """Samples that vary a little make no difference between equal engines."""
        speeds = Speeds()
        learn(speeds, [1.0] * 5)
        assert {speeds.relative(KIND, engine(number)) for number in range(5)} == {1.0}

    def test_new_engine_is_as_fast_as_the_median(self) -> None:
        """An engine without samples counts as usual, one with a single sample as nearly so."""
        speeds = Speeds()
        learn(speeds, [1.0] * 5)
        assert speeds.relative(KIND, engine(9)) == 1.0
        speeds.record(KIND, engine(9), 5.0)
        assert 1.0 < speeds.relative(KIND, engine(9)) < 3.0

    def test_restart_is_learnt_anew(self) -> None:
        """A restart under the same name may run on another machine."""
        speeds = Speeds()
        learn(speeds, [1.0, 1.0, 5.0])
        assert not speeds.is_known(KIND, engine(2)._replace(started_ms=2))
        assert speeds.relative(KIND, engine(2)._replace(started_ms=2)) == 1.0

    def test_stages_are_apart(self) -> None:
        """An engine that prefills slowly may decode as fast as the others."""
        speeds = Speeds()
        learn(speeds, [1.0, 1.0, 5.0])
        assert speeds.relative(WorkKind("s", Stage.DECODE), engine(2)) == 1.0
