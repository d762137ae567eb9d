"""Samples, with typical content, of every message between the processes."""

from collections.abc import Iterator
from random import Random
from typing import NamedTuple

import msgspec

from chivehold.core.claims import Claim, ClaimState, encode_claims, key_digest
from chivehold.core.control_lease import LeaseRecord, encode_lease
from chivehold.core.identity import (
    AttemptId,
    EntryIncarnation,
    KeyId,
    Organisation,
    RequestId,
    SidecarIncarnation,
    TargetName,
    UpstreamName,
    Urgency,
)
from chivehold.core.wire import (
    AttemptFrame,
    AttemptOffer,
    EngineOrder,
    FrameKind,
    Heartbeat,
    ImportOrder,
    KeyCommit,
    KeyDecision,
    KeyRegistration,
    OrderKind,
    OrderResult,
    PrefillKind,
    PrefillOrder,
    PrefillResult,
    RevokeResult,
)
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.convert import (
    Revocation,
    commit_to_proto,
    decision_to_proto,
    heartbeat_to_proto,
    load_report_to_proto,
    order_result_to_proto,
    order_to_proto,
    registration_to_proto,
    revocation_to_proto,
    revoke_result_to_proto,
)
from chivehold.rpc.convert_declarations import declaration_to_proto
from examples.slopes.entry_slopes import deployment, sample_report

INCARNATION_SUFFIX = "0123456789abcdef"
ENTRY = EntryIncarnation(f"entry-0123.{INCARNATION_SUFFIX}")
SIDECAR = SidecarIncarnation(f"engine-0123.{INCARNATION_SUFFIX}")
TARGET = TargetName("model-0")
ORGANISATION = Organisation("organisation-0001")
REQUEST = RequestId(f"{ENTRY}/{1_000_000}")
ATTEMPT = AttemptId(REQUEST, 1)
KEY = KeyId(ORGANISATION, TARGET, "0190aa00-0000-7000-8000-000000000001")
UPSTREAM = UpstreamName("model-0-decode-0001")
PROMPT_TOKENS = 500
POOL_SIZE = 154


class MessageSize(NamedTuple):
    """A kind of message and the encoded length of its sample in bytes."""

    kind: str
    encoded_bytes: int


def heartbeat() -> pb.HeartbeatRequest:
    """Return a typical heartbeat."""
    return heartbeat_to_proto(Heartbeat(ENTRY, SIDECAR, 8_500))


def load_report() -> pb.HeartbeatResponse:
    """Return a load report with its full list of cached blocks."""
    return load_report_to_proto(sample_report(123))


def declaration_push() -> pb.PushDeclarationsRequest:
    """Return the request that pushes one changed deployment with two full pools."""
    stored = pb.StoredDeclaration(
        declaration=declaration_to_proto(deployment("model-0", 2 * POOL_SIZE, 810)),
        uid="00000000-0000-0000-0000-000000000001",
        version=8_500,
    )
    return pb.PushDeclarationsRequest(declarations=[stored], revision=8_500, after_revision=8_499)


def claim(number: int, state: ClaimState = ClaimState.CLAIMED) -> Claim:
    """Return the claim of one request, open or ended."""
    is_open = state is ClaimState.CLAIMED
    return Claim(
        key_digest(KEY._replace(key=str(number))),
        RequestId(f"{ENTRY}/{number}" if is_open else ""),
        EntryIncarnation(ENTRY if is_open else ""),
        int(is_open),
        UpstreamName(UPSTREAM if is_open else ""),
        SidecarIncarnation(SIDECAR if is_open else ""),
        1_764_000_000.0,
        1_764_000_030.0,
        state,
    )


def message_sizes() -> Iterator[MessageSize]:
    """Yield the encoded length of a sample of each kind of message."""
    for message in _protobuf_messages():
        yield MessageSize(type(message).__name__, message.ByteSize())
    yield MessageSize("PushDeclarationsRequest", declaration_push().ByteSize())
    for value in _json_messages():
        yield MessageSize(type(value).__name__, len(msgspec.json.encode(value)))
    yield MessageSize("LeaseRecord", len(encode_lease(LeaseRecord(ENTRY, 6.0))))
    yield MessageSize("Claim", _claim_bytes(ClaimState.CLAIMED))
    yield MessageSize("Claim, ended", _claim_bytes(ClaimState.ANSWERED))


def _protobuf_messages() -> Iterator[object]:
    registration = KeyRegistration(KEY, REQUEST, ENTRY, 0.05)
    order = EngineOrder(8_500, f"{ENTRY}/1/model", OrderKind.LOAD_MODEL, "model", 4.0)
    yield heartbeat()
    yield load_report()
    yield registration_to_proto(registration)
    yield decision_to_proto(KeyDecision.ALREADY_ANSWERED)
    yield commit_to_proto(KeyCommit(KEY, REQUEST, ENTRY))
    yield pb.CommitKeyResponse(committed=True)
    yield revocation_to_proto(Revocation(ATTEMPT, SIDECAR, True))
    yield revoke_result_to_proto(RevokeResult.OTHER_INCARNATION)
    yield order_to_proto(order)
    yield order_result_to_proto(OrderResult.UNSURE)
    yield pb.ReadEngineRequest(fencing_number=8_500)
    yield pb.ReadEngineResponse(
        incarnation=SIDECAR, role="decode", models=["model"], adapters=["adapter"]
    )
    yield pb.PushDeclarationsResponse(revision=8_500)
    yield pb.PullDeclarationsRequest(after_revision=8_500)


def _json_messages() -> Iterator[object]:
    rng = Random(1)
    blocks = tuple(rng.getrandbits(32) for _ in range(PROMPT_TOKENS // 16))
    yield AttemptOffer(
        ATTEMPT, ENTRY, SIDECAR, TARGET, ORGANISATION, 1.0, Urgency.URGENT, 0.001, 0.9, 29.9,
        PROMPT_TOKENS, 320, 0, PROMPT_TOKENS * 130_000,
    )  # fmt: skip
    yield AttemptFrame(FrameKind.TOKENS, ATTEMPT, 100, (" token",))
    yield PrefillOrder(
        ATTEMPT, ENTRY, SIDECAR, TARGET, ORGANISATION, Urgency.URGENT, "", PROMPT_TOKENS, blocks,
        0.9, 29.9,
    )  # fmt: skip
    yield PrefillResult(
        PrefillKind.DONE, ATTEMPT, f"handle-{INCARNATION_SUFFIX}", "10.1.2.3:8100", 65_000_000, 0.8
    )
    yield ImportOrder(
        ATTEMPT, f"handle-{INCARNATION_SUFFIX}", "10.1.2.3:8100", 65_000_000, PROMPT_TOKENS, 0.7
    )


def _claim_bytes(state: ClaimState) -> int:
    stored_claim = claim(1, state)
    return len(encode_claims({stored_claim.key: stored_claim}))
