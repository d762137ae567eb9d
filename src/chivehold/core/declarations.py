"""A node's replica of the declarations: the newest version of each name, deletions included.

The store takes all versions, those of deletions included, from one counter. Therefore a higher
version is always later, and a copy of a deleted object always has a lower version than a new object
of the same name.

A full list shows which objects exist, but not which were deleted. A replica that learned from a
list therefore lacks the tombstones of objects that it never held. Peers that may still hold such an
object get its whole state, in which a missing name means that the object was deleted.
"""

import hashlib
from collections.abc import Collection, Iterable
from typing import NamedTuple

from chivehold.core.declared import Declarations, Deployment, Service
from chivehold.core.identity import TargetName

DeclaredSpec = Deployment | Service


class DeclarationVersion(NamedTuple):
    """One version of a declaration; ``spec`` is ``None`` in the tombstone of a deleted one."""

    name: TargetName
    uid: str
    version: int
    spec: DeclaredSpec | None


class DeclarationChanges(NamedTuple):
    """All changes after ``after_revision`` up to ``revision``, as exchanged between replicas."""

    after_revision: int
    revision: int
    changes: tuple[DeclarationVersion, ...]


class DeclarationReplica:
    """Keeps the newest version of each name and never reverts to an older one.

    Its revision is the version up to which it has all changes.
    """

    def __init__(self) -> None:
        self._newest: dict[TargetName, DeclarationVersion] = {}
        self._revision = 0
        self._deletions_known_after = 0
        """Above this version the replica has the tombstones of all deletions."""
        self._lacks_unreadable = False

    @property
    def revision(self) -> int:
        """The replica has every change up to this version; 0 if it has none."""
        return self._revision

    @property
    def digest(self) -> str:
        """A digest of the names, unique ids and versions of the declarations in force."""
        in_force = (
            declaration for declaration in self._newest.values() if declaration.spec is not None
        )
        rows = sorted(
            (declaration.name, declaration.uid, declaration.version) for declaration in in_force
        )
        return hashlib.sha256(repr(rows).encode()).hexdigest()

    def get(self, name: TargetName) -> DeclarationVersion | None:
        """Return the newest version of a name, which may be a tombstone, or ``None``."""
        return self._newest.get(name)

    def changed_after(self, revision: int) -> tuple[DeclarationVersion, ...]:
        """Return the declarations with a version above this revision, oldest first."""
        newer = (
            declaration for declaration in self._newest.values() if declaration.version > revision
        )
        return tuple(sorted(newer, key=lambda declaration: declaration.version))

    def changes_for(self, revision: int) -> DeclarationChanges:
        """Return what a replica at this revision lacks.

        This is the whole state if the replica cannot name all deletions after the revision. A
        replica that could not read an object never sends its whole state: to others, which may
        read it, the object would seem deleted.
        """
        knows_deletions = revision >= self._deletions_known_after
        after = revision if knows_deletions or self._lacks_unreadable else 0
        return DeclarationChanges(after, self._revision, self.changed_after(after))

    def record_unreadable(self) -> None:
        """Record that an object of the store is missing here because it could not be decoded."""
        self._lacks_unreadable = True

    def declarations(self) -> Declarations:
        """Return the declarations in force, sorted by name."""
        specs = [declaration.spec for _, declaration in sorted(self._newest.items())]
        return Declarations(
            revision=self._revision,
            deployments=tuple(spec for spec in specs if isinstance(spec, Deployment)),
            services=tuple(spec for spec in specs if isinstance(spec, Service)),
        )

    def merge(
        self, changes: Iterable[DeclarationVersion], after_revision: int, revision: int
    ) -> bool:
        """Store those of the changes that are newer.

        Args:
            changes: Versions of declarations, in any order.
            after_revision: ``changes`` contains the newest version of each object that changed
                after this revision. Only deleted objects may be missing.
            revision: ``changes`` contains every change up to this revision. The replica's own
                revision advances to it only if no change in between is missing.

        Returns:
            Whether anything changed.
        """
        changes = tuple(changes)
        merged = [self._merge_version(change) for change in changes]
        advances = after_revision <= self._revision < revision
        if advances:
            self._delete_missing({change.name for change in changes}, after_revision, revision)
            if after_revision == 0:
                self._deletions_known_after = max(self._deletions_known_after, revision)
            self._revision = revision
        return advances or any(merged)

    def merge_list(self, listed: Iterable[DeclarationVersion], revision: int) -> bool:
        """Merge a full list as of a revision of the store; names missing from it are deleted.

        The replica's own revision advances only to the newest version of a declaration, so that
        changes of other kinds of objects do not make all peers synchronise.

        Returns:
            Whether anything changed.
        """
        present = {change.name: change for change in listed}
        merged = [self._merge_version(change) for change in present.values()]
        deleted = self._delete_missing(present.keys(), 0, revision)
        newest = max(
            (held.version for held in self._newest.values() if held.version <= revision), default=0
        )
        advances = newest > self._revision
        self._revision = max(self._revision, newest)
        self._deletions_known_after = max(self._deletions_known_after, revision)
        return advances or deleted or any(merged)

    def _delete_missing(
        self, present: Collection[TargetName], after_revision: int, revision: int
    ) -> bool:
        """Delete the objects last changed in a range of revisions, except those present.

        Returns:
            Whether any was deleted.
        """
        missing = [
            held
            for name, held in self._newest.items()
            if name not in present
            and held.spec is not None
            and after_revision < held.version <= revision
        ]
        for held in missing:
            self._newest[held.name] = held._replace(version=revision, spec=None)
        return bool(missing)

    def _merge_version(self, change: DeclarationVersion) -> bool:
        """Store a version if it is newer; one that the replica's revision covers is outdated."""
        held = self._newest.get(change.name)
        known_up_to = self._revision if held is None else max(self._revision, held.version)
        if change.version <= known_up_to:
            return False
        self._newest[change.name] = change
        return True
