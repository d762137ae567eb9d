from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

import msgspec
import pytest
import trio

from chivehold.core.identity import AttemptId, RequestId, Role
from chivehold.fakes.engine import run_engine
from chivehold.fakes.engine_model import EngineCost
from chivehold.fakes.engine_runtime import EngineOptions
from chivehold.fakes.output import expected_tokens
from chivehold.fakes.server import StandInAddresses
from chivehold.http_client import HttpClient, LinkError, NothingSent

COST = EngineCost(kv_bytes_per_token=1_000, interval_base_s=0.001, interval_per_stream_s=0.0)
OPTIONS = EngineOptions(cost=COST, emit_every_s=0.005)


class EngineClient:
    """Calls a stand-in engine."""

    def __init__(self, addresses: StandInAddresses, client: HttpClient) -> None:
        self.addresses = addresses
        self.client = client

    async def call(self, method: str, path: str, body: Any = None, status: int = 200) -> Any:
        return await self._call(self.addresses.data, method, path, body, status)

    async def fault(self, **faults: Any) -> None:
        await self._call(self.addresses.control, "POST", "/faults", faults, 200)

    async def held(self) -> list[Any]:
        return (await self.call("GET", "/status"))["held"]  # type: ignore[no-any-return]

    async def prefill(self, number: int, prompt: str = "p", tokens: int = 100) -> Any:
        call = {
            "attempt": attempt(number),
            "prompt": prompt,
            "prompt_tokens": tokens,
            "prefix_blocks": [1, 2],
            "priority": "urgent",
        }
        return await self.call("POST", "/prefill", call)

    async def decode(self, number: int, kv: Any, first: int = 0, count: int = 20) -> list[Any]:
        call = {
            "attempt": attempt(number),
            "handle": kv["handle"],
            "engine_address": self.addresses.data,
            "kv_bytes": kv["kv_bytes"],
            "prompt_tokens": 100,
            "first_offset": first,
            "max_tokens": count,
            "priority": "urgent",
        }
        body = msgspec.json.encode(call)
        peer = self.addresses.data
        async with self.client.stream(peer, "POST", "/decode", step="decode", body=body) as stream:
            if stream.status != 200:
                raise AssertionError(stream.status)
            lines = [line async for part in stream for line in part]
        return [msgspec.json.decode(line) for line in lines]

    async def _call(self, peer: str, method: str, path: str, body: Any, status: int) -> Any:
        raw = b"" if body is None else msgspec.json.encode(body)
        answer = await self.client.call(peer, method, path, step="test", timeout_s=3.0, body=raw)
        assert answer.status == status, answer.body
        return msgspec.json.decode(answer.body)


@asynccontextmanager
async def running_engine(options: EngineOptions = OPTIONS) -> AsyncIterator[EngineClient]:
    client = HttpClient()
    async with trio.open_nursery() as nursery:
        addresses = await nursery.start(partial(run_engine, options))
        with trio.fail_after(10):
            yield EngineClient(addresses, client)
        nursery.cancel_scope.cancel()


async def wait_until(condition: Any, within_s: float = 5.0) -> None:
    with trio.fail_after(within_s):
        while not await condition():
            await trio.sleep(0.01)


def attempt(number: int) -> AttemptId:
    return AttemptId(RequestId("r"), number)


def check_tokens(lines: list[Any], first: int = 0) -> tuple[str, ...]:
    """Check a stream for gaps and for the total at its end, and return its tokens."""
    tokens: list[str] = []
    for line in lines[:-1]:
        assert line["offset"] == first + len(tokens)
        tokens += line["tokens"]
    assert lines[-1] == {"total": first + len(tokens)}
    return tuple(tokens)


class TestOutput:
    async def test_depends_on_the_prompt_and_resumes(self) -> None:
        """Each prompt gets its own complete output; a resumed stream continues at its offset."""
        async with running_engine() as engine:
            outputs = {}
            for number, prompt in enumerate(("a", "b")):
                kv = await engine.prefill(number, prompt)
                outputs[prompt] = check_tokens(await engine.decode(number, kv))
            assert outputs == {prompt: expected_tokens(prompt, 20) for prompt in "ab"}
            kv = await engine.prefill(3, "a")
            rest = check_tokens(await engine.decode(3, kv, first=7, count=13), first=7)
            assert rest == expected_tokens("a", 20)[7:]
            assert await engine.held() == []

    async def test_expired_kv_is_not_decoded(self) -> None:
        """An expired handle is refused and occupies no memory."""
        async with running_engine(
            OPTIONS._replace(cost=COST._replace(kv_lifetime_s=0.0))
        ) as engine:
            kv = await engine.prefill(1)
            with pytest.raises(AssertionError, match="410"):
                await engine.decode(1, kv)
            assert await engine.held() == []


class TestMemory:
    async def test_held_after_a_disconnect_until_cancelled(self) -> None:
        """Work continues after a disconnect and stops only once a cancel is no longer ignored."""
        async with running_engine() as engine:
            kv = await engine.prefill(1)
            with trio.move_on_after(0.1):
                await engine.decode(1, kv, count=100_000)
            assert await engine.held() == [["r", 1]]
            await engine.fault(ignore_cancel_for_s=0.2)
            cancel = partial(engine.call, "POST", "/cancel", {"attempt": attempt(1)})
            assert await cancel() == {"held": True}

            async def released() -> bool:
                return await cancel() == {"held": False}

            await wait_until(released)
            assert await engine.held() == []

    async def test_stalled_transfer_holds_its_place(self) -> None:
        """A stalled import produces no tokens and keeps its place."""
        async with running_engine() as engine:
            await engine.fault(stall_transfers=1.0)
            kv = await engine.prefill(1)
            with trio.move_on_after(0.2) as scope:
                await engine.decode(1, kv)
            assert scope.cancelled_caught
            assert await engine.held() == [["r", 1]]

    async def test_death_breaks_connections_and_loses_state(self) -> None:
        """A killed engine breaks its streams, refuses connections and restarts empty."""
        async with running_engine() as engine, trio.open_nursery() as nursery:
            kv = await engine.prefill(1)
            broken = trio.Event()

            async def read() -> None:
                with pytest.raises(LinkError):
                    await engine.decode(1, kv, count=100_000)
                broken.set()

            nursery.start_soon(read)
            await wait_until(engine.held)
            await engine.fault(die=True)
            await broken.wait()
            with pytest.raises(NothingSent):
                await engine.held()
            await engine.fault(revive=True)

            async def revived() -> bool:
                try:
                    return await engine.held() == []
                except NothingSent:
                    return False

            await wait_until(revived)

    async def test_frozen_engine_stalls_and_resumes(self) -> None:
        """A frozen engine makes no progress; its streams complete once it is unfrozen."""
        async with running_engine() as engine, trio.open_nursery() as nursery:
            kv = await engine.prefill(1)
            await engine.fault(freeze=True)
            received: list[Any] = []

            async def read() -> None:
                received.extend(await engine.decode(1, kv))

            nursery.start_soon(read)
            with trio.move_on_after(0.2):
                await engine.held()
                raise AssertionError("a frozen engine answered")
            await engine.fault(freeze=False)

            async def ended() -> bool:
                return bool(received)

            await wait_until(ended)
            assert check_tokens(received) == expected_tokens("p", 20)


class TestOrders:
    @pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 200)])
    async def test_stale_fencing_number(self, checks: bool, status: int) -> None:
        """A stale fencing number is refused only by an engine that checks it."""
        async with running_engine(OPTIONS._replace(checks_fencing=checks)) as engine:
            order = {"operation_id": "a", "kind": "load_model", "argument": "m"}
            await engine.call("POST", "/order", {**order, "fencing_number": 7})
            stale = {**order, "operation_id": "b", "argument": "old", "fencing_number": 6}
            await engine.call("POST", "/order", stale, status)
            state = await engine.call("GET", "/state")
            assert state["models"] == (["m"] if checks else ["m", "old"])


class TestStatus:
    @pytest.mark.parametrize("lost", [0.0, 1.0])
    async def test_load_and_cache_events_lag(self, lost: float) -> None:
        """Cached blocks are reported only after the lag, and never if the event is lost."""
        async with running_engine(OPTIONS._replace(role=Role.PREFILL)) as engine:
            await engine.fault(load_lag_s=0.2, lose_cache_events=lost)
            await engine.prefill(1)
            assert (await engine.call("GET", "/status"))["prefix_blocks"] == []
            await trio.sleep(0.25)
            reported = (await engine.call("GET", "/status"))["prefix_blocks"]
            assert reported == ([] if lost else [2, 1])


class TestMalformed:
    @pytest.mark.parametrize("path", ["/prefill", "/decode", "/cancel", "/order", "/faults"])
    @pytest.mark.parametrize("body", ["text", {"attempt": 3, "speed": "x"}, [1]])
    async def test_body_is_refused(self, path: str, body: Any) -> None:
        """A malformed body is answered with a 400 error that has a reason, and has no effect."""
        async with running_engine() as engine:
            answer = await engine.call("POST", path, body, 400)
            assert answer["reason"] == "malformed"
            assert await engine.held() == []
