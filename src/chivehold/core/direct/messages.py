"""What an entry learns of requests, answers and upstreams, as types of its own."""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

RawHeaders = Sequence[tuple[bytes, bytes]]
"""Header names in lower case, in the order received."""


class Stage(StrEnum):
    """What a model engine does; plain services have none."""

    NONE = ""
    PREFILL = "prefill"
    DECODE = "decode"


class UpstreamRecord(NamedTuple):
    """One upstream as it describes itself in the store."""

    name: str
    started_ms: int
    """Unix time of its start; a later one under the same name knows nothing of before."""
    service: str
    address: str
    """``host:port``."""
    zone: str
    slots: int
    draining: bool
    stage: Stage = Stage.NONE


class RequestMetadata(NamedTuple):
    """What a caller's headers say of its request."""

    request_id: str
    """Empty where the caller sent no id."""
    deadline_s: float | None
    """How long the caller waits from its sending, in seconds."""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    """Bound of the tokens to generate."""
    output_tokens_hint: int | None = None
    """The caller's estimate of the tokens to generate."""
    last_event: str | None = None
    """The id of the last event that the caller has, where it resumes a stream."""


class ResponseMetadata(NamedTuple):
    """What an answer's headers say of it."""

    request_id: str | None
    """The request that it answers."""
    signed: bool
    """An upstream vouches for it."""
    not_run: bool
    """The upstream states that it did not run the request."""
    misdirected: bool
    """Another upstream has the address now."""
    content_encoded: bool
    """Something on the way has changed the body's encoding."""


class KvSource(NamedTuple):
    """Where a decode engine fetches a KV cache from."""

    address: str
    handle: str


class ForwardingOptions(NamedTuple):
    """What the entry adds to a request that it passes on."""

    deadline_s: float
    prefill_only: bool = False
    kv_source: KvSource | None = None
    hold: str | None = None
    last_event: str | None = None


class EngineCall(NamedTuple):
    """A control call to an engine."""

    method: str
    path: str
    body: bytes = b""


class StageOrder(NamedTuple):
    """An order that changes an engine's stage."""

    stage: Stage
    holder: str
    fencing_number: int
    orders_accepted: int
    """The engine refuses the order if it has accepted another number of orders by then."""


class EngineReport(NamedTuple):
    """What a model engine says of itself when asked."""

    stage: Stage
    busy: bool
    """An order is being carried out."""
    orders_accepted: int
    """Since its start."""
    running: int
    waiting: int
    tokens_used: int
    """Memory that cannot yield."""
    tokens_total: int


class Dialect(Protocol):
    """How requests, answers and engine calls are written on the wire."""

    def read_request(self, headers: RawHeaders) -> RequestMetadata:
        """Read a caller's headers."""
        ...

    def forwarded_headers(
        self, headers: RawHeaders, upstream: UpstreamRecord, forwarding: ForwardingOptions
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers to send to an upstream, without the body's length."""
        ...

    def read_response(self, status: int, headers: RawHeaders) -> ResponseMetadata:
        """Read an upstream's headers."""
        ...

    def response_headers(self, headers: RawHeaders) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer that go to the caller, without the body's length."""
        ...

    def hold_call(self, tokens: int, ttl_s: float) -> EngineCall:
        """Return the call that reserves a slot and memory for some tokens."""
        ...

    def read_hold(self, body: bytes) -> str | None:
        """Return the reservation's name, or ``None`` where the body cannot be read."""
        ...

    def release_hold_call(self, hold: str) -> EngineCall:
        """Return the call that gives a reservation back."""
        ...

    def read_kv_handle(self, body: bytes) -> str | None:
        """Return the handle of a prefilled KV cache, or ``None``."""
        ...

    def free_kv_cache_call(self, handle: str) -> EngineCall:
        """Return the call that frees a prefilled KV cache."""
        ...

    def report_call(self) -> EngineCall:
        """Return the call that asks an engine for its state."""
        ...

    def read_report(self, body: bytes) -> EngineReport | None:
        """Return the engine's state, or ``None`` where the body cannot be read."""
        ...

    def stage_order_call(self, order: StageOrder) -> EngineCall:
        """Return the call that changes an engine's stage."""
        ...
