"""The declarations stored with a sidecar, from which entries fetch those they lack."""

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
    """Stores the newest declarations and feeds each new revision to the core.

    Args:
        target: The deployment or service that this sidecar belongs to.
        patient_floor: Share of places reserved for patient work, 0 to 1, while no deployment of
            the target is known.
        feed: Feeds an event to the core.
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
        """The revision up to which all changes are stored."""
        return self._replica.revision

    def push(self, request: pb.PushDeclarationsRequest) -> pb.PushDeclarationsResponse:
        """Store the newer ones of the declarations.

        Raises:
            Malformed: A declaration is invalid; none of them is stored.
        """
        changes = [_decode_version(message) for message in request.declarations]
        if self._replica.merge(changes, request.after_revision, request.revision):
            self._feed(DeclarationRevision(self._replica.revision, self._effective_patient_floor()))
        return pb.PushDeclarationsResponse(revision=self._replica.revision)

    def pull(self, request: pb.PullDeclarationsRequest) -> pb.PullDeclarationsResponse:
        """Return the declarations that changed after a revision, or the whole state."""
        lacking = self._replica.changes_for(request.after_revision)
        return pb.PullDeclarationsResponse(
            declarations=map(declaration_version_to_proto, lacking.changes),
            revision=lacking.revision,
            whole_state=lacking.after_revision == 0,
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
