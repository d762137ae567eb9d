"""The declarations kept beside a sidecar, handed on to entries that have older ones."""

from collections.abc import Callable

from returns.result import Failure

from chivehold.core.declarations import DeclarationReplica, DeclarationVersion
from chivehold.core.sidecar_messages import DeclarationRevision
from chivehold.exceptions import Malformed
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.convert_declarations import (
    declaration_version_from_proto,
    declaration_version_to_proto,
)


class SidecarDeclarations:
    """Takes newer declarations and tells the core of them.

    Args:
        target: The deployment or service that this sidecar belongs to.
        patient_floor: Used where no declaration of the target is known, 0 to 1.
        feed: Takes the event that follows.
    """

    def __init__(
        self, target: str, patient_floor: float, feed: Callable[[DeclarationRevision], None]
    ) -> None:
        self._target = target
        self._patient_floor = patient_floor
        self._feed = feed
        self._replica = DeclarationReplica()

    @property
    def revision(self) -> int:
        """The revision up to which nothing is missing."""
        return self._replica.revision

    def push(self, request: pb.PushDeclarationsRequest) -> pb.PushDeclarationsResponse:
        """Take what is newer.

        Raises:
            Malformed: One of them has no meaning; none is taken.
        """
        changes = [_decode_version(message) for message in request.declarations]
        if self._replica.merge(changes, request.after_revision, request.revision):
            self._feed(DeclarationRevision(self._replica.revision, self._effective_patient_floor()))
        return pb.PushDeclarationsResponse(revision=self._replica.revision)

    def pull(self, request: pb.PullDeclarationsRequest) -> pb.PullDeclarationsResponse:
        """Return what changed after a revision."""
        changed = self._replica.changed_after(request.after_revision)
        return pb.PullDeclarationsResponse(
            declarations=[declaration_version_to_proto(version) for version in changed],
            revision=self._replica.revision,
        )

    def _effective_patient_floor(self) -> float:
        deployments = self._replica.declarations().deployments
        floors = (
            deployment.patient_floor
            for deployment in deployments
            if deployment.name == self._target
        )
        return next(floors, self._patient_floor)


def _decode_version(message: pb.StoredDeclaration) -> DeclarationVersion:
    result = declaration_version_from_proto(message)
    if isinstance(result, Failure):
        raise Malformed("decode StoredDeclaration", "", str(result.failure()))
    return result.unwrap()
