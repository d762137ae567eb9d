"""What a request is told about a claim that it finds."""

import pytest

from chivehold.core.claims import (
    CLOCK_MARGIN_S,
    MAX_SHARD_BYTES,
    Claim,
    ClaimEnded,
    ClaimState,
    ClaimWanted,
    Revocation,
    Verdict,
    decide,
    decode_claims,
    encode_claims,
    group,
    key_digest,
    shard_name,
)
from chivehold.core.identity import KeyId, Outcome
from chivehold.core.wire import RevokeResult

RETENTION_S = 3600.0
GRANTED = Verdict(granted=True)


def claim(request="r1", attempt=1, state=ClaimState.CLAIMED, key=b"k"):
    run = "forja-1.0123456789ab"
    return Claim(key, request, "entry.0123456789ab", attempt, "forja-1", run, 0.0, 30.0, state)


def told(outcome):
    return Verdict(outcome=outcome)


class TestDecide:
    @pytest.mark.parametrize(
        ("found", "expected"),
        [
            (None, GRANTED),
            (claim(state=ClaimState.NOT_RUN), GRANTED),
            (claim(state=ClaimState.ANSWERED), told(Outcome.ALREADY_ANSWERED)),
            (claim(state=ClaimState.UNKNOWN), told(Outcome.UNKNOWN)),
            (claim(), Verdict(ask=claim())),
            (claim("r2", attempt=7), GRANTED),
            (claim("r2", state=ClaimState.ANSWERED), told(Outcome.ALREADY_ANSWERED)),
        ],
    )
    def test_found(self, found, expected):
        """Only a request that finds no claim, one that did not run, or its own may run at once."""
        assert decide(found, ClaimWanted(claim("r2")), 0.0) == expected

    @pytest.mark.parametrize("result", RevokeResult)
    @pytest.mark.parametrize("now_s", [29.0, 31.0])
    def test_revoked(self, result, now_s):
        """Only an attempt that never starts gives way; else the answer depends on the deadline."""
        wanted = ClaimWanted(claim("r2"), Revocation(claim().attempt_id, result))
        verdict = decide(claim(), wanted, now_s)
        if result is RevokeResult.NEVER_STARTED:
            assert verdict == GRANTED
        else:
            assert verdict == told(Outcome.IN_PROGRESS if now_s < 30.0 else Outcome.UNKNOWN)
        moved = claim(attempt=2)
        assert decide(moved, wanted, now_s) == Verdict(ask=moved)


class TestGroup:
    def test_order(self):
        """Changes of one group see each other; only the request's own end counts."""
        ended = [ClaimEnded(b"k", "r2", ClaimState.ANSWERED, None)]
        ended += [ClaimEnded(b"k", "r1", ClaimState.NOT_RUN, 2)]
        made = group({}, [ClaimWanted(claim()), *ended, ClaimWanted(claim("r2"))], 0.0, RETENTION_S)
        assert made.verdicts == (GRANTED, Verdict(), Verdict(), Verdict(ask=claim()))
        assert decode_claims(made.value) == {b"k": claim()}

    @pytest.mark.parametrize("state", [ClaimState.ANSWERED, ClaimState.UNKNOWN])
    def test_ended(self, state):
        """An outcome is kept in less than half the bytes, and is final."""
        ended = ClaimEnded(b"k", "r1", state)
        made = group({b"k": claim()}, [ended], 0.0, RETENTION_S)
        assert 2 * len(made.value) < len(encode_claims({b"k": claim()}))
        late = [
            ClaimEnded(b"k", "r1", ClaimState.NOT_RUN),
            ClaimEnded(b"k", "", ClaimState.NOT_RUN),
        ]
        assert group(made.claims, late, 0.0, RETENTION_S).claims == made.claims
        assert decide(made.claims[b"k"], ClaimWanted(claim("r2")), 0.0).outcome is not None

    def test_not_run(self):
        """A claim whose request did not run is removed."""
        ended = ClaimEnded(b"k", "r1", ClaimState.NOT_RUN, 1)
        assert group({b"k": claim()}, [ended], 0.0, RETENTION_S).claims == {}

    def test_expiry(self):
        """A claim outlives the longest caller retry, and a margin, and no more."""
        claims = {b"k": claim()}
        last_s = RETENTION_S + CLOCK_MARGIN_S
        assert group(claims, [], last_s, RETENTION_S).claims == claims
        assert group(claims, [], last_s + 1, RETENTION_S).claims == {}

    def test_full(self):
        """A shard takes no more claims than fit its bound, and forgets none for a new one."""
        claims = {b"%d" % n: claim(f"r{n}", key=b"%d" % n) for n in range(10_000)}
        assert len(encode_claims(claims)) <= MAX_SHARD_BYTES
        wanted = [ClaimWanted(claim(f"{n}" * 40, key=b"new%d" % n)) for n in range(4_000)]
        end = ClaimEnded(b"1", "r1", ClaimState.ANSWERED)
        made = group(claims, [*wanted, end], 0.0, RETENTION_S)
        assert set(made.verdicts) == {told(Outcome.NOT_RUN), Verdict()}
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
