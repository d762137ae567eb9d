"""Writes claims to the platform in batches: one conditional write carries all pending changes."""

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
from chivehold.logs import log_event
from chivehold.store.api import NotFound, ObjectStore, StoredObject, Unavailable, Unsure
from chivehold.store.backoff import backoff_delays

CLAIM_KIND = "claims"
RETENTION_S = 3600.0
BATCH_WINDOW_S = 0.005
"""How long changes are collected before they are written as one batch."""
COMMIT_TIMEOUT_S = 2.0
MAX_COMMIT_ATTEMPTS = 16
MAX_REVOCATIONS = 3
MAX_GRANT_AGE_S = 30.0
"""A grant that took longer than this to arrive is not used."""
MAX_PENDING_CHANGES = 4_096
OUTCOME_RETRY_S = 2.0
_REFUSED = ClaimResponse(outcome=Outcome.NOT_RUN)

_log = logging.getLogger(__name__)

Revoke = Callable[[UpstreamName, AttemptId, SidecarIncarnation], Awaitable[RevokeResult]]
"""Revokes an attempt at its sidecar; returns ``UNREACHABLE`` if it does not answer in time."""


class _PendingChange:
    """A change that is waiting to be written, and its response once known."""

    def __init__(self, change: ClaimChange) -> None:
        self.change = change
        self.response: ClaimResponse | None = None
        self._resolved = trio.Event()

    def resolve(self, response: ClaimResponse) -> None:
        """Set the response and wake the waiting task."""
        self.response = response
        self._resolved.set()

    async def result(self) -> ClaimResponse:
        """Wait for the response and return it."""
        await self._resolved.wait()
        assert self.response is not None
        return self.response


class _Shard:
    """The changes waiting for a shard's next write."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.pending: list[_PendingChange] = []
        self.being_written = 0
        self.has_writer = False
        self.change_added = trio.Event()

    def add(self, pending: _PendingChange) -> None:
        """Add a change to the next write."""
        self.pending.append(pending)
        self.change_added.set()

    def take_pending(self) -> list[_PendingChange]:
        """Return and remove all pending changes."""
        self.change_added = trio.Event()
        taken, self.pending = self.pending, []
        self.being_written = len(taken)
        return taken

    def has_pending_claim(self) -> bool:
        """Return whether a request is waiting for its claim; recording outcomes does not count."""
        return any(isinstance(pending.change, ClaimRequest) for pending in self.pending)


class _ShardState(NamedTuple):
    """A shard's contents as last read or written."""

    version: int
    claims: Claims


class _CommitStep(NamedTuple):
    """Whether a commit has ended, and the resulting shard contents if known."""

    ended: bool
    known: _ShardState | None = None


_RETRY = _CommitStep(ended=False)
_FAILED = _CommitStep(ended=True)


class ClaimWriter:
    """Writes one entry's claims to the platform.

    Changes are only written while ``run`` is running.

    Args:
        store: The platform's object store.
        entry: This run of the entry.
        revoke: Revokes another request's attempt at its sidecar.
        incarnation_of: Returns the incarnation of an upstream's sidecar to which attempts are
            currently addressed, or ``None`` while unknown.
        rng: Source of jitter for delays.
        retention_s: How long after first sending a request a caller may retry it, in seconds.
        unix_time: Returns the Unix time in seconds.
        shards: Number of objects that claims are spread over; must be the same at every entry.
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
    def pending_count(self) -> int:
        """The number of changes that are not written yet."""
        return sum(len(shard.pending) + shard.being_written for shard in self._shards.values())

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Write claims until cancelled; start it before the first ``claim``."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for shard in self._shards.values():
                self._ensure_writer(shard)
            task_status.started()
            await trio.sleep_forever()

    async def claim(self, command: MakeClaim) -> ClaimDecision:
        """Claim a request before it is sent; if cancelled while waiting, abandon the claim.

        Returns:
            Permission to send the attempt, or the outcome to return instead.
        """
        if command.first_sent_ago_s > self._retention_s:
            return ClaimDecision(False, Outcome.UNKNOWN)
        incarnation = self._incarnation_of(command.upstream)
        if incarnation is None:
            return ClaimDecision(False, Outcome.NOT_RUN)
        claim = self._build_claim(command, incarnation)
        requested_at = trio.current_time()
        try:
            decision = await self._decide(claim)
        except trio.Cancelled:
            self._abandon(claim)
            raise
        if decision.granted and trio.current_time() > requested_at + MAX_GRANT_AGE_S:
            # The process was suspended while waiting; the claim may have been resolved by others.
            self._abandon(claim)
            return ClaimDecision(False, Outcome.NOT_RUN)
        return decision

    async def record_outcome(self, command: EndClaim) -> None:
        """Queue a request's outcome for a later write, without waiting for it."""
        key = key_digest(command.key)
        state = completed_state(command.outcome)
        self._enqueue_completion(ClaimCompletion(key, command.request, state))

    def _build_claim(self, command: MakeClaim, incarnation: SidecarIncarnation) -> Claim:
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
        for _ in range(MAX_REVOCATIONS):
            pending = _PendingChange(ClaimRequest(claim, revocation))
            self._enqueue(claim.key, pending)
            response = await pending.result()
            if response.to_revoke is None:
                return ClaimDecision(response.granted, response.outcome)
            existing = response.to_revoke
            result = await self._revoke(
                existing.upstream, existing.attempt_id, existing.incarnation
            )
            revocation = Revocation(existing.attempt_id, result)
        return ClaimDecision(False, Outcome.IN_PROGRESS)

    def _abandon(self, claim: Claim) -> None:
        """Queue a record that a possibly written claim was never used to send an attempt."""
        self._enqueue_completion(
            ClaimCompletion(claim.key, claim.request, ClaimState.NOT_RUN, claim.attempt)
        )

    def _enqueue_completion(self, completion: ClaimCompletion) -> None:
        if self.pending_count >= MAX_PENDING_CHANGES:
            # The claim stays in state CLAIMED; a retry gets the outcome known to its sidecar.
            log_event(
                _log,
                logging.WARNING,
                "claim not ended",
                request=completion.request,
                detail="too many pending changes",
            )
            return
        self._enqueue(completion.key, _PendingChange(completion))

    def _enqueue(self, key: bytes, pending: _PendingChange) -> None:
        name = shard_name(key, self._shard_count)
        shard = self._shards.setdefault(name, _Shard(name))
        shard.add(pending)
        self._ensure_writer(shard)

    def _ensure_writer(self, shard: _Shard) -> None:
        if self._nursery is not None and not shard.has_writer and shard.pending:
            shard.has_writer = True
            self._nursery.start_soon(self._write_shard, shard)

    async def _write_shard(self, shard: _Shard) -> None:
        """Write a shard's pending changes until none are left, then drop the shard."""
        known: _ShardState | None = None
        while shard.pending:
            await trio.sleep(BATCH_WINDOW_S)
            commit = _Commit(self._store, shard, self._next_operation_id(), self._rng)
            known = await commit.run(known, self._unix_time(), self._retention_s)
            shard.being_written = 0
            for claim in commit.abandoned:
                self._abandon(claim)
            if known is None and not shard.has_pending_claim():
                with trio.move_on_after(OUTCOME_RETRY_S * self._rng.uniform(0.5, 1.0)):
                    await shard.change_added.wait()
        del self._shards[shard.name]

    def _next_operation_id(self) -> str:
        self._writes += 1
        return f"{self._entry}/{self._writes}"


class _Commit:
    """Writes one batch of changes to a shard.

    If the response to a write is lost, its outcome is determined by reading the shard back: a claim
    contains its request and attempt, which no other write contains. While the lost write may still
    be in flight, the shard's version is unchanged and the same batch is written again under the
    same condition.
    """

    def __init__(self, store: ObjectStore, shard: _Shard, operation_id: str, rng: Random) -> None:
        self._store = store
        self._shard = shard
        self._operation_id = operation_id
        self._retry_delays = backoff_delays(rng, BATCH_WINDOW_S)
        self._batch = shard.take_pending()
        self._may_be_written = False
        self.abandoned: list[Claim] = []
        """Claims that were refused although their write may still take effect."""

    async def run(
        self, known: _ShardState | None, now_s: float, retention_s: float
    ) -> _ShardState | None:
        """Write the batch and resolve each change with its response.

        Returns:
            The current contents of the shard, or ``None`` if the batch could not be written.
        """
        with trio.move_on_after(COMMIT_TIMEOUT_S):
            for delay_s in islice(self._retry_delays, MAX_COMMIT_ATTEMPTS):
                step = await self._commit_once(known, now_s, retention_s)
                if step.ended:
                    return step.known
                known = None
                await trio.sleep(delay_s)
        self._refuse()
        return None

    async def _commit_once(
        self, known: _ShardState | None, now_s: float, retention_s: float
    ) -> _CommitStep:
        known = known or await self._read()
        if known is None:
            return self._handle_outage()
        changes = [pending.change for pending in self._batch]
        update = prepare_write(known.claims, changes, now_s, retention_s)
        if update.claims != known.claims:
            return await self._write(update, known.version)
        # Nothing to write: an earlier write of this batch has taken effect, or each response is
        # conservative and remains correct even if others have written since.
        return self._resolve(update, known)

    async def _read(self) -> _ShardState | None:
        read = await self._store.get(CLAIM_KIND, self._shard.name)
        if isinstance(read, Success):
            return self._decode(read.unwrap())
        if isinstance(read.failure(), NotFound):
            return _ShardState(0, {})
        return None

    def _decode(self, stored: StoredObject) -> _ShardState | None:
        try:
            claims = decode_claims(stored.value)
        except msgspec.DecodeError as error:
            log_event(_log, logging.ERROR, "claims unreadable", name=stored.name, detail=error)
            return None
        return _ShardState(stored.version, claims)

    async def _write(self, update: ShardWrite, expected_version: int) -> _CommitStep:
        before = self._may_be_written
        self._may_be_written = True
        result = await self._store.put(
            CLAIM_KIND, self._shard.name, update.value, expected_version, self._operation_id
        )
        if isinstance(result, Success):
            return self._resolve(update, _ShardState(result.unwrap().version, update.claims))
        error = result.failure()
        if isinstance(error, Unsure):
            return _RETRY
        self._may_be_written = before
        return self._handle_outage() if isinstance(error, Unavailable) else _RETRY

    def _handle_outage(self) -> _CommitStep:
        """Refuse at once, unless an earlier write of this batch must still be read back."""
        if self._may_be_written:
            return _RETRY
        self._refuse()
        return _FAILED

    def _resolve(self, update: ShardWrite, known: _ShardState) -> _CommitStep:
        for pending, response in zip(self._batch, update.responses, strict=True):
            pending.resolve(response)
        return _CommitStep(True, known)

    def _refuse(self) -> None:
        """Refuse the claims; return the outcome records to the queue for a later batch."""
        completions = [
            pending for pending in self._batch if isinstance(pending.change, ClaimCompletion)
        ]
        self._shard.pending[:0] = completions
        for pending in self._batch:
            if isinstance(pending.change, ClaimCompletion):
                continue
            pending.resolve(_REFUSED)
            if self._may_be_written:
                self.abandoned.append(pending.change.claim)
