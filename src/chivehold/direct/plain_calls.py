"""Requests to plain services, with retries and hedging where the request is retryable."""

import math

import trio

from chivehold.core.direct.fleet import Fleet
from chivehold.core.direct.messages import Dialect, Stage, UpstreamRecord
from chivehold.core.direct.shared_retries import SharedRetryBudget
from chivehold.direct.crash_watch import (
    MAX_ENDS_UNDER_REQUEST,
    MAX_ENDS_UNDER_SUSPECT,
    CrashWatch,
)
from chivehold.direct.exchange import Exchange, Reply
from chivehold.direct.metrics import DirectMetrics
from chivehold.direct.plain_attempts import (
    MIN_ERROR_STATUS,
    AttemptResult,
    BrokenCall,
    CompleteResponse,
    PlainAttempts,
)
from chivehold.direct.refusals import (
    MAX_RETRY_AFTER_S,
    Refusal,
    not_run_refusal,
    send_refusal,
    unknown_outcome_refusal,
)
from chivehold.direct.room_waiting import RoomWaiting
from chivehold.direct.signals import SignalReader
from chivehold.http_client import HttpClient

MIN_TIME_LEFT_S = 0.02
"""A request with less time left is not sent, because it cannot be answered in time."""
MAX_UNREACHED = 4
"""Unreachable upstreams that a request may skip, outside the retry budget, before it is refused."""
HEDGE_DELAY_SHARE = 0.45
"""Share of the latency target after which a hedged request goes to a second upstream."""
HEDGE_FACTOR = 2.0
"""A request is not hedged before this multiple of what its upstream usually takes."""
FULL_RETRY_S = 0.25
NO_UPSTREAM_RETRY_S = 0.5


class PlainCalls:
    """Forwards requests to the upstreams of plain services.

    Args:
        fleet: The upstreams.
        client: Sends the calls.
        dialect: The wire format of the calls.
        signals: Reads the headers of all responses.
        retries: Limits the retries.
        metrics: Counts attempts.
        crashes: Watches the attempts for those that end their upstream.
    """

    def __init__(
        self,
        fleet: Fleet,
        client: HttpClient,
        dialect: Dialect,
        signals: SignalReader,
        retries: SharedRetryBudget,
        metrics: DirectMetrics,
        crashes: CrashWatch,
    ) -> None:
        self._fleet = fleet
        self._dialect = dialect
        self._retries = retries
        self._crashes = crashes
        self._room = RoomWaiting(fleet)
        self._attempts = PlainAttempts(
            fleet, client, dialect, signals, metrics, crashes, self._room
        )

    async def serve(self, exchange: Exchange, reply: Reply) -> str:
        """Answer a request, and return its outcome for logs and metrics."""
        exchange = await self._crashes.admit(exchange)
        response = self._crashes.refusal(exchange) or await _HedgedCall(self, exchange).run()
        if isinstance(response, CompleteResponse):
            headers = self._dialect.response_headers(response.headers)
            await reply.send_full(response.status, headers, response.body)
            return "answered" if response.status < MIN_ERROR_STATUS else "upstream_error"
        await send_refusal(reply, response)
        return response.reason

    def drain(self, waits_end_at: float) -> None:
        """Refuse the requests that would wait beyond a time for room."""
        self._room.drain(waits_end_at)

    def next_upstream(self, exchange: Exchange, tried: set[str]) -> UpstreamRecord | None:
        """Return the best upstream with room that has not been tried, or ``None``."""
        ranked = self._fleet.with_room(exchange.service, trio.current_time(), tried)
        return ranked[0] if ranked else None

    async def wait_for_room(self, exchange: Exchange) -> Refusal | None:
        """Wait until an upstream has room, or return why the request is refused."""
        return await self._room.wait(exchange)

    def usual_response_s(self, upstream: UpstreamRecord) -> float:
        """Return how long an upstream takes; 0 where none of its service reports its load."""
        now = trio.current_time()
        available = self._fleet.available(upstream.service, Stage.NONE, now)
        if not any(self._fleet.reports_load(other, now) for other in available):
            return 0.0
        return self._fleet.service_time_s(upstream, now)

    def try_spend_retry(self, exchange: Exchange) -> bool:
        """Spend one retry, or return ``False`` if the shared budget is exhausted."""
        return self._retries.try_spend(exchange.service, trio.current_time())

    def retry_after_s(self, exchange: Exchange, least_s: float) -> float:
        """Return when a refused caller should come back, in seconds.

        Args:
            exchange: The request.
            least_s: The shortest time, for upstreams that say nothing of their own.
        """
        wait_s = self._fleet.wait_s(exchange.service, Stage.NONE, trio.current_time())
        return min(MAX_RETRY_AFTER_S, max(wait_s or 0.0, least_s))

    @property
    def crashes(self) -> CrashWatch:
        """Watches the attempts for those that end their upstream."""
        return self._crashes

    @property
    def attempts(self) -> PlainAttempts:
        """Sends the requests, each attempt by itself."""
        return self._attempts


class _HedgedCall:
    """The attempts at one request, of which at most two run at a time."""

    def __init__(self, calls: PlainCalls, exchange: Exchange) -> None:
        self._calls = calls
        self._exchange = exchange
        self._tried: set[str] = set()
        self._running = 0
        self._possible_runs = 0
        self._is_suspect = exchange.trial_of is not None or calls.crashes.is_suspect(exchange)
        """Whether an upstream has ended under this request; it is not hedged then."""
        self._ends_left = MAX_ENDS_UNDER_SUSPECT if self._is_suspect else MAX_ENDS_UNDER_REQUEST
        self._unreached = 0
        self._error_response: CompleteResponse | None = None
        self._send, self._results = trio.open_memory_channel[AttemptResult](math.inf)

    async def run(self) -> CompleteResponse | Refusal:
        """Return an upstream's response, or a refusal if there is none."""
        if self._exchange.time_left_s() < MIN_TIME_LEFT_S:
            return not_run_refusal("too_late", "no time is left", FULL_RETRY_S)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            response = await self._await_response()
            nursery.cancel_scope.cancel()
        return response

    async def _await_response(self) -> CompleteResponse | Refusal:
        if refusal := await self._calls.wait_for_room(self._exchange):
            return refusal
        upstream = self._start_attempt()
        if upstream is None:
            return self._not_run("no_upstream", "no upstream takes requests", NO_UPSTREAM_RETRY_S)
        hedge_at = self._hedge_at(upstream)
        while self._running:
            if self._is_suspect:
                hedge_at = math.inf
            result = await self._next_result(min(hedge_at, self._exchange.expires_at))
            if result is None:
                if self._exchange.time_left_s() <= 0:
                    return self._timed_out()
                hedge_at = math.inf
                self._retry("slow")
                continue
            self._running -= 1
            response = self._handle_result(result)
            if response is not None:
                return response
        return self._final_failure()

    async def _next_result(self, until: float) -> AttemptResult | None:
        with trio.move_on_at(until):
            return await self._results.receive()
        return None

    def _handle_result(self, result: AttemptResult) -> CompleteResponse | None:
        """Return the response to forward, or ``None`` after retrying if possible."""
        if isinstance(result, CompleteResponse):
            if result.status < MIN_ERROR_STATUS:
                return result
            self._error_response = result
            self._possible_runs += 1
            self._retry("upstream error")
        elif isinstance(result, BrokenCall):
            self._possible_runs += 1
            if result.ended:
                self._is_suspect = True
                self._ends_left -= 1
            if self._ends_left > 0:
                self._retry("broken")
        elif result.sent:
            self._retry("refused", may_have_run=False)
        else:
            self._unreached += 1
            if self._unreached <= MAX_UNREACHED:
                self._start_attempt()
        return None

    def _retry(self, reason: str, may_have_run: bool = True) -> None:
        """Start another attempt if the request is retryable and the limits and the budget allow it.

        Args:
            reason: Logged with the retry.
            may_have_run: Whether an attempt may have run the request; if not, it may be sent
                again even if it is not retryable.
        """
        exchange = self._exchange
        if may_have_run and (exchange.trial_of is not None or not exchange.route.retryable):
            return
        if self._possible_runs + self._running >= exchange.route.max_upstreams:
            return
        if exchange.time_left_s() < MIN_TIME_LEFT_S:
            return
        if self._calls.next_upstream(exchange, self._tried) is None:
            return
        if not self._calls.try_spend_retry(exchange):
            exchange.log("retry budget spent", reason=reason)
            return
        exchange.log("request repeated", reason=reason)
        self._start_attempt()

    def _start_attempt(self) -> UpstreamRecord | None:
        upstream = self._calls.next_upstream(self._exchange, self._tried)
        if upstream is None:
            return None
        self._tried.add(upstream.name)
        self._running += 1
        self._calls.attempts.record_start(upstream)
        self._exchange.log("attempt started", peer=upstream.name)
        self._nursery.start_soon(self._attempt, upstream)
        return upstream

    async def _attempt(self, upstream: UpstreamRecord) -> None:
        self._send.send_nowait(await self._calls.attempts.send(self._exchange, upstream))

    def _hedge_at(self, upstream: UpstreamRecord) -> float:
        """Return when to hedge; later at an upstream that is known to be slow."""
        route = self._exchange.route
        if not route.retryable or route.max_upstreams < 2:
            return math.inf
        hedge_at = self._exchange.arrived_at + HEDGE_DELAY_SHARE * route.latency_target_s
        usual_s = self._calls.usual_response_s(upstream)
        return max(hedge_at, trio.current_time() + HEDGE_FACTOR * usual_s) if usual_s else hedge_at

    def _timed_out(self) -> Refusal:
        return unknown_outcome_refusal(504, "timeout", "no upstream answered in time")

    def _final_failure(self) -> CompleteResponse | Refusal:
        if self._error_response is not None:
            return self._error_response
        if self._possible_runs:
            return unknown_outcome_refusal(502, "broken", "the upstream's answer broke off")
        return self._not_run("full", "no upstream has room", FULL_RETRY_S)

    def _not_run(self, reason: str, message: str, least_retry_s: float) -> Refusal:
        retry_after_s = self._calls.retry_after_s(self._exchange, least_retry_s)
        return not_run_refusal(reason, message, retry_after_s)
