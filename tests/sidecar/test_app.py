import random
import time
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
from tests.sidecar.rig import TOKEN, Rig, SidecarClient, attempt_id, start_rig, wait_until

RELEASE_TIMEOUT_S = 2.0
ENDLESS = 1_000_000


@asynccontextmanager
async def decoding_attempt(rig: Rig, number: int, prompt: str = "p") -> AsyncIterator[Any]:
    """Run an endless attempt up to its first tokens; leaving the block closes its stream."""
    offer = await rig.decode.offer(number, max_tokens=ENDLESS)
    async with rig.decode.frames(offer) as frames:
        await skip_to(frames, FrameKind.GRANTED)
        assert await rig.decode.import_kv(await rig.prefill.prefill(number, prompt))
        await skip_to(frames, FrameKind.TOKENS)
        yield frames


async def skip_to(frames: AsyncIterator[AttemptFrame], kind: FrameKind) -> AttemptFrame:
    skipped = []
    async for frame in frames:
        if frame.kind is kind:
            return frame
        skipped.append((frame.kind, frame.reason))
    raise AssertionError(f"no frame {kind} after {skipped}")


async def nothing_held(rig: Rig) -> bool:
    return await rig.held_attempts() == []


async def no_attempts(rig: Rig) -> bool:
    return (await rig.decode.dump())["core"]["attempts"] == []


async def all_places_free(rig: Rig) -> bool:
    return (await rig.decode.heartbeat()).places_free == 4


class TestRequests:
    async def test_concurrent_requests_get_their_own_output(self) -> None:
        """Each of several concurrent requests receives its own complete output."""
        async with start_rig() as rig, trio.open_nursery() as nursery:
            outputs: dict[int, tuple[str, ...]] = {}

            async def run(number: int) -> None:
                outputs[number] = await rig.run_request(number, f"prompt {number}")

            for number in range(8):
                nursery.start_soon(run, number)
            await wait_until(partial(has_count, outputs, 8))
            assert outputs == {
                number: expected_tokens(f"prompt {number}", 50) for number in range(8)
            }
            await wait_until(partial(nothing_held, rig))

    async def test_first_offset_resumes_a_stream(self) -> None:
        """An attempt with a first offset continues the output without gap or repetition."""
        async with start_rig() as rig:
            rest = await rig.run_request(1, "p", first_offset=20, max_tokens=30)
            assert rest == expected_tokens("p", 50)[20:]


async def has_count(outputs: dict[int, Any], count: int) -> bool:
    return len(outputs) == count


DECODING_ATTEMPT = 100
"""Number of an attempt that is closed while it decodes, so that at least one is cancelled."""


class TestRelease:
    async def test_place_is_freed_when_caller_disconnects(self) -> None:
        """The place of a closed stream is free once its engine has released it, and not before."""
        async with start_rig() as rig:
            async with decoding_attempt(rig, 1):
                assert await rig.held_attempts() == [list(attempt_id(1))]
                await rig.inject_fault(Role.DECODE, ignore_cancel_for_s=0.5)

            async def released() -> bool:
                free = (await rig.decode.heartbeat()).places_free
                held = await rig.held_attempts()
                assert free + len(held) <= 4
                return not held

            await wait_until(released, RELEASE_TIMEOUT_S)
            await wait_until(partial(all_places_free, rig), RELEASE_TIMEOUT_S)

    async def test_place_is_freed_when_entry_lease_lapses(self) -> None:
        """Attempts of an entry whose lease has lapsed are cancelled, with a frame that says so."""
        async with start_rig() as rig, decoding_attempt(rig, 1) as frames:
            rig.entry_alive = False
            failed = await skip_to(frames, FrameKind.FAILED)
            assert failed.reason is Reason.LEASE_LAPSED
            await wait_until(partial(nothing_held, rig), RELEASE_TIMEOUT_S)

    @pytest.mark.parametrize("seed", [1, 2, 3])
    async def test_places_are_freed_after_random_disconnects(self, seed: int) -> None:
        """Nothing stays held when callers disconnect at random times between offer and end."""
        rng = random.Random(seed)
        async with start_rig() as rig:

            async def disconnect_early(number: int, timeout_s: float) -> None:
                tokens = ENDLESS if number % 2 else 30
                with trio.move_on_after(timeout_s), suppress(AssertionError, LinkBroken):
                    await rig.run_request(number, "p", max_tokens=tokens)

            async with decoding_attempt(rig, DECODING_ATTEMPT):
                pass
            async with trio.open_nursery() as nursery:
                for number in range(40):
                    nursery.start_soon(disconnect_early, number, rng.uniform(0.0, 0.6))
            for released in (no_attempts, nothing_held, no_prefill_held, all_places_free):
                await wait_until(partial(released, rig), RELEASE_TIMEOUT_S)
            peer = rig.engines[Role.DECODE].control
            events = (await rig.call_upstream(peer, "GET", "/history"))["events"]
            assert "cancelled" in {event["kind"] for event in events}

    async def test_stalled_transfer_frees_the_place(self) -> None:
        """A transfer that stalls halfway fails its attempt and frees its place."""
        async with start_rig() as rig:
            await rig.inject_fault(Role.DECODE, stall_transfers=1.0)
            async with rig.decode.frames(await rig.decode.offer(1)) as frames:
                await skip_to(frames, FrameKind.GRANTED)
                assert await rig.decode.import_kv(await rig.prefill.prefill(1, "p"))
                failed = await skip_to(frames, FrameKind.FAILED)
            assert failed.reason is Reason.TRANSFER_STALLED
            await wait_until(partial(nothing_held, rig), RELEASE_TIMEOUT_S)

    # Guards against engines blamed for tokens that lay unread while the sidecar did not run.
    async def test_pause_of_the_process_is_no_stalled_transfer(self) -> None:
        """Tokens that arrived during a pause count before the deadline that passed in it."""
        async with start_rig() as rig, rig.decode.frames(await rig.decode.offer(1)) as frames:
            await skip_to(frames, FrameKind.GRANTED)
            assert await rig.decode.import_kv(await rig.prefill.prefill(1, "p"))
            time.sleep(0.5)
            await skip_to(frames, FrameKind.FINISHED)

    async def test_cancel_that_overtakes_its_decode_is_repeated(self) -> None:
        """A decode that reaches the engine after its cancel is cancelled again.

        Cancel and decode use separate connections, so the cancel can arrive first.
        """
        async with start_rig() as rig:
            await rig.start_sidecar(Role.DECODE, status_poll_s=60.0)
            async with rig.decode.frames(await rig.decode.offer(1, max_tokens=ENDLESS)) as frames:
                await skip_to(frames, FrameKind.GRANTED)
                kv = await rig.prefill.prefill(1, "p")
                await rig.inject_fault(Role.DECODE, freeze=True)
                assert await rig.decode.import_kv(kv)
                await trio.testing.wait_all_tasks_blocked(0.05)
            await wait_until(partial(no_attempts, rig))
            await rig.inject_fault(Role.DECODE, freeze=False)
            await wait_until(partial(all_places_free, rig), RELEASE_TIMEOUT_S)
            assert await rig.held_attempts() == []

    async def test_disconnected_prefill_is_cancelled(self) -> None:
        """A prefill whose entry closed the connection is cancelled at the engine."""
        async with start_rig() as rig:
            await rig.inject_fault(Role.PREFILL, speed=0.0001)
            with trio.move_on_after(0.3):
                await rig.prefill.prefill(1, "p")
            await wait_until(partial(no_prefill_held, rig), RELEASE_TIMEOUT_S)

    async def test_attempts_of_an_earlier_run_are_cancelled(self) -> None:
        """A restarted sidecar cancels attempts still held by its engine before it grants places."""
        async with start_rig() as rig:
            async with decoding_attempt(rig, 1) as frames:
                await rig.kill_sidecar(Role.DECODE)
                with pytest.raises(LinkBroken):
                    await skip_to(frames, FrameKind.FINISHED)
            assert await rig.held_attempts() == [list(attempt_id(1))]
            await rig.start_sidecar(Role.DECODE)
            await wait_until(partial(nothing_held, rig), RELEASE_TIMEOUT_S)
            assert await rig.run_request(2, "q") == expected_tokens("q", 50)


async def no_prefill_held(rig: Rig) -> bool:
    return await rig.held_attempts(Role.PREFILL) == []


class TestEngineFailure:
    async def test_killed_engine_fails_its_attempts(self) -> None:
        """Attempts at a killed engine fail at once; after its restart new ones are granted."""
        async with start_rig() as rig:
            async with decoding_attempt(rig, 1) as frames:
                await rig.inject_fault(Role.DECODE, die=True)
                failed = await skip_to(frames, FrameKind.FAILED)
                assert failed.reason is Reason.ENGINE_FAILED
            await rig.inject_fault(Role.DECODE, revive=True)

            async def ready() -> bool:
                return (await rig.decode.operator("/readyz")).status == 200

            await wait_until(ready)
            assert await rig.run_request(2, "q") == expected_tokens("q", 50)

    async def test_expired_kv_fails_the_attempt(self) -> None:
        """An attempt whose KV cache handle has expired fails with that reason."""
        async with start_rig() as rig:
            async with rig.decode.frames(await rig.decode.offer(1)) as frames:
                await skip_to(frames, FrameKind.GRANTED)
                kv = await rig.prefill.prefill(1, "p")
                assert await rig.decode.import_kv(kv._replace(handle="other"))
                failed = await skip_to(frames, FrameKind.FAILED)
            assert failed.reason is Reason.KV_EXPIRED


class TestAtMostOnce:
    async def test_second_offer_of_an_attempt_is_refused(self) -> None:
        """A duplicate offer is refused and does not affect the first one."""
        async with start_rig() as rig:
            async with decoding_attempt(rig, 1) as frames:
                duplicate = await rig.decode.offer(1)
                async with rig.decode.frames(duplicate) as refused:
                    frame = await skip_to(refused, FrameKind.REFUSED)
                    assert frame.reason is Reason.DUPLICATE
                assert (await skip_to(frames, FrameKind.TOKENS)).tokens
            async with rig.decode.frames(duplicate) as refused:
                assert (await skip_to(refused, FrameKind.REFUSED)).reason is Reason.DUPLICATE

    async def test_revoked_attempt_never_starts(self) -> None:
        """An attempt that is revoked before its offer arrives is refused on arrival."""
        async with start_rig() as rig:
            offer = await rig.decode.offer(1)
            revocation = revocation_to_proto(
                Revocation(offer.attempt, offer.incarnation, keeps_started=False)
            )
            answer = await rig.decode.rpc("Revoke", revocation)
            assert revoke_result_from_proto(answer) is RevokeResult.NEVER_STARTED
            async with rig.decode.frames(offer) as frames:
                assert (await skip_to(frames, FrameKind.REFUSED)).reason is Reason.REVOKED


class TestInvalidInput:
    async def test_is_rejected_with_reason_and_holds_nothing(self) -> None:
        """Wrong tokens and paths, oversized and malformed bodies are rejected and hold nothing."""
        async with start_rig() as rig:
            peer = rig.decode
            good = msgspec.json.encode(await peer.offer(1))
            bad_offer = msgspec.json.encode(await peer.offer(1, max_tokens=-1))
            unauthorised = SidecarClient(peer.addresses, rig.client, TOKEN + "x")
            cases = [
                (unauthorised, "/v1/attempts", good, 401, "unauthorised"),
                (peer, "/v1/calls", good, 404, "malformed"),
                (peer, "/v1/attempts", b"x" * 100_001, 413, "too_large"),
                (peer, "/v1/attempts", b"\xff{", 400, "malformed"),
                (peer, "/v1/attempts", b"[" * 50_000, 400, "malformed"),
                (peer, "/v1/attempts", bad_offer, 400, "malformed"),
                (peer, "/v1/imports", good, 400, "malformed"),
            ]
            for sender, path, body, status, reason in cases:
                answer = await sender.post(path, body)
                actual = (answer.status, msgspec.json.decode(answer.body)["reason"])
                assert actual == (status, reason), path
            unauthorised.close()
            dump = await peer.dump()
            assert (dump["sessions"], dump["core"]["attempts"]) == (0, [])
            assert await rig.run_request(2, "p") == expected_tokens("p", 50)


class TestShutdown:
    async def test_granted_attempts_finish_and_new_ones_are_refused(self) -> None:
        """Attempts granted before the shutdown run to their end, and then the sidecar stops."""
        async with start_rig() as rig:
            offer = await rig.decode.offer(1, max_tokens=400)
            async with rig.decode.frames(offer) as frames:
                await skip_to(frames, FrameKind.GRANTED)
                rig.shutdown[Role.DECODE].set()
                await wait_until(partial(is_leaving, rig))
                async with rig.decode.frames(await rig.decode.offer(2)) as refused:
                    assert (await skip_to(refused, FrameKind.REFUSED)).reason is Reason.LEAVING
                assert await rig.decode.import_kv(await rig.prefill.prefill(1, "p"))
                rest = [frame async for frame in frames]
            assert rest[-1].kind is FrameKind.FINISHED
            assert tokens_of(rest) == expected_tokens("p", 400)
            with trio.fail_after(3):
                await rig.ended[Role.DECODE].wait()
            assert await rig.held_attempts() == []

    async def test_does_not_wait_for_a_dead_engine(self) -> None:
        """A shutdown does not wait for places at a dead engine, which cannot be freed."""
        async with start_rig() as rig, decoding_attempt(rig, 1) as frames:
            await rig.inject_fault(Role.DECODE, die=True)
            await skip_to(frames, FrameKind.FAILED)
            rig.shutdown[Role.DECODE].set()
            with trio.fail_after(3):
                await rig.ended[Role.DECODE].wait()

    async def test_drain_timeout_cancels_attempts(self) -> None:
        """Attempts still running at the drain timeout lose their stream and are cancelled."""
        async with start_rig() as rig:
            await rig.start_sidecar(Role.DECODE, drain_timeout_s=0.2)
            async with decoding_attempt(rig, 1) as frames:
                rig.shutdown[Role.DECODE].set()
                with pytest.raises(LinkBroken):
                    await skip_to(frames, FrameKind.FINISHED)
            with trio.fail_after(5):
                await rig.ended[Role.DECODE].wait()
            assert await rig.held_attempts() == []


async def is_leaving(rig: Rig) -> bool:
    return (await rig.decode.heartbeat()).state is UpstreamState.LEAVING


def tokens_of(frames: list[AttemptFrame]) -> tuple[str, ...]:
    return tuple(token for frame in frames for token in frame.tokens)


class TestOperators:
    async def test_metrics_health_and_dump(self) -> None:
        """The operators' port serves metrics and readiness; the dump has the whole state."""
        async with start_rig() as rig:
            await rig.run_request(1, "p")
            metrics = (await rig.decode.operator("/metrics")).body.decode()
            assert "chivehold_sidecar_tokens_total 50" in metrics
            assert 'chivehold_sidecar_state{state="ready"} 1' in metrics
            assert (await rig.decode.operator("/healthz")).status == 200
            assert (await rig.decode.operator("/other")).status == 404
            await rig.inject_fault(Role.DECODE, leaving=True)

            async def leaving() -> bool:
                return (await rig.decode.operator("/readyz")).status == 503

            await wait_until(leaving)
            dump = await rig.decode.dump()
            assert (dump["name"], dump["core"]["state"]) == ("decode-1", "leaving")
            assert dump["loop"] is None
            assert "chivehold_loop_longest_step_seconds{" not in metrics

    async def test_event_loop_is_measured(self) -> None:
        """With the setting, metrics and dump tell what has held the event loop."""
        async with start_rig() as rig:
            await rig.start_sidecar(Role.DECODE, loop_monitor=True)
            await trio.sleep(0.2)
            metrics = (await rig.decode.operator("/metrics")).body.decode()
            assert 'chivehold_loop_longest_step_seconds{task="chivehold.' in metrics
            assert (await rig.decode.dump())["loop"]["steps"]

    async def test_reused_prefix_blocks_are_reported(self) -> None:
        """A second prompt with the same blocks reuses them, and the load report lists them."""
        async with start_rig() as rig:
            await rig.inject_fault(Role.PREFILL, load_lag_s=0.0)
            first, second = await rig.prefill.prefill(1, "p"), await rig.prefill.prefill(2, "p")
            assert (first.kind, first.reused_tokens) == (PrefillKind.DONE, 0)
            assert second.reused_tokens > 0

            async def reported() -> bool:
                return (await rig.prefill.heartbeat()).prefix_blocks == (2, 1)

            await wait_until(reported)
