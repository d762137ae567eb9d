"""The gRPC service ``Operators``, the same on every entry."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

import grpc
import msgspec
from returns.result import Success

from chivehold.core.declarations import DeclarationReplica, DeclaredSpec
from chivehold.core.declared import Upstream
from chivehold.core.identity import EntryIncarnation, Role, TargetName, UpstreamName
from chivehold.entry.driver import EntryDriver
from chivehold.entry.heartbeats import Heartbeats
from chivehold.entry.sidecar_calls import SidecarCalls
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.convert_declarations import declaration_from_proto, declaration_version_to_proto
from chivehold.rpc.errors import RpcFailed, RpcRefused
from chivehold.store.declaration_apply import ApplyRequest, Change, ChangeKind
from chivehold.store.declaration_sync import DeclarationSync

MAX_WATCHERS = 4
MAX_OPERATION_ID_LENGTH = 128
MAX_DECLARATIONS = 1000

_CHANGE_KINDS = {
    ChangeKind.UNCHANGED: pb.CHANGE_KIND_UNCHANGED,
    ChangeKind.CREATED: pb.CHANGE_KIND_CREATED,
    ChangeKind.UPDATED: pb.CHANGE_KIND_UPDATED,
    ChangeKind.DELETED: pb.CHANGE_KIND_DELETED,
    ChangeKind.CONFLICT: pb.CHANGE_KIND_CONFLICT,
    ChangeKind.INVALID: pb.CHANGE_KIND_INVALID,
    ChangeKind.REFUSED: pb.CHANGE_KIND_REFUSED,
    ChangeKind.UNSURE: pb.CHANGE_KIND_UNSURE,
}
_ROLES = {
    Role.PREFILL: pb.ROLE_PREFILL,
    Role.DECODE: pb.ROLE_DECODE,
    Role.SERVICE: pb.ROLE_SERVICE,
}


class EntryNode(NamedTuple):
    """The entry process that the service reports on."""

    name: str
    zone: str
    incarnation: EntryIncarnation
    is_draining: Callable[[], bool]
    start_drain: Callable[[], None]
    control_holder: Callable[[], str]
    """Returns the entry that holds the control lease; empty if unknown."""
    dump: Callable[[], dict[str, Any]]


class OperatorsService:
    """Serves operators; each method implements one RPC of the schema.

    Args:
        node: This process.
        replica: The declarations in force at this entry.
        sync: Applies changes to the declarations, and waits for newer ones.
        driver: Provides the number of requests in progress.
        heartbeats: Provides the latest load report of each upstream.
        calls: Forwards drains and dumps to sidecars.
    """

    def __init__(
        self,
        node: EntryNode,
        replica: DeclarationReplica,
        sync: DeclarationSync,
        driver: EntryDriver,
        heartbeats: Heartbeats,
        calls: SidecarCalls,
    ) -> None:
        self._node = node
        self._replica = replica
        self._sync = sync
        self._driver = driver
        self._heartbeats = heartbeats
        self._calls = calls
        self._watchers = 0

    async def Apply(self, request: pb.ApplyRequest, context: Any) -> pb.ApplyResponse:  # noqa: N802
        """Declare or delete objects; an accepted change has been written to the platform."""
        if not 0 < len(request.operation_id) <= MAX_OPERATION_ID_LENGTH:
            raise _invalid(f"operation_id: expected 1 to {MAX_OPERATION_ID_LENGTH} characters")
        if len(request.declarations) + len(request.delete_names) > MAX_DECLARATIONS:
            raise _invalid(f"declarations: expected at most {MAX_DECLARATIONS}")
        apply_request = ApplyRequest(
            declarations=tuple(_decode_specs(request)),
            delete_names=tuple(map(TargetName, request.delete_names)),
            operation_id=request.operation_id,
            dry_run=request.dry_run,
            expected_versions=dict(request.expected_versions),
        )
        result = await self._sync.apply(apply_request)
        changes = map(_change_to_proto, result.changes)
        return pb.ApplyResponse(changes=changes, revision=result.revision)

    async def Get(self, request: pb.GetRequest, context: Any) -> pb.GetResponse:  # noqa: N802
        """Return the declarations in force at this entry."""
        declared = [change for change in self._replica.changed_after(0) if change.spec is not None]
        if request.name:
            declared = [change for change in declared if change.name == request.name]
        messages = map(declaration_version_to_proto, declared)
        return pb.GetResponse(declarations=messages, revision=self._replica.revision)

    async def Status(  # noqa: N802
        self, request: pb.StatusRequest, context: Any
    ) -> pb.StatusResponse:
        """Report the nodes known to this entry, and the revision in force at each."""
        return pb.StatusResponse(
            nodes=[self._own_status(), *self._upstream_statuses()],
            revision=self._replica.revision,
            control_holder=self._node.control_holder(),
        )

    async def Watch(self, request: pb.WatchRequest, context: Any) -> pb.WatchResponse:  # noqa: N802
        """Wait for declarations newer than a revision."""
        if self._watchers >= MAX_WATCHERS:
            detail = f"{MAX_WATCHERS} calls of Watch wait already"
            raise RpcRefused(grpc.StatusCode.RESOURCE_EXHAUSTED, detail)
        self._watchers += 1
        try:
            newer = await self._sync.wait_for_newer(
                request.after_revision, max(0.0, request.wait_s)
            )
        finally:
            self._watchers -= 1
        changed = map(declaration_version_to_proto, newer.changes)
        return pb.WatchResponse(declarations=changed, revision=newer.revision)

    async def Drain(self, request: pb.DrainRequest, context: Any) -> pb.DrainResponse:  # noqa: N802
        """Start draining an upstream or this entry."""
        if request.upstream:
            with _refuse_on_peer_error():
                return await self._calls.drain(UpstreamName(request.upstream))
        self._node.start_drain()
        return pb.DrainResponse(state="leaving", in_progress=self._driver.in_progress)

    async def Dump(self, request: pb.DumpRequest, context: Any) -> pb.DumpResponse:  # noqa: N802
        """Dump the state of this entry, or of a sidecar."""
        if request.upstream:
            with _refuse_on_peer_error():
                return await self._calls.dump(UpstreamName(request.upstream))
        return pb.DumpResponse(json=msgspec.json.encode(self._node.dump()).decode())

    def _own_status(self) -> pb.NodeStatus:
        return pb.NodeStatus(
            name=self._node.name,
            kind="entry",
            incarnation=self._node.incarnation,
            state="leaving" if self._node.is_draining() else "ready",
            revision=self._replica.revision,
            zone=self._node.zone,
        )

    def _upstream_statuses(self) -> Iterator[pb.NodeStatus]:
        declarations = self._replica.declarations()
        for deployment in declarations.deployments:
            for upstream in (*deployment.prefill, *deployment.decode):
                yield self._upstream_status(deployment.name, upstream)
        for service in declarations.services:
            for upstream in service.upstreams:
                yield self._upstream_status(service.name, upstream)

    def _upstream_status(self, target: TargetName, upstream: Upstream) -> pb.NodeStatus:
        status = pb.NodeStatus(
            name=upstream.name,
            kind="sidecar",
            state="down",
            zone=upstream.zone,
            target=target,
            role=_ROLES[upstream.role],
            places=upstream.places,
        )
        report = self._heartbeats.report(upstream.name)
        if report is not None:
            status.incarnation = report.incarnation
            status.state = report.state
            status.revision = report.revision
            status.places_free = report.places_free
            status.waiting = report.waiting_urgent + report.waiting_patient
        status.heard_ago_s = self._heartbeats.heard_ago_s(upstream.name) or 0.0
        return status


@contextmanager
def _refuse_on_peer_error() -> Iterator[None]:
    """Turn a failed call to a sidecar into a refusal with the same status code."""
    try:
        yield
    except RpcFailed as error:
        raise RpcRefused(error.code, str(error)) from error


def _decode_specs(request: pb.ApplyRequest) -> Iterator[DeclaredSpec]:
    for message in request.declarations:
        decoded = declaration_from_proto(message)
        if not isinstance(decoded, Success):
            raise _invalid(str(decoded.failure()))
        yield decoded.unwrap()


def _change_to_proto(change: Change) -> pb.Change:
    return pb.Change(
        name=change.name,
        kind=_CHANGE_KINDS[change.kind],
        version=change.version,
        message=change.message,
        diff=change.diff,
    )


def _invalid(detail: str) -> RpcRefused:
    return RpcRefused(grpc.StatusCode.INVALID_ARGUMENT, detail)
