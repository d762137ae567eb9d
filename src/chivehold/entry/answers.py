"""Builds answers to callers: JSON completions, server-sent events and typed errors."""

import math
from typing import Any, NamedTuple, TypedDict

import msgspec

from chivehold.core.entry_messages import Finish
from chivehold.core.identity import Outcome, RequestId
from chivehold.entry.caller_requests import ModelRequest

SSE_TYPE = "text/event-stream"
SSE_DONE = b"data: [DONE]\n\n"
OUTCOME_HEADER = "chivehold-outcome"
REQUEST_HEADER = "chivehold-request"
BUSY_REASONS = (
    "queue full",
    "refused: full",
    "too late",
    "prefill: full",
    "prefill: too_late",
    "refused: too_late",
)
"""Reasons of ``NOT_RUN`` that mean lack of capacity: status 429, for all others 503."""


class ErrorFields(TypedDict):
    """The ``error`` object of an error answer."""

    outcome: Outcome
    reason: str
    message: str
    retry_after_s: float | None


class ErrorAnswer(NamedTuple):
    """A typed error with its HTTP status."""

    status: int
    fields: ErrorFields

    @property
    def headers(self) -> list[tuple[str, str]]:
        """The outcome, and ``Retry-After`` in whole seconds, rounded up."""
        headers = [(OUTCOME_HEADER, str(self.fields["outcome"]))]
        retry_after_s = self.fields["retry_after_s"]
        if retry_after_s is not None:
            headers.append(("retry-after", str(max(1, math.ceil(retry_after_s)))))
        return headers

    @property
    def body(self) -> bytes:
        """The JSON body."""
        return msgspec.json.encode({"error": self.fields})


def error_answer(
    status: int, outcome: Outcome, reason: str, message: str, retry_after_s: float | None = None
) -> ErrorAnswer:
    """Return a typed error."""
    fields = ErrorFields(
        outcome=outcome, reason=reason, message=message, retry_after_s=retry_after_s
    )
    return ErrorAnswer(status, fields)


def failure_answer(finish: Finish) -> ErrorAnswer:
    """Return the error for a request that ended without an answer."""
    status = _status_code(finish.outcome, finish.reason)
    message = _MESSAGES[finish.outcome]
    return error_answer(status, finish.outcome, finish.reason, message, finish.retry_after_s)


def completion_body(
    request: RequestId, content: ModelRequest, text: str, tokens: int, created: int
) -> dict[str, Any]:
    """Return the JSON object of a completion that is not streamed."""
    output: dict[str, Any] = {"message": {"role": "assistant", "content": text}}
    choice = {"index": 0, "finish_reason": finish_reason(content, tokens)}
    choice |= output if content.chat else {"text": text}
    return {
        "id": request,
        "object": "chat.completion" if content.chat else "text_completion",
        "created": created,
        "model": content.model,
        "choices": [choice],
        "usage": {"completion_tokens": tokens},
    }


def stream_event(
    request: RequestId, content: ModelRequest, text: str, reason: str | None, created: int
) -> bytes:
    """Return one server-sent event of a streamed completion."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
    choice |= {"delta": {"content": text} if text else {}} if content.chat else {"text": text}
    event = {
        "id": request,
        "object": "chat.completion.chunk" if content.chat else "text_completion",
        "created": created,
        "model": content.model,
        "choices": [choice],
    }
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def error_event(answer: ErrorAnswer) -> bytes:
    """Return the server-sent event that reports a stream as cut short."""
    return b"event: error\ndata: " + answer.body + b"\n\n"


def finish_reason(content: ModelRequest, tokens: int) -> str:
    """Return why the output ended: ``length`` at the token limit, else ``stop``."""
    return "length" if tokens >= content.max_tokens else "stop"


def _status_code(outcome: Outcome, reason: str) -> int:
    match outcome:
        case Outcome.NOT_RUN:
            return 429 if reason in BUSY_REASONS else 503
        case Outcome.UNKNOWN:
            return 504 if reason == "deadline" else 502
        case Outcome.ALREADY_ANSWERED | Outcome.IN_PROGRESS:
            return 409
        case Outcome.REJECTED:
            return 404 if reason == "unknown target" else 400
        case Outcome.ANSWERED:
            return 200


_MESSAGES = {
    Outcome.ANSWERED: "answered",
    Outcome.NOT_RUN: "the request did not run; it may be sent again",
    Outcome.UNKNOWN: "the request may have run; no whole answer was given",
    Outcome.ALREADY_ANSWERED: "a request under this key has been answered",
    Outcome.IN_PROGRESS: "a request under this key is running",
    Outcome.REJECTED: "the request cannot be taken as it is",
}
