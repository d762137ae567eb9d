"""Which route and service a request gets."""

import pytest

from chivehold.core.direct.routes import (
    CallKind,
    RouteIndex,
    RouteTable,
    Split,
    choose_service,
)
from tests.core.direct.factories import route


def index(*prefixes: str) -> RouteIndex:
    return RouteIndex(RouteTable(1, tuple(route(one) for one in prefixes), {}, 1 << 20))


class TestFind:
    def test_longest_prefix_wins(self) -> None:
        """Whatever the order of the configuration."""
        for prefixes in (("/a/", "/a/b/", "/"), ("/", "/a/b/", "/a/")):
            routes = index(*prefixes)
            found = [routes.find("h.example", path) for path in ("/a/b/c", "/a/x", "/z")]
            assert [one and one.path_prefix for one in found] == ["/a/b/", "/a/", "/"]

    def test_prefix_ends_at_its_slash(self) -> None:
        """A path that only begins with the same letters is another path."""
        assert index("/a/").find("h.example", "/ab") is None
        assert index("/a/").find("h.example", "/a") is None

    def test_host_decides(self) -> None:
        """In any case, with or without a port."""
        routes = index("/a/")
        assert routes.find("H.Example:8080", "/a/")
        assert routes.find("other.example", "/a/") is None


class TestRepeatable:
    @pytest.mark.parametrize(
        ("kind", "resumable", "retryable"),
        [
            (CallKind.IDEMPOTENT, False, True),
            (CallKind.NON_IDEMPOTENT, True, False),
            (CallKind.STREAM, False, False),
            (CallKind.STREAM, True, True),
        ],
    )
    def test_follows_the_kind(self, kind: CallKind, resumable: bool, retryable: bool) -> None:
        """A stream may be repeated only if it may be resumed."""
        assert route("/", kind=kind, resumable=resumable).retryable is retryable


class TestSplit:
    def test_follows_the_weights(self) -> None:
        """And one request always goes the same way."""
        splits = (Split("a", 90), Split("b", 10), Split("none", 0))
        chosen = [choose_service(splits, f"request-{n}") for n in range(4_000)]
        assert 0.88 < chosen.count("a") / 4_000 < 0.92
        assert "none" not in chosen
        assert chosen[:50] == [choose_service(splits, f"request-{n}") for n in range(50)]
