"""Sends offers, calls, prefills and import orders over HTTP and returns their settling events."""

import logging
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import aclosing

import msgspec

from chivehold.asgi import JSON_TYPE
from chivehold.core.declared import Upstream
from chivehold.core.entry_messages import (
    AttemptLinkLost,
    CallSettled,
    FrameReceived,
    ImportSettled,
    PrefillSettled,
)
from chivehold.core.identity import AttemptId, UpstreamName
from chivehold.core.untrusted_json import decode_json
from chivehold.core.wire import (
    AttemptFrame,
    AttemptOffer,
    CallContent,
    CallResult,
    FrameKind,
    ImportOrder,
    PrefillKind,
    PrefillOrder,
    PrefillResult,
    Reason,
)
from chivehold.exceptions import Malformed, PeerRefused
from chivehold.http_client import HttpClient, LinkError, NothingSent
from chivehold.logs import log_event

DEADLINE_MARGIN_S = 1.0
IMPORT_TIMEOUT_S = 1.0
OK_STATUS = 200
REFUSED_STATUSES = frozenset((*range(400, 500), 503))
FINAL_FRAME_KINDS = frozenset((FrameKind.FINISHED, FrameKind.FAILED, FrameKind.REFUSED))

OfferEvent = FrameReceived | AttemptLinkLost
FindUpstream = Callable[[UpstreamName], Upstream | None]

_log = logging.getLogger(__name__)

_FRAME_DECODER = msgspec.json.Decoder(AttemptFrame)
_PREFILL_DECODER = msgspec.json.Decoder(PrefillResult)
_RESULT_DECODER = msgspec.json.Decoder(CallResult)


class AttemptClient:
    """Sends attempts to sidecars; each method settles its command even if the call fails.

    Args:
        client: Sends the HTTP requests.
        find_upstream: Returns the declaration of an upstream, or ``None`` if there is none.
        token: The shared bearer token.
    """

    def __init__(self, client: HttpClient, find_upstream: FindUpstream, token: str) -> None:
        self._client = client
        self._find_upstream = find_upstream
        self._headers = (("authorization", f"Bearer {token}"), ("content-type", JSON_TYPE))

    async def offer(self, upstream: UpstreamName, offer: AttemptOffer) -> AsyncIterator[OfferEvent]:
        """Open an attempt's stream and yield its frames.

        The last event is a final frame or ``AttemptLinkLost``. The stream is read to its end even
        after a final frame, so that its connection can be reused.
        """
        is_finished = False
        sent = True
        try:
            async with aclosing(self._frames(upstream, offer)) as frames:
                async for frame in frames:
                    if not is_finished:
                        is_finished = frame.kind in FINAL_FRAME_KINDS
                        yield FrameReceived(frame)
        except (NothingSent, PeerRefused):
            sent = False
        except (LinkError, Malformed, msgspec.DecodeError) as error:
            _log_link_lost(error, upstream, offer.attempt, is_finished)
        if not is_finished:
            yield AttemptLinkLost(offer.attempt, sent)

    async def call(
        self, upstream: UpstreamName, offer: AttemptOffer, call: CallContent
    ) -> CallSettled | AttemptLinkLost:
        """Send a call of a plain service and wait for the whole answer."""
        headers = (
            *self._headers[:1],
            ("chivehold-offer", msgspec.json.encode(offer).decode()),
            ("chivehold-call", msgspec.json.encode(call[:3]).decode()),
        )
        try:
            answer = await self._client.call(
                self._data_address(upstream),
                "POST",
                "/v1/calls",
                step="call service",
                timeout_s=offer.deadline_in_s + DEADLINE_MARGIN_S,
                body=call.body,
                headers=headers,
            )
            _check_status(answer.status, upstream)
            result = _RESULT_DECODER.decode(answer.header("chivehold-result") or "")
            _check_attempt(result.attempt, offer.attempt, upstream)
        except (NothingSent, PeerRefused):
            return AttemptLinkLost(offer.attempt, sent=False)
        except (LinkError, Malformed, msgspec.DecodeError) as error:
            _log_link_lost(error, upstream, offer.attempt)
            return AttemptLinkLost(offer.attempt, sent=True)
        return CallSettled(result._replace(body=answer.body))

    async def prefill(self, upstream: UpstreamName, order: PrefillOrder) -> PrefillSettled:
        """Run a prefill; a broken connection counts as a failed prefill."""
        failed = PrefillResult(PrefillKind.FAILED, order.attempt, reason=Reason.ENGINE_FAILED)
        try:
            answer = await self._client.call(
                self._data_address(upstream),
                "POST",
                "/v1/prefills",
                step="prefill",
                timeout_s=order.deadline_in_s + DEADLINE_MARGIN_S,
                body=msgspec.json.encode(order),
                headers=self._headers,
            )
            _check_status(answer.status, upstream)
            result = _PREFILL_DECODER.decode(answer.body)
            _check_attempt(result.attempt, order.attempt, upstream)
        except (NothingSent, PeerRefused):
            refused = failed._replace(kind=PrefillKind.REFUSED, reason=Reason.LEAVING)
            return PrefillSettled(refused)
        except (LinkError, Malformed, msgspec.DecodeError) as error:
            _log_link_lost(error, upstream, order.attempt)
            return PrefillSettled(failed)
        return PrefillSettled(result)

    async def import_kv(self, upstream: UpstreamName, order: ImportOrder) -> ImportSettled:
        """Tell the decode sidecar where the KV cache is."""
        try:
            answer = await self._client.call(
                self._data_address(upstream),
                "POST",
                "/v1/imports",
                step="order import",
                timeout_s=IMPORT_TIMEOUT_S,
                body=msgspec.json.encode(order),
                headers=self._headers,
            )
            accepted = decode_json(answer.body, bool)
        except (LinkError, msgspec.DecodeError) as error:
            _log_link_lost(error, upstream, order.attempt)
            accepted = False
        return ImportSettled(order.attempt, accepted)

    async def _frames(
        self, upstream: UpstreamName, offer: AttemptOffer
    ) -> AsyncGenerator[AttemptFrame, None]:
        async with self._client.stream(
            self._data_address(upstream),
            "POST",
            "/v1/attempts",
            step="offer attempt",
            body=msgspec.json.encode(offer),
            headers=self._headers,
            read_timeout_s=offer.deadline_in_s + DEADLINE_MARGIN_S,
        ) as stream:
            _check_status(stream.status, upstream)
            async for lines in stream:
                for line in lines:
                    frame = _FRAME_DECODER.decode(line)
                    _check_attempt(frame.attempt, offer.attempt, upstream)
                    yield frame

    def _data_address(self, upstream: UpstreamName) -> str:
        declared = self._find_upstream(upstream)
        if declared is None:
            raise NothingSent("find upstream", upstream, "not declared")
        return declared.data_address


def _check_status(status: int, upstream: UpstreamName) -> None:
    """Raise unless the status is 200; a sidecar sends ``REFUSED_STATUSES`` before it acts."""
    if status in REFUSED_STATUSES:
        raise PeerRefused("send attempt", upstream, f"status {status}")
    if status != OK_STATUS:
        raise Malformed("send attempt", upstream, f"status {status}")


def _check_attempt(actual: AttemptId, expected: AttemptId, upstream: UpstreamName) -> None:
    if actual != expected:
        raise Malformed("read answer", upstream, f"belongs to attempt {actual}")


def _log_link_lost(
    error: Exception, upstream: UpstreamName, attempt: AttemptId, is_finished: bool = False
) -> None:
    if is_finished:
        return
    log_event(
        _log,
        logging.WARNING,
        "link lost",
        request=attempt.request,
        attempt=attempt.number,
        peer=upstream,
        detail=str(error),
    )
