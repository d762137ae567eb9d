"""Runs sidecars with simulated upstreams in one trio loop, and a client that acts as an entry."""

from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from functools import partial
from typing import Any, TypeVar

import msgspec
import trio

from chivehold.core.identity import AttemptId, EntryIncarnation, RequestId, Role, Urgency
from chivehold.core.wire import (
    AttemptFrame,
    AttemptOffer,
    CallResult,
    FrameKind,
    Heartbeat,
    ImportOrder,
    LoadReport,
    PrefillOrder,
    PrefillResult,
)
from chivehold.fakes.engine import run_engine
from chivehold.fakes.engine_model import EngineCost
from chivehold.fakes.engine_runtime import EngineOptions
from chivehold.fakes.server import StandInAddresses
from chivehold.fakes.service import run_service
from chivehold.fakes.service_app import ServiceOptions
from chivehold.http_client import HttpClient, HttpResponse
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.channel import RpcChannel
from chivehold.rpc.chivehold_pb2_grpc import SidecarStub
from chivehold.rpc.convert import heartbeat_to_proto, load_report_from_proto
from chivehold.rpc.errors import RpcFailed
from chivehold.settings import SidecarSettings
from chivehold.sidecar.app import SidecarAddresses, run_sidecar

TOKEN = "a-token-of-the-tests"
HEARTBEAT_S = 0.3
ENTRY = EntryIncarnation("entry-1")
COST = EngineCost(kv_bytes_per_token=1_000, interval_base_s=0.002, interval_per_stream_s=0.0)
MessageT = TypeVar("MessageT")


def sidecar_settings(role: Role, upstream: str, **changes: Any) -> SidecarSettings:
    loopback = "127.0.0.1:0"
    return SidecarSettings(
        name=f"{role}-1",
        target="lector",
        role=role,
        zone="sjo-a",
        data_address=loopback,
        control_address=loopback,
        operator_address=loopback,
        upstream_address=upstream,
        places=4,
        token=TOKEN,
        status_poll_s=0.1,
        max_body_bytes=100_000,
    )._replace(**changes)


def attempt_id(number: int) -> AttemptId:
    return AttemptId(RequestId(f"request-{number}"), 1)


async def wait_until(condition: Callable[[], Awaitable[bool]], within_s: float = 5.0) -> None:
    with trio.fail_after(within_s):
        while not await condition():
            await trio.sleep(0.01)


class SidecarClient:
    """Calls one sidecar as an entry does."""

    def __init__(self, addresses: SidecarAddresses, client: HttpClient, token: str) -> None:
        self.addresses = addresses
        self.client = client
        self.headers = [("authorization", f"Bearer {token}")]
        self._channel = RpcChannel(addresses.control, token)
        self._stub = SidecarStub(self._channel.grpc_channel)

    def close(self) -> None:
        self._channel.close()

    async def rpc(self, method: str, request: Any) -> Any:
        return await self._channel.call(getattr(self._stub, method), request, 5.0)

    async def heartbeat(self) -> LoadReport:
        message = heartbeat_to_proto(Heartbeat(ENTRY, "", 0))
        return load_report_from_proto(await self.rpc("Heartbeat", message))

    async def dump(self) -> Any:
        return msgspec.json.decode((await self.rpc("Dump", pb.DumpRequest())).json)

    async def post(self, path: str, body: bytes, headers: Any = ()) -> HttpResponse:
        return await self.client.call(
            self.addresses.data,
            "POST",
            path,
            step="test",
            timeout_s=5.0,
            body=body,
            headers=[*self.headers, *headers],
        )

    async def operator(self, path: str) -> HttpResponse:
        peer = self.addresses.operator
        return await self.client.call(peer, "GET", path, step="test", timeout_s=5.0)

    async def offer(self, number: int, **changes: Any) -> AttemptOffer:
        report = await self.heartbeat()
        return AttemptOffer(
            attempt=attempt_id(number),
            entry=ENTRY,
            incarnation=report.incarnation,
            target="lector",
            organisation="bruma",
            share_weight=1.0,
            urgency=Urgency.URGENT,
            waited_s=0.0,
            start_within_s=60.0,
            deadline_in_s=60.0,
            prompt_tokens=100,
            max_tokens=50,
        )._replace(**changes)

    async def prefill(self, number: int, prompt: str) -> PrefillResult:
        report = await self.heartbeat()
        order = PrefillOrder(
            attempt=attempt_id(number),
            entry=ENTRY,
            incarnation=report.incarnation,
            target="lector",
            organisation="bruma",
            urgency=Urgency.URGENT,
            prompt=prompt,
            prompt_tokens=100,
            prefix_blocks=(1, 2),
            start_within_s=60.0,
            deadline_in_s=60.0,
        )
        answer = await self.post("/v1/prefills", msgspec.json.encode(order))
        return msgspec.json.decode(answer.body, type=PrefillResult)

    async def import_kv(self, kv: PrefillResult) -> bool:
        order = ImportOrder(
            kv.attempt, kv.handle, kv.engine_address, kv.kv_bytes, 100, kv.expires_in_s
        )
        answer = await self.post("/v1/imports", msgspec.json.encode(order))
        return msgspec.json.decode(answer.body, type=bool)

    async def call(
        self, offer: AttemptOffer, path: str = "/chairs", body: bytes = b"body", **head: Any
    ) -> CallResult:
        """Send a call through this sidecar."""
        call = ("PUT", path, [("idempotency-key", offer.attempt.request)])
        headers = [
            ("chivehold-offer", msgspec.json.encode(offer).decode()),
            ("chivehold-call", msgspec.json.encode(head.get("call", call)).decode()),
        ]
        answer = await self.post("/v1/calls", body, headers)
        assert answer.status == 200, answer
        result = msgspec.json.decode(answer.header("chivehold-result") or "", type=CallResult)
        return result._replace(body=answer.body)

    @asynccontextmanager
    async def frames(self, offer: AttemptOffer) -> AsyncIterator[AsyncIterator[AttemptFrame]]:
        """Open an attempt's stream; leaving the block closes it, as if the entry disconnected."""
        body = msgspec.json.encode(offer)
        async with self.client.stream(
            self.addresses.data,
            "POST",
            "/v1/attempts",
            step="test",
            body=body,
            headers=self.headers,
        ) as stream:
            assert stream.status == 200, await stream.read(10_000)

            async def decoded_frames() -> AsyncIterator[AttemptFrame]:
                async for lines in stream:
                    for line in lines:
                        yield msgspec.json.decode(line, type=AttemptFrame)

            yield decoded_frames()


class Rig:
    """Simulated upstreams by role, each with its sidecar."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.client = HttpClient()
        self.engines: dict[Role, StandInAddresses] = {}
        self.sidecars: dict[Role, SidecarClient] = {}
        self.shutdown: dict[Role, trio.Event] = {}
        self.ended: dict[Role, trio.Event] = {}
        self.entry_alive = True
        self._cancel_scopes: dict[Role, trio.CancelScope] = {}

    @property
    def decode(self) -> SidecarClient:
        return self.sidecars[Role.DECODE]

    @property
    def prefill(self) -> SidecarClient:
        return self.sidecars[Role.PREFILL]

    async def send_heartbeats(self) -> None:
        """Renew the entry's lease at all sidecars while ``entry_alive`` is set."""
        while True:
            await trio.sleep(HEARTBEAT_S)
            for role in list(self.sidecars):
                sidecar = self.sidecars.get(role)
                if sidecar is not None and self.entry_alive:
                    with suppress(RpcFailed):
                        await sidecar.heartbeat()

    async def start_engine(self, role: Role, cost: EngineCost = COST) -> None:
        options = EngineOptions(name=role, role=role, cost=cost, emit_every_s=0.005)
        self.engines[role] = await self.nursery.start(partial(run_engine, options))

    async def start_service(self, work_s: float) -> None:
        options = ServiceOptions("desk", work_s)
        self.engines[Role.SERVICE] = await self.nursery.start(partial(run_service, options))

    async def start_sidecar(self, role: Role, **changes: Any) -> None:
        """Start the sidecar of an upstream, after killing its predecessor if there is one."""
        await self.kill_sidecar(role)
        self._cancel_scopes[role], self.ended[role] = trio.CancelScope(), trio.Event()
        self.shutdown[role] = trio.Event()

        async def run(task_status: trio.TaskStatus[SidecarAddresses]) -> None:
            changed_settings = sidecar_settings(role, self.engines[role].data, **changes)
            shutdown, ended = self.shutdown[role], self.ended[role]
            with self._cancel_scopes[role]:
                await run_sidecar(changed_settings, shutdown=shutdown, task_status=task_status)
            ended.set()

        addresses = await self.nursery.start(run)
        self.sidecars[role] = SidecarClient(addresses, self.client, TOKEN)

    async def kill_sidecar(self, role: Role) -> None:
        """Stop a sidecar without draining it."""
        if role in self.sidecars:
            self._cancel_scopes[role].cancel()
            await self.ended[role].wait()
            self.sidecars.pop(role).close()

    async def inject_fault(self, role: Role, **fault: Any) -> None:
        await self.call_upstream(self.engines[role].control, "POST", "/faults", fault)

    async def held_attempts(self, role: Role = Role.DECODE) -> list[Any]:
        status = await self.call_upstream(self.engines[role].data, "GET", "/status")
        return status["held"]  # type: ignore[no-any-return]

    async def call_upstream(self, peer: str, method: str, path: str, body: Any = None) -> Any:
        encoded = b"" if body is None else msgspec.json.encode(body)
        answer = await self.client.call(
            peer, method, path, step="test", timeout_s=5.0, body=encoded
        )
        return msgspec.json.decode(answer.body)

    async def run_request(self, number: int, prompt: str, **changes: Any) -> tuple[str, ...]:
        """Run a request from offer to end and return its output, checking offsets and total."""
        offer = await self.decode.offer(number, **changes)
        tokens: list[str] = []
        async with self.decode.frames(offer) as frames:
            async for frame in frames:
                if frame.kind is FrameKind.GRANTED:
                    kv = await self.prefill.prefill(number, prompt)
                    assert await self.decode.import_kv(kv)
                elif frame.kind is FrameKind.TOKENS:
                    assert frame.offset == offer.first_offset + len(tokens)
                    tokens += frame.tokens
                elif frame.kind is FrameKind.FINISHED:
                    assert frame.offset == offer.first_offset + len(tokens)
                    return tuple(tokens)
                else:
                    assert frame.kind is FrameKind.QUEUED, frame
        raise AssertionError("the stream ended without its final frame")


@asynccontextmanager
async def start_rig(
    roles: Sequence[Role] = (Role.PREFILL, Role.DECODE), work_s: float = 0.02
) -> AsyncIterator[Rig]:
    """Start upstreams and sidecars of the given roles, and an entry's heartbeats."""
    async with trio.open_nursery() as nursery:
        rig = Rig(nursery)
        for role in roles:
            if role is Role.SERVICE:
                await rig.start_service(work_s)
            else:
                await rig.start_engine(role)
            await rig.start_sidecar(role)
        nursery.start_soon(rig.send_heartbeats)
        with trio.fail_after(15):
            yield rig
        nursery.cancel_scope.cancel()
    for sidecar in rig.sidecars.values():
        sidecar.close()
