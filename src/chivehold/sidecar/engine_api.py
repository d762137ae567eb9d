"""The JSON bodies of the engine's HTTP interface."""

from typing import Literal, TypedDict

from chivehold.core.identity import AttemptId
from chivehold.core.wire import OrderKind


class PrefillCall(TypedDict):
    """Body of ``POST /prefill``."""

    attempt: AttemptId
    prompt: str
    prompt_tokens: int
    prefix_blocks: list[int]
    priority: Literal["urgent", "patient"]


class PrefillAnswer(TypedDict):
    """Answer of ``POST /prefill``, sent when the prompt has been run."""

    handle: str
    kv_bytes: int
    expires_in_s: float
    reused_tokens: int


class DecodeCall(TypedDict):
    """Body of ``POST /decode``; the answer is a stream of ``DecodeLine`` in JSON."""

    attempt: AttemptId
    handle: str
    engine_address: str
    """``host:port`` of the prefill engine that holds the KV cache."""
    kv_bytes: int
    prompt_tokens: int
    first_offset: int
    max_tokens: int
    """Output tokens to produce, the first of them at ``first_offset``."""
    priority: Literal["urgent", "patient"]


class DecodeLine(TypedDict, total=False):
    """One line of a decode's stream: tokens from an offset on, or the total in the last line."""

    offset: int
    tokens: list[str]
    total: int


class KvCache(TypedDict):
    """Answer of ``GET /kv/<handle>``."""

    digest: str
    kv_bytes: int
    expires_in_s: float


class CancelCall(TypedDict):
    """Body of ``POST /cancel``."""

    attempt: AttemptId


class CancelAnswer(TypedDict):
    """Answer of ``POST /cancel``; ``held`` is whether the attempt still holds memory."""

    held: bool


class EngineLoad(TypedDict):
    """The load that an engine reports; it lags behind the actual load."""

    streams: int
    prefill_backlog_tokens: int
    token_interval_s: float


class StatusAnswer(TypedDict):
    """Answer of ``GET /status``."""

    held: list[AttemptId]
    leaving: bool
    load: EngineLoad
    prefix_blocks: list[int]


class OrderCall(TypedDict):
    """Body of ``POST /order``; answered with 200, or 409 for a stale fencing number."""

    fencing_number: int
    operation_id: str
    kind: OrderKind
    argument: str


class EngineState(TypedDict):
    """Answer of ``GET /state``."""

    role: str
    models: list[str]
    adapters: list[str]
    fencing_number: int


class EngineError(TypedDict):
    """Answer of a failed call; ``reason`` is a value of ``core.wire.Reason``."""

    reason: str
    message: str
