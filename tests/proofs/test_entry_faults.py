"""Entries that are killed or stopped, duplicate keys, and callers that disconnect."""

import signal
from collections import Counter
from random import Random

import pytest
import trio

from chivehold.core.identity import Outcome
from chivehold.history.events import Call, CallEnd, History, UpstreamEventKind
from chivehold.history.upstreams import RELEASE_WITHIN_S
from tests.proofs.callers import Callers, EntryEndpoint, now_ms
from tests.proofs.fleet import Fleet, checked_run
from tests.proofs.mix import run_call_mix

LONG_TOKENS = 20_000
ENTRY_LEASE_S = 1.5


class TestEntryKilled:
    @pytest.mark.parametrize("seed", [1, 2])
    async def test_call_mix(self, fleet: Fleet, seed: int) -> None:
        """An entry is killed during a mix of calls and replaced by a new one."""
        victim = next(iter(fleet.entries.values()))
        async with checked_run(fleet) as run, trio.open_nursery() as nursery:
            nursery.start_soon(run_call_mix, fleet, run.callers, seed, 2.0)
            for number in range(4):
                first_token = trio.Event()
                prompt = f"Cut {seed} {number}."
                nursery.start_soon(_stream, run.callers, victim.endpoint, prompt, first_token)
                await first_token.wait()
            fleet.kill_entry(victim.name)
            await fleet.wait_ready(await fleet.start_entry())
        ends = Counter(call.end for call in run.history.calls)
        assert ends[CallEnd.WHOLE] > 10, ends
        assert ends[CallEnd.BROKEN] >= 4, ends


async def _stream(
    callers: Callers, endpoint: EntryEndpoint, prompt: str, first_token: trio.Event
) -> None:
    await callers.complete(endpoint, prompt, LONG_TOKENS, first_token=first_token)


class TestSameKey:
    async def test_two_entries_at_once_and_again(self, fleet: Fleet) -> None:
        """Of two concurrent calls with the same key one is answered.

        The other and a later one are refused.
        """
        async with checked_run(fleet) as run:
            calls = []
            headers = [("Chivehold-First-Sent", now_ms())]

            async def call(endpoint) -> None:
                completed = await run.callers.complete(
                    endpoint, "Twice.", 50, key="twice", headers=headers
                )
                calls.append(completed)

            async with trio.open_nursery() as nursery:
                for endpoint in fleet.endpoints:
                    nursery.start_soon(call, endpoint)
            await call(fleet.endpoints[0])
        assert Counter(call.outcome for call in calls) == {
            None: 1,
            Outcome.IN_PROGRESS: 1,
            Outcome.ALREADY_ANSWERED: 1,
        }

    async def test_resumed_entry_does_not_complete(self, fleet: Fleet) -> None:
        """A stopped entry must not complete a call whose key another entry has run meanwhile.

        When it resumes, the whole answer is already in its buffers.
        """
        async with checked_run(fleet) as run, trio.open_nursery() as nursery:
            calls = []
            frozen, other = list(fleet.entries.values())[:2]
            first_token = trio.Event()
            headers = [("Chivehold-First-Sent", now_ms())]

            async def call(endpoint, first_token) -> None:
                completed = await run.callers.complete(
                    endpoint, "Frozen.", 60, key="frozen", headers=headers, first_token=first_token
                )
                calls.append(completed)

            nursery.start_soon(call, frozen.endpoint, first_token)
            await first_token.wait()
            frozen.running.signal(signal.SIGSTOP)
            try:
                await trio.sleep(ENTRY_LEASE_S + 0.5)
                await call(other.endpoint, None)
            finally:
                frozen.running.signal(signal.SIGCONT)
        assert [call.end for call in calls] == [CallEnd.WHOLE, CallEnd.BROKEN], calls


class TestEntryFrozen:
    async def test_callers_disconnect(self, fleet: Fleet) -> None:
        """Callers of a stopped entry disconnect; the engines release their memory."""
        frozen = next(iter(fleet.entries.values()))
        async with checked_run(fleet) as run, trio.open_nursery() as nursery:
            for number in range(6):
                first_token = trio.Event()
                prompt = f"Left while frozen {number}."
                nursery.start_soon(_stream, run.callers, frozen.endpoint, prompt, first_token)
                await first_token.wait()
            frozen.running.signal(signal.SIGSTOP)
            try:
                await trio.sleep(0.2)
                nursery.cancel_scope.cancel()
                with trio.CancelScope(shield=True):
                    await trio.sleep(RELEASE_WITHIN_S + 0.5)
            finally:
                frozen.running.signal(signal.SIGCONT)
        assert sum(call.end is CallEnd.CALLER_LEFT for call in run.history.calls) == 6


DISCONNECT_PHASES = ((0.05, 1.0), (1.0, 2.0))
"""Speed of the prefill engine, and maximum time in seconds before a caller disconnects.

With the first pair callers disconnect in prefill, with the second in decode.
"""


class TestDisconnectedCallers:
    @pytest.mark.parametrize("seed", [1, 2])
    async def test_each_phase(self, fleet: Fleet, seed: int) -> None:
        """Callers of long prompts disconnect in the queue, in prefill, transfer and decode."""
        random = Random(seed)
        async with checked_run(fleet) as run:
            for speed, max_disconnect_after_s in DISCONNECT_PHASES:
                await fleet.fault("lector-p1", speed=speed)
                async with trio.open_nursery() as nursery:
                    for number in range(40):
                        prompt = f"Leaving {seed} {speed} {number}." + " A long note." * 800
                        endpoint, disconnect_after_s = random.choice(
                            fleet.endpoints
                        ), random.uniform(0.0, max_disconnect_after_s)
                        nursery.start_soon(
                            _disconnect, run.callers, endpoint, prompt, disconnect_after_s
                        )
        disconnected = [call for call in run.history.calls if call.end is CallEnd.CALLER_LEFT]
        phases = Counter(_last_started_phase(run.history, call) for call in disconnected)
        assert {None, UpstreamEventKind.PREFILL_STARTED, UpstreamEventKind.DECODE_STARTED} <= set(
            phases
        ), phases


async def _disconnect(
    callers: Callers, endpoint: EntryEndpoint, prompt: str, disconnect_after_s: float
) -> None:
    headers = [("Chivehold-Class", "review")]
    call = await callers.complete(
        endpoint, prompt, LONG_TOKENS, headers=headers, disconnect_after_s=disconnect_after_s
    )
    assert call.end is CallEnd.CALLER_LEFT or call.outcome is Outcome.NOT_RUN


def _last_started_phase(history: History, call: Call) -> UpstreamEventKind | None:
    """Return the kind of the last work started for a call before its caller disconnected."""
    started = [
        event.kind
        for event in history.upstream_events
        if event.attempt
        and event.attempt.request == call.request
        and event.kind is not UpstreamEventKind.CANCELLED
        and event.at_s < call.completed_at_s
    ]
    return started[-1] if started else None
