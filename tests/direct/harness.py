"""Test harness: an entry without sidecars with fake store and upstreams, all in one process."""

import os
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import trio

from chivehold.asgi import App
from chivehold.direct.app import DirectEntry
from chivehold.fakes.metadata_store import MetadataStore
from chivehold.fakes.platform_upstream import ModelEngine, PlainUpstream
from chivehold.http_client import HttpClient, HttpResponse, RawResponse
from chivehold.http_server import ServerLimits, serve_http
from chivehold.logs import DroppedLogLines, NonBlockingHandler, RateLimitFilter
from chivehold.platform import BINDING
from chivehold.settings import DirectSettings

HOST = "site.example"
RETRY_WINDOW_S = 0.1
ENGINE_CONFIG = {
    "kvCapacity": 10_000,
    "stride": 13,
    "holdMs": 2_000,
    "handleTtlS": 0.5,
    "reconfigS": 0.2,
}


def route(prefix: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route in the operator's configuration format."""
    return {
        "name": prefix,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": 3_000,
        "targetLatencyMs": 400,
        "maxAttempts": 2,
    } | fields


STREAM = {"sessionAffinity": True, "targetLatencyMs": 900}
ROUTES = [
    route("/get/", "idempotent", "plain"),
    route("/post/", "non_idempotent", "plain", maxAttempts=1),
    route("/short/", "non_idempotent", "plain", maxAttempts=1, timeoutMs=300),
    route("/tell/", "stream", "model", resumable=False, maxAttempts=1, **STREAM),
    route("/paced/", "stream", "model", gapAimMs=100, **STREAM),
    route("/resume/", "stream", "model", resumable=True, **STREAM),
]


PLAIN_HEADERS = ServerLimits(date_header=False)


class EntryHarness:
    """An entry with its store, its upstreams and a client that acts as the caller."""

    def __init__(self, nursery: trio.Nursery, store: MetadataStore | None = None) -> None:
        self._nursery = nursery
        self._client = HttpClient()
        self._scopes: dict[int, trio.CancelScope] = {}
        self.store = store or MetadataStore()
        self.address = ""
        self.ready_address = ""
        self.operator_address = ""
        self.entry: DirectEntry

    async def listen(self, app: App) -> str:
        """Serve a fake and return its address."""
        scope = self._scopes[id(app)] = trio.CancelScope()

        async def serve(task_status: trio.TaskStatus[str]) -> None:
            with scope:
                await serve_http(app, "127.0.0.1:0", limits=PLAIN_HEADERS, task_status=task_status)

        return await self._nursery.start(serve)

    async def stop(self, app: App) -> None:
        """Stop a fake as in a crash, so that its address refuses connections."""
        self._scopes[id(app)].cancel()
        await trio.sleep(0.05)

    async def add_upstream(self, upstream: PlainUpstream, service: str) -> str:
        """Start an upstream, list it in the store, and return its address."""
        address = await self.listen(upstream)
        self.list_upstream(upstream, service, address)
        return address

    def list_upstream(
        self, upstream: PlainUpstream, of: str, at: str, fields: Mapping[str, Any] | None = None
    ) -> None:
        """Write an upstream's record into the store."""
        stage = {"stage": upstream.stage} if isinstance(upstream, ModelEngine) else {}
        if isinstance(upstream, ModelEngine) and upstream.software:
            stage["version"] = upstream.software
        record = {
            "service": of,
            "address": at,
            "zone": "zone-a",
            "slots": 8,
            "state": "ready",
            "born": 1,
            "seq": 1,
        }
        self.store.put("servers", upstream.name, record | stage | dict(fields or {}))

    def configure(
        self,
        version: int,
        routes: list[dict[str, Any]],
        organisations: object = None,
        max_body_bytes: int = 100_000,
    ) -> None:
        """Write a configuration into the store."""
        services = [
            {"name": "plain", "healthPath": "/health", "maxConnections": 100},
            {"name": "model", "maxConnections": 100, "engine": ENGINE_CONFIG},
        ]
        spec: dict[str, Any] = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {"maxBodyBytes": max_body_bytes},
        }
        if organisations is not None:
            spec["tenants"] = organisations
        self.store.put("config", "main", spec)

    async def apply(
        self, version: int, routes: list[dict[str, Any]], organisations: object = None
    ) -> None:
        """Write a configuration into the store and wait until the entry uses it."""
        self.configure(version, routes, organisations)
        await wait_until(lambda: self.entry.dump()["configuration"] == version)

    async def call(
        self,
        path: str,
        request: str = "r1",
        method: str = "GET",
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        further: Sequence[tuple[bytes, bytes]] = (),
    ) -> HttpResponse:
        """Send a request and read the complete response; ``further`` may repeat headers."""
        raw = [
            (key.encode(), value.encode()) for key, value in self._headers(request, headers).items()
        ]
        with trio.fail_after(10.0):
            async with self._client.relay(
                self.address,
                method,
                path.encode(),
                step="call",
                headers=[*raw, *further],
                body=body,
            ) as response:
                chunks = [chunk async for chunk in response.chunks]
        text = tuple((key.decode(), value.decode()) for key, value in response.headers)
        return HttpResponse(response.status, text, b"".join(chunks))

    @asynccontextmanager
    async def stream(
        self,
        path: str,
        request: str = "r1",
        headers: Mapping[str, str] | None = None,
        body: bytes = b"prompt",
    ) -> AsyncIterator[RawResponse]:
        """Send a request and yield the response as it arrives."""
        tokens = {"x-chivehold-token-count": "100,200", "x-chivehold-length-hint": "100"}
        raw = [
            (key.encode(), value.encode())
            for key, value in self._headers(request, {**tokens, **(headers or {})}).items()
        ]
        async with self._client.relay(
            self.address, "POST", path.encode(), step="stream", headers=raw, body=body
        ) as response:
            yield response

    async def events(
        self, path: str, request: str = "r1", prompt: bytes = b"prompt", **headers: str
    ) -> list[int]:
        """Send a request for a stream and return the numbers of its events."""
        async with self.stream(path, request, headers, prompt) as response:
            assert response.status == 200, response
            body = b"".join([chunk async for chunk in response.chunks])
        return [int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")]

    async def is_ready(self) -> bool:
        """Return the result of the load balancer's health check."""
        response = await self._client.call(
            self.ready_address, "GET", "/v1/ready", step="ready", timeout_s=2.0
        )
        return response.status == 200

    async def metrics(self) -> bytes:
        """Return the entry's metrics as text."""
        response = await self._client.call(
            self.operator_address, "GET", "/metrics", step="metrics", timeout_s=2.0
        )
        return response.body

    async def dump(self) -> dict[str, Any]:
        """Return the entry's state."""
        response = await self._client.call(
            self.operator_address, "GET", "/dump", step="dump", timeout_s=2.0
        )
        return dict(msgspec.json.decode(response.body))

    async def post_operator(self, path: str, body: bytes) -> int:
        """Send a request to the entry's operator address and return the answer's status."""
        response = await self._client.call(
            self.operator_address, "POST", path, step="operator", timeout_s=2.0, body=body
        )
        return response.status

    async def aclose(self) -> None:
        """Close the caller's connections."""
        await self._client.aclose()

    def _headers(self, request: str, headers: Mapping[str, str] | None) -> dict[str, str]:
        sent_headers = {"host": HOST, "x-chivehold-request-id": request}
        return {**sent_headers, "x-chivehold-deadline-ms": "5000", **(headers or {})}


async def wait_until(condition: Any, within_s: float = 3.0) -> None:
    """Wait until a condition holds."""
    with trio.fail_after(within_s):
        while not condition():
            await trio.sleep(0.005)


@asynccontextmanager
async def running_entry(
    tmp_path: Path, store: MetadataStore | None = None, **settings: Any
) -> AsyncIterator[EntryHarness]:
    """Run an entry with the routes above, and no upstreams unless a shared store has some."""
    async with trio.open_nursery() as nursery:
        harness = EntryHarness(nursery, store)
        harness.configure(1, ROUTES)
        direct_settings = DirectSettings(
            name="entry-1",
            zone="zone-a",
            caller_address="127.0.0.1:0",
            ready_address="127.0.0.1:0",
            operator_address="127.0.0.1:0",
            store_address=await harness.listen(harness.store),
            retry_share=0.2,
            retry_extra=54.0,
            retry_window_s=RETRY_WINDOW_S,
            shutdown_s=8.0,
            routes_deadline_ms=200,
            upstreams_deadline_ms=200,
            exchange_address="127.0.0.1:0",
        )._replace(**settings)
        logs = DroppedLogLines(
            RateLimitFilter(1_000), NonBlockingHandler(os.open(os.devnull, os.O_WRONLY))
        )
        harness.entry = DirectEntry(
            direct_settings, tmp_path / "entry.toml", BINDING, logs, nursery
        )
        addresses = await nursery.start(harness.entry.run)
        harness.address, harness.ready_address = addresses.callers, addresses.ready
        harness.operator_address = addresses.operator
        await wait_until(lambda: harness.entry.dump()["configuration"] == 1)
        # A new process has no extra retries for one window: its predecessor may have spent them.
        await trio.sleep(direct_settings.retry_window_s)
        yield harness
        nursery.cancel_scope.cancel()
    await harness.entry.close()
    await harness.aclose()


@asynccontextmanager
async def running_entries(
    tmp_path: Path, store: MetadataStore, count: int, **settings: Any
) -> AsyncIterator[list[EntryHarness]]:
    """Run entries that share a store."""
    async with AsyncExitStack() as stack:
        yield [
            await stack.enter_async_context(
                running_entry(tmp_path, store, name=f"entry-{number}", **settings)
            )
            for number in range(count)
        ]
