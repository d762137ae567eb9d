"""Applies operators' changes to declarations: validates the whole request, then writes it.

Writes are conditional on the stored version, and a write whose response is lost is read back.
"""

from collections.abc import AsyncIterator, Iterable, Iterator, Mapping, Sequence
from enum import StrEnum
from random import Random
from typing import NamedTuple

from returns.result import Failure, Result, Success

from chivehold.core.declaration_text import unified_diff
from chivehold.core.declarations import DeclarationReplica, DeclaredSpec
from chivehold.core.identity import TargetName
from chivehold.core.validation import Problem, validate
from chivehold.rpc.convert_declarations import encode_declaration
from chivehold.store.api import (
    Conflict,
    HistoryGone,
    NotFound,
    ObjectStore,
    Snapshot,
    StoredObject,
    Unavailable,
    Unsure,
    WriteError,
)
from chivehold.store.client import Write, write_and_confirm
from chivehold.store.declaration_objects import DECLARATION_KIND, decode_declarations

NOT_TRIED = "not tried, since the platform did not answer an earlier write of this request"


class ApplyRequest(NamedTuple):
    """The declarations that an operator wants to create, update or delete."""

    declarations: tuple[DeclaredSpec, ...]
    delete_names: tuple[TargetName, ...]
    operation_id: str
    """Makes the request idempotent: a repeated request has the same id."""
    dry_run: bool = False
    expected_versions: Mapping[str, int] = {}
    """The stored version required for each name; 0 means that it must not exist."""


class ChangeKind(StrEnum):
    """The result of a request for one declaration."""

    UNCHANGED = "unchanged"
    CREATED = "created"
    UPDATED = "updated"
    DELETED = "deleted"
    CONFLICT = "conflict"
    """Another operator changed it first; this change is not in force."""
    INVALID = "invalid"
    """The request is invalid; nothing of the request is in force."""
    REFUSED = "refused"
    """The platform is unavailable; this change is not in force."""
    UNSURE = "unsure"
    """May be in force; apply again with the same operation id."""


WRITTEN = frozenset((ChangeKind.CREATED, ChangeKind.UPDATED, ChangeKind.DELETED))
ACCEPTED = WRITTEN | {ChangeKind.UNCHANGED}


class Change(NamedTuple):
    """The result for one declaration, with the version in force if it was accepted."""

    name: TargetName
    kind: ChangeKind
    version: int = 0
    message: str = ""
    diff: tuple[str, ...] = ()


class ApplyResult(NamedTuple):
    """The result of a request; all accepted changes are in force at ``revision``."""

    changes: tuple[Change, ...]
    revision: int


class _Intent(NamedTuple):
    """The declaration wanted under a name; a ``spec`` of ``None`` deletes it."""

    name: TargetName
    spec: DeclaredSpec | None


async def apply(
    store: ObjectStore, replica: DeclarationReplica, request: ApplyRequest, rng: Random
) -> ApplyResult:
    """Carry out an operator's request.

    Args:
        store: The platform's object store.
        replica: This node's replica, which is updated with the written declarations.
        request: The wanted changes.
        rng: Source of jitter for delays while an unsure write is read back.

    Returns:
        The result for each declaration, deletions first.
    """
    listed = await store.list(DECLARATION_KIND)
    if isinstance(listed, Failure):
        return _uniform_result(
            request, ChangeKind.REFUSED, listed.failure().detail, replica.revision
        )
    deleted = await _tombstones(store, request, listed.unwrap())
    if isinstance(deleted, Failure):
        return _uniform_result(
            request, ChangeKind.REFUSED, deleted.failure().detail, replica.revision
        )
    plan = _Plan(request, (*listed.unwrap().objects, *deleted.unwrap()), replica)
    if problems := plan.problems():
        return ApplyResult(tuple(plan.invalid_changes(problems)), replica.revision)
    if request.dry_run:
        return ApplyResult(tuple(map(plan.change, plan.intents)), replica.revision)
    changes = [change async for change in _carry_out(store, plan, rng)]
    if any(change.kind in WRITTEN for change in changes):
        changes = await _refresh_replica(store, replica, changes)
    revision = max((c.version for c in changes if c.kind in ACCEPTED), default=replica.revision)
    return ApplyResult(tuple(changes), revision)


async def _tombstones(
    store: ObjectStore, request: ApplyRequest, listed: Snapshot
) -> Result[tuple[StoredObject, ...], Unavailable | HistoryGone]:
    """Read the tombstones, so that a repeated request finds its writes to names deleted since."""
    present = {stored.name for stored in listed.objects}
    if present.issuperset(name for name, _ in _intents(request)):
        return Success(())
    changes = await store.watch([DECLARATION_KIND], 0, 0.0)
    return changes.map(
        lambda snapshot: tuple(
            stored for stored in snapshot.objects if stored.deleted and stored.name not in present
        )
    )


class _Plan:
    """Determines the changes of a request by comparing it with the stored declarations."""

    def __init__(
        self, request: ApplyRequest, objects: Sequence[StoredObject], replica: DeclarationReplica
    ) -> None:
        self._request = request
        self._stored = {stored.name: stored for stored in objects}
        self._specs = {
            version.name: version.spec for version in decode_declarations(objects, replica)
        }

    @property
    def intents(self) -> Sequence[_Intent]:
        """The intent for each name, deletions first."""
        return _intents(self._request)

    def version(self, name: str) -> int:
        """Return the stored version of a name, or 0 if it does not exist."""
        stored = self._stored.get(name)
        return 0 if stored is None or stored.deleted else stored.version

    def problems(self) -> tuple[Problem, ...]:
        """Return the problems of the request, validated with all other declarations in force."""
        pending_intents = [intent for intent in self.intents if not self._is_applied(intent.name)]
        names = {intent.name for intent in pending_intents}
        kept = [spec for name, spec in self._specs.items() if name not in names and spec]
        wanted = [intent.spec for intent in pending_intents if intent.spec]
        validated = validate([*kept, *wanted])
        problems = () if isinstance(validated, Success) else validated.failure()
        own = (problem for problem in problems if problem.declaration in names)
        return (*_request_problems(self._request), *own)

    def invalid_changes(self, problems: Iterable[Problem]) -> Iterator[Change]:
        """Yield an ``INVALID`` change for each name of the request."""
        texts: dict[str, list[str]] = {}
        for problem in problems:
            texts.setdefault(problem.declaration, []).append(str(problem))
        for name, _ in self.intents:
            message = "; ".join(texts.get(name, ["another declaration of the request is invalid"]))
            yield Change(name, ChangeKind.INVALID, message=message)

    def change(self, intent: _Intent) -> Change:
        """Return the change to a name, assuming that no other operator writes concurrently."""
        name, spec = intent
        version = self.version(name)
        if self._is_applied(name):
            message = "this operation has been applied already"
            return Change(name, ChangeKind.UNCHANGED, version, message)
        expected = self._request.expected_versions.get(name, version)
        if expected != version:
            message = f"expected version {expected}, but version {version} is stored"
            return Change(name, ChangeKind.CONFLICT, version, message)
        before = self._specs.get(name)
        if spec == before:
            return Change(name, ChangeKind.UNCHANGED, version)
        return Change(name, self._write_kind(intent), version, "", unified_diff(before, spec, name))

    def write(self, intent: _Intent) -> Write:
        """Return the write that carries out an intent."""
        value = None if intent.spec is None else encode_declaration(intent.spec)
        version = self.version(intent.name)
        return Write(DECLARATION_KIND, intent.name, value, version, self._request.operation_id)

    def _write_kind(self, intent: _Intent) -> ChangeKind:
        if intent.spec is None:
            return ChangeKind.DELETED
        return ChangeKind.UPDATED if self.version(intent.name) else ChangeKind.CREATED

    def _is_applied(self, name: str) -> bool:
        stored = self._stored.get(name)
        return stored is not None and self._request.operation_id in stored.operations


async def _carry_out(store: ObjectStore, plan: _Plan, rng: Random) -> AsyncIterator[Change]:
    platform_answers = True
    for intent in plan.intents:
        change = plan.change(intent)
        if change.kind in WRITTEN and not platform_answers:
            change = Change(change.name, ChangeKind.REFUSED, message=NOT_TRIED)
        elif change.kind in WRITTEN:
            result = await write_and_confirm(store, plan.write(intent), rng)
            change = _outcome(change, result)
            platform_answers = change.kind not in (ChangeKind.REFUSED, ChangeKind.UNSURE)
        yield change


def _outcome(change: Change, result: Result[StoredObject, WriteError]) -> Change:
    if isinstance(result, Success):
        return change._replace(version=result.unwrap().version)
    match result.failure():
        case NotFound() if change.kind is ChangeKind.DELETED:
            return change._replace(version=0)
        case NotFound():
            message = "another operator has deleted it"
            return Change(change.name, ChangeKind.CONFLICT, message=message)
        case Conflict(current_version=version):
            message = f"another operator has changed it to version {version}"
            return Change(change.name, ChangeKind.CONFLICT, version, message)
        case Unavailable(detail=detail):
            return Change(change.name, ChangeKind.REFUSED, message=f"platform: {detail}")
        case Unsure(detail=detail):
            message = f"platform: {detail}; apply again with the same operation id"
            return Change(change.name, ChangeKind.UNSURE, message=message)


async def _refresh_replica(
    store: ObjectStore, replica: DeclarationReplica, changes: Sequence[Change]
) -> list[Change]:
    """Read all declarations, so that the replica has no gap below the new versions."""
    listed = await store.list(DECLARATION_KIND)
    if isinstance(listed, Failure):
        return list(changes)
    snapshot = listed.unwrap()
    versions = list(decode_declarations(snapshot.objects, replica))
    replica.merge_list(versions, snapshot.revision)
    validated = validate([declaration.spec for declaration in versions if declaration.spec])
    problems = () if isinstance(validated, Success) else validated.failure()
    return [_with_clashes(change, replica, problems) for change in changes]


def _with_clashes(
    change: Change, replica: DeclarationReplica, problems: Iterable[Problem]
) -> Change:
    """Add problems caused by concurrent changes to other declarations to the message."""
    clashes = [str(problem) for problem in problems if problem.declaration == change.name]
    if clashes and change.kind in WRITTEN:
        change = change._replace(message=f"in force, but {'; '.join(clashes)}")
    known = replica.get(change.name)
    if change.kind is ChangeKind.DELETED and change.version == 0 and known:
        return change._replace(version=known.version)
    return change


def _request_problems(request: ApplyRequest) -> Iterator[Problem]:
    declared = {spec.name for spec in request.declarations}
    for name, _ in _intents(request):
        if not request.operation_id:
            yield Problem(name, "operation_id", "an id of this operation")
    for name in declared.intersection(request.delete_names):
        yield Problem(name, "delete_names", "a name that is not declared as well")


def _intents(request: ApplyRequest) -> tuple[_Intent, ...]:
    deletions = (_Intent(name, None) for name in dict.fromkeys(request.delete_names))
    return (*deletions, *(_Intent(spec.name, spec) for spec in request.declarations))


def _uniform_result(
    request: ApplyRequest, kind: ChangeKind, message: str, revision: int
) -> ApplyResult:
    """Return a result with the same change for each name of the request."""
    changes = (Change(name, kind, message=message) for name, _ in _intents(request))
    return ApplyResult(tuple(changes), revision)
