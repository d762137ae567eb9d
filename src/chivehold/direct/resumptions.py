"""Finds the software version at which a stream that its caller resumes has to go on."""

import logging
from enum import StrEnum
from typing import NamedTuple

import trio

from chivehold.core.direct.messages import UpstreamRecord
from chivehold.core.direct.software_versions import MAX_STREAM_LIFETIME_S, SoftwareVersions
from chivehold.core.direct.stream_origins import (
    OriginKey,
    StreamOrigin,
    StreamOrigins,
    origin_key,
)
from chivehold.direct.exchange import Exchange
from chivehold.direct.metrics import DirectMetrics
from chivehold.direct.refusals import Refusal, final_refusal, not_run_refusal
from chivehold.store.software_records import SoftwareRecords, StoredOrigins

READ_TIMEOUT_S = 1.0
"""Longest wait for the store."""
MAX_SECOND_READ_DELAY_S = 0.5
"""Longest wait for the origin of a stream whose entry may be about to write it."""
STORE_LOST_PAUSE_S = 1.0
"""How long the store is not asked again after it has not answered."""
STORE_LOST_RETRY_S = 1.0
UNKNOWN = "what began the stream is not known"


class Evidence(StrEnum):
    """How the software version that began a stream is known."""

    MEMORY = "memory"
    """This entry has begun it, or has resumed it before."""
    STORE = "store"
    """The entry that began it has stored it."""
    ONLY_VERSION = "only version"
    """No other version can have begun a stream that still goes on."""


class _Found(NamedTuple):
    origin: StreamOrigin
    evidence: Evidence


class Resumptions:
    """Records which software version begins each stream, and finds it again.

    Args:
        versions: The versions that may have begun streams.
        origins: The origins of this entry's streams.
        records: What all entries have stored.
        metrics: Counts the resumed streams.
    """

    def __init__(
        self,
        versions: SoftwareVersions,
        origins: StreamOrigins,
        records: SoftwareRecords,
        metrics: DirectMetrics,
    ) -> None:
        self._versions = versions
        self._origins = origins
        self._records = records
        self._metrics = metrics
        self._store_lost_until = 0.0

    def record_start(
        self, exchange: Exchange, upstream: UpstreamRecord, before: UpstreamRecord | None
    ) -> None:
        """Record that a stream begins, or goes on, at an engine.

        Args:
            exchange: The request.
            upstream: The engine.
            before: The engine of the request's attempt before, which brought no event.
        """
        key = _key_of(exchange)
        if key is None:
            return
        deadline_s = exchange.metadata.deadline_s
        if deadline_s is not None:
            self._versions.note_stream_time(deadline_s)
        lifetime_s = self._versions.stream_lifetime_s if deadline_s is None else deadline_s
        earlier = None if before is None else _origin_at(before)
        until = exchange.arrived_at + min(lifetime_s, MAX_STREAM_LIFETIME_S)
        self._origins.record(key, _origin_at(upstream), until, earlier)
        self._records.notify_origins()

    async def resolve(self, exchange: Exchange) -> str | Refusal:
        """Return the software version at which a stream goes on, or why it cannot.

        Waits briefly for the store if this entry does not know what began the stream.
        """
        asked_at = trio.current_time()
        found = await self._find(exchange)
        took_ms = round((trio.current_time() - asked_at) * 1_000)
        if isinstance(found, _Found) and found.origin.service != exchange.service:
            found = final_refusal("service_changed", "the stream began at another service")
        age_ms = round(self._versions.age_s(trio.current_time()) * 1_000)
        if isinstance(found, Refusal):
            self._metrics.count_resumption(exchange.service, found.reason)
            exchange.log(
                "resumption refused",
                logging.INFO,
                reason=found.reason,
                took_ms=took_ms,
                versions=sorted(self._versions.possible(exchange.service, asked_at)),
                versions_age_ms=age_ms,
            )
            return found
        self._metrics.count_resumption(exchange.service, found.evidence)
        exchange.log(
            "resumption accepted",
            logging.INFO,
            software=found.origin.software,
            evidence=found.evidence,
            took_ms=took_ms,
            versions_age_ms=age_ms,
        )
        return found.origin.software

    async def _find(self, exchange: Exchange) -> _Found | Refusal:
        key = _key_of(exchange)
        if key is not None and (known := self._origins.find(key, trio.current_time())):
            return _Found(known, Evidence.MEMORY)
        delays_s = [0.0]
        if key is not None:
            delays_s.append(min(self._records.write_interval_s, MAX_SECOND_READ_DELAY_S))
        for delay_s in delays_s:
            await trio.sleep(delay_s)
            stored = await self._read()
            if stored is None:
                return not_run_refusal("store_lost", UNKNOWN, STORE_LOST_RETRY_S)
            found = self._found_in(stored, key, exchange.service)
            if found is not None:
                return found
        settles_in_s = self._versions.settles_in_s(trio.current_time())
        if settles_in_s:
            return not_run_refusal("store_restored", UNKNOWN, settles_in_s)
        return final_refusal("unknown_origin", UNKNOWN)

    def _found_in(
        self, stored: StoredOrigins, key: OriginKey | None, service: str
    ) -> _Found | None:
        if key is not None and (origin := stored.find(key)):
            return _Found(origin, Evidence.STORE)
        only = self._versions.only_version(service, trio.current_time())
        if only is not None:
            return _Found(StreamOrigin(service, only), Evidence.ONLY_VERSION)
        return None

    async def _read(self) -> StoredOrigins | None:
        """Read the store, unless it has just failed to answer."""
        if trio.current_time() < self._store_lost_until:
            return None
        stored: StoredOrigins | None = None
        with trio.move_on_after(READ_TIMEOUT_S):
            stored = await self._records.read()
        if stored is None:
            self._store_lost_until = trio.current_time() + STORE_LOST_PAUSE_S
        return stored


def _key_of(exchange: Exchange) -> OriginKey | None:
    """Return the key of a request's stream, or ``None`` if its caller resumes an unnamed one."""
    metadata = exchange.metadata
    if metadata.resumes is None and metadata.last_event is not None:
        return None
    return origin_key(
        exchange.host,
        exchange.target,
        metadata.resumes or metadata.request_id,
        exchange.organisation.name if exchange.organisation else "",
    )


def _origin_at(upstream: UpstreamRecord) -> StreamOrigin:
    return StreamOrigin(upstream.service, upstream.software)
