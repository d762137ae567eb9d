"""Decodes declarations stored as objects of the platform."""

import logging
from collections.abc import Iterable, Iterator

from returns.result import Success

from chivehold.core.declarations import DeclarationReplica, DeclarationVersion
from chivehold.core.identity import TargetName
from chivehold.logs import log_event
from chivehold.rpc.convert_declarations import decode_declaration
from chivehold.store.api import StoredObject

DECLARATION_KIND = "declaration"

_log = logging.getLogger(__name__)


def decode_declarations(
    objects: Iterable[StoredObject], replica: DeclarationReplica
) -> Iterator[DeclarationVersion]:
    """Decode stored objects and yield the version of each declaration.

    For an object that cannot be decoded, the version in the replica, if any, is yielded instead and
    stays in force.
    """
    for stored in objects:
        name = TargetName(stored.name)
        if stored.deleted:
            yield DeclarationVersion(name, stored.uid, stored.version, None)
            continue
        decoded = decode_declaration(stored.name, stored.value)
        if isinstance(decoded, Success):
            yield DeclarationVersion(name, stored.uid, stored.version, decoded.unwrap())
            continue
        log_event(
            _log,
            logging.WARNING,
            "declaration unreadable",
            name=stored.name,
            revision=stored.version,
            detail=decoded.failure(),
        )
        known = replica.get(name)
        if known is None:
            replica.record_unreadable()
        else:
            yield known
