"""Draws the arrivals of a scenario from its seed."""

from collections.abc import Iterator
from typing import NamedTuple

import numpy as np

from chivehold.core.identity import Organisation, Urgency
from chivehold.core.prefix import BLOCK_TOKENS, MAX_BLOCKS
from examples.measure.scenario import (
    Fault,
    Lengths,
    Scenario,
    Site,
    Traffic,
    arrivals_end_s,
    capacity,
    site_of,
)

ORGANISATIONS = 6
TEMPLATES = 30
BURST_START_S = 15.0
BURST_S = 5.0
BURST_FACTOR = 10.0
LAUNCH_REQUESTS = 100
CANCEL_SHARE = 0.1
MAX_CANCEL_DELAY_S = 3.0
GREEDY_FACTOR = 8.0


class Arrival(NamedTuple):
    """One caller's request."""

    arrived_at: float
    organisation: Organisation
    traffic: Traffic
    prompt_tokens: int
    prefix_blocks: tuple[int, ...]
    output_tokens: int
    """Number of tokens that the engine will produce; the router knows only ``max_tokens``."""
    max_tokens: int
    cancel_after_s: float | None


def arrivals(scenario: Scenario) -> Iterator[Arrival]:
    """Yield a scenario's arrivals in order of time."""
    rng = np.random.default_rng(scenario.seed)
    site = site_of(scenario)
    rate = scenario.load * capacity(site, scenario.regime)
    drawn = list(_regular_arrivals(scenario, site, rate, rng))
    if scenario.fault is Fault.LAUNCH:
        patient = next(traffic for traffic in site.traffic if traffic.urgency is Urgency.PATIENT)
        drawn += [_arrival(scenario, patient, BURST_START_S, rng) for _ in range(LAUNCH_REQUESTS)]
    return iter(sorted(drawn, key=lambda arrival: arrival.arrived_at))


def _regular_arrivals(
    scenario: Scenario, site: Site, rate: float, rng: np.random.Generator
) -> Iterator[Arrival]:
    shares = [traffic.share for traffic in site.traffic]
    arrived_at = 0.0
    while True:
        in_burst = BURST_START_S <= arrived_at < BURST_START_S + BURST_S
        bursts = scenario.fault in (Fault.BURST, Fault.BURST_RETURN)
        factor = BURST_FACTOR if bursts and in_burst else 1.0
        arrived_at += rng.exponential(1.0 / (rate * factor))
        if arrived_at >= arrivals_end_s(scenario):
            return
        traffic = site.traffic[rng.choice(len(shares), p=shares)]
        yield _arrival(scenario, traffic, arrived_at, rng)


def _arrival(
    scenario: Scenario, traffic: Traffic, arrived_at: float, rng: np.random.Generator
) -> Arrival:
    prompt_tokens = _draw(traffic.prompt, rng)
    output_tokens = _draw(traffic.output, rng)
    cancels = scenario.fault is Fault.CALLERS_CANCEL and rng.random() < CANCEL_SHARE
    return Arrival(
        arrived_at=arrived_at,
        organisation=_organisation(scenario, rng),
        traffic=traffic,
        prompt_tokens=prompt_tokens,
        prefix_blocks=_blocks(prompt_tokens, rng),
        output_tokens=output_tokens,
        max_tokens=traffic.output.maximum,
        cancel_after_s=rng.uniform(0.0, MAX_CANCEL_DELAY_S) if cancels else None,
    )


def _draw(lengths: Lengths, rng: np.random.Generator) -> int:
    drawn = rng.lognormal(np.log(lengths.median), lengths.sigma)
    return int(min(max(drawn, lengths.minimum), lengths.maximum))


def _organisation(scenario: Scenario, rng: np.random.Generator) -> Organisation:
    weights = np.ones(ORGANISATIONS)
    if scenario.fault is Fault.GREEDY_ORGANISATION:
        weights[0] = GREEDY_FACTOR
    index = rng.choice(ORGANISATIONS, p=weights / weights.sum())
    return Organisation(f"org-{index}")


def _blocks(prompt_tokens: int, rng: np.random.Generator) -> tuple[int, ...]:
    """Return block digests, of which the first few belong to a shared prompt template."""
    blocks = min(MAX_BLOCKS, prompt_tokens // BLOCK_TOKENS)
    template = min(TEMPLATES, int(rng.zipf(1.5)))
    shared = min(blocks, 2 + template % 14)
    own = rng.integers(1 << 20, 1 << 32, size=blocks - shared)
    return tuple(template * 1_000 + index for index in range(shared)) + tuple(map(int, own))
