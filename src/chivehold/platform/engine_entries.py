"""What upstreams write of themselves into the store."""

from typing import NotRequired, TypedDict

import msgspec
from returns.result import Failure, Result, Success

from chivehold.core.direct.messages import Stage, UpstreamRecord

UPSTREAM_KIND = "servers"

_STATES = {"ready": False, "draining": True}
_STAGES = {"prefill": Stage.PREFILL, "decode": Stage.DECODE}


class _EntryJson(TypedDict):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    born: NotRequired[int]
    """Unix milliseconds of the upstream's start."""
    stage: NotRequired[str]


def decode_upstream(name: str, spec: bytes) -> Result[UpstreamRecord, str]:
    """Decode an upstream's entry, or tell why it names no upstream."""
    try:
        found = msgspec.json.decode(spec, type=_EntryJson)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(str(error))
    if found["state"] not in _STATES:
        return Failure(f"unknown state {found['state']!r}")
    if "stage" in found and found["stage"] not in _STAGES:
        return Failure(f"unknown stage {found['stage']!r}")
    host, _, port = found["address"].rpartition(":")
    if not host or not port.isdigit():
        return Failure(f"unusable address {found['address']!r}")
    return Success(
        UpstreamRecord(
            name=name,
            started_ms=found.get("born", 0),
            service=found["service"],
            address=found["address"],
            zone=found["zone"],
            slots=found["slots"],
            draining=_STATES[found["state"]],
            stage=_STAGES.get(found.get("stage", ""), Stage.NONE),
        )
    )
