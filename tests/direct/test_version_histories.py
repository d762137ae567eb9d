"""Random histories of releases, ends of entries and trouble with the store, at three entries."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from trio.testing import MockClock

from chivehold.direct.refusals import Refusal
from chivehold.fakes.object_store import StoreCopy
from tests.direct.version_world import DEADLINE_S, BegunStream, VersionWorld

ENTRIES = 3
ENGINES = ("e1", "e2", "e3", "e4")
VERSIONS = ("", "v1", "v2")
SETTLING_S = 6.0
"""Time after which all entries that reach the store know what is in it."""
STORED_AFTER_S = 0.5
"""Time after which the origin of a stream is in the store."""

Step = Callable[[VersionWorld], Awaitable[None]]

entry_names = st.sampled_from([f"entry-{number}" for number in range(ENTRIES)])
engine_names = st.sampled_from(ENGINES)


class VersionHistories(RuleBasedStateMachine):
    """Collects the steps of a history; ``teardown`` plays it and checks each resumption."""

    def __init__(self) -> None:
        super().__init__()
        self._steps: list[Step] = []
        self._copy: StoreCopy | None = None

    @rule(entry=entry_names, count=st.integers(1, 4))
    def begin(self, entry: str, count: int) -> None:
        def begin_streams(world: VersionWorld) -> None:
            for _ in range(count):
                world.begin(entry)

        self._add_sync(begin_streams)

    @rule()
    def resume_all(self) -> None:
        self._add(resume_all)

    @rule(engine=engine_names, software=st.sampled_from(VERSIONS))
    def replace_engine(self, engine: str, software: str) -> None:
        self._add_sync(lambda world: world.add_engine(engine, software))

    @rule(engine=engine_names)
    def remove_engine(self, engine: str) -> None:
        self._add_sync(lambda world: world.remove_engine(engine))

    @rule(software=st.sampled_from(VERSIONS))
    def release(self, software: str) -> None:
        def replace_all(world: VersionWorld) -> None:
            for engine in ENGINES:
                world.add_engine(engine, software)

        self._add_sync(replace_all)

    @rule(entry=entry_names)
    def restart(self, entry: str) -> None:
        self._add_sync(lambda world: world.restart(entry))

    @rule()
    def restart_all(self) -> None:
        self._add_sync(VersionWorld.start_entries)

    @rule(entry=entry_names, is_cut=st.booleans())
    def cut(self, entry: str, is_cut: bool) -> None:
        def set_cut(world: VersionWorld) -> None:
            (world.cut_off.add if is_cut else world.cut_off.discard)(entry)

        self._add_sync(set_cut)

    @rule(is_away=st.booleans())
    def set_store_away(self, is_away: bool) -> None:
        self._add_sync(lambda world: world.set_store_away(is_away))

    @rule()
    def copy_store(self) -> None:
        def copy(world: VersionWorld) -> None:
            self._copy = world.store.copy()

        self._add_sync(copy)

    @rule()
    def restore_store(self) -> None:
        def restore(world: VersionWorld) -> None:
            if self._copy is not None:
                world.store.restore(self._copy)

        self._add_sync(restore)

    @rule(time_s=st.sampled_from([0.02, 0.3, 1.0, 5.0, 16.0]))
    def wait(self, time_s: float) -> None:
        self._add(lambda world: trio.sleep(time_s))

    def teardown(self) -> None:
        """Play the history."""
        trio.run(self._play, clock=MockClock(autojump_threshold=0))

    def _add(self, step: Step) -> None:
        self._steps.append(step)

    def _add_sync(self, step: Callable[[VersionWorld], Any]) -> None:
        async def run(world: VersionWorld) -> None:
            step(world)

        self._steps.append(run)

    async def _play(self) -> None:
        async with trio.open_nursery() as nursery:
            world = VersionWorld(nursery, ENTRIES, seed=len(self._steps))
            for engine in ENGINES:
                world.add_engine(engine, "v1")
            world.start_entries()
            await trio.sleep(1.0)
            for step in self._steps:
                await step(world)
            await resume_all(world)
            world.set_store_away(False)
            world.cut_off.clear()
            await trio.sleep(SETTLING_S)
            await check_known(world)
            nursery.cancel_scope.cancel()


def going_on(world: VersionWorld) -> list[BegunStream]:
    """Return the streams whose callers still wait."""
    now = trio.current_time()
    return [stream for stream in world.begun if now < stream.at + DEADLINE_S]


async def resume_all(world: VersionWorld) -> None:
    """Resume each stream at each entry; none may go on at another version."""

    async def resume(entry: str, stream: BegunStream) -> None:
        software = await world.resume(entry, stream)
        # An entry that has no other engine may begin streams that others cannot know of.
        if stream.is_confirmed and not isinstance(software, Refusal):
            assert software == stream.software, (entry, stream)

    async with trio.open_nursery() as nursery:
        for entry in list(world.entries):
            for stream in going_on(world):
                nursery.start_soon(resume, entry, stream)


async def check_known(world: VersionWorld) -> None:
    """Without faults, each stream that is stored goes on wherever its caller resumes it."""
    for entry in list(world.entries):
        begun = world.begin(entry)
        await trio.sleep(STORED_AFTER_S)
        if begun is None:
            continue
        world.restart(entry)
        await trio.sleep(STORED_AFTER_S)
        for other in list(world.entries):
            resumed = await world.resume(other, begun)
            if isinstance(resumed, Refusal) and resumed.retry_after_s is not None:
                await trio.sleep(resumed.retry_after_s)
                resumed = await world.resume(other, begun)
            assert resumed == begun.software


# Guards against streams joined from two versions around ends of entries and outages of the store.
TestVersionHistories = VersionHistories.TestCase
TestVersionHistories.settings = settings(
    max_examples=40, stateful_step_count=25, derandomize=True, deadline=None
)
