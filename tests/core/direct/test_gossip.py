"""Spreading of facts among entries over a simulated network that loses and delays messages."""

import heapq
import itertools
import math
from random import Random

import pytest

from chivehold.core.direct.gossip import (
    FANOUT,
    MAX_ITEMS,
    MAX_MESSAGE_BYTES,
    ROUNDS,
    Gossip,
    GossipItem,
    GossipMessage,
)

LOSS = 0.2
DELAYS_S = (0.001, 0.02)
SPREAD_S = 1.0
"""Time within which a fact must have reached all entries."""


class Network:
    """Entries that exchange messages in simulated time."""

    def __init__(self, count: int, seed: int = 1, loss: float = LOSS) -> None:
        self.rng = Random(seed)
        self.loss = loss
        self.now = 0.0
        self.entries: dict[str, Gossip] = {}
        self.learned_at: dict[str, dict[str, float]] = {}
        """When each entry learned of each fact, by entry and fact."""
        self.sent: dict[str, int] = {}
        """Number of messages sent by each entry."""
        self.cut_off: set[str] = set()
        self._events: list[tuple[float, int, str, GossipMessage | None]] = []
        """Messages on their way to an entry, and when an entry has to send some."""
        self._wakes_at: dict[str, float] = {}
        self._numbers = itertools.count()
        for number in range(count):
            self.add(f"e{number}")
        self.list_all()

    def add(self, name: str) -> Gossip:
        gossip = self.entries[name] = Gossip(name, Random(self.rng.random()))
        gossip.set_address(name)
        self.learned_at[name] = {}
        self.sent[name] = 0
        return gossip

    def list_all(self) -> None:
        addresses = {name: name for name in self.entries}
        for gossip in self.entries.values():
            gossip.set_peers(addresses)

    def publish(self, name: str, item_id: str, lifetime_s: float = 100.0) -> None:
        self.entries[name].publish(GossipItem(item_id, b"x" * 80, self.now, lifetime_s), self.now)
        self.learned_at[name][item_id] = self.now

    def run(self, duration_s: float) -> None:
        """Let messages flow for some time."""
        until = self.now + duration_s
        for name in self.entries:
            self._wake(name)
        while self._events[0][0] <= until:
            at, _, name, message = heapq.heappop(self._events)
            self.now = max(self.now, at)
            if message is not None:
                self._deliver(name, message)
            if self.entries[name].next_due(self.now) <= self.now:
                self._send(name)
            self._wake(name)
        self.now = until

    def knowing(self, item_id: str) -> int:
        return sum(item_id in learned for learned in self.learned_at.values())

    def _wake(self, name: str) -> None:
        """Have an entry send its next messages when they are due."""
        at = max(self.now, self.entries[name].next_due(self.now))
        if at < self._wakes_at.get(name, math.inf) or self._wakes_at[name] <= self.now:
            self._wakes_at[name] = at
            heapq.heappush(self._events, (at, next(self._numbers), name, None))

    def _send(self, name: str) -> None:
        for outgoing in self.entries[name].outgoing(self.now):
            self.sent[name] += 1
            if self.rng.random() < self.loss:
                continue
            for _ in range(1 + (self.rng.random() < 0.05)):
                at = self.now + self.rng.uniform(*DELAYS_S)
                event = (at, next(self._numbers), outgoing.address, outgoing.message)
                heapq.heappush(self._events, event)

    def _deliver(self, receiver: str, message: GossipMessage) -> None:
        if {receiver, message.sender} & self.cut_off:
            return
        for item in self.entries[receiver].receive(message, self.now):
            self.learned_at[receiver].setdefault(item.item_id, self.now)


class TestSpread:
    # Guards against a fact that some entries learn late, or never.
    @pytest.mark.parametrize("count", [2, 4, 68, 120, 930])
    def test_reaches_all_within_a_second(self, count: int) -> None:
        """One message in five is lost; each entry sends a bounded number of messages."""
        network = Network(count)
        network.run(0.3)
        sent_before = dict(network.sent)
        network.publish("e0", "fact")
        network.run(SPREAD_S)
        assert network.knowing("fact") == count
        most = max(network.sent[name] - sent_before[name] for name in network.entries)
        # A comparison or two may fall into this time, and answers to those of others.
        assert most <= FANOUT * ROUNDS + 12

    # Guards against an entry that never makes up for what it missed.
    def test_entry_that_was_cut_off_catches_up(self) -> None:
        """Comparisons bring what was told meanwhile, in both directions."""
        network = Network(6)
        network.run(1.0)
        network.cut_off = {"e5"}
        network.publish("e0", "inside")
        network.publish("e5", "outside")
        network.run(3.0)
        assert network.knowing("inside") == 5
        network.cut_off = set()
        network.run(30.0)
        assert network.knowing("inside") == network.knowing("outside") == 6

    # Guards against an entry that starts and knows nothing of what was told before.
    def test_entry_that_starts_learns_what_is_known(self) -> None:
        """It asks at once and until it is answered, and need not be listed by the others."""
        network = Network(4)
        network.publish("e0", "fact")
        network.run(5.0)
        started = network.add("new")
        started.set_peers({name: name for name in network.entries})
        network.run(2.0)
        assert started.has_compared
        assert "fact" in network.learned_at["new"]

    def test_alone(self) -> None:
        """An entry without others keeps its facts for the first one that it hears of."""
        network = Network(1)
        network.publish("e0", "fact")
        network.run(10.0)
        assert network.sent["e0"] == 0
        network.add("e1")
        network.list_all()
        network.run(5.0)
        assert network.knowing("fact") == 2


class TestGossip:
    def test_repeated_fact_is_new_once(self) -> None:
        """A message that comes twice adds its facts once."""
        gossip = Gossip("e0", Random(1))
        message = GossipMessage("e1", "e1", (GossipItem("a", b"", 0.0, 10.0),), 0, False)
        assert [item.item_id for item in gossip.receive(message, 1.0)] == ["a"]
        assert gossip.receive(message, 2.0) == []

    def test_old_fact_is_forgotten_and_not_taken_in_again(self) -> None:
        """A fact past its lifetime is neither kept nor new."""
        gossip = Gossip("e0", Random(1))
        message = GossipMessage("e1", "e1", (GossipItem("a", b"", 0.0, 10.0),), 0, False)
        gossip.receive(message, 1.0)
        list(gossip.outgoing(11.0))
        assert gossip.item_count == 0
        assert gossip.receive(message, 11.0) == []

    def test_number_of_facts_is_bounded(self) -> None:
        """The oldest facts go first."""
        gossip = Gossip("e0", Random(1))
        for number in range(MAX_ITEMS + 10):
            gossip.publish(GossipItem(f"{number}", b"", number, 1e6), number)
        assert gossip.item_count == MAX_ITEMS

    def test_messages_are_small(self) -> None:
        """Many facts go in several messages."""
        gossip = Gossip("e0", Random(1))
        gossip.set_peers({"e1": "e1"})
        for number in range(100):
            gossip.publish(GossipItem(f"{number}", b"x" * 100, 0.0, 10.0), 0.0)
        sizes = [
            sum(len(item.fact) for item in outgoing.message.items)
            for outgoing in gossip.outgoing(0.0)
        ]
        assert sum(sizes) == 10_000
        assert max(sizes) <= MAX_MESSAGE_BYTES

    def test_equal_digests_need_no_facts(self) -> None:
        """Two entries that know the same send each other no facts."""
        ours, theirs = Gossip("e0", Random(1)), Gossip("e1", Random(2))
        for gossip in (ours, theirs):
            gossip.set_address("x")
            gossip.set_peers({"e0": "e0", "e1": "e1"})
            gossip.publish(GossipItem("a", b"", 0.0, 100.0), 0.0)
        questions = [out for out in ours.outgoing(0.0) if out.message.asks_for_items]
        theirs.receive(questions[0].message, 0.0)
        answer, *_ = theirs.outgoing(0.0)
        assert answer.message.items == ()
        assert not answer.message.asks_for_items
