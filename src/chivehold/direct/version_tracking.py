"""The parts of an entry that keep the events of two software versions out of one stream."""

from collections.abc import Callable, Iterable
from random import Random

import trio

from chivehold.core.direct.messages import UpstreamRecord
from chivehold.core.direct.routes import CallKind, RouteTable
from chivehold.core.direct.software_versions import SoftwareVersions
from chivehold.core.direct.stream_origins import StreamOrigins
from chivehold.core.identity import EntryIncarnation
from chivehold.direct.initial_load import InitialLoad
from chivehold.direct.metrics import DirectMetrics
from chivehold.direct.resumptions import Resumptions
from chivehold.store.api import ObjectStore
from chivehold.store.software_records import SoftwareRecords


class VersionTracking:
    """Builds and connects these parts.

    Args:
        name: The name of this entry.
        incarnation: This run of the entry.
        store: Keeps what must outlast all entries.
        entries: Returns the number of entries.
        metrics: Counts the resumed streams.
        rng: Source of jitter.
    """

    def __init__(
        self,
        name: str,
        incarnation: EntryIncarnation,
        store: ObjectStore,
        entries: Callable[[], int],
        metrics: DirectMetrics,
        rng: Random,
    ) -> None:
        self._versions = SoftwareVersions(trio.current_time())
        self._origins = StreamOrigins()
        self._records = SoftwareRecords(
            store, name, incarnation, self._versions, self._origins, entries, rng
        )
        self._initial_load = InitialLoad("software versions", lambda: self._records.is_loaded)
        self._resumptions = Resumptions(self._versions, self._origins, self._records, metrics)

    @property
    def resumptions(self) -> Resumptions:
        """Records what begins each stream, and finds it again."""
        return self._resumptions

    async def run(self) -> None:
        """Keep the store up to date until cancelled."""
        await self._records.run()

    def is_confirmed(self, upstream: UpstreamRecord) -> bool:
        """Return whether all entries can know that streams may begin at an upstream's version."""
        return self._versions.is_confirmed(upstream.service, upstream.software)

    def apply_upstreams(self, upstreams: Iterable[UpstreamRecord], revision: int) -> None:
        """Apply the list of upstreams, as of a version of the store."""
        self._versions.update_listed(upstreams, revision, trio.current_time())
        self._records.notify_versions()

    def apply_routes(self, table: RouteTable) -> None:
        """Apply the longest time for which routes let callers wait for streams."""
        for route in table.routes:
            if route.kind is CallKind.STREAM:
                self._versions.note_stream_time(route.timeout_s)

    def unready_reason(self) -> str:
        """Return why the entry is not ready yet, or an empty string if it is."""
        return self._initial_load.unready_reason()

    def dump(self) -> dict[str, object]:
        """Return the state shown to operators."""
        now = trio.current_time()
        return {
            "stored": {
                service: sorted(versions) for service, versions in self._versions.stored.items()
            },
            "age_s": round(self._versions.age_s(now), 2),
            "mixed_services": sorted(self._versions.mixed_services(now)),
            "stream_lifetime_s": self._versions.stream_lifetime_s,
            "remembered_streams": len(self._origins),
        }
