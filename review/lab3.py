"""What the scripts of the cases share: stand-ins, entry processes, clients and the record.

A script runs in one process: it serves the store and the upstreams on loopback addresses, and
starts entries as separate processes with the command of the deploy file.
"""

import logging
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import trio

from chivehold.asgi import App
from chivehold.fakes.metadata_store import MetadataStore
from chivehold.fakes.platform_upstream import ModelEngine, PlainUpstream
from chivehold.http_server import ServerLimits, serve_http

REPOSITORY = Path(__file__).resolve().parent.parent
HOST = "shop.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

# The bounds are those of splatka-bnpl-grown.
SETTINGS = """\
name = "{name}"
zone = "zone-a"
caller_address = "127.0.0.1:{caller}"
ready_address = "127.0.0.1:{ready}"
operator_address = "127.0.0.1:{operator}"
exchange_address = "127.0.0.1:{exchange}"
store_address = "127.0.0.1:{store}"
retry_share = 0.2
retry_extra = 96
retry_window_s = 10
routes_deadline_ms = 3000
upstreams_deadline_ms = 3000
silence_allowance_ms = 4000
upstream_heartbeat_ms = 1200
shutdown_s = 8
"""


def free_port() -> int:
    """Return a free TCP port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Record:
    """Writes ``record.txt`` beside a script."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_at = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")
        self._file.flush()


class Entry:
    """An entry as a process of its own."""

    def __init__(self, name: str, folder: Path, store_port: int) -> None:
        self.name = name
        self.caller, self.ready, operator, exchange = (free_port() for _ in range(4))
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                caller=self.caller,
                ready=self.ready,
                operator=operator,
                exchange=exchange,
                store=store_port,
            )
        )
        self.process: subprocess.Popen[bytes] | None = None
        self.max_fds: int | None = None
        """Descriptors that the process may have; ``None`` for the limit of this machine."""

    def start(self) -> None:
        """Start the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "CHIVEHOLD_SETTINGS": str(self._settings),
        }
        command = [sys.executable, "-m", "chivehold", "direct", "--settings", str(self._settings)]
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_descriptors,
            )

    def _limit_descriptors(self) -> None:
        if self.max_fds is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)

    def log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""

    async def is_ready(self) -> bool:
        """Return whether the entry says that it is ready."""
        try:
            answer = await fetch(self.ready, "GET", "/v1/ready", {}, timeout_s=1.0)
        except (OSError, EOFError, trio.BrokenResourceError):
            return False
        return answer.status == 200

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the entry is ready."""
        with trio.fail_after(timeout_s):
            while not await self.is_ready():
                await trio.sleep(0.1)


class Lab:
    """The stand-ins of the platform and the upstreams."""

    def __init__(self, nursery: trio.Nursery, record: Record) -> None:
        self.nursery = nursery
        self.record = record
        self.store = MetadataStore()
        self.store_port = 0
        self.folder = Path(tempfile.mkdtemp(prefix="chivehold-review-"))
        self.entries: list[Entry] = []
        self.records: dict[str, dict[str, Any]] = {}

    async def listen(self, app: App) -> int:
        """Serve an application and return its port."""
        limits = ServerLimits(max_connections=2_000, keep_alive_s=30.0, drain_timeout_s=0.1)
        bound = await self.nursery.start(_serve, app, limits)
        return int(bound.rpartition(":")[2])

    async def listen_alone(self, app: App) -> tuple[int, trio.CancelScope]:
        """Serve an application; return its port and what ends it with all its connections."""
        scope = trio.CancelScope()
        limits = ServerLimits(max_connections=2_000, keep_alive_s=30.0, drain_timeout_s=0.1)

        async def serve(*, task_status: Any) -> None:
            with scope:
                await _serve(app, limits, task_status=task_status)

        bound = await self.nursery.start(serve)
        return int(bound.rpartition(":")[2]), scope

    async def start_store(self) -> None:
        """Serve the store."""
        self.store_port = await self.listen(self.store)
        self.nursery.start_soon(self._heartbeats)

    async def add_upstream(
        self, upstream: PlainUpstream, service: str, *, slots: int = 64, port: int = 0
    ) -> int:
        """Serve an upstream and have it listed in the store."""
        port = port or await self.listen(upstream)
        spec: dict[str, Any] = {
            "service": service,
            "address": f"127.0.0.1:{port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "coldLeftMs": 0,
            "born": time.time_ns() // 1_000_000,
            "seq": 1,
        }
        if isinstance(upstream, ModelEngine):
            spec["stage"] = upstream.stage
            spec["models"] = [{"name": "m", "version": 1, "adapters": []}]
        self.records[upstream.name] = spec
        self.store.put("servers", upstream.name, dict(spec))
        return port

    async def _heartbeats(self) -> None:
        """Renew the entry of each upstream every ``HEARTBEAT_S``, one after the other."""
        while True:
            names = list(self.records)
            for name in names:
                await trio.sleep(HEARTBEAT_S / len(names))
                if name in self.records:
                    self.records[name]["seq"] += 1
                    self.store.put("servers", name, dict(self.records[name]))
            if not names:
                await trio.sleep(HEARTBEAT_S)

    def add_entry(self, name: str) -> Entry:
        """Return an entry that is not started yet."""
        entry = Entry(name, self.folder, self.store_port)
        self.entries.append(entry)
        return entry

    def stop(self) -> None:
        """End the processes that this script has started and remove its folder."""
        for entry in self.entries:
            process = entry.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


async def _serve(app: App, limits: ServerLimits, *, task_status: Any) -> None:
    await serve_http(app, "127.0.0.1:0", limits=limits, task_status=task_status)


class Answer:
    """An answer as a client has read it."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False


class Client:
    """A client with one connection, which it uses for one request after the other."""

    def __init__(self, port: int, receive_buffer: int | None = None) -> None:
        self._port = port
        self._receive_buffer = receive_buffer
        self._stream: trio.SocketStream | None = None
        self._unread = b""

    async def connect(self) -> None:
        """Open the connection."""
        sock = trio.socket.socket()
        if self._receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer)
        await sock.connect(("127.0.0.1", self._port))
        self._stream = trio.SocketStream(sock)
        self._unread = b""

    async def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            await self._stream.aclose()
            self._stream = None

    async def request(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        pace: Callable[[int], Awaitable[None]] | None = None,
        read_bytes: int = 16_384,
        on_progress: Callable[[Answer], None] | None = None,
    ) -> Answer:
        """Send a request and read its answer.

        Args:
            method: The method.
            target: Path and query.
            headers: The headers besides ``Host`` and ``Content-Length``.
            body: The body.
            pace: Called before each read with the bytes read so far.
            read_bytes: Bytes read at a time.
            on_progress: Called after each read.
        """
        if self._stream is None:
            await self.connect()
        assert self._stream is not None
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        await self._stream.send_all("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        answer = Answer()
        data, self._unread = self._unread, b""
        has_head, read = False, 0
        while True:
            if not has_head and b"\r\n\r\n" in data:
                head, _, data = data.partition(b"\r\n\r\n")
                _read_head(answer, head)
                has_head = True
            if has_head:
                data = _read_body(answer, data)
                if answer.is_whole:
                    self._unread = data
                    return answer
            if pace is not None:
                await pace(read)
            try:
                chunk = await self._stream.receive_some(read_bytes)
            except trio.BrokenResourceError:
                chunk = b""
            if not chunk:
                await self.close()
                return answer
            read += len(chunk)
            data += chunk
            if on_progress is not None:
                on_progress(answer)


def _read_head(answer: Answer, head: bytes) -> None:
    status_line, *fields = head.decode("latin-1").split("\r\n")
    answer.status = int(status_line.split(" ")[1])
    for field in fields:
        name, _, value = field.partition(":")
        answer.headers[name.strip().lower()] = value.strip()


def _read_body(answer: Answer, data: bytes) -> bytes:
    """Add what has arrived of the body to the answer, and return the bytes not used yet."""
    if "content-length" in answer.headers:
        missing = int(answer.headers["content-length"]) - len(answer.body)
        answer.body += data[:missing]
        answer.is_whole = len(data) >= missing
        return data[missing:]
    while True:
        size_line, found, after = data.partition(b"\r\n")
        if not found:
            return data
        size = int(size_line.split(b";")[0], 16)
        if len(after) < size + 2:
            return data
        answer.body += after[:size]
        data = after[size + 2 :]
        if size == 0:
            answer.is_whole = True
            return data


async def fetch(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 30.0,
) -> Answer:
    """Send one request on a connection of its own."""
    client = Client(port)
    answer = Answer()
    with trio.move_on_after(timeout_s):
        answer = await client.request(method, target, headers, body)
    await client.close()
    return answer


def run_script(folder: Path, main: Callable[[Lab], Awaitable[bool]]) -> int:
    """Run a script's main function, which returns whether the rule held; return the exit code."""
    record = Record(folder)
    # The stand-ins share the product's server, which would write of clients that leave.
    logging.getLogger("chivehold").setLevel(logging.CRITICAL + 1)

    async def run() -> int:
        async with trio.open_nursery() as nursery:
            lab = Lab(nursery, record)
            try:
                with trio.fail_after(115):
                    await lab.start_store()
                    held = await main(lab)
                record.note(f"the rule {'held' if held else 'was broken'}")
                return EXIT_HELD if held else EXIT_BROKEN
            finally:
                lab.stop()
                nursery.cancel_scope.cancel()

    try:
        return trio.run(run)
    except BaseException as error:  # noqa: BLE001
        record.note(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return EXIT_NOT_RUN
