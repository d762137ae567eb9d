"""Which organisation a caller belongs to, and what is made of a faulty list of organisations."""

import pytest

from chivehold.core.direct.crash_keys import request_key
from chivehold.core.direct.organisation_list import (
    MAX_NAME_BYTES,
    DeclaredOrganisation,
    OrganisationFault,
    check_organisations,
)
from chivehold.core.direct.organisations import (
    MAX_KEY_BYTES,
    KeyFault,
    Organisation,
    Quota,
    QuotaUnit,
    read_api_key,
)
from chivehold.core.direct.routes import RouteIndex, RouteTable
from chivehold.core.direct.stream_origins import origin_key
from tests.core.direct.factories import route

ACME = DeclaredOrganisation("acme", ["key-a1", "key-a2"])
BOLT = DeclaredOrganisation("bolt", ["key-b"])


def index(*declared: DeclaredOrganisation) -> RouteIndex:
    routes = (route("/keyed/"), route("/open/", anonymous=True))
    return RouteIndex(RouteTable(1, routes, {}, 1 << 20, *check_organisations(declared)))


def identify(routes: RouteIndex, *keys: bytes) -> str:
    """Return the name of the organisation with these keys in a request, or the fault."""
    found = routes.identify(read_api_key(keys))
    return found.name if isinstance(found, Organisation) else found


class TestIdentify:
    def test_each_key_belongs_to_its_organisation(self) -> None:
        """Guards against a key that identifies another organisation or none."""
        routes = index(ACME, BOLT)
        found = [identify(routes, key) for key in (b"key-a1", b"key-a2", b"key-b")]
        assert found == ["acme", "acme", "bolt"]

    @pytest.mark.parametrize(
        ("keys", "fault"),
        [
            ((), KeyFault.MISSING),
            ((b"key-b", b"key-b"), KeyFault.REPEATED),
            ((b"",), KeyFault.UNUSABLE),
            ((b"k" * (MAX_KEY_BYTES + 1),), KeyFault.UNUSABLE),
            ((b"k" * MAX_KEY_BYTES,), KeyFault.UNKNOWN),
            ((b"key-",), KeyFault.UNKNOWN),
            ((b"KEY-B",), KeyFault.UNKNOWN),
            ((b"\xff\xfe",), KeyFault.UNKNOWN),
        ],
    )
    def test_faults(self, keys: tuple[bytes, ...], fault: KeyFault) -> None:
        """Guards against a request that is accepted with no single known key."""
        assert identify(index(ACME, BOLT), *keys) == fault

    def test_no_key_in_a_fault_or_a_representation(self) -> None:
        """Guards against keys that reach a log or a dump through an object's text."""
        declared = DeclaredOrganisation("acme", ["secret-1", 7, "secret-1" * 100], rate="secret-1")
        table = RouteTable(1, (), {}, 1, *check_organisations([declared, declared]))
        assert table.organisation_faults
        assert "secret-1" not in repr(table)


class TestKeyNeeded:
    def test_only_with_organisations_and_not_on_anonymous_routes(self) -> None:
        """Guards against deployments without organisations that suddenly require keys."""
        keyed, open_route = index().table.routes
        assert not index().needs_key(keyed)
        assert index(ACME).needs_key(keyed)
        assert not index(ACME).needs_key(open_route)

    @pytest.mark.parametrize(
        "declared", [DeclaredOrganisation("acme", []), DeclaredOrganisation(None, ["k"])]
    )
    def test_without_any_usable_key(self, declared: DeclaredOrganisation) -> None:
        """Guards against an entry that serves everyone once the last key is gone or unusable."""
        routes = index(declared)
        assert routes.needs_key(routes.table.routes[0])
        assert identify(routes, b"k") == KeyFault.UNKNOWN


class TestList:
    def test_all_fields(self) -> None:
        """Guards against a quota or priority that gets lost."""
        declared = ACME._replace(
            priority=0, rate=2.5, burst=10, default_tokens=40.0, unit=QuotaUnit.TOKENS
        )
        (organisation,), faults = check_organisations([declared])
        assert (organisation.name, organisation.priority) == ("acme", 0)
        assert organisation.quota == Quota(2.5, 10.0, QuotaUnit.TOKENS, 40)
        assert len(organisation.key_digests) == 2
        assert not faults

    @pytest.mark.parametrize(
        "change",
        [
            {"keys": ["key-b", 7]},
            {"keys": ["key-b", None]},
            {"keys": ["key-b", ""]},
            {"keys": ["key-b", "k" * (MAX_KEY_BYTES + 1)]},
            {"priority": "first"},
            {"priority": -1},
            {"priority": 0.5},
            {"priority": True},
            {"rate": -5.0},
            {"rate": float("nan")},
            {"rate": float("inf")},
            {"rate": 10**400},
            {"rate": True},
            {"burst": [1]},
            {"default_tokens": "many"},
        ],
        ids=str,
    )
    def test_unusable_field_is_absent(self, change: dict[str, object]) -> None:
        """Guards against one bad field that stops the callers of all organisations."""
        (acme, bolt), faults = check_organisations([ACME, BOLT._replace(**change)])
        assert (acme.name, bolt.name) == ("acme", "bolt")
        assert (bolt.priority, bolt.quota, len(bolt.key_digests)) == (None, None, 1)
        assert [fault.organisation for fault in faults] == ["bolt"]

    def test_text_in_place_of_the_list_of_keys(self) -> None:
        """Guards against each character of a text being taken for a key."""
        organisations, faults = check_organisations([BOLT._replace(keys="key-b")])
        assert not organisations[0].key_digests
        assert faults == (OrganisationFault("bolt", "its keys are no list"),)

    @pytest.mark.parametrize(
        "name",
        [None, 3, "", " acme", "acme ", "a\r\nx-admin: 1", "a\tb", "a\x00", "a\x7f", "a\x85b"]
        + ["é" * MAX_NAME_BYTES],
        ids=repr,
    )
    def test_name_unfit_for_a_header(self, name: object) -> None:
        """Guards against names that inject a header or make every call to an upstream fail."""
        organisations, faults = check_organisations([ACME._replace(name=name), BOLT])
        assert [organisation.name for organisation in organisations] == ["bolt"]
        assert faults == (OrganisationFault("#0", "its name is unusable"),)

    def test_name_that_is_not_ascii(self) -> None:
        """Guards against organisations being left out because of letters with accents."""
        organisations, faults = check_organisations([ACME._replace(name="Société 株")])
        assert [organisation.name for organisation in organisations] == ["Société 株"]
        assert not faults

    def test_name_twice(self) -> None:
        """Guards against callers that are refused, and two quotas under one name."""
        again = ACME._replace(keys=["key-a3"], priority=2, rate=1.0)
        (acme,), faults = check_organisations([ACME, again])
        assert (len(acme.key_digests), acme.priority, acme.quota) == (3, None, None)
        assert faults == (OrganisationFault("acme", "its name is repeated"),)

    def test_key_of_two_organisations(self) -> None:
        """Guards against entries that attribute one key to different organisations."""
        for declared in ([BOLT, ACME], [ACME, BOLT]):
            shared = [item._replace(keys=["shared"]) for item in declared]
            assert identify(index(*shared), b"shared") == declared[0].name
            faults = index(*shared).table.organisation_faults
            assert [fault.organisation for fault in faults] == [declared[1].name]

    def test_key_twice_in_one_organisation(self) -> None:
        """A key that is listed twice is no fault."""
        (bolt,), faults = check_organisations([BOLT._replace(keys=["key-b", "key-b"])])
        assert len(bolt.key_digests) == 1
        assert not faults


class TestIdentityOfContent:
    def test_streams_of_two_organisations_differ(self) -> None:
        """Guards against a stream that goes on at the version of another's stream with its id."""
        keys = {origin_key("h", b"/a", "r1", name) for name in ("", "acme", "bolt")}
        assert len(keys) == 3

    def test_requests_of_two_organisations_differ(self) -> None:
        """Guards against one organisation's crashing request that quarantines another's."""
        keys = {request_key(b"h", b"/a", [], b"x", name) for name in ("", "acme", "bolt")}
        assert len(keys) == 3
