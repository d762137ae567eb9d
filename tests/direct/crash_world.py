"""Three entries, two engines and a store in memory, on a clock that jumps from event to event.

The parts of the entries that find and refuse content are the real ones. Their datagrams pass
through a network that loses some and that entries can be cut off from.
"""

from collections import Counter
from collections.abc import Iterator
from random import Random

import trio

from chivehold.core.direct.crash_evidence import CrashPolicy
from chivehold.core.direct.crash_keys import CrashKey
from chivehold.core.direct.gossip import Gossip, GossipItem
from chivehold.core.direct.messages import UpstreamRecord
from chivehold.core.direct.quarantine import Quarantine
from chivehold.core.identity import EntryIncarnation
from chivehold.direct.fact_exchange import FactExchange
from chivehold.direct.metrics import DirectMetrics
from chivehold.direct.quarantine_trials import QuarantineTrials
from chivehold.direct.quarantines import Quarantines
from chivehold.direct.upstream_ends import BrokenRequest
from chivehold.fakes.object_store import Faults, MemoryObjectStore, StoreCopy
from chivehold.rpc.convert_gossip import decode_message, encode_message
from chivehold.store.quarantine_records import QuarantineRecords

ENTRIES = 3
ENGINES = 2
POLICY = CrashPolicy(trial_s=5.0)
RUN_S = 0.1
"""Time from a request's start to the end of its engine."""
TICK_S = 0.05
MESSAGE_LOSS = 0.1


class CrashEntry:
    """One run of an entry.

    Args:
        world: Delivers its datagrams and holds its store.
        name: Name of the entry.
        run: Number of this run.
    """

    def __init__(self, world: "CrashWorld", name: str, run: int) -> None:
        self.name = name
        self._world = world
        incarnation = EntryIncarnation(f"{name}/{run}")
        self.gossip = Gossip(name, Random(f"{name}/{run}"))
        self.gossip.set_address(name)
        self.exchange = FactExchange(incarnation, self._tell)
        self.quarantines = Quarantines(
            POLICY,
            self.exchange,
            lambda: self.records.notify_changed(),
            DirectMetrics(),
            lambda: ENTRIES,
            world.rng,
        )
        self.records = QuarantineRecords(
            world.store,
            incarnation,
            self.quarantines.orders,
            self.quarantines.load_stored,
            lambda: ENTRIES,
            world.rng,
        )
        self.trials = QuarantineTrials(
            self.quarantines, self.records.claim, POLICY.trial_s, lambda: ENTRIES, world.rng
        )
        self.scope = trio.CancelScope()

    async def run(self) -> None:
        """Keep the stored quarantines up to date until killed."""
        with self.scope:
            await self.records.run()

    def active(self) -> set[CrashKey]:
        """Return the content that this entry refuses."""
        return {order.key for order in self.quarantines.orders() if order.is_active}

    def orders(self) -> set[tuple[CrashKey, int, bool, int]]:
        """Return the orders that this entry knows, without their times."""
        return {(o.key, o.version, o.is_active, o.trials) for o in self.quarantines.orders()}

    def _tell(self, item: GossipItem) -> None:
        self.gossip.publish(item, trio.current_time())
        self._world.wake_network()


class CrashWorld:
    """Entries, engines, their network and the store.

    Args:
        nursery: Runs the entries.
        seed: Seed of lost messages and of the entries' choices.
    """

    def __init__(self, nursery: trio.Nursery, seed: int) -> None:
        self._nursery = nursery
        self.rng = Random(seed)
        self.store = MemoryObjectStore()
        self.entries: dict[str, CrashEntry] = {}
        self.cut_off: set[str] = set()
        self.ends: dict[CrashKey, set[tuple[int, int]]] = {}
        """Engines, by number and start, that ended under each content."""
        self.ordered: set[CrashKey] = set()
        """Content that an operator has ever quarantined."""
        self.trials: Counter[CrashKey] = Counter()
        """Requests let through with each quarantined content."""
        self.restores = 0
        self._wake = trio.Event()
        self._runs = 0
        self._starts = [1] * ENGINES
        self._requests = 0
        for number in range(ENTRIES):
            self.restart(f"entry-{number}")

    def restart(self, name: str) -> None:
        """Kill an entry, if it runs, and start it again with nothing but the store."""
        if name in self.entries:
            self.entries[name].scope.cancel()
        self._runs += 1
        self.entries[name] = CrashEntry(self, name, self._runs)
        self._nursery.start_soon(self.entries[name].run)
        self.wake_network()
        for entry in self.entries.values():
            entry.gossip.set_peers({other: other for other in self.entries})

    async def run_request(
        self, name: str, engine: int, keys: tuple[CrashKey, ...], is_bad: bool
    ) -> None:
        """Let an entry send a request to an engine, unless it refuses it."""
        entry = self.entries[name]
        order = entry.quarantines.find(keys)
        if order is not None and not await self._try_claim(entry, order, keys):
            return
        sent_at = trio.current_time()
        await trio.sleep(RUN_S)
        if not is_bad:
            entry.quarantines.record_harmless(keys)
            return
        self._end(entry, engine, keys, sent_at)

    async def run_network(self) -> None:
        """Deliver messages until cancelled."""
        while True:
            for entry in list(self.entries.values()):
                self._send_messages(entry)
            await trio.sleep(TICK_S)
            now = trio.current_time()
            self._wake = trio.Event()
            with trio.move_on_at(min(e.gossip.next_due(now) for e in self.living())):
                await self._wake.wait()

    def wake_network(self) -> None:
        """Deliver messages now, as an entry has some."""
        self._wake.set()

    def set_store_away(self, is_away: bool) -> None:
        """Let all calls to the store fail, or no longer."""
        self.store.set_faults(Faults(outage=is_away))

    def restore(self, copy: StoreCopy) -> None:
        """Set the store back to a copy."""
        self.restores += 1
        self.store.restore(copy)

    async def _try_claim(
        self, entry: CrashEntry, order: Quarantine, keys: tuple[CrashKey, ...]
    ) -> bool:
        others = [key for key in keys if key != order.key]
        if entry.quarantines.find(others) is not None:
            return False
        is_claimed = await entry.trials.try_claim(order)
        self.trials[order.key] += is_claimed
        return is_claimed

    def _end(
        self, entry: CrashEntry, engine: int, keys: tuple[CrashKey, ...], sent_at: float
    ) -> None:
        started = self._starts[engine]
        self._starts[engine] += 1
        for key in keys:
            self.ends.setdefault(key, set()).add((engine, started))
        self._requests += 1
        upstream = UpstreamRecord(f"u{engine}", started, "m", "h:1", "z", 4, False)
        broken = BrokenRequest(f"r{self._requests}", keys, sent_at, trio.current_time())
        entry.quarantines.record_end(upstream, broken)

    def _send_messages(self, entry: CrashEntry) -> None:
        now = trio.current_time()
        if entry.gossip.next_due(now) > now:
            return
        for outgoing in list(entry.gossip.outgoing(now)):
            if {entry.name, outgoing.address} & self.cut_off or self.rng.random() < MESSAGE_LOSS:
                continue
            receiver = self.entries[outgoing.address]
            message = decode_message(encode_message(outgoing.message, now), now)
            for item in receiver.gossip.receive(message, now):
                receiver.exchange.receive(item)

    def living(self) -> Iterator[CrashEntry]:
        """Yield the entries that run."""
        yield from self.entries.values()
