"""The records that upstreams write about themselves."""

from typing import Any

import msgspec
import pytest

from chivehold.platform.upstream_records import MAX_SOFTWARE_LENGTH, decode_upstream

RECORD = {
    "service": "model",
    "address": "10.1.64.9:8080",
    "zone": "a",
    "slots": 8,
    "state": "ready",
}


def software(**fields: Any) -> str:
    return decode_upstream("e1", msgspec.json.encode(RECORD | fields)).unwrap().software


class TestSoftware:
    @pytest.mark.parametrize(("written", "known"), [("v1.2", "v1.2"), ("", ""), (7, "7")])
    def test_version_is_read(self, written: Any, known: str) -> None:
        """The version of an upstream's software is part of its record."""
        assert software(version=written) == known

    def test_absent_version_is_a_version(self) -> None:
        """Upstreams that name no version share one."""
        assert software() == ""

    def test_long_versions_are_bounded_and_differ(self) -> None:
        """A long version is replaced by a short name, another one by another."""
        one, other = software(version="v" * 5_000 + "1"), software(version="v" * 5_000 + "2")
        assert one != other
        assert len(one) <= MAX_SOFTWARE_LENGTH
