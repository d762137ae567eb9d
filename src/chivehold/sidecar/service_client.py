"""Forwards calls to a plain service."""

import re
from typing import TypedDict

import msgspec
import trio

from chivehold.core.identity import AttemptId
from chivehold.core.sidecar_messages import EngineStatus
from chivehold.core.untrusted_json import decode_json
from chivehold.core.wire import CallContent, CallResult, Reason
from chivehold.http_client import HttpClient, LinkBroken, LinkError, NothingSent
from chivehold.sidecar.sessions import CallSession

ATTEMPT_HEADER = "chivehold-attempt"

_UNFORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_METHOD = re.compile(r"[A-Z]{1,16}")
_PATH = re.compile(r"/[!-~]*")
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_HEADER_VALUE = re.compile(r"[\t -~\x80-\xff]*")


class ServiceStatus(TypedDict, total=False):
    """Answer of the service's ``GET /status``; further fields are ignored."""

    leaving: bool


class ServiceClient:
    """Calls the plain service beside this sidecar.

    Args:
        http: The HTTP client, which limits the size of answers.
        peer: ``host:port`` of the service.
        status_timeout_s: Timeout of a status call, in seconds.
    """

    def __init__(self, http: HttpClient, peer: str, status_timeout_s: float) -> None:
        self._http = http
        self._peer = peer
        self._status_timeout_s = status_timeout_s

    async def status(self) -> EngineStatus:
        """Query the service's status; a service whose answer is invalid counts as not leaving."""
        try:
            answer = await self._http.call(
                self._peer, "GET", "/status", step="status", timeout_s=self._status_timeout_s
            )
        except LinkError:
            return EngineStatus(reachable=False, leaving=False, held=())
        return EngineStatus(reachable=True, leaving=_is_leaving(answer.body), held=())

    async def call(self, session: CallSession) -> CallResult:
        """Forward a call and return its whole answer, or the reason why there is none."""
        content, attempt = session.content, session.offer.attempt
        try:
            answer = await self._http.call(
                self._peer,
                content.method,
                content.path,
                step="call",
                timeout_s=max(0.0, session.deadline - trio.current_time()),
                body=content.body,
                headers=[*_forwarded_headers(content.headers), _attempt_header(attempt)],
            )
        except NothingSent:
            return CallResult(attempt, reason=Reason.ENGINE_FAILED, started=False)
        except LinkBroken:
            deadline_passed = trio.current_time() >= session.deadline
            return CallResult(
                attempt, reason=Reason.DEADLINE if deadline_passed else Reason.ENGINE_FAILED
            )
        headers = tuple(_forwarded_headers(answer.headers))
        return CallResult(attempt, answer.status, headers, answer.body)


def call_problem(content: CallContent) -> str:
    """Return why a call cannot be forwarded, or an empty string if it can."""
    if not _METHOD.fullmatch(content.method):
        return "method: expected 1 to 16 capital letters"
    if not _PATH.fullmatch(content.path):
        return "path: expected / and visible ASCII characters"
    for name, value in content.headers:
        if not _HEADER_NAME.fullmatch(name) or not _HEADER_VALUE.fullmatch(value):
            return "headers: expected names and values as in RFC 9110"
    return ""


def _forwarded_headers(headers: tuple[tuple[str, str], ...]) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _UNFORWARDED_HEADERS and name.lower() != ATTEMPT_HEADER
    ]


def _attempt_header(attempt: AttemptId) -> tuple[str, str]:
    return (ATTEMPT_HEADER, f"{attempt.request}/{attempt.number}")


def _is_leaving(body: bytes) -> bool:
    try:
        return decode_json(body, ServiceStatus).get("leaving", False)
    except msgspec.DecodeError:
        return False
