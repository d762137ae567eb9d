"""Parses callers' requests: completions, chats and calls of plain services."""

import re
import string
from typing import Annotated, NamedTuple, TypedDict, TypeVar
from urllib.parse import unquote

import msgspec

from chivehold.asgi import Scope
from chivehold.core.entry_messages import RequestArrived
from chivehold.core.identity import KeyId, RequestId, TargetName
from chivehold.core.wire import CallContent
from chivehold.entry.caller_headers import CallerHeaders
from chivehold.entry.prompts import prefix_blocks, prompt_tokens
from chivehold.exceptions import Malformed

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 65_536
SERVICES_PREFIX = "/services/"
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "date",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
OWN_HEADER_PREFIX = "chivehold-"
UNRESERVED_CHARACTERS = frozenset(string.ascii_letters + string.digits + "-._~")

_PERCENT_ESCAPE = re.compile("%[0-9A-Fa-f]{2}")

_TokenCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS_LIMIT)]
_ExactlyOne = Annotated[int, msgspec.Meta(ge=1, le=1)]
_ModelName = Annotated[str, msgspec.Meta(min_length=1, max_length=63)]

BodyT = TypeVar("BodyT")


class _RequiredCommonFields(TypedDict):
    model: _ModelName


class _CommonFields(_RequiredCommonFields, total=False):
    max_tokens: _TokenCount | None
    stream: bool
    n: _ExactlyOne | None


class _RequiredCompletionFields(TypedDict):
    prompt: str


class CompletionBody(_RequiredCompletionFields, _CommonFields, total=False):
    """The body of ``POST /v1/completions``; other keys are ignored, the engine's defaults apply."""


class _TextPart(TypedDict):
    type: str
    text: str


class ChatMessage(TypedDict):
    """One message of a chat."""

    role: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    content: str | list[_TextPart]


class _RequiredChatFields(TypedDict):
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]


class ChatBody(_RequiredChatFields, _CommonFields, total=False):
    """The body of ``POST /v1/chat/completions``."""

    max_completion_tokens: _TokenCount | None


class ModelRequest(NamedTuple):
    """A validated request to a model."""

    model: TargetName
    prompt: str
    max_tokens: int
    stream: bool
    chat: bool


_COMPLETION_DECODER = msgspec.json.Decoder(CompletionBody)
_CHAT_DECODER = msgspec.json.Decoder(ChatBody)


def read_completion(body: bytes) -> ModelRequest:
    """Parse the body of ``POST /v1/completions``.

    Raises:
        Malformed: The body does not match the schema.
    """
    fields = _decode(_COMPLETION_DECODER, body)
    return _model_request(fields, fields["prompt"], fields.get("max_tokens"), chat=False)


def read_chat(body: bytes) -> ModelRequest:
    """Parse the body of ``POST /v1/chat/completions``.

    Raises:
        Malformed: The body does not match the schema.
    """
    fields = _decode(_CHAT_DECODER, body)
    prompt = "".join(
        f"{message['role']}: {_message_text(message)}\n" for message in fields["messages"]
    )
    max_tokens = fields.get("max_completion_tokens") or fields.get("max_tokens")
    return _model_request(fields, prompt, max_tokens, chat=True)


def read_call(scope: Scope, body: bytes) -> tuple[TargetName, CallContent]:
    """Parse a call of a plain service at ``/services/{name}/{path}``.

    The path must be in the canonical form that a declaration's rules are matched against: a
    service that resolves dots, empty segments or needless escapes could otherwise run a different
    call from the one the rules matched. Headers that are meant for the connection or for the entry
    are not forwarded.

    Raises:
        Malformed: The path is not in canonical form.
    """
    try:
        raw_path = bytes(scope["raw_path"]).decode("ascii")
        query = bytes(scope["query_string"]).decode("ascii")
    except UnicodeDecodeError as error:
        raise Malformed("read path", "caller", "expected ASCII") from error
    name, _, rest = raw_path.removeprefix(SERVICES_PREFIX).partition("/")
    _check_canonical(rest)
    path = f"/{rest}?{query}" if query else f"/{rest}"
    headers = tuple(_forwarded_headers(scope))
    return TargetName(name), CallContent(str(scope["method"]), path, headers, body)


def model_arrival(
    request: RequestId, headers: CallerHeaders, content: ModelRequest
) -> RequestArrived:
    """Return the arrival event of a model request."""
    return RequestArrived(
        request=request,
        target=content.model,
        organisation=headers.organisation,
        traffic_class=headers.traffic_class,
        key=_key_id(headers, content.model),
        first_sent_ago_s=headers.first_sent_ago_s,
        idempotent=headers.idempotent,
        deadline_in_s=headers.deadline_in_s,
        prompt=content.prompt,
        prompt_tokens=prompt_tokens(content.prompt),
        prefix_blocks=prefix_blocks(content.prompt),
        max_tokens=content.max_tokens,
    )


def call_arrival(
    request: RequestId, headers: CallerHeaders, target: TargetName, call: CallContent
) -> RequestArrived:
    """Return the arrival event of a call of a plain service."""
    return RequestArrived(
        request=request,
        target=target,
        organisation=headers.organisation,
        traffic_class=headers.traffic_class,
        key=_key_id(headers, target),
        first_sent_ago_s=headers.first_sent_ago_s,
        idempotent=headers.idempotent,
        deadline_in_s=headers.deadline_in_s,
        call=call,
    )


def _key_id(headers: CallerHeaders, target: TargetName) -> KeyId | None:
    return KeyId(headers.organisation, target, headers.key) if headers.key else None


def _decode(decoder: msgspec.json.Decoder[BodyT], body: bytes) -> BodyT:
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Malformed("read body", "caller", str(error)) from error


def _model_request(
    fields: _CommonFields, prompt: str, max_tokens: int | None, chat: bool
) -> ModelRequest:
    return ModelRequest(
        model=TargetName(fields["model"]),
        prompt=prompt,
        max_tokens=max_tokens or DEFAULT_MAX_TOKENS,
        stream=fields.get("stream", False),
        chat=chat,
    )


def _check_canonical(path: str) -> None:
    *parents, last = path.split("/")
    if "" in parents or {".", ".."} & {*parents, last}:
        raise Malformed("read path", "caller", "expected no empty and no dot segments")
    for escape in _PERCENT_ESCAPE.finditer(path):
        character = unquote(escape.group(), errors="replace")
        if character in UNRESERVED_CHARACTERS or not character.isprintable():
            detail = f"expected no escape of {character!r}"
            raise Malformed("read path", "caller", detail)
    if "%" in _PERCENT_ESCAPE.sub("", path):
        raise Malformed("read path", "caller", "expected two hexadecimal digits after %")


def _message_text(message: ChatMessage) -> str:
    content = message["content"]
    if isinstance(content, str):
        return content
    return "".join(part["text"] for part in content)


def _forwarded_headers(scope: Scope) -> list[tuple[str, str]]:
    pairs = [
        (bytes(key).decode("latin-1"), bytes(value).decode("latin-1"))
        for key, value in scope["headers"]
    ]
    connection_headers = {
        token.strip().lower()
        for key, value in pairs
        if key == "connection"
        for token in value.split(",")
    }
    return [
        (key, value)
        for key, value in pairs
        if key not in HOP_BY_HOP_HEADERS
        and key not in connection_headers
        and not key.startswith(OWN_HEADER_PREFIX)
    ]
