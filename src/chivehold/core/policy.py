"""Settings of the policy; each decision can be switched off to measure what it is worth."""

from enum import StrEnum
from typing import NamedTuple


class DecodeChoiceKind(StrEnum):
    """Ways to choose a decode engine or a service VM."""

    ROUND_ROBIN = "round_robin"
    LEAST_REPORTED = "least_reported"
    TWO_CHOICES = "two_choices"
    EXPECTED_WAIT = "expected_wait"


class Policy(NamedTuple):
    """What the cores decide by."""

    decode_choice: DecodeChoiceKind = DecodeChoiceKind.EXPECTED_WAIT
    reserve_before_prefill: bool = True
    """Prefill only once a decode place is granted; else ask for the place after the prefill."""
    wait_list: bool = True
    """Sidecars keep offers waiting for a place; else they refuse when full."""
    class_order: bool = True
    """Urgent before patient above the patient floor; else first come, first served."""
    urgent_headroom: float = 2.0
    """Decode places that patient work leaves free, as a factor of the square root of those that
    urgent work holds on average; 0 leaves none."""
    preemption: bool = True
    """Urgent work takes the place of patient streams, for deployments that weigh goodput."""
    fair_shares: bool = True
    prefill_pacing: bool = True
    """Offer patient work only when its prefill can start soon after the grant."""
    prefix_affinity: bool = True
    link_budget: bool = True
    """Import over a link only as many KV caches as arrive before they expire."""
    shed_late: bool = True
    """Refuse at once what cannot meet its first-token target or its deadline."""
    avoid_slow: bool = True
    retry_budget: float = 0.1
    """Further attempts as a share of recent requests."""
    retry_budget_floor: int = 20
    """Further attempts allowed at any rate, per ``retry_window_s``."""
    retry_window_s: float = 10.0
    attempts_most: int = 3
    """Attempts of an urgent request that may have run."""
    patient_attempts_most: int = 10
    """Attempts of a patient model request that may have run; they are not charged to the budget."""
    urgent_queue_most: int = 256
    """Urgent requests an entry keeps waiting per target."""
    patient_queue_most: int = 2048
    patient_offers_most: int = 64
    """Patient offers an entry keeps at the sidecars of a target at once."""
    patient_age_limit_s: float = 120.0
    """A patient request older than this goes before urgent ones, within the floor's places."""
