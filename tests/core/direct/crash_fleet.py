"""A simulated fleet: entries that share facts, engines that crash, prompts with a bad part.

The entries' decisions are the real ones; calls, engines and the network between the entries are
simulated on a clock that is set from event to event.
"""

import heapq
import itertools
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import trio
from trio.testing import MockClock

from chivehold.core.direct.crash_evidence import CrashPolicy
from chivehold.core.direct.crash_keys import CrashKey, KeyKind, prompt_part_keys
from chivehold.core.direct.gossip import Gossip, GossipItem, OutgoingMessage
from chivehold.core.direct.messages import UpstreamRecord
from chivehold.core.identity import EntryIncarnation
from chivehold.direct.crash_watch import MAX_ENDS_UNDER_REQUEST
from chivehold.direct.fact_exchange import FactExchange
from chivehold.direct.metrics import DirectMetrics
from chivehold.direct.quarantines import Quarantines
from chivehold.direct.upstream_ends import BrokenRequest
from chivehold.rpc.convert_gossip import encode_message

CONTACT_S = 3.0
FIFTH = 5
SETTLED_S = 0.5
DOWN_S = 5.0
"""Time until an engine that has ended is back."""
FIRST_EVENT_S = 0.1
CLOCK_ERROR_S = 1e-6
"""The clock may stop this much before the time that it is set to."""
MESSAGE_LOSS = 0.05
MESSAGE_DELAYS_S = (0.001, 0.02)
BAD_PART = "bad"
FIRST_PARTS = 4
MIDDLE_PARTS = 400


class FleetShape(NamedTuple):
    """Size and load of a simulated fleet."""

    entries: int
    engines: int
    streams_per_engine_s: float
    other_crashes_per_s: float = 0.0
    """Crashes of engines for other reasons."""
    bad_share: float = 0.05
    """Share of the prompts that hold the bad part."""
    duration_s: float = 60.0


class FleetResult(NamedTuple):
    """What a simulated fleet has done."""

    ends_by_part: int
    """Engines ended by the bad part."""
    late: int
    """Prompts with the part that reached engines later than ``CONTACT_S`` after the fifth end."""
    sound_refused_share: float
    messages_per_entry_s: float
    bytes_per_entry_s: float


class _Stream(NamedTuple):
    entry: int
    keys: tuple[CrashKey, ...]
    is_bad: bool
    sent_at: float
    first_event_at: list[float]
    settled: list[bool]
    tried: frozenset[int]
    """Engines that ended under this request before."""


class _Entry:
    def __init__(self, number: int, rng: Random, entries: int) -> None:
        self.name = f"e{number}"
        self.gossip = Gossip(self.name, rng)
        self.gossip.set_address(self.name)
        self.exchange = FactExchange(EntryIncarnation(self.name), self._tell)
        self.quarantines = Quarantines(
            CrashPolicy(),
            self.exchange,
            lambda: None,
            DirectMetrics(),
            lambda: entries,
            rng,
        )

    def _tell(self, item: GossipItem) -> None:
        self.gossip.publish(item, trio.current_time())


class CrashFleet:
    """A fleet in simulated time; ``run`` has to be called on a ``MockClock``."""

    def __init__(self, shape: FleetShape, seed: int, clock: MockClock) -> None:
        self._shape = shape
        self._clock = clock
        self._rng = Random(seed)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._entries = [
            _Entry(n, Random(self._rng.random()), shape.entries) for n in range(shape.entries)
        ]
        self._by_name = {entry.name: entry for entry in self._entries}
        for entry in self._entries:
            entry.gossip.set_peers({name: name for name in self._by_name})
        self._wakes_at: dict[str, float] = {}
        self._is_up = [True] * shape.engines
        self._incarnations = [1] * shape.engines
        self._streams: list[dict[int, _Stream]] = [{} for _ in range(shape.engines)]
        self._ends_by_part: list[float] = []
        self._bad_sent_at: list[float] = []
        self._sound = self._sound_refused = self._messages = self._bytes = 0
        self._started_at = 0.0

    def run(self) -> FleetResult:
        """Play the whole time and return what happened."""
        shape = self._shape
        self._started_at = trio.current_time()
        rate = shape.engines * shape.streams_per_engine_s
        self._repeat(rate, self._arrive)
        if shape.other_crashes_per_s:
            self._repeat(shape.other_crashes_per_s, self._crash_any)
        for entry in self._entries:
            self._wake(entry)
        until = self._started_at + shape.duration_s
        while self._events and self._events[0][0] <= until:
            at, _, action = heapq.heappop(self._events)
            self._clock.jump(max(0.0, at - trio.current_time()))
            action()
        return self._result()

    def _result(self) -> FleetResult:
        late = 0
        if len(self._ends_by_part) >= FIFTH:
            limit = self._ends_by_part[FIFTH - 1] + CONTACT_S
            late = sum(at > limit for at in self._bad_sent_at)
        entry_seconds = self._shape.entries * self._shape.duration_s
        return FleetResult(
            len(self._ends_by_part),
            late,
            self._sound_refused / max(1, self._sound),
            self._messages / entry_seconds,
            self._bytes / entry_seconds,
        )

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        event = (trio.current_time() + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def _repeat(self, rate: float, action: Callable[[], None]) -> None:
        def act() -> None:
            action()
            self._at(self._rng.expovariate(rate), act)

        self._at(self._rng.expovariate(rate), act)

    def _arrive(self) -> None:
        is_bad = self._rng.random() < self._shape.bad_share
        first = "f0" if is_bad else f"f{self._rng.randrange(FIRST_PARTS)}"
        middle = BAD_PART if is_bad else f"m{int(self._rng.paretovariate(0.7)) % MIDDLE_PARTS}"
        number = next(self._numbers)
        content = CrashKey(KeyKind.REQUEST, f"r{number}")
        keys = (content, *prompt_part_keys((first, middle, f"own{number}")))
        entry = self._rng.randrange(self._shape.entries)
        self._sound += not is_bad
        self._send(entry, keys, is_bad, frozenset())

    def _send(
        self, entry: int, keys: tuple[CrashKey, ...], is_bad: bool, tried: frozenset[int]
    ) -> None:
        if self._entries[entry].quarantines.find(keys) is not None:
            self._sound_refused += not is_bad and not tried
            return
        engines = [n for n, is_up in enumerate(self._is_up) if is_up and n not in tried]
        if not engines:
            return
        engine = self._rng.choice(engines)
        now = trio.current_time()
        if is_bad:
            self._bad_sent_at.append(now)
        number = next(self._numbers)
        stream = _Stream(entry, keys, is_bad, now, [], [], tried)
        self._streams[engine][number] = stream
        self._at(FIRST_EVENT_S, lambda: self._begin(engine, number))

    def _begin(self, engine: int, number: int) -> None:
        stream = self._streams[engine].get(number)
        if stream is None:
            return
        stream.first_event_at.append(trio.current_time())
        if stream.is_bad:
            crash = self._rng.uniform(0.0, 0.06)
            incarnation = self._incarnations[engine]
            self._at(crash, lambda: self._crash(engine, incarnation, by_part=True))
            return
        self._at(SETTLED_S, lambda: self._settle(engine, number))
        self._at(self._rng.uniform(0.6, 1.6), lambda: self._streams[engine].pop(number, None))

    def _settle(self, engine: int, number: int) -> None:
        stream = self._streams[engine].get(number)
        if stream is not None:
            stream.settled.append(True)
            self._entries[stream.entry].quarantines.record_harmless(stream.keys)
            self._wake(self._entries[stream.entry])

    def _crash_any(self) -> None:
        engine = self._rng.randrange(self._shape.engines)
        self._crash(engine, self._incarnations[engine], by_part=False)

    def _crash(self, engine: int, incarnation: int, by_part: bool) -> None:
        if not self._is_up[engine] or self._incarnations[engine] != incarnation:
            return
        now = trio.current_time()
        self._is_up[engine] = False
        if by_part:
            self._ends_by_part.append(now)
        self._at(DOWN_S, lambda: self._restart(engine))
        streams, self._streams[engine] = self._streams[engine], {}
        upstream = UpstreamRecord(f"u{engine}", incarnation, "m", "h:1", "z", 4, False)
        for number, stream in streams.items():
            if not stream.settled:
                broken = BrokenRequest(f"r{number}", stream.keys, stream.sent_at, now)
                self._entries[stream.entry].quarantines.record_end(upstream, broken)
                self._wake(self._entries[stream.entry])
                tried = stream.tried | {engine}
                if len(tried) < MAX_ENDS_UNDER_REQUEST:
                    self._send(stream.entry, stream.keys, stream.is_bad, tried)

    def _restart(self, engine: int) -> None:
        self._is_up[engine] = True
        self._incarnations[engine] += 1

    def _wake(self, entry: _Entry) -> None:
        now = trio.current_time()
        at = max(now, entry.gossip.next_due(now))
        if at < self._wakes_at.get(entry.name, float("inf")):
            self._wakes_at[entry.name] = at
            self._at(at - now, lambda: self._exchange(entry))

    def _exchange(self, entry: _Entry) -> None:
        self._wakes_at.pop(entry.name, None)
        now = trio.current_time() + CLOCK_ERROR_S
        for outgoing in entry.gossip.outgoing(now):
            self._messages += 1
            self._bytes += len(encode_message(outgoing.message, now))
            if self._rng.random() >= MESSAGE_LOSS:
                delay_s = self._rng.uniform(*MESSAGE_DELAYS_S)
                self._at(delay_s, lambda outgoing=outgoing: self._deliver(outgoing))
        self._wake(entry)

    def _deliver(self, outgoing: OutgoingMessage) -> None:
        entry = self._by_name[outgoing.address]
        now = trio.current_time()
        for item in entry.gossip.receive(outgoing.message, now):
            entry.exchange.receive(item)
        self._wake(entry)
