"""Converts declarations between the schema's messages and the core's types."""

from collections.abc import Iterable, Mapping
from typing import TypeVar

from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from chivehold.core import declared
from chivehold.core.declarations import DeclarationVersion, DeclaredSpec
from chivehold.core.declared import DEFAULT_BETWEEN_TOKENS_TARGET_S, DEFAULT_FIRST_TOKEN_TARGET_S
from chivehold.core.identity import Organisation, Role, TargetName, UpstreamName, Urgency
from chivehold.core.validation import Problem
from chivehold.rpc import chivehold_pb2 as pb

_ROLE_NUMBERS = {
    Role.PREFILL: pb.ROLE_PREFILL,
    Role.DECODE: pb.ROLE_DECODE,
    Role.SERVICE: pb.ROLE_SERVICE,
}
_URGENCY_NUMBERS = {Urgency.URGENT: pb.URGENCY_URGENT, Urgency.PATIENT: pb.URGENCY_PATIENT}
_WEIGH_NUMBERS = {
    declared.Weigh.GOODPUT: pb.WEIGH_GOODPUT,
    declared.Weigh.WASTED_PREFILL: pb.WEIGH_WASTED_PREFILL,
}

MemberT = TypeVar("MemberT")


class _UnreadableError(Exception):
    """A message has a value that cannot be converted to the core's types."""

    def __init__(self, field: str, expected: str) -> None:
        super().__init__(field, expected)
        self.field = field
        self.expected = expected


def declaration_to_proto(spec: DeclaredSpec) -> pb.Declaration:
    """Convert a declaration to its message."""
    if isinstance(spec, declared.Deployment):
        return pb.Declaration(name=spec.name, deployment=_deployment_to_proto(spec))
    return pb.Declaration(name=spec.name, service=_service_to_proto(spec))


def declaration_from_proto(message: pb.Declaration) -> Result[DeclaredSpec, Problem]:
    """Convert a message to a declaration, without validating its values."""
    try:
        return Success(_spec_from_proto(message))
    except _UnreadableError as error:
        return Failure(Problem(message.name, error.field, error.expected))


def encode_declaration(spec: DeclaredSpec) -> bytes:
    """Encode a declaration as the platform stores it; equal declarations have equal bytes."""
    return declaration_to_proto(spec).SerializeToString(deterministic=True)


def decode_declaration(name: str, value: bytes) -> Result[DeclaredSpec, Problem]:
    """Decode a declaration that the platform stores under a name."""
    message = pb.Declaration()
    try:
        message.ParseFromString(value)
    except DecodeError:
        return Failure(Problem(name, "value", "an encoded Declaration"))
    if message.name != name:
        return Failure(Problem(name, "name", f"{name}, the name of its object"))
    return declaration_from_proto(message)


def declaration_version_to_proto(stored: DeclarationVersion) -> pb.StoredDeclaration:
    """Convert a version of a declaration to its message."""
    message = pb.Declaration(name=stored.name)
    if stored.spec is not None:
        message = declaration_to_proto(stored.spec)
    return pb.StoredDeclaration(
        declaration=message, uid=stored.uid, version=stored.version, deleted=stored.spec is None
    )


def declaration_version_from_proto(
    message: pb.StoredDeclaration,
) -> Result[DeclarationVersion, Problem]:
    """Convert a message to a version of a declaration."""
    name = TargetName(message.declaration.name)
    if message.deleted:
        return Success(DeclarationVersion(name, message.uid, message.version, None))
    return declaration_from_proto(message.declaration).map(
        lambda spec: DeclarationVersion(name, message.uid, message.version, spec)
    )


def _deployment_to_proto(spec: declared.Deployment) -> pb.Deployment:
    return pb.Deployment(
        model=spec.model,
        prefill=map(_upstream_to_proto, spec.prefill),
        decode=map(_upstream_to_proto, spec.decode),
        classes=map(_class_to_proto, spec.classes),
        default_class=spec.default_class,
        weigh=_WEIGH_NUMBERS[spec.weigh],
        patient_floor=spec.patient_floor,
        shares=map(_share_to_proto, spec.shares),
        kv_bytes_per_token=spec.kv_bytes_per_token,
        adapters=spec.adapters,
    )


def _service_to_proto(spec: declared.Service) -> pb.Service:
    return pb.Service(
        upstreams=map(_upstream_to_proto, spec.upstreams),
        classes=map(_class_to_proto, spec.classes),
        default_class=spec.default_class,
        rules=map(_rule_to_proto, spec.rules),
        shares=map(_share_to_proto, spec.shares),
    )


def _upstream_to_proto(upstream: declared.Upstream) -> pb.Upstream:
    return pb.Upstream(
        name=upstream.name,
        role=_ROLE_NUMBERS[upstream.role],
        zone=upstream.zone,
        data_address=upstream.data_address,
        control_address=upstream.control_address,
        places=upstream.places,
        ignores_fencing=not upstream.honours_fencing,
    )


def _class_to_proto(traffic_class: declared.TrafficClass) -> pb.TrafficClass:
    return pb.TrafficClass(
        name=traffic_class.name,
        urgency=_URGENCY_NUMBERS[traffic_class.urgency],
        deadline_s=traffic_class.deadline_s,
        first_token_target_s=traffic_class.first_token_target_s,
        between_tokens_target_s=traffic_class.between_tokens_target_s,
    )


def _share_to_proto(share: declared.Share) -> pb.Share:
    return pb.Share(organisation=share.organisation, weight=share.weight)


def _rule_to_proto(rule: declared.CallRule) -> pb.CallRule:
    return pb.CallRule(method=rule.method, path_prefix=rule.path_prefix, idempotent=rule.idempotent)


def _spec_from_proto(message: pb.Declaration) -> DeclaredSpec:
    name = TargetName(message.name)
    match message.WhichOneof("spec"):
        case "deployment":
            return _deployment_from_proto(name, message.deployment)
        case "service":
            return _service_from_proto(name, message.service)
        case _:
            raise _UnreadableError("spec", "a deployment or a service")


def _deployment_from_proto(name: TargetName, message: pb.Deployment) -> declared.Deployment:
    weigh = message.weigh or pb.WEIGH_GOODPUT
    return declared.Deployment(
        name=name,
        model=message.model,
        prefill=_pool("prefill", message.prefill, Role.PREFILL),
        decode=_pool("decode", message.decode, Role.DECODE),
        classes=_classes(message.classes),
        weigh=_member_with_number(_WEIGH_NUMBERS, weigh, "weigh"),
        patient_floor=message.patient_floor,
        shares=_shares(message.shares),
        default_class=message.default_class,
        kv_bytes_per_token=message.kv_bytes_per_token,
        adapters=tuple(message.adapters),
    )


def _service_from_proto(name: TargetName, message: pb.Service) -> declared.Service:
    return declared.Service(
        name=name,
        upstreams=_pool("upstreams", message.upstreams, Role.SERVICE),
        classes=_classes(message.classes),
        rules=tuple(
            declared.CallRule(rule.method, rule.path_prefix, rule.idempotent)
            for rule in message.rules
        ),
        shares=_shares(message.shares),
        default_class=message.default_class,
    )


def _pool(field: str, messages: Iterable[pb.Upstream], role: Role) -> tuple[declared.Upstream, ...]:
    return tuple(
        declared.Upstream(
            name=UpstreamName(message.name),
            role=_member_with_number(
                _ROLE_NUMBERS, message.role or _ROLE_NUMBERS[role], f"{field}[{index}].role"
            ),
            zone=message.zone,
            data_address=message.data_address,
            control_address=message.control_address,
            places=message.places,
            honours_fencing=not message.ignores_fencing,
        )
        for index, message in enumerate(messages)
    )


def _classes(messages: Iterable[pb.TrafficClass]) -> tuple[declared.TrafficClass, ...]:
    return tuple(
        declared.TrafficClass(
            name=message.name,
            urgency=_member_with_number(
                _URGENCY_NUMBERS, message.urgency, f"classes[{index}].urgency"
            ),
            deadline_s=message.deadline_s,
            first_token_target_s=message.first_token_target_s or DEFAULT_FIRST_TOKEN_TARGET_S,
            between_tokens_target_s=message.between_tokens_target_s
            or DEFAULT_BETWEEN_TOKENS_TARGET_S,
        )
        for index, message in enumerate(messages)
    )


def _shares(messages: Iterable[pb.Share]) -> tuple[declared.Share, ...]:
    return tuple(
        declared.Share(Organisation(message.organisation), message.weight) for message in messages
    )


def _member_with_number(numbers: Mapping[MemberT, int], number: int, field: str) -> MemberT:
    for member, candidate in numbers.items():
        if candidate == number:
            return member
    raise _UnreadableError(field, f"one of {', '.join(map(str, numbers))}")
