"""Claims: the responses to claim requests and the content of shards."""

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


def ended_as(outcome):
    return ClaimResponse(outcome=outcome)


class TestResolveClaim:
    @pytest.mark.parametrize(
        ("existing", "expected"),
        [
            (None, GRANTED),
            (claim(state=ClaimState.NOT_RUN), GRANTED),
            (claim(state=ClaimState.ANSWERED), ended_as(Outcome.ALREADY_ANSWERED)),
            (claim(state=ClaimState.UNKNOWN), ended_as(Outcome.UNKNOWN)),
            (claim(), ClaimResponse(to_revoke=claim())),
            (claim("r2", attempt=7), GRANTED),
            (claim("r2", state=ClaimState.ANSWERED), ended_as(Outcome.ALREADY_ANSWERED)),
        ],
    )
    def test_existing_claim(self, existing, expected):
        """A claim is granted at once only if there is none, or it did not run or is its own."""
        assert resolve_claim(existing, ClaimRequest(claim("r2")), 0.0) == expected

    @pytest.mark.parametrize("result", RevokeResult)
    @pytest.mark.parametrize("now_s", [29.0, 31.0])
    def test_after_revocation(self, result, now_s):
        """Only an attempt that never started is replaced; otherwise the deadline decides."""
        request = ClaimRequest(claim("r2"), Revocation(claim().attempt_id, result))
        response = resolve_claim(claim(), request, now_s)
        if result is RevokeResult.NEVER_STARTED:
            assert response == GRANTED
        else:
            assert response == ended_as(Outcome.IN_PROGRESS if now_s < 30.0 else Outcome.UNKNOWN)
        moved = claim(attempt=2)
        assert resolve_claim(moved, request, now_s) == ClaimResponse(to_revoke=moved)


class TestPrepareWrite:
    def test_changes_apply_in_order(self):
        """Changes of one write see the earlier ones; only a request's own completion counts."""
        completions = [ClaimCompletion(b"k", "r2", ClaimState.ANSWERED, None)]
        completions += [ClaimCompletion(b"k", "r1", ClaimState.NOT_RUN, 2)]
        write = prepare_write(
            {}, [ClaimRequest(claim()), *completions, ClaimRequest(claim("r2"))], 0.0, RETENTION_S
        )
        assert write.responses == (
            GRANTED,
            ClaimResponse(),
            ClaimResponse(),
            ClaimResponse(to_revoke=claim()),
        )
        assert decode_claims(write.value) == {b"k": claim()}

    @pytest.mark.parametrize("state", [ClaimState.ANSWERED, ClaimState.UNKNOWN])
    def test_completion(self, state):
        """A recorded outcome takes less than half the bytes of a claim and is final."""
        completion = ClaimCompletion(b"k", "r1", state)
        write = prepare_write({b"k": claim()}, [completion], 0.0, RETENTION_S)
        assert 2 * len(write.value) < len(encode_claims({b"k": claim()}))
        late = [
            ClaimCompletion(b"k", "r1", ClaimState.NOT_RUN),
            ClaimCompletion(b"k", "", ClaimState.NOT_RUN),
        ]
        assert prepare_write(write.claims, late, 0.0, RETENTION_S).claims == write.claims
        assert resolve_claim(write.claims[b"k"], ClaimRequest(claim("r2")), 0.0).outcome is not None

    def test_not_run(self):
        """A claim whose request did not run is removed."""
        completion = ClaimCompletion(b"k", "r1", ClaimState.NOT_RUN, 1)
        assert prepare_write({b"k": claim()}, [completion], 0.0, RETENTION_S).claims == {}

    def test_expiry(self):
        """A claim is kept for the retention and the clock margin, and no longer."""
        claims = {b"k": claim()}
        last_s = RETENTION_S + CLOCK_MARGIN_S
        assert prepare_write(claims, [], last_s, RETENTION_S).claims == claims
        assert prepare_write(claims, [], last_s + 1, RETENTION_S).claims == {}

    def test_full(self):
        """A shard over its size limit grants no new claims, drops none and records completions."""
        claims = {b"%d" % n: claim(f"r{n}", key=b"%d" % n) for n in range(10_000)}
        assert len(encode_claims(claims)) <= MAX_SHARD_BYTES
        requests = [ClaimRequest(claim(f"{n}" * 40, key=b"new%d" % n)) for n in range(4_000)]
        completion = ClaimCompletion(b"1", "r1", ClaimState.ANSWERED)
        write = prepare_write(claims, [*requests, completion], 0.0, RETENTION_S)
        assert set(write.responses) == {ended_as(Outcome.NOT_RUN), ClaimResponse()}
        assert len(write.value) <= MAX_SHARD_BYTES
        assert write.claims.keys() == claims.keys()
        assert write.claims[b"1"].state is ClaimState.ANSWERED


class TestShardName:
    def test_spread(self):
        """Keys that differ in any part are spread over all shards."""
        keys = [KeyId(f"o{n % 2}", f"t{n % 3}", str(n // 6)) for n in range(6_000)]
        digests = {key_digest(key) for key in keys}
        assert len(digests) == len(keys)
        assert {shard_name(digest, 64) for digest in digests} == {str(n) for n in range(64)}
