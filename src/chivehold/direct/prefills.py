"""Choice of a prefill engine for each prompt, and the prefill there."""

import logging
from collections.abc import Callable, Mapping
from copy import copy, deepcopy
from typing import NamedTuple

import trio

from chivehold.core.direct.explanation import dry_run_copy
from chivehold.core.direct.fleet import Fleet
from chivehold.core.direct.local_prefill import LocalPrefills
from chivehold.core.direct.messages import (
    Stage,
    UpstreamIncarnation,
    UpstreamRecord,
    incarnation_of,
)
from chivehold.core.direct.pace import PaceMonitor
from chivehold.core.direct.prefill_load import PrefillLoad
from chivehold.core.direct.shared_retries import SharedRetryBudget
from chivehold.direct.engines import EngineClient, PrefilledCache
from chivehold.direct.exchange import Exchange
from chivehold.direct.metrics import DirectMetrics
from chivehold.exceptions import PeerRefused
from chivehold.http_client import LinkError
from chivehold.logs import log_event

_log = logging.getLogger(__name__)

PATIENT_SHARE = 0.3
"""Share of a route's latency target that a prompt may spend at a prefill engine.

It applies while decode engines can prefill without making their streams late.
"""
DISTURBED_PATIENT_SHARE = 0.8
"""The same share while such prefills make streams late; the first event can still be on time."""
FAILED_PAUSE_S = 0.8
"""How long an engine is avoided after a failed prefill."""
REFUSED_PAUSE_S = 3.0
"""How long an engine is avoided that refused a prefill, as it does during a change of its stage."""
NOT_FETCHED_PAUSE_S = 2.0
"""How long an engine is avoided after one of its KV caches expired or could not be fetched."""


class PlannedPrefill(NamedTuple):
    """Where a prompt would be prefilled now."""

    engine: str | None
    """Name of the engine; ``None`` if the decode engine would do it."""
    expected_s: Mapping[str, float]
    """How long each engine would take, by its name, in seconds."""


class PrefillScheduler:
    """Chooses a prefill engine for each prompt and runs the prefill there.

    Args:
        fleet: The engines.
        engines: Client of the engines.
        metrics: Records the durations.
        entries: Returns the number of entries that share the prefill engines.
        retries: Charged for refused prefills, which count as retries.
    """

    def __init__(
        self,
        fleet: Fleet,
        engines: EngineClient,
        metrics: DirectMetrics,
        entries: Callable[[], int],
        retries: SharedRetryBudget,
    ) -> None:
        self._fleet = fleet
        self._engines = engines
        self._metrics = metrics
        self._entries = entries
        self._retries = retries
        self._loads: dict[str, PrefillLoad] = {}
        self._paces: dict[str, PaceMonitor] = {}
        self._local_prefills: dict[str, LocalPrefills] = {}

    async def run(self, exchange: Exchange) -> PrefilledCache | None:
        """Prefill a prompt, or return ``None`` if the decode engine has to prefill it.

        No second prefill engine is tried after a failure, because falling back to the decode engine
        does not use the retry budget.
        """
        load = self._load_of(exchange.service)
        upstream = self._choose_engine(load, exchange)
        if upstream is None:
            exchange.log("prefill left to decode engine")
            return None
        return await self._prefill_at(load, exchange, upstream)

    def record_local_prefill(
        self, exchange: Exchange, upstream: UpstreamRecord, took_s: float
    ) -> None:
        """Record the time to the first event of a prompt that its decode engine prefilled.

        Only where engines report how slow they are now: elsewhere they count as equally fast, and
        a separate prefill is always the faster one.
        """
        if self._fleet.loads.reports_slowness(incarnation_of(upstream)):
            local = self._local_prefills_of(exchange.service)
            local.record(exchange.metadata.prompt_tokens, took_s)

    def dry_run(self, exchange: Exchange) -> PlannedPrefill:
        """Return where a prompt would be prefilled now, without changing any state."""
        copied = copy(self)
        copied._fleet = dry_run_copy(self._fleet)
        copied._loads, copied._paces, copied._local_prefills = deepcopy(
            (self._loads, self._paces, self._local_prefills)
        )
        load = copied._load_of(exchange.service)
        chosen = copied._choose_engine(load, exchange)
        tokens, now = exchange.metadata.prompt_tokens, trio.current_time()
        engines = self._fleet.upstreams
        return PlannedPrefill(
            chosen.name if chosen else None,
            {
                engine.name: load.expected_s(incarnation_of(engine), tokens, now)
                for engine in engines
                if engine.service == exchange.service and engine.stage is Stage.PREFILL
            },
        )

    def record_not_fetched(self, exchange: Exchange, prefilled: PrefilledCache) -> None:
        """Suspend the prefill engine whose KV cache a decode engine could not fetch."""
        self._fleet.suspend(prefilled.upstream, trio.current_time() + NOT_FETCHED_PAUSE_S)
        exchange.log("KV cache not fetched", peer=prefilled.upstream.name)

    def record_pace(
        self, upstream: UpstreamRecord, is_late: bool, s_per_event: float | None
    ) -> None:
        """Record a stream that finished on time, or one whose first late gap has just ended."""
        if s_per_event is not None:
            self._fleet.record_event_time(upstream, s_per_event)
        pace, now = self._pace_of(upstream.service), trio.current_time()
        was_disturbed = pace.is_disturbed(now)
        pace.record_stream(upstream.name, is_late, now)
        if pace.is_disturbed(now) and not was_disturbed:
            log_event(
                _log,
                logging.INFO,
                "streams disturbed",
                service=upstream.service,
                peer=upstream.name,
            )

    def _choose_engine(self, load: PrefillLoad, exchange: Exchange) -> UpstreamRecord | None:
        """Return the engine to use, or ``None`` to leave the prompt to the decode engine."""
        now = trio.current_time()
        ranked = self._fleet.ranked(exchange.service, Stage.PREFILL, now)
        healthy = {
            incarnation_of(engine): engine
            for engine in ranked
            if not self._fleet.is_suspended(engine, now)
        }
        tokens, entries = exchange.metadata.prompt_tokens, self._entries()
        is_disturbed = self._pace_of(exchange.service).is_disturbed(now)
        share = DISTURBED_PATIENT_SHARE if is_disturbed else PATIENT_SHARE
        patience_s = share * exchange.route.latency_target_s

        def expected_s(engine: UpstreamIncarnation) -> float:
            expected_s = load.expected_s(engine, tokens, now)
            return expected_s * self._fleet.zone_factor(healthy[engine], now)

        usable = (
            engine
            for engine in sorted(healthy, key=expected_s)
            if load.may_use(engine, tokens, len(healthy), entries, patience_s, now)
        )
        chosen = next(usable, None)
        if chosen is None or self._is_local_sooner(load.expected_s(chosen, tokens, now), exchange):
            return None
        return healthy[chosen]

    def _is_local_sooner(self, separate_s: float, exchange: Exchange) -> bool:
        """Return whether the decode engine is to prefill the prompt, as that is sooner done."""
        if self._pace_of(exchange.service).is_disturbed(trio.current_time()):
            return False
        local = self._local_prefills_of(exchange.service)
        return local.is_sooner(exchange.metadata.prompt_tokens, separate_s)

    def _local_prefills_of(self, service: str) -> LocalPrefills:
        return self._local_prefills.setdefault(service, LocalPrefills())

    def _pace_of(self, service: str) -> PaceMonitor:
        return self._paces.setdefault(service, PaceMonitor())

    def _load_of(self, service: str) -> PrefillLoad:
        if service not in self._loads:
            self._loads[service] = PrefillLoad(service, self._fleet.speeds, self._fleet.loads)
        return self._loads[service]

    async def _prefill_at(
        self, load: PrefillLoad, exchange: Exchange, upstream: UpstreamRecord
    ) -> PrefilledCache | None:
        engine, tokens = incarnation_of(upstream), exchange.metadata.prompt_tokens
        started_at = trio.current_time()
        timeout_s = min(self._timeout_s(load, engine, exchange), exchange.time_left_s())
        detail: object = f"no answer within {timeout_s:.2f} s"
        pause_s = FAILED_PAUSE_S
        load.record_start(engine, tokens, started_at)
        self._fleet.spend_permit(upstream, started_at)
        try:
            with trio.move_on_after(timeout_s):
                prefilled = await self._engines.prefill(exchange, upstream)
                self._record_duration(load, exchange, prefilled)
                return prefilled
            load.record_timeout(engine, trio.current_time())
        except PeerRefused as error:
            detail, pause_s = error, REFUSED_PAUSE_S
            self._retries.charge(exchange.service, trio.current_time())
        except LinkError as error:
            detail = error
        finally:
            load.record_end(engine, started_at)
        self._fleet.suspend(upstream, trio.current_time() + pause_s)
        exchange.log("prefill failed", peer=upstream.name, detail=detail)
        return None

    def _timeout_s(
        self, load: PrefillLoad, engine: UpstreamIncarnation, exchange: Exchange
    ) -> float:
        """Return the timeout of a prefill; giving up is of use only while a local one may do."""
        tokens, now = exchange.metadata.prompt_tokens, trio.current_time()
        left_s = exchange.arrived_at + exchange.route.latency_target_s - now
        useful_s = self._local_prefills_of(exchange.service).useful_wait_s(tokens, left_s)
        return max(load.timeout_s(engine, tokens, now), useful_s)

    def _record_duration(
        self, load: PrefillLoad, exchange: Exchange, prefilled: PrefilledCache
    ) -> None:
        tokens, now = exchange.metadata.prompt_tokens, trio.current_time()
        engine = incarnation_of(prefilled.upstream)
        load.record_duration(engine, tokens, prefilled.took_s, now)
        self._metrics.observe_prefill(exchange.service, prefilled.took_s)
        exchange.log(
            "prefilled",
            peer=prefilled.upstream.name,
            took_ms=round(prefilled.took_s * 1_000),
            crowd=round(load.estimated_prompts(engine, now), 1),
        )
