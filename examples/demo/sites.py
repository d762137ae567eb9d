"""Runs one example site as processes: platform, stand-ins, sidecars and two entries."""

import json
import os
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import trio

from chivehold.core.declarations import DeclaredSpec
from chivehold.core.declared import Deployment, Service, Upstream
from chivehold.core.identity import Role
from chivehold.declaration_files import read_declarations
from examples.demo.children import Child, Children

EXAMPLES_DIRECTORY = Path(__file__).parents[1]
ANY_PORT = "127.0.0.1:0"
SERVICE_WORK_S = 0.02


class SiteNames(NamedTuple):
    """The directory of a site's example, and the names and paths of its traffic."""

    name: str
    deployment: str
    service: str
    urgent_class: str
    patient_class: str
    lookup_path: str
    reservation_path: str
    killed_engine: str


BRUMA = SiteNames("bruma", "lector", "forja", "hook", "review", "/builds", "/publications", "d2")
KINISI = SiteNames(
    "kinisi", "casewriter", "loandesk", "check", "summary", "/chairs", "/reservations", "d3"
)


class RunningEntry(NamedTuple):
    """An entry process and its addresses."""

    child: Child
    caller_address: str
    control_address: str


class StandIn(NamedTuple):
    """A stand-in engine or service with its addresses."""

    role: Role
    data_address: str
    control_address: str


class Site:
    """The processes of one site.

    Args:
        names: Names of the example to run.
        children: Starts and stops the processes.
    """

    def __init__(self, names: SiteNames, children: Children) -> None:
        self.names = names
        self.entries: list[RunningEntry] = []
        self.stand_ins: dict[str, StandIn] = {}
        self._children = children
        self._directory = EXAMPLES_DIRECTORY / names.name
        self._platform = ""
        self._sidecar_addresses: list[str] = []
        self._entries_started = 0
        self._connections = 0

    async def start(self) -> None:
        """Start all processes and apply the declarations of the example."""
        path = self._directory / "declarations.toml"
        upstreams = [
            upstream for spec in read_declarations([path]) for upstream in _upstreams(spec)
        ]
        platform = await self._start("platform", "chivehold.fakes.platform")
        (self._platform,) = await platform.addresses()
        text = path.read_text()
        for upstream, addresses in zip(
            upstreams, await self._start_upstreams(upstreams), strict=True
        ):
            data, control, _ = addresses
            text = text.replace(f'"{upstream.data_address}"', f'"{data}"')
            text = text.replace(f'"{upstream.control_address}"', f'"{control}"')
            self._sidecar_addresses.append(control)
        processes = [await self.launch_entry() for _ in range(2)]
        for child in processes:
            await self.register_entry(child)
        declarations_file = self._children.directory / f"{self.names.name}-declarations.toml"
        declarations_file.write_text(text)
        await self.run_command("apply", "--wait", str(declarations_file))

    def next_entry(self) -> RunningEntry:
        """Return the entry for the next connection, as a round-robin load balancer chooses it."""
        self._connections += 1
        return self.entries[self._connections % len(self.entries)]

    async def add_entry(self) -> None:
        """Start another entry and wait until callers can use it."""
        await self.register_entry(await self.launch_entry())

    async def launch_entry(self) -> Child:
        """Start an entry process without waiting for it to listen."""
        self._entries_started += 1
        name = f"entry-{self._entries_started}"
        settings = self._settings(
            "entry",
            name=name,
            platform_address=self._platform,
            peer_addresses=self._sidecar_addresses[:2],
            caller_address=ANY_PORT,
        )
        return await self._start(name, "chivehold.cli", "entry", "--settings", settings)

    async def register_entry(self, child: Child) -> None:
        """Wait until an entry listens, then add it to the balancer."""
        callers, control, _ = await child.addresses()
        self.entries.append(RunningEntry(child, callers, control))

    async def run_command(self, *arguments: str) -> None:
        """Run a command of the operator's command line against the first entry.

        Raises:
            subprocess.CalledProcessError: The command exited with an error.
        """
        token = tomllib.loads((self._directory / "entry.toml").read_text())["token"]
        environment = {"CHIVEHOLD_ENTRY": self.entries[0].control_address, "CHIVEHOLD_TOKEN": token}
        command = [sys.executable, "-m", "chivehold.cli", *arguments]
        await trio.run_process(
            command, env=os.environ | environment, capture_stdout=True, capture_stderr=True
        )

    async def _start_upstreams(self, upstreams: list[Upstream]) -> list[list[str]]:
        children = [await self._start_stand_in(upstream) for upstream in upstreams]
        sidecars = []
        for upstream, child in zip(upstreams, children, strict=True):
            (data,) = await child.addresses()
            (control,) = await child.addresses()
            self.stand_ins[upstream.name] = StandIn(upstream.role, data, control)
            sidecars.append(await self._start_sidecar(upstream, data))
        return [await sidecar.addresses() for sidecar in sidecars]

    async def _start_stand_in(self, upstream: Upstream) -> Child:
        name = f"{upstream.name}-stand-in"
        if upstream.role is Role.SERVICE:
            arguments = ("--name", upstream.name, "--work-s", str(SERVICE_WORK_S))
            return await self._start(name, "chivehold.fakes.service", *arguments)
        arguments = ("--name", upstream.name, "--role", upstream.role)
        return await self._start(name, "chivehold.fakes.engine", *arguments)

    async def _start_sidecar(self, upstream: Upstream, address: str) -> Child:
        settings = self._settings(
            upstream.role.value,
            name=upstream.name,
            zone=upstream.zone,
            places=upstream.places,
            data_address=ANY_PORT,
            upstream_address=address,
        )
        return await self._start(upstream.name, "chivehold.cli", "sidecar", "--settings", settings)

    def _settings(self, settings_name: str, **overrides: object) -> str:
        fields = tomllib.loads((self._directory / f"{settings_name}.toml").read_text())
        fields |= overrides | {"control_address": ANY_PORT, "operator_address": ANY_PORT}
        path = self._children.directory / f"{self.names.name}-{overrides['name']}.toml"
        lines = (f"{key} = {json.dumps(value)}\n" for key, value in fields.items())
        path.write_text("".join(lines))
        return str(path)

    async def _start(self, name: str, module: str, *arguments: str) -> Child:
        return await self._children.start(f"{self.names.name}-{name}", module, *arguments)


def _upstreams(spec: DeclaredSpec) -> Iterator[Upstream]:
    if isinstance(spec, Service):
        yield from spec.upstreams
    elif isinstance(spec, Deployment):
        yield from (*spec.prefill, *spec.decode)
