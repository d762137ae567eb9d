"""Spreads facts among the entries by messages from entry to entry, without a leader.

Each new fact is sent to a few random entries, several times, by each entry that receives it. So it
reaches all entries in a time that grows with the logarithm of their number, although messages get
lost, and no entry sends more than a fixed number of messages per fact. From time to time each entry
compares a digest of what it knows with another entry and gets what it lacks; so it receives what
it missed while it was cut off, or before it started.

Facts are published once and never change. What is derived from them must not depend on their order.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from hashlib import blake2b
from random import Random
from typing import NamedTuple

from chivehold.core.direct.usage_reports import UsageReport

ROUND_S = 0.1
"""Time between two rounds in which new facts are sent."""
FANOUT = 4
"""Entries that facts are sent to in a round."""
ROUNDS = 4
"""Rounds in which an entry sends a fact; several, so that lost messages do no harm."""
COMPARISON_S = 1.5
"""Mean time between two comparisons with another entry."""
FIRST_COMPARISON_S = 0.2
"""The same until another entry has answered for the first time."""
COMPARISON_JITTER = 0.3
SETTLING_S = 2.0
"""Facts that were published later than this before, or end sooner, are not compared."""
CLEANUP_S = 1.0
"""Time between two searches for facts past their lifetime."""
MAX_ITEMS = 512
"""Facts to remember; the oldest are dropped first."""
MAX_MESSAGE_BYTES = 1_200
"""Size of the facts in one message, so that a datagram is not split on the way."""
ITEM_OVERHEAD_BYTES = 16
MAX_LIFETIME_S = 86_400.0
RECENT_SENDER_S = 30.0
"""An entry that is not listed gets facts for this time after a message from it."""
DIGEST_BYTES = 8


class GossipItem(NamedTuple):
    """One fact."""

    item_id: str
    """The same at all entries."""
    fact: bytes
    """The encoded fact; its times are before ``published_at``."""
    published_at: float
    """When the fact was first published, in seconds of this entry's monotonic clock."""
    lifetime_s: float
    """Time after ``published_at`` for which it is remembered."""


class GossipMessage(NamedTuple):
    """A message from one entry to another."""

    sender: str
    address: str
    """Address of the sender, ``host:port``."""
    items: tuple[GossipItem, ...]
    digest: int
    """Digest of the ids of the facts that the sender knows, if it asks for facts."""
    asks_for_items: bool
    """Whether a receiver with another digest is to send all its facts."""
    usage: UsageReport | None = None
    """If set, the message carries only this."""


class OutgoingMessage(NamedTuple):
    """A message and the address that it is sent to."""

    address: str
    message: GossipMessage


class _RecentSender(NamedTuple):
    address: str
    at: float


class Gossip:
    """What this entry knows, and which entries it has to send that to.

    Args:
        name: The name of this entry.
        rng: Draws the entries to send to.
    """

    def __init__(self, name: str, rng: Random) -> None:
        self._name = name
        self._rng = rng
        self._address = ""
        self._items: dict[str, GossipItem] = {}
        self._digests: dict[str, int] = {}
        """Digest of the id of each fact."""
        self._next_cleanup_at = -math.inf
        self._rounds_left: dict[str, int] = {}
        self._listed: Mapping[str, str] = {}
        self._recent_senders: dict[str, _RecentSender] = {}
        self._replies: list[OutgoingMessage] = []
        self._next_round_at = -math.inf
        self._next_comparison_at = -math.inf
        self._has_compared = False

    @property
    def item_count(self) -> int:
        """Number of facts known."""
        return len(self._items)

    @property
    def has_compared(self) -> bool:
        """Whether another entry has answered a comparison."""
        return self._has_compared

    @property
    def address(self) -> str:
        """The address that other entries send messages to; empty if there is none yet."""
        return self._address

    @property
    def listed(self) -> Mapping[str, str]:
        """The addresses of the other listed entries, by name."""
        return self._listed

    def set_address(self, address: str) -> None:
        """Set the address that other entries send messages to."""
        self._address = address

    def set_peers(self, addresses: Mapping[str, str]) -> None:
        """Set the addresses of the listed entries, by name; this entry's own is ignored."""
        self._listed = {name: at for name, at in addresses.items() if name != self._name and at}

    def publish(self, item: GossipItem, now: float) -> bool:
        """Add a fact and send it to others; return whether it is new and not too old."""
        if item.item_id in self._items or now >= item.published_at + item.lifetime_s:
            return False
        self._items[item.item_id] = item
        self._digests[item.item_id] = _digest_of(item.item_id)
        if not self._rounds_left:
            self._next_round_at = max(self._next_round_at, now)
        self._rounds_left[item.item_id] = ROUNDS
        while len(self._items) > MAX_ITEMS:
            self._forget(min(self._items.values(), key=lambda known: known.published_at).item_id)
        return True

    def receive(self, message: GossipMessage, now: float) -> list[GossipItem]:
        """Receive a message and return the facts in it that are new."""
        if message.sender == self._name:
            return []
        if message.address:
            self._recent_senders[message.sender] = _RecentSender(message.address, now)
        self._forget_old(now)
        if message.asks_for_items:
            self._answer(message, now)
        else:
            self._has_compared = True
        return [item for item in message.items if self.publish(item, now)]

    def next_due(self, now: float) -> float:
        """Return when ``outgoing`` has messages next."""
        if self._replies:
            return now
        round_at = self._next_round_at if self._rounds_left else math.inf
        return min(round_at, self._next_comparison_at)

    def outgoing(self, now: float) -> Iterator[OutgoingMessage]:
        """Yield the messages that are due."""
        replies, self._replies = self._replies, []
        yield from replies
        self._forget_old(now)
        peers = self._peers(now)
        if self._rounds_left and now >= self._next_round_at:
            self._next_round_at = now + ROUND_S
            yield from self._round(peers, now)
        if now >= self._next_comparison_at:
            self._schedule_comparison(now)
            if peers:
                question = self._message((), now, asks=True)
                yield OutgoingMessage(self._rng.choice(peers), question)

    def _round(self, peers: list[str], now: float) -> Iterator[OutgoingMessage]:
        items = [self._items[item_id] for item_id in self._rounds_left]
        # Without a peer the facts wait for the first one.
        if not peers:
            return
        for item_id in list(self._rounds_left):
            self._rounds_left[item_id] -= 1
            if not self._rounds_left[item_id]:
                del self._rounds_left[item_id]
        for address in self._rng.sample(peers, min(FANOUT, len(peers))):
            for batch in _batches(items):
                yield OutgoingMessage(address, self._message(batch, now))

    def _answer(self, message: GossipMessage, now: float) -> None:
        items = self._items.values() if message.digest != self._digest(now) else ()
        batches = list(_batches(items)) or [()]
        self._replies += [
            OutgoingMessage(message.address, self._message(batch, now)) for batch in batches
        ]

    def _message(
        self, items: Iterable[GossipItem], now: float, asks: bool = False
    ) -> GossipMessage:
        digest = self._digest(now) if asks else 0
        return GossipMessage(self._name, self._address, tuple(items), digest, asks)

    def _digest(self, now: float) -> int:
        """Return the digest of the facts that all entries should know by now."""
        digest = 0
        for item in self._items.values():
            if (
                item.published_at + SETTLING_S
                <= now
                < item.published_at + item.lifetime_s - SETTLING_S
            ):
                digest ^= self._digests[item.item_id]
        return digest

    def _schedule_comparison(self, now: float) -> None:
        interval_s = COMPARISON_S if self._has_compared else FIRST_COMPARISON_S
        jitter = self._rng.uniform(1 - COMPARISON_JITTER, 1 + COMPARISON_JITTER)
        self._next_comparison_at = now + interval_s * jitter

    def _peers(self, now: float) -> list[str]:
        self._recent_senders = {
            name: sender
            for name, sender in self._recent_senders.items()
            if now < sender.at + RECENT_SENDER_S
        }
        unlisted = {name: sender.address for name, sender in self._recent_senders.items()}
        return list({**self._listed, **unlisted}.values())

    def _forget_old(self, now: float) -> None:
        if now < self._next_cleanup_at:
            return
        self._next_cleanup_at = now + CLEANUP_S
        old = [
            item.item_id
            for item in self._items.values()
            if now >= item.published_at + item.lifetime_s
        ]
        for item_id in old:
            self._forget(item_id)

    def _forget(self, item_id: str) -> None:
        del self._items[item_id]
        del self._digests[item_id]
        self._rounds_left.pop(item_id, None)


def _batches(items: Iterable[GossipItem]) -> Iterator[tuple[GossipItem, ...]]:
    """Yield the items in groups that fit into one message each."""
    batch: list[GossipItem] = []
    size = 0
    for item in items:
        item_size = len(item.fact) + len(item.item_id) + ITEM_OVERHEAD_BYTES
        if batch and size + item_size > MAX_MESSAGE_BYTES:
            yield tuple(batch)
            batch, size = [], 0
        batch.append(item)
        size += item_size
    if batch:
        yield tuple(batch)


def _digest_of(item_id: str) -> int:
    digest = blake2b(item_id.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
