"""A node's replica of the declarations: the newest version of each name, deletions included.

The store takes all versions, those of deletions included, from one counter. Therefore a higher
version is always later, and a copy of a deleted object always has a lower version than a new object
of the same name.
"""

import hashlib
from collections.abc import Iterable, Iterator
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


class DeclarationReplica:
    """Keeps the newest version of each name and never reverts to an older one.

    Its revision is the version up to which it has all changes.
    """

    def __init__(self) -> None:
        self._newest: dict[TargetName, DeclarationVersion] = {}
        self._revision = 0

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
            after_revision: ``changes`` contains every change after this revision.
            revision: ``changes`` contains every change up to this revision. The replica's own
                revision advances to it only if no change in between is missing.

        Returns:
            Whether anything changed.
        """
        merged = [self._merge_version(change) for change in changes]
        advances = after_revision <= self._revision < revision
        if advances:
            self._revision = revision
        return advances or any(merged)

    def merge_list(self, listed: Iterable[DeclarationVersion], revision: int) -> bool:
        """Merge a full list as of a revision of the store; names missing from it are deleted.

        Returns:
            Whether anything changed.
        """
        present = {change.name: change for change in listed}
        missing = self._missing(present.keys(), revision)
        changes = [*present.values(), *missing]
        newest = max((change.version for change in changes), default=0)
        return self.merge(changes, 0, newest)

    def _missing(
        self, present: Iterable[TargetName], revision: int
    ) -> Iterator[DeclarationVersion]:
        for name in self._newest.keys() - set(present):
            declaration = self._newest[name]
            if declaration.spec is not None and declaration.version <= revision:
                yield declaration._replace(version=revision, spec=None)

    def _merge_version(self, change: DeclarationVersion) -> bool:
        declaration = self._newest.get(change.name)
        if declaration is not None and change.version <= declaration.version:
            return False
        self._newest[change.name] = change
        return True
