"""Four or five entries that share a prefill engine, each knowing only its own prompts.

The tests simulate a burst in which all entries together send more prompts than the engine can
prefill in time. The engine interleaves its prompts on a simulated clock; there is no network.
"""

from random import Random

import pytest

from chivehold.core.direct.messages import ReportedLoad, UpstreamIncarnation
from chivehold.core.direct.prefill_load import MAX_TIMEOUT_S, MIN_TIMEOUT_S, PrefillLoad
from chivehold.core.direct.reported_load import ReportedLoads

ENGINE = UpstreamIncarnation("p", 1)
TOKENS = 3_000
UNSHARED_S = 0.1
PATIENCE_S = 0.27
LIGHT_LOAD_PROMPTS = 1.4
STEP_S = 0.005


class Burst:
    """Simulates entries that share one engine, which divides its time among its prompts."""

    def __init__(self, entries: int, arrivals_per_s: float, seed: int, limited: bool) -> None:
        self.rng = Random(seed)
        self.loads = [PrefillLoad() for _ in range(entries)]
        self.limited = limited
        self.arrivals_per_s = arrivals_per_s
        self.running: list[tuple[int, float, float]] = []
        self.durations_s: list[float] = []
        self.rejected = 0

    def run(self, length_s: float) -> None:
        now = 0.0
        while now < length_s or self.running:
            now += STEP_S
            if now < length_s and self.rng.random() < self.arrivals_per_s * STEP_S:
                self.arrive(self.rng.randrange(len(self.loads)), now)
            self.advance(now)

    def arrive(self, entry: int, now: float) -> None:
        load = self.loads[entry]
        if self.limited and not load.may_use(ENGINE, TOKENS, 1, len(self.loads), PATIENCE_S, now):
            self.rejected += 1
            return
        self.loads[entry].record_start(ENGINE, TOKENS, now)
        self.running.append((entry, now, UNSHARED_S))

    def advance(self, now: float) -> None:
        share_s = STEP_S / max(1, len(self.running))
        unfinished = []
        for entry, started_at, left_s in self.running:
            if left_s > share_s:
                unfinished.append((entry, started_at, left_s - share_s))
                continue
            self.durations_s.append(now - started_at)
            self.loads[entry].record_end(ENGINE, started_at)
            self.loads[entry].record_duration(ENGINE, TOKENS, now - started_at, now)
        self.running = unfinished


@pytest.mark.parametrize("seed", range(4))
class TestBurst:
    def test_prefill_duration_stays_bounded(self, seed: int) -> None:
        """At twice the engine's capacity the median prefill takes at most four times as long."""
        burst = Burst(entries=5, arrivals_per_s=20.0, seed=seed, limited=True)
        burst.run(8.0)
        assert sorted(burst.durations_s)[len(burst.durations_s) // 2] <= 4 * UNSHARED_S
        unlimited = Burst(entries=5, arrivals_per_s=20.0, seed=seed, limited=False)
        unlimited.run(8.0)
        assert sorted(unlimited.durations_s)[len(unlimited.durations_s) // 2] > 10 * UNSHARED_S

    def test_engine_stays_well_used(self, seed: int) -> None:
        """At least half of the engine's capacity is used."""
        burst = Burst(entries=5, arrivals_per_s=20.0, seed=seed, limited=True)
        burst.run(8.0)
        assert len(burst.durations_s) * UNSHARED_S >= 0.5 * 8.0

    def test_lightly_loaded_engine_gets_almost_all_prompts(self, seed: int) -> None:
        """At a third of the engine's capacity, almost no prompt is kept away."""
        burst = Burst(entries=4, arrivals_per_s=3.3, seed=seed, limited=True)
        burst.run(20.0)
        assert burst.rejected <= 0.05 * len(burst.durations_s)


class TestTimeout:
    def test_is_bounded(self) -> None:
        """The timeout stays within its limits, whatever durations were recorded."""
        load = PrefillLoad()
        assert load.timeout_s(ENGINE, 10, 0.0) == MIN_TIMEOUT_S
        for _ in range(20):
            load.record_duration(ENGINE, TOKENS, 30.0, 0.0)
        assert load.timeout_s(ENGINE, TOKENS, 0.0) == MAX_TIMEOUT_S

    def test_load_estimate_decays(self) -> None:
        """An engine whose prefill timed out counts as lightly loaded after some seconds."""
        load = PrefillLoad()
        load.record_timeout(ENGINE, 0.0)
        assert load.estimated_prompts(ENGINE, 0.0) > LIGHT_LOAD_PROMPTS
        assert load.estimated_prompts(ENGINE, 8.0) < LIGHT_LOAD_PROMPTS


class TestShare:
    def test_equal_share_is_always_allowed(self) -> None:
        """With one engine and four entries, each entry may always use a quarter."""
        load = PrefillLoad()
        for number in range(8):
            load.record_timeout(ENGINE, float(number))
            assert load.may_use(ENGINE, TOKENS, 1, 4, PATIENCE_S, float(number))
            load.record_start(ENGINE, TOKENS, float(number))


class TestPatience:
    def test_bounded(self) -> None:
        """In a burst prompts are sent until the next would take longer than there is patience."""
        load, sent = PrefillLoad(), 0
        while load.may_use(ENGINE, TOKENS, 1, 100, PATIENCE_S, 0.0):
            load.record_start(ENGINE, TOKENS, 0.0)
            sent += 1
        assert load.expected_s(ENGINE, TOKENS, 0.0) > PATIENCE_S
        load.record_end(ENGINE, 0.0)
        assert load.expected_s(ENGINE, TOKENS, 0.0) <= PATIENCE_S

    def test_more_patience(self) -> None:
        """With more patience, an engine at which prefills take long is used as well."""
        load = PrefillLoad()
        assert load.may_use(ENGINE, TOKENS, 1, 100, PATIENCE_S, 0.0)
        for _ in range(4):
            load.record_start(ENGINE, TOKENS, 0.0)
        assert not load.may_use(ENGINE, TOKENS, 1, 100, PATIENCE_S, 0.0)
        assert load.may_use(ENGINE, TOKENS, 1, 100, MAX_TIMEOUT_S, 0.0)


class TestSpeeds:
    """Three prefill engines, of which one takes 2.4 times as long as the others."""

    FAST, SLOW, NEW = (UpstreamIncarnation(name, 1) for name in ("fast", "slow", "new"))

    @pytest.fixture
    def loads(self) -> ReportedLoads:
        return ReportedLoads()

    @pytest.fixture
    def load(self, loads: ReportedLoads) -> PrefillLoad:
        made = PrefillLoad(loads=loads)
        for _ in range(10):
            for engine in (self.FAST, UpstreamIncarnation("fast too", 1)):
                made.record_duration(engine, TOKENS, UNSHARED_S, 0.0)
            made.record_duration(self.SLOW, TOKENS, 2.4 * UNSHARED_S, 0.0)
        return made

    def test_slow_engine_is_not_taken_for_a_busy_one(self, load: PrefillLoad) -> None:
        """A fault of one time for all engines: a slow one seemed to have two prompts always."""
        assert load.estimated_prompts(self.SLOW, 0.0) == pytest.approx(1.0, abs=0.3)
        assert load.expected_s(self.SLOW, TOKENS, 0.0) == pytest.approx(0.24, rel=0.2)
        assert load.expected_s(self.FAST, TOKENS, 0.0) == pytest.approx(0.1, rel=0.2)

    def test_fast_engine_is_used_to_its_capacity(self, load: PrefillLoad) -> None:
        """In a demand wave, more prompts are sent to a fast engine than to a slow one."""
        sent = {self.FAST: 0, self.SLOW: 0}
        for engine in sent:
            while load.may_use(engine, TOKENS, 3, 1_000, 0.5, 0.0):
                load.record_start(engine, TOKENS, 0.0)
                sent[engine] += 1
        assert sent[self.FAST] >= 2 * sent[self.SLOW] > 0

    def test_slowdown_leaves_the_speed(self, load: PrefillLoad, loads: ReportedLoads) -> None:
        """A temporary slowdown lengthens what is expected now, and not what is usual."""
        for number in range(10):
            loads.record(self.FAST, ReportedLoad(1, 0, 8, 2.5), 1, float(number))
            load.record_duration(self.FAST, TOKENS, 2.5 * UNSHARED_S, float(number))
        assert load.expected_s(self.FAST, TOKENS, 9.0) == pytest.approx(0.25, rel=0.2)
        assert load.expected_s(self.FAST, TOKENS, 11.0) == pytest.approx(0.1, rel=0.2)

    def test_timeout_leaves_room_for_slow_engines(self, load: PrefillLoad) -> None:
        """A prefill at a slow engine is not given up as failed."""
        assert load.timeout_s(self.SLOW, TOKENS, 0.0) > 0.9
        assert load.timeout_s(self.FAST, TOKENS, 0.0) == MIN_TIMEOUT_S

    def test_new_engine_is_probed(self, load: PrefillLoad) -> None:
        """An engine that starts during a demand wave gets one prompt of an entry at a time."""
        load.record_timeout(self.FAST, 0.0)
        assert load.estimated_prompts(self.NEW, 0.0) > 1.0
        assert load.may_use(self.NEW, TOKENS, 3, 4, 1.0, 1.0)
        load.record_start(self.NEW, TOKENS, 1.0)
        assert not load.may_use(self.NEW, TOKENS, 3, 4, 1.0, 1.0)
        load.record_duration(self.NEW, TOKENS, UNSHARED_S, 1.1)
        assert load.may_use(self.NEW, TOKENS, 3, 4, 1.0, 1.1)
