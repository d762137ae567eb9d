"""Which streams are served when capacity is short, over all entries and for seconds.

Each test names its load and shows that the order of equal streams does not keep the promise.
"""

from collections.abc import Sequence
from random import Random

import pytest

from tests.core.direct.capacity_model import (
    RATES,
    USUAL_TOKENS,
    Equal,
    Load,
    Model,
    Outcome,
    Present,
    shares,
)

SEEDS = range(6)
NEVER_S = 1e9
LONG_TOKENS = 2 * USUAL_TOKENS
TWICE = Load([rate * 2 for rate in RATES])
LEAST_URGENT = Load((RATES[0] * 0.8, RATES[1] * 0.8, RATES[2] * 4.5))


def run(
    policy: Present, load: Load, lost_engines_at: float = NEVER_S, seeds: Sequence[int] = SEEDS
) -> list[Outcome]:
    """Return the results of the requests that arrive from the burst on."""
    outcomes: list[Outcome] = []
    for seed in seeds:
        rng = Random(seed)
        model = Model(policy, rng, lost_engines_at=lost_engines_at)
        outcomes += model.run(load.calls(rng))
    return [out for out in outcomes if load.burst_s[0] <= out.call.first_at < load.end_s - 2]


def urgent_goes_first(outcomes: Sequence[Outcome]) -> bool:
    """Return whether the most urgent are served, and on time, as often as each less urgent."""
    share = shares(outcomes)
    return all(
        share[0, "lost"] <= share[other, "lost"] and share[0, "on time"] >= share[other, "on time"]
        for other in (1, 2)
    )


class TestPriorities:
    @pytest.mark.parametrize(
        ("load", "lost_engines_at"),
        [
            pytest.param(LEAST_URGENT, NEVER_S, id="burst of the least urgent"),
            pytest.param(TWICE, NEVER_S, id="all at twice the capacity"),
            pytest.param(Load([rate * 0.8 for rate in RATES]), 15.0, id="half of the engines gone"),
        ],
    )
    def test_urgent_goes_first(self, load: Load, lost_engines_at: float) -> None:
        """Guards against less urgent streams that take the memory of the most urgent."""
        assert urgent_goes_first(run(Present(), load, lost_engines_at))
        assert not urgent_goes_first(run(Equal(), load, lost_engines_at))

    def test_long_prompts_among_short_ones(self) -> None:
        """Guards against long prompts whose callers leave as short ones take what is freed."""
        load = Load([rate * 1.3 for rate in RATES], long_prompts=0.1)
        lost = [
            sum(out.result == "lost" for out in run(policy, load) if out.call.tokens >= LONG_TOKENS)
            for policy in (Present(), Equal())
        ]
        assert lost[0] <= 0.75 * lost[1]

    def test_fewer_lost_and_fewer_polls(self) -> None:
        """All at twice the capacity: fewer callers leave unserved, and engines are asked less."""
        lost, polls = {}, {}
        for policy in (Equal(), Present()):
            model = Model(policy, rng := Random(1))
            outcomes = list(model.run(TWICE.calls(rng)))
            lost[policy] = sum(out.result == "lost" for out in outcomes)
            polls[policy] = model.polls
        equal, present = lost
        assert lost[present] < lost[equal]
        assert polls[present] <= polls[equal]
