"""Prefills of prompts at prefill engines, unless the decode engine would be as fast."""

from collections.abc import Callable

import trio

from chivehold.core.direct.fleet import Fleet, incarnation_of
from chivehold.core.direct.messages import Stage, UpstreamRecord
from chivehold.core.direct.prefill_load import PrefillLoad
from chivehold.direct.engines import EngineClient, PrefilledCache
from chivehold.direct.exchange import Exchange
from chivehold.direct.metrics import DirectMetrics
from chivehold.exceptions import PeerRefused
from chivehold.http_client import LinkError

FAILED_PAUSE_S = 0.8
"""How long an engine is avoided after a failed prefill."""
NOT_FETCHED_PAUSE_S = 2.0
"""How long an engine is avoided after a KV cache of it expired or could not be fetched."""


class PrefillScheduler:
    """Chooses a prefill engine for each prompt and runs the prefill there.

    Args:
        fleet: The engines.
        engines: Client of the engines.
        metrics: Records the durations.
        entries: Returns the number of entries that share the prefill engines.
    """

    def __init__(
        self,
        fleet: Fleet,
        engines: EngineClient,
        metrics: DirectMetrics,
        entries: Callable[[], int],
    ) -> None:
        self._fleet = fleet
        self._engines = engines
        self._metrics = metrics
        self._entries = entries
        self._loads: dict[str, PrefillLoad] = {}

    async def run(self, exchange: Exchange) -> PrefilledCache | None:
        """Prefill a prompt, or return ``None`` if the decode engine has to prefill it.

        No second prefill engine is tried after a failure, because falling back to the decode engine
        does not use the retry budget.
        """
        load = self._loads.setdefault(exchange.service, PrefillLoad())
        upstream = self._choose_engine(load, exchange.service, exchange.metadata.prompt_tokens)
        if upstream is None:
            exchange.log("prefill left to decode engine")
            return None
        return await self._prefill_at(load, exchange, upstream)

    def record_not_fetched(self, exchange: Exchange, prefilled: PrefilledCache) -> None:
        """Suspend the prefill engine whose KV cache a decode engine could not fetch."""
        self._fleet.suspend(prefilled.upstream, trio.current_time() + NOT_FETCHED_PAUSE_S)
        exchange.log("KV cache not fetched", peer=prefilled.upstream.name)

    def _choose_engine(self, load: PrefillLoad, service: str, tokens: int) -> UpstreamRecord | None:
        """Return the engine to use, or ``None`` if the decode engine would be as fast."""
        now = trio.current_time()
        ranked = self._fleet.ranked(service, Stage.PREFILL, now)
        healthy = [engine for engine in ranked if not self._fleet.is_suspended(engine, now)]
        engines, entries = len(healthy), self._entries()
        usable = (
            engine
            for engine in healthy
            if load.may_use(incarnation_of(engine), tokens, engines, entries, now)
        )
        return next(usable, None)

    async def _prefill_at(
        self, load: PrefillLoad, exchange: Exchange, upstream: UpstreamRecord
    ) -> PrefilledCache | None:
        engine, tokens = incarnation_of(upstream), exchange.metadata.prompt_tokens
        started_at = trio.current_time()
        timeout_s = min(load.timeout_s(engine, tokens, started_at), exchange.time_left_s())
        detail: object = f"no answer within {timeout_s:.2f} s"
        load.record_start(engine, tokens, started_at)
        try:
            with trio.move_on_after(timeout_s):
                prefilled = await self._engines.prefill(exchange, upstream)
                self._record_duration(load, exchange, prefilled)
                return prefilled
            load.record_timeout(engine, trio.current_time())
        except (PeerRefused, LinkError) as error:
            detail = error
        finally:
            load.record_end(engine, started_at)
        self._fleet.suspend(upstream, trio.current_time() + FAILED_PAUSE_S)
        exchange.log("prefill failed", peer=upstream.name, detail=detail)
        return None

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
