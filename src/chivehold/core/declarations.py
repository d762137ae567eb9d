"""A node's copy of the declarations: the newest version of each name, deletions included.

Versions come from one counter of the store, also over deletions. So a higher version is later,
whatever object it belongs to, and a copy of a former object of the same name is always lower.
"""

import hashlib
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from chivehold.core.declared import Declarations, Deployment, Service
from chivehold.core.identity import TargetName

DeclaredSpec = Deployment | Service


class DeclarationVersion(NamedTuple):
    """One version of a declaration; ``spec`` is ``None`` once it is deleted."""

    name: TargetName
    uid: str
    version: int
    spec: DeclaredSpec | None


class DeclarationReplica:
    """Keeps the newest version of each name and never goes back.

    Its revision is the version up to which nothing is missing.
    """

    def __init__(self) -> None:
        self._newest: dict[TargetName, DeclarationVersion] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Every change with a version up to this one is held; 0 for none."""
        return self._revision

    @property
    def digest(self) -> str:
        """A digest of what is in force: names, unique ids and versions."""
        in_force = (held for held in self._newest.values() if held.spec is not None)
        rows = sorted((held.name, held.uid, held.version) for held in in_force)
        return hashlib.sha256(repr(rows).encode()).hexdigest()

    def get(self, name: TargetName) -> DeclarationVersion | None:
        """Return the newest version of a name, a tombstone included."""
        return self._newest.get(name)

    def changed_after(self, revision: int) -> tuple[DeclarationVersion, ...]:
        """Return what has a higher version than this revision, oldest first."""
        newer = (held for held in self._newest.values() if held.version > revision)
        return tuple(sorted(newer, key=lambda held: held.version))

    def declarations(self) -> Declarations:
        """Return the declarations in force, by name."""
        specs = [held.spec for _, held in sorted(self._newest.items())]
        return Declarations(
            revision=self._revision,
            deployments=tuple(spec for spec in specs if isinstance(spec, Deployment)),
            services=tuple(spec for spec in specs if isinstance(spec, Service)),
        )

    def merge(
        self, changes: Iterable[DeclarationVersion], after_revision: int, revision: int
    ) -> bool:
        """Take what is newer.

        Args:
            changes: Versions of declarations, in any order.
            after_revision: ``changes`` holds all that changed after this revision …
            revision: … up to this one. The replica's own revision rises to it only where
                nothing between is missing.

        Returns:
            Whether anything changed.
        """
        merged = [self._merge_version(change) for change in changes]
        advances = after_revision <= self._revision < revision
        if advances:
            self._revision = revision
        return advances or any(merged)

    def merge_list(self, listed: Iterable[DeclarationVersion], revision: int) -> bool:
        """Take a whole list as of a revision of the store; names missing from it are deleted.

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
            held = self._newest[name]
            if held.spec is not None and held.version <= revision:
                yield held._replace(version=revision, spec=None)

    def _merge_version(self, change: DeclarationVersion) -> bool:
        held = self._newest.get(change.name)
        if held is not None and change.version <= held.version:
            return False
        self._newest[change.name] = change
        return True
