"""Calls to model engines: reservations, prefills, streams, state and stage orders."""

import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import trio

from chivehold.core.direct.fleet import Fleet, Verdict
from chivehold.core.direct.messages import (
    Dialect,
    EngineCall,
    EngineReport,
    ForwardingOptions,
    KvSource,
    StageOrder,
    UpstreamRecord,
    incarnation_of,
)
from chivehold.core.direct.recent_reservations import RecentReservations
from chivehold.direct.exchange import Exchange
from chivehold.direct.signals import SignalReader
from chivehold.exceptions import PeerRefused
from chivehold.http_client import HttpClient, HttpResponse, LinkBroken, LinkError, RawResponse
from chivehold.logs import log_event

HOLD_TIMEOUT_S = 0.25
RELEASE_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 1.0
MAX_PREFILL_RESPONSE_BYTES = 65_536
OK_STATUS = 200
OTHER_REQUEST = "response to another request"

_log = logging.getLogger(__name__)


class PrefilledCache(NamedTuple):
    """A prefilled KV cache, ready to be fetched from its prefill engine."""

    upstream: UpstreamRecord
    source: KvSource
    took_s: float
    """Duration of the prefill in seconds."""


class EngineClient:
    """Client of the engines of model services.

    Args:
        fleet: Records the results of calls.
        client: Sends the calls.
        dialect: The wire format of the calls.
        signals: Reads the headers of all responses.
        nursery: Runs the calls that release resources, which may outlive their request.
    """

    def __init__(
        self,
        fleet: Fleet,
        client: HttpClient,
        dialect: Dialect,
        signals: SignalReader,
        nursery: trio.Nursery,
    ) -> None:
        self._fleet = fleet
        self._client = client
        self._dialect = dialect
        self._signals = signals
        self._nursery = nursery
        self._reservations = RecentReservations()

    @property
    def dialect(self) -> Dialect:
        """The wire format of the calls."""
        return self._dialect

    async def reserve_memory(
        self, upstream: UpstreamRecord, tokens: int, ttl_s: float
    ) -> str | None:
        """Reserve a slot and memory.

        Returns:
            The reservation's id, or ``None`` if there is no room or its id is unreadable.

        Raises:
            LinkError: The engine could not be reached, or it repeated an earlier response.
        """
        call = self._dialect.hold_call(tokens, ttl_s)
        response = await self._call(upstream, call, "reserve memory", HOLD_TIMEOUT_S)
        if response.status != OK_STATUS:
            return None
        hold = self._dialect.read_hold(response.body)
        if hold is None:
            log_event(_log, logging.WARNING, "reservation unreadable", None, peer=upstream.name)
            return None
        if not self._reservations.add(incarnation_of(upstream), hold):
            raise LinkBroken("reserve memory", upstream.name, "response to an earlier call")
        return hold

    def release_hold(self, upstream: UpstreamRecord, hold: str) -> None:
        """Release an unused reservation in the background."""
        self._release(upstream, self._dialect.release_hold_call(hold), "free reservation")

    def free_kv_cache(self, prefilled: PrefilledCache) -> None:
        """Free an unused KV cache in the background."""
        call = self._dialect.free_kv_cache_call(prefilled.source.handle)
        self._release(prefilled.upstream, call, "free KV cache")

    async def read_state(self, upstream: UpstreamRecord) -> EngineReport:
        """Read an engine's state, over a connection without an earlier response.

        Raises:
            LinkError: The engine could not be reached, or its response is invalid.
        """
        step = "read engine's state"
        call = self._dialect.report_call()
        response = await self._call(upstream, call, step, ORDER_TIMEOUT_S, new_connection=True)
        report = self._dialect.read_report(response.body)
        if response.status != OK_STATUS or report is None:
            raise LinkBroken(step, upstream.name, f"status {response.status}")
        return report

    async def order_stage(self, upstream: UpstreamRecord, order: StageOrder) -> int:
        """Order an engine to change its stage, and return the status of its response.

        The connection is new: a second response to another call must not count as its acceptance.

        Raises:
            LinkError: There was no response; the order may still be carried out.
        """
        call = self._dialect.stage_order_call(order)
        step = "order stage"
        response = await self._call(upstream, call, step, ORDER_TIMEOUT_S, new_connection=True)
        return response.status

    async def prefill(self, exchange: Exchange, upstream: UpstreamRecord) -> PrefilledCache:
        """Prefill a prompt at an engine.

        Raises:
            PeerRefused: The engine refused the prefill.
            LinkError: The engine could not be reached, or its response is incomplete or invalid.
        """
        exchange.record_prefill()
        self._fleet.record_start(upstream)
        started_at = trio.current_time()
        verdict = Verdict.UNKNOWN
        took_s: float | None = None
        try:
            handle = await self._run_prefill(exchange, upstream)
            took_s = trio.current_time() - started_at
            verdict = Verdict.SOUND
        except PeerRefused:
            verdict = Verdict.FULL
            raise
        except LinkError:
            verdict = Verdict.FAILED
            raise
        finally:
            self._fleet.record_end(upstream, verdict, trio.current_time(), took_s)
        return PrefilledCache(upstream, KvSource(upstream.address, handle), took_s)

    @asynccontextmanager
    async def decode(
        self, exchange: Exchange, upstream: UpstreamRecord, forwarding: ForwardingOptions
    ) -> AsyncIterator[RawResponse]:
        """Start a stream at a decode engine; leaving the context early closes the connection.

        Raises:
            LinkError: The engine could not be reached, or the connection broke.
        """
        headers = self._dialect.forwarded_headers(exchange.headers, upstream, forwarding)
        sent_at = trio.current_time()
        async with self._client.relay(
            upstream.address,
            exchange.method,
            exchange.target,
            step="decode",
            headers=headers,
            body=exchange.body,
            new_connection=not exchange.route.retryable,
        ) as response:
            self._signals.read(upstream, response.status, response.headers, sent_at)
            yield response

    async def _run_prefill(self, exchange: Exchange, upstream: UpstreamRecord) -> str:
        forwarding = ForwardingOptions(
            exchange.time_left_s(), prefill_only=True, urgency=exchange.urgency
        )
        headers = self._dialect.forwarded_headers(exchange.headers, upstream, forwarding)
        sent_at = trio.current_time()
        async with self._client.relay(
            upstream.address,
            exchange.method,
            exchange.target,
            step="prefill",
            headers=headers,
            body=exchange.body,
        ) as response:
            self._signals.read(upstream, response.status, response.headers, sent_at)
            body = bytearray()
            async for chunk in response.chunks:
                body += chunk
                if len(body) > MAX_PREFILL_RESPONSE_BYTES:
                    raise LinkBroken("prefill", upstream.name, "response too long")
        metadata = self._dialect.read_response(response.status, response.headers)
        if metadata.request_id is not None and not exchange.matches(metadata):
            raise LinkBroken("prefill", upstream.name, OTHER_REQUEST)
        if response.status != OK_STATUS:
            raise PeerRefused("prefill", upstream.name, f"status {response.status}")
        if metadata.request_id is None:
            raise LinkBroken("prefill", upstream.name, "response without a request id")
        handle = self._dialect.read_kv_handle(bytes(body))
        if handle is None:
            raise LinkBroken("prefill", upstream.name, "response without a handle")
        return handle

    async def _call(
        self,
        upstream: UpstreamRecord,
        call: EngineCall,
        step: str,
        timeout_s: float,
        new_connection: bool = False,
    ) -> HttpResponse:
        """Call an engine's control interface, whose responses name no request.

        Raises:
            LinkError: There was no response, or only one to a request.
        """
        headers = [("content-type", "application/json")] if call.body else []
        sent_at = trio.current_time()
        response = await self._client.call(
            upstream.address,
            call.method,
            call.path,
            step=step,
            timeout_s=timeout_s,
            body=call.body,
            headers=headers,
            new_connection=new_connection,
        )
        raw_headers = [(key.encode(), value.encode("latin-1")) for key, value in response.headers]
        if self._dialect.read_response(response.status, raw_headers).request_id is not None:
            raise LinkBroken(step, upstream.name, OTHER_REQUEST)
        self._signals.read(upstream, response.status, raw_headers, sent_at)
        return response

    def _release(self, upstream: UpstreamRecord, call: EngineCall, step: str) -> None:
        self._nursery.start_soon(self._release_now, upstream, call, step)

    async def _release_now(self, upstream: UpstreamRecord, call: EngineCall, step: str) -> None:
        try:
            await self._call(upstream, call, step, RELEASE_TIMEOUT_S)
        except LinkError as error:
            # The engine frees the resource itself when its lease expires.
            log_event(
                _log, logging.INFO, "give-back failed", step=step, peer=upstream.name, detail=error
            )
