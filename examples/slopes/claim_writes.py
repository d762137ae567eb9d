"""Claims carried by a platform write, by the rate of claims and the number of entries."""

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
from examples.slopes.fit import Slope, fit, line
from examples.slopes.messages import ORGANISATION, SIDECAR, TARGET, UPSTREAM, claim

ENTRIES = 4
RATES = (25, 100, 400, 1600)
RUN_S = 3.0
PLATFORM_S = 0.005
WORK_S = 0.5


class ClaimRun(NamedTuple):
    """What one rate of claims cost."""

    per_s: int
    granted: int
    asked: int
    writes: int
    reads: int


class _Site:
    """Some entries that claim requests."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.store = MemoryObjectStore(Faults(delay_s=PLATFORM_S))
        self.granted = 0
        self.asked = 0
        self.writers = [self._make_writer(number) for number in range(ENTRIES)]
        for writer in self.writers:
            nursery.start_soon(writer.run)

    def _make_writer(self, number: int) -> ClaimWriter:
        entry = EntryIncarnation(f"entry-{number}")
        return ClaimWriter(self.store, entry, _revoke, _incarnation, Random(number))

    async def request(self, number: int) -> None:
        self.asked += 1
        writer = self.writers[number % ENTRIES]
        request = RequestId(f"request-{number}")
        key = KeyId(ORGANISATION, TARGET, str(number))
        wanted = MakeClaim(request, key, AttemptId(request, 1), UPSTREAM, 0.0)
        decision = await writer.claim(wanted)
        if decision.granted:
            self.granted += 1
            await trio.sleep(WORK_S)
            await writer.record_outcome(EndClaim(request, key, Outcome.ANSWERED))


async def _revoke(
    upstream: UpstreamName, attempt: AttemptId, incarnation: SidecarIncarnation
) -> RevokeResult:
    return RevokeResult.UNREACHABLE


def _incarnation(upstream: UpstreamName) -> SidecarIncarnation:
    return SIDECAR


async def _run(per_s: int) -> ClaimRun:
    async with trio.open_nursery() as nursery:
        site, rng = _Site(nursery), Random(per_s)
        async with trio.open_nursery() as requests:
            for number in range(int(per_s * RUN_S)):
                requests.start_soon(site.request, number)
                await trio.sleep(rng.expovariate(per_s))
        await trio.sleep(1.0)
        counts = site.store.counts
        found = ClaimRun(per_s, site.granted, site.asked, counts["put"], counts["get"])
        nursery.cancel_scope.cancel()
    return found


def claim_runs() -> list[ClaimRun]:
    """Return what each rate of claims cost."""
    clock = partial(trio.testing.MockClock, autojump_threshold=0)
    return [trio.run(_run, per_s, clock=clock()) for per_s in RATES]


def claim_slopes(runs: list[ClaimRun]) -> Iterator[Slope]:
    """Yield what claims cost the platform."""
    rates = [run.per_s for run in runs]
    role = "platform, claims"
    writes = [run.writes / run.granted * run.per_s for run in runs]
    reads = [run.reads / run.granted * run.per_s for run in runs]
    carried = [run.granted / run.writes for run in runs]
    yield line(role, "writes", "1/s", "claim a second", rates, writes)
    yield line(role, "reads", "1/s", "claim a second", rates, reads)
    yield line(role, "claims carried by a write", "", "claim a second", rates, carried)
    yield fit(role, "value of a shard", "B", "claim kept, ended", (10, 100, 1000), _shard_bytes)


def _shard_bytes(count: int) -> float:
    claims = (claim(number, ClaimState.ANSWERED) for number in range(count))
    return len(encode_claims({one.key: one for one in claims}))
