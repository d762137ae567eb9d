"""What a request is told about a claim that it finds."""

import pytest

from chivehold.core.claims import (
    CLOCK_MARGIN_S,
    MAX_SHARD_BYTES,
    Claim,
    ClaimCompletion,
    ClaimRequest,
    ClaimResponse,
    ClaimState,
    Revocation,
    decode_claims,
    encode_claims,
    key_digest,
    prepare_write,
    resolve_claim,
    shard_name,
)
from chivehold.core.identity import KeyId, Outcome
from chivehold.core.wire import RevokeResult

RETENTION_S = 3600.0
GRANTED = ClaimResponse(granted=True)


def claim(request="r1", attempt=1, state=ClaimState.CLAIMED, key=b"k"):
    run = "forja-1.0123456789ab"
    return Claim(key, request, "entry.0123456789ab", attempt, "forja-1", run, 0.0, 30.0, state)


def told(outcome):
    return ClaimResponse(outcome=outcome)


class TestDecide:
    @pytest.mark.parametrize(
        ("found", "expected"),
        [
            (None, GRANTED),
            (claim(state=ClaimState.NOT_RUN), GRANTED),
            (claim(state=ClaimState.ANSWERED), told(Outcome.ALREADY_ANSWERED)),
            (claim(state=ClaimState.UNKNOWN), told(Outcome.UNKNOWN)),
            (claim(), ClaimResponse(to_revoke=claim())),
            (claim("r2", attempt=7), GRANTED),
            (claim("r2", state=ClaimState.ANSWERED), told(Outcome.ALREADY_ANSWERED)),
        ],
    )
    def test_found(self, found, expected):
        """Only a request that finds no claim, one that did not run, or its own may run at once."""
        assert resolve_claim(found, ClaimRequest(claim("r2")), 0.0) == expected

    @pytest.mark.parametrize("result", RevokeResult)
    @pytest.mark.parametrize("now_s", [29.0, 31.0])
    def test_revoked(self, result, now_s):
        """Only an attempt that never starts gives way; else the answer depends on the deadline."""
        wanted = ClaimRequest(claim("r2"), Revocation(claim().attempt_id, result))
        verdict = resolve_claim(claim(), wanted, now_s)
        if result is RevokeResult.NEVER_STARTED:
            assert verdict == GRANTED
        else:
            assert verdict == told(Outcome.IN_PROGRESS if now_s < 30.0 else Outcome.UNKNOWN)
        moved = claim(attempt=2)
        assert resolve_claim(moved, wanted, now_s) == ClaimResponse(to_revoke=moved)


class TestGroup:
    def test_order(self):
        """Changes of one group see each other; only the request's own end counts."""
        ended = [ClaimCompletion(b"k", "r2", ClaimState.ANSWERED, None)]
        ended += [ClaimCompletion(b"k", "r1", ClaimState.NOT_RUN, 2)]
        made = prepare_write(
            {}, [ClaimRequest(claim()), *ended, ClaimRequest(claim("r2"))], 0.0, RETENTION_S
        )
        assert made.responses == (
            GRANTED,
            ClaimResponse(),
            ClaimResponse(),
            ClaimResponse(to_revoke=claim()),
        )
        assert decode_claims(made.value) == {b"k": claim()}

    @pytest.mark.parametrize("state", [ClaimState.ANSWERED, ClaimState.UNKNOWN])
    def test_ended(self, state):
        """An outcome is kept in less than half the bytes, and is final."""
        ended = ClaimCompletion(b"k", "r1", state)
        made = prepare_write({b"k": claim()}, [ended], 0.0, RETENTION_S)
        assert 2 * len(made.value) < len(encode_claims({b"k": claim()}))
        late = [
            ClaimCompletion(b"k", "r1", ClaimState.NOT_RUN),
            ClaimCompletion(b"k", "", ClaimState.NOT_RUN),
        ]
        assert prepare_write(made.claims, late, 0.0, RETENTION_S).claims == made.claims
        assert resolve_claim(made.claims[b"k"], ClaimRequest(claim("r2")), 0.0).outcome is not None

    def test_not_run(self):
        """A claim whose request did not run is removed."""
        ended = ClaimCompletion(b"k", "r1", ClaimState.NOT_RUN, 1)
        assert prepare_write({b"k": claim()}, [ended], 0.0, RETENTION_S).claims == {}

    def test_expiry(self):
        """A claim outlives the longest caller retry, and a margin, and no more."""
        claims = {b"k": claim()}
        last_s = RETENTION_S + CLOCK_MARGIN_S
        assert prepare_write(claims, [], last_s, RETENTION_S).claims == claims
        assert prepare_write(claims, [], last_s + 1, RETENTION_S).claims == {}

    def test_full(self):
        """A shard takes no more claims than fit its bound, and forgets none for a new one."""
        claims = {b"%d" % n: claim(f"r{n}", key=b"%d" % n) for n in range(10_000)}
        assert len(encode_claims(claims)) <= MAX_SHARD_BYTES
        wanted = [ClaimRequest(claim(f"{n}" * 40, key=b"new%d" % n)) for n in range(4_000)]
        end = ClaimCompletion(b"1", "r1", ClaimState.ANSWERED)
        made = prepare_write(claims, [*wanted, end], 0.0, RETENTION_S)
        assert set(made.responses) == {told(Outcome.NOT_RUN), ClaimResponse()}
        assert len(made.value) <= MAX_SHARD_BYTES
        assert made.claims.keys() == claims.keys()
        assert made.claims[b"1"].state is ClaimState.ANSWERED


class TestShardName:
    def test_spread(self):
        """Keys that differ in any part spread over all shards."""
        keys = [KeyId(f"o{n % 2}", f"t{n % 3}", str(n // 6)) for n in range(6_000)]
        digests = {key_digest(key) for key in keys}
        assert len(digests) == len(keys)
        assert {shard_name(digest, 64) for digest in digests} == {str(n) for n in range(64)}
