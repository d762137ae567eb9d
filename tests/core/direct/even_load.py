"""Simulation of plain requests from many entries to upstreams of different speeds.

It uses the real ``Fleet`` of each entry on a simulated clock. Upstreams run as many requests at
once as they have slots, queue some more and refuse the rest. Each has temporary slowdowns.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from itertools import count
from random import Random
from statistics import mean, pstdev
from typing import NamedTuple

from chivehold.core.direct.fleet import Fleet, Verdict
from chivehold.core.direct.messages import ReportedLoad, UpstreamRecord, UpstreamSignals
from tests.core.direct.factories import admission, upstream

SERVICE_S = 0.09
SLOTS = 6
QUEUE = 24
SLOWNESS = 2.5
SLOW_SHARE = 0.15
SLOW_SPELL_S = 0.6
NETWORK_S = 0.002
TARGET_S = 0.4
WARM_UP_S = 3.0


class Shape(NamedTuple):
    """The size and load of a simulated deployment."""

    entries: int
    speeds: tuple[float, ...]
    """How many times as long as usual work takes at each upstream."""
    load: float
    length_s: float = 25.0
    reports: bool = True
    zones: int = 1
    misreport: Callable[[ReportedLoad], ReportedLoad] | None = None
    """What the first upstream reports instead of its load."""
    fails_fast: bool = False
    """The first upstream answers at once with an error."""
    lost_zone_at: float = math.inf
    """When all upstreams of the first zone disappear."""


class Figures(NamedTuple):
    """What a simulation measured."""

    bad: float
    """Share of the requests that were late or refused."""
    deviation: float
    """Deviation of work in progress among the upstreams over its mean."""
    shares: dict[str, float]
    """Share of the requests that went to each upstream."""
    near: float
    """Share of the requests that stayed in their zone."""


class SimulatedUpstream:
    """Runs requests at its speed, with temporary slowdowns."""

    def __init__(self, record: UpstreamRecord, speed: float, rng: Random, length_s: float) -> None:
        self.record = record
        self.speed = speed
        self.running = 0
        self.queue: list[Callable[[float], None]] = []
        self.spells = list(_spells(rng, length_s + 10.0))

    def slowness(self, now: float) -> float:
        return SLOWNESS if any(start <= now < end for start, end in self.spells) else 1.0

    def done_at(self, work_s: float, now: float) -> float:
        """Return when a request that starts now has ended."""
        for start, end in self.spells:
            if end <= now:
                continue
            if now + work_s <= start:
                break
            if now < start:
                work_s, now = work_s - (start - now), start
            if now + work_s * SLOWNESS <= end:
                return now + work_s * SLOWNESS
            work_s, now = work_s - (end - now) / SLOWNESS, end
        return now + work_s

    def load(self, now: float) -> ReportedLoad:
        return ReportedLoad(self.running, len(self.queue), SLOTS, self.slowness(now))


class Simulation:
    """Simulates one deployment.

    Args:
        shape: Its size and load.
        seed: Seed of arrivals, work and choices.
        choose: Returns the upstream for a request.
    """

    def __init__(
        self, shape: Shape, seed: int, choose: Callable[[Fleet, float], UpstreamRecord]
    ) -> None:
        self.shape, self.choose, self.rng = shape, choose, Random(seed)
        records = [
            upstream(f"u{index}", slots=SLOTS, zone=f"z{index % shape.zones}")
            for index in range(len(shape.speeds))
        ]
        self.upstreams = {
            record.name: SimulatedUpstream(record, speed, self.rng, shape.length_s)
            for record, speed in zip(records, shape.speeds, strict=True)
        }
        self.fleets = [
            Fleet(f"z{entry % shape.zones}", Random(seed * 1_000 + entry), admission(seed))
            for entry in range(shape.entries)
        ]
        for fleet in self.fleets:
            fleet.replace(records)
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.numbers = count()
        self.results: list[bool] = []
        self.deviations: list[float] = []
        self.sent: Counter[str] = Counter()
        self.near = 0

    def run(self) -> Figures:
        rate = self.shape.load * sum(SLOTS / (SERVICE_S * speed) for speed in self.shape.speeds)
        now = 0.0
        while (now := now + self.rng.expovariate(rate)) < self.shape.length_s:
            self.at(now, self.arrive)
        for tick in range(int(WARM_UP_S * 20), int(self.shape.length_s * 20)):
            self.at(tick / 20, self.sample)
        if self.shape.lost_zone_at < self.shape.length_s:
            self.at(self.shape.lost_zone_at, self.lose_zone)
        while self.events:
            now, _, event = heappop(self.events)
            event(now)
        total = self.sent.total()
        return Figures(
            self.results.count(False) / len(self.results),
            mean(self.deviations),
            {name: sent / total for name, sent in self.sent.items()},
            self.near / total,
        )

    def report(self, at: SimulatedUpstream, now: float) -> ReportedLoad:
        """Return what an upstream reports, before the response that brings it has ended."""
        load = at.load(now)
        if self.shape.misreport is not None and at.record.name == "u0":
            return self.shape.misreport(load)
        return load

    def lose_zone(self, now: float) -> None:
        left = [each.record for each in self.upstreams.values() if each.record.zone != "z0"]
        for fleet in self.fleets:
            fleet.replace(left)

    def at(self, time: float, event: Callable[[float], None]) -> None:
        heappush(self.events, (time, next(self.numbers), event))

    def sample(self, now: float) -> None:
        work = [each.running + len(each.queue) for each in self.upstreams.values()]
        if sum(work):
            self.deviations.append(pstdev(work) / mean(work))

    def choose_one(self, now: float) -> tuple[Fleet, UpstreamRecord]:
        number = self.rng.randrange(len(self.fleets))
        chosen = self.choose(self.fleets[number], now)
        if now >= WARM_UP_S:
            self.sent[chosen.name] += 1
            self.near += chosen.zone == f"z{number % self.shape.zones}"
        return self.fleets[number], chosen

    def arrive(self, arrived_at: float) -> None:
        fleet, chosen = self.choose_one(arrived_at)
        at = self.upstreams[chosen.name]
        work_s = SERVICE_S * at.speed * self.rng.uniform(0.5, 1.5)
        fleet.spend_permit(chosen, arrived_at)
        fleet.record_start(chosen)

        def respond(verdict: Verdict, load: ReportedLoad) -> Callable[[float], None]:
            def end(now: float) -> None:
                if self.shape.reports:
                    fleet.record_signals(chosen, UpstreamSignals(load=load), arrived_at, now)
                is_sound = verdict is Verdict.SOUND
                fleet.record_end(chosen, verdict, now, now - arrived_at if is_sound else None)
                if arrived_at >= WARM_UP_S:
                    self.results.append(is_sound and now - arrived_at <= TARGET_S)

            return end

        def finish(now: float) -> None:
            self.at(now + NETWORK_S, respond(Verdict.SOUND, self.report(at, now)))
            at.running -= 1
            if at.queue:
                at.queue.pop(0)(now)

        def start(now: float) -> None:
            at.running += 1
            self.at(at.done_at(work_s, now), finish)

        def reach(now: float) -> None:
            if self.shape.fails_fast and chosen.name == "u0":
                self.at(now + NETWORK_S, respond(Verdict.ERROR, self.report(at, now)))
            elif at.running < SLOTS:
                start(now)
            elif len(at.queue) < QUEUE:
                at.queue.append(start)
            else:
                self.at(now + NETWORK_S, respond(Verdict.FULL, self.report(at, now)))

        self.at(arrived_at + NETWORK_S, reach)


def _spells(rng: Random, length_s: float) -> Iterator[tuple[float, float]]:
    now = 0.0
    while now < length_s:
        now += rng.expovariate(SLOW_SHARE / (1 - SLOW_SHARE) / SLOW_SPELL_S)
        end = now + rng.uniform(0.5, 1.5) * SLOW_SPELL_S
        yield now, end
        now = end
