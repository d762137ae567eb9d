"""A follower of a store that fails, answers slowly, loses history and returns stale lists."""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from chivehold.core.direct.replica import LAPSE_GRACE_S, Replica
from chivehold.store.api import HistoryGone, Snapshot, StoredObject, Unavailable
from chivehold.store.follower import Follower

KIND = "kind"
NAMES = "abcd"
UNREADABLE = b"?"
MAX_CATCH_UP_S = LAPSE_GRACE_S + 4.0
"""After the last fault: the longest retry delay, one call and the grace period."""


class Write(NamedTuple):
    name: str
    value: bytes | None
    """``None`` deletes the object."""


class Outage(NamedTuple):
    """The store refuses every call for some seconds."""

    duration_s: float


class SlowAnswers(NamedTuple):
    """Each answer from now on arrives ``delay_s`` seconds after its state was read."""

    delay_s: float


class StaleList(NamedTuple):
    """The next list returns the state before the latest ``changes`` changes."""

    changes: int


class ForgetHistory(NamedTuple):
    """The next watch fails with ``HistoryGone``."""


class Wait(NamedTuple):
    duration_s: float


Step = Write | Outage | SlowAnswers | StaleList | ForgetHistory | Wait

STEPS = st.lists(
    st.one_of(
        st.builds(Write, st.sampled_from(NAMES), st.sampled_from((b"1", b"2", UNREADABLE, None))),
        st.builds(Outage, st.floats(0.1, 4.0)),
        st.builds(SlowAnswers, st.floats(0.0, 2.0)),
        st.builds(StaleList, st.integers(1, 3)),
        st.builds(ForgetHistory),
        st.builds(Wait, st.floats(0.01, 3.0)),
    ),
    min_size=10,
    max_size=40,
)


class FaultyStore:
    """Implements the calls of ``ObjectStore`` that a follower uses."""

    def __init__(self) -> None:
        self._history: list[StoredObject] = []
        self._is_history_gone = False
        self._changed = trio.Event()
        self.is_unavailable = False
        self.answer_delay_s = 0.0
        self.stale_changes = 0

    @property
    def revision(self) -> int:
        return len(self._history)

    def write(self, step: Write) -> None:
        is_deletion = step.value is None
        self._history.append(
            StoredObject(
                KIND, step.name, "u", self.revision + 1, step.value or b"", (), is_deletion
            )
        )
        self._changed.set()
        self._changed = trio.Event()

    def forget_history(self) -> None:
        self._is_history_gone = True
        self._changed.set()
        self._changed = trio.Event()

    def objects(self, revision: int) -> dict[str, StoredObject]:
        latest = {stored.name: stored for stored in self._history[:revision]}
        return {name: stored for name, stored in latest.items() if not stored.deleted}

    async def list(self, kind: str, may_be_stale: bool = False) -> Result[Snapshot, Unavailable]:
        revision, self.stale_changes = max(0, self.revision - self.stale_changes), 0
        answer = Snapshot(revision, tuple(self.objects(revision).values()))
        return await self._answer(answer)

    async def watch(
        self, kinds: Sequence[str], after_revision: int, wait_s: float
    ) -> Result[Snapshot, Unavailable | HistoryGone]:
        with trio.move_on_after(wait_s):
            while (
                after_revision >= self.revision
                and not self.is_unavailable
                and not self._is_history_gone
            ):
                await self._changed.wait()
        if self._is_history_gone:
            self._is_history_gone = False
            return Failure(HistoryGone("watch", "store"))
        changes = tuple(self._history[after_revision:])
        return await self._answer(Snapshot(self.revision, changes))

    async def _answer(self, answer: Snapshot) -> Result[Snapshot, Unavailable]:
        is_unavailable = self.is_unavailable
        await trio.sleep(0.01 + self.answer_delay_s)
        if is_unavailable or self.is_unavailable:
            return Failure(Unavailable("call", "store", "out"))
        return Success(answer)


def decode(name: str, value: bytes) -> Result[str, str]:
    return Failure("unreadable") if value == UNREADABLE else Success(name + value.decode())


async def run_steps(steps: Sequence[Step]) -> None:
    store, replica = FaultyStore(), Replica[str](LAPSE_GRACE_S)
    revisions = [0]

    def publish() -> None:
        revisions.append(replica.revision)

    follower = Follower(store, KIND, decode, replica, publish, Random(1))  # type: ignore[arg-type]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(1.0)
        for step in steps:
            await apply_step(store, step)
            assert replica.revision <= store.revision
        store.answer_delay_s, store.stale_changes = 0.0, 0
        await trio.sleep(MAX_CATCH_UP_S)
        expected = (
            decode(stored.name, stored.value) for stored in store.objects(store.revision).values()
        )
        readable = {value.unwrap() for value in expected if isinstance(value, Success)}
        assert set(replica.values()) == readable
        assert revisions == sorted(revisions)
        assert not follower.is_store_lost
        nursery.cancel_scope.cancel()


async def apply_step(store: FaultyStore, step: Step) -> None:
    if isinstance(step, Write):
        store.write(step)
    elif isinstance(step, SlowAnswers):
        store.answer_delay_s = step.delay_s
    elif isinstance(step, StaleList):
        store.stale_changes = step.changes
    elif isinstance(step, ForgetHistory):
        store.forget_history()
    else:
        store.is_unavailable = isinstance(step, Outage)
        await trio.sleep(step.duration_s)
        store.is_unavailable = False


class TestFollower:
    @given(STEPS)
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_never_goes_back_and_catches_up(self, steps: list[Step]) -> None:
        """The replica's revision never decreases, and the replica finally equals the store."""
        trio.run(run_steps, steps, clock=trio.testing.MockClock(autojump_threshold=0))
