"""A sidecar's report on its upstream's load."""

from typing import TYPE_CHECKING

from chivehold.core.identity import SidecarIncarnation, Urgency
from chivehold.core.wire import LoadReport, UpstreamState

if TYPE_CHECKING:
    from chivehold.core.sidecar import SidecarCore

PREFIX_BLOCKS_REPORTED = 64


def load_report(core: "SidecarCore", now: float) -> LoadReport:
    """Return an upstream's load at a time in seconds, as its sidecar's ledgers have it."""
    known = core.availability.state is not UpstreamState.DOWN
    slots = core.places.slots
    waitlist = core.places.waitlist
    queue = core.prefills.queue
    return LoadReport(
        incarnation=SidecarIncarnation(core.config.incarnation),
        up_for_s=round(core.up_for_s(now), 3),
        role=core.config.role,
        state=core.availability.state,
        revision=core.revision,
        places=slots.places,
        places_free=slots.free if known else 0,
        waiting_urgent=waitlist.waiting(Urgency.URGENT) + queue.waiting(Urgency.URGENT),
        waiting_patient=waitlist.waiting(Urgency.PATIENT) + queue.waiting(Urgency.PATIENT),
        wait_urgent_s=_wait_s(core, Urgency.URGENT, now),
        wait_patient_s=_wait_s(core, Urgency.PATIENT, now),
        prefill_backlog_s=round(queue.backlog_s(now), 4),
        prefill_urgent_backlog_s=round(queue.backlog_s(now, Urgency.URGENT), 4),
        prefill_tokens_per_s=round(queue.tokens_per_s, 1),
        token_interval_s=round(core.places.token_interval_s.or_else(0.0), 5),
        link_backlog_s=round(core.places.link.backlog_s(now), 4),
        prefix_blocks=core.prefix_blocks[:PREFIX_BLOCKS_REPORTED],
    )


def _wait_s(core: "SidecarCore", urgency: Urgency, now: float) -> float:
    ahead = core.places.waitlist.queued_with(urgency)
    return round(core.places.expected_wait_s(urgency, ahead, now), 4)
