"""Operators' changes of declarations: validated whole, written conditionally, settled."""

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
    Stored,
    Unavailable,
    Unsure,
    WriteError,
)
from chivehold.store.client import Write, settle
from chivehold.store.declaration_objects import DECLARATION_KIND, held_declarations

NOT_TRIED = "not tried, since the platform did not answer an earlier write of this request"


class ApplyRequest(NamedTuple):
    """What an operator wants in force."""

    declarations: tuple[DeclaredSpec, ...]
    delete_names: tuple[TargetName, ...]
    operation_id: str
    """The same id makes a repeated request harmless."""
    dry_run: bool = False
    expected_versions: Mapping[str, int] = {}
    """Refuse a name whose stored version differs; 0 for absent."""


class ChangeKind(StrEnum):
    """What became of one declaration."""

    UNCHANGED = "unchanged"
    CREATED = "created"
    UPDATED = "updated"
    DELETED = "deleted"
    CONFLICT = "conflict"
    """Another operator changed it first; nothing of it is in force."""
    INVALID = "invalid"
    """The request does not validate; nothing of the whole request is in force."""
    REFUSED = "refused"
    """The platform is unavailable; certainly not in force."""
    UNSURE = "unsure"
    """May be in force; apply again with the same operation id."""


WRITTEN = frozenset((ChangeKind.CREATED, ChangeKind.UPDATED, ChangeKind.DELETED))
ACCEPTED = WRITTEN | {ChangeKind.UNCHANGED}


class Change(NamedTuple):
    """What became of one declaration, with the version in force where it was accepted."""

    name: TargetName
    kind: ChangeKind
    version: int = 0
    message: str = ""
    diff: tuple[str, ...] = ()


class ApplyResult(NamedTuple):
    """What became of a request; all accepted changes are in force at ``revision``."""

    changes: tuple[Change, ...]
    revision: int


class _Intent(NamedTuple):
    name: TargetName
    spec: DeclaredSpec | None


async def apply(
    store: ObjectStore, replica: DeclarationReplica, request: ApplyRequest, rng: Random
) -> ApplyResult:
    """Carry out an operator's request.

    Args:
        store: The platform.
        replica: This node's copy; takes what was written.
        request: What is wanted.
        rng: Draws the waiting times between tries of an unsure write.

    Returns:
        What became of each declaration, deletions first.
    """
    listed = await store.list(DECLARATION_KIND)
    if isinstance(listed, Failure):
        return _all(request, ChangeKind.REFUSED, listed.failure().detail, replica.revision)
    deleted = await _tombstones(store, request, listed.unwrap())
    if isinstance(deleted, Failure):
        return _all(request, ChangeKind.REFUSED, deleted.failure().detail, replica.revision)
    planned = _Plan(request, (*listed.unwrap().objects, *deleted.unwrap()), replica)
    if problems := planned.problems():
        return ApplyResult(tuple(planned.invalid(problems)), replica.revision)
    if request.dry_run:
        return ApplyResult(tuple(map(planned.change, planned.intents)), replica.revision)
    changes = [change async for change in _writes(store, planned, rng)]
    if any(change.kind in WRITTEN for change in changes):
        changes = await _take(store, replica, changes)
    revision = max((c.version for c in changes if c.kind in ACCEPTED), default=replica.revision)
    return ApplyResult(tuple(changes), revision)


async def _tombstones(
    store: ObjectStore, request: ApplyRequest, listed: Snapshot
) -> Result[tuple[Stored, ...], Unavailable | HistoryGone]:
    """Read the deletions, by which a repeated request knows what others have deleted since."""
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
    """Compares a request with what is stored."""

    def __init__(
        self, request: ApplyRequest, objects: Sequence[Stored], replica: DeclarationReplica
    ) -> None:
        self._request = request
        self._stored = {stored.name: stored for stored in objects}
        self._specs = {held.name: held.spec for held in held_declarations(objects, replica)}

    @property
    def intents(self) -> Sequence[_Intent]:
        """What is wanted for each name, deletions first."""
        return _intents(self._request)

    def version(self, name: str) -> int:
        """Return the stored version of a name, 0 for none."""
        stored = self._stored.get(name)
        return 0 if stored is None or stored.deleted else stored.version

    def problems(self) -> tuple[Problem, ...]:
        """Return the faults of the wanted declarations among all that would be in force."""
        open_intents = [intent for intent in self.intents if not self._done(intent.name)]
        names = {intent.name for intent in open_intents}
        kept = [spec for name, spec in self._specs.items() if name not in names and spec]
        wanted = [intent.spec for intent in open_intents if intent.spec]
        found = validate([*kept, *wanted])
        problems = () if isinstance(found, Success) else found.failure()
        mine = (problem for problem in problems if problem.declaration in names)
        return (*_request_problems(self._request), *mine)

    def invalid(self, problems: Iterable[Problem]) -> Iterator[Change]:
        """Yield the changes of a request that does not validate."""
        texts: dict[str, list[str]] = {}
        for problem in problems:
            texts.setdefault(problem.declaration, []).append(str(problem))
        for name, _ in self.intents:
            message = "; ".join(texts.get(name, ["another declaration of the request is invalid"]))
            yield Change(name, ChangeKind.INVALID, message=message)

    def change(self, intent: _Intent) -> Change:
        """Return what the request does to a name if nobody else writes meanwhile."""
        name, spec = intent
        version = self.version(name)
        if self._done(name):
            message = "this operation has been applied already"
            return Change(name, ChangeKind.UNCHANGED, version, message)
        expected = self._request.expected_versions.get(name, version)
        if expected != version:
            message = f"expected version {expected}, but version {version} is stored"
            return Change(name, ChangeKind.CONFLICT, version, message)
        before = self._specs.get(name)
        if spec == before:
            return Change(name, ChangeKind.UNCHANGED, version)
        return Change(name, self._kind(intent), version, "", unified_diff(before, spec, name))

    def write(self, intent: _Intent) -> Write:
        """Return the write that carries out an intent."""
        value = None if intent.spec is None else encode_declaration(intent.spec)
        version = self.version(intent.name)
        return Write(DECLARATION_KIND, intent.name, value, version, self._request.operation_id)

    def _kind(self, intent: _Intent) -> ChangeKind:
        if intent.spec is None:
            return ChangeKind.DELETED
        return ChangeKind.UPDATED if self.version(intent.name) else ChangeKind.CREATED

    def _done(self, name: str) -> bool:
        stored = self._stored.get(name)
        return stored is not None and self._request.operation_id in stored.operations


async def _writes(store: ObjectStore, planned: _Plan, rng: Random) -> AsyncIterator[Change]:
    answering = True
    for intent in planned.intents:
        change = planned.change(intent)
        if change.kind in WRITTEN and not answering:
            change = Change(change.name, ChangeKind.REFUSED, message=NOT_TRIED)
        elif change.kind in WRITTEN:
            result = await settle(store, planned.write(intent), rng)
            change = _outcome(change, result)
            answering = change.kind not in (ChangeKind.REFUSED, ChangeKind.UNSURE)
        yield change


def _outcome(change: Change, result: Result[Stored, WriteError]) -> Change:
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


async def _take(
    store: ObjectStore, replica: DeclarationReplica, changes: Sequence[Change]
) -> list[Change]:
    """Read back all declarations, so that this node's copy has no gap below the new versions."""
    listed = await store.list(DECLARATION_KIND)
    if isinstance(listed, Failure):
        return list(changes)
    snapshot = listed.unwrap()
    held = list(held_declarations(snapshot.objects, replica))
    replica.merge_list(held, snapshot.revision)
    found = validate([one.spec for one in held if one.spec])
    problems = () if isinstance(found, Success) else found.failure()
    return [_noted(change, replica, problems) for change in changes]


def _noted(change: Change, replica: DeclarationReplica, problems: Iterable[Problem]) -> Change:
    """Tell of faults that arose because another operator changed another declaration."""
    clashes = [str(problem) for problem in problems if problem.declaration == change.name]
    if clashes and change.kind in WRITTEN:
        change = change._replace(message=f"in force, but {'; '.join(clashes)}")
    held = replica.get(change.name)
    if change.kind is ChangeKind.DELETED and change.version == 0 and held:
        return change._replace(version=held.version)
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


def _all(request: ApplyRequest, kind: ChangeKind, message: str, revision: int) -> ApplyResult:
    changes = (Change(name, kind, message=message) for name, _ in _intents(request))
    return ApplyResult(tuple(changes), revision)
