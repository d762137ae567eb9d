"""Random histories of content that ends engines, at three entries, two engines and a store."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from trio.testing import MockClock

from chivehold.core.direct.crash_keys import CrashKey, KeyKind
from chivehold.core.direct.quarantine import MAX_TRIALS, TRIAL_BACKOFF
from chivehold.fakes.object_store import StoreCopy
from chivehold.store.quarantine_records import (
    CHECK_INTERVAL_S,
    QUARANTINE_KIND,
    QUARANTINE_NAME,
)
from tests.direct.crash_world import ENGINES, ENTRIES, POLICY, CrashWorld

SETTLING_S = 1.5 * CHECK_INTERVAL_S
"""Time after which all entries that reach each other and the store must agree."""

Step = Callable[[CrashWorld], Awaitable[None]]


def part(value: str) -> CrashKey:
    return CrashKey(KeyKind.PROMPT_PART, value)


SHARED, BAD, OTHER = part("shared"), part("bad"), part("other")
BAD_PROMPT = (SHARED, BAD)
SOUND_PROMPTS = ((SHARED,), (SHARED, OTHER), (OTHER,))

entry_names = st.sampled_from([f"entry-{number}" for number in range(ENTRIES)])
engine_numbers = st.integers(0, ENGINES - 1)


class CrashHistories(RuleBasedStateMachine):
    """Collects the steps of a history; ``teardown`` plays it and checks how it has ended."""

    def __init__(self) -> None:
        super().__init__()
        self._steps: list[Step] = []
        self._copy: StoreCopy | None = None

    @rule(entry=entry_names, engine=engine_numbers)
    def send_bad(self, entry: str, engine: int) -> None:
        self._add(lambda world: world.run_request(entry, engine, BAD_PROMPT, True))

    @rule()
    def send_bad_everywhere(self) -> None:
        self._add(send_bad_at_all_entries)

    @rule(entry=entry_names, engine=engine_numbers, prompt=st.sampled_from(SOUND_PROMPTS))
    def send_sound(self, entry: str, engine: int, prompt: tuple[CrashKey, ...]) -> None:
        self._add(lambda world: world.run_request(entry, engine, prompt, False))

    @rule(entry=entry_names, engine=engine_numbers, prompt=st.sampled_from(SOUND_PROMPTS))
    def crash_for_another_reason(
        self, entry: str, engine: int, prompt: tuple[CrashKey, ...]
    ) -> None:
        self._add(lambda world: world.run_request(entry, engine, prompt, True))

    @rule(entry=entry_names, key=st.sampled_from([SHARED, BAD, OTHER]), is_active=st.booleans())
    def order(self, entry: str, key: CrashKey, is_active: bool) -> None:
        def give(world: CrashWorld) -> None:
            if is_active:
                world.ordered.add(key)
            world.entries[entry].quarantines.order(key, is_active, "operator")

        self._add_sync(give)

    @rule(entry=entry_names, is_cut=st.booleans())
    def cut(self, entry: str, is_cut: bool) -> None:
        def set_cut(world: CrashWorld) -> None:
            (world.cut_off.add if is_cut else world.cut_off.discard)(entry)

        self._add_sync(set_cut)

    @rule(entry=entry_names)
    def restart(self, entry: str) -> None:
        self._add_sync(lambda world: world.restart(entry))

    @rule(is_away=st.booleans())
    def set_store_away(self, is_away: bool) -> None:
        self._add_sync(lambda world: world.set_store_away(is_away))

    @rule()
    def copy_store(self) -> None:
        def copy(world: CrashWorld) -> None:
            self._copy = world.store.copy()

        self._add_sync(copy)

    @rule()
    def restore_store(self) -> None:
        def restore(world: CrashWorld) -> None:
            if self._copy is not None:
                world.restore(self._copy)

        self._add_sync(restore)

    @rule(time_s=st.sampled_from([0.1, 1.0, 6.0, 25.0]))
    def wait(self, time_s: float) -> None:
        self._add(lambda world: trio.sleep(time_s))

    def teardown(self) -> None:
        """Play the history."""
        trio.run(self._play, clock=MockClock(autojump_threshold=0))

    def _add(self, step: Step) -> None:
        self._steps.append(step)

    def _add_sync(self, step: Callable[[CrashWorld], Any]) -> None:
        async def run(world: CrashWorld) -> None:
            step(world)

        self._steps.append(run)

    async def _play(self) -> None:
        async with trio.open_nursery() as nursery:
            world = CrashWorld(nursery, seed=len(self._steps))
            nursery.start_soon(world.run_network)
            for step in self._steps:
                await step(world)
                check_convictions(world)
            world.cut_off.clear()
            world.set_store_away(False)
            await trio.sleep(SETTLING_S)
            check_agreement(world)
            check_convictions(world)
            await check_bad_prompts_are_stopped(world)
            check_trials(world)
            nursery.cancel_scope.cancel()


async def send_bad_at_all_entries(world: CrashWorld) -> None:
    """Let all entries send a prompt that ends engines at the same moment."""
    async with trio.open_nursery() as nursery:
        for number, entry in enumerate(world.living()):
            engine = number % ENGINES
            nursery.start_soon(world.run_request, entry.name, engine, BAD_PROMPT, True)


def check_convictions(world: CrashWorld) -> None:
    """Content is refused only if enough engines ended under it or an operator has said so."""
    for entry in world.living():
        for key in entry.active() - world.ordered:
            assert len(world.ends.get(key, ())) >= POLICY.ends, key


def check_agreement(world: CrashWorld) -> None:
    """All entries know the same orders, and the store has them."""
    first, *others = world.living()
    for other in others:
        assert other.orders() == first.orders()
    stored = world.store.copy().objects.get((QUARANTINE_KIND, QUARANTINE_NAME))
    assert stored is not None or not first.orders()


async def check_bad_prompts_are_stopped(world: CrashWorld) -> None:
    """However the history went, few more prompts that end engines are let through."""
    before = len(world.ends.get(BAD, ()))
    for number in range(4 * POLICY.ends_if_sound_before):
        await world.run_request(
            f"entry-{number % ENTRIES}", number % ENGINES, (*BAD_PROMPT, part(f"{number}")), True
        )
        await trio.sleep(1.0)
    more = len(world.ends.get(BAD, ())) - before
    assert more <= POLICY.ends_if_sound_before + MAX_TRIALS
    for _ in range(2 * MAX_TRIALS):
        await trio.sleep(POLICY.trial_s * TRIAL_BACKOFF)
        await send_bad_at_all_entries(world)
    assert all(BAD in e.active() or SHARED in e.active() for e in world.living())


def check_trials(world: CrashWorld) -> None:
    """All entries together try each content a few times at most; a restored store may forget."""
    for key, count in world.trials.items():
        assert count <= MAX_TRIALS * (1 + world.restores), key


# Guards against verdicts that depend on the order of facts, faults and restarts.
TestCrashHistories = CrashHistories.TestCase
TestCrashHistories.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
