"""Converts messages of the service ``Sidecar`` between the schema and the core's types.

The functions ending in ``_from_proto`` raise ``Malformed`` if a message has an empty or unknown
value that the core does not accept.
"""

from enum import StrEnum
from typing import NamedTuple, TypeVar

from chivehold.core.identity import (
    AttemptId,
    EntryIncarnation,
    KeyId,
    Organisation,
    RequestId,
    Role,
    SidecarIncarnation,
    TargetName,
)
from chivehold.core.wire import (
    EngineOrder,
    Heartbeat,
    KeyCommit,
    KeyDecision,
    KeyRegistration,
    LoadReport,
    OrderKind,
    OrderResult,
    RevokeResult,
    UpstreamState,
)
from chivehold.exceptions import Malformed
from chivehold.rpc import chivehold_pb2 as pb

_ROLE_NUMBERS = {
    Role.PREFILL: pb.ROLE_PREFILL,
    Role.DECODE: pb.ROLE_DECODE,
    Role.SERVICE: pb.ROLE_SERVICE,
}
_ROLES_BY_NUMBER = {number: role for role, number in _ROLE_NUMBERS.items()}

EnumT = TypeVar("EnumT", bound=StrEnum)


class Revocation(NamedTuple):
    """The content of a ``RevokeRequest``."""

    attempt: AttemptId
    incarnation: SidecarIncarnation
    keeps_started: bool


class CommitOrRelease(NamedTuple):
    """The content of a ``CommitKeyRequest``; with ``release`` the key is released unanswered."""

    commit: KeyCommit
    release: bool


def heartbeat_to_proto(heartbeat: Heartbeat) -> pb.HeartbeatRequest:
    """Convert a heartbeat to its message."""
    return pb.HeartbeatRequest(**heartbeat._asdict())


def heartbeat_from_proto(message: pb.HeartbeatRequest) -> Heartbeat:
    """Convert a message to a heartbeat."""
    return Heartbeat(
        entry=EntryIncarnation(_non_empty(message.entry, "HeartbeatRequest.entry")),
        incarnation=SidecarIncarnation(message.incarnation),
        revision=message.revision,
    )


def load_report_to_proto(report: LoadReport) -> pb.HeartbeatResponse:
    """Convert a load report to its message."""
    fields = report._asdict()
    fields["role"] = _ROLE_NUMBERS[report.role]
    return pb.HeartbeatResponse(**fields)


def load_report_from_proto(message: pb.HeartbeatResponse) -> LoadReport:
    """Convert a message to a load report."""
    role = _ROLES_BY_NUMBER.get(message.role)
    if role is None:
        raise Malformed("decode HeartbeatResponse.role", "", str(message.role))
    return LoadReport(
        incarnation=SidecarIncarnation(message.incarnation),
        up_for_s=message.up_for_s,
        role=role,
        state=_enum_member(UpstreamState, message.state, "HeartbeatResponse.state"),
        revision=message.revision,
        places=message.places,
        places_free=message.places_free,
        waiting_urgent=message.waiting_urgent,
        waiting_patient=message.waiting_patient,
        wait_urgent_s=message.wait_urgent_s,
        wait_patient_s=message.wait_patient_s,
        prefill_backlog_s=message.prefill_backlog_s,
        prefill_urgent_backlog_s=message.prefill_urgent_backlog_s,
        prefill_tokens_per_s=message.prefill_tokens_per_s,
        token_interval_s=message.token_interval_s,
        link_backlog_s=message.link_backlog_s,
        prefix_blocks=tuple(message.prefix_blocks),
    )


def revocation_to_proto(revocation: Revocation) -> pb.RevokeRequest:
    """Convert a revocation to its message."""
    return pb.RevokeRequest(
        attempt=pb.Attempt(**revocation.attempt._asdict()),
        incarnation=revocation.incarnation,
        keeps_started=revocation.keeps_started,
    )


def revocation_from_proto(message: pb.RevokeRequest) -> Revocation:
    """Convert a message to a revocation."""
    request = RequestId(_non_empty(message.attempt.request, "RevokeRequest.attempt.request"))
    attempt = AttemptId(request, message.attempt.number)
    return Revocation(attempt, SidecarIncarnation(message.incarnation), message.keeps_started)


def revoke_result_to_proto(result: RevokeResult) -> pb.RevokeResponse:
    """Convert the result of a revocation to its message."""
    return pb.RevokeResponse(result=result)


def revoke_result_from_proto(message: pb.RevokeResponse) -> RevokeResult:
    """Convert a message to the result of a revocation."""
    return _enum_member(RevokeResult, message.result, "RevokeResponse.result")


def registration_to_proto(registration: KeyRegistration) -> pb.RegisterKeyRequest:
    """Convert a key's registration to its message."""
    fields = registration._asdict()
    fields["key"] = pb.Key(**registration.key._asdict())
    return pb.RegisterKeyRequest(**fields)


def registration_from_proto(message: pb.RegisterKeyRequest) -> KeyRegistration:
    """Convert a message to a key's registration."""
    return KeyRegistration(
        key=_key_from_proto(message.key),
        request=RequestId(_non_empty(message.request, "RegisterKeyRequest.request")),
        entry=EntryIncarnation(_non_empty(message.entry, "RegisterKeyRequest.entry")),
        first_sent_ago_s=message.first_sent_ago_s,
    )


def decision_to_proto(decision: KeyDecision) -> pb.RegisterKeyResponse:
    """Convert the decision of a key's home to its message."""
    return pb.RegisterKeyResponse(decision=decision)


def decision_from_proto(message: pb.RegisterKeyResponse) -> KeyDecision:
    """Convert a message to the decision of a key's home."""
    return _enum_member(KeyDecision, message.decision, "RegisterKeyResponse.decision")


def commit_to_proto(commit: KeyCommit, release: bool = False) -> pb.CommitKeyRequest:
    """Convert a key's commit or release to its message."""
    return pb.CommitKeyRequest(
        key=pb.Key(**commit.key._asdict()),
        request=commit.request,
        entry=commit.entry,
        release=release,
    )


def commit_from_proto(message: pb.CommitKeyRequest) -> CommitOrRelease:
    """Convert a message to a key's commit or release."""
    commit = KeyCommit(
        key=_key_from_proto(message.key),
        request=RequestId(_non_empty(message.request, "CommitKeyRequest.request")),
        entry=EntryIncarnation(_non_empty(message.entry, "CommitKeyRequest.entry")),
    )
    return CommitOrRelease(commit, message.release)


def order_to_proto(order: EngineOrder) -> pb.OrderRequest:
    """Convert an order to its message."""
    return pb.OrderRequest(**order._asdict())


def order_from_proto(message: pb.OrderRequest) -> EngineOrder:
    """Convert a message to an order."""
    return EngineOrder(
        fencing_number=message.fencing_number,
        operation_id=_non_empty(message.operation_id, "OrderRequest.operation_id"),
        kind=_enum_member(OrderKind, message.kind, "OrderRequest.kind"),
        argument=message.argument,
        lease_left_s=message.lease_left_s,
        incarnation=message.incarnation,
    )


def order_result_to_proto(result: OrderResult) -> pb.OrderResponse:
    """Convert the result of an order to its message."""
    return pb.OrderResponse(result=result)


def order_result_from_proto(message: pb.OrderResponse) -> OrderResult:
    """Convert a message to the result of an order."""
    return _enum_member(OrderResult, message.result, "OrderResponse.result")


def _key_from_proto(message: pb.Key) -> KeyId:
    return KeyId(
        organisation=Organisation(message.organisation),
        target=TargetName(_non_empty(message.target, "Key.target")),
        key=_non_empty(message.key, "Key.key"),
    )


def _non_empty(value: str, field: str) -> str:
    if not value:
        raise Malformed(f"decode {field}", "", "empty")
    return value


def _enum_member(enum_type: type[EnumT], value: str, field: str) -> EnumT:
    try:
        return enum_type(value)
    except ValueError:
        raise Malformed(f"decode {field}", "", repr(value)) from None
