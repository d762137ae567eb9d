"""The whole state of a sidecar's core as JSON-compatible types."""

from typing import TypedDict

from chivehold.core.identity import AttemptId, Urgency
from chivehold.core.load_report import load_report
from chivehold.core.sidecar_ledgers import SidecarLedgers


class AttemptDump(TypedDict):
    """An attempt in progress."""

    attempt: str
    entry: str
    phase: str


class HoldDump(TypedDict):
    """A held place."""

    attempt: str
    urgency: str
    """Empty for an attempt of an earlier run."""
    held_s: float
    cancelling: bool


class WaitingDump(TypedDict):
    """A waiting offer."""

    attempt: str
    organisation: str
    urgency: str
    waited_s: float


class LeaseDump(TypedDict):
    """An entry's lease."""

    entry: str
    left_s: float


class PrefillDump(TypedDict):
    """A queued or running prompt."""

    attempt: str
    urgency: str
    prompt_tokens: int
    running: bool


class LinkDump(TypedDict):
    """Expected load of the inbound link for KV caches."""

    reserved_bytes: int
    backlog_s: float


class KeysDump(TypedDict):
    """Numbers of idempotency keys."""

    in_progress: int
    committed: int


class OrdersDump(TypedDict):
    """The state of the order gate."""

    highest_number: int
    running_operation: str


class SidecarDump(TypedDict):
    """The whole state of a sidecar's core; times are in seconds."""

    incarnation: str
    role: str
    state: str
    up_for_s: float
    revision: int
    places: int
    places_free: int
    patient_floor_places: int
    expected_wait_urgent_s: float
    expected_wait_patient_s: float
    token_interval_s: float
    prefill_tokens_per_s: float
    prefill_backlog_s: float
    attempts: list[AttemptDump]
    attempts_remembered: int
    holds: list[HoldDump]
    cancelling: list[str]
    waiting: list[WaitingDump]
    leases: list[LeaseDump]
    prefills: list[PrefillDump]
    link: LinkDump
    keys: KeysDump
    orders: OrdersDump


def dump_sidecar(ledgers: SidecarLedgers, now: float) -> SidecarDump:
    """Return a sidecar's state at ``now``, in seconds."""
    report = load_report(ledgers, now)
    return SidecarDump(
        incarnation=ledgers.config.incarnation,
        role=ledgers.config.role.value,
        state=report.state.value,
        up_for_s=report.up_for_s,
        revision=report.revision,
        places=report.places,
        places_free=report.places_free,
        patient_floor_places=ledgers.places.slots.floor_places,
        expected_wait_urgent_s=report.wait_urgent_s,
        expected_wait_patient_s=report.wait_patient_s,
        token_interval_s=report.token_interval_s,
        prefill_tokens_per_s=report.prefill_tokens_per_s,
        prefill_backlog_s=report.prefill_backlog_s,
        attempts=[
            AttemptDump(
                attempt=_attempt_label(live.attempt), entry=live.entry, phase=live.phase.value
            )
            for live in ledgers.attempts
        ],
        attempts_remembered=ledgers.attempts.remembered,
        holds=_hold_dumps(ledgers, now),
        cancelling=[_attempt_label(attempt) for attempt in ledgers.cancellations],
        waiting=_waiting_dumps(ledgers, now),
        leases=[
            LeaseDump(entry=entry, left_s=round(left_s, 3))
            for entry, left_s in ledgers.leases.remaining(now)
        ],
        prefills=_prefill_dumps(ledgers),
        link=LinkDump(
            reserved_bytes=ledgers.places.link.reserved_bytes,
            backlog_s=report.link_backlog_s,
        ),
        keys=KeysDump(in_progress=ledgers.keys.in_progress, committed=ledgers.keys.committed),
        orders=OrdersDump(
            highest_number=ledgers.orders.highest_number,
            running_operation=ledgers.orders.running.operation_id if ledgers.orders.running else "",
        ),
    )


def _attempt_label(attempt: AttemptId) -> str:
    return f"{attempt.request}/{attempt.number}"


def _urgency_label(urgency: Urgency | None) -> str:
    return "" if urgency is None else urgency.value


def _hold_dumps(ledgers: SidecarLedgers, now: float) -> list[HoldDump]:
    return [
        HoldDump(
            attempt=_attempt_label(attempt),
            urgency=_urgency_label(hold.urgency),
            held_s=round(now - hold.since, 3),
            cancelling=attempt in ledgers.cancellations,
        )
        for attempt, hold in ledgers.places.slots
    ]


def _waiting_dumps(ledgers: SidecarLedgers, now: float) -> list[WaitingDump]:
    return [
        WaitingDump(
            attempt=_attempt_label(waiting.offer.attempt),
            organisation=waiting.offer.organisation,
            urgency=waiting.offer.urgency.value,
            waited_s=round(now - waiting.since, 3),
        )
        for waiting in ledgers.places.waitlist
    ]


def _prefill_dumps(ledgers: SidecarLedgers) -> list[PrefillDump]:
    running = [(run.order, True) for run in ledgers.prefills.queue.running]
    queued = [(order, False) for order in ledgers.prefills.queue]
    return [
        PrefillDump(
            attempt=_attempt_label(order.attempt),
            urgency=order.urgency.value,
            prompt_tokens=order.prompt_tokens,
            running=is_running,
        )
        for order, is_running in running + queued
    ]
