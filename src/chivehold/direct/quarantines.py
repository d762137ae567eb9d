"""Refuses content that ends upstreams: gathers evidence, decides, and informs the other entries."""

import logging
import math
from collections.abc import Callable, Collection, Iterator
from random import Random

import trio

from chivehold.core.direct.crash_evidence import (
    REPORTS_S,
    CrashEvidence,
    CrashFinding,
    CrashPolicy,
    Suspect,
    UpstreamEnd,
)
from chivehold.core.direct.crash_keys import CrashKey, KeyKind
from chivehold.core.direct.facts import HarmlessRun
from chivehold.core.direct.messages import UpstreamRecord, incarnation_of
from chivehold.core.direct.quarantine import (
    OrderEvent,
    Quarantine,
    QuarantineList,
    order_event,
)
from chivehold.direct.fact_exchange import FactExchange
from chivehold.direct.metrics import DirectMetrics
from chivehold.direct.upstream_ends import BrokenRequest
from chivehold.logs import log_event

MS_PER_S = 1_000
SOUND_REPORTERS = 4
"""Entries that publish, on average, what all of them may know."""
SOUND_INTERVAL_S = 0.5
"""That content ran without harm is published again if it did so this much later."""
MAX_PUBLISHED_HARMLESS = 512
TRIAL_OUTCOME_S = 2.0
"""For this time from its begin a trial counts as running; callers refused then return after it."""

_log = logging.getLogger(__name__)


class Quarantines:
    """What this entry knows of content that ends upstreams.

    Args:
        policy: What is needed to quarantine content, and for how long.
        exchange: Publishes facts to the other entries and delivers theirs.
        on_order: Called when there is a new order, which has to outlast the entries.
        metrics: Counts quarantines.
        entries: Returns the number of entries.
        rng: Draws the entries that publish what many of them know.
    """

    def __init__(
        self,
        policy: CrashPolicy,
        exchange: FactExchange,
        on_order: Callable[[], None],
        metrics: DirectMetrics,
        entries: Callable[[], int],
        rng: Random,
    ) -> None:
        self._entries = entries
        self._rng = rng
        self._policy = policy
        self._exchange = exchange
        self._on_order = on_order
        self._metrics = metrics
        self._evidence = CrashEvidence(policy)
        self._list = QuarantineList()
        self._decision_due_at = math.inf
        """When an end counts that no decision has counted yet."""
        self._trials_open_until: dict[CrashKey, float] = {}
        self._harmless_published_at: dict[CrashKey, float] = {}
        """When content last ran without harm, as far as all entries know."""
        exchange.subscribe(UpstreamEnd, self._learn_end)
        exchange.subscribe(HarmlessRun, self._receive_harmless)
        exchange.subscribe(Quarantine, self._receive_order)

    def find(self, keys: Collection[CrashKey]) -> Quarantine | None:
        """Return an active quarantine of a request with these keys, or ``None``."""
        now = trio.current_time()
        if now >= self._decision_due_at:
            self._decide(now)
        return self._list.find(keys, now)

    def retry_after_s(self, order: Quarantine) -> float:
        """Return the time in seconds after which a caller refused by an order may come back."""
        now = trio.current_time()
        if now < self._trials_open_until.get(order.key, -math.inf):
            return TRIAL_OUTCOME_S
        return order.retry_after_s(now)

    def is_suspect(self, key: CrashKey) -> bool:
        """Return whether an upstream ended under this content and nothing has cleared it."""
        return self._evidence.is_suspect(key, trio.current_time())

    def orders(self) -> Iterator[Quarantine]:
        """Yield all orders in force, also those that lift a quarantine."""
        return self._list.orders(trio.current_time())

    def record_end(self, upstream: UpstreamRecord, broken: BrokenRequest) -> None:
        """Record that an upstream ended under a request of this entry."""
        suspects = tuple(Suspect(key, self._evidence.sound_at(key)) for key in broken.keys)
        if not suspects:
            return
        end = UpstreamEnd(incarnation_of(upstream), suspects, broken.sent_at, broken.broken_at)
        self._evidence.record_end(end)
        self._exchange.publish(end, self._policy.evidence_s)
        self._note_undecided(end)

    def record_harmless(self, keys: Collection[CrashKey]) -> None:
        """Record that a request with these keys ran without harm."""
        now = trio.current_time()
        cleared = [key for key in keys if self._evidence.is_suspect(key, now)]
        for key in keys:
            # Requests are many and seldom repeated; only that suspect ones are sound is kept.
            if key.kind is not KeyKind.REQUEST or key in cleared:
                self._evidence.record_harmless(key, now)
        for key in cleared:
            self._publish_harmless(key, now)
        for key in keys:
            if self._list.find((key,), now) is not None:
                self.order(key, False, "ran without harm")

    def load_stored(self, order: Quarantine) -> None:
        """Apply an order from the store, which the entry that wrote it may not have published."""
        if self._merge_order(order, "store"):
            self._publish_order(order)

    def order(self, key: CrashKey, is_active: bool, reason: str, may_try: bool = False) -> None:
        """Quarantine content, or lift its quarantine, at all entries.

        Args:
            key: The content.
            is_active: Whether to refuse it.
            reason: Logged with the order.
            may_try: Whether requests are let through later, to see whether they are harmless.
        """
        now = trio.current_time()
        until = now + self._policy.quarantine_s
        first_trial_at = now + self._policy.trial_s if may_try else None
        self.give(self._list.next_order(key, is_active, until, first_trial_at), reason)

    def give(self, order: Quarantine, reason: str) -> None:
        """Apply an order of this entry and publish it."""
        self._merge_order(order, reason)
        self._publish_order(order)

    def dump(self, now: float) -> Iterator[dict[str, object]]:
        """Yield the quarantines for the operators' dump."""
        for order in self._list.orders(now):
            yield {
                "key": str(order.key),
                "active": order.is_active,
                "version": order.version,
                "left_s": round(order.until - now),
                "trials": order.trials,
            }

    def _learn_end(self, end: UpstreamEnd) -> None:
        known_harmless = [
            (suspect.key, sound_at)
            for suspect in end.suspects
            if suspect.sound_at is None
            and (sound_at := self._evidence.sound_at(suspect.key)) is not None
        ]
        self._evidence.record_end(end)
        log_event(
            _log,
            logging.INFO,
            "upstream ended under request of another entry",
            None,
            peer=end.upstream.name,
            keys=[str(suspect.key) for suspect in end.suspects],
            age_ms=_age_ms(end.ended_at),
        )
        for key, sound_at in known_harmless:
            self._publish_harmless(key, sound_at)
        self._note_undecided(end)

    def _receive_order(self, order: Quarantine) -> None:
        self._merge_order(order, "another entry")

    def _receive_harmless(self, run: HarmlessRun) -> None:
        self._evidence.record_harmless(run.key, run.at)
        self._note_harmless_published(run.key, run.at)

    def _publish_harmless(self, key: CrashKey, sound_at: float) -> None:
        """Tell that content ran without harm, if it may soon be put down as what ends upstreams.

        Many entries may know it; on average a few of them publish it.
        """
        if self._evidence.ends_under(key) < self._policy.ends - 1:
            return
        if sound_at < self._harmless_published_at.get(key, -math.inf) + SOUND_INTERVAL_S:
            return
        if self._rng.random() * self._entries() > SOUND_REPORTERS:
            return
        self._note_harmless_published(key, sound_at)
        self._exchange.publish(HarmlessRun(key, sound_at), self._policy.evidence_s)
        log_event(_log, logging.INFO, "suspect content ran without harm", None, key=str(key))

    def _note_harmless_published(self, key: CrashKey, sound_at: float) -> None:
        published_at = self._harmless_published_at.pop(key, -math.inf)
        self._harmless_published_at[key] = max(published_at, sound_at)
        if len(self._harmless_published_at) > MAX_PUBLISHED_HARMLESS:
            del self._harmless_published_at[next(iter(self._harmless_published_at))]

    def _note_undecided(self, end: UpstreamEnd) -> None:
        """Have a decision made by the first request that comes once the end counts."""
        self._decision_due_at = min(self._decision_due_at, end.ended_at + REPORTS_S)

    def _decide(self, now: float) -> None:
        newest = self._evidence.newest_end_at
        self._decision_due_at = newest + REPORTS_S if newest > now - REPORTS_S else math.inf
        for finding in list(self._evidence.find(self._list.active_keys(now), now)):
            _log_finding(finding)
            self.order(finding.key, True, "ends upstreams", may_try=True)

    def _merge_order(self, order: Quarantine, reason: str) -> bool:
        """Apply an order and return whether it changes anything."""
        before = self._list.known(order.key)
        is_new = self._list.merge(order, trio.current_time())
        if is_new:
            self._apply(order, reason, before)
        return is_new

    def _publish_order(self, order: Quarantine) -> None:
        fact_id = "/".join(("quarantine", str(order.key), *map(str, order.rank)))
        self._exchange.publish(order, order.until - trio.current_time(), fact_id)

    def _apply(self, order: Quarantine, reason: str, before: Quarantine | None) -> None:
        now = trio.current_time()
        if not order.is_active:
            # Ends before the order must not quarantine the content again.
            self._evidence.record_harmless(order.key, now)
        event = order_event(order, before)
        if event is OrderEvent.TRIED:
            self._note_trial(order.key, now)
        self._metrics.count_quarantine_order(event)
        self._metrics.set_quarantines(len(self._list.active_keys(now)))
        log_event(
            _log,
            logging.WARNING,
            f"quarantine {event}",
            None,
            key=str(order.key),
            version=order.version,
            left_s=round(order.until - now),
            trials=order.trials,
            reason=reason,
        )
        self._on_order()

    def _note_trial(self, key: CrashKey, now: float) -> None:
        self._trials_open_until = {
            known: until for known, until in self._trials_open_until.items() if until > now
        }
        self._trials_open_until[key] = now + TRIAL_OUTCOME_S


def _log_finding(finding: CrashFinding) -> None:
    log_event(
        _log,
        logging.WARNING,
        "content ends upstreams",
        None,
        key=str(finding.key),
        ends=finding.ends,
        first_age_ms=_age_ms(finding.first_ended_at),
        last_age_ms=_age_ms(finding.last_ended_at),
        was_sound_before=finding.was_sound_before,
    )


def _age_ms(at: float) -> int:
    return round((trio.current_time() - at) * MS_PER_S)
