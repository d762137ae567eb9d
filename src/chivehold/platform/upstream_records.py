"""Decodes the records that upstreams write about themselves into the store."""

import re
from hashlib import blake2b
from typing import NotRequired, TypedDict

import msgspec
from returns.result import Failure, Result, Success

from chivehold.core.direct.messages import Stage, UpstreamRecord
from chivehold.core.untrusted_json import decode_json

UPSTREAM_KIND = "servers"

_LABEL = r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
_ADDRESS = re.compile(rf"(?:\[[0-9A-Fa-f:.]+\]|{_LABEL}(?:\.{_LABEL})*):([0-9]{{1,5}})")
MAX_PORT = 65_535
MAX_SOFTWARE_LENGTH = 64
"""Longest name of a software version, in characters; a longer one is replaced by its digest."""

_DRAINING_BY_STATE = {"ready": False, "draining": True}
_STAGES = {"prefill": Stage.PREFILL, "decode": Stage.DECODE}


class _UpstreamJson(TypedDict):
    service: str
    address: str
    zone: str
    version: NotRequired[str | int | float]
    """Version of the upstream's software."""
    slots: int
    state: str
    born: NotRequired[int]
    """Start time of the upstream, in Unix milliseconds."""
    stage: NotRequired[str]


def decode_upstream(name: str, spec: bytes) -> Result[UpstreamRecord, str]:
    """Decode an upstream's record, or return a description of the error."""
    try:
        decoded = decode_json(spec, _UpstreamJson)
    except msgspec.DecodeError as error:
        return Failure(str(error))
    if decoded["state"] not in _DRAINING_BY_STATE:
        return Failure(f"unknown state {decoded['state']!r}")
    if "stage" in decoded and decoded["stage"] not in _STAGES:
        return Failure(f"unknown stage {decoded['stage']!r}")
    if not _is_address(decoded["address"]):
        return Failure(f"unusable address {decoded['address']!r}")
    return Success(
        UpstreamRecord(
            name=name,
            started_ms=decoded.get("born", 0),
            service=decoded["service"],
            address=decoded["address"],
            zone=decoded["zone"],
            slots=decoded["slots"],
            draining=_DRAINING_BY_STATE[decoded["state"]],
            stage=_STAGES.get(decoded.get("stage", ""), Stage.NONE),
            software=_software_name(str(decoded.get("version", ""))),
        )
    )


def _software_name(version: str) -> str:
    """Return the name of a software version, which is bounded and differs between versions."""
    if len(version) <= MAX_SOFTWARE_LENGTH:
        return version
    return blake2b(version.encode(), digest_size=MAX_SOFTWARE_LENGTH // 2).hexdigest()


def _is_address(text: str) -> bool:
    """Return whether a text is a host name or an IP number with a port."""
    match = _ADDRESS.fullmatch(text)
    return match is not None and 1 <= int(match.group(1)) <= MAX_PORT
