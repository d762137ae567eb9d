"""The dimensions of a measurement: deployments, regimes, policies and faults."""

from enum import StrEnum
from math import exp
from statistics import NormalDist, fmean
from typing import NamedTuple

from chivehold.core.declared import Declarations, Deployment, TrafficClass, Upstream, Weigh
from chivehold.core.identity import Role, TargetName, UpstreamName, Urgency
from chivehold.core.policy import DecodeChoiceKind, Policy
from chivehold.fakes.engine_model import EngineCost

ZONES = ("a", "b", "c")
PATIENT_TARGET_S = 900.0
URGENT_DEADLINE_S = 30.0
WARM_UP_S = 5.0
STEADY_END_S = 20.0
FAULTS_END_S = 40.0
RUN_END_S = 1_500.0
KV_BYTES_PER_TOKEN = 160_000


class Lengths(NamedTuple):
    """A clipped log-normal distribution of lengths in tokens."""

    median: float
    sigma: float
    minimum: int
    maximum: int


class Traffic(NamedTuple):
    """One class of a deployment's traffic."""

    name: str
    urgency: Urgency
    share: float
    prompt: Lengths
    output: Lengths


class Site(NamedTuple):
    """A deployment of one example site and its traffic."""

    name: str
    weigh: Weigh
    prefill_engines: int
    decode_engines: int
    traffic: tuple[Traffic, ...]


SITES = (
    Site(
        "lector",
        Weigh.GOODPUT,
        2,
        3,
        (
            Traffic(
                "hook",
                Urgency.URGENT,
                0.85,
                Lengths(400, 1.0, 30, 4_000),
                Lengths(60, 0.6, 10, 200),
            ),
            Traffic(
                "review",
                Urgency.PATIENT,
                0.15,
                Lengths(6_000, 0.8, 1_000, 40_000),
                Lengths(300, 0.5, 100, 800),
            ),
        ),
    ),
    Site(
        "casewriter",
        Weigh.WASTED_PREFILL,
        2,
        3,
        (
            Traffic(
                "check",
                Urgency.URGENT,
                0.6,
                Lengths(600, 0.9, 40, 6_000),
                Lengths(80, 0.6, 10, 250),
            ),
            Traffic(
                "summary",
                Urgency.PATIENT,
                0.4,
                Lengths(3_000, 0.8, 500, 30_000),
                Lengths(250, 0.4, 80, 600),
            ),
        ),
    ),
)


class Regime(StrEnum):
    """The resource that is the bottleneck."""

    DECODE = "decode"
    LINK = "link"
    PREFILL = "prefill"


class Fault(StrEnum):
    """A fault or an overload that is injected into a run."""

    NONE = "none"
    BURST = "burst"
    BURST_RETURN = "burst, Retry-After kept"
    LAUNCH = "launch queue"
    ENGINE_KILLED = "engine killed"
    ENGINE_SLOW = "engine at a tenth"
    TRANSFERS_STALL = "transfers stall"
    CALLERS_CANCEL = "callers cancel"
    REPORTS_LATE = "reports late"
    CACHE_EVENTS_LOST = "cache events lost"
    ENTRY_REPLACED = "entry replaced"
    ZONE_LOST = "zone lost"
    RETRY_STORM = "retry storm"
    RETRY_AFTER = "retry storm, Retry-After kept"
    GREEDY_ORGANISATION = "greedy organisation"


ALL_OFF = Policy(
    reserve_before_prefill=False,
    class_order=False,
    urgent_headroom=0.0,
    preemption=False,
    fair_shares=False,
    prefill_pacing=False,
    prefix_affinity=False,
    link_budget=False,
    shed_late=False,
    avoid_slow=False,
)
OURS = Policy()
BASELINES = {
    "round robin": ALL_OFF._replace(decode_choice=DecodeChoiceKind.ROUND_ROBIN),
    "least reported": ALL_OFF._replace(decode_choice=DecodeChoiceKind.LEAST_REPORTED),
    "two choices": ALL_OFF._replace(decode_choice=DecodeChoiceKind.TWO_CHOICES),
}
ABLATIONS = {
    "less reservation": OURS._replace(reserve_before_prefill=False),
    "less wait list": OURS._replace(wait_list=False),
    "less class order": OURS._replace(class_order=False),
    "less urgent headroom": OURS._replace(urgent_headroom=0.0),
    "less preemption": OURS._replace(preemption=False),
    "less prefill pacing": OURS._replace(prefill_pacing=False),
    "less fair shares": OURS._replace(fair_shares=False),
    "less prefix affinity": OURS._replace(prefix_affinity=False),
    "less link budget": OURS._replace(link_budget=False),
    "less shedding": OURS._replace(shed_late=False),
    "less slow avoidance": OURS._replace(avoid_slow=False),
    "two choices inside": OURS._replace(decode_choice=DecodeChoiceKind.TWO_CHOICES),
    "no retries": OURS._replace(retry_budget=0.0, retry_budget_floor=0),
}
POLICIES = {"ours": OURS, **BASELINES, **ABLATIONS}


class Scenario(NamedTuple):
    """One run; the same fields always give the same results."""

    site: str
    regime: Regime
    load: float
    policy: str
    fault: Fault
    seed: int


def arrivals_end_s(scenario: Scenario) -> float:
    """Return when arrivals end; runs with a fault last longer, to cover the recovery from it."""
    return STEADY_END_S if scenario.fault is Fault.NONE else FAULTS_END_S


def site_of(scenario: Scenario) -> Site:
    """Return the scenario's deployment."""
    return next(site for site in SITES if site.name == scenario.site)


def mean_length(lengths: Lengths) -> float:
    """Return the mean of the clipped distribution, from the midpoints of 400 quantiles."""
    normal = NormalDist(0.0, lengths.sigma)
    points = (normal.inv_cdf((index + 0.5) / 400) for index in range(400))
    draws = (lengths.median * exp(point) for point in points)
    return fmean(min(max(draw, lengths.minimum), lengths.maximum) for draw in draws)


def engine_cost(site: Site, regime: Regime) -> EngineCost:
    """Return engine costs under which the regime's resource is the bottleneck.

    The link and prefill regimes limit that resource to 60 % of the capacity of decode.
    """
    base_cost = EngineCost(prefill_tokens_per_s=48_000.0, kv_bytes_per_token=KV_BYTES_PER_TOKEN)
    target_rate = 0.6 * decode_capacity(site, base_cost)
    prompt = sum(traffic.share * mean_length(traffic.prompt) for traffic in site.traffic)
    if regime is Regime.PREFILL:
        rate = target_rate * prompt / site.prefill_engines
        return base_cost._replace(prefill_tokens_per_s=rate)
    if regime is Regime.LINK:
        rate = target_rate * prompt * KV_BYTES_PER_TOKEN / site.decode_engines
        return base_cost._replace(link_bytes_per_s=rate)
    return base_cost


def decode_capacity(site: Site, cost: EngineCost) -> float:
    """Return the requests/s at which all decode places are in use, by Little's law."""
    held_s = sum(
        traffic.share
        * (
            mean_length(traffic.output)
            * (cost.interval_base_s + cost.places * cost.interval_per_stream_s)
            + cost.prefill_overhead_s
            + mean_length(traffic.prompt)
            * (1 / cost.prefill_tokens_per_s + cost.kv_bytes_per_token / cost.link_bytes_per_s)
        )
        for traffic in site.traffic
    )
    return site.decode_engines * cost.places / held_s


def capacity(site: Site, regime: Regime) -> float:
    """Return the requests/s at which the regime's bottleneck is saturated."""
    decode = decode_capacity(site, EngineCost(prefill_tokens_per_s=48_000.0))
    return decode if regime is Regime.DECODE else 0.6 * decode


def declarations(site: Site, cost: EngineCost) -> Declarations:
    """Return the declarations of the site's deployment."""

    def upstream(role: Role, index: int) -> Upstream:
        name = UpstreamName(f"{site.name}-{role.value}-{index}")
        return Upstream(
            name=name,
            role=role,
            zone=ZONES[index % len(ZONES)],
            data_address=f"{name}:1",
            control_address=f"{name}:2",
            places=cost.places,
        )

    classes = tuple(
        TrafficClass(
            traffic.name,
            traffic.urgency,
            URGENT_DEADLINE_S if traffic.urgency is Urgency.URGENT else PATIENT_TARGET_S,
            1.0 if traffic.urgency is Urgency.URGENT else PATIENT_TARGET_S,
        )
        for traffic in site.traffic
    )
    deployment = Deployment(
        name=TargetName(site.name),
        model=f"{site.name}-model",
        prefill=tuple(upstream(Role.PREFILL, index) for index in range(site.prefill_engines)),
        decode=tuple(upstream(Role.DECODE, index) for index in range(site.decode_engines)),
        classes=classes,
        weigh=site.weigh,
        kv_bytes_per_token=cost.kv_bytes_per_token,
    )
    return Declarations(revision=1, deployments=(deployment,), services=())
