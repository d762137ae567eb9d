"""Which scenarios the tables are made of."""

from collections.abc import Iterator
from typing import NamedTuple

from examples.measure.scenario import (
    ABLATIONS,
    BASELINES,
    SITES,
    Fault,
    Regime,
    Scenario,
)

LOADS = (0.5, 0.8, 1.0, 1.5, 2.0, 3.0)
ABLATION_LOADS = (1.0, 2.0)
ABLATION_REGIMES = (Regime.DECODE, Regime.LINK)
FAULT_LOAD = 0.7
SEEDS = tuple(range(1, 11))
HELD_OUT_SEEDS = tuple(range(901, 906))
NO_WASTE_LIMIT = 0.02
FAULT_WASTE_LIMIT = 0.05


class Cell(NamedTuple):
    """A scenario without its seed."""

    site: str
    regime: Regime
    load: float
    policy: str
    fault: Fault


def load_cells() -> Iterator[Cell]:
    """Yield ours and the baselines at every load in every regime."""
    for site in SITES:
        for regime in Regime:
            for load in LOADS:
                for policy in ("ours", *BASELINES):
                    yield Cell(site.name, regime, load, policy, Fault.NONE)


def ablation_cells() -> Iterator[Cell]:
    """Yield ours less each decision in turn, in the regimes where a policy shows its worth."""
    for site in SITES:
        for regime in ABLATION_REGIMES:
            for load in ABLATION_LOADS:
                for policy in ABLATIONS:
                    yield Cell(site.name, regime, load, policy, Fault.NONE)


def fault_cells() -> Iterator[Cell]:
    """Yield each fault, for ours and the baseline that tells most."""
    for site in SITES:
        for fault in Fault:
            for policy in ("ours", "two choices"):
                load = 2.0 if fault is Fault.GREEDY_ORGANISATION else FAULT_LOAD
                yield Cell(site.name, Regime.DECODE, load, policy, fault)


def scenarios(cells: Iterator[Cell], seeds: tuple[int, ...]) -> Iterator[Scenario]:
    """Yield every cell with every seed."""
    for cell in cells:
        for seed in seeds:
            yield Scenario(*cell, seed)
