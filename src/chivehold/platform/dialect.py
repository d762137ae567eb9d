"""Headers and engine calls in the format of the platform's callers and upstreams."""

import logging
from collections.abc import Iterator
from typing import TypedDict
from urllib.parse import quote

import msgspec

from chivehold.connection_headers import hop_by_hop_headers
from chivehold.core.direct.messages import (
    EngineCall,
    EngineReport,
    ForwardingOptions,
    RawHeaders,
    ReportedLoad,
    RequestMetadata,
    ResponseMetadata,
    Stage,
    StageOrder,
    UpstreamRecord,
    UpstreamSignals,
)
from chivehold.core.direct.organisations import read_api_key
from chivehold.core.untrusted_json import decode_json
from chivehold.header_values import is_visible_ascii, joined_values, parse_counts, parse_number
from chivehold.logs import log_event

_log = logging.getLogger(__name__)

REQUEST_ID = b"x-chivehold-request-id"
DEADLINE_MS = b"x-chivehold-deadline-ms"
TOKEN_COUNT = b"x-chivehold-token-count"
"""Prompt tokens and maximum output tokens, separated by a comma."""
LENGTH_HINT = b"x-chivehold-length-hint"
PROMPT_PARTS = b"x-chivehold-prompt-prefix"
"""The parts of the whole prompt, as ``id:tokens`` separated by commas."""
EXPECTED_UPSTREAM = b"x-chivehold-expect-instance"
STAGE = b"x-chivehold-stage"
KV_SOURCE = b"x-chivehold-kv-from"
HOLD = b"x-chivehold-hold"
URGENCY = b"x-chivehold-request-urgency"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
"""Id of the request that brought the first event of a stream that its caller resumes."""
API_KEY = b"x-api-key"
ORGANISATION = b"x-chivehold-tenant"
"""Name of the organisation that holds the caller's API key; set by the system only."""
IDENTITY_HEADERS = frozenset((API_KEY, ORGANISATION))
MAX_REQUEST_ID_LENGTH = 256
"""Longest id that can name a request."""
SIGNATURE = b"x-chivehold-server-stamp"
NOT_RUN = b"x-chivehold-not-run"
SERVER_LEAVING = b"server-leaving"
"""``1`` in all responses of an upstream that leaves."""
RETRY_AFTER = b"retry-after"
"""Seconds for which an upstream that refuses a request wants none from this entry."""
SERVER_LIMIT = b"server-limit"
"""Requests a second that an upstream in need takes from all entries together."""
SERVER_LOAD = b"x-chivehold-server-load"
"""Requests running and waiting, slots, and optionally the present slowness in percent."""
CONTENT_ENCODING = b"content-encoding"
PLATFORM_PREFIX = b"x-chivehold-"
MISDIRECTED_STATUS = 421
PUSH_BACK_STATUS = 503
UNREADABLE_PAUSE_S = 1.0
NOT_RUN_STATUSES = frozenset((400, 421, 429, 503))

SYSTEM_HEADERS = frozenset(
    (
        EXPECTED_UPSTREAM,
        STAGE,
        KV_SOURCE,
        HOLD,
        DEADLINE_MS,
        b"x-chivehold-kv-backup",
        b"x-chivehold-pin-ms",
        URGENCY,
        b"x-chivehold-expect-version",
        b"kv-fetch",
        b"x-chivehold-kv-fetch",
    )
)
"""Request headers that only the system may set; they are dropped from a caller's request."""
_STAGES = {"prefill": Stage.PREFILL, "decode": Stage.DECODE}


class _ReportJson(TypedDict):
    stage: str
    busy: bool
    """Whether an order is being carried out."""
    seq: int
    """Number of orders accepted since the engine started."""
    running: int
    queued: int
    kvUsed: int
    """KV cache memory that cannot be evicted, in tokens."""
    kvTotal: int


class PlatformDialect:
    """Parses and writes the platform's headers and engine calls; implements ``Dialect``."""

    def read_request(self, headers: RawHeaders) -> RequestMetadata:
        """Parse a caller's headers; values that cannot be parsed are treated as absent."""
        headers_by_name = dict(reversed(headers))
        deadline_ms = parse_number(headers_by_name.get(DEADLINE_MS))
        counts = [parse_number(part) for part in headers_by_name.get(TOKEN_COUNT, b"").split(b",")]
        hint = parse_number(headers_by_name.get(LENGTH_HINT))
        last_event = headers_by_name.get(LAST_EVENT_ID)
        return RequestMetadata(
            request_id=headers_by_name.get(REQUEST_ID, b"").decode("latin-1"),
            deadline_s=None if deadline_ms is None else deadline_ms / 1_000,
            prompt_tokens=int(counts[0] or 0),
            max_output_tokens=int(counts[1] or 0) if len(counts) > 1 else 0,
            output_tokens_hint=None if hint is None else int(hint),
            last_event=None if last_event is None else last_event.decode("latin-1"),
            resumes=_parse_request_id(headers_by_name.get(RESUMES, b"")),
            prompt_parts=_parse_prompt_parts(headers_by_name.get(PROMPT_PARTS, b"")),
            api_key=read_api_key([value for name, value in headers if name == API_KEY]),
        )

    def identified_headers(self, headers: RawHeaders, organisation: str | None) -> RawHeaders:
        """Return a caller's headers with its organisation in place of its API key."""
        # Some upstreams do not tell an underscore in a header's name from a hyphen.
        replaced = {name for name, _ in headers if name.replace(b"_", b"-") in IDENTITY_HEADERS}
        kept = [header for header in headers if header[0] not in replaced]
        if organisation is not None:
            kept.append((ORGANISATION, organisation.encode()))
        return kept

    def forwarded_headers(
        self, headers: RawHeaders, upstream: UpstreamRecord, forwarding: ForwardingOptions
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers to send to an upstream, without ``content-length``."""
        return [*_forwardable_headers(headers, forwarding), *_entry_headers(upstream, forwarding)]

    def read_response(self, status: int, headers: RawHeaders) -> ResponseMetadata:
        """Parse the status and headers of an upstream's response."""
        headers_by_name = dict(headers)
        request = joined_values(headers, REQUEST_ID)
        return ResponseMetadata(
            request_id=None if request is None else request.decode("latin-1"),
            signed=SIGNATURE in headers_by_name,
            not_run=(NOT_RUN in headers_by_name and status in NOT_RUN_STATUSES)
            or status == MISDIRECTED_STATUS,
            misdirected=status == MISDIRECTED_STATUS,
            content_encoded=headers_by_name.get(CONTENT_ENCODING, b"identity") != b"identity",
        )

    def read_signals(self, status: int, headers: RawHeaders) -> UpstreamSignals | None:
        """Return what the upstream says of itself, or ``None`` if it may be another one."""
        if status == MISDIRECTED_STATUS:
            return None
        headers_by_name = dict(headers)
        max_rate = parse_number(headers_by_name.get(SERVER_LIMIT)) or None
        retry_after = headers_by_name.get(RETRY_AFTER)
        load = _parse_load(headers_by_name.get(SERVER_LOAD, b""))
        return UpstreamSignals(
            leaving=headers_by_name.get(SERVER_LEAVING) == b"1",
            pause_s=_parse_pause_s(retry_after) if status == PUSH_BACK_STATUS else None,
            max_rate=max_rate,
            ends_limit=max_rate is None and REQUEST_ID in headers_by_name,
            load=load,
            load_unreadable=load is None and SERVER_LOAD in headers_by_name,
        )

    def response_headers(self, headers: RawHeaders) -> list[tuple[bytes, bytes]]:
        """Return a response's headers to pass on to the caller, without ``content-length``."""
        dropped = hop_by_hop_headers(headers, _is_end_to_end)
        return [(name, value) for name, value in headers if name not in dropped]

    def hold_call(self, tokens: int, ttl_s: float) -> EngineCall:
        """Return the call that reserves a slot and memory for a number of tokens."""
        body = msgspec.json.encode({"tokens": tokens, "ttlMs": int(ttl_s * 1_000)})
        return EngineCall("POST", "/v1/hold-take", body)

    def read_hold(self, body: bytes) -> str | None:
        """Return the reservation's id, or ``None`` if the body names none that can be sent."""
        return _decode_identifier(body, "hold")

    def release_hold_call(self, hold: str) -> EngineCall:
        """Return the call that releases a reservation."""
        return EngineCall("DELETE", f"/v1/hold-drop/{quote(hold, safe='')}")

    def read_kv_handle(self, body: bytes) -> str | None:
        """Return a KV cache's handle, or ``None`` if the body names none that can be sent."""
        return _decode_identifier(body, "kvRef")

    def free_kv_cache_call(self, handle: str) -> EngineCall:
        """Return the call that frees a prefilled KV cache."""
        return EngineCall("DELETE", f"/v1/kv-handle/{quote(handle, safe='')}")

    def report_call(self) -> EngineCall:
        """Return the call that reads an engine's state."""
        return EngineCall("GET", "/v1/report")

    def read_report(self, body: bytes) -> EngineReport | None:
        """Return the engine's state, or ``None`` if the body cannot be decoded."""
        try:
            decoded = decode_json(body, _ReportJson)
        except msgspec.DecodeError:
            return None
        return EngineReport(
            stage=_STAGES.get(decoded["stage"], Stage.NONE),
            busy=decoded["busy"],
            orders_accepted=decoded["seq"],
            running=decoded["running"],
            waiting=decoded["queued"],
            tokens_used=decoded["kvUsed"],
            tokens_total=decoded["kvTotal"],
        )

    def stage_order_call(self, order: StageOrder) -> EngineCall:
        """Return the call that orders an engine to change its stage."""
        body = {
            "opType": "stage",
            "stage": str(order.stage),
            "holder": order.holder,
            "fenceToken": order.fencing_number,
            "expect": order.orders_accepted,
        }
        return EngineCall("POST", "/v1/order", msgspec.json.encode(body))


def _forwardable_headers(
    headers: RawHeaders, forwarding: ForwardingOptions
) -> Iterator[tuple[bytes, bytes]]:
    dropped = hop_by_hop_headers(headers, _is_end_to_end) | SYSTEM_HEADERS
    if forwarding.last_event is not None:
        dropped |= {LAST_EVENT_ID}
    return ((name, value) for name, value in headers if name not in dropped)


def _entry_headers(
    upstream: UpstreamRecord, forwarding: ForwardingOptions
) -> Iterator[tuple[bytes, bytes]]:
    yield DEADLINE_MS, str(max(1, int(forwarding.deadline_s * 1_000))).encode()
    yield EXPECTED_UPSTREAM, upstream.name.encode()
    if forwarding.prefill_only:
        yield STAGE, b"prefill"
    if forwarding.kv_source is not None:
        yield KV_SOURCE, f"{forwarding.kv_source.address}/{forwarding.kv_source.handle}".encode()
    if forwarding.hold is not None:
        yield HOLD, forwarding.hold.encode()
    if forwarding.urgency is not None:
        yield URGENCY, str(forwarding.urgency).encode()
    if forwarding.last_event is not None:
        yield LAST_EVENT_ID, forwarding.last_event.encode("latin-1")


def _is_end_to_end(name: bytes) -> bool:
    return name.startswith(PLATFORM_PREFIX)


def _parse_request_id(text: bytes) -> str | None:
    """Return the id of another request, or ``None`` if the text can be none."""
    if not 0 < len(text) <= MAX_REQUEST_ID_LENGTH:
        return None
    return text.decode("latin-1")


def _parse_prompt_parts(text: bytes) -> tuple[str, ...]:
    """Return the ids in a list of prompt parts; parts without an id are left out."""
    ids = (part.partition(b":")[0].strip() for part in text.split(b","))
    return tuple(part_id.decode("latin-1") for part_id in ids if part_id)


def _parse_pause_s(text: bytes | None) -> float | None:
    """Return the seconds in a ``Retry-After``; one that cannot be read counts as a short pause."""
    if text is None:
        return None
    pause_s = parse_number(text)
    if pause_s is None:
        log_event(_log, logging.WARNING, "upstream pause unreadable", detail=text[:40])
        return UNREADABLE_PAUSE_S
    return pause_s


def _parse_load(text: bytes) -> ReportedLoad | None:
    """Return the load in a response's header, or ``None`` if it cannot be one."""
    counts = parse_counts(text) or ()
    if len(counts) not in (3, 4) or 0 in counts[2:]:
        return None
    slowness = counts[3] / 100 if len(counts) > 3 else None
    load = ReportedLoad(counts[0], counts[1], counts[2], slowness)
    return load if load.is_plausible else None


def _decode_identifier(body: bytes, field: str) -> str | None:
    """Return an identifier from an engine's response, or ``None`` if it cannot be sent back.

    It is sent in headers and paths, which hold visible ASCII characters only.
    """
    try:
        decoded = decode_json(body, dict[str, object])
    except msgspec.DecodeError:
        return None
    value = decoded.get(field)
    if not isinstance(value, str | int) or not is_visible_ascii(str(value)):
        return None
    return str(value)
