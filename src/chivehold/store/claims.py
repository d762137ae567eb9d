"""Writes claims to the platform in groups: one conditional write carries all that waited."""

import logging
import time
from collections.abc import Awaitable, Callable
from itertools import islice
from random import Random
from typing import NamedTuple

import msgspec
import trio
from returns.result import Success

from chivehold.core.claims import (
    CLAIM_SHARDS,
    Claim,
    ClaimChange,
    ClaimCompletion,
    ClaimRequest,
    ClaimResponse,
    Claims,
    ClaimState,
    Revocation,
    ShardWrite,
    completed_state,
    decode_claims,
    key_digest,
    prepare_write,
    shard_name,
)
from chivehold.core.entry_messages import ClaimDecision, EndClaim, MakeClaim
from chivehold.core.identity import (
    AttemptId,
    EntryIncarnation,
    Outcome,
    SidecarIncarnation,
    UpstreamName,
)
from chivehold.core.wire import RevokeResult
from chivehold.store.api import NotFound, ObjectStore, Stored, Unavailable, Unsure
from chivehold.store.backoff import waits

CLAIM_KIND = "claims"
RETENTION_S = 3600.0
GATHER_S = 0.005
COMMIT_TIMEOUT_S = 2.0
COMMIT_TRIES = 16
ASKS_MOST = 3
GRANT_AGE_MOST_S = 30.0
ENDS_MOST = 4_096
ENDS_RETRY_S = 2.0
_REFUSED = ClaimResponse(outcome=Outcome.NOT_RUN)

_log = logging.getLogger(__name__)

Revoke = Callable[[UpstreamName, AttemptId, SidecarIncarnation], Awaitable[RevokeResult]]
"""Asks a sidecar to bar an attempt; ``UNREACHABLE`` where it does not answer in time."""


class _Waiting:
    """A change on its way to the platform, and its verdict once it is known."""

    def __init__(self, change: ClaimChange) -> None:
        self.change = change
        self.verdict: ClaimResponse | None = None
        self._settled = trio.Event()

    def settle(self, verdict: ClaimResponse) -> None:
        """Give the verdict."""
        self.verdict = verdict
        self._settled.set()

    async def result(self) -> ClaimResponse:
        """Wait for the verdict."""
        await self._settled.wait()
        assert self.verdict is not None
        return self.verdict


class _Shard:
    """Changes that wait for a shard's next write."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.waiting: list[_Waiting] = []
        self.in_write = 0
        self.working = False
        self.arrived = trio.Event()

    def add(self, waiting: _Waiting) -> None:
        """Let a change go with the next write."""
        self.waiting.append(waiting)
        self.arrived.set()

    def take(self) -> list[_Waiting]:
        """Return and remove all that waits."""
        self.arrived = trio.Event()
        taken, self.waiting = self.waiting, []
        self.in_write = len(taken)
        return taken

    def wants(self) -> bool:
        """Tell whether a request waits, and not only records of ended ones."""
        return any(isinstance(one.change, ClaimRequest) for one in self.waiting)


class _Known(NamedTuple):
    """A shard as last read or written."""

    version: int
    claims: Claims


class _Step(NamedTuple):
    """Whether a commit has ended, and the shard as it is then, if known."""

    ended: bool
    known: _Known | None = None


_AGAIN = _Step(ended=False)
_GIVEN_UP = _Step(ended=True)


class ClaimBook:
    """One entry's claims in the platform; ``run`` does the work.

    Args:
        store: The platform.
        entry: This run of the entry.
        revoke: Bars another request's attempt at its sidecar.
        incarnation_of: The run of an upstream's sidecar that attempts are addressed to now;
            ``None`` while unknown.
        rng: Draws waiting times.
        retention_s: The longest time after its first sending that a caller may retry a request.
        unix_time: Returns the Unix time in seconds.
        shards: Number of objects that claims are spread over; the same at every entry.
    """

    def __init__(
        self,
        store: ObjectStore,
        entry: EntryIncarnation,
        revoke: Revoke,
        incarnation_of: Callable[[UpstreamName], SidecarIncarnation | None],
        rng: Random,
        retention_s: float = RETENTION_S,
        unix_time: Callable[[], float] = time.time,
        shards: int = CLAIM_SHARDS,
    ) -> None:
        self._store = store
        self._entry = entry
        self._revoke = revoke
        self._incarnation_of = incarnation_of
        self._rng = rng
        self._retention_s = retention_s
        self._unix_time = unix_time
        self._shard_count = shards
        self._shards: dict[str, _Shard] = {}
        self._nursery: trio.Nursery | None = None
        self._writes = 0

    @property
    def waiting(self) -> int:
        """Changes that are not written yet."""
        return sum(len(shard.waiting) + shard.in_write for shard in self._shards.values())

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Write claims until cancelled; start it before the first ``make``."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for shard in self._shards.values():
                self._ensure_work(shard)
            task_status.started()
            await trio.sleep_forever()

    async def make(self, command: MakeClaim) -> ClaimDecision:
        """Claim a request before it is sent; a cancelled wait gives the claim up.

        Returns:
            Leave to send the attempt, or the outcome to give instead.
        """
        if command.first_sent_ago_s > self._retention_s:
            return ClaimDecision(False, Outcome.UNKNOWN)
        incarnation = self._incarnation_of(command.upstream)
        if incarnation is None:
            return ClaimDecision(False, Outcome.NOT_RUN)
        claim = self._claim(command, incarnation)
        asked_at = trio.current_time()
        try:
            decision = await self._decide(claim)
        except trio.Cancelled:
            self._give_up(claim)
            raise
        if decision.granted and trio.current_time() > asked_at + GRANT_AGE_MOST_S:
            # This process stood still meanwhile: others may have settled the claim long ago.
            self._give_up(claim)
            return ClaimDecision(False, Outcome.NOT_RUN)
        return decision

    async def end(self, command: EndClaim) -> None:
        """Let a request's outcome be recorded with a later write; never waits."""
        key = key_digest(command.key)
        state = completed_state(command.outcome)
        self._record(ClaimCompletion(key, command.request, state))

    def _claim(self, command: MakeClaim, incarnation: SidecarIncarnation) -> Claim:
        now_s = self._unix_time()
        return Claim(
            key=key_digest(command.key),
            request=command.request,
            entry=self._entry,
            attempt=command.attempt.number,
            upstream=command.upstream,
            incarnation=incarnation,
            claimed_at_s=now_s,
            deadline_at_s=now_s + command.deadline_in_s,
        )

    async def _decide(self, claim: Claim) -> ClaimDecision:
        revocation: Revocation | None = None
        for _ in range(ASKS_MOST):
            waiting = _Waiting(ClaimRequest(claim, revocation))
            self._submit(claim.key, waiting)
            verdict = await waiting.result()
            if verdict.to_revoke is None:
                return ClaimDecision(verdict.granted, verdict.outcome)
            found = verdict.to_revoke
            result = await self._revoke(found.upstream, found.attempt_id, found.incarnation)
            revocation = Revocation(found.attempt_id, result)
        return ClaimDecision(False, Outcome.IN_PROGRESS)

    def _give_up(self, claim: Claim) -> None:
        """Record that a claim which may have been written was never acted on."""
        self._record(ClaimCompletion(claim.key, claim.request, ClaimState.NOT_RUN, claim.attempt))

    def _record(self, ended: ClaimCompletion) -> None:
        if self.waiting >= ENDS_MOST:
            # The claim then stays as claimed, and a retry is told what its sidecar knows.
            _log.warning("step=end_claim request=%s detail=too many wait", ended.request)
            return
        self._submit(ended.key, _Waiting(ended))

    def _submit(self, key: bytes, waiting: _Waiting) -> None:
        name = shard_name(key, self._shard_count)
        shard = self._shards.setdefault(name, _Shard(name))
        shard.add(waiting)
        self._ensure_work(shard)

    def _ensure_work(self, shard: _Shard) -> None:
        if self._nursery is not None and not shard.working and shard.waiting:
            shard.working = True
            self._nursery.start_soon(self._work, shard)

    async def _work(self, shard: _Shard) -> None:
        """Write what waits for a shard until nothing does, then forget the shard."""
        known: _Known | None = None
        while shard.waiting:
            await trio.sleep(GATHER_S)
            commit = _Commit(self._store, shard, self._next_operation_id(), self._rng)
            known = await commit.run(known, self._unix_time(), self._retention_s)
            shard.in_write = 0
            for claim in commit.given_up:
                self._give_up(claim)
            if known is None and not shard.wants():
                with trio.move_on_after(ENDS_RETRY_S * self._rng.uniform(0.5, 1.0)):
                    await shard.arrived.wait()
        del self._shards[shard.name]

    def _next_operation_id(self) -> str:
        self._writes += 1
        return f"{self._entry}/{self._writes}"


class _Commit:
    """One group's way into the platform.

    A write whose answer is lost is settled by reading the shard back: a claim names its request and
    attempt, which no other write ever carries. While the lost write may still be on its way, the
    shard's version is unchanged and the same group is written again under the same condition.
    """

    def __init__(self, store: ObjectStore, shard: _Shard, operation_id: str, rng: Random) -> None:
        self._store = store
        self._shard = shard
        self._operation_id = operation_id
        self._pauses = waits(rng, GATHER_S)
        self._taken = shard.take()
        self._may_be_written = False
        self.given_up: list[Claim] = []
        """Claims refused although their write may still take effect."""

    async def run(self, known: _Known | None, now_s: float, retention_s: float) -> _Known | None:
        """Write the group and give each change its verdict.

        Returns:
            The shard as it is now, or ``None`` where the platform did not take the group.
        """
        with trio.move_on_after(COMMIT_TIMEOUT_S):
            for pause_s in islice(self._pauses, COMMIT_TRIES):
                step = await self._try(known, now_s, retention_s)
                if step.ended:
                    return step.known
                known = None
                await trio.sleep(pause_s)
        self._refuse()
        return None

    async def _try(self, known: _Known | None, now_s: float, retention_s: float) -> _Step:
        known = known or await self._read()
        if known is None:
            return self._after_outage()
        changes = [waiting.change for waiting in self._taken]
        sent = prepare_write(known.claims, changes, now_s, retention_s)
        if sent.claims != known.claims:
            return await self._write(sent, known.version)
        # Nothing is to be written: an earlier write of this group has taken effect, or every
        # verdict is one that stays cautious also where others have written since.
        return self._settle(sent, known)

    async def _read(self) -> _Known | None:
        read = await self._store.get(CLAIM_KIND, self._shard.name)
        if isinstance(read, Success):
            return self._decoded(read.unwrap())
        if isinstance(read.failure(), NotFound):
            return _Known(0, {})
        return None

    def _decoded(self, stored: Stored) -> _Known | None:
        try:
            claims = decode_claims(stored.value)
        except msgspec.DecodeError as error:
            _log.error("step=read_claims shard=%s detail=%s", stored.name, error)
            return None
        return _Known(stored.version, claims)

    async def _write(self, sent: ShardWrite, expected_version: int) -> _Step:
        before = self._may_be_written
        self._may_be_written = True
        result = await self._store.put(
            CLAIM_KIND, self._shard.name, sent.value, expected_version, self._operation_id
        )
        if isinstance(result, Success):
            return self._settle(sent, _Known(result.unwrap().version, sent.claims))
        error = result.failure()
        if isinstance(error, Unsure):
            return _AGAIN
        self._may_be_written = before
        return self._after_outage() if isinstance(error, Unavailable) else _AGAIN

    def _after_outage(self) -> _Step:
        """Refuse at once, unless an earlier write of this group is still to be read back."""
        if self._may_be_written:
            return _AGAIN
        self._refuse()
        return _GIVEN_UP

    def _settle(self, sent: ShardWrite, known: _Known) -> _Step:
        for waiting, verdict in zip(self._taken, sent.responses, strict=True):
            waiting.settle(verdict)
        return _Step(True, known)

    def _refuse(self) -> None:
        """Refuse the claims; what has ended goes with a later group."""
        ended = [one for one in self._taken if isinstance(one.change, ClaimCompletion)]
        self._shard.waiting[:0] = ended
        for waiting in self._taken:
            if isinstance(waiting.change, ClaimCompletion):
                continue
            waiting.settle(_REFUSED)
            if self._may_be_written:
                self.given_up.append(waiting.change.claim)
