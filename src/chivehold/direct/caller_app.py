"""The ASGI application that serves callers."""

import logging
from collections.abc import Callable
from random import Random

import trio

from chivehold.asgi import (
    Receive,
    Scope,
    Send,
    read_body,
    wait_for_disconnect,
)
from chivehold.bodies import BodyBudget, declared_body_bytes
from chivehold.core.direct.crash_keys import prompt_part_keys, request_key
from chivehold.core.direct.messages import Dialect, RawHeaders, RequestMetadata
from chivehold.core.direct.organisations import KeyFault, Organisation
from chivehold.core.direct.returning_callers import ReturnDetector
from chivehold.core.direct.routes import CallKind, Route, RouteIndex, choose_service
from chivehold.core.direct.shared_retries import SharedRetryBudget
from chivehold.direct.draining import UnansweredRequests, drain_refusal
from chivehold.direct.exchange import Exchange, Reply, RequestProgress
from chivehold.direct.metrics import DirectMetrics
from chivehold.direct.plain_calls import PlainCalls
from chivehold.direct.quota_gate import QuotaGate
from chivehold.direct.refusals import (
    KEY_REVOKED,
    NO_REQUEST_ID,
    NO_ROUTE,
    Refusal,
    not_run_refusal,
    send_refusal,
    unidentified_refusal,
)
from chivehold.direct.revocations import Revocations
from chivehold.direct.stream_calls import StreamCalls
from chivehold.exceptions import BudgetSpent
from chivehold.logs import log_event

NOT_READY_RETRY_S = 0.5
BODIES_FULL_RETRY_S = 1.0
DEPARTED = "departed"

_log = logging.getLogger(__name__)


class CallerApp:
    """Routes callers' requests and answers them.

    Args:
        dialect: The wire format of requests.
        plain: Serves plain services.
        streams: Serves streams of model services.
        retries: Counts each request for the retry budget.
        metrics: Counts and measures requests.
        bodies: Limits the memory held by the bodies and answers of all requests in progress.
        configuration_age_s: Returns the seconds since the store last confirmed the routes, or
            ``None`` if it never did.
        quota_gate: Admits the requests within the quota of their organisation.
        revocations: Ends the requests whose key is removed.
        rng: Source of the jitter.
    """

    def __init__(
        self,
        dialect: Dialect,
        plain: PlainCalls,
        streams: StreamCalls,
        retries: SharedRetryBudget,
        metrics: DirectMetrics,
        bodies: BodyBudget,
        configuration_age_s: Callable[[], float | None],
        quota_gate: QuotaGate,
        revocations: Revocations,
        rng: Random,
    ) -> None:
        self._dialect = dialect
        self._plain = plain
        self._streams = streams
        self._retries = retries
        self._metrics = metrics
        self._bodies = bodies
        self._configuration_age_s = configuration_age_s
        self._quota_gate = quota_gate
        self._revocations = revocations
        self._rng = rng
        self._return_detector = ReturnDetector()
        self._routes: RouteIndex | None = None
        self._unanswered = UnansweredRequests()
        self._is_draining = False
        self._in_progress = 0

    @property
    def in_progress(self) -> int:
        """Number of requests that have not been answered completely."""
        return self._in_progress

    @property
    def configuration(self) -> int:
        """Version of the routes in force; 0 if there are none yet."""
        return self._routes.table.version if self._routes else 0

    @property
    def routes(self) -> RouteIndex | None:
        """The routes in force, or ``None`` if there are none yet."""
        return self._routes

    def apply_routes(self, routes: RouteIndex) -> None:
        """Use these routes for all new requests."""
        self._routes = routes
        self._revocations.apply_routes(routes)
        self._return_detector.forget_routes_except(
            frozenset(route.name for route in routes.table.routes)
        )

    def drain(self, waits_end_at: float) -> None:
        """Close each connection after its next response, and let no request wait beyond a time."""
        self._is_draining = True
        self._plain.drain(waits_end_at)
        self._streams.drain(waits_end_at)

    def end_unanswered(self) -> None:
        """Refuse the requests in progress whose response has not begun."""
        self._unanswered.end()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI request."""
        self._in_progress += 1
        try:
            await self._answer(scope, receive, Reply(send, lambda: self._is_draining))
        finally:
            self._in_progress -= 1

    async def _answer(self, scope: Scope, receive: Receive, reply: Reply) -> None:
        arrived_at = trio.current_time()
        routes = self._routes
        if routes is None:
            await send_refusal(
                reply, not_run_refusal("not_ready", "no routes yet", NOT_READY_RETRY_S)
            )
            return
        headers: RawHeaders = scope["headers"]
        metadata = self._dialect.read_request(headers)
        route = routes.find(_host(headers), scope["raw_path"].decode("latin-1"))
        if route is None:
            await self._refuse(metadata, NO_ROUTE, routes, reply)
            return
        identified = routes.identify(metadata.api_key)
        if isinstance(identified, KeyFault) and routes.needs_key(route):
            await self._refuse_key(metadata, identified, routes, reply)
            return
        organisation = None if isinstance(identified, KeyFault) else identified
        if not metadata.request_id:
            await self._refuse(metadata, NO_REQUEST_ID, routes, reply)
            return
        charge = self._quota_gate.admit(organisation, metadata)
        if isinstance(charge, Refusal):
            self._metrics.count_request(route.kind, charge.reason)
            await send_refusal(reply, charge)
            return
        progress = RequestProgress()
        try:
            await self._read_and_serve(
                scope, receive, reply, metadata, route, routes, organisation, arrived_at, progress
            )
        finally:
            if charge is not None and (reply.has_not_run or not progress.was_sent):
                self._quota_gate.refund(charge)

    async def _read_and_serve(
        self,
        scope: Scope,
        receive: Receive,
        reply: Reply,
        metadata: RequestMetadata,
        route: Route,
        routes: RouteIndex,
        organisation: Organisation | None,
        arrived_at: float,
        progress: RequestProgress,
    ) -> None:
        """Read a request's body and serve the request."""
        max_body_bytes = routes.table.max_body_bytes
        try:
            with self._bodies.reserve(declared_body_bytes(scope, max_body_bytes)) as reserved:
                body = await read_body(receive, max_body_bytes, on_size=reserved.grow_to)
                exchange = self._build_exchange(
                    scope, metadata, route, routes, organisation, body, arrived_at
                )._replace(progress=progress, memory=reserved)
                await self._serve_until_disconnect(exchange, receive, reply, routes)
        except BudgetSpent as error:
            refusal = not_run_refusal("bodies_full", error.detail, BODIES_FULL_RETRY_S)
            await self._refuse(metadata, refusal, routes, reply)

    def _build_exchange(
        self,
        scope: Scope,
        metadata: RequestMetadata,
        route: Route,
        routes: RouteIndex,
        organisation: Organisation | None,
        body: bytes,
        arrived_at: float,
    ) -> Exchange:
        query = scope["query_string"]
        target = scope["raw_path"] + (b"?" + query if query else b"")
        host = _host(scope["headers"]).encode("latin-1")
        headers: RawHeaders = scope["headers"]
        name = organisation.name if organisation else None
        if routes.table.has_organisations:
            headers = self._dialect.identified_headers(headers, name)
        content_key = request_key(host, target, headers, body, name or "")
        limit_s = route.timeout_s
        if metadata.deadline_s is not None:
            limit_s = min(limit_s, metadata.deadline_s)
        return Exchange(
            metadata=metadata,
            route=route,
            # A resumed stream goes to the service that its first request was sent to.
            service=choose_service(route.splits, metadata.resumes or metadata.request_id),
            configuration=routes.table.version,
            host=_host(scope["headers"]),
            method=scope["method"],
            target=target,
            headers=headers,
            body=body,
            arrived_at=arrived_at,
            expires_at=arrived_at + limit_s,
            waited_before_s=self._return_detector.waited_before_s(route.name, metadata.deadline_s),
            crash_keys=(content_key, *prompt_part_keys(metadata.prompt_parts)),
            organisation=organisation,
        )

    async def _serve_until_disconnect(
        self, exchange: Exchange, receive: Receive, reply: Reply, routes: RouteIndex
    ) -> None:
        """Serve a request, and cancel all work on it when the caller disconnects."""
        exchange.log(
            "request routed",
            route=exchange.route.name,
            service=exchange.service,
            organisation=exchange.organisation.name if exchange.organisation else None,
            configuration=exchange.configuration,
            left_ms=round(exchange.time_left_s() * 1_000),
            waited_before_ms=round(exchange.waited_before_s * 1_000) or None,
            tokens=exchange.metadata.prompt_tokens or None,
            hint=exchange.metadata.output_tokens_hint,
            after_event=exchange.metadata.last_event,
            resumes=exchange.metadata.resumes,
        )
        outcome = DEPARTED
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
            scope = nursery.cancel_scope
            with (
                self._revocations.watch(exchange, scope) as watched,
                self._unanswered.watch(reply, scope) as unanswered,
            ):
                outcome = await self._serve(exchange, reply, routes)
            nursery.cancel_scope.cancel()
        if watched.is_revoked and outcome == DEPARTED:
            outcome = KEY_REVOKED.reason
            if not reply.started:
                await send_refusal(reply, KEY_REVOKED)
        elif unanswered.was_ended and outcome == DEPARTED:
            refusal = drain_refusal(exchange.may_have_run, self._rng)
            outcome = refusal.reason
            await send_refusal(reply, refusal)
        self._metrics.count_request(exchange.route.kind, outcome)
        exchange.log("request ended", outcome=outcome)

    async def _serve(self, exchange: Exchange, reply: Reply, routes: RouteIndex) -> str:
        self._retries.count_request(exchange.service, exchange.arrived_at)
        engine_config = routes.table.engine_config(exchange.service)
        if engine_config is not None and exchange.route.kind is CallKind.STREAM:
            return await self._streams.serve(exchange, reply, engine_config)
        outcome = await self._plain.serve(exchange, reply)
        self._metrics.observe_response_time(exchange.route.kind, exchange.age_s())
        return outcome

    async def _refuse(
        self,
        metadata: RequestMetadata,
        refusal: Refusal,
        routes: RouteIndex,
        reply: Reply,
        configuration_age_ms: int | None = None,
    ) -> None:
        log_event(
            _log,
            logging.INFO,
            "request refused",
            request=metadata.request_id,
            reason=refusal.reason,
            configuration=routes.table.version,
            configuration_age_ms=configuration_age_ms,
        )
        await send_refusal(reply, refusal)

    async def _refuse_key(
        self, metadata: RequestMetadata, fault: KeyFault, routes: RouteIndex, reply: Reply
    ) -> None:
        self._metrics.count_unidentified(fault)
        age_s = self._configuration_age_s()
        await self._refuse(
            metadata,
            unidentified_refusal(fault),
            routes,
            reply,
            configuration_age_ms=None if age_s is None else round(age_s * 1_000),
        )


def _host(headers: RawHeaders) -> str:
    return next((value.decode("latin-1") for name, value in headers if name == b"host"), "")


async def _cancel_on_disconnect(receive: Receive, scope: trio.CancelScope) -> None:
    await wait_for_disconnect(receive)
    scope.cancel()
