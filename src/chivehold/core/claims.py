"""Claims of non-idempotent requests, which prevent a request from running twice.

A claim is written before its attempt is sent. Therefore a request that finds no claim under its
key is the first with that key, and a request that finds a claim may run only if the claimed attempt
is revoked before it starts.
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
"""Number of stored objects that claims are spread over; the same at every entry."""
CLOCK_MARGIN_S = 60.0
"""Time in seconds that claims are kept beyond the retention, for clock differences."""
MAX_SHARD_BYTES = 900_000
"""Maximum size of an encoded shard, in bytes."""
KEY_DIGEST_BYTES = 16


class ClaimState(StrEnum):
    """Recorded state of a claimed request."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    """Used only in changes: the claim of a request that did not run is removed."""
    UNKNOWN = "unknown"


class Claim(NamedTuple):
    """The claim of a request; times are Unix times in seconds."""

    key: bytes
    """Digest of the organisation, the target and the key."""
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
"""The claims of one shard, by the digest of their key."""


class Revocation(NamedTuple):
    """The result of revoking the attempt of an existing claim at its sidecar."""

    attempt: AttemptId
    result: RevokeResult


class ClaimRequest(NamedTuple):
    """A request for a claim.

    ``revocation`` is set if an earlier response asked to revoke an existing claim's attempt.
    """

    claim: Claim
    revocation: Revocation | None = None


class ClaimCompletion(NamedTuple):
    """The end of a claimed request, to be recorded in its claim.

    If ``attempt`` is set, the end is recorded only if the claim still covers that attempt.
    """

    key: bytes
    request: RequestId
    state: ClaimState
    attempt: int | None = None


ClaimChange = ClaimRequest | ClaimCompletion


class ClaimResponse(NamedTuple):
    """The response to a claim request.

    Exactly one field is set: ``granted``, ``outcome`` to return to the caller, or ``to_revoke``,
    the existing claim whose attempt must be revoked before the claim is requested again. The
    response to a completion has no field set.
    """

    granted: bool = False
    outcome: Outcome | None = None
    to_revoke: Claim | None = None


class ShardWrite(NamedTuple):
    """The content of one write to a shard, with the responses to its changes."""

    claims: Claims
    value: bytes
    responses: tuple[ClaimResponse, ...]
    """One for each change, in order; valid once the value is written."""


def key_digest(key: KeyId) -> bytes:
    """Return the digest of a key within its organisation and target."""
    encoded = msgspec.msgpack.encode(key)
    return hashlib.blake2b(encoded, digest_size=KEY_DIGEST_BYTES).digest()


def shard_name(digest: bytes, shards: int = CLAIM_SHARDS) -> str:
    """Return the name of the stored object with a key's claim; the same at every entry."""
    return str(int.from_bytes(digest[:4], "big") % shards)


def encode_claims(claims: Claims) -> bytes:
    """Return the stored value of a shard."""
    return msgspec.msgpack.encode(tuple(claims.values()))


def decode_claims(value: bytes) -> Claims:
    """Return the claims in the stored value of a shard.

    Raises:
        msgspec.DecodeError: The value is malformed.
    """
    try:
        claims = msgspec.msgpack.decode(value, type=tuple[Claim, ...])
    except (UnicodeDecodeError, RecursionError) as error:
        raise msgspec.DecodeError(str(error)) from error
    return {claim.key: claim for claim in claims}


def completed_state(outcome: Outcome) -> ClaimState:
    """Return the state to record for a request that ended with this outcome."""
    match outcome:
        case Outcome.ANSWERED:
            return ClaimState.ANSWERED
        case Outcome.NOT_RUN | Outcome.REJECTED:
            return ClaimState.NOT_RUN
        case _:
            return ClaimState.UNKNOWN


def resolve_claim(existing: Claim | None, request: ClaimRequest, now_s: float) -> ClaimResponse:
    """Return the response to a claim request, given the claim that exists under its key.

    Args:
        existing: The claim in the platform, if any.
        request: The claim request.
        now_s: Unix time in seconds. It only decides between ``IN_PROGRESS`` and ``UNKNOWN``, which
            are both safe, so clock differences do no harm.
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

    If the shard would exceed ``MAX_SHARD_BYTES``, only the completions are applied and no claim is
    granted.

    Args:
        claims: The shard as last read.
        changes: The changes to write.
        now_s: Unix time in seconds.
        retention_s: The longest time in seconds after first sending a request that its caller may
            retry it; claims are kept for longer than that.
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
    """Return an ended claim without the fields that are needed only while its request runs."""
    return claim._replace(
        request=RequestId(""),
        entry=EntryIncarnation(""),
        attempt=0,
        upstream=UpstreamName(""),
        incarnation=SidecarIncarnation(""),
        state=state,
    )
