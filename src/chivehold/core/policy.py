"""Settings of the policy; decisions can be switched off individually to measure their effect."""

from enum import StrEnum
from typing import NamedTuple


class DecodeChoiceKind(StrEnum):
    """Strategies to choose a decode engine or a service VM."""

    ROUND_ROBIN = "round_robin"
    LEAST_REPORTED = "least_reported"
    TWO_CHOICES = "two_choices"
    EXPECTED_WAIT = "expected_wait"


class Policy(NamedTuple):
    """Settings of the decisions of entries and sidecars."""

    decode_choice: DecodeChoiceKind = DecodeChoiceKind.EXPECTED_WAIT
    reserve_before_prefill: bool = True
    """Reserve a decode place before the prefill; otherwise request the place after it."""
    wait_list: bool = True
    """Sidecars queue offers until a place is free; otherwise they refuse them when full."""
    class_order: bool = True
    """Serve urgent before patient work above the patient floor; otherwise first in, first out."""
    urgent_headroom: float = 2.0
    """Decode places that patient work leaves free, as a multiple of the square root of the places
    that urgent work holds on average; 0 leaves none free."""
    preemption: bool = True
    """Urgent work preempts patient streams of deployments that favour goodput."""
    fair_shares: bool = True
    prefill_pacing: bool = True
    """Offer patient work only when its prefill can start soon after the grant."""
    prefix_affinity: bool = True
    link_budget: bool = True
    """Limit the KV caches imported over a link to those that arrive before they expire."""
    shed_late: bool = True
    """Refuse requests at once that cannot meet their first-token target or deadline."""
    avoid_slow: bool = True
    retry_budget: float = 0.1
    """Retries allowed, as a share of recent requests."""
    retry_budget_floor: int = 20
    """Minimum number of retries allowed per ``retry_window_s``."""
    retry_window_s: float = 10.0
    attempts_most: int = 3
    """Maximum number of attempts of an urgent request that may have run."""
    patient_attempts_most: int = 10
    """Maximum number of attempts of a patient model request that may have run; they are not
    charged to the retry budget."""
    urgent_queue_most: int = 256
    """Maximum number of urgent requests that wait at an entry per target."""
    patient_queue_most: int = 2048
    """Maximum number of patient requests that wait at an entry per target."""
    patient_offers_most: int = 64
    """Maximum number of an entry's open patient offers per target."""
    patient_age_limit_s: float = 120.0
    """Age from which a patient request is served before urgent ones, within the patient floor."""
