"""What the scripts of this review share: stand-ins, a client, the entry's process and the record.

The store and the engines are the project's own stand-ins with small additions. They and the clients
run in this process; each entry is a process of its own, started as the deploy file does.
"""

import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import trio

import chivehold.fakes.platform_upstream
from chivehold.asgi import Message, Receive, Scope, Send, respond_json
from chivehold.fakes.metadata_store import MetadataStore
from chivehold.fakes.platform_upstream import (
    REQUEST_ID_HEADER,
    ModelEngine,
    PlainUpstream,
)
from chivehold.http_server import ServerLimits, serve_http

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
GRACE_S = 8.0
PREFILL_TOKENS_PER_S = 33_333.0
CHUNK_TOKENS = 1_024
CONNECT_TIMEOUT_S = 1.0
BROKEN, KEPT, NOT_RUNNABLE = 1, 0, 2
MAX_HEADER_BYTES = 16_384
"""``maxHeaderBytes`` of the configuration."""
MAX_BODY_BYTES = 4 << 20
"""``maxBodyBytes`` of the configuration."""
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SETTINGS = """
name = "{name}"
zone = "piraeus"
caller_address = "127.0.0.1:{port}"
ready_address = "127.0.0.1:{ready}"
operator_address = "127.0.0.1:0"
exchange_address = "127.0.0.1:0"
store_address = "{store}"
retry_share = 0.2
retry_extra = 52
retry_window_s = 10
routes_deadline_ms = 2000
upstreams_deadline_ms = 2000
silence_allowance_ms = 3000
upstream_heartbeat_ms = 1200
shutdown_s = 8
"""


# The engines' stand-ins read less than our pages let a client send.
chivehold.fakes.platform_upstream.MAX_BODY_BYTES = MAX_BODY_BYTES


class Record:
    """Collects lines with the time since the start, and writes them to ``record.txt``."""

    def __init__(self, directory: Path) -> None:
        self._path = directory / "record.txt"
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    def add(self, text: str) -> float:
        """Add a line and return the present time."""
        now = time.monotonic()
        self._lines.append(f"{now - self._started_at:8.3f}  {text}")
        return now

    def write(self) -> None:
        """Write all lines."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Store(MetadataStore):
    """The metadata store, without the header that our pages do not name."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""

        async def send_plain(message: Message) -> None:
            if message["type"] == "http.response.start":
                headers = [header for header in message["headers"] if header[0] != b"store-era"]
                message = {**message, "headers": headers}
            await send(message)

        await super().__call__(scope, receive, send_plain)


class Arrival(NamedTuple):
    """A client's request that has reached an engine."""

    at: float
    engine: str
    request: str
    status: int


class Run:
    """An engine's work on a stream."""

    def __init__(self, engine: str, request: str, after: int) -> None:
        self.engine = engine
        self.request = request
        self.after = after
        """Number of the last event that the client has."""
        self.began_at = time.monotonic()
        self.ended_at = 0.0
        self.last_event = after

    def works_at(self, at: float) -> bool:
        """Return whether the engine works on the stream at a moment."""
        return self.began_at <= at < self.ended_at


class Engine(ModelEngine):
    """A model engine that reads prompts at the speed of the sites' engines, in chunks."""

    def __init__(self, name: str, stage: str, record: Record, capacity: int = 42_786) -> None:
        super().__init__(name, stage, capacity)
        self.record = record
        self.arrivals: list[Arrival] = []
        self.slowness = 1.0
        """How many times as long as usual a prefill takes."""
        self.pauses: dict[int, float] = {}
        """Seconds for which a stream pauses before the event with this number."""
        self.drops_closed = True
        """Whether a request whose connection is closed is dropped."""
        self.runs_of_streams: list[Run] = []
        self._reading = trio.Lock()
        self._prompt_tokens: dict[str, int] = {}

    async def _handle(
        self, scope: Scope, headers: Mapping[str, str], body: bytes, send: Send
    ) -> None:
        request = headers.get(REQUEST_ID_HEADER)
        if request is None:
            await super()._handle(scope, headers, body, send)
            return
        stage = headers.get("x-chivehold-stage", "decode")
        self._prompt_tokens[request] = int(headers["x-chivehold-token-count"].split(",")[0])
        now = self.record.add(f"{stage} of {request} reaches {self.name}")

        async def send_and_note(message: Message) -> None:
            if message["type"] == "http.response.start" and stage == "decode":
                self.arrivals.append(Arrival(now, self.name, request, message["status"]))
                self.record.add(f"{self.name} answers {request} with {message['status']}")
            await send(message)

        await super()._handle(scope, headers, body, send_and_note)

    async def _prefill(self, request: str, body: bytes, send: Send) -> None:
        left = self._prompt_tokens[request]
        while left > 0:
            async with self._reading:
                tokens = min(left, CHUNK_TOKENS)
                await trio.sleep(self.slowness * tokens / PREFILL_TOKENS_PER_S)
            left -= CHUNK_TOKENS
        handle = f"kv-{self.name}-{next(self._identifiers)}"
        self.handles[handle] = request
        result = {"kvRef": handle, "tokens": self._prompt_tokens[request], "version": 1}
        await respond_json(send, 200, result, [(REQUEST_ID_HEADER, request)])

    async def _stream(self, request: str, body: bytes, last: int, send: Send) -> None:
        run = Run(self.name, request, last)
        self.runs_of_streams.append(run)

        async def send_with_pauses(message: Message) -> None:
            part = message.get("body", b"")
            if part.startswith(b"id: "):
                number = int(part[4:].split(b"\n")[0])
                if pause_s := self.pauses.get(number):
                    self.record.add(f"{self.name} preempts {request} before event {number}")
                    await trio.sleep(pause_s)
                    self.record.add(f"{self.name} goes on with {request}")
                run.last_event = number
            await send(message)

        try:
            await super()._stream(request, body, last, send_with_pauses)
        finally:
            run.ended_at = time.monotonic()
            self.record.add(
                f"{self.name} ends its work on {request}: events {last + 1} to {run.last_event}"
            )

    async def _watch_disconnect(
        self,
        receive: Receive,
        headers: Mapping[str, str],
        response_ended: trio.Event,
        scope: trio.CancelScope,
    ) -> None:
        if self.drops_closed:
            await super()._watch_disconnect(receive, headers, response_ended, scope)
            return
        while (await receive())["type"] != "http.disconnect":
            pass
        if not response_ended.is_set():
            self.record.add(f"{self.name}: connection of {headers.get(REQUEST_ID_HEADER)} closed")


class Answer(NamedTuple):
    """What a client has received."""

    status: int
    """0 if the connection ended before a status."""
    headers: Mapping[str, str]
    body: bytes
    is_complete: bool
    detail: str
    took_s: float
    ended_at: float


async def call(
    address: str,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes = b"",
    timeout_s: float = 20.0,
) -> Answer:
    """Send a request on a new connection and read the answer to its end."""
    host, _, port = address.rpartition(":")
    started_at = time.monotonic()
    try:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            stream = await trio.open_tcp_stream(host, int(port))
    except (OSError, trio.TooSlowError) as error:
        now = time.monotonic()
        return Answer(0, {}, b"", False, f"not connected: {error}", now - started_at, now)
    async with stream:
        return await read_answer(stream, method, path, {"host": HOST, **headers}, body, timeout_s)


async def read_answer(
    stream: trio.SocketStream,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes = b"",
    timeout_s: float = 20.0,
) -> Answer:
    """Send a request on a connection and read the answer to its end."""
    started_at = time.monotonic()
    status, received, complete, detail = 0, b"", False, "no answer in time"
    fields: dict[str, str] = {}
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if method == "POST":
        lines.append(f"content-length: {len(body)}")
    data = b""
    with trio.move_on_after(timeout_s):
        try:
            await stream.send_all("\r\n".join([*lines, "", ""]).encode() + body)
            while b"\r\n\r\n" not in data:
                chunk = await stream.receive_some(65_536)
                if not chunk:
                    raise EOFError("closed before the head")
                data += chunk
            head, _, data = data.partition(b"\r\n\r\n")
            first, *rest = head.decode("latin-1").split("\r\n")
            status = int(first.split()[1])
            fields = {
                name.lower(): value.strip()
                for name, _, value in (line.partition(":") for line in rest)
            }
            while True:
                received, complete = _body_of(fields, data)
                if complete:
                    detail = "complete"
                    break
                chunk = await stream.receive_some(65_536)
                if not chunk:
                    raise EOFError("closed within the body")
                data += chunk
        except (trio.BrokenResourceError, EOFError) as error:
            detail = f"broken off: {error}"
    now = time.monotonic()
    return Answer(status, fields, received, complete, detail, now - started_at, now)


def _body_of(headers: Mapping[str, str], data: bytes) -> tuple[bytes, bool]:
    """Return what has arrived of a body, and whether that is all of it."""
    if "content-length" in headers:
        length = int(headers["content-length"])
        return data[:length], len(data) >= length
    body = b""
    while b"\r\n" in data:
        size_text, _, rest = data.partition(b"\r\n")
        size = int(size_text.split(b";")[0], 16)
        if size == 0:
            return body, True
        if len(rest) < size + 2:
            return body + rest[:size], False
        body += rest[:size]
        data = rest[size + 2 :]
    return body, False


class EntryProcess:
    """An entry, started with the command of the deploy file."""

    def __init__(self, name: str, store: str, directory: Path, extra: str = "") -> None:
        self.address = f"127.0.0.1:{free_port()}"
        self.ready_address = f"127.0.0.1:{free_port()}"
        self._log = (directory / f"{name}.log").open("wb")
        settings = directory / f"{name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=name,
                store=store,
                port=self.address.rpartition(":")[2],
                ready=self.ready_address.rpartition(":")[2],
            )
            + extra
        )
        environment = {**os.environ, "PYTHONPATH": str(ROOT / "target" / "deps")}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "chivehold", "direct", "--settings", str(settings)],
            stdout=self._log,
            stderr=subprocess.STDOUT,
            cwd=ROOT,
            env=environment,
        )

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until the entry says that it is ready."""
        with trio.move_on_after(timeout_s):
            while True:
                answer = await call(self.ready_address, "GET", "/v1/ready", {}, timeout_s=1.0)
                if answer.status == 200:
                    return True
                await trio.sleep(0.1)
        return False

    def memory_mb(self) -> float:
        """Return the resident memory of the process, in megabytes of 10^6 bytes."""
        try:
            fields = Path(f"/proc/{self.process.pid}/statm").read_text().split()
        except OSError:
            return 0.0
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._log.close()


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    import socket

    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


class World:
    """The stand-ins of one script and what they register in the store."""

    def __init__(self, directory: Path, nursery: trio.Nursery) -> None:
        self.record = Record(directory)
        self.store = Store()
        self.store_address = ""
        self.nursery = nursery
        self.scratch = Path(tempfile.mkdtemp(prefix="chivehold-review-"))
        self.entries: list[EntryProcess] = []
        self._specs: dict[str, dict[str, Any]] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._rng = Random(1)

    async def start_store(self) -> None:
        """Serve the store."""
        self.store_address = await self.serve(self.store)

    async def serve(self, app: Any) -> str:
        """Serve a stand-in on a free port and return its address."""
        limits = ServerLimits(drain_timeout_s=0.5, date_header=False)
        scope = trio.CancelScope()

        async def run(task_status: trio.TaskStatus[str]) -> None:
            with scope:
                await serve_http(app, "127.0.0.1:0", limits=limits, task_status=task_status)

        address: str = await self.nursery.start(run)
        self._scopes[getattr(app, "name", "store")] = scope
        return address

    def crash(self, name: str) -> None:
        """End an engine at once: its listener, its connections, and what it writes to the store."""
        self._scopes[name].cancel()
        del self._specs[name]

    async def add_upstream(
        self, upstream: PlainUpstream, service: str, slots: int, version: int = 1
    ) -> None:
        """Serve an upstream and register it."""
        address = await self.serve(upstream)
        spec = {
            "service": service,
            "address": address,
            "zone": "piraeus",
            "version": version,
            "slots": slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 0,
            "born": int(time.time() * 1_000),
        }
        if isinstance(upstream, ModelEngine):
            spec["stage"] = upstream.stage
        self._specs[upstream.name] = spec
        self.store.put("servers", upstream.name, dict(spec))
        self.nursery.start_soon(self._renew, upstream.name)

    def set_state(self, name: str, state: str) -> float:
        """Have an engine report its state, and return when the store has accepted that."""
        self._specs[name]["state"] = state
        self._specs[name]["seq"] += 1
        self.store.put("servers", name, dict(self._specs[name]))
        return self.record.add(f"the store accepts that {name} is {state}")

    def set_field(self, name: str, field: str, value: object) -> None:
        """Change a field of an engine's entry."""
        self._specs[name][field] = value
        self.store.put("servers", name, dict(self._specs[name]))

    def set_stage(self, name: str, stage: str) -> None:
        """Have an engine report its stage."""
        if name in self._specs:
            self._specs[name]["stage"] = stage
            self.store.put("servers", name, dict(self._specs[name]))

    def remove_upstream(self, name: str) -> float:
        """Have an engine's entry removed, and return when the store has done so."""
        del self._specs[name]
        self.store.remove("servers", name)
        return self.record.add(f"the store removes the entry of {name}")

    def is_registered(self, name: str) -> bool:
        """Return whether an engine has an entry."""
        return name in self._specs

    def start_entry(self, name: str, extra: str = "") -> EntryProcess:
        """Start an entry."""
        entry = EntryProcess(name, self.store_address, self.scratch, extra)
        self.entries.append(entry)
        return entry

    def end(self) -> None:
        """End all processes and write the record."""
        for entry in self.entries:
            entry.end()
        shutil.rmtree(self.scratch, ignore_errors=True)
        self.record.write()

    async def _renew(self, name: str) -> None:
        """Write an engine's entry about once in each interval while it has one."""
        while True:
            await trio.sleep(HEARTBEAT_S * self._rng.uniform(0.9, 1.1))
            if name not in self._specs:
                return
            spec = self._specs[name]
            spec["seq"] += 1
            self.store.put("servers", name, dict(spec))


def stream_route(name: str, service: str, *, resumable: bool) -> dict[str, Any]:
    """Return a route of streams as on the sites."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": "stream",
        "service": service,
        "timeoutMs": 14_000,
        "targetLatencyMs": 900,
        "priority": 1,
        "maxAttempts": 2 if resumable else 1,
        "sessionAffinity": True,
        "resumable": resumable,
        "gapAimMs": 300,
    }


def configuration(version: int, routes: list[dict[str, Any]], service: str) -> dict[str, Any]:
    """Return a configuration with one model service as on the sites."""
    engine = {
        "slots": 64,
        "kvCapacity": 42_786,
        "kvTokenBytes": 18_432,
        "linkMbps": 740_000.0,
        "stride": 13,
        "most": 12,
        "handleTtlS": 0.5,
        "reconfigS": 6.0,
        "pinMs": 4_000.0,
        "holdMs": 2_000.0,
        "models": [{"name": "m"}],
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": service,
                "healthPath": "/health",
                "maxConnections": 360,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            }
        ],
        "limits": {
            "maxHeaderBytes": MAX_HEADER_BYTES,
            "maxBodyBytes": MAX_BODY_BYTES,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


def stream_headers(request: str, prompt: int, output: int = 170) -> dict[str, str]:
    """Return the headers of a request for a stream."""
    return {
        "x-chivehold-request-id": request,
        "x-chivehold-model": "m",
        "x-chivehold-token-count": f"{prompt},{output}",
        "x-chivehold-prompt-prefix": f"5c1e07a2:200,{request}:{prompt - 200}",
        "x-chivehold-length-hint": str(output),
        "x-chivehold-deadline-ms": "14000",
    }


def run_case(file: str, play: Callable[[World], Any]) -> None:
    """Play a case and exit with its result."""

    async def main() -> int:
        result = NOT_RUNNABLE
        async with trio.open_nursery() as nursery:
            world = World(Path(file).resolve().parent, nursery)
            try:
                with trio.move_on_after(110):
                    result = await play(world)
            finally:
                world.record.add(f"result {result} (0 kept, 1 broken, 2 not run)")
                world.end()
            nursery.cancel_scope.cancel()
        return result

    sys.exit(trio.run(main))
