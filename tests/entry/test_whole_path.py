"""Requests through separate processes, from the caller to the engines and back."""

import json
import signal
from contextlib import asynccontextmanager

import httpcore
import pytest
import trio

from chivehold.fakes.output import expected_tokens
from tests.entry.deployed import Deployed, deploy, post
from tests.processes import Programs

PROMPT = "Read the whole site and return a short summary. " * 20


@pytest.fixture
async def deployed(tmp_path):
    programs = Programs(tmp_path)
    try:
        yield await deploy(programs)
    finally:
        programs.end()


def _completion(**fields: object) -> bytes:
    return json.dumps({"model": "lector", "prompt": PROMPT, "max_tokens": 40, **fields}).encode()


class TestWholePath:
    async def test_streamed_completion_arrives_whole(self, deployed: Deployed) -> None:
        """A streamed completion carries every token in order and ends as whole."""
        response = await post(deployed.callers, "/v1/completions", _completion(stream=True))
        assert response.status == 200, response.content
        assert _text(response.content) == "".join(expected_tokens(PROMPT, 40))

    async def test_service_call_arrives_whole(self, deployed: Deployed) -> None:
        """A plain service's call runs once and its answer comes back as it was given."""
        response = await post(deployed.callers, "/services/forja/builds?full=1", b"{}")
        assert response.status == 200, response.content
        answer = json.loads(response.content)
        assert (answer["method"], answer["path"], answer["run"]) == ("POST", "/builds?full=1", 1)
        assert dict(response.headers)[b"chivehold-outcome"] == b"answered"


class TestFaults:
    async def test_drain_cuts_nothing(self, deployed: Deployed) -> None:
        """SIGTERM: a held stream ends whole, new requests are told to go, the process ends.

        A connection that a caller keeps open after its answer does not hold the process.
        """
        async with (
            _stream(deployed, max_tokens=20) as kept,
            _stream(deployed, max_tokens=300) as response,
        ):
            await kept.aread()
            parts = response.aiter_stream()
            received = await anext(parts)
            deployed.entry.signal(signal.SIGTERM)
            with trio.fail_after(2):
                while (await post(deployed.operator, "/readyz", b"", method="GET")).status == 200:
                    await trio.sleep(0.01)
            refused = await post(deployed.callers, "/v1/completions", _completion())
            received += b"".join([part async for part in parts])
            assert deployed.entry.wait() == 0
        headers = dict(refused.headers)
        assert (refused.status, headers[b"chivehold-outcome"]) == (503, b"not_run")
        assert headers[b"connection"] == b"close"
        assert int(headers[b"retry-after"]) >= 1
        assert _text(received) == "".join(expected_tokens(PROMPT, 300))

    async def test_cut_stream_breaks_off(self, deployed: Deployed) -> None:
        """When the only engine dies mid-stream, the caller's stream breaks, never ends."""
        received = b""
        with pytest.raises(httpcore.RemoteProtocolError):
            async with _stream(deployed, max_tokens=2000) as response:
                async for part in response.aiter_stream():
                    if not received:
                        await post(deployed.engines["lector-d1"], "/faults", b'{"die": true}')
                    received += part
        assert b"event: error" in received
        assert b"[DONE]" not in received

    async def test_departed_caller_holds_nothing(self, deployed: Deployed) -> None:
        """A caller that leaves mid-stream frees the engine's place within 2 s."""
        async with _stream(deployed, max_tokens=20_000) as response:
            await anext(response.aiter_stream())
        with trio.fail_after(2):
            while await _held(deployed.engines["lector-d1"]):
                await trio.sleep(0.02)

    async def test_idle_memory(self, deployed: Deployed) -> None:
        """Resident in MiB when idle: the entry at most 64, a sidecar at most 56."""
        assert (await post(deployed.callers, "/v1/completions", _completion())).status == 200
        assert deployed.entry.resident_mib() <= 64
        assert max(one.resident_mib() for one in deployed.sidecars.values()) <= 56


@asynccontextmanager
async def _stream(deployed: Deployed, max_tokens: int):
    body = _completion(stream=True, max_tokens=max_tokens)
    url = f"http://{deployed.callers}/v1/completions"
    headers = [("host", deployed.callers)]
    async with (
        httpcore.AsyncConnectionPool() as pool,
        pool.stream("POST", url, headers=headers, content=body) as response,
    ):
        yield response


def _text(events: bytes) -> str:
    *rows, done = events.decode().strip().split("\n\n")
    assert done == "data: [DONE]"
    return "".join(json.loads(row.removeprefix("data: "))["choices"][0]["text"] for row in rows)


async def _held(engine: str) -> list[object]:
    return json.loads((await post(engine, "/status", b"", method="GET")).content)["held"]
