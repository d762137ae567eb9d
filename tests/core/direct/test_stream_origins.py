"""What an entry remembers of the streams that it has begun."""

from chivehold.core.direct.stream_origins import (
    KEY_LENGTH,
    MAX_ORIGINS,
    OriginKey,
    StreamOrigin,
    StreamOrigins,
    origin_key,
)

V1, V2 = StreamOrigin("s", "v1"), StreamOrigin("s", "v2")
KEY = origin_key("h", b"/a/", "r1")


class TestKey:
    def test_has_a_fixed_length(self) -> None:
        """Stored keys follow one another without a separator."""
        assert len(KEY) == KEY_LENGTH

    def test_names_host_target_and_request(self) -> None:
        """The same id on another route or host is another stream; hosts differ by letters only."""
        others = {
            origin_key("other", b"/a/", "r1"),
            origin_key("h", b"/b/", "r1"),
            origin_key("h", b"/a/", "r2"),
        }
        assert KEY not in others
        assert len(others) == 3
        assert origin_key("H", b"/a/", "r1") == KEY


class TestOrigins:
    def test_is_forgotten_when_the_stream_cannot_go_on(self) -> None:
        """An origin is known until then."""
        origins = StreamOrigins()
        origins.record(KEY, V1, 10.0)
        assert origins.find(KEY, 9.9) == V1
        assert origins.find(KEY, 10.0) is None
        assert list(origins.of_services({"s"}, 10.0)) == []
        assert len(origins) == 0

    def test_later_attempt_replaces_one_without_events(self) -> None:
        """A request that was tried again before its first event begins at the second engine."""
        origins = StreamOrigins()
        origins.record(KEY, V1, 10.0)
        origins.record(KEY, V2, 10.0, before=V1)
        assert origins.find(KEY, 0.0) == V2

    # Guards against a stream joined because two requests had the same id.
    def test_two_streams_with_one_id_are_ambiguous(self) -> None:
        """If two requests have the same id, neither can be told from the other."""
        origins = StreamOrigins()
        origins.record(KEY, V1, 10.0)
        origins.record(KEY, V2, 10.0)
        assert origins.find(KEY, 0.0) is None
        assert list(origins.of_services({"s"}, 0.0)) == []

    def test_oldest_are_forgotten_first(self) -> None:
        """The number of streams is bounded."""
        origins = StreamOrigins()
        for number in range(MAX_ORIGINS + 1):
            origins.record(OriginKey(f"{number:0{KEY_LENGTH}}"), V1, 10.0)
        assert len(origins) == MAX_ORIGINS
        assert origins.find(OriginKey("0" * KEY_LENGTH), 0.0) is None
