from hypothesis import given, settings
from hypothesis import strategies as st

from chivehold.core.deadlines import MAX_STALE_ENTRIES, Deadlines

TIMES = st.integers(0, 20).map(float)
STEPS = st.lists(st.tuples(st.sampled_from("abc"), st.none() | TIMES), max_size=30)


class TestDeadlines:
    @settings(derandomize=True)
    @given(STEPS, TIMES)
    def test_agrees_with_a_plain_mapping(
        self, steps: list[tuple[str, float | None]], now: float
    ) -> None:
        """Whatever is set and discarded, each due key is yielded exactly once and in order."""
        deadlines: Deadlines[str] = Deadlines()
        model: dict[str, float] = {}
        for key, at in steps:
            if at is None:
                deadlines.discard(key)
                model.pop(key, None)
            else:
                deadlines.set(key, at)
                model[key] = at
            assert deadlines.next_due() == min(model.values(), default=None)
        due = [model[key] for key in deadlines.expire(now)]
        assert due == sorted(at for at in model.values() if at <= now)
        assert len(deadlines) == len(model) - len(due)

    def test_compacts_discarded_keys(self) -> None:
        """Discarded keys that are due much later leave only a bounded number of heap entries."""
        deadlines: Deadlines[int] = Deadlines()
        deadlines.set(-1, 1.0)
        for key in range(10_000):
            deadlines.set(key, 900.0)
            deadlines.discard(key)
        assert len(deadlines._heap) <= MAX_STALE_ENTRIES + 2
        assert list(deadlines.expire(1_000.0)) == [-1]
