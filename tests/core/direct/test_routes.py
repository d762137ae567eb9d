"""Choice of the route and service of a request."""

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
    return RouteIndex(RouteTable(1, tuple(route(prefix) for prefix in prefixes), {}, 1 << 20))


class TestFind:
    def test_longest_prefix_wins(self) -> None:
        """The longest matching prefix wins, whatever the order in the configuration."""
        for prefixes in (("/a/", "/a/b/", "/"), ("/", "/a/b/", "/a/")):
            routes = index(*prefixes)
            matches = [routes.find("h.example", path) for path in ("/a/b/c", "/a/x", "/z")]
            assert [match and match.path_prefix for match in matches] == ["/a/b/", "/a/", "/"]

    def test_prefix_matches_whole_segments(self) -> None:
        """A prefix only matches whole path segments."""
        assert index("/a/").find("h.example", "/ab") is None
        assert index("/a/").find("h.example", "/a") is None

    def test_host_is_compared(self) -> None:
        """The host is compared without regard to case and port."""
        routes = index("/a/")
        assert routes.find("H.Example:8080", "/a/")
        assert routes.find("other.example", "/a/") is None


class TestRetryable:
    @pytest.mark.parametrize(
        ("kind", "resumable", "retryable"),
        [
            (CallKind.IDEMPOTENT, False, True),
            (CallKind.NON_IDEMPOTENT, True, False),
            (CallKind.STREAM, False, False),
            (CallKind.STREAM, True, True),
        ],
    )
    def test_depends_on_the_kind(self, kind: CallKind, resumable: bool, retryable: bool) -> None:
        """Idempotent requests are retryable, and streams only if they are resumable."""
        assert route("/", kind=kind, resumable=resumable).retryable is retryable


class TestSplit:
    def test_splits_by_weight(self) -> None:
        """Requests are split by weight, and a request id always gets the same service."""
        splits = (Split("a", 90), Split("b", 10), Split("none", 0))
        chosen = [choose_service(splits, f"request-{n}") for n in range(4_000)]
        assert 0.88 < chosen.count("a") / 4_000 < 0.92
        assert "none" not in chosen
        assert chosen[:50] == [choose_service(splits, f"request-{n}") for n in range(50)]
