"""Everything of a run but its faults and callers: store, upstreams, links and entries."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

import trio

from chivehold.core.identity import UpstreamName
from chivehold.fakes.metadata_store import MetadataStore
from chivehold.history.events import Shutdown
from chivehold.history.recorder import Recorder
from chivehold.http_server import App, serve_http
from tests.soak.entries import Entry
from tests.soak.link import Link
from tests.soak.plan import ENGINES, PLAIN, Plan
from tests.soak.upstreams import Ledger, ProbeUpstream, SoakEngine, SoakService

HOST = "soak.example"
PROBES = 48
"""Services of which each configuration uses the next; more than one page of a list."""
PLAIN_TIMEOUT_MS = 2_000
STREAM_TIMEOUT_MS = 6_000
STAGE_POLL_S = 0.2
STORE = "store"
NEVER_S = float("inf")


class Trouble(NamedTuple):
    """A time in which something was wrong; times are Unix times in seconds."""

    subject: str
    """An entry, an upstream, or the store."""
    kind: str
    from_s: float
    until_s: float


class Hosted:
    """An upstream behind its link; it may end and start again under its name."""

    def __init__(self, name: str, ledger: Ledger, link: Link) -> None:
        self._name = name
        self._ledger = ledger
        self._runs = 0
        self.link = link
        self.is_down = False
        self.serving = trio.CancelScope()
        self.reborn()

    def reborn(self) -> None:
        """Become a new upstream that knows nothing of before."""
        self._runs += 1
        self.run = f"{self._name}#{self._runs}"
        self.born_ms = int(time.time() * 1_000)
        self.app: SoakEngine | SoakService
        if self._name in PLAIN:
            self.app = SoakService(self._name, self.run, self._ledger)
        else:
            stage = self._name.partition("-")[0]
            self.app = SoakEngine(self._name, self.run, stage, self._ledger)

    @property
    def service(self) -> str:
        return "plain" if self._name in PLAIN else "model"


class World:
    """The deployment of one run.

    Args:
        plan: Names the entries.
        directory: Where settings and logs go.
        nursery: Runs the stand-ins.
    """

    def __init__(self, plan: Plan, directory: Path, nursery: trio.Nursery) -> None:
        self._plan = plan
        self._directory = directory
        self._nursery = nursery
        self._engines: dict[str, SoakEngine] = {}
        self.store = MetadataStore()
        self.ledger = Ledger()
        self.recorder = Recorder()
        self.upstreams: dict[str, Hosted] = {}
        self.entries: dict[str, Entry] = {}
        self.troubles: list[Trouble] = []
        self.shutdowns: list[Shutdown] = []
        self.leaving: set[str] = set()
        self.configuration = 0

    async def start(self) -> None:
        """Start everything, and return once all entries are ready."""
        self.configure()
        for name in (*PLAIN, *ENGINES):
            self.upstreams[name] = Hosted(name, self.ledger, Link(self._nursery))
            await self._serve(self.upstreams[name])
            self.announce(name)
        self._nursery.start_soon(self._follow_stages)
        probe = await self._listen(ProbeUpstream("probe"), trio.CancelScope())
        for number in range(PROBES):
            self._announce(f"probe-{number}", f"probe-{number}", probe)
        store = await self._listen(self.store, trio.CancelScope())
        for name in self._plan.entries:
            await self._add_entry(name, store)
        async with trio.open_nursery() as nursery:
            for entry in self.entries.values():
                nursery.start_soon(entry.start)

    @contextmanager
    def trouble(self, subject: str, kind: str) -> Iterator[None]:
        """Note that something is wrong meanwhile."""
        began = Trouble(subject, kind, time.time(), NEVER_S)
        self.troubles.append(began)
        try:
            yield
        finally:
            self.troubles[self.troubles.index(began)] = began._replace(until_s=time.time())

    def configure(self) -> None:
        """Write the next configuration."""
        self.configuration += 1
        services: list[dict[str, Any]] = [
            {"name": "plain", "healthPath": "/health", "maxConnections": 100},
            {
                "name": "model",
                "maxConnections": 100,
                "engine": {
                    "kvCapacity": 10_000,
                    "stride": 13,
                    "holdMs": 2_000,
                    "handleTtlS": 1.0,
                    "reconfigS": 0.2,
                },
            },
        ]
        services += [{"name": f"probe-{number}"} for number in range(PROBES)]
        spec = {"version": self.configuration, "routes": self._routes(), "services": services}
        self.store.put("config", "main", spec)
        if not any(one.subject == STORE and one.until_s == NEVER_S for one in self.troubles):
            self.recorder.add_accepted_change(self.configuration, time.time())

    def version_of(self, probe: str) -> int:
        """Return the newest configuration that routes to a probe."""
        number = int(probe.rpartition("-")[2])
        return self.configuration - (self.configuration - number) % PROBES

    def announce(self, name: str) -> None:
        """Write an upstream's entry into the store, as it is now."""
        hosted = self.upstreams[name]
        state = "draining" if name in self.leaving else "ready"
        stage = {"stage": hosted.app.stage} if isinstance(hosted.app, SoakEngine) else {}
        at = hosted.link.address
        self._announce(name, hosted.service, at, state=state, born=hosted.born_ms, **stage)

    def leave(self, name: str) -> None:
        """Have an upstream say that it leaves."""
        self.leaving.add(name)
        self.announce(name)
        self.recorder.add_leaving_start(UpstreamName(self.upstreams[name].run), time.time())

    def returned(self, name: str) -> None:
        """Take note that an upstream that left comes back."""
        self.leaving.discard(name)

    def is_listed(self, name: str) -> bool:
        return ("servers", name) in self.store.names()

    def lapse(self, name: str) -> None:
        """Remove an entry of the list of upstreams."""
        if self.is_listed(name):
            self.store.remove("servers", name)

    async def crash(self, name: str) -> None:
        """End an upstream at once: connections break, memory is lost."""
        hosted = self.upstreams[name]
        hosted.is_down = True
        hosted.link.refuse()
        hosted.serving.cancel()
        hosted.link.reset()
        self.ledger.lost(hosted.run)

    async def reborn(self, name: str) -> None:
        """Start an upstream again under its name; it knows nothing of before."""
        self.upstreams[name].reborn()
        await self._serve(self.upstreams[name])
        self.upstreams[name].is_down = False
        self.announce(name)

    async def _follow_stages(self) -> None:
        """Engines list their stage anew when an order has changed it."""
        while True:
            await trio.sleep(STAGE_POLL_S)
            for name in ENGINES:
                app = self.upstreams[name].app
                listed = self.store.spec("servers", name) if self.is_listed(name) else None
                if isinstance(app, SoakEngine) and listed and listed["stage"] != app.stage:
                    self.announce(name)

    async def _serve(self, hosted: Hosted) -> None:
        hosted.serving.cancel()
        hosted.serving = trio.CancelScope()
        hosted.link.target = await self._listen(hosted.app, hosted.serving)
        await hosted.link.accept()
        if isinstance(hosted.app, SoakEngine):
            self._engines[hosted.link.address] = hosted.app
            hosted.app.peers = self._engines

    async def _add_entry(self, name: str, store: str) -> None:
        to_store, callers = Link(self._nursery, store), Link(self._nursery)
        await to_store.accept()
        await callers.accept()
        count = len(self._plan.entries)
        self.entries[name] = Entry(name, count, to_store, callers, self._directory)

    async def _listen(self, app: App, serving: trio.CancelScope) -> str:
        async def serve(task_status: trio.TaskStatus[str]) -> None:
            with serving:
                await serve_http(app, "127.0.0.1:0", task_status=task_status)

        return await self._nursery.start(serve)

    def _announce(self, name: str, service: str, address: str, **fields: Any) -> None:
        entry = {
            "service": service,
            "address": address,
            "zone": "zone-a",
            "slots": 32,
            "state": "ready",
            "born": int(time.time() * 1_000),
            "seq": 1,
        }
        self.store.put("servers", name, entry | fields)

    def _routes(self) -> list[dict[str, Any]]:
        probe = f"probe-{self.configuration % PROBES}"
        return [
            _route("/get/", "idempotent", "plain", maxAttempts=2),
            _route("/post/", "non_idempotent", "plain", maxAttempts=3),
            _route("/probe/", "idempotent", probe),
            _stream("/resume/", resumable=True, maxAttempts=3),
            _stream("/tell/", resumable=False, maxAttempts=3),
        ]


def _route(prefix: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": prefix,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": PLAIN_TIMEOUT_MS,
        "targetLatencyMs": 400,
        "maxAttempts": 1,
    } | fields


def _stream(prefix: str, **fields: Any) -> dict[str, Any]:
    timing = {"timeoutMs": STREAM_TIMEOUT_MS, "targetLatencyMs": 900, "sessionAffinity": True}
    return _route(prefix, "stream", "model", **timing, **fields)
