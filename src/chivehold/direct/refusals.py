"""Answers of the entry's own, and what each promises."""

from typing import NamedTuple

import msgspec

from chivehold.direct.exchange import Reply

JSON = (b"content-type", b"application/json")


class Refusal(NamedTuple):
    """An answer that no upstream gave."""

    status: int
    reason: str
    """One word for logs, metrics and the caller."""
    message: str
    retry_after_s: float | None = None
    """When to come back; set only where the request has certainly not run."""


def not_run_refusal(reason: str, message: str, retry_after_s: float) -> Refusal:
    """Return the refusal of a request that has not run and never will."""
    return Refusal(503, reason, message, retry_after_s)


def unknown_refusal(status: int, reason: str, message: str) -> Refusal:
    """Return the answer to a request of which nobody can say whether it has run."""
    return Refusal(status, reason, message)


NO_ROUTE = Refusal(404, "no_route", "no route for this host and path")
NO_REQUEST_ID = Refusal(400, "no_request_id", "the request has no id")


async def send_refusal(reply: Reply, refusal: Refusal) -> None:
    """Send an answer of the entry's own."""
    headers = [JSON]
    if refusal.retry_after_s is not None:
        headers.append((b"retry-after", f"{refusal.retry_after_s:.2f}".encode()))
    body = msgspec.json.encode({"reason": refusal.reason, "message": refusal.message})
    await reply.send_full(refusal.status, headers, body)
