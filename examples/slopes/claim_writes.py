"""Measures how many claims a platform write carries at each rate of claims."""

from collections.abc import Iterator
from functools import partial
from random import Random
from typing import NamedTuple

import trio
import trio.testing

from chivehold.core.claims import ClaimState, encode_claims
from chivehold.core.entry_messages import EndClaim, MakeClaim
from chivehold.core.identity import (
    AttemptId,
    EntryIncarnation,
    KeyId,
    Outcome,
    RequestId,
    SidecarIncarnation,
    UpstreamName,
)
from chivehold.core.wire import RevokeResult
from chivehold.fakes.object_store import Faults, MemoryObjectStore
from chivehold.store.claims import ClaimWriter
from examples.slopes.fit import Slope, fit_line, measure_line
from examples.slopes.messages import ORGANISATION, SIDECAR, TARGET, UPSTREAM, claim

ENTRIES = 4
CLAIM_RATES_PER_S = (25, 100, 400, 1600)
RUN_DURATION_S = 3.0
PLATFORM_DELAY_S = 0.005
REQUEST_DURATION_S = 0.5


class ClaimRun(NamedTuple):
    """Counts of one run at a given rate of claims."""

    per_s: int
    granted: int
    requested: int
    writes: int
    reads: int


class _ClaimingEntries:
    """Entries that claim requests in a shared object store."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.store = MemoryObjectStore(Faults(delay_s=PLATFORM_DELAY_S))
        self.granted = 0
        self.requested = 0
        self.writers = [self._make_writer(number) for number in range(ENTRIES)]
        for writer in self.writers:
            nursery.start_soon(writer.run)

    def _make_writer(self, number: int) -> ClaimWriter:
        entry = EntryIncarnation(f"entry-{number}")
        return ClaimWriter(self.store, entry, _revoke, _incarnation, Random(number))

    async def request(self, number: int) -> None:
        self.requested += 1
        writer = self.writers[number % ENTRIES]
        request = RequestId(f"request-{number}")
        key = KeyId(ORGANISATION, TARGET, str(number))
        command = MakeClaim(request, key, AttemptId(request, 1), UPSTREAM, 0.0)
        decision = await writer.claim(command)
        if decision.granted:
            self.granted += 1
            await trio.sleep(REQUEST_DURATION_S)
            await writer.record_outcome(EndClaim(request, key, Outcome.ANSWERED))


async def _revoke(
    upstream: UpstreamName, attempt: AttemptId, incarnation: SidecarIncarnation
) -> RevokeResult:
    return RevokeResult.UNREACHABLE


def _incarnation(upstream: UpstreamName) -> SidecarIncarnation:
    return SIDECAR


async def _run(per_s: int) -> ClaimRun:
    async with trio.open_nursery() as nursery:
        entries, rng = _ClaimingEntries(nursery), Random(per_s)
        async with trio.open_nursery() as requests:
            for number in range(int(per_s * RUN_DURATION_S)):
                requests.start_soon(entries.request, number)
                await trio.sleep(rng.expovariate(per_s))
        await trio.sleep(1.0)
        counts = entries.store.counts
        result = ClaimRun(per_s, entries.granted, entries.requested, counts["put"], counts["get"])
        nursery.cancel_scope.cancel()
    return result


def run_claims() -> list[ClaimRun]:
    """Run each rate of claims on a virtual clock and return the counts."""
    clock = partial(trio.testing.MockClock, autojump_threshold=0)
    return [trio.run(_run, per_s, clock=clock()) for per_s in CLAIM_RATES_PER_S]


def claim_slopes(runs: list[ClaimRun]) -> Iterator[Slope]:
    """Yield the slopes of platform calls by rate of claims, and of a shard's size."""
    rates = [run.per_s for run in runs]
    role = "platform, claims"
    writes = [run.writes / run.granted * run.per_s for run in runs]
    reads = [run.reads / run.granted * run.per_s for run in runs]
    claims_per_write = [run.granted / run.writes for run in runs]
    yield fit_line(role, "writes", "1/s", "claim a second", rates, writes)
    yield fit_line(role, "reads", "1/s", "claim a second", rates, reads)
    yield fit_line(role, "claims carried by a write", "", "claim a second", rates, claims_per_write)
    yield measure_line(
        role, "value of a shard", "B", "claim kept, ended", (10, 100, 1000), _shard_bytes
    )


def _shard_bytes(count: int) -> float:
    claims = (claim(number, ClaimState.ANSWERED) for number in range(count))
    return len(encode_claims({stored_claim.key: stored_claim for stored_claim in claims}))
