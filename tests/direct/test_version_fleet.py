"""A simulated fleet in which a release runs while all entries are killed three times.

Streams that were broken off are resumed at any entry. The entries' knowledge is the real one;
calls, engines and the clock are simulated. Run as a script, it prints the table of CAPACITY.md.
"""

import sys
from random import Random
from typing import NamedTuple

import pytest
import trio
from trio.testing import MockClock

from chivehold.direct.refusals import Refusal
from tests.direct.version_world import BegunStream, VersionWorld

KILLS_S = (12.0, 20.5, 29.8)
DOWN_S = 1.0
RELEASES_S = (2.0, 29.0)
END_S = 40.0
FIRST_EVENT_S = 0.4
STREAM_S = 1.8
RESET_SHARE = 0.02
"""Share of the streams that a reset connection breaks off."""
RETURNS_S = (1.5, 4.0)
"""When callers resume, after their streams broke off; an entry is up again by then."""
MAX_REFUSED_SHARE = 0.05
MAX_CALLS_PER_S = 0.1
"""Calls to the store by an entry outside a release."""


class FleetShape(NamedTuple):
    """Size and load of a fleet."""

    entries: int
    engines: int
    streams_per_s: float
    """Streams that begin at each entry."""


class FleetResult(NamedTuple):
    """What became of the streams that callers resumed."""

    resumed: int
    """Those whose version still served."""
    joined: int
    refused: int
    """Those refused of ``resumed``."""
    calls_per_s: float
    """Calls to the store by an entry during the release."""
    quiet_calls_per_s: float
    """The same before the release."""
    bytes_per_s: float
    """Bytes that an entry writes to the store during the release."""


SMALL = FleetShape(4, 5, 1.3)
MEDIUM = FleetShape(24, 22, 1.0)
LARGE = FleetShape(120, 154, 5.0)


class _Fleet:
    def __init__(self, world: VersionWorld, shape: FleetShape, seed: int) -> None:
        self._world = world
        self._shape = shape
        self._rng = Random(seed)
        self._start = trio.current_time()
        self.resumed = self.joined = self.refused = 0

    async def release(self) -> None:
        half = (self._shape.engines + 1) // 2
        parts = (range(half), range(half, self._shape.engines))
        for begins_at, numbers in zip(RELEASES_S, parts, strict=True):
            await trio.sleep_until(self._start + begins_at)
            for number in numbers:
                self._world.add_engine(f"new{number}", "v2")
                self._world.remove_engine(f"old{number}")
                await trio.sleep(2.0 / len(numbers))

    async def kill(self) -> None:
        for kill_s in KILLS_S:
            await trio.sleep_until(self._start + kill_s)
            names = list(self._world.entries)
            for name in names:
                self._world.kill(name)
            await trio.sleep(DOWN_S)
            for name in names:
                self._world.restart(name)

    async def begin_streams(self, number: int, nursery: trio.Nursery) -> None:
        name = f"entry-{number}"
        while trio.current_time() < self._start + END_S:
            await trio.sleep(self._rng.expovariate(self._shape.streams_per_s))
            if name in self._world.entries and self._world.entries[name].sees_list:
                begun = self._world.begin(name)
                if begun is not None:
                    self._break_off(begun, nursery)

    def _break_off(self, begun: BegunStream, nursery: trio.Nursery) -> None:
        """Have a stream resumed if a kill or a reset breaks it off after its first event."""
        at = begun.at - self._start
        kill_s = next((kill for kill in KILLS_S if at < kill < at + STREAM_S), None)
        if kill_s is None and self._rng.random() < RESET_SHARE:
            kill_s = at + 1.0
        if kill_s is not None and kill_s > at + FIRST_EVENT_S:
            returns_s = kill_s + self._rng.uniform(*RETURNS_S)
            nursery.start_soon(self._resume, begun, self._start + returns_s)

    async def _resume(self, begun: BegunStream, at: float) -> None:
        await trio.sleep_until(at)
        serving = {record.software for record in self._world.listed()}
        name = self._rng.choice(list(self._world.entries) or [""])
        if not name:
            return
        software = await self._world.resume(name, begun)
        is_refused = isinstance(software, Refusal)
        self.joined += not is_refused and software != begun.software
        if begun.software in serving:
            self.resumed += 1
            self.refused += is_refused


async def play(shape: FleetShape, seed: int) -> FleetResult:
    """Play a release with three ends of all entries."""
    async with trio.open_nursery() as nursery:
        world = VersionWorld(nursery, shape.entries, seed)
        for number in range(shape.engines):
            world.add_engine(f"old{number}", "v1")
        world.start_entries()
        await trio.sleep(3.0)
        fleet = _Fleet(world, shape, seed)
        before, started = world.store.counts.total(), trio.current_time()
        async with trio.open_nursery() as tasks:
            tasks.start_soon(fleet.release)
            tasks.start_soon(fleet.kill)
            for number in range(shape.entries):
                tasks.start_soon(fleet.begin_streams, number, tasks)
            await trio.sleep_until(started + RELEASES_S[0])
            quiet = world.store.counts.total() - before
            written_before = world.store.written_bytes
            await trio.sleep_until(started + END_S)
            calls = world.store.counts.total() - before - quiet
            written = world.store.written_bytes - written_before
        nursery.cancel_scope.cancel()
    entry_s = shape.entries * (END_S - RELEASES_S[0])
    return FleetResult(
        fleet.resumed,
        fleet.joined,
        fleet.refused,
        calls / entry_s,
        quiet / (shape.entries * RELEASES_S[0]),
        written / entry_s,
    )


def run(shape: FleetShape, seed: int) -> FleetResult:
    """Play on a clock that jumps."""
    return trio.run(play, shape, seed, clock=MockClock(autojump_threshold=0))


class TestFleet:
    # Guards against joined streams, and refused ones, at any size of the fleet.
    @pytest.mark.parametrize(("shape", "seed"), [(SMALL, 0), (SMALL, 1), (SMALL, 2), (MEDIUM, 0)])
    def test_streams_go_on_at_their_version(self, shape: FleetShape, seed: int) -> None:
        """No stream is joined; few are refused; nothing is written without a release."""
        result = run(shape, seed)
        assert result.joined == 0
        assert result.refused <= MAX_REFUSED_SHARE * result.resumed
        assert result.resumed
        assert result.quiet_calls_per_s <= MAX_CALLS_PER_S


if __name__ == "__main__":
    for fleet_shape in (SMALL, MEDIUM, LARGE):
        for fleet_seed in range(int(sys.argv[1]) if len(sys.argv) > 1 else 3):
            print(fleet_shape, fleet_seed, run(fleet_shape, fleet_seed), flush=True)
