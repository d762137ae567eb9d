"""Explores all short histories of a lease.

Three entries use one store that loses answers, and send orders to two engines.
"""

import copy
from collections.abc import Iterator
from typing import NamedTuple

from chivehold.core.control_lease import TERM_S, Lease, LeaseRecord, encode_lease
from chivehold.core.identity import EntryIncarnation

ENTRIES = 3
ENGINES = 2
TICK_S = 3.3
"""After two ticks a term has ended for the successors."""
STEPS = 8


class PendingAnswer(NamedTuple):
    """The answer, still on its way, to a write that the store has made."""

    version: int
    value: bytes
    sent_at: float


class Order(NamedTuple):
    """An order on its way to an engine."""

    holder: int
    fencing_number: int


class World:
    """One state of entries, store and engines; every step creates a new one."""

    def __init__(self) -> None:
        self.now = 0.0
        names = [EntryIncarnation(f"e{number}") for number in range(ENTRIES)]
        self.leases = [Lease("control", name) for name in names]
        self.records: list[tuple[int, bytes]] = [(0, b"")]
        """All versions of the record, the latest last."""
        self.answers: list[PendingAnswer | None] = [None] * ENTRIES
        self.orders: list[Order | None] = [None] * ENGINES
        self.accepted: list[list[Order]] = [[] for _ in range(ENGINES)]

    def key(self) -> tuple[object, ...]:
        """Return all that determines the successors; versions and times are relative to now."""
        version = len(self.records) - 1
        leases = tuple(
            (
                lease._version - version,
                lease._record,
                lease._fencing_number - version,
                round(max(-TERM_S, lease._free_at - self.now), 2),
                round(max(-TERM_S, lease._held_until - self.now), 2),
            )
            for lease in self.leases
        )
        answers = tuple(
            answer and (answer.version - version, answer.value, round(answer.sent_at - self.now, 2))
            for answer in self.answers
        )
        orders = tuple(
            order and (order.holder, order.fencing_number - version) for order in self.orders
        )
        accepted = tuple(
            (
                (accepted_orders[-1].holder, accepted_orders[-1].fencing_number - version)
                if accepted_orders
                else None
            )
            for accepted_orders in self.accepted
        )
        return (leases, answers, orders, accepted, tuple(value for _, value in self.records[-2:]))

    def successors(self) -> Iterator["World"]:
        """Yield every state that is reached in one step."""
        yield self._after(_tick)
        for entry in range(ENTRIES):
            for age in (0, 1):
                yield self._after(_read, entry, age)
            if self.answers[entry] is not None:
                yield self._after(_deliver_answer, entry)
                yield self._after(_lose_answer, entry)
            elif self._may_write(entry):
                yield self._after(_write, entry)
            if self.leases[entry].held_at(self.now) is not None:
                for engine in range(ENGINES):
                    if self.orders[engine] is None:
                        yield self._after(_send_order, entry, engine)
        for engine in range(ENGINES):
            if self.orders[engine] is not None:
                yield self._after(_deliver_order, engine)

    def check(self) -> None:
        holders = [lease for lease in self.leases if lease.held_at(self.now) is not None]
        assert len(holders) <= 1
        for orders in self.accepted:
            numbers = [order.fencing_number for order in orders]
            assert numbers == sorted(numbers)
            assert len({(order.holder, order.fencing_number) for order in orders}) == len(
                set(numbers)
            )

    def _may_write(self, entry: int) -> bool:
        lease = self.leases[entry]
        return lease.may_renew(self.now) or (
            lease.held_at(self.now) is None and lease.may_acquire(self.now)
        )

    def _after(self, step: object, *arguments: int) -> "World":
        after = copy.copy(self)
        after.leases = [copy.copy(lease) for lease in self.leases]
        after.records, after.answers = list(self.records), list(self.answers)
        after.orders = list(self.orders)
        after.accepted = [list(orders) for orders in self.accepted]
        step(after, *arguments)  # type: ignore[operator]
        return after


def _tick(world: World) -> None:
    world.now += TICK_S


def _read(world: World, entry: int, age: int) -> None:
    version, value = world.records[max(0, len(world.records) - 1 - age)]
    world.leases[entry].observe(version, value, world.now)


def _write(world: World, entry: int) -> None:
    """Write if the store still has the version that the entry expects."""
    version, _ = world.records[-1]
    if world.leases[entry].version == version:
        value = encode_lease(LeaseRecord(EntryIncarnation(f"e{entry}"), TERM_S))
        world.records.append((version + 1, value))
        world.answers[entry] = PendingAnswer(version + 1, value, world.now)


def _deliver_answer(world: World, entry: int) -> None:
    """Deliver the answer to a write, however late."""
    answer = world.answers[entry]
    assert answer is not None
    world.leases[entry].record_write(answer.version, answer.value, answer.sent_at, world.now)
    world.answers[entry] = None


def _lose_answer(world: World, entry: int) -> None:
    world.answers[entry] = None


def _send_order(world: World, entry: int, engine: int) -> None:
    held = world.leases[entry].held_at(world.now)
    assert held is not None
    world.orders[engine] = Order(entry, held.fencing_number)


def _deliver_order(world: World, engine: int) -> None:
    """Deliver an order; the engine refuses numbers lower than the highest it has accepted."""
    order = world.orders[engine]
    assert order is not None
    world.orders[engine] = None
    accepted = world.accepted[engine]
    if not accepted or order.fencing_number >= accepted[-1].fencing_number:
        accepted.append(order)


def count_explored_states(steps: int) -> int:
    """Check every state that can be reached within `steps` steps, and return their number."""
    seen, frontier = {World().key()}, [World()]
    for _ in range(steps):
        discovered = []
        for world in frontier:
            for after in world.successors():
                key = after.key()
                if key not in seen:
                    seen.add(key)
                    after.check()
                    discovered.append(after)
        frontier = discovered
    return len(seen)


class TestEveryHistory:
    def test_one_holder_and_growing_numbers(self) -> None:
        """Two entries never hold the lease at once; engines refuse orders of former holders."""
        assert count_explored_states(STEPS) > 1_000
