"""Claims of non-idempotent requests: their records, and what a request that finds one is told.

A claim is written before its attempt is sent. So a request that finds no claim under its key is
the first, and one that finds a claim runs only if that claim's attempt is barred from starting.
"""

import hashlib
from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

import msgspec

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

CLAIM_SHARDS = 64
CLOCK_MARGIN_S = 60.0
MAX_SHARD_BYTES = 900_000
KEY_DIGEST_BYTES = 16


class ClaimState(StrEnum):
    """What is known of a claimed request."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    """Only on its way: a claim that did not run is removed."""
    UNKNOWN = "unknown"


class Claim(NamedTuple):
    """A request's claim; times are Unix times in seconds."""

    key: bytes
    """Digest of organisation, target and key."""
    request: RequestId
    entry: EntryIncarnation
    attempt: int
    upstream: UpstreamName
    incarnation: SidecarIncarnation
    claimed_at_s: float
    deadline_at_s: float
    state: ClaimState = ClaimState.CLAIMED

    @property
    def attempt_id(self) -> AttemptId:
        """The attempt that the claim covers."""
        return AttemptId(self.request, self.attempt)


Claims = Mapping[bytes, Claim]
"""A shard's claims by the digest of their key."""


class Revocation(NamedTuple):
    """What the sidecar of a claim that was found said when its attempt was revoked."""

    attempt: AttemptId
    result: RevokeResult


class ClaimRequest(NamedTuple):
    """A request wants to run; ``revocation`` tells of the claim that it found before."""

    claim: Claim
    revocation: Revocation | None = None


class ClaimCompletion(NamedTuple):
    """A request has ended; a set ``attempt`` means only if the claim still covers this one."""

    key: bytes
    request: RequestId
    state: ClaimState
    attempt: int | None = None


ClaimChange = ClaimRequest | ClaimCompletion


class ClaimResponse(NamedTuple):
    """The answer to a request that wants to run; all unset for a change that needs none.

    Exactly one is set: ``granted``, ``outcome`` to give to the caller, or ``to_revoke``, the claim
    whose attempt is to be revoked before the request comes again.
    """

    granted: bool = False
    outcome: Outcome | None = None
    to_revoke: Claim | None = None


class ShardWrite(NamedTuple):
    """What one write to a shard carries."""

    claims: Claims
    value: bytes
    responses: tuple[ClaimResponse, ...]
    """One for each change of the group, true once the value is written."""


def key_digest(key: KeyId) -> bytes:
    """Return a digest of a key within its organisation and target."""
    encoded = msgspec.msgpack.encode(key)
    return hashlib.blake2b(encoded, digest_size=KEY_DIGEST_BYTES).digest()


def shard_name(digest: bytes, shards: int = CLAIM_SHARDS) -> str:
    """Return the name of the object that keeps a key's claim; the same at every entry."""
    return str(int.from_bytes(digest[:4], "big") % shards)


def encode_claims(claims: Claims) -> bytes:
    """Return a shard's value."""
    return msgspec.msgpack.encode(tuple(claims.values()))


def decode_claims(value: bytes) -> Claims:
    """Return the claims of a shard's value.

    Raises:
        msgspec.DecodeError: It is malformed.
    """
    claims = msgspec.msgpack.decode(value, type=tuple[Claim, ...])
    return {claim.key: claim for claim in claims}


def completed_state(outcome: Outcome) -> ClaimState:
    """Return what to record of a request that has ended."""
    match outcome:
        case Outcome.ANSWERED:
            return ClaimState.ANSWERED
        case Outcome.NOT_RUN | Outcome.REJECTED:
            return ClaimState.NOT_RUN
        case _:
            return ClaimState.UNKNOWN


def resolve_claim(existing: Claim | None, request: ClaimRequest, now_s: float) -> ClaimResponse:
    """Tell a request that wants to run what to do about the claim found under its key.

    Args:
        existing: The claim in the platform, if any.
        request: The request's own claim.
        now_s: Unix time in seconds; it only chooses between two cautious answers.
    """
    if existing is None or existing.state is ClaimState.NOT_RUN:
        return ClaimResponse(granted=True)
    if existing.state is ClaimState.ANSWERED:
        return ClaimResponse(outcome=Outcome.ALREADY_ANSWERED)
    if existing.state is ClaimState.UNKNOWN:
        return ClaimResponse(outcome=Outcome.UNKNOWN)
    if existing.request == request.claim.request:
        return ClaimResponse(granted=True)
    revocation = request.revocation
    if revocation is None or revocation.attempt != existing.attempt_id:
        return ClaimResponse(to_revoke=existing)
    if revocation.result is RevokeResult.NEVER_STARTED:
        return ClaimResponse(granted=True)
    if now_s < existing.deadline_at_s:
        return ClaimResponse(outcome=Outcome.IN_PROGRESS)
    return ClaimResponse(outcome=Outcome.UNKNOWN)


def prepare_write(
    claims: Claims, changes: Sequence[ClaimChange], now_s: float, retention_s: float
) -> ShardWrite:
    """Apply changes to a shard, in order.

    Args:
        claims: The shard as read.
        changes: What waits to be written.
        now_s: Unix time in seconds.
        retention_s: The longest time after its first sending that a caller may retry a request;
            claims are kept for longer than that.
    """
    kept = _without_expired(claims, now_s - retention_s - CLOCK_MARGIN_S)
    write = _apply(kept, changes, now_s)
    if len(write.value) <= MAX_SHARD_BYTES:
        return write
    completions_only = _apply(
        kept, [change for change in changes if isinstance(change, ClaimCompletion)], now_s
    )
    responses = tuple(
        ClaimResponse(outcome=Outcome.NOT_RUN) if response.granted else response
        for response in write.responses
    )
    return completions_only._replace(responses=responses)


def _without_expired(claims: Claims, expired_before_s: float) -> dict[bytes, Claim]:
    return {key: claim for key, claim in claims.items() if claim.claimed_at_s >= expired_before_s}


def _apply(claims: Claims, changes: Iterable[ClaimChange], now_s: float) -> ShardWrite:
    new = dict(claims)
    responses: list[ClaimResponse] = []
    for change in changes:
        if isinstance(change, ClaimCompletion):
            _complete(new, change)
            responses.append(ClaimResponse())
            continue
        response = resolve_claim(new.get(change.claim.key), change, now_s)
        if response.granted:
            new[change.claim.key] = change.claim
        responses.append(response)
    return ShardWrite(new, encode_claims(new), tuple(responses))


def _complete(claims: dict[bytes, Claim], completion: ClaimCompletion) -> None:
    claim = claims.get(completion.key)
    if claim is None or claim.request != completion.request:
        return
    if claim.state is not ClaimState.CLAIMED or completion.attempt not in (None, claim.attempt):
        return
    if completion.state is ClaimState.NOT_RUN:
        del claims[completion.key]
        return
    claims[completion.key] = _compact(claim, completion.state)


def _compact(claim: Claim, state: ClaimState) -> Claim:
    """Keep what a later request under the key is told, without what only a running one needs."""
    return claim._replace(
        request=RequestId(""),
        entry=EntryIncarnation(""),
        attempt=0,
        upstream=UpstreamName(""),
        incarnation=SidecarIncarnation(""),
        state=state,
    )
