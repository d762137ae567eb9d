"""Requests, responses and upstreams as the core sees them, independent of the wire format."""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from chivehold.core.direct.organisations import ApiKey, KeyFault

RawHeaders = Sequence[tuple[bytes, bytes]]
"""Headers in the order received, with names in lower case."""

MAX_PLAUSIBLE_LOAD_FACTOR = 100
"""Most requests that an upstream can have, as a multiple of its slots."""
MAX_PLAUSIBLE_SLOWNESS = 20.0


class Stage(StrEnum):
    """Stage of inference that a model engine runs; ``NONE`` for plain services."""

    NONE = ""
    PREFILL = "prefill"
    DECODE = "decode"


class UpstreamRecord(NamedTuple):
    """An upstream's record in the store, written by the upstream itself."""

    name: str
    started_ms: int
    """Unix time of the process's start; a restart under the same name keeps no state."""
    service: str
    address: str
    """``host:port``."""
    zone: str
    slots: int
    draining: bool
    stage: Stage = Stage.NONE
    software: str = ""
    """Version of the upstream's software; empty if its record names none."""


class UpstreamIncarnation(NamedTuple):
    """One process of an upstream; a restart under the same name is another incarnation."""

    name: str
    started_ms: int


class RequestMetadata(NamedTuple):
    """Request parameters read from a caller's headers."""

    request_id: str
    """Empty if the caller sent no id."""
    deadline_s: float | None
    """How long the caller waits after sending, in seconds; ``None`` if not stated."""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    """Maximum number of tokens to generate; 0 if the caller sets no limit."""
    output_tokens_hint: int | None = None
    """The caller's estimate of the tokens to generate."""
    last_event: str | None = None
    """Id of the last event received by a caller that resumes a stream."""
    resumes: str | None = None
    """Id of the request that brought the first event of the stream that the caller resumes."""
    prompt_parts: tuple[str, ...] = ()
    """Ids of the parts of the prompt, in order; the last one belongs to this request alone."""
    api_key: ApiKey = KeyFault.MISSING
    """Digest of the caller's API key, or why there is none."""

    @property
    def tokens(self) -> int:
        """Prompt tokens and maximum output tokens; 0 if the caller states neither."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def is_resumption(self) -> bool:
        """Whether the caller resumes a stream of which it has events."""
        return self.last_event is not None or self.resumes is not None


class ResponseMetadata(NamedTuple):
    """Properties of a response, read from its status and headers."""

    request_id: str | None
    """Id of the request that the response belongs to, if it carries one; several form a list."""
    signed: bool
    """The response carries an upstream's signature."""
    not_run: bool
    """The upstream states that it has not run the request."""
    misdirected: bool
    """The address now belongs to another upstream."""
    content_encoded: bool
    """The body is encoded, so a proxy on the way has altered it."""


class ReportedLoad(NamedTuple):
    """An upstream's load as it reports it itself."""

    running: int
    waiting: int
    slots: int
    """Number of requests that it runs at once."""
    slowness: float | None = None
    """How many times as long as usual its work takes now; ``None`` if not reported."""

    @property
    def is_plausible(self) -> bool:
        """Whether an upstream that works can be so loaded and so slow."""
        most = MAX_PLAUSIBLE_LOAD_FACTOR * self.slots
        return self.running + self.waiting <= most and (
            self.slowness is None or self.slowness <= MAX_PLAUSIBLE_SLOWNESS
        )


class UpstreamSignals(NamedTuple):
    """What an upstream says of itself in the headers of a response."""

    leaving: bool = False
    """It ends soon and is to get no further requests."""
    pause_s: float | None = None
    """Seconds for which it wants no requests from this entry."""
    max_rate: float | None = None
    """Requests per second that it takes from all entries together."""
    ends_limit: bool = False
    """It names no limit in a response that would have named one."""
    load: ReportedLoad | None = None
    load_unreadable: bool = False
    """It reports a load that cannot be parsed."""


class KvSource(NamedTuple):
    """Address and handle under which a decode engine fetches a prefilled KV cache."""

    address: str
    handle: str


class ForwardingOptions(NamedTuple):
    """What the entry adds to the headers of a forwarded request."""

    deadline_s: float
    """Time left for the request, in seconds."""
    prefill_only: bool = False
    """The upstream is to prefill the prompt and keep the KV cache for a decode engine."""
    kv_source: KvSource | None = None
    hold: str | None = None
    """Id of the memory reservation that the request uses."""
    last_event: str | None = None
    """Id of the event after which a stream is resumed."""
    urgency: int | None = None
    """How urgent the request is among those at the engine; 0 is first."""


class EngineCall(NamedTuple):
    """An HTTP call to an engine's control interface."""

    method: str
    path: str
    body: bytes = b""


class StageOrder(NamedTuple):
    """An order to an engine to change its stage."""

    stage: Stage
    holder: str
    fencing_number: int
    orders_accepted: int
    """Number of orders accepted when the engine was read. The engine refuses this order if the
    number has changed since.
    """


class EngineReport(NamedTuple):
    """State reported by a model engine."""

    stage: Stage
    busy: bool
    """The engine is carrying out an order."""
    orders_accepted: int
    """Orders accepted since the engine's start."""
    running: int
    """Number of requests that the engine is running."""
    waiting: int
    """Number of requests queued at the engine."""
    tokens_used: int
    """KV cache memory that cannot be evicted, in tokens."""
    tokens_total: int


class Dialect(Protocol):
    """Wire format of requests, responses and engine calls."""

    def read_request(self, headers: RawHeaders) -> RequestMetadata:
        """Parse a caller's headers."""
        ...

    def identified_headers(self, headers: RawHeaders, organisation: str | None) -> RawHeaders:
        """Return a caller's headers with its organisation in place of its API key."""
        ...

    def forwarded_headers(
        self, headers: RawHeaders, upstream: UpstreamRecord, forwarding: ForwardingOptions
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers to send to an upstream, without ``content-length``."""
        ...

    def read_response(self, status: int, headers: RawHeaders) -> ResponseMetadata:
        """Parse the status and headers of an upstream's response."""
        ...

    def read_signals(self, status: int, headers: RawHeaders) -> UpstreamSignals | None:
        """Return what the upstream says of itself, or ``None`` if it may be another one."""
        ...

    def response_headers(self, headers: RawHeaders) -> list[tuple[bytes, bytes]]:
        """Return a response's headers to pass on to the caller, without ``content-length``."""
        ...

    def hold_call(self, tokens: int, ttl_s: float) -> EngineCall:
        """Return the call that reserves a slot and memory for a number of tokens."""
        ...

    def read_hold(self, body: bytes) -> str | None:
        """Return the reservation's id, or ``None`` if the body names none that can be sent."""
        ...

    def release_hold_call(self, hold: str) -> EngineCall:
        """Return the call that releases a reservation."""
        ...

    def read_kv_handle(self, body: bytes) -> str | None:
        """Return a KV cache's handle, or ``None`` if the body names none that can be sent."""
        ...

    def free_kv_cache_call(self, handle: str) -> EngineCall:
        """Return the call that frees a prefilled KV cache."""
        ...

    def report_call(self) -> EngineCall:
        """Return the call that reads an engine's state."""
        ...

    def read_report(self, body: bytes) -> EngineReport | None:
        """Return the engine's state, or ``None`` if the body cannot be decoded."""
        ...

    def stage_order_call(self, order: StageOrder) -> EngineCall:
        """Return the call that orders an engine to change its stage."""
        ...


def incarnation_of(upstream: UpstreamRecord) -> UpstreamIncarnation:
    """Return the incarnation of the upstream that a record describes."""
    return UpstreamIncarnation(upstream.name, upstream.started_ms)
