"""Stand-ins of the platform's store, of model engines and of clients, and the start of entries.

They speak what PROTOCOL.md and DEPLOY.md say, on loopback addresses, with the standard library only.
All times are seconds of the monotonic clock since the start of the run.
"""

import asyncio
import itertools
import json
import os
import re
import secrets
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

HOST = "127.0.0.1"
REPOSITORY = Path(__file__).resolve().parent.parent
BOUNDS = {
    "drainMs": 2000,
    "contactMs": 3000,
    "graceS": 8,
    "configApplyMs": 2000,
    "retryBudgetRatio": 0.2,
    "retryBudgetExtra": 54,
    "budgetWindowS": 10,
}
"""Bounds of the site bruma-cr."""
_STARTED_AT = time.monotonic()


def now():
    return time.monotonic() - _STARTED_AT


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")

    def write(self, text):
        self._file.write(f"{now():8.3f} {text}\n")
        self._file.flush()


def free_port():
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


async def read_head(reader):
    """Return the first line and the headers (names in lower case) of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


class HttpStandIn:
    """An HTTP/1.1 server; subclasses answer in ``handle``."""

    def __init__(self):
        self.address = ""
        self._server = None
        self._writers = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, HOST, port, limit=1 << 20)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self):
        """End as a killed process does: no listener, and all connections reset."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_request_body(reader, headers)
                await self._handle_until_close(reader, writer, method, target, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle_until_close(self, reader, writer, method, target, headers, body):
        """Answer a request; work on it ends when its connection closes."""
        work = asyncio.ensure_future(self.handle(writer, method, target, headers, body))
        closed = asyncio.ensure_future(_wait_for_close(reader))
        try:
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                raise ConnectionResetError
            work.result()
        finally:
            for task in (work, closed):
                task.cancel()
            await asyncio.gather(work, closed, return_exceptions=True)

    async def handle(self, writer, method, target, headers, body):
        raise NotImplementedError

    async def respond(self, writer, status, body=b"", headers=()):
        lines = [f"HTTP/1.1 {status} S", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()

    async def respond_json(self, writer, status, value, headers=()):
        body = json.dumps(value, separators=(",", ":")).encode()
        await self.respond(writer, status, body, [("Content-Type", "application/json"), *headers])


async def _wait_for_close(reader):
    """Return when the peer has closed; these clients send nothing while they wait."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)


class RawJson:
    """A JSON text that the store gives out as another writer has written it."""

    def __init__(self, text):
        self.text = text


class Store(HttpStandIn):
    """The platform's metadata store."""

    PAGE = 50

    def __init__(self, record):
        super().__init__()
        self._record = record
        self._objects = {}
        self._changes = []
        self._oldest = 0
        self._changed = asyncio.Event()
        self.revision = 100
        self.era = None
        """Value of ``Store-Era``, if the store sends it."""

    def put(self, kind, name, spec):
        before = self._objects.get((kind, name))
        self.revision += 1
        created = before["metadata"]["createRevision"] if before else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "createRevision": created,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind, name] = stored
        self._note(kind, stored, False)
        return stored

    def remove(self, kind, name):
        stored = self._objects.pop((kind, name))
        self.revision += 1
        self._note(kind, stored, True)

    def spec(self, kind, name):
        stored = self._objects.get((kind, name))
        return stored["spec"] if stored else None

    def _note(self, kind, stored, tombstone):
        self._changes.append((self.revision, kind, {"object": stored, "tombstone": tombstone}))
        self._changed.set()
        self._changed = asyncio.Event()

    async def respond_json(self, writer, status, value, headers=()):
        raw = {}

        def replace(item):
            raw[f"@raw-{id(item)}@"] = item.text
            return f"@raw-{id(item)}@"

        text = json.dumps(value, separators=(",", ":"), default=replace)
        for placeholder, written in raw.items():
            text = text.replace(f'"{placeholder}"', written)
        typed = [("Content-Type", "application/json"), *headers]
        await self.respond(writer, status, text.encode(), typed)

    async def respond(self, writer, status, body=b"", headers=()):
        era = [] if self.era is None else [("Store-Era", self.era)]
        await super().respond(writer, status, body, [*headers, *era])

    async def handle(self, writer, method, target, headers, body):
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        kind, _, name = parts.path.removeprefix("/v1/objects/").partition("/")
        kind, name = unquote(kind), unquote(name)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if method != "GET":
            await self._write(writer, method, kind, name, query, body)
        elif name:
            stored = self._objects.get((kind, name))
            if stored:
                await self.respond_json(writer, 200, stored)
            else:
                await self.respond(writer, 404)
        elif "watch" in query:
            await self._watch(writer, kind, int(query["watch"]), int(query["waitMs"]) / 1000)
        else:
            names = sorted(n for k, n in self._objects if k == kind and n > query.get("after", ""))
            items = [self._objects[kind, n] for n in names[: self.PAGE]]
            page = {"items": items, "hasMore": len(names) > self.PAGE, "currentRev": self.revision}
            await self.respond_json(writer, 200, page)

    async def _watch(self, writer, kind, since, wait_s):
        if not self._oldest <= since <= self.revision:
            await self.respond(writer, 410)
            return
        until = now() + wait_s
        while not (events := self._events(kind, since)) and now() < until:
            try:
                await asyncio.wait_for(self._changed.wait(), until - now())
            except asyncio.TimeoutError:
                break
        body = {"events": events, "currentRev": self.revision}
        await self.respond_json(writer, 200, body)

    def _events(self, kind, since):
        return [event for revision, k, event in self._changes if k == kind and revision > since]

    async def _write(self, writer, method, kind, name, query, body):
        written = json.loads(body) if body else {}
        metadata = written.get("metadata", {})
        name = name or metadata["name"]
        stored = self._objects.get((kind, name))
        expected = metadata.get("revision") or int(query.get("revision", 0))
        if stored is None and method != "POST":
            await self.respond(writer, 404)
        elif stored and (method == "POST" or expected not in (0, stored["metadata"]["revision"])):
            await self.respond_json(writer, 409, stored)
        elif method == "DELETE":
            self.remove(kind, name)
            await self.respond_json(writer, 200, stored)
        else:
            self._record.write(f"store: {kind}/{name} written")
            await self.respond_json(writer, 200, self.put(kind, name, written["spec"]))


class Engine(HttpStandIn):
    """A model engine with memory, slots, reservations, prefills and streams."""

    by_address = {}

    def __init__(self, record, name, stage, capacity=30_236, slots=64, zone="zone-a"):
        super().__init__()
        self.record = record
        self.name = name
        self.stage = stage
        self.capacity = capacity
        self.slots = slots
        self.zone = zone
        self.service = "lm"
        self.born = int(time.time() * 1000)
        self.events = 40
        self.event_s = 0.2
        self.token_s = 1 / 33_333
        """Time to read one token of a prompt."""
        self.seq = 0
        self.fence = 0
        self.busy_until = 0.0
        self.prefill_free_at = 0.0
        self.memory = {}
        """Tokens held, by reservation or request, with the end of a reservation."""
        self.handles = {}
        """When each KV cache that nobody has fetched ends, by its handle."""
        self.arrivals = []
        """(time, request id, purpose) of each request that reached this engine."""
        self.runs = {}
        """[start, end] of each run, by request id; the end is ``None`` while it runs."""

    async def start(self, port=0):
        await super().start(port)
        self.by_address[self.address] = self

    def listing(self, state="ready"):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": 1,
            "born": self.born,
        }

    def has_room(self, tokens):
        current = now()
        self.memory = {k: v for k, v in self.memory.items() if v[1] is None or v[1] > current}
        used = sum(held for held, _ in self.memory.values())
        return used + tokens <= self.capacity and len(self.memory) < self.slots

    async def handle(self, writer, method, target, headers, body):
        path = urlsplit(target).path
        if headers.get("x-chivehold-expect-instance", self.name) != self.name:
            await self.respond(writer, 421)
        elif path == "/v1/hold-take":
            await self.hold(writer, json.loads(body))
        elif path == "/v1/report":
            await self.respond_json(writer, 200, self.report())
        elif path == "/v1/order":
            await self.order(writer, json.loads(body))
        elif method == "DELETE" and path.startswith("/v1/"):
            self.memory.pop(path.rpartition("/")[2], None)
            self.handles.pop(path.rpartition("/")[2], None)
            await self.respond(writer, 200)
        elif path == "/health":
            await self.respond(writer, 200, headers=[("X-Chivehold-Instance-Id", self.name)])
        else:
            await self.request(writer, headers)

    async def hold(self, writer, asked):
        if self.stage != "decode" or not self.has_room(asked["tokens"]):
            await self.refuse(writer)
            return
        hold = secrets.token_hex(6)
        self.memory[hold] = (asked["tokens"], now() + min(asked["ttlMs"], 2000) / 1000)
        await self.respond_json(writer, 200, {"hold": hold})

    async def refuse(self, writer, headers=()):
        await self.respond(writer, 503, headers=[("X-Chivehold-Not-Run", "1"), *headers])

    def report(self):
        used = sum(held for held, _ in self.memory.values())
        return {
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": now() < self.busy_until,
            "seq": self.seq,
            "queued": 0,
            "running": len(self.memory),
            "kvUsed": used,
            "kvTotal": self.capacity,
            "handles": 0,
            "pinned": 0,
            "held": 0,
            "born": self.born,
        }

    async def order(self, writer, order):
        line = f"order at {self.name}: {json.dumps(order)}"
        if order["fenceToken"] < self.fence:
            status = 412
        elif now() < self.busy_until or order.get("expect", self.seq) != self.seq:
            status = 409
        else:
            self.fence, status = order["fenceToken"], 202
            self.seq += 1
            self.busy_until = now() + 1.0
            self.stage = order["stage"]
            self.on_stage()
        self.record.write(f"{line} -> {status}")
        await self.respond(writer, status)

    def on_stage(self):
        """Called after a change of the stage, to change the listing."""

    async def request(self, writer, headers):
        request = headers["x-chivehold-request-id"]
        echo = [("X-Chivehold-Request-Id", request)]
        if headers.get("x-chivehold-stage") == "prefill":
            await self.prefill(writer, headers, request, echo)
            return
        self.arrivals.append((now(), request, "decode"))
        self.record.write(f"{self.name}: {request} arrives to decode")
        if self.stage != "decode":
            await self.respond(writer, 421, headers=echo)
            return
        if not self.can_fetch(headers.get("x-chivehold-kv-from", "")):
            self.record.write(f"{self.name}: {request} is not run, its KV cache cannot be fetched")
            await self.refuse(writer, echo)
            return
        prompt, output = map(int, headers["x-chivehold-token-count"].split(","))
        tokens, held_until = self.memory.pop(headers.get("x-chivehold-hold", ""), (0, 0))
        if held_until < now() and not self.has_room(prompt + output):
            await self.refuse(writer, echo)
            return
        self.memory[request] = (max(tokens, prompt), None)
        self.runs[request] = [now(), None]
        try:
            await self.stream(writer, echo, int(headers.get("last-event-id", 0)))
        finally:
            self.memory.pop(request, None)
            self.runs[request][1] = now()
            self.record.write(f"{self.name}: run of {request} ends")

    def can_fetch(self, source):
        """Take a KV cache at its engine; a handle can be taken once."""
        if not source:
            return True
        address, _, handle = source.partition("/")
        engine = self.by_address.get(address)
        return engine is not None and engine.handles.pop(handle, 0.0) > now()

    async def prefill(self, writer, headers, request, echo):
        self.arrivals.append((now(), request, "prefill"))
        self.record.write(f"{self.name}: {request} arrives to prefill")
        if self.stage != "prefill":
            await self.respond(writer, 421, headers=echo)
            return
        tokens = int(headers["x-chivehold-token-count"].split(",")[0])
        self.prefill_free_at = max(now(), self.prefill_free_at) + tokens * self.token_s
        await asyncio.sleep(self.prefill_free_at - now())
        handle = secrets.token_hex(6)
        self.handles[handle] = now() + 0.5
        answer = {"kvRef": handle, "tokens": tokens, "version": 1}
        await self.respond_json(writer, 200, answer, echo)

    async def stream(self, writer, echo, last):
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"X-Chivehold-Server-Stamp: s.{self.name}",
            "X-Chivehold-Weight-Versions: 1",
            *(f"{name}: {value}" for name, value in echo),
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(last + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {echo[0][1]}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Service(HttpStandIn):
    """An instance of a plain service."""

    def __init__(self, record, name, service="app", work_s=0.25, zone="zone-a"):
        super().__init__()
        self.record = record
        self.name = name
        self.service = service
        self.work_s = work_s
        self.zone = zone
        self.leaves = False
        self.arrivals = []
        """(time, request id) of each request that reached this instance."""
        self.runs = []
        """Ids of the requests that were run."""

    def listing(self, state="ready"):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": state,
            "coldLeftMs": 0,
            "seq": 1,
        }

    async def handle(self, writer, method, target, headers, body):
        if headers.get("x-chivehold-expect-instance", self.name) != self.name:
            await self.respond(writer, 421)
            return
        if urlsplit(target).path == "/health":
            status = 503 if self.leaves else 200
            await self.respond(writer, status, headers=[("X-Chivehold-Instance-Id", self.name)])
            return
        request = headers["x-chivehold-request-id"]
        self.arrivals.append((now(), request))
        self.runs.append(request)
        self.record.write(f"{self.name}: {request} arrives and runs")
        await asyncio.sleep(self.work_s)
        echo = [
            ("X-Chivehold-Request-Id", request),
            ("X-Chivehold-Server-Stamp", f"s.{self.name}"),
        ]
        await self.respond(writer, 200, f"{self.name} ran {request}".encode(), echo)


class KeptClient:
    """A client that keeps its connection for many requests, one after the other."""

    numbers = itertools.count(1)

    def __init__(self, record, entry, answers):
        self._record = record
        self._entry = entry
        self._answers = answers
        self._reader = self._writer = None

    async def run(self, path, pause_s, until):
        while now() < until:
            await self.request(path)
            await asyncio.sleep(pause_s)
        if self._writer is not None:
            self._writer.close()

    async def request(self, path, deadline_ms=1500):
        answer = Answer(f"q{next(self.numbers)}", self._entry)
        is_new = self._writer is None
        try:
            if is_new:
                host, port = self._entry.address.rsplit(":", 1)
                opening = asyncio.open_connection(host, int(port))
                self._reader, self._writer = await asyncio.wait_for(opening, 1.0)
            head = [
                f"POST {path} HTTP/1.1",
                "Host: review.example",
                f"X-Chivehold-Request-Id: {answer.request}",
                f"X-Chivehold-Deadline-Ms: {deadline_ms}",
                "Content-Length: 4",
            ]
            self._writer.write("\r\n".join(head).encode() + b"\r\n\r\nbody")
            await self._writer.drain()
            answer.sent_at = now()
            await asyncio.wait_for(_read_answer(self._reader, answer), deadline_ms / 1000)
        except asyncio.TimeoutError:
            answer.end = "client's deadline"
        except (asyncio.IncompleteReadError, OSError):
            answer.end = "connection closed" if answer.sent_at else "no connection"
        answer.ended_at = now()
        self._answers.append(answer)
        if answer.end or answer.status != 200:
            self._record.write(
                f"client: {answer.request} by {self._entry.name}: status {answer.status}, "
                f"{answer.end or 'whole'}"
            )
        if answer.end or answer.headers.get("connection", "").lower() == "close":
            if self._writer is not None:
                self._writer.close()
            self._reader = self._writer = None


class Answer:
    """What became of one request of a client."""

    def __init__(self, request, entry):
        self.request = request
        self.entry = entry
        self.sent_at = None
        """When the last byte was sent; ``None`` if there was no connection."""
        self.ended_at = 0.0
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.end = ""


async def send(record, address, request, path, *, method="POST", headers=(), body=b"x", wait_s=20.0):
    """Send one request on a new connection and read its answer to the end."""
    answer = Answer(request, address)
    host, port = address.rsplit(":", 1)
    try:
        connecting = asyncio.open_connection(host, int(port), limit=1 << 20)
        reader, writer = await asyncio.wait_for(connecting, 1.0)
    except (OSError, asyncio.TimeoutError):
        answer.ended_at, answer.end = now(), "no connection"
        record.write(f"client: {request} to {address}: no connection")
        return answer
    lines = [f"{method} {path} HTTP/1.1", "Host: review.example", f"X-Chivehold-Request-Id: {request}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "Connection: close"]
    try:
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        answer.sent_at = now()
        record.write(f"client: {request} sent to {address}")
        await asyncio.wait_for(_read_answer(reader, answer), wait_s)
    except asyncio.TimeoutError:
        answer.end = "client's deadline"
    except (asyncio.IncompleteReadError, ConnectionError):
        answer.end = "connection closed without a complete answer"
    finally:
        writer.close()
    answer.ended_at = now()
    took = answer.ended_at - (answer.sent_at or answer.ended_at)
    record.write(
        f"client: {request}: status {answer.status}, {answer.end or 'whole'}, after {took:.3f} s, "
        f"{len(answer.body)} B, retry-after {answer.headers.get('retry-after')}"
    )
    return answer


async def _read_answer(reader, answer):
    first, answer.headers = await read_head(reader)
    answer.status = int(first.split(" ")[1])
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while size := int(await _line(reader), 16):
            answer.body += await reader.readexactly(size)
            await _line(reader)
        await _line(reader)
    else:
        answer.body = await reader.readexactly(int(answer.headers.get("content-length", 0)))
    answer.complete = True


async def _line(reader):
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise asyncio.IncompleteReadError(line, None)
    return line


def render(template, fields):
    """Fill in the template of an entry's settings as DEPLOY.md says."""

    def section(match):
        kind, name, inner = match.group(1), match.group(2), match.group(3)
        value = _value(name, fields)
        return inner if bool(value) == (kind == "#") else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)

    def value(match):
        found = _value(match.group(1), fields)
        if match.group(2):
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def _value(name, fields):
    for part in name.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)]
        elif isinstance(fields, dict):
            fields = fields.get(part)
        else:
            return None
    return fields


class Entry:
    """A process of the program, started as the deploy file says."""

    def __init__(self, directory, name, zone, store, bounds, ip=HOST, extra=None):
        self.name = name
        front, ready, exchange = (f"{ip}:{free_port()}" for _ in range(3))
        self.address, self.ready_address = front, ready
        fields = {
            "nodeName": name,
            "zone": zone,
            "ip": ip,
            "internalPorts": [int(exchange.rsplit(":", 1)[1])],
            "listen": {"front": front, "ready": ready},
            "platformApi": {"address": store},
            "heartbeatMs": 1200,
            "bounds": bounds,
        }
        template = (REPOSITORY / "deploy/entry.toml.template").read_text()
        # On one machine the port of the metrics must differ between entries that share an address.
        template = template.replace(":9464", f":{free_port()}")
        self._settings = Path(directory) / f"{name}.toml"
        self._settings.write_text(render(template, fields))
        self._log = open(Path(directory) / f"{name}.log", "ab")
        self.process = None
        self.record = None
        self.ends = []
        """(time, exit status) of each end of the process that no signal of the test caused."""

    @property
    def log_text(self):
        return Path(self._log.name).read_text(errors="replace")

    async def start(self, **kwargs):
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "CHIVEHOLD_SETTINGS": str(self._settings),
        }
        command = ["-m", "chivehold", "direct", "--settings", str(self._settings)]
        self.process = await asyncio.create_subprocess_exec(
            "python3", *command, cwd=REPOSITORY, env=environment, stdout=self._log, stderr=self._log,
            **kwargs,
        )

    async def keep_running(self, delay_s=0.5):
        """Start the process again whenever it ends by itself, as the platform does."""
        while True:
            status = await self.process.wait()
            self.ends.append((now(), status))
            self.record.write(f"{self.name} ended by itself with status {status}")
            await asyncio.sleep(delay_s)
            await self.start()

    def last_error(self):
        """Return the last line of the log that names an exception."""
        lines = [line for line in self.log_text.splitlines() if re.search(r"\w+Error\b", line)]
        return lines[-1].strip(" |") if lines else ""

    async def wait_ready(self, timeout_s=20.0):
        until = now() + timeout_s
        while now() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")

    async def is_ready(self):
        host, port = self.ready_address.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1.0)
            return first.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


def plain_route(prefix="/hook/", service="app", kind="non_idempotent", attempts=1):
    return {
        "name": prefix.strip("/"),
        "host": "review.example",
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 800,
        "targetLatencyMs": 300,
        "priority": 2,
        "service": service,
        "maxAttempts": attempts,
    }


def stream_route(prefix, priority=1, target_ms=900, resumable=False):
    return {
        "name": prefix.strip("/"),
        "host": "review.example",
        "pathPrefix": prefix,
        "kind": "stream",
        "timeoutMs": 14000,
        "targetLatencyMs": target_ms,
        "priority": priority,
        "service": "lm",
        "maxAttempts": 2 if resumable else 1,
        "sessionAffinity": True,
        "resumable": resumable,
        "gapAimMs": 300,
    }


def configuration(routes, version=3):
    engine = {
        "slots": 64,
        "kvCapacity": 30236,
        "kvTokenBytes": 18432,
        "linkMbps": 740000.0,
        "stride": 13,
        "handleTtlS": 0.5,
        "reconfigS": 6.0,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "models": [{"name": "m"}],
    }
    common = {"healthPath": "/health", "maxConnections": 460, "protocol": "h1", "tls": False}
    services = [{"name": "lm", **common, "engine": engine}, {"name": "app", **common}]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def stream_headers(number, prompt=3200, output=816, deadline_s=14.0):
    return [
        ("X-Chivehold-Model", "m"),
        ("X-Chivehold-Token-Count", f"{prompt},{output}"),
        ("X-Chivehold-Prompt-Prefix", f"{number % 5:x}a:200,{number:x}b:{prompt - 200}"),
        ("X-Chivehold-Deadline-Ms", str(int(deadline_s * 1000))),
    ]


def lost_on_kept_connections(answers, servers):
    """Return the requests that reached a sound server and whose kept connection then ended."""
    arrived = {request for server in servers for _, request in server.arrivals}
    return [
        answer
        for answer in answers
        if answer.end == "connection closed" and not answer.complete and answer.request in arrived
    ]


def run_case(case, main):
    """Run a case's coroutine and exit with 1 if it returns broken rules, 0 if none, else 2."""
    folder = Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"case {case}, TROUBLE={int(trouble)}")
    entries = []

    async def guarded(directory):
        try:
            return await asyncio.wait_for(main(record, directory, entries, trouble), 110)
        finally:
            for entry in entries:
                await entry.end()

    try:
        with tempfile.TemporaryDirectory() as directory:
            try:
                broken = asyncio.run(guarded(directory))
            finally:
                if os.environ.get("KEEP_LOGS"):
                    for log in Path(directory).glob("*.log"):
                        (Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())
    except Exception as error:  # The case could not run.
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        raise SystemExit(2) from error
    for line in broken:
        record.write(f"BROKEN {line}")
        print(f"BROKEN {line}")
    if not broken:
        record.write("held")
        print("held")
    raise SystemExit(1 if broken else 0)
