"""Answers operators where a request would be routed now and why, without sending it.

What changes state when a request is served is tried on copies; see ``core.direct.explanation``.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Annotated, NotRequired, TypedDict

import msgspec
import trio

from chivehold.core.direct.explanation import (
    Candidate,
    ServiceNeeds,
    dry_run_copy,
    explain_candidates,
    queue_position,
)
from chivehold.core.direct.fleet import Fleet
from chivehold.core.direct.messages import Dialect, RequestMetadata, Stage
from chivehold.core.direct.organisations import KeyFault, Organisation
from chivehold.core.direct.routes import CallKind, EngineConfig, Route, RouteIndex, choose_service
from chivehold.core.direct.waiting import Waiter
from chivehold.core.untrusted_json import decode_json
from chivehold.direct.exchange import Exchange
from chivehold.direct.prefills import PrefillScheduler
from chivehold.direct.reservations import EngineMemoryReserver
from chivehold.direct.stream_calls import StreamCalls

MAX_QUESTION_BYTES = 65_536
_Text = Annotated[str, msgspec.Meta(max_length=4_096)]
_Tokens = Annotated[int, msgspec.Meta(ge=0, le=10**12)]


class QuestionJson(TypedDict):
    """A request to explain."""

    host: _Text
    path: _Text
    method: NotRequired[_Text]
    headers: NotRequired[dict[str, _Text]]
    organisation: NotRequired[_Text | None]
    """Name of the caller's organisation."""
    request: NotRequired[_Text]
    """The request's id, by which its service is chosen."""
    prompt_tokens: NotRequired[_Tokens]
    output_tokens: NotRequired[_Tokens]
    software: NotRequired[_Text | None]
    """Version of the software at which a stream has to go on."""


def decode_question(body: bytes) -> QuestionJson:
    """Parse the description of a request to explain.

    Raises:
        msgspec.DecodeError: It is none.
    """
    return decode_json(body, QuestionJson)


Explanation = dict[str, object]
ExplanationPart = Callable[[Exchange], Mapping[str, object]]
"""Returns further fields of the explanation of a request; must not change any state."""


class Explainer:
    """Explains the routing of requests.

    Args:
        dialect: The wire format of requests.
        routes: Returns the routes in force, or ``None`` if there are none yet.
        fleet: The upstreams.
        streams: Serves streams.
        reserver: Reserves memory for streams.
        prefills: Chooses prefill engines.
        parts: What else the entry knows, such as quotas.
    """

    def __init__(
        self,
        dialect: Dialect,
        routes: Callable[[], RouteIndex | None],
        fleet: Fleet,
        streams: StreamCalls,
        reserver: EngineMemoryReserver,
        prefills: PrefillScheduler,
        parts: Sequence[ExplanationPart] = (),
    ) -> None:
        self._dialect = dialect
        self._routes = routes
        self._fleet = fleet
        self._streams = streams
        self._reserver = reserver
        self._prefills = prefills
        self._parts = parts

    def explain(self, question: QuestionJson) -> Explanation:
        """Return where a request would go now and why."""
        routes = self._routes()
        if routes is None:
            return {"outcome": "503: no configuration is known yet", "unknown": ["the routes"]}
        asked: Explanation = {"configuration": routes.table.version}
        route = routes.find(question["host"], question["path"])
        if route is None:
            return asked | {"outcome": "404: no route has this host and path"}
        asked["route"] = route.name
        metadata = self._metadata(question)
        identified = _identify(routes, question.get("organisation"), metadata)
        if isinstance(identified, KeyFault) and routes.needs_key(route):
            return asked | {"outcome": f"401: key {identified}"}
        organisation = None if isinstance(identified, KeyFault) else identified
        exchange = _exchange(question, metadata, route, routes, organisation)
        asked |= {
            "organisation": organisation.name if organisation else None,
            "priority": exchange.priority,
            "service": exchange.service,
            "services": {split.service: split.weight for split in route.splits},
        }
        for part in self._parts:
            asked |= part(exchange)
        engine_config = routes.table.engine_config(exchange.service)
        if engine_config is not None and route.kind is CallKind.STREAM:
            asked |= self._explain_stream(exchange, engine_config)
        else:
            asked |= self._explain_plain(exchange)
        return asked | {"unknown": list(_unknown(exchange))}

    def _explain_plain(self, exchange: Exchange) -> Explanation:
        now = trio.current_time()
        candidates = explain_candidates(self._fleet, ServiceNeeds(exchange.service), now)
        wait_s = dry_run_copy(self._fleet).wait_s(exchange.service, Stage.NONE, now)
        return {
            "outcome": _outcome(candidates),
            "expected_wait_s": wait_s,
            "candidates": [_candidate_json(candidate) for candidate in candidates],
        }

    def _explain_stream(self, exchange: Exchange, engine_config: EngineConfig) -> Explanation:
        now = trio.current_time()
        waiter = self._waiter(exchange, engine_config)
        needs = ServiceNeeds(exchange.service, Stage.DECODE, waiter.tokens, exchange.software)
        candidates = [
            self._with_waiting_streams(candidate, exchange)
            for candidate in explain_candidates(self._fleet, needs, now)
        ]
        prefill = self._prefills.dry_run(exchange) if exchange.route.separate_prefill else None
        expected_s = {} if prefill is None else prefill.expected_s
        prefill_needs = ServiceNeeds(exchange.service, Stage.PREFILL)
        prefill_engines = explain_candidates(self._fleet, prefill_needs, now)
        position, waiting = self._queue_position(exchange, waiter)
        fleet = dry_run_copy(self._fleet)
        reserver = self._reserver.with_fleet(fleet)
        refusal = reserver.refusal_without_engine(exchange.service, waiter)
        wait_s = fleet.wait_s(exchange.service, Stage.DECODE, now, exchange.software)
        return {
            "outcome": f"503: {refusal.reason}" if refusal else _outcome(candidates),
            "retry_after_s": refusal.retry_after_s if refusal else None,
            "tokens": waiter.tokens,
            "queue_position": position,
            "waiting": waiting,
            "expected_wait_s": wait_s,
            "prefill": prefill.engine if prefill else None,
            "candidates": [_candidate_json(candidate) for candidate in candidates],
            "prefill_candidates": [
                _candidate_json(candidate) | {"expected_s": expected_s.get(candidate.upstream.name)}
                for candidate in prefill_engines
                if candidate.upstream.stage is Stage.PREFILL
            ],
        }

    def _waiter(self, exchange: Exchange, engine_config: EngineConfig) -> Waiter:
        """Return what would wait for memory."""
        waiter = self._streams.dry_run_waiter(exchange, engine_config)
        return waiter._replace(
            software=exchange.software, has_started=exchange.software is not None
        )

    def _with_waiting_streams(self, candidate: Candidate, exchange: Exchange) -> Candidate:
        """Return an engine as excluded if streams that need its version wait for it."""
        if candidate.rank is None or exchange.software is not None:
            return candidate
        if not self._reserver.is_waited_for(candidate.upstream):
            return candidate
        return candidate._replace(
            rank=None, excluded="streams that need its version of the software wait for it"
        )

    def _queue_position(self, exchange: Exchange, waiter: Waiter) -> tuple[int, int]:
        """Return the position that a request would have, and how many wait now."""
        waiting = self._reserver.waiting(exchange.service, exchange.software)
        if waiting is None:
            return 1, 0
        return queue_position(waiting, waiter, trio.current_time()), len(waiting)

    def _metadata(self, question: QuestionJson) -> RequestMetadata:
        headers = [
            (name.lower().encode("latin-1", "replace"), value.encode())
            for name, value in question.get("headers", {}).items()
        ]
        metadata = self._dialect.read_request(headers)
        return metadata._replace(
            request_id=question.get("request") or metadata.request_id,
            prompt_tokens=question.get("prompt_tokens", metadata.prompt_tokens),
            max_output_tokens=question.get("output_tokens", metadata.max_output_tokens),
        )


def _identify(
    routes: RouteIndex, name: str | None, metadata: RequestMetadata
) -> Organisation | KeyFault:
    if name is None:
        return routes.identify(metadata.api_key)
    named = (known for known in routes.table.organisations if known.name == name)
    return next(named, KeyFault.UNKNOWN)


def _exchange(
    question: QuestionJson,
    metadata: RequestMetadata,
    route: Route,
    routes: RouteIndex,
    organisation: Organisation | None,
) -> Exchange:
    now = trio.current_time()
    limit_s = min(route.timeout_s, metadata.deadline_s or route.timeout_s)
    return Exchange(
        metadata=metadata,
        route=route,
        service=choose_service(route.splits, metadata.resumes or metadata.request_id),
        configuration=routes.table.version,
        host=question["host"],
        method=question.get("method", "POST"),
        target=question["path"].encode("latin-1", "replace"),
        headers=(),
        body=b"",
        arrived_at=now,
        expires_at=now + limit_s,
        waited_before_s=0.0,
        software=question.get("software"),
        organisation=organisation,
    )


def _outcome(candidates: Sequence[Candidate]) -> str:
    if not candidates:
        return "503: the service has no upstreams"
    first = next((candidate for candidate in candidates if candidate.rank is not None), None)
    if first is None:
        return "503: no upstream takes requests"
    return f"asked first: {first.upstream.name}"


def _candidate_json(candidate: Candidate) -> Explanation:
    return {
        "rank": candidate.rank,
        "upstream": candidate.upstream.name,
        "zone": candidate.upstream.zone,
        "excluded": candidate.excluded,
        **candidate.state,
    }


def _unknown(exchange: Exchange) -> Iterator[str]:
    yield "work of other entries at the upstreams, except as it shows in response times"
    yield "whether the content of the body is quarantined"
    if len(exchange.route.splits) > 1 and not exchange.request_id:
        yield "the request's id, by which the service is chosen"
    if exchange.metadata.is_resumption and exchange.software is None:
        yield "the version of the software that began the stream, which the store may have"
    if exchange.route.kind is CallKind.STREAM:
        yield "the free memory of the engines, which are asked for each request"
        yield "how long the requests that wait for memory will wait"
