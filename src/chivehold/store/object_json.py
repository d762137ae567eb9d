"""JSON encoding of the platform's objects."""

from typing import NotRequired, TypedDict

from chivehold.core.untrusted_json import decode_json
from chivehold.store.api import Snapshot, StoredObject

CONFLICT_STATUS = 409
NOT_FOUND_STATUS = 404
RATE_LIMITED_STATUS = 429
OUTAGE_STATUS = 503


class StoredJson(TypedDict):
    """One object; ``value`` is base64-encoded."""

    kind: str
    name: str
    uid: str
    version: int
    value: bytes
    operations: list[str]
    deleted: NotRequired[bool]


class SnapshotJson(TypedDict):
    """Objects and the store's revision."""

    revision: int
    objects: list[StoredJson]


class ConflictJson(TypedDict):
    """The body of a refused conditional write."""

    current_version: int


class VmsJson(TypedDict):
    """The platform's list of VMs, by name."""

    live: list[str]
    leaving: list[str]


def stored_json(stored: StoredObject) -> StoredJson:
    """Convert an object for JSON encoding."""
    return StoredJson(
        kind=stored.kind,
        name=stored.name,
        uid=stored.uid,
        version=stored.version,
        value=stored.value,
        operations=list(stored.operations),
        deleted=stored.deleted,
    )


def snapshot_json(snapshot: Snapshot) -> SnapshotJson:
    """Convert a snapshot for JSON encoding."""
    return SnapshotJson(
        revision=snapshot.revision, objects=[stored_json(stored) for stored in snapshot.objects]
    )


def decode_stored(body: bytes) -> StoredObject:
    """Decode one object.

    Raises:
        msgspec.DecodeError: The body is malformed.
    """
    return _from_json(decode_json(body, StoredJson))


def decode_snapshot(body: bytes) -> Snapshot:
    """Decode a snapshot.

    Raises:
        msgspec.DecodeError: The body is malformed.
    """
    decoded = decode_json(body, SnapshotJson)
    return Snapshot(decoded["revision"], tuple(map(_from_json, decoded["objects"])))


def _from_json(decoded: StoredJson) -> StoredObject:
    return StoredObject(
        kind=decoded["kind"],
        name=decoded["name"],
        uid=decoded["uid"],
        version=decoded["version"],
        value=decoded["value"],
        operations=tuple(decoded["operations"]),
        deleted=decoded.get("deleted", False),
    )
