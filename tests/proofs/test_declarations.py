"""Declarations come into force on every node despite races, outages and lost answers."""

import time
from collections import Counter
from zlib import crc32

import trio

from chivehold.core.declared import Service, TrafficClass, Upstream
from chivehold.core.identity import Role, Urgency
from chivehold.history.nodes import IN_FORCE_WITHIN_S
from chivehold.rpc import chivehold_pb2 as pb
from tests.entry.deployed import call_operators
from tests.proofs.fleet import Fleet, Node, Run, checked_run

ACCEPTED = (pb.CHANGE_KIND_CREATED, pb.CHANGE_KIND_UPDATED, pb.CHANGE_KIND_DELETED)
OBSERVATION_S = IN_FORCE_WITHIN_S + 0.6


def _service(name: str, deadline_s: float) -> Service:
    """Return a service with one unreachable VM; another deadline makes another version of it."""
    port = 1 + crc32(name.encode()) % 1000
    data, control = f"127.0.0.1:{port}", f"127.0.0.1:{port + 1000}"
    upstream = Upstream(f"{name}-1", Role.SERVICE, "sjo-a", data, control, 1)
    return Service(name, (upstream,), (TrafficClass("hook", Urgency.URGENT, deadline_s),))


async def _apply(
    fleet: Fleet, run: Run, entry: Node, spec: Service, operation: str, **fields: object
) -> int:
    """Apply a change, record it if it was accepted, and return its kind."""
    response = await fleet.apply(entry, spec, operation_id=operation, **fields)
    (change,) = response.changes
    if change.kind in ACCEPTED:
        run.recorder.add_accepted_change(response.revision, time.time())
    return change.kind


async def _race(fleet: Fleet, run: Run, names: tuple[str, ...], deadline_s: float) -> Counter[int]:
    """Apply changes of two operators concurrently; return how many there were of each kind."""
    kinds: Counter[int] = Counter()
    versions = {name: await _version(entry_at(fleet, 0), name) for name in names}

    async def change(index: int) -> None:
        spec = _service(names[index % len(names)], deadline_s + index + len(names) / 10)
        operation = f"race-{len(names)}-{deadline_s}-{index}"
        entry = entry_at(fleet, index)
        kinds[await _apply(fleet, run, entry, spec, operation, expected_versions=versions)] += 1

    async with trio.open_nursery() as nursery:
        for index in (0, 1):
            nursery.start_soon(change, index)
    return kinds


async def _version(entry: Node, name: str) -> int:
    response = await call_operators(entry.control, "Get", pb.GetRequest(name=name))
    return response.declarations[0].version if response.declarations else 0


class TestRaces:
    async def test_two_operators(self, fleet: Fleet) -> None:
        """Two operators change objects through both entries; on one object exactly one succeeds."""
        async with checked_run(fleet) as run:
            for number in range(2):
                for names in (("casewriter",), ("casewriter", "loandesk")):
                    kinds = await _race(fleet, run, names, 2.0 * number)
                    assert sum(kinds[kind] for kind in ACCEPTED) == len(names), kinds
                    await _wait_for_equal_revisions(fleet)
            await trio.sleep(OBSERVATION_S)

    async def test_deleted_and_created_again(self, fleet: Fleet) -> None:
        """An object that is deleted and created again stays in force with a newer version."""
        async with checked_run(fleet) as run:
            entry, other = entry_at(fleet, 0), entry_at(fleet, 1)
            await _apply(fleet, run, entry, _service("recreated", 0.2), "recreated-1")
            response = await call_operators(
                entry.control,
                "Apply",
                pb.ApplyRequest(delete_names=["recreated"], operation_id="recreated-2"),
            )
            assert response.changes[0].kind == pb.CHANGE_KIND_DELETED
            run.recorder.add_accepted_change(response.revision, time.time())
            await _apply(fleet, run, other, _service("recreated", 0.3), "recreated-3")
            await trio.sleep(OBSERVATION_S)
            for node in (entry, other):
                assert await _version(node, "recreated") > response.changes[0].version


class TestPlatform:
    async def test_lost_response_and_late_watch(self, fleet: Fleet) -> None:
        """A write with a lost answer is not reported as refused; a late watch reverts nothing."""
        async with checked_run(fleet) as run:
            await fleet.platform_fault(lose_answer_next=1)
            kind = await _apply(fleet, run, entry_at(fleet, 0), _service("lost", 5.0), "lost")
            assert kind in (*ACCEPTED, pb.CHANGE_KIND_UNSURE)
            await fleet.wait_until(lambda: _version(entry_at(fleet, 1), "lost"), OBSERVATION_S)
            await fleet.platform_fault(watch_lag_s=1.0)
            for number in range(6):
                spec = _service(f"late-{number}", 5.0)
                entry = entry_at(fleet, number % 2)
                assert await _apply(fleet, run, entry, spec, f"late-{number}") in ACCEPTED
                await trio.sleep(0.2)
            await fleet.platform_fault()
            await trio.sleep(OBSERVATION_S)

    async def test_new_entry_in_an_outage(self, fleet: Fleet) -> None:
        """Changes fail in an outage; an entry started then gets the declarations from a peer."""
        async with checked_run(fleet) as run:
            spec = _service("before-outage", 0.2)
            await _apply(fleet, run, entry_at(fleet, 0), spec, "outage-1")
            await _wait_for_equal_revisions(fleet)
            await fleet.platform_fault(outage=True)
            spec = _service("in-outage", 0.2)
            kind = await _apply(fleet, run, entry_at(fleet, 0), spec, "outage-2")
            assert kind in (pb.CHANGE_KIND_REFUSED, pb.CHANGE_KIND_UNSURE)
            peers = [fleet.sidecars["lector-d1"].control]
            new = await fleet.start_entry(peer_addresses=peers)
            await fleet.wait_ready(new)
            assert await _version(new, "before-outage") > 0
            fleet.kill_entry(new.name)
            await fleet.kill_and_restart_sidecar("forja-1")
            await fleet.platform_fault()
            await trio.sleep(OBSERVATION_S)


def entry_at(fleet: Fleet, index: int) -> Node:
    return list(fleet.entries.values())[index]


async def _wait_for_equal_revisions(fleet: Fleet) -> None:
    """Wait until all running nodes that the entries know have the same revision."""

    async def are_equal() -> bool:
        revisions = set()
        for entry in fleet.entries.values():
            status = await call_operators(entry.control, "Status", pb.StatusRequest())
            revisions |= {node.revision for node in status.nodes if node.incarnation}
        return len(revisions) == 1

    await fleet.wait_until(are_equal, OBSERVATION_S)
