"""Requests through separate processes, from the caller to the engines and back."""

import json
import signal
import time
from contextlib import asynccontextmanager

import httpcore
import pytest
import trio

from chivehold.fakes.output import expected_tokens, output_tokens, prompt_digest
from chivehold.rpc import chivehold_pb2 as pb
from tests.entry.deployed import Deployed, deploy, operate, post, start_entry, wait_ready
from tests.processes import Programs

PROMPT = "Read the whole site and return a short summary. " * 20


@pytest.fixture
def programs(tmp_path):
    programs = Programs(tmp_path)
    yield programs
    programs.end()


@pytest.fixture
async def deployed(programs):
    return await deploy(programs)


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


class TestPlatform:
    async def test_claimed_call_runs_once(self, deployed: Deployed, programs: Programs) -> None:
        """A reservation's key runs once whichever entry it comes to; without a platform, never."""
        headers = [("Idempotency-Key", "reservation-1"), ("Chivehold-First-Sent", _now_ms())]
        first = await post(deployed.callers, "/services/forja/reservations", b"{}", headers)
        other = start_entry(programs, "entry-2", deployed.platform)
        callers, control, _ = other.addresses()
        await wait_ready(control, len(deployed.sidecars))
        again = await post(callers, "/services/forja/reservations", b"{}", headers)
        await post(deployed.platform, "/faults", b'{"outage": true}')
        late = [("Idempotency-Key", "reservation-2"), ("Chivehold-First-Sent", _now_ms())]
        refused = await post(callers, "/services/forja/reservations", b"{}", late)
        statuses = [answer.status for answer in (first, again, refused)]
        assert statuses == [200, 409, 503]
        assert json.loads(again.content)["error"]["outcome"] == "already_answered"
        assert (await post(callers, "/v1/completions", _completion())).status == 200

    async def test_declarations_are_everywhere(
        self, deployed: Deployed, programs: Programs
    ) -> None:
        """Every sidecar has them within 3 s; an entry started in an outage has them from there."""
        with trio.fail_after(3):
            while len(set(await _revisions(deployed.control))) > 1:
                await trio.sleep(0.02)
        await post(deployed.platform, "/faults", b'{"outage": true}')
        peers = [deployed.upstreams["lector-d1"].control_address]
        other = start_entry(programs, "entry-2", deployed.platform, peer_addresses=peers)
        callers, control, _ = other.addresses()
        await wait_ready(control, len(deployed.sidecars))
        assert (await post(callers, "/v1/completions", _completion())).status == 200
        assert len(set(await _revisions(control))) == 1


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

    async def test_frozen_sidecar_is_left(self, programs: Programs) -> None:
        """A stream whose sidecar freezes goes on at another engine, without gap or repeat."""
        deployed = await deploy(programs, decoders=2)
        async with _stream(deployed, max_tokens=100) as response:
            parts = response.aiter_stream()
            received = await anext(parts)
            (busy,) = [name for name in ("lector-d1", "lector-d2") if await _held(deployed, name)]
            deployed.sidecars[busy].signal(signal.SIGSTOP)
            with trio.fail_after(8):
                received += b"".join([part async for part in parts])
        assert _text(received) in _resumed_texts(100)

    async def test_departed_caller_holds_nothing(self, deployed: Deployed) -> None:
        """A caller that leaves mid-stream frees the engine's place within 2 s."""
        async with _stream(deployed, max_tokens=20_000) as response:
            await anext(response.aiter_stream())
        with trio.fail_after(2):
            while await _held(deployed, "lector-d1"):
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


async def _revisions(control: str) -> list[int]:
    return [node.revision for node in (await operate(control, "Status", pb.StatusRequest())).nodes]


def _now_ms() -> str:
    return str(int(time.time() * 1000))


def _resumed_texts(count: int) -> list[str]:
    """Return every whole output that was resumed once: the engine goes on from all before."""
    return [_resumed(expected_tokens(PROMPT, at), count) for at in range(1, count)]


def _resumed(before: tuple[str, ...], count: int) -> str:
    digest = prompt_digest(PROMPT + "".join(before))
    return "".join((*before, *output_tokens(digest, len(before), count)))


def _text(events: bytes) -> str:
    *rows, done = events.decode().strip().split("\n\n")
    assert done == "data: [DONE]"
    return "".join(json.loads(row.removeprefix("data: "))["choices"][0]["text"] for row in rows)


async def _held(deployed: Deployed, engine: str) -> list[object]:
    status = await post(deployed.engines[engine], "/status", b"", method="GET")
    return json.loads(status.content)["held"]
