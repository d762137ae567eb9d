"""The soak has to report a key that reaches an upstream, and a wrong organisation."""

import pytest

from chivehold.fakes.identity import api_key
from tests.soak.upstreams import WorkLog

ORGANISATION_HEADER = "x-chivehold-tenant"


class TestIdentity:
    @pytest.mark.parametrize(
        ("headers", "is_sound"),
        [
            ({ORGANISATION_HEADER: "acme"}, True),
            ({ORGANISATION_HEADER: "bolt"}, False),
            ({}, False),
            ({ORGANISATION_HEADER: "acme", "x-api-key": api_key("acme")}, False),
            ({ORGANISATION_HEADER: "acme", "x-other": f"k={api_key('acme')}"}, False),
        ],
    )
    def test_of_a_known_caller(self, headers: dict[str, str], is_sound: bool) -> None:
        """Guards against a soak that overlooks what its upstreams received."""
        work_log = WorkLog()
        work_log.organisations["r1"] = "acme"
        work_log.check_identity("plain-1#1", "r1", headers)
        assert (not work_log.violations) is is_sound

    @pytest.mark.parametrize("headers", [{}, {ORGANISATION_HEADER: "acme"}])
    def test_of_an_unknown_caller(self, headers: dict[str, str]) -> None:
        """Guards against a soak that overlooks a request which must not have run."""
        work_log = WorkLog()
        work_log.organisations["r1"] = None
        work_log.check_identity("plain-1#1", "r1", headers)
        assert [violation.promise for violation in work_log.violations] == ["identity"]
