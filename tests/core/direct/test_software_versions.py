"""Which software versions may have begun streams that go on."""

from chivehold.core.direct.messages import Stage
from chivehold.core.direct.software_versions import (
    MAX_STREAM_LIFETIME_S,
    MIN_STREAM_LIFETIME_S,
    RESTORE_SETTLING_S,
    SoftwareVersions,
)
from chivehold.core.store_version import store_version
from tests.core.direct.factories import upstream

V1, V2 = frozenset({"v1"}), frozenset({"v2"})
BOTH = V1 | V2


def engine(software: str, stage: Stage = Stage.DECODE) -> object:
    return upstream(f"e-{software}", stage, software=software)


def tracker(stored: frozenset[str], listed: frozenset[str], now: float = 0.0) -> SoftwareVersions:
    versions = SoftwareVersions(now)
    versions.update_stored({"s": stored}, 1, now)
    versions.update_listed([engine(software) for software in listed], 1, now)  # type: ignore[misc]
    return versions


class TestPossible:
    def test_one_version_stored_and_listed(self) -> None:
        """While a service has one version, it alone can have begun a stream."""
        assert tracker(V1, V1).only_version("s", 0.0) == "v1"

    # Guards against a stream joined by an entry that has never seen the version that began it.
    def test_stored_version_that_is_not_listed(self) -> None:
        """A version that left before the entry's start may have begun streams."""
        versions = tracker(V1, V2)
        assert versions.only_version("s", 0.0) is None
        assert versions.possible("s", 0.0) == BOTH

    def test_version_that_has_left_counts_for_a_stream_lifetime(self) -> None:
        """Streams of a version that has left end within their lifetime."""
        versions = tracker(BOTH, BOTH)
        versions.update_listed([engine("v2")], 2, 10.0)  # type: ignore[list-item]
        assert versions.wanted(10.0 + MIN_STREAM_LIFETIME_S - 0.1) == {"s": BOTH}
        gone_at = 10.0 + MIN_STREAM_LIFETIME_S
        assert versions.next_removal_at() == gone_at
        assert versions.wanted(gone_at) == {"s": V2}
        versions.update_stored({"s": V2}, 2, gone_at)
        assert versions.only_version("s", gone_at) == "v2"

    def test_version_that_comes_back_stays(self) -> None:
        """After a rollback the older version is listed again and stays in the table."""
        versions = tracker(BOTH, V2)
        versions.update_listed([engine("v1"), engine("v2")], 2, 5.0)  # type: ignore[list-item]
        assert versions.next_removal_at() is None
        assert versions.wanted(5.0 + 2 * MIN_STREAM_LIFETIME_S) == {"s": BOTH}

    def test_plain_upstreams_have_no_streams(self) -> None:
        """Versions of plain services are not tracked."""
        versions = SoftwareVersions(0.0)
        versions.update_listed([engine("v1", Stage.NONE)], 1, 0.0)  # type: ignore[list-item]
        assert versions.wanted(0.0) == {}

    def test_lifetime_follows_callers_within_bounds(self) -> None:
        """Streams last as long as callers wait, but no caller can keep a version for ever."""
        versions = SoftwareVersions(0.0)
        versions.note_stream_time(30.0)
        assert versions.stream_lifetime_s == 30.0
        versions.note_stream_time(1e9)
        assert versions.stream_lifetime_s == MAX_STREAM_LIFETIME_S


class TestStored:
    def test_new_version_is_not_confirmed_until_stored(self) -> None:
        """Other entries can know of a version once it is in the table."""
        versions = tracker(V1, BOTH)
        assert not versions.is_confirmed("s", "v2")
        assert versions.needs_write(0.0)
        versions.update_stored({"s": BOTH}, 2, 0.0)
        assert versions.is_confirmed("s", "v2")
        assert not versions.needs_write(0.0)

    def test_older_answer_is_ignored(self) -> None:
        """An answer that was overtaken by a newer one changes nothing."""
        versions = SoftwareVersions(0.0)
        versions.update_stored({"s": BOTH}, 5, 0.0)
        versions.update_stored({"s": V1}, 4, 0.0)
        assert versions.stored == {"s": BOTH}

    # Guards against a stream joined right after a restore has lost a version from the table.
    def test_restored_table_is_doubtful_at_first(self) -> None:
        """After a restore of the store the entries need time to write what it has lost."""
        versions = tracker(V1, V1)
        versions.update_listed([engine("v1")], store_version(1, 1), 1.0)  # type: ignore[list-item]
        assert versions.is_outdated
        versions.update_stored({"s": V1}, store_version(1, 1), 2.0)
        assert versions.only_version("s", 2.0) is None
        assert versions.only_version("s", 2.0 + RESTORE_SETTLING_S) == "v1"
