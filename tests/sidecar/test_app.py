import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from functools import partial
from typing import Any

import msgspec
import pytest
import trio
import trio.testing

from chivehold.core.identity import Role
from chivehold.core.wire import (
    AttemptFrame,
    FrameKind,
    PrefillKind,
    Reason,
    RevokeResult,
    UpstreamState,
)
from chivehold.fakes.output import expected_tokens
from chivehold.http_client import LinkBroken
from chivehold.rpc.convert import Revocation, revocation_to_proto, revoke_result_from_proto
from tests.sidecar.rig import TOKEN, Rig, SidecarPeer, attempt, rig, until

RELEASED_WITHIN_S = 2.0
ENDLESS = 1_000_000


@asynccontextmanager
async def decoding(one: Rig, number: int, prompt: str = "p") -> AsyncIterator[Any]:
    """Bring an endless attempt as far as its first token; leaving the block closes it."""
    offer = await one.decode.offer(number, max_tokens=ENDLESS)
    async with one.decode.frames(offer) as frames:
        await skip_to(frames, FrameKind.GRANTED)
        assert await one.decode.import_kv(await one.prefill.prefill(number, prompt))
        await skip_to(frames, FrameKind.TOKENS)
        yield frames


async def skip_to(frames: AsyncIterator[AttemptFrame], kind: FrameKind) -> AttemptFrame:
    async for frame in frames:
        if frame.kind is kind:
            return frame
    raise AssertionError(f"no frame {kind}")


async def nothing_held(one: Rig) -> bool:
    return await one.held() == []


async def no_attempts(one: Rig) -> bool:
    return (await one.decode.dump())["core"]["attempts"] == []


async def all_free(one: Rig) -> bool:
    return (await one.decode.heartbeat()).places_free == 4


class TestPath:
    async def test_answers_are_whole_and_their_own(self) -> None:
        """Requests at once over both sidecars give each its own whole output."""
        async with rig() as one, trio.open_nursery() as nursery:
            got: dict[int, tuple[str, ...]] = {}

            async def run(number: int) -> None:
                got[number] = await one.tokens(number, f"prompt {number}")

            for number in range(8):
                nursery.start_soon(run, number)
            await until(partial(has, got, 8))
            assert got == {number: expected_tokens(f"prompt {number}", 50) for number in range(8)}
            await until(partial(nothing_held, one))

    async def test_cut_stream_is_resumed_in_place(self) -> None:
        """A further attempt with a first offset goes on without gap or repeat."""
        async with rig() as one:
            rest = await one.tokens(1, "p", first_offset=20, max_tokens=30)
            assert rest == expected_tokens("p", 50)[20:]


async def has(got: dict[int, Any], count: int) -> bool:
    return len(got) == count


CERTAIN_DEPARTURE = 100
"""A caller that leaves once its decode was seen to run, whatever the clock does to the others."""


class TestMemory:
    async def test_is_freed_when_the_caller_leaves(self) -> None:
        """A closed stream's place is free once its engine lets go of it, and not before."""
        async with rig() as one:
            async with decoding(one, 1):
                assert await one.held() == [list(attempt(1))]
                await one.fault(Role.DECODE, ignore_cancel_for_s=0.5)

            async def released() -> bool:
                free = (await one.decode.heartbeat()).places_free
                held = await one.held()
                assert free + len(held) <= 4
                return not held

            await until(released, RELEASED_WITHIN_S)
            await until(partial(all_free, one), RELEASED_WITHIN_S)

    async def test_is_freed_when_the_entry_is_silent(self) -> None:
        """An entry whose lease lapsed loses its attempts, with a frame that says so."""
        async with rig() as one, decoding(one, 1) as frames:
            one.entry_lives = False
            failed = await skip_to(frames, FrameKind.FAILED)
            assert failed.reason is Reason.LEASE_LAPSED
            await until(partial(nothing_held, one), RELEASED_WITHIN_S)

    @pytest.mark.parametrize("seed", [1, 2, 3])
    async def test_is_freed_whenever_the_caller_leaves(self, seed: int) -> None:
        """Callers that leave at any moment, from the offer to the end, leave nothing held."""
        moments = random.Random(seed)
        async with rig() as one:

            async def leave_early(number: int, after_s: float) -> None:
                tokens = ENDLESS if number % 2 else 30
                with trio.move_on_after(after_s), suppress(AssertionError, LinkBroken):
                    await one.tokens(number, "p", max_tokens=tokens)

            async with decoding(one, CERTAIN_DEPARTURE):
                pass
            async with trio.open_nursery() as nursery:
                for number in range(40):
                    nursery.start_soon(leave_early, number, moments.uniform(0.0, 0.6))
            for released in (no_attempts, nothing_held, no_prefill, all_free):
                await until(partial(released, one), RELEASED_WITHIN_S)
            peer = one.engines[Role.DECODE].control
            events = (await one.engine_call(peer, "GET", "/history"))["events"]
            assert "cancelled" in {event["kind"] for event in events}

    async def test_stalled_transfer_is_freed(self) -> None:
        """A transfer that stops halfway fails its attempt and frees its place."""
        async with rig() as one:
            await one.fault(Role.DECODE, stall_transfers=1.0)
            async with one.decode.frames(await one.decode.offer(1)) as frames:
                await skip_to(frames, FrameKind.GRANTED)
                assert await one.decode.import_kv(await one.prefill.prefill(1, "p"))
                failed = await skip_to(frames, FrameKind.FAILED)
            assert failed.reason is Reason.TRANSFER_STALLED
            await until(partial(nothing_held, one), RELEASED_WITHIN_S)

    async def test_cancel_that_overtakes_its_decode_is_repeated(self) -> None:
        """A decode that reaches the engine after its cancel does not stay held."""
        async with rig() as one:
            await one.start_sidecar(Role.DECODE, status_poll_s=60.0)
            async with one.decode.frames(await one.decode.offer(1, max_tokens=ENDLESS)) as frames:
                await skip_to(frames, FrameKind.GRANTED)
                kv = await one.prefill.prefill(1, "p")
                await one.fault(Role.DECODE, freeze=True)
                assert await one.decode.import_kv(kv)
                await trio.testing.wait_all_tasks_blocked(0.05)
            await until(partial(no_attempts, one))
            await one.fault(Role.DECODE, freeze=False)
            await until(partial(all_free, one), RELEASED_WITHIN_S)
            assert await one.held() == []

    async def test_departed_prefill_is_cancelled(self) -> None:
        """A prefill whose entry closed the connection ends at the engine."""
        async with rig() as one:
            await one.fault(Role.PREFILL, speed=0.0001)
            with trio.move_on_after(0.3):
                await one.prefill.prefill(1, "p")
            await until(partial(no_prefill, one), RELEASED_WITHIN_S)

    async def test_of_an_earlier_run_is_cancelled(self) -> None:
        """A restarted sidecar cancels what its engine still holds, and then grants."""
        async with rig() as one:
            async with decoding(one, 1) as frames:
                await one.kill_sidecar(Role.DECODE)
                with pytest.raises(LinkBroken):
                    await skip_to(frames, FrameKind.FINISHED)
            assert await one.held() == [list(attempt(1))]
            await one.start_sidecar(Role.DECODE)
            await until(partial(nothing_held, one), RELEASED_WITHIN_S)
            assert await one.tokens(2, "q") == expected_tokens("q", 50)


async def no_prefill(one: Rig) -> bool:
    return await one.held(Role.PREFILL) == []


class TestEngineFailure:
    async def test_killed_engine_fails_its_attempts(self) -> None:
        """Attempts of a killed engine fail at once; after its return new ones are granted."""
        async with rig() as one:
            async with decoding(one, 1) as frames:
                await one.fault(Role.DECODE, die=True)
                failed = await skip_to(frames, FrameKind.FAILED)
                assert failed.reason is Reason.ENGINE_FAILED
            await one.fault(Role.DECODE, revive=True)

            async def ready() -> bool:
                return (await one.decode.operator("/readyz")).status == 200

            await until(ready)
            assert await one.tokens(2, "q") == expected_tokens("q", 50)

    async def test_expired_kv_fails_the_attempt(self) -> None:
        """A handle that its engine no longer has fails the attempt with that reason."""
        async with rig() as one:
            async with one.decode.frames(await one.decode.offer(1)) as frames:
                await skip_to(frames, FrameKind.GRANTED)
                kv = await one.prefill.prefill(1, "p")
                assert await one.decode.import_kv(kv._replace(handle="other"))
                failed = await skip_to(frames, FrameKind.FAILED)
            assert failed.reason is Reason.KV_EXPIRED


class TestAtMostOnce:
    async def test_second_offer_of_an_attempt_is_refused(self) -> None:
        """A doubled offer is refused and does not disturb the first."""
        async with rig() as one:
            async with decoding(one, 1) as frames:
                doubled = await one.decode.offer(1)
                async with one.decode.frames(doubled) as refused:
                    frame = await skip_to(refused, FrameKind.REFUSED)
                    assert frame.reason is Reason.DUPLICATE
                assert (await skip_to(frames, FrameKind.TOKENS)).tokens
            async with one.decode.frames(doubled) as refused:
                assert (await skip_to(refused, FrameKind.REFUSED)).reason is Reason.DUPLICATE

    async def test_revoked_attempt_never_starts(self) -> None:
        """An attempt revoked before its offer arrives is refused when it does."""
        async with rig() as one:
            offer = await one.decode.offer(1)
            revocation = revocation_to_proto(
                Revocation(offer.attempt, offer.incarnation, keeps_started=False)
            )
            answer = await one.decode.rpc("Revoke", revocation)
            assert revoke_result_from_proto(answer) is RevokeResult.NEVER_STARTED
            async with one.decode.frames(offer) as frames:
                assert (await skip_to(frames, FrameKind.REFUSED)).reason is Reason.REVOKED


class TestBadInput:
    async def test_is_a_typed_error_and_nothing_is_held(self) -> None:
        """Wrong tokens, unknown paths, oversized and malformed bodies hold nothing."""
        async with rig() as one:
            peer = one.decode
            good = msgspec.json.encode(await peer.offer(1))
            bad_offer = msgspec.json.encode(await peer.offer(1, max_tokens=-1))
            stranger = SidecarPeer(peer.addresses, one.client, TOKEN + "x")
            cases = [
                (stranger, "/v1/attempts", good, 401, "unauthorised"),
                (peer, "/v1/calls", good, 404, "malformed"),
                (peer, "/v1/attempts", b"x" * 100_001, 413, "too_large"),
                (peer, "/v1/attempts", b"\xff{", 400, "malformed"),
                (peer, "/v1/attempts", b"[" * 50_000, 400, "malformed"),
                (peer, "/v1/attempts", bad_offer, 400, "malformed"),
                (peer, "/v1/imports", good, 400, "malformed"),
            ]
            for sender, path, body, status, reason in cases:
                answer = await sender.post(path, body)
                found = (answer.status, msgspec.json.decode(answer.body)["reason"])
                assert found == (status, reason), path
            stranger.close()
            dump = await peer.dump()
            assert (dump["sessions"], dump["core"]["attempts"]) == (0, [])
            assert await one.tokens(2, "p") == expected_tokens("p", 50)


class TestShutdown:
    async def test_held_work_ends_whole_and_new_work_is_refused(self) -> None:
        """Attempts granted before the shutdown end whole; then the sidecar ends by itself."""
        async with rig() as one:
            offer = await one.decode.offer(1, max_tokens=400)
            async with one.decode.frames(offer) as frames:
                await skip_to(frames, FrameKind.GRANTED)
                one.shutdown[Role.DECODE].set()
                await until(partial(is_leaving, one))
                async with one.decode.frames(await one.decode.offer(2)) as refused:
                    assert (await skip_to(refused, FrameKind.REFUSED)).reason is Reason.LEAVING
                assert await one.decode.import_kv(await one.prefill.prefill(1, "p"))
                rest = [frame async for frame in frames]
            assert rest[-1].kind is FrameKind.FINISHED
            assert tokens_of(rest) == expected_tokens("p", 400)
            with trio.fail_after(3):
                await one.ended[Role.DECODE].wait()
            assert await one.held() == []

    async def test_does_not_wait_for_a_dead_engine(self) -> None:
        """What a dead engine may hold cannot be freed and keeps nobody."""
        async with rig() as one, decoding(one, 1) as frames:
            await one.fault(Role.DECODE, die=True)
            await skip_to(frames, FrameKind.FAILED)
            one.shutdown[Role.DECODE].set()
            with trio.fail_after(3):
                await one.ended[Role.DECODE].wait()

    async def test_is_bounded(self) -> None:
        """What does not end within the drain timeout is cut, and freed at the engine."""
        async with rig() as one:
            await one.start_sidecar(Role.DECODE, drain_timeout_s=0.2)
            async with decoding(one, 1) as frames:
                one.shutdown[Role.DECODE].set()
                with pytest.raises(LinkBroken):
                    await skip_to(frames, FrameKind.FINISHED)
            with trio.fail_after(5):
                await one.ended[Role.DECODE].wait()
            assert await one.held() == []


async def is_leaving(one: Rig) -> bool:
    return (await one.decode.heartbeat()).state is UpstreamState.LEAVING


def tokens_of(frames: list[AttemptFrame]) -> tuple[str, ...]:
    return tuple(token for frame in frames for token in frame.tokens)


class TestOperators:
    async def test_metrics_health_and_dump(self) -> None:
        """The operators' port tells counts and readiness; the dump holds both states."""
        async with rig() as one:
            await one.tokens(1, "p")
            metrics = (await one.decode.operator("/metrics")).body.decode()
            assert "chivehold_sidecar_tokens_total 50" in metrics
            assert 'chivehold_sidecar_state{state="ready"} 1' in metrics
            assert (await one.decode.operator("/healthz")).status == 200
            assert (await one.decode.operator("/other")).status == 404
            await one.fault(Role.DECODE, leaving=True)

            async def leaving() -> bool:
                return (await one.decode.operator("/readyz")).status == 503

            await until(leaving)
            dump = await one.decode.dump()
            assert (dump["name"], dump["core"]["state"]) == ("decode-1", "leaving")

    async def test_prefill_reports_its_reuse(self) -> None:
        """A second prompt with the same blocks reuses them, and the report names them."""
        async with rig() as one:
            await one.fault(Role.PREFILL, load_lag_s=0.0)
            first, second = await one.prefill.prefill(1, "p"), await one.prefill.prefill(2, "p")
            assert (first.kind, first.reused_tokens) == (PrefillKind.DONE, 0)
            assert second.reused_tokens > 0

            async def reported() -> bool:
                return (await one.prefill.heartbeat()).prefix_blocks == (2, 1)

            await until(reported)
