"""The budget of an engine's inbound link for KV caches."""

from collections.abc import Iterator

from chivehold.core.identity import AttemptId, Urgency
from chivehold.core.shared_link import SharedLink
from chivehold.core.smoothing import MovingAverage

MAX_URGENT_TRANSFER_S = 0.25
"""An urgent offer is granted if its KV cache is expected to arrive within this time, or within
twice the time that it takes alone."""
MAX_PATIENT_BACKLOG_S = 0.5
"""A patient offer is granted beside others if all are expected to arrive within this time."""
IMPORT_DELAY_WEIGHT = 0.1
MIN_RECHECK_S = 0.02
"""A grant that is held back is reconsidered after this time at the earliest."""


class ImportLink:
    """Holds grants back so that the KV caches imported for them do not overload the link.

    Transfers in progress share the link; a KV cache that is being read does not expire. For an
    urgent grant, caches that are granted but not ordered yet count only by the share that is
    expected to be ordered within ``MAX_URGENT_TRANSFER_S``.

    Args:
        bytes_per_s: The link's rate; if it is 0, the rate is unknown and no grant is held back.
        enforced: Whether grants are held back; otherwise the load is only measured.
    """

    def __init__(self, bytes_per_s: float, enforced: bool) -> None:
        self._bytes_per_s = bytes_per_s
        self._enforced = enforced and bytes_per_s > 0
        self._transfers: SharedLink[AttemptId] = SharedLink(bytes_per_s)
        self._reserved: dict[AttemptId, tuple[int, float]] = {}
        self._reserved_bytes = 0
        self._patient: set[AttemptId] = set()
        self._import_delay_s = MovingAverage(IMPORT_DELAY_WEIGHT)

    @property
    def reserved_bytes(self) -> int:
        """Bytes of KV caches that are granted and whose import has not been ordered."""
        return self._reserved_bytes

    def backlog_s(self, now: float) -> float:
        """Return how long the link needs for the rest of the transfers in progress, in seconds."""
        return self._link_seconds(self._transfers.remaining_bytes(now))

    def grant_delay_s(self, kv_bytes: float, urgency: Urgency, now: float) -> float:
        """Return for how many seconds to hold a grant back; 0 if the link has room for it.

        Args:
            kv_bytes: Size of the KV cache imported after the grant.
            urgency: The request's urgency.
            now: Time in seconds.
        """
        if not self._enforced or self._is_idle:
            return 0.0
        if urgency is Urgency.PATIENT:
            if not self._patient:
                return 0.0
            backlog_s = self.backlog_s(now) + self._link_seconds(self._reserved_bytes + kv_bytes)
            return max(0.0, backlog_s - MAX_PATIENT_BACKLOG_S)
        reserved_bytes = sum(min(kv_bytes, size) for size, _ in self._reserved.values())
        imminent_s = self._link_seconds(reserved_bytes * self._imminent_share())
        needed_s = self._transfers.transfer_time_s(kv_bytes, now) + imminent_s
        alone_s = self._link_seconds(kv_bytes)
        return max(0.0, needed_s - max(MAX_URGENT_TRANSFER_S, 2 * alone_s))

    def transfer_s(self, kv_bytes: int, now: float) -> float:
        """Return how long a transfer is expected to take beside those in progress, in seconds."""
        return self._transfers.transfer_time_s(kv_bytes, now) if self._enforced else 0.0

    def recheck_at(self, kv_bytes: int, urgency: Urgency, now: float) -> float | None:
        """Return when to reconsider a grant that is held back; ``None`` if it is not."""
        grant_delay_s = self.grant_delay_s(kv_bytes, urgency, now)
        return now + max(MIN_RECHECK_S, grant_delay_s) if grant_delay_s > 0 else None

    def reserve(self, attempt: AttemptId, kv_bytes: int, urgency: Urgency, now: float) -> None:
        """Reserve link capacity for the KV cache of a granted attempt."""
        self._reserved[attempt] = (kv_bytes, now)
        self._reserved_bytes += kv_bytes
        if urgency is Urgency.PATIENT:
            self._patient.add(attempt)

    def start(self, attempt: AttemptId, kv_bytes: int, now: float) -> None:
        """Record that the transfer of a granted attempt's KV cache starts."""
        reservation = self._reserved.get(attempt)
        if reservation is not None:
            self._import_delay_s.add(now - reservation[1])
        self._drop_reservation(attempt)
        self._transfers.start(attempt, kv_bytes, now)

    def release(self, attempt: AttemptId, now: float) -> None:
        """Remove an attempt's reservation and its transfer."""
        self._drop_reservation(attempt)
        self._patient.discard(attempt)
        self._transfers.stop(attempt, now)

    def pop_ended(self, now: float) -> Iterator[AttemptId]:
        """Remove the transfers that are expected to have ended, and yield their attempts."""
        for attempt in self._transfers.pop_ended(now):
            self._patient.discard(attempt)
            yield attempt

    def next_end(self) -> float | None:
        """Return the time at which the next transfer is expected to end, or ``None``."""
        return self._transfers.next_end()

    @property
    def _is_idle(self) -> bool:
        return not self._reserved and not len(self._transfers)

    def _link_seconds(self, size: float) -> float:
        return size / self._bytes_per_s if self._bytes_per_s > 0 else 0.0

    def _drop_reservation(self, attempt: AttemptId) -> None:
        reservation = self._reserved.pop(attempt, None)
        if reservation is not None:
            self._reserved_bytes -= reservation[0]

    def _imminent_share(self) -> float:
        """Return the share of reserved imports expected to start in ``MAX_URGENT_TRANSFER_S``."""
        import_delay_s = self._import_delay_s.value_or(MAX_URGENT_TRANSFER_S)
        return min(1.0, MAX_URGENT_TRANSFER_S / max(import_delay_s, 1e-3))
