"""Replicas of the routes and of the list of upstreams, kept up to date from the store."""

import logging
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

import trio

from chivehold.core.direct.fleet import Fleet, FleetChange
from chivehold.core.direct.messages import UpstreamRecord
from chivehold.core.direct.replica import LAPSE_GRACE_S, Replica
from chivehold.core.direct.routes import RouteTable
from chivehold.direct.platform_binding import PlatformBinding
from chivehold.logs import log_event
from chivehold.settings import DirectSettings
from chivehold.store.api import ObjectStore
from chivehold.store.follower import Follower, watch_timing

MS_PER_S = 1_000
HEARTBEATS_TO_EXPIRE = 2
"""Shortest outage in which a record can expire, in heartbeat intervals of its upstream.

Records expire after three intervals; the last heartbeat may be one interval old when it begins.
"""

MAX_LOGGED_FAULTS = 20
"""Faults of organisations to log for each version of the configuration."""

_log = logging.getLogger(__name__)


class ChangeHandlers(NamedTuple):
    """What is called after a change is in force in the replicas."""

    apply_routes: Callable[[RouteTable], None]
    """Called with each newer version of the routes."""
    apply_fleet_change: Callable[[FleetChange], None]
    """Called after each change of the list of upstreams."""


class StoreReplicas:
    """Follows routes and upstreams in the store while ``run`` is running.

    Args:
        store: The platform's object store.
        platform: The kinds of objects and their decoders.
        settings: The deadlines for changes.
        fleet: Gets the list of upstreams.
        handlers: Called after changes.
        rng: Source of jitter for retry delays.
    """

    def __init__(
        self,
        store: ObjectStore,
        platform: PlatformBinding,
        settings: DirectSettings,
        fleet: Fleet,
        handlers: ChangeHandlers,
        rng: Random,
    ) -> None:
        self._fleet = fleet
        self._handlers = handlers
        self._version = 0
        self._route_tables: Replica[RouteTable] = Replica()
        min_outage_s = HEARTBEATS_TO_EXPIRE * settings.upstream_heartbeat_ms / MS_PER_S
        self._upstreams: Replica[UpstreamRecord] = Replica(LAPSE_GRACE_S, min_outage_s)
        silence_s = settings.silence_allowance_ms / MS_PER_S
        self._configuration_follower = Follower(
            store,
            platform.configuration_kind,
            platform.decode_configuration,
            self._route_tables,
            self._apply_routes,
            rng,
            watch_timing(settings.routes_deadline_ms / MS_PER_S, silence_s),
        )
        self._upstream_follower = Follower(
            store,
            platform.upstream_kind,
            platform.decode_upstream,
            self._upstreams,
            self._apply_upstreams,
            rng,
            watch_timing(
                settings.upstreams_deadline_ms / MS_PER_S, silence_s, LAPSE_GRACE_S, min_outage_s
            ),
        )

    @property
    def is_store_lost(self) -> bool:
        """Whether the last call for routes or for upstreams failed."""
        return self._configuration_follower.is_store_lost or self._upstream_follower.is_store_lost

    @property
    def upstreams_revision(self) -> int:
        """Version of the store that the list of upstreams reflects."""
        return self._upstreams.revision

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._configuration_follower.run)
            nursery.start_soon(self._upstream_follower.run)

    def configuration_age_s(self, now: float) -> float | None:
        """Return the seconds since the store last confirmed the routes, or ``None`` if never."""
        return self._route_tables.age_s(now)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the age of both replicas for the operators' dump."""
        return {
            "configuration_age_s": self.configuration_age_s(now),
            "upstreams_revision": self._upstreams.revision,
            "upstreams_age_s": self._upstreams.age_s(now),
        }

    def _apply_routes(self) -> None:
        table = max(self._route_tables.values(), key=lambda table: table.version, default=None)
        if table is None or table.version <= self._version:
            return
        log_event(
            _log,
            logging.INFO,
            "routes in force",
            configuration=table.version,
            before=self._version,
            routes=len(table.routes),
            organisations=len(table.organisations) or None,
            revision=self._route_tables.revision,
        )
        for fault in table.organisation_faults[:MAX_LOGGED_FAULTS]:
            log_event(
                _log,
                logging.WARNING,
                "organisation unusable",
                organisation=fault.organisation,
                detail=fault.detail,
                configuration=table.version,
            )
        self._version = table.version
        self._handlers.apply_routes(table)

    def _apply_upstreams(self) -> None:
        change = self._fleet.replace(self._upstreams.values())
        self._log_fleet_change(change)
        self._handlers.apply_fleet_change(change)

    def _log_fleet_change(self, change: FleetChange) -> None:
        for event, upstreams in (
            ("upstream listed", change.added),
            ("upstream gone", change.removed),
            ("upstream changed", change.changed),
        ):
            for upstream in upstreams:
                log_event(
                    _log,
                    logging.INFO,
                    event,
                    peer=upstream.name,
                    service=upstream.service,
                    address=upstream.address,
                    stage=upstream.stage,
                    software=upstream.software,
                    draining=upstream.draining,
                    started_ms=upstream.started_ms,
                    revision=self._upstreams.revision,
                )
