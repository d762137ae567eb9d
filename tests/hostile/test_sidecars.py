"""Clients that misbehave at the listeners of an entry with sidecars, and of a sidecar."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import product
from pathlib import Path

import pytest

from chivehold.core.declared import Service, Upstream
from chivehold.core.identity import Role
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.errors import RpcFailed
from tests.entry.deployed import (
    ANY_PORT,
    CLASSES,
    call_operators,
    declare,
    start_entry,
    start_fake_upstream,
    wait_ready,
)
from tests.hostile.attacks import ATTACKS, COMMON_ATTACKS, Target
from tests.hostile.rpc_attacks import RPC_ATTACKS
from tests.hostile.trial import (
    Listener,
    OrdinaryCall,
    call_once,
    check_survives,
    limit_descriptors,
)
from tests.processes import Programs, RunningProgram

MAX_REQUESTS = 64
MAX_HELD_BYTES = 8 << 20

SERVICE_PATH = "/services/forja/builds"
OPERATOR_TARGET = Target("/metrics", "/metrics")
TARGETS = {
    "entry callers": Target(SERVICE_PATH, SERVICE_PATH),
    "entry control": OPERATOR_TARGET,
    "entry operator": OPERATOR_TARGET,
    "sidecar data": Target("/v1/calls", "/v1/calls"),
    "sidecar control": OPERATOR_TARGET,
    "sidecar operator": OPERATOR_TARGET,
}


@asynccontextmanager
async def listener(name: str, tmp_path: Path) -> AsyncIterator[Listener]:
    """Start an entry and the sidecar of a service, and yield one of their listeners."""
    programs = Programs(tmp_path)
    try:
        platform = programs.start("chivehold.fakes.platform")
        fake = start_fake_upstream(programs, Role.SERVICE)
        sidecar = _start_sidecar(programs, fake.addresses()[0])
        limit_descriptors(sidecar.process.pid)
        entry = start_entry(
            programs,
            "entry-1",
            platform.addresses()[0],
            max_connections=MAX_REQUESTS,
            max_held_bytes=MAX_HELD_BYTES,
        )
        limit_descriptors(entry.process.pid)
        data, sidecar_control, sidecar_operator = sidecar.addresses()
        callers, entry_control, entry_operator = entry.addresses()
        upstream = Upstream("forja-1", Role.SERVICE, "sjo-a", data, sidecar_control, 20)
        await declare(entry_control, Service("forja", (upstream,), CLASSES))
        await wait_ready(entry_control, 1)
        addresses = {
            "entry callers": callers,
            "entry control": entry_control,
            "entry operator": entry_operator,
            "sidecar data": data,
            "sidecar control": sidecar_control,
            "sidecar operator": sidecar_operator,
        }
        process = (entry if name.startswith("entry") else sidecar).process
        call = _ordinary_call(name, addresses)
        yield Listener(process, addresses[name], TARGETS[name], call)
    finally:
        programs.kill_all()


def _start_sidecar(programs: Programs, upstream: str) -> RunningProgram:
    return programs.start_with_settings(
        "chivehold.sidecar",
        "forja-1",
        target="forja",
        role=Role.SERVICE,
        data_address=ANY_PORT,
        control_address=ANY_PORT,
        operator_address=ANY_PORT,
        upstream_address=upstream,
        places=20,
    )


def _ordinary_call(name: str, addresses: dict[str, str]) -> OrdinaryCall:
    """Return the call of an ordinary client; a sidecar serves it behind an entry."""

    async def call_service() -> bool:
        return await call_once(addresses["entry callers"], "POST", SERVICE_PATH)

    async def read_metrics() -> bool:
        return await call_once(addresses[name], "GET", "/metrics")

    async def read_status() -> bool:
        try:
            status = await call_operators(addresses[name], "Status", pb.StatusRequest())
        except RpcFailed:
            return False
        return bool(status.nodes)

    if name.endswith("operator"):
        return read_metrics
    return read_status if name == "entry control" else call_service


ATTACKED = [
    *(("entry callers", attack) for attack in ATTACKS),
    *product(("entry operator", "sidecar data", "sidecar operator"), COMMON_ATTACKS),
    *product(("entry control", "sidecar control"), RPC_ATTACKS),
]


@pytest.mark.parametrize(("name", "attack"), ATTACKED)
async def test_survives(name: str, attack: str, tmp_path: Path) -> None:
    """Guards against clients that end an entry or a sidecar, or fill its memory or descriptors."""
    async with listener(name, tmp_path) as attacked:
        await check_survives(attack, attacked)
