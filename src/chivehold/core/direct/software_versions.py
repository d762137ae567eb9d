"""Which versions of the engines' software may have written events of streams that go on.

What two software versions write does not fit together, so a stream goes on only at the version that
began it. While one version alone can have begun a stream, any engine will do. To know that, also
right after its start, an entry needs the versions that are listed now and those that have left less
than a stream's lifetime ago. The latter are kept in a table in the store, which all entries share.
A new version is added to it before streams begin there; a version that has left is removed once
no stream that it began can go on.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from chivehold.core.direct.messages import Stage, UpstreamRecord
from chivehold.core.store_version import era_of

MIN_STREAM_LIFETIME_S = 15.0
"""Shortest time for which a stream is assumed to go on, its caller's retries included."""
MAX_STREAM_LIFETIME_S = 120.0
RESTORE_SETTLING_S = 3.0
"""Time after a restore of the store in which the entries write what it has lost."""

VersionTable = Mapping[str, frozenset[str]]
"""Software versions by service."""


class _ServiceVersion(NamedTuple):
    service: str
    software: str


class SoftwareVersions:
    """Tracks the software versions of model services.

    Args:
        now: Monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._listed: VersionTable = {}
        self._listed_revision = 0
        self._stored: VersionTable = {}
        self._stored_version: int | None = None
        self._stored_at = now
        self._settled_at = now
        """When the table is complete again after a restore of the store."""
        self._absent_since: dict[_ServiceVersion, float] = {}
        self._lifetime_s = MIN_STREAM_LIFETIME_S

    @property
    def stream_lifetime_s(self) -> float:
        """Longest time from a stream's start until its caller may still resume it, in seconds."""
        return self._lifetime_s

    @property
    def is_loaded(self) -> bool:
        """Whether the table has been read from the store."""
        return self._stored_version is not None

    @property
    def is_outdated(self) -> bool:
        """Whether the table must be read: never read, or the store was restored since."""
        return self._stored_version is None or era_of(self._listed_revision) > era_of(
            self._stored_version
        )

    @property
    def stored(self) -> VersionTable:
        """The table as last read or written."""
        return self._stored

    def age_s(self, now: float) -> float:
        """Return the seconds since the table was last read or written."""
        return now - self._stored_at

    def note_stream_time(self, seconds: float) -> None:
        """Record a time that a caller may wait for a stream, its retries included."""
        self._lifetime_s = min(MAX_STREAM_LIFETIME_S, max(self._lifetime_s, seconds))

    def update_listed(self, upstreams: Iterable[UpstreamRecord], revision: int, now: float) -> None:
        """Replace the list of upstreams.

        Args:
            upstreams: All upstreams, those that drain included.
            revision: Version of the store that the list reflects.
            now: Monotonic time in seconds.
        """
        listed: dict[str, set[str]] = {}
        for upstream in upstreams:
            if upstream.stage is not Stage.NONE:
                listed.setdefault(upstream.service, set()).add(upstream.software)
        before = set(_pairs(self._listed))
        self._listed = {service: frozenset(versions) for service, versions in listed.items()}
        self._listed_revision = revision
        self._note_absent(before, now)

    def update_stored(self, table: VersionTable, version: int, now: float) -> None:
        """Replace the table by one read from the store or written there; an older one is ignored.

        Args:
            table: The software versions by service.
            version: Version of the store's object, of the store itself if there is no object.
            now: Monotonic time in seconds.
        """
        if self._stored_version is not None and version < self._stored_version:
            return
        if era_of(version) > era_of(self._stored_version or 0):
            self._settled_at = now + RESTORE_SETTLING_S
        self._stored = table
        self._stored_version = version
        self._stored_at = now
        self._note_absent(_pairs(table), now)

    def is_confirmed(self, service: str, software: str) -> bool:
        """Return whether every entry can know that streams may begin at a version."""
        return software in self._stored.get(service, frozenset())

    def possible(self, service: str, now: float) -> frozenset[str]:
        """Return the versions that may have begun a stream which can still go on."""
        recent = (
            pair.software
            for pair, since in self._absent_since.items()
            if pair.service == service and now < since + self._lifetime_s
        )
        known = self._stored.get(service, frozenset()) | self._listed.get(service, frozenset())
        return known.union(recent)

    def only_version(self, service: str, now: float) -> str | None:
        """Return the version that alone can have begun streams, or ``None`` if it is not known."""
        possible = self.possible(service, now)
        if len(possible) != 1 or self.settles_in_s(now):
            return None
        return next(iter(possible))

    def settles_in_s(self, now: float) -> float:
        """Return the seconds until a restored table counts as complete, 0 if it does."""
        return max(0.0, self._settled_at - now)

    def mixed_services(self, now: float) -> frozenset[str]:
        """Return the services of which several versions may have begun streams that go on."""
        services = {*self._listed, *self._stored}
        return frozenset(service for service in services if len(self.possible(service, now)) > 1)

    def wanted(self, now: float) -> VersionTable:
        """Return the table as it should be in the store."""
        listed = set(_pairs(self._listed))
        gone = {
            pair
            for pair in _pairs(self._stored)
            if pair not in listed and now >= self._absent_since[pair] + self._lifetime_s
        }
        table: dict[str, set[str]] = {}
        for service, software in {*listed, *_pairs(self._stored)} - gone:
            table.setdefault(service, set()).add(software)
        return {service: frozenset(versions) for service, versions in table.items()}

    def needs_write(self, now: float) -> bool:
        """Return whether the table in the store has to change."""
        return self.wanted(now) != self._stored

    def next_removal_at(self) -> float | None:
        """Return when a version is to be removed from the table next, or ``None``."""
        stored = set(_pairs(self._stored))
        absent = (since for pair, since in self._absent_since.items() if pair in stored)
        first = min(absent, default=None)
        return None if first is None else first + self._lifetime_s

    def _note_absent(self, known: Iterable[_ServiceVersion], now: float) -> None:
        listed = set(_pairs(self._listed))
        stored = set(_pairs(self._stored))
        absent = {**dict.fromkeys(known, now), **self._absent_since}
        self._absent_since = {
            pair: since
            for pair, since in absent.items()
            if pair not in listed and (pair in stored or now < since + self._lifetime_s)
        }


def _pairs(table: VersionTable) -> Iterator[_ServiceVersion]:
    return (
        _ServiceVersion(service, software)
        for service, versions in table.items()
        for software in versions
    )
