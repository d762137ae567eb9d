"""Headers and engine calls in the platform's format."""

import msgspec
import pytest

from chivehold.core.direct.messages import (
    EngineReport,
    ForwardingOptions,
    KvSource,
    ReportedLoad,
    ResponseMetadata,
    Stage,
    StageOrder,
    UpstreamSignals,
)
from chivehold.core.direct.organisations import ApiKey, KeyFault, digest_key
from chivehold.platform.dialect import PlatformDialect
from tests.core.direct.factories import upstream

DIALECT = PlatformDialect()
REQUEST = [
    (b"host", b"ficu95.example"),
    (b"x-chivehold-request-id", b"9c41d07be2a35f68"),
    (b"x-chivehold-token-count", b"1460,80"),
    (b"x-chivehold-length-hint", b"70"),
    (b"x-chivehold-deadline-ms", b"14000"),
    (b"last-event-id", b"3"),
]
DEPTH = 1_500
"""More levels than the decoder of JSON goes down."""


def nested(field: str) -> bytes:
    return b'{"%s": ' % field.encode() + b"[" * DEPTH + b"]" * DEPTH + b"}"


class TestRequest:
    def test_headers_are_parsed(self) -> None:
        """Each header is parsed into its field."""
        metadata = DIALECT.read_request(REQUEST)
        assert (metadata.request_id, metadata.deadline_s) == ("9c41d07be2a35f68", 14.0)
        assert (
            metadata.prompt_tokens,
            metadata.max_output_tokens,
            metadata.output_tokens_hint,
        ) == (
            1_460,
            80,
            70,
        )
        assert metadata.last_event == "3"

    def test_resumed_request_is_read(self) -> None:
        """A caller that resumes a stream names the request that brought its first event."""
        metadata = DIALECT.read_request([*REQUEST, (b"resumes", b"51c07be2a35f6890")])
        assert metadata.resumes == "51c07be2a35f6890"

    @pytest.mark.parametrize("text", [b"", b"x" * 10_000])
    def test_no_request_can_have_such_an_id(self, text: bytes) -> None:
        """Without a usable id it is not known which stream the caller resumes."""
        assert DIALECT.read_request([*REQUEST, (b"resumes", text)]).resumes is None

    @pytest.mark.parametrize("text", [b"soon", b"-5", b"nan", b"inf", b"1e400", b""])
    def test_unreadable_numbers_are_absent(self, text: bytes) -> None:
        """A deadline that is not a number in range is treated as absent."""
        assert DIALECT.read_request([(b"x-chivehold-deadline-ms", text)]).deadline_s is None

    def test_first_of_duplicated_headers_is_used(self) -> None:
        """If a caller sends two request ids, the first is used."""
        duplicated = [(b"x-chivehold-request-id", b"a"), (b"x-chivehold-request-id", b"b")]
        assert DIALECT.read_request(duplicated).request_id == "a"


class TestApiKey:
    KEY = (b"x-api-key", b"secret-1")

    @pytest.mark.parametrize(
        ("headers", "expected"),
        [
            ([], KeyFault.MISSING),
            ([KEY, KEY], KeyFault.REPEATED),
            ([KEY, (b"x-api-key", b"")], KeyFault.REPEATED),
            ([(b"x-api-key", b"")], KeyFault.UNUSABLE),
            ([(b"x-api-key", b"k" * 10_000)], KeyFault.UNUSABLE),
            ([KEY], digest_key(b"secret-1")),
        ],
    )
    def test_is_read(self, headers: list[tuple[bytes, bytes]], expected: ApiKey) -> None:
        """Guards against a caller that is identified by one of several keys."""
        assert DIALECT.read_request([*REQUEST, *headers]).api_key == expected

    def test_organisation_replaces_it(self) -> None:
        """Guards against a key at an upstream, and an organisation that the caller names itself."""
        forged = [
            self.KEY,
            (b"x-chivehold-tenant", b"other"),
            (b"x_chivehold_tenant", b"other"),
            (b"x_api_key", b"secret-1"),
            (b"x-chivehold-tenant", b""),
            (b"connection", b"x-chivehold-tenant, x-api-key"),
        ]
        headers = DIALECT.identified_headers([*forged, *REQUEST], "Société")
        sent = DIALECT.forwarded_headers(headers, upstream("i-1"), ForwardingOptions(1.0))
        named = [value for name, value in sent if name.replace(b"_", b"-") == b"x-chivehold-tenant"]
        assert named == ["Société".encode()]
        assert not [name for name, value in sent if b"secret-1" in value]
        assert set(REQUEST) - set(sent) == {(b"x-chivehold-deadline-ms", b"14000")}

    def test_anonymous_caller_names_no_organisation(self) -> None:
        """Guards against a caller without a key that claims to belong to an organisation."""
        headers = DIALECT.identified_headers([(b"x-chivehold-tenant", b"other"), *REQUEST], None)
        assert list(headers) == REQUEST


class TestForwarded:
    def test_headers_added_by_the_entry(self) -> None:
        """The entry adds deadline, expected upstream, KV source, reservation and last event."""
        forwarding = ForwardingOptions(1.5, False, KvSource("10.1.64.9:8080", "3fa0"), "h1", "7")
        headers = dict(DIALECT.forwarded_headers(REQUEST, upstream("i-1"), forwarding))
        assert headers[b"x-chivehold-deadline-ms"] == b"1500"
        assert headers[b"x-chivehold-expect-instance"] == b"i-1"
        assert headers[b"x-chivehold-kv-from"] == b"10.1.64.9:8080/3fa0"
        assert headers[b"x-chivehold-hold"] == b"h1"
        assert headers[b"last-event-id"] == b"7"
        assert b"x-chivehold-stage" not in headers

    # Guards against an id that the engine does not know, as its bytes were changed on the way.
    def test_event_id_keeps_its_bytes(self) -> None:
        """The id after which a stream is resumed has the bytes that the caller or engine sent."""
        sent = [(b"x-chivehold-request-id", b"r"), (b"last-event-id", b"caf\xe9")]
        last_event = DIALECT.read_request(sent).last_event
        forwarding = ForwardingOptions(1.5, last_event=last_event)
        headers = dict(DIALECT.forwarded_headers(sent, upstream("i-1"), forwarding))
        assert headers[b"last-event-id"] == b"caf\xe9"

    def test_no_header_twice(self) -> None:
        """Headers set by the entry replace those of the caller."""
        headers = DIALECT.forwarded_headers(REQUEST, upstream("i-1"), ForwardingOptions(1.0, True))
        names = [name for name, _ in headers]
        assert len(names) == len(set(names))
        assert dict(headers)[b"x-chivehold-stage"] == b"prefill"

    def test_connection_header_cannot_remove_end_to_end_headers(self) -> None:
        """Headers named by a connection header are dropped, except end-to-end ones."""
        headers_with_connection = [
            *REQUEST,
            (b"connection", b"X-Chivehold-Request-Id, Host, X-Mine"),
            (b"x-mine", b"1"),
        ]
        headers = dict(
            DIALECT.forwarded_headers(
                headers_with_connection, upstream("i-1"), ForwardingOptions(1.0)
            )
        )
        assert headers[b"x-chivehold-request-id"] == b"9c41d07be2a35f68"
        assert headers[b"host"] == b"ficu95.example"
        assert b"x-mine" not in headers
        assert b"connection" not in headers


class TestResponse:
    @pytest.mark.parametrize(
        ("status", "headers", "expected"),
        [
            (200, {b"x-chivehold-server-stamp": b"s"}, (True, False, False)),
            (503, {b"x-chivehold-not-run": b"1"}, (False, True, False)),
            (503, {}, (False, False, False)),
            (421, {}, (False, True, True)),
            (200, {b"x-chivehold-not-run": b"1"}, (False, False, False)),
        ],
    )
    def test_kinds(
        self, status: int, headers: dict[bytes, bytes], expected: tuple[bool, bool, bool]
    ) -> None:
        """A response may be signed, not run or misdirected; a success is never not run."""
        metadata = DIALECT.read_response(status, list(headers.items()))
        assert (metadata.signed, metadata.not_run, metadata.misdirected) == expected

    def test_request_id(self) -> None:
        """The request that a response belongs to is identified by its id, if present."""
        headers = [(b"x-chivehold-request-id", b"r1"), (b"content-encoding", b"gzip")]
        assert DIALECT.read_response(200, headers) == ResponseMetadata(
            "r1", False, False, False, True
        )
        assert DIALECT.read_response(200, []).request_id is None

    def test_hop_by_hop_headers_are_dropped(self) -> None:
        """Hop-by-hop headers are not returned to the caller."""
        headers = [
            (b"x-chivehold-server-stamp", b"s"),
            (b"transfer-encoding", b"chunked"),
            (b"keep-alive", b"timeout=5"),
            (b"connection", b"keep-alive"),
            (b"content-length", b"3"),
        ]
        assert DIALECT.response_headers(headers) == [(b"x-chivehold-server-stamp", b"s")]


class TestEngineCalls:
    def test_reservation(self) -> None:
        """Tokens and time are sent in the wire's units; a malformed response is no reservation."""
        call = DIALECT.hold_call(1_540, 2.0)
        assert (call.method, call.path) == ("POST", "/v1/hold-take")
        assert msgspec.json.decode(call.body) == {"tokens": 1_540, "ttlMs": 2_000}
        assert DIALECT.read_hold(b'{"hold":"h-7"}') == "h-7"
        for body in (b"", b"[]", b'{"hold":null}', b"\xff", nested("hold")):
            assert DIALECT.read_hold(body) is None

    # Guards against identifiers that no header or path can hold, as a spoilt answer contains them.
    @pytest.mark.parametrize("text", ["", "3f\u00e99", "a b", "a\r\nx: y", "\0", "\ud7ff"])
    def test_identifier_that_cannot_be_sent(self, text: str) -> None:
        """A reservation or handle with other than visible ASCII characters is not used."""
        assert DIALECT.read_hold(msgspec.json.encode({"hold": text})) is None
        assert DIALECT.read_kv_handle(msgspec.json.encode({"kvRef": text})) is None

    def test_identifier_in_a_path(self) -> None:
        """Characters with a meaning in paths stay part of the identifier."""
        assert DIALECT.read_kv_handle(b'{"kvRef":"a/b?c%"}') == "a/b?c%"
        assert DIALECT.free_kv_cache_call("a/b?c%").path == "/v1/kv-handle/a%2Fb%3Fc%25"
        assert DIALECT.release_hold_call("a/b").path == "/v1/hold-drop/a%2Fb"

    def test_order(self) -> None:
        """An order contains stage, holder, fencing number and the expected number of orders."""
        order = StageOrder(Stage.PREFILL, "node-7", 41, 2)
        assert msgspec.json.decode(DIALECT.stage_order_call(order).body) == {
            "opType": "stage",
            "stage": "prefill",
            "holder": "node-7",
            "fenceToken": 41,
            "expect": 2,
        }

    def test_report(self) -> None:
        """The engine's fields are converted to the product's."""
        body = (
            b'{"stage":"decode","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,'
            b'"seq":2,"queued":1,"running":12,"kvUsed":41000,"kvTotal":90000,"handles":0}'
        )
        expected = EngineReport(Stage.DECODE, False, 2, 12, 1, 41_000, 90_000)
        assert DIALECT.read_report(body) == expected
        assert DIALECT.read_report(b"{}") is None
        assert DIALECT.read_report(nested("busy")) is None


class TestSignals:
    def test_all_are_parsed(self) -> None:
        """Each header of an upstream in trouble is parsed into its field."""
        headers = [
            (b"x-chivehold-request-id", b"r"),
            (b"server-leaving", b"1"),
            (b"retry-after", b"2.5"),
            (b"server-limit", b"0.5"),
        ]
        signals = UpstreamSignals(leaving=True, pause_s=2.5, max_rate=0.5)
        assert DIALECT.read_signals(503, headers) == signals

    @pytest.mark.parametrize(
        ("text", "load"),
        [(b"3,1,6", ReportedLoad(3, 1, 6)), (b" 3, 1,6 ,250", ReportedLoad(3, 1, 6, 2.5))],
    )
    def test_load_is_parsed(self, text: bytes, load: ReportedLoad) -> None:
        """A load has three figures, or four with the present slowness in percent."""
        signals = DIALECT.read_signals(200, [(b"x-chivehold-server-load", text)])
        assert signals is not None and signals.load == load and not signals.load_unreadable

    @pytest.mark.parametrize(
        "text",
        [b"", b",,", b"3", b"3,1", b"3,1,6,100,1", b"-3,1,6", b"3,1,6,-1", b"3,1,6,0", b"3,1,0"]
        + [
            b"3,1,6,1e3",
            b"3,1.5,6",
            b"nan,1,6",
            b"9999999,1,6",
            b"3,1,\xff",
            b"3 1 6",
            b"9" * 9_000,
            b"700,1,6",
            b"3,1,6,2100",
        ],
    )
    def test_senseless_load_is_ignored(self, text: bytes) -> None:
        """A load that cannot be one, of whatever kind, is counted and is no error."""
        signals = DIALECT.read_signals(200, [(b"x-chivehold-server-load", text)])
        assert signals is not None and signals.load is None and signals.load_unreadable

    def test_response_of_another_upstream_says_nothing(self) -> None:
        """A misdirected request brings the words of whoever has the address now."""
        assert DIALECT.read_signals(421, [(b"server-leaving", b"1")]) is None

    def test_only_a_refusal_asks_for_a_pause(self) -> None:
        """The same header in other responses is meant for the caller."""
        signals = DIALECT.read_signals(500, [(b"retry-after", b"2")])
        assert signals is not None and signals.pause_s is None

    @pytest.mark.parametrize("text", [b"0", b"-1", b"many", b"nan"])
    def test_senseless_limits_are_absent(self, text: bytes) -> None:
        """A limit that is not a number above 0 is none."""
        signals = DIALECT.read_signals(200, [(b"server-limit", text)])
        assert signals is not None and signals.max_rate is None

    def test_only_responses_to_requests_end_a_limit(self) -> None:
        """Responses of the control interface need not name it."""
        signals = DIALECT.read_signals(200, [])
        assert signals is not None and not signals.ends_limit
        signals = DIALECT.read_signals(200, [(b"x-chivehold-request-id", b"r")])
        assert signals is not None and signals.ends_limit
