"""The parts of an entry that find content which ends upstreams, and refuse it."""

from collections.abc import Callable
from random import Random

import trio

from chivehold.core.direct.crash_evidence import CrashPolicy
from chivehold.core.identity import EntryIncarnation
from chivehold.direct.crash_watch import CrashWatch
from chivehold.direct.fact_exchange import FactExchange
from chivehold.direct.initial_load import InitialLoad
from chivehold.direct.metrics import DirectMetrics
from chivehold.direct.quarantine_trials import QuarantineTrials
from chivehold.direct.quarantines import Quarantines
from chivehold.settings import DirectSettings
from chivehold.store.api import ObjectStore
from chivehold.store.quarantine_records import QuarantineRecords


class CrashProtection:
    """Builds and connects these parts.

    Args:
        settings: The entry's settings.
        incarnation: This run of the entry.
        store: Keeps the quarantines.
        exchange: Publishes facts to the other entries and delivers theirs.
        entries: Returns the number of entries.
        metrics: Counts ends of upstreams and quarantines.
        nursery: Runs the probes of upstreams.
        rng: Source of jitter.
    """

    def __init__(
        self,
        settings: DirectSettings,
        incarnation: EntryIncarnation,
        store: ObjectStore,
        exchange: FactExchange,
        entries: Callable[[], int],
        metrics: DirectMetrics,
        nursery: trio.Nursery,
        rng: Random,
    ) -> None:
        policy = _policy(settings)
        self._quarantines = Quarantines(
            policy,
            exchange,
            lambda: self._records.notify_changed(),
            metrics,
            entries,
            rng,
        )
        self._records = QuarantineRecords(
            store,
            incarnation,
            self._quarantines.orders,
            self._quarantines.load_stored,
            entries,
            rng,
        )
        self._initial_load = InitialLoad("quarantines", lambda: self._records.is_loaded)
        trials = QuarantineTrials(
            self._quarantines, self._records.claim, policy.trial_s, entries, rng
        )
        self._watch = CrashWatch(
            nursery, self._quarantines, trials, settings.crash_settled_s, metrics
        )

    @property
    def watch(self) -> CrashWatch:
        """Watches the attempts at upstreams."""
        return self._watch

    @property
    def quarantines(self) -> Quarantines:
        """The content that is refused."""
        return self._quarantines

    async def run(self) -> None:
        """Keep the stored quarantines up to date until cancelled."""
        await self._records.run()

    def unready_reason(self) -> str:
        """Return why the entry is not ready yet, or an empty string if it is."""
        return self._initial_load.unready_reason()


def _policy(settings: DirectSettings) -> CrashPolicy:
    return CrashPolicy(
        settings.crash_ends,
        settings.crash_ends_if_sound_before,
        settings.crash_evidence_s,
        settings.quarantine_s,
        settings.quarantine_trial_s,
    )
