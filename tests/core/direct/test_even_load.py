"""Plain requests of many entries to upstreams of three speeds with temporary slowdowns.

The simulation compares the choice with the one by own latency and own calls in progress.
"""

from functools import cache
from statistics import mean

import pytest

from chivehold.core.direct.fleet import Fleet
from chivehold.core.direct.messages import ReportedLoad, Stage, UpstreamRecord
from tests.core.direct.even_load import Figures, Shape, Simulation

FOUR = (0.7, 0.7, 1.7, 0.7)
EQUAL = (1.0, 1.0, 1.0, 1.0)
SEEDS = range(1, 7)


def choose(fleet: Fleet, now: float) -> UpstreamRecord:
    """Choose as the entry does."""
    return fleet.ranked("s", Stage.NONE, now)[0]


def choose_as_before(fleet: Fleet, now: float) -> UpstreamRecord:
    """Choose by own latency and own calls in progress; kept here to compare with."""

    def cost(candidate: UpstreamRecord) -> float:
        stats = fleet._stats_of(candidate)
        cost_s = stats.latency.value_or(0.08) * (1 + stats.in_flight)
        cost_s += 0.5 * stats.failure_rate.value_or(0.0)
        return cost_s * fleet._rng.uniform(1.0, 1.1)

    return min(fleet.upstreams, key=cost)


@cache
def run(shape: Shape) -> Figures:
    """Return the mean figures of several runs."""
    how = choose if shape.reports else choose_as_before
    runs = [Simulation(shape, seed, how).run() for seed in SEEDS]
    names = runs[0].shares
    return Figures(
        mean(run.bad for run in runs),
        mean(run.deviation for run in runs),
        {name: mean(run.shares.get(name, 0.0) for run in runs) for name in names},
        mean(run.near for run in runs),
    )


def baseline(shape: Shape) -> Figures:
    """Return the figures of the former choice."""
    return run(shape._replace(reports=False))


class TestThreeSpeeds:
    @pytest.mark.parametrize(
        "shape",
        [Shape(24, FOUR, 0.7), Shape(28, FOUR[:3], 0.7)],
        ids=["24 entries", "28 entries"],
    )
    def test_fewer_late_at_usual_load(self, shape: Shape) -> None:
        """Late or rejected at most 0.6 of what own latency and own calls alone give."""
        assert run(shape).bad <= 0.6 * baseline(shape).bad

    def test_no_more_late_near_capacity(self) -> None:
        """Close to capacity, in a demand wave, fewer are late or rejected than before."""
        shape = Shape(24, FOUR, 0.95)
        assert run(shape).bad < baseline(shape).bad

    @pytest.mark.parametrize(
        "shape",
        [Shape(24, FOUR, 0.7), Shape(24, FOUR, 0.95), Shape(28, FOUR[:3], 0.7)],
        ids=["24 entries", "24 entries near capacity", "28 entries"],
    )
    def test_more_even(self, shape: Shape) -> None:
        """Work in progress deviates at most 0.8 as much from its mean as before."""
        assert run(shape).deviation <= 0.8 * baseline(shape).deviation
        assert run(shape).deviation <= 0.8

    def test_120_entries_do_not_herd(self) -> None:
        """Entries that seldom hear of an upstream do not all move to the same one."""
        shape = Shape(120, FOUR, 0.7, length_s=15.0)
        assert run(shape).deviation <= 0.8


class TestMisreporting:
    """One of four equal upstreams reports something else than its load."""

    @pytest.mark.parametrize(
        "reported",
        [
            ReportedLoad(0, 0, 6, 1.0),
            ReportedLoad(6, 24, 6, 1.0),
            ReportedLoad(3, 1, 6, 2.5),
            ReportedLoad(999_999, 999_999, 6, 9_999.99),
        ],
        ids=["always idle", "always full", "stuck", "huge"],
    )
    def test_does_no_harm(self, reported: ReportedLoad) -> None:
        """Its share stays near a quarter, and no more requests are late than before."""
        shape = Shape(24, EQUAL, 0.7, 15.0, misreport=lambda load: reported)
        figures = run(shape)
        assert 0.1 <= figures.shares["u0"] <= 0.35
        assert figures.bad <= max(0.01, baseline(shape).bad)

    def test_fast_because_it_fails(self) -> None:
        """An upstream that answers errors at once gets less than its share, not more."""
        figures = run(Shape(24, EQUAL, 0.5, 15.0, fails_fast=True))
        assert figures.shares.get("u0", 0.0) <= 0.15


class TestZones:
    """Four equal zones of entries and upstreams."""

    def test_nearest_zone_is_preferred(self) -> None:
        """At a low load almost all requests stay in their zone."""
        assert run(Shape(24, EQUAL, 0.3, 15.0, zones=4)).near >= 0.6

    def test_spills_over_before_latency_degrades(self) -> None:
        """Few more are late than without zones, and more stay than the quarter due to chance."""
        zoned, whole = (run(Shape(24, FOUR, 0.7, zones=zones)) for zones in (4, 1))
        assert zoned.bad <= max(0.01, 1.2 * whole.bad)
        assert 0.25 < zoned.near < 0.9

    def test_lost_zone(self) -> None:
        """When all upstreams of a zone disappear, its entries use the others at once."""
        lost = run(Shape(24, EQUAL, 0.4, 15.0, zones=4, lost_zone_at=8.0))
        assert lost.bad <= 0.01


class TestWithoutReports:
    def test_choice_is_unchanged(self) -> None:
        """Where no upstream reports its load, the former formula is in force."""
        shape = Shape(4, EQUAL, 0.7, 6.0, reports=False)
        now, before = (Simulation(shape, 1, how).run() for how in (choose, choose_as_before))
        assert now == before
