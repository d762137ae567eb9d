"""Which upstreams an entry sends heartbeats to, and what their answers cause."""

from collections import Counter

import pytest
import trio

from chivehold.core.declared import Declarations, Service, Upstream
from chivehold.core.entry_messages import LoadReported, UpstreamUnreachable
from chivehold.core.identity import Role
from chivehold.core.wire import LoadReport, UpstreamState
from chivehold.entry.heartbeats import MIN_POOL_SUBSET, Heartbeats, subset, subsets
from chivehold.exceptions import Malformed

INTERVAL_S = 0.5
REPORT = LoadReport(
    **dict.fromkeys(LoadReport._fields, 0)
    | {"incarnation": "s.1", "role": Role.SERVICE, "state": UpstreamState.READY, "revision": 7}
)


def _pool(size: int) -> tuple[Upstream, ...]:
    return tuple(
        Upstream(f"u{n}", Role.SERVICE, "sjo-a", f"a:{n}", f"c:{n}", 20) for n in range(size)
    )


def _declared(size: int) -> Declarations:
    return Declarations(1, (), (Service("forja", _pool(size), ()),))


class FakeSidecars:
    """Counts heartbeats; those in ``down`` do not answer."""

    def __init__(self) -> None:
        self.counts = Counter()
        self.down = set()
        self.messages = []

    async def heartbeat(self, upstream, heartbeat, timeout_s) -> LoadReport:
        self.counts[upstream] += 1
        self.messages.append(heartbeat)
        if upstream in self.down:
            raise Malformed("heartbeat", upstream)
        return REPORT


class FakeRevisions:
    def __init__(self) -> None:
        self.known = {}

    def record_revision(self, peer: str, revision: int) -> None:
        self.known[peer] = revision

    def forget(self, peer: str) -> None:
        self.known.pop(peer, None)


class TestHeartbeats:
    @pytest.fixture
    def parts(self, nursery):
        sidecars, revisions, events = FakeSidecars(), FakeRevisions(), []
        sidecars.lost = []
        heartbeats = Heartbeats(
            sidecars,
            "entry-1",
            "entry-1.x",
            INTERVAL_S,
            3,
            events.append,
            sidecars.lost.append,
            lambda: 7,
            revisions,
            nursery,
        )
        return heartbeats, sidecars, revisions, events

    async def test_subset_gets_regular_heartbeats(self, parts, autojump_clock) -> None:
        """Each upstream of the subset gets one heartbeat per interval, the others none."""
        heartbeats, sidecars, revisions, events = parts
        heartbeats.apply_declarations(_declared(10))
        await trio.sleep(10 * INTERVAL_S + 0.1)
        chosen = {upstream.name for upstream in subset("entry-1", _pool(10), 3)}
        assert sidecars.counts.keys() == revisions.known.keys() == chosen
        assert set(sidecars.counts.values()) <= {10, 11}
        assert all(isinstance(event, LoadReported) for event in events)
        assert sidecars.messages[-1].incarnation == "s.1"

    async def test_unreachable_upstream_is_reported(self, parts, autojump_clock) -> None:
        """A heartbeat without an answer is reported, and the next one is sent on time."""
        heartbeats, sidecars, revisions, events = parts
        sidecars.down.add("u0")
        heartbeats.apply_declarations(_declared(1))
        await trio.sleep(INTERVAL_S + 0.1)
        assert events == [UpstreamUnreachable("u0")] * 2
        assert revisions.known == {}

    async def test_upstream_is_lost_after_its_lease(self, parts, autojump_clock) -> None:
        """An upstream counts as lost only after it has been silent for longer than its lease."""
        heartbeats, sidecars, _, _ = parts
        heartbeats.apply_declarations(_declared(1))
        await trio.sleep(0.1)
        sidecars.down.add("u0")
        await trio.sleep(1.9)
        assert sidecars.lost == []
        await trio.sleep(2 * INTERVAL_S)
        assert set(sidecars.lost) == {"u0"}

    async def test_lease_at_key_home_outside_the_subset(self, parts, autojump_clock) -> None:
        """An entry keeps its lease at a key's home for as long as a request needs it."""
        heartbeats, sidecars, _, _ = parts
        heartbeats.apply_declarations(_declared(10))
        home = next(u.name for u in _pool(10) if u not in subset("entry-1", _pool(10), 3))
        heartbeats.hold(home)
        heartbeats.hold(home)
        await heartbeats.wait_granted(home)
        heartbeats.release(home)
        await trio.sleep(3 * INTERVAL_S)
        assert sidecars.counts[home] >= 3
        heartbeats.release(home)
        sent_before = sidecars.counts[home]
        await trio.sleep(3 * INTERVAL_S)
        assert sidecars.counts[home] <= sent_before + 1

    async def test_removed_upstream_gets_no_heartbeats(self, parts, autojump_clock) -> None:
        """Nothing is sent to an upstream that is no longer declared."""
        heartbeats, sidecars, revisions, _ = parts
        heartbeats.apply_declarations(_declared(2))
        await trio.sleep(INTERVAL_S)
        heartbeats.apply_declarations(_declared(1))
        sidecars.counts.clear()
        await trio.sleep(3 * INTERVAL_S)
        assert sidecars.counts.keys() == revisions.known.keys() == {"u0"}


class TestSubset:
    def test_entries_spread_over_a_pool(self) -> None:
        """40 entries with 16 of 100 upstreams each use all of them, and none far too often."""
        used = Counter(u.name for n in range(40) for u in subset(f"entry-{n}", _pool(100), 16))
        assert len(used) == 100
        assert max(used.values()) <= 3 * 40 * 16 / 100

    @pytest.mark.parametrize("pool_size", (3, 20, 154))
    @pytest.mark.parametrize("pools", (3, 24, 40))
    def test_total_is_bounded_over_all_pools(self, pools, pool_size) -> None:
        """The total number of upstreams is bounded however many pools there are; none is empty."""
        max_upstreams = 96
        sizes = [
            len(chosen) for chosen in subsets("entry-1", [_pool(pool_size)] * pools, max_upstreams)
        ]
        assert sum(sizes) <= max(max_upstreams, pools * MIN_POOL_SUBSET)
        assert min(sizes) >= min(pool_size, MIN_POOL_SUBSET)
        assert sum(sizes) >= min(pools * pool_size, max_upstreams - pools)

    def test_unused_share_goes_to_larger_pools(self) -> None:
        """What small pools do not use goes to larger ones."""
        pools = [_pool(100), _pool(5), _pool(3)]
        assert [len(chosen) for chosen in subsets("entry-1", pools, 96)] == [3, 5, 88]

    def test_few_assignments_change_with_a_pool(self) -> None:
        """A removed upstream is replaced, the others stay."""
        before = subset("entry-1", _pool(100), 16)
        rest = [upstream for upstream in _pool(100) if upstream != before[0]]
        assert set(before[1:]) <= set(subset("entry-1", rest, 16))
