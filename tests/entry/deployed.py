"""Starts one deployment and one service as processes, behind one entry."""

import json
from contextlib import asynccontextmanager
from typing import NamedTuple

import httpcore
import trio

from chivehold.core.declared import Deployment, Service, TrafficClass, Upstream
from chivehold.core.identity import Role, Urgency
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.channel import RpcChannel
from chivehold.rpc.chivehold_pb2_grpc import OperatorsStub
from chivehold.rpc.convert_declarations import declaration_to_proto
from tests.processes import TOKEN, Programs, RunningProgram

ANY_PORT = "127.0.0.1:0"
CLASSES = (
    TrafficClass("hook", Urgency.URGENT, 30.0),
    TrafficClass("review", Urgency.PATIENT, 300.0),
)
READY_TIMEOUT_S = 5.0
POLL_S = 0.02
PROMPT = "Read the whole site and return a short summary. " * 20


class Deployed(NamedTuple):
    platform: str
    entry: RunningProgram
    callers: str
    control: str
    operator: str
    engines: dict[str, str]
    """Control address of each fake engine or service."""
    sidecars: dict[str, RunningProgram]
    upstreams: dict[str, Upstream]


def start_fake_upstream(programs: Programs, role: Role) -> RunningProgram:
    if role is Role.SERVICE:
        return programs.start("chivehold.fakes.service")
    return programs.start("chivehold.fakes.engine", "--role", role)


def start_sidecar(programs: Programs, name: str, target: str, role: Role, upstream: str):
    return programs.start_with_settings(
        "chivehold.sidecar",
        name,
        target=target,
        role=role,
        data_address=ANY_PORT,
        control_address=ANY_PORT,
        operator_address=ANY_PORT,
        upstream_address=upstream,
        places=20,
        link_bytes_per_s=1e9 if role is Role.DECODE else 0.0,
        prefill_tokens_per_s=10_000.0,
    )


def start_entry(programs: Programs, name: str, platform: str, **settings: object) -> RunningProgram:
    addresses = dict.fromkeys(("caller_address", "control_address", "operator_address"), ANY_PORT)
    return programs.start_with_settings(
        "chivehold.entry", name, platform_address=platform, **(addresses | settings)
    )


async def deploy(programs: Programs, decoders: int = 1) -> Deployed:
    """Start all processes, declare the targets and wait until the entry has reached them."""
    platform = programs.start("chivehold.fakes.platform")
    roles = {"lector-p1": Role.PREFILL, "forja-1": Role.SERVICE}
    roles |= {f"lector-d{number}": Role.DECODE for number in range(1, decoders + 1)}
    fakes = {name: start_fake_upstream(programs, role) for name, role in roles.items()}
    data, engines = {}, {}
    for name, fake in fakes.items():
        (data[name],) = fake.addresses()
        (engines[name],) = fake.addresses()
    sidecars = {
        name: start_sidecar(programs, name, name.partition("-")[0], role, data[name])
        for name, role in roles.items()
    }
    (platform_address,) = platform.addresses()
    entry = start_entry(
        programs,
        "entry-1",
        platform_address,
    )
    upstreams = {}
    for name, sidecar in sidecars.items():
        data_address, control_address, _ = sidecar.addresses()
        upstreams[name] = Upstream(name, roles[name], "sjo-a", data_address, control_address, 20)
    callers, control, operator = entry.addresses()
    lector = Deployment(
        "lector",
        "m",
        (upstreams["lector-p1"],),
        tuple(upstream for upstream in upstreams.values() if upstream.role is Role.DECODE),
        CLASSES,
        kv_bytes_per_token=1000,
    )
    forja = Service("forja", (upstreams["forja-1"],), CLASSES)
    await declare(control, lector, forja)
    await wait_ready(control, len(upstreams))
    return Deployed(
        platform_address, entry, callers, control, operator, engines, sidecars, upstreams
    )


async def declare(control: str, *specs: Deployment | Service) -> pb.ApplyResponse:
    messages = map(declaration_to_proto, specs)
    request = pb.ApplyRequest(declarations=messages, operation_id="declare-1")
    response = await call_operators(control, "Apply", request)
    assert all(change.kind == pb.CHANGE_KIND_CREATED for change in response.changes), response
    return response


async def call_operators(control: str, method: str, request):
    channel = RpcChannel(control, TOKEN)
    try:
        return await channel.call(getattr(OperatorsStub(channel.grpc_channel), method), request, 5)
    finally:
        channel.close()


async def wait_ready(control: str, upstreams: int) -> None:
    """Wait until all upstreams have answered an entry's heartbeats."""
    with trio.fail_after(READY_TIMEOUT_S):
        while True:
            status = await call_operators(control, "Status", pb.StatusRequest())
            ready = [
                node for node in status.nodes if node.kind == "sidecar" and node.state == "ready"
            ]
            if len(ready) == upstreams:
                return
            await trio.sleep(POLL_S)


async def post(address: str, path: str, body: bytes, headers=(), method: str = "POST"):
    """Send a request and return the complete response."""
    host = [("host", address), *headers]
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(method, f"http://{address}{path}", headers=host, content=body)


def completion(**fields: object) -> bytes:
    return json.dumps({"model": "lector", "prompt": PROMPT, "max_tokens": 40, **fields}).encode()


@asynccontextmanager
async def stream(deployed: Deployed, max_tokens: int):
    body = completion(stream=True, max_tokens=max_tokens)
    url = f"http://{deployed.callers}/v1/completions"
    headers = [("host", deployed.callers)]
    async with (
        httpcore.AsyncConnectionPool() as pool,
        pool.stream("POST", url, headers=headers, content=body) as response,
    ):
        yield response


def answer_text(events: bytes) -> str:
    *rows, done = events.decode().strip().split("\n\n")
    assert done == "data: [DONE]"
    return "".join(json.loads(row.removeprefix("data: "))["choices"][0]["text"] for row in rows)
