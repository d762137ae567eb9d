"""Sends declarations to sidecars and fetches them from sidecars."""

import logging

from returns.result import Failure

from chivehold.core.declarations import DeclarationChanges, DeclarationVersion
from chivehold.core.identity import UpstreamName
from chivehold.entry.sidecar_calls import SidecarCalls
from chivehold.exceptions import Malformed
from chivehold.logs import log_event
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.convert_declarations import (
    declaration_version_from_proto,
    declaration_version_to_proto,
)
from chivehold.rpc.errors import RpcFailed

_log = logging.getLogger(__name__)


class SidecarPeers:
    """Exchanges declarations over gRPC; a peer is an upstream's name or a sidecar's address."""

    def __init__(self, calls: SidecarCalls) -> None:
        self._calls = calls

    async def pull(self, peer: str, after_revision: int) -> DeclarationChanges | None:
        """Fetch a peer's changes after a revision; ``None`` if it does not answer."""
        try:
            answer = await self._calls.pull(UpstreamName(peer), after_revision)
            changes = tuple(_decode_version(message, peer) for message in answer.declarations)
        except (RpcFailed, Malformed) as error:
            _log_failure(peer, error)
            return None
        complete_after = 0 if answer.whole_state else after_revision
        return DeclarationChanges(complete_after, answer.revision, changes)

    async def push(self, peer: str, changes: DeclarationChanges) -> int | None:
        """Send changes to a peer and return its new revision; ``None`` if it does not answer."""
        request = pb.PushDeclarationsRequest(
            declarations=map(declaration_version_to_proto, changes.changes),
            revision=changes.revision,
            after_revision=changes.after_revision,
        )
        try:
            answer = await self._calls.push(UpstreamName(peer), request)
        except RpcFailed as error:
            _log_failure(peer, error)
            return None
        return answer.revision


def _decode_version(message: pb.StoredDeclaration, peer: str) -> DeclarationVersion:
    decoded = declaration_version_from_proto(message)
    if isinstance(decoded, Failure):
        raise Malformed("decode declaration", peer, str(decoded.failure()))
    return decoded.unwrap()


def _log_failure(peer: str, error: Exception) -> None:
    log_event(_log, logging.INFO, "declarations not exchanged", peer=peer, detail=str(error))
