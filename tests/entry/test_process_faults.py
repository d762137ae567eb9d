"""What callers see when real processes fail or shut down."""

import json
import signal

import httpcore
import pytest
import trio

from chivehold.fakes.output import expected_tokens, output_tokens, prompt_digest
from tests.entry.deployed import (
    PROMPT,
    Deployed,
    answer_text,
    completion,
    deploy,
    post,
    stream,
)
from tests.processes import Programs


class TestFaults:
    async def test_drain_completes_running_streams(self, deployed: Deployed) -> None:
        """After SIGTERM a running stream completes, new requests are refused, the process exits.

        A connection that a caller keeps open after its answer does not keep the process alive.
        """
        async with (
            stream(deployed, max_tokens=20) as kept_open,
            stream(deployed, max_tokens=300) as response,
        ):
            await kept_open.aread()
            parts = response.aiter_stream()
            received = await anext(parts)
            deployed.entry.signal(signal.SIGTERM)
            with trio.fail_after(2):
                while (await post(deployed.operator, "/readyz", b"", method="GET")).status == 200:
                    await trio.sleep(0.01)
            refused = await post(deployed.callers, "/v1/completions", completion())
            received += b"".join([part async for part in parts])
            assert deployed.entry.wait() == 0
        headers = dict(refused.headers)
        assert (refused.status, headers[b"chivehold-outcome"]) == (503, b"not_run")
        assert headers[b"connection"] == b"close"
        assert int(headers[b"retry-after"]) >= 1
        assert answer_text(received) == "".join(expected_tokens(PROMPT, 300))

    async def test_stream_is_aborted_when_only_engine_dies(self, deployed: Deployed) -> None:
        """When the only engine dies mid-stream, the caller's stream is aborted, not completed."""
        received = b""
        with pytest.raises(httpcore.RemoteProtocolError):
            async with stream(deployed, max_tokens=2000) as response:
                async for part in response.aiter_stream():
                    if not received:
                        await post(deployed.engines["lector-d1"], "/faults", b'{"die": true}')
                    received += part
        assert b"event: error" in received
        assert b"[DONE]" not in received

    async def test_stream_resumes_when_sidecar_freezes(self, programs: Programs) -> None:
        """A stream whose sidecar freezes resumes at another engine, without gap or repetition."""
        deployed = await deploy(programs, decoders=2)
        async with stream(deployed, max_tokens=100) as response:
            parts = response.aiter_stream()
            received = await anext(parts)
            (busy,) = [name for name in ("lector-d1", "lector-d2") if await _held(deployed, name)]
            deployed.sidecars[busy].signal(signal.SIGSTOP)
            with trio.fail_after(8):
                received += b"".join([part async for part in parts])
        assert answer_text(received) in _resumed_texts(100)

    async def test_disconnected_caller_frees_its_place(self, deployed: Deployed) -> None:
        """A caller that disconnects mid-stream frees its place at the engine within 2 s."""
        async with stream(deployed, max_tokens=20_000) as response:
            await anext(response.aiter_stream())
        with trio.fail_after(2):
            while await _held(deployed, "lector-d1"):
                await trio.sleep(0.02)

    async def test_memory_when_idle(self, deployed: Deployed) -> None:
        """Resident memory when idle: at most 64 MiB for an entry and 56 MiB for a sidecar."""
        assert (await post(deployed.callers, "/v1/completions", completion())).status == 200
        assert deployed.entry.resident_mib() <= 64
        assert max(sidecar.resident_mib() for sidecar in deployed.sidecars.values()) <= 56


def _resumed_texts(count: int) -> list[str]:
    """Return every possible output that was resumed once.

    The second engine continues from the prompt and all tokens produced before.
    """
    return [_resumed(expected_tokens(PROMPT, at), count) for at in range(1, count)]


def _resumed(before: tuple[str, ...], count: int) -> str:
    digest = prompt_digest(PROMPT + "".join(before))
    return "".join((*before, *output_tokens(digest, len(before), count)))


async def _held(deployed: Deployed, engine: str) -> list[object]:
    status = await post(deployed.engines[engine], "/status", b"", method="GET")
    return json.loads(status.content)["held"]
