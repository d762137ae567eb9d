"""The scenarios that the tables are computed from."""

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
ABLATION_LOAD = 2.0
FAULT_LOAD = 0.7
SEEDS = tuple(range(1, 11))
HELD_OUT_SEEDS = tuple(range(901, 906))
ABLATION_FAULTS = {
    "less fair shares": (Fault.GREEDY_ORGANISATION,),
    "less slow avoidance": (Fault.ENGINE_SLOW,),
    "no retries": (Fault.ENGINE_KILLED, Fault.TRANSFERS_STALL),
    "two choices inside": (Fault.REPORTS_LATE,),
}


class Cell(NamedTuple):
    """A scenario without its seed."""

    site: str
    regime: Regime
    load: float
    policy: str
    fault: Fault


def load_cells() -> Iterator[Cell]:
    """Yield the project's policy ("ours") and the baselines at every load in every regime."""
    for site in SITES:
        for regime in Regime:
            for load in LOADS:
                for policy in ("ours", *BASELINES):
                    yield Cell(site.name, regime, load, policy, Fault.NONE)


def ablation_cells() -> Iterator[Cell]:
    """Yield the project's policy with one decision disabled at a time, without faults."""
    for site in SITES:
        for regime in Regime:
            for policy in ABLATIONS:
                yield Cell(site.name, regime, ABLATION_LOAD, policy, Fault.NONE)


def ablation_fault_cells() -> Iterator[Cell]:
    """Yield the policy with a decision against a fault disabled, under that fault."""
    for site in SITES:
        for policy, faults in ABLATION_FAULTS.items():
            for fault in faults:
                yield Cell(site.name, Regime.DECODE, fault_load(fault), policy, fault)


def fault_load(fault: Fault) -> float:
    """Return the load at which a fault is measured."""
    return 2.0 if fault is Fault.GREEDY_ORGANISATION else FAULT_LOAD


def fault_cells() -> Iterator[Cell]:
    """Yield each fault for the project's policy and the most informative baseline."""
    for site in SITES:
        for fault in Fault:
            for policy in ("ours", "two choices"):
                yield Cell(site.name, Regime.DECODE, fault_load(fault), policy, fault)


def scenarios(cells: Iterator[Cell], seeds: tuple[int, ...]) -> Iterator[Scenario]:
    """Yield every cell with every seed."""
    for cell in cells:
        for seed in seeds:
            yield Scenario(*cell, seed)
