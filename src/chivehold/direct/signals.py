"""Reads what upstreams say of themselves in the headers of all their responses."""

import logging

import trio

from chivehold.core.direct.facts import UpstreamLeaving
from chivehold.core.direct.fleet import Fleet
from chivehold.core.direct.messages import Dialect, RawHeaders, UpstreamRecord, incarnation_of
from chivehold.direct.fact_exchange import FactExchange
from chivehold.direct.metrics import DirectMetrics
from chivehold.logs import log_event

MS_PER_S = 1_000
LEAVING_LIFETIME_S = 300.0
"""How long entries remember that an upstream leaves; it ends much sooner."""

_log = logging.getLogger(__name__)


class SignalReader:
    """Records the signals in responses, and logs and counts each change.

    Args:
        fleet: Keeps the signals.
        dialect: The wire format of the headers.
        metrics: Counts the changes.
        exchange: Publishes to the other entries which upstreams leave, and delivers theirs.
    """

    def __init__(
        self, fleet: Fleet, dialect: Dialect, metrics: DirectMetrics, exchange: FactExchange
    ) -> None:
        self._fleet = fleet
        self._dialect = dialect
        self._metrics = metrics
        self._exchange = exchange
        exchange.subscribe(UpstreamLeaving, self._receive_leaving)

    def read(
        self, upstream: UpstreamRecord, status: int, headers: RawHeaders, sent_at: float
    ) -> None:
        """Read the headers of a response.

        Args:
            upstream: The upstream that was called.
            status: The response's status.
            headers: The response's headers, names in lower case.
            sent_at: When the request was sent, on the trio clock.
        """
        signals = self._dialect.read_signals(status, headers)
        if signals is None:
            return
        now = trio.current_time()
        rate_before = self._fleet.max_rate(upstream)
        was_leaving = self._fleet.is_leaving(upstream)
        self._fleet.record_signals(upstream, signals, sent_at, now)
        if signals.load_unreadable:
            self._metrics.count_upstream_signal(upstream.service, "unreadable load")
        max_rate = self._fleet.max_rate(upstream)
        if max_rate != rate_before:
            self._metrics.count_upstream_signal(upstream.service, "limit")
            _log_signal("upstream limit changed", upstream, max_rate=max_rate, before=rate_before)
        if signals.leaving and not was_leaving:
            self._metrics.count_upstream_signal(upstream.service, "leaving")
            _log_signal("upstream leaving", upstream, address=upstream.address)
            self._exchange.publish(UpstreamLeaving(incarnation_of(upstream)), LEAVING_LIFETIME_S)
        if signals.pause_s is not None:
            self._metrics.count_upstream_signal(upstream.service, "pause")
            pause_ms = round(self._fleet.pause_left_s(upstream, now) * MS_PER_S)
            _log_signal("upstream pushed back", upstream, asked_s=signals.pause_s, for_ms=pause_ms)

    def _receive_leaving(self, leaving: UpstreamLeaving) -> None:
        self._fleet.record_leaving(leaving.upstream)
        log_event(
            _log,
            logging.INFO,
            "upstream leaving, told by another entry",
            None,
            peer=leaving.upstream.name,
        )


def _log_signal(event: str, upstream: UpstreamRecord, **fields: object) -> None:
    log_event(
        _log, logging.INFO, event, None, peer=upstream.name, service=upstream.service, **fields
    )
