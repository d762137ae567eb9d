"""A sidecar's report on the load of its upstream."""

from chivehold.core.identity import SidecarIncarnation, Urgency
from chivehold.core.sidecar_ledgers import SidecarLedgers
from chivehold.core.wire import LoadReport, UpstreamState

MAX_REPORTED_PREFIX_BLOCKS = 64


def load_report(ledgers: SidecarLedgers, now: float) -> LoadReport:
    """Return an upstream's load at ``now``, in seconds, from its sidecar's ledgers."""
    is_up = ledgers.availability.state is not UpstreamState.DOWN
    slots = ledgers.places.slots
    waitlist = ledgers.places.waitlist
    queue = ledgers.prefills.queue
    return LoadReport(
        incarnation=SidecarIncarnation(ledgers.config.incarnation),
        up_for_s=round(ledgers.up_for_s(now), 3),
        role=ledgers.config.role,
        state=ledgers.availability.state,
        revision=ledgers.revision,
        places=slots.places,
        places_free=slots.free if is_up else 0,
        waiting_urgent=waitlist.waiting(Urgency.URGENT) + queue.waiting(Urgency.URGENT),
        waiting_patient=waitlist.waiting(Urgency.PATIENT) + queue.waiting(Urgency.PATIENT),
        wait_urgent_s=_wait_s(ledgers, Urgency.URGENT, now),
        wait_patient_s=_wait_s(ledgers, Urgency.PATIENT, now),
        prefill_backlog_s=round(queue.backlog_s(now), 4),
        prefill_urgent_backlog_s=round(queue.backlog_s(now, Urgency.URGENT), 4),
        prefill_tokens_per_s=round(queue.tokens_per_s, 1),
        token_interval_s=round(ledgers.places.token_interval_s.value_or(0.0), 5),
        link_backlog_s=round(ledgers.places.link.backlog_s(now), 4),
        prefix_blocks=ledgers.prefix_blocks[:MAX_REPORTED_PREFIX_BLOCKS],
    )


def _wait_s(ledgers: SidecarLedgers, urgency: Urgency, now: float) -> float:
    ahead = ledgers.places.waitlist.queue_length(urgency)
    return round(ledgers.places.expected_wait_s(urgency, ahead, now), 4)
