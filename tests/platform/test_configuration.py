"""The operator's configuration, in particular its organisations."""

import msgspec
import pytest
from returns.result import Failure

from chivehold.core.direct.organisations import Organisation, Quota, QuotaUnit, read_api_key
from chivehold.core.direct.routes import RouteIndex, RouteTable
from chivehold.platform.configuration import decode_configuration

ROUTE = {"name": "a", "host": "h", "pathPrefix": "/a/", "kind": "stream", "service": "s"}
ACME = {"name": "acme", "apiKeys": ["k1"]}


def encode(**fields: object) -> bytes:
    return msgspec.json.encode({"version": 1, "routes": [ROUTE], "services": []} | fields)


def decode(**fields: object) -> RouteTable:
    return decode_configuration("main", encode(**fields)).unwrap()


class TestOrganisations:
    def test_all_fields(self) -> None:
        """Guards against a field that is read under another name than the platform's."""
        limited = {
            "name": "bolt",
            "apiKeys": ["k2", "k3"],
            "priority": 1,
            "unit": "generate",
            "plainTokens": 60,
            "ratePerS": 1_000,
            "burst": 5_000,
        }
        table = decode(tenants=[ACME, limited, {"name": "none", "ratePerS": 3}])
        acme, bolt, none = table.organisations
        assert (acme.priority, acme.quota) == (None, None)
        assert (bolt.priority, bolt.quota) == (1, Quota(1_000, 5_000, QuotaUnit.TOKENS, 60))
        assert (none.key_digests, none.quota) == (frozenset(), Quota(3, 0, QuotaUnit.REQUESTS, 0))
        found = RouteIndex(table).identify(read_api_key([b"k3"]))
        assert isinstance(found, Organisation) and found.name == "bolt"

    @pytest.mark.parametrize("tenants", [None, []])
    def test_without_organisations(self, tenants: object) -> None:
        """Guards against deployments without organisations that suddenly require keys."""
        assert not decode(tenants=tenants).has_organisations
        assert not decode().has_organisations

    @pytest.mark.parametrize("item", [None, 3, [], "acme", {}, {"apiKeys": ["k1"]}])
    def test_item_that_is_no_organisation(self, item: object) -> None:
        """Guards against one bad item that makes the configuration of all others unusable."""
        table = decode(tenants=[item, ACME])
        assert [organisation.name for organisation in table.organisations] == ["acme"]
        assert len(table.organisation_faults) == 1
        assert decode(tenants=[item]).has_organisations

    @pytest.mark.parametrize("tenants", [{}, "acme", 3, True])
    def test_list_of_another_type(self, tenants: object) -> None:
        """Guards against a list that is taken for an empty one, so that nobody needs a key."""
        assert isinstance(decode_configuration("main", encode(tenants=tenants)), Failure)

    @pytest.mark.parametrize("number", [b"NaN", b"Infinity", b"1e999"])
    def test_what_is_no_json(self, number: bytes) -> None:
        """Guards against an exception; the last configuration stays in force."""
        spec = encode(tenants=[{**ACME, "ratePerS": 12345}]).replace(b"12345", number)
        assert isinstance(decode_configuration("main", spec), Failure)

    def test_no_key_in_the_description_of_an_error(self) -> None:
        """Guards against keys in the log line of a configuration that is ignored."""
        for tenants in ({"acme": "secret-1"}, ["secret-1", {"name": {"secret-1": 1}}]):
            spec = encode(tenants=tenants, routes="secret-1")
            assert "secret-1" not in decode_configuration("main", spec).failure()

    def test_anonymous_route(self) -> None:
        """Guards against anonymous routes that require a key, and other routes that do not."""
        open_route = ROUTE | {"pathPrefix": "/open/", "anonymous": True}
        table = decode(routes=[ROUTE, open_route, ROUTE | {"anonymous": None}], tenants=[ACME])
        assert [RouteIndex(table).needs_key(route) for route in table.routes] == [True, False, True]
