"""A small fleet of processes in which tests can inject faults and end them."""

import json
import os
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import NamedTuple

import msgspec
import trio

from chivehold.core.declared import CallRule, Deployment, Service, TrafficClass, Upstream
from chivehold.core.identity import Role, Urgency
from chivehold.core.keys import CLOCK_MARGIN_S
from chivehold.fakes.history import HistoryAnswer
from chivehold.history.checks import check_all
from chivehold.history.events import History, Shutdown
from chivehold.history.recorder import Recorder
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.channel import RpcChannel
from chivehold.rpc.chivehold_pb2_grpc import OperatorsStub
from chivehold.rpc.convert_declarations import declaration_to_proto
from chivehold.rpc.errors import RpcFailed
from tests.entry.deployed import call_operators, post
from tests.processes import TOKEN, Programs, RunningProgram, own_address
from tests.proofs.callers import Callers, EntryEndpoint

ANY_PORT = "127.0.0.1:0"
CLASSES = (
    TrafficClass("hook", Urgency.URGENT, 30.0),
    TrafficClass("review", Urgency.PATIENT, 300.0),
)
READY_TIMEOUT_S = 10.0
SETTLE_TIMEOUT_S = 4.0
POLL_INTERVAL_S = 0.05
KEY_REGISTRY_AGE_S = CLOCK_MARGIN_S + 0.1
"""A key registry that has run for less time cannot rule out that a key was used before."""
WITHOUT_VARIABLE = "CHIVEHOLD_WITHOUT"
PLACES = 6
ROLES = {
    "lector-p1": Role.PREFILL,
    "lector-d1": Role.DECODE,
    "lector-d2": Role.DECODE,
    "forja-1": Role.SERVICE,
    "forja-2": Role.SERVICE,
}
ENGINES = ("lector-p1", "lector-d1", "lector-d2")


class Node(NamedTuple):
    """A running sidecar or entry with its addresses."""

    name: str
    running: RunningProgram
    addresses: tuple[str, ...]

    @property
    def control(self) -> str:
        return self.addresses[1]

    @property
    def endpoint(self) -> EntryEndpoint:
        return EntryEndpoint(self.name, self.addresses[0])


class Fleet:
    """Runs two entries, the upstreams in ``ROLES`` with their sidecars, and a stand-in platform.

    Args:
        directory: Directory for settings and logs.
        engine_options: Additional command line options of the stand-in engines.
    """

    def __init__(self, directory: Path, *engine_options: str) -> None:
        self._programs = Programs(directory)
        self._engine_options = engine_options
        self._upstream_data: dict[str, str] = {}
        self._entry_count = 0
        self.upstream_control: dict[str, str] = {}
        self.platform = ""
        self.sidecars: dict[str, Node] = {}
        self.entries: dict[str, Node] = {}
        self.declared: dict[str, Deployment | Service] = {}

    @property
    def endpoints(self) -> list[EntryEndpoint]:
        return [entry.endpoint for entry in self.entries.values()]

    async def start(self, **entry_settings: object) -> None:
        """Start all processes, declare the targets and wait until both entries can use them."""
        platform = self._programs.start("chivehold.fakes.platform")
        stand_ins = {name: self._start_stand_in(name, role) for name, role in ROLES.items()}
        for name, stand_in in stand_ins.items():
            (self._upstream_data[name],) = stand_in.addresses()
            (self.upstream_control[name],) = stand_in.addresses()
        (self.platform,) = platform.addresses()
        starting = {name: self._start_sidecar(name) for name in ROLES}
        for name, running in starting.items():
            self.sidecars[name] = Node(name, running, tuple(running.addresses()))
        key_registries_ready_at = trio.current_time() + KEY_REGISTRY_AGE_S
        for _ in range(2):
            await self.start_entry(**entry_settings)
        lector, forja = self._specs()
        await self.apply(next(iter(self.entries.values())), lector, forja, operation_id="first")
        for entry in self.entries.values():
            await self.wait_ready(entry)
        await trio.sleep_until(key_registries_ready_at)

    def end(self) -> None:
        self._programs.kill_all()

    async def start_entry(self, **settings: object) -> Node:
        """Start another entry, without waiting until it is ready."""
        self._entry_count += 1
        name = f"entry-{self._entry_count}"
        ports = dict.fromkeys(("caller_address", "control_address", "operator_address"), ANY_PORT)
        running = self._start_daemon(
            "chivehold.entry", name, platform_address=self.platform, **ports, **settings
        )
        addresses = await trio.to_thread.run_sync(running.addresses)
        node = Node(name, running, tuple(addresses))
        self.entries[name] = node
        return node

    def kill_entry(self, name: str) -> None:
        self.entries.pop(name).running.kill()

    async def restart_sidecar(self, name: str) -> None:
        """Start a sidecar again at the addresses of the one that was killed."""
        running = self._start_sidecar(name, self.sidecars[name].addresses)
        addresses = await trio.to_thread.run_sync(running.addresses)
        self.sidecars[name] = Node(name, running, tuple(addresses))

    async def kill_and_restart_sidecar(self, name: str) -> None:
        self.sidecars[name].running.kill()
        await self.restart_sidecar(name)

    async def fault(self, upstream: str, **faults: object) -> None:
        """Set faults of an upstream; faults that are not named stay unchanged."""
        await post(self.upstream_control[upstream], "/faults", json.dumps(faults).encode())

    async def dropped_calls(self) -> int:
        """Return how many connections the upstreams have cut as their faults demanded."""
        dropped = 0
        for control in self.upstream_control.values():
            answer = await post(control, "/history", b"", method="GET")
            events = msgspec.json.decode(answer.content, type=HistoryAnswer)["events"]
            dropped += sum(event["kind"] == "dropped" for event in events)
        return dropped

    async def platform_fault(self, **faults: object) -> None:
        """Replace all faults of the platform by the given ones; without any, clear them."""
        answer = await post(self.platform, "/faults", json.dumps(faults).encode())
        assert answer.status == 200, answer.content

    async def apply(
        self, entry: Node, *specs: Deployment | Service, operation_id: str, **fields: object
    ) -> pb.ApplyResponse:
        messages = map(declaration_to_proto, specs)
        request = pb.ApplyRequest(declarations=messages, operation_id=operation_id, **fields)
        self.declared |= {spec.name: spec for spec in specs}
        return await call_operators(entry.control, "Apply", request)

    async def wait_ready(self, entry: Node, upstreams: int = len(ROLES)) -> None:
        """Wait until an entry reports the sidecars of ``upstreams`` upstreams as ready."""
        with trio.fail_after(READY_TIMEOUT_S):
            while True:
                status = await call_operators(entry.control, "Status", pb.StatusRequest())
                if (
                    sum(node.kind == "sidecar" and node.state == "ready" for node in status.nodes)
                    >= upstreams
                ):
                    return
                await trio.sleep(POLL_INTERVAL_S)

    async def held_attempts(self, engine: str) -> list[tuple[str, int]]:
        status = await post(self._upstream_data[engine], "/status", b"", method="GET")
        return json.loads(status.content)["held"]

    async def wait_until(
        self, condition: Callable[[], Awaitable[object]], timeout_s: float
    ) -> None:
        with trio.fail_after(timeout_s):
            while not await condition():
                await trio.sleep(POLL_INTERVAL_S)

    async def collect_history(self, recorder: Recorder) -> History:
        """Wait up to ``SETTLE_TIMEOUT_S`` until the engines hold nothing; return the history."""
        with trio.move_on_after(SETTLE_TIMEOUT_S):
            while any([await self.held_attempts(engine) for engine in ENGINES]):
                await trio.sleep(POLL_INTERVAL_S)
        for engine in ENGINES:
            recorder.add_engine_holdings(engine, await self.held_attempts(engine))
        for name, control in self.upstream_control.items():
            answer = await post(control, "/history", b"", method="GET")
            recorder.add_upstream_history(
                name, msgspec.json.decode(answer.content, type=HistoryAnswer)
            )
        return recorder.build_history()

    async def terminate(self, node: Node, recorder: Recorder, timeout_s: float) -> None:
        """Send SIGTERM, wait up to ``timeout_s`` for the exit, and record the shutdown."""
        began_at_s = time.time()
        node.running.signal(signal.SIGTERM)
        poll = partial(node.running.process.poll)
        with trio.move_on_after(timeout_s):
            while poll() is None:
                await trio.sleep(POLL_INTERVAL_S)
        code = poll()
        ended_at_s = None if code is None else time.time()
        is_entry = node.name.startswith("entry")
        recorder.add_shutdown(Shutdown(node.name, began_at_s, ended_at_s, code, is_entry))

    def _start_stand_in(self, name: str, role: Role) -> RunningProgram:
        if role is Role.SERVICE:
            return self._programs.start("chivehold.fakes.service", "--name", name)
        options = ("--role", role, "--name", name, "--places", str(PLACES), *self._engine_options)
        return self._programs.start("chivehold.fakes.engine", *options)

    def _start_sidecar(self, name: str, addresses: tuple[str, ...] | None = None) -> RunningProgram:
        role = ROLES[name]
        addresses = addresses or (own_address(),) * 3
        return self._start_daemon(
            "chivehold.sidecar",
            name,
            target=name.partition("-")[0],
            role=role,
            data_address=addresses[0],
            control_address=addresses[1],
            operator_address=addresses[2],
            upstream_address=self._upstream_data[name],
            places=PLACES,
            link_bytes_per_s=12.5e9 if role is Role.DECODE else 0.0,
            prefill_tokens_per_s=16_000.0,
        )

    def _start_daemon(self, module: str, name: str, **settings: object) -> RunningProgram:
        without = os.environ.get(WITHOUT_VARIABLE, "")
        if not without:
            return self._programs.start_with_settings(module, name, **settings)
        return self._programs.start_with_settings(
            "tests.proofs.without", name, arguments=(without, module), **settings
        )

    def _specs(self) -> tuple[Deployment, Service]:
        upstreams = {
            name: Upstream(name, ROLES[name], "sjo-a", *node.addresses[:2], PLACES)
            for name, node in self.sidecars.items()
        }
        by_role = {
            role: tuple(upstream for upstream in upstreams.values() if upstream.role is role)
            for role in Role
        }
        lector = Deployment(
            "lector",
            "m",
            by_role[Role.PREFILL],
            by_role[Role.DECODE],
            CLASSES,
            kv_bytes_per_token=160_000,
            default_class="hook",
        )
        rules = (CallRule("*", "/builds", True),)
        return lector, Service("forja", by_role[Role.SERVICE], CLASSES, rules, default_class="hook")


class Run:
    """A recorded run; ``history`` is empty until the run has ended."""

    def __init__(self) -> None:
        self.recorder = Recorder()
        self.callers = Callers(self.recorder)
        self.history = History()


@asynccontextmanager
async def checked_run(fleet: Fleet) -> AsyncIterator[Run]:
    """Record a run, with the revisions in force at all nodes; at its end, run all checkers.

    Raises:
        AssertionError: A checker found a violation.
    """
    run = Run()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_poll_revisions, fleet, run.recorder)
        yield run
        nursery.cancel_scope.cancel()
    run.history = await fleet.collect_history(run.recorder)
    violations = check_all(run.history)
    assert not violations, "\n".join(map(str, violations))


async def _poll_revisions(fleet: Fleet, recorder: Recorder) -> None:
    while True:
        for entry in list(fleet.entries.values()):
            await _record_revisions(entry, recorder)
        await trio.sleep(4 * POLL_INTERVAL_S)


async def _record_revisions(entry: Node, recorder: Recorder) -> None:
    channel = RpcChannel(entry.control, TOKEN)
    stub = OperatorsStub(channel.grpc_channel)
    asked_at_s = time.time()
    try:
        status = await channel.call(stub.Status, pb.StatusRequest(), 0.5)
    except RpcFailed:
        return
    finally:
        channel.close()
    for node in status.nodes:
        if node.incarnation:
            seen_by = f"{node.name} by {entry.name}"
            recorder.add_revision_sample(
                seen_by, node.incarnation, node.revision, asked_at_s - node.heard_ago_s
            )
