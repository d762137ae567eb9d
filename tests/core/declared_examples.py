"""Example declarations for tests."""

from chivehold.core.declared import (
    CallRule,
    Deployment,
    Service,
    Share,
    TrafficClass,
    Upstream,
    Weigh,
)
from chivehold.core.identity import Role, Urgency

URGENT = TrafficClass("hook", Urgency.URGENT, 30.0)
PATIENT = TrafficClass("review", Urgency.PATIENT, 900.0, 2.0, 0.5)


def upstream(name, role, port, **fields):
    addresses = {
        "data_address": f"127.0.0.1:{port}",
        "control_address": f"127.0.0.1:{port + 1}",
    }
    return Upstream(name, role, "sjo-a", **(addresses | {"places": 20} | fields))


def deployment(name="lector", port=8000, **fields):
    prefill = (upstream(f"{name}-p1", Role.PREFILL, port),)
    decode = (upstream(f"{name}-d1", Role.DECODE, port + 2, honours_fencing=False),)
    return Deployment(
        name,
        "m",
        prefill,
        decode,
        (URGENT, PATIENT),
        weigh=Weigh.WASTED_PREFILL,
        shares=(Share("bruma", 2.0),),
        default_class="review",
        kv_bytes_per_token=100,
        adapters=("a",),
    )._replace(**fields)


def service(name="forja", port=9000, **fields):
    upstreams = (upstream(f"{name}-1", Role.SERVICE, port),)
    rules = (CallRule("*", "/lookups", True),)
    return Service(name, upstreams, (URGENT,), rules)._replace(**fields)
