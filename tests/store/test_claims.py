"""Non-idempotent calls run at most once, whenever their owner dies and however the store fails."""

from itertools import count
from random import Random

import pytest
import trio

from chivehold.core.entry_messages import EndClaim, MakeClaim
from chivehold.core.identity import AttemptId, KeyId, Outcome
from chivehold.core.wire import RevokeResult
from chivehold.fakes.object_store import NO_FAULTS, Faults, MemoryObjectStore
from chivehold.store.claims import RETENTION_S, ClaimWriter

KEY = KeyId("kinisi", "loandesk", "chair 7")
DEADLINE_S = 30.0
OUTAGE = Faults(outage=True)
OWNER_STEPS = ("before claim", "answer lost", "claimed", "sent", "answered", "ended")


class Sidecar:
    """Starts each attempt once; refuses revoked attempts and those for another incarnation."""

    def __init__(self):
        self.incarnation = "run-1"
        self.started = set()
        self.revoked = set()
        self.runs = 0

    async def revoke(self, upstream, attempt, incarnation):
        await trio.sleep(0.001)
        if incarnation != self.incarnation:
            return RevokeResult.OTHER_INCARNATION
        if attempt in self.started:
            return RevokeResult.STARTED
        self.revoked.add(attempt)
        return RevokeResult.NEVER_STARTED

    def start(self, attempt, incarnation):
        if incarnation != self.incarnation or attempt in self.started | self.revoked:
            return False
        self.started.add(attempt)
        self.runs += 1
        return True

    def restart(self):
        self.incarnation = "run-2"
        self.started, self.revoked = set(), set()


class Entry:
    """An entry whose calls can be made step by step: claim, send, record the outcome."""

    def __init__(self, name, store, sidecar, shards=4):
        self.name = name
        self.sidecar = sidecar
        self.numbers = count(1)
        self.addressed = {}
        self.writer = ClaimWriter(
            store,
            name,
            sidecar.revoke,
            lambda _upstream: sidecar.incarnation,
            Random(name),
            unix_time=trio.current_time,
            shards=shards,
        )

    async def claim(self, key=KEY, first_sent_ago_s=0.0, request=None):
        number = next(self.numbers)
        attempt = AttemptId(request or f"{self.name}/{number}", number)
        self.addressed[attempt] = self.sidecar.incarnation
        command = MakeClaim(attempt.request, key, attempt, "loandesk-1", first_sent_ago_s)
        return attempt, await self.writer.claim(command)

    def send(self, attempt):
        return self.sidecar.start(attempt, self.addressed[attempt])

    async def end(self, attempt, outcome=Outcome.ANSWERED):
        await self.writer.record_outcome(EndClaim(attempt.request, KEY, outcome))

    async def call(self, key=KEY):
        """Make a whole call and return its outcome."""
        attempt, decision = await self.claim(key)
        if not decision.granted:
            return decision.outcome
        outcome = Outcome.ANSWERED if self.send(attempt) else Outcome.NOT_RUN
        await self.end(attempt, outcome)
        return outcome


class Scenario:
    def __init__(self, nursery):
        self.nursery = nursery
        self.store = MemoryObjectStore()
        self.sidecar = Sidecar()

    async def entry(self, name, **settings):
        entry = Entry(name, self.store, self.sidecar, **settings)
        await self.nursery.start(entry.writer.run)
        return entry

    async def owner_until(self, step):
        """Run a call up to a step and end its process; return a function that resumes it."""
        owner = Entry("owner", self.store, self.sidecar)
        attempt = AttemptId("owner/1", 1)
        owner.addressed[attempt] = self.sidecar.incarnation
        async with trio.open_nursery() as process:
            await process.start(owner.writer.run)
            if step == "answer lost":
                # The write takes effect, but the process dies before it reads it back.
                self.store.set_faults(Faults(lose_answer_next=1))
                process.start_soon(owner.claim)
                while not self.store.revision:
                    await trio.sleep(0.001)
                process.cancel_scope.cancel()
            elif step != "before claim":
                _, decision = await owner.claim()
                assert decision.granted
            if step in ("sent", "answered", "ended"):
                assert owner.send(attempt)
            if step == "ended":
                await owner.end(attempt)
                while owner.writer.pending_count:
                    await trio.sleep(0.01)
            process.cancel_scope.cancel()
        self.store.set_faults(NO_FAULTS)
        return lambda: owner.send(attempt)


@pytest.fixture
def scenario(nursery):
    return Scenario(nursery)


class TestOwnerDies:
    @pytest.mark.parametrize("restarted", [False, True])
    @pytest.mark.parametrize("step", OWNER_STEPS)
    async def test_at_each_step(self, autojump_clock, scenario, step, restarted):
        """A retry through another entry never causes a second run, even if the owner resumes."""
        wake_owner = await scenario.owner_until(step)
        if restarted:
            scenario.sidecar.restart()
        other = await scenario.entry("other")
        outcome = await other.call()
        if step in ("answer lost", "claimed"):
            assert not wake_owner()
        assert scenario.sidecar.runs <= 1
        assert outcome is not Outcome.ANSWERED or scenario.sidecar.runs == 1
        unsent = Outcome.IN_PROGRESS if restarted else Outcome.ANSWERED
        expected = {
            "before claim": Outcome.ANSWERED,
            "answer lost": unsent,
            "claimed": unsent,
            "ended": Outcome.ALREADY_ANSWERED,
        }
        assert outcome is expected.get(step, Outcome.IN_PROGRESS)
        if outcome is Outcome.IN_PROGRESS:
            await trio.sleep(DEADLINE_S)
            assert await other.call() is Outcome.UNKNOWN

    async def test_owner_moves_its_claim(self, autojump_clock, scenario):
        """A request whose first attempt was refused may claim another attempt."""
        entry = await scenario.entry("owner")
        for _ in range(2):
            attempt, decision = await entry.claim(request="moved")
            assert decision.granted
        assert entry.send(attempt)
        other = await scenario.entry("other")
        assert await other.call() is Outcome.IN_PROGRESS


class TestClaimWriter:
    async def test_group_commit(self, autojump_clock, scenario):
        """Pending claims are batched into few writes."""
        scenario.store.set_faults(Faults(delay_s=0.01))
        entry = await scenario.entry("owner", shards=1)
        outcomes = []

        async def call(number):
            outcomes.append(await entry.call(KeyId("kinisi", "loandesk", str(number))))

        async with trio.open_nursery() as nursery:
            for number in range(300):
                nursery.start_soon(call, number)
        assert outcomes == [Outcome.ANSWERED] * 300
        assert scenario.store.counts["put"] <= 3

    async def test_shared_shard(self, autojump_clock, scenario):
        """Entries that constantly write one shard do not starve each other."""
        scenario.store.set_faults(Faults(delay_s=0.01))
        entries = [await scenario.entry(f"entry-{n}", shards=1) for n in range(3)]
        outcomes = []

        async def call(number):
            await trio.sleep(number * 0.004)
            entry = entries[number % len(entries)]
            outcomes.append(await entry.call(KeyId("kinisi", "loandesk", str(number))))

        async with trio.open_nursery() as nursery:
            for number in range(300):
                nursery.start_soon(call, number)
        assert outcomes == [Outcome.ANSWERED] * 300

    async def test_outage(self, autojump_clock, scenario):
        """During an outage a claim is refused at once, and an outcome is recorded afterwards."""
        entry, other = await scenario.entry("owner"), await scenario.entry("other")
        attempt, decision = await entry.claim()
        assert decision.granted and entry.send(attempt)
        scenario.store.set_faults(OUTAGE)
        await entry.end(attempt)
        with trio.fail_after(0.1):
            assert await other.call(KeyId("kinisi", "loandesk", "van")) is Outcome.NOT_RUN
        await trio.sleep(60.0)
        assert scenario.store.counts["get"] < 100
        scenario.store.set_faults(NO_FAULTS)
        await trio.sleep(5.0)
        assert await other.call() is Outcome.ALREADY_ANSWERED

    async def test_unsure(self, autojump_clock, scenario):
        """A claim whose answer is lost is found by reading back and granted."""
        scenario.store.set_faults(Faults(lose_answer_next=1))
        entry = await scenario.entry("owner")
        _, decision = await entry.claim()
        assert decision.granted
        assert scenario.store.counts["put"] == 1

    async def test_unsure_then_outage(self, autojump_clock, scenario):
        """A claim that cannot be read back is not run, and is abandoned after the outage."""
        entry, other = await scenario.entry("owner"), await scenario.entry("other")
        get = scenario.store.get
        scenario.store.set_faults(Faults(lose_answer_next=1))

        async def get_before_write(kind, name):
            store = scenario.store if not scenario.store.revision else MemoryObjectStore(OUTAGE)
            return await MemoryObjectStore.get(store, kind, name)

        scenario.store.get = get_before_write
        assert await entry.call() is Outcome.NOT_RUN
        scenario.store.get = get
        await trio.sleep(5.0)
        assert await other.call() is Outcome.ANSWERED
        assert not scenario.sidecar.revoked

    async def test_cancelled(self, autojump_clock, scenario):
        """A request that is cancelled while waiting for its claim leaves no claim behind."""
        scenario.store.set_faults(Faults(delay_s=1.0))
        entry, other = await scenario.entry("owner"), await scenario.entry("other")
        with trio.move_on_after(1.5):
            await entry.claim()
        scenario.store.set_faults(NO_FAULTS)
        await trio.sleep(5.0)
        assert await other.call() is Outcome.ANSWERED
        assert not scenario.sidecar.revoked

    async def test_suspended_while_claiming(self, autojump_clock, scenario):
        """An entry that is suspended while claiming does not run the request after resuming."""
        owner, other = await scenario.entry("owner"), await scenario.entry("other")
        await other.claim()
        revoke = scenario.sidecar.revoke

        async def freeze(*arguments):
            result = await revoke(*arguments)
            autojump_clock.jump(1_000.0)
            return result

        owner.writer._revoke = freeze
        assert await owner.call() is Outcome.NOT_RUN
        assert scenario.sidecar.runs == 0

    async def test_older_than_retention(self, autojump_clock, scenario):
        """For a request first sent longer ago than the retention time the outcome is unknown."""
        entry = await scenario.entry("owner")
        _, decision = await entry.claim(first_sent_ago_s=RETENTION_S + 1)
        assert decision.outcome is Outcome.UNKNOWN

    async def test_unreadable_shard(self, autojump_clock, scenario):
        """Claims in a shard that cannot be decoded are refused."""
        entry = await scenario.entry("owner", shards=1)
        await scenario.store.put("claims", "0", b"\xc1", 0, "hostile")
        assert await entry.call() is Outcome.NOT_RUN

    @pytest.mark.parametrize("seed", range(10))
    async def test_races(self, autojump_clock, scenario, seed):
        """Concurrent retries of one key at several entries run it once, even if the store fails."""
        rng = Random(seed)
        entries = [await scenario.entry(f"entry-{n}", shards=1) for n in range(4)]
        outcomes = []

        async def call(entry):
            await trio.sleep(rng.uniform(0.0, 3.0))
            with trio.move_on_after(rng.uniform(0.01, 3.0)):
                attempt, decision = await entry.claim()
                await trio.sleep(rng.choice((0.0, 0.02, 1.0)))
                started = decision.granted and entry.send(attempt)
                outcomes.append(Outcome.ANSWERED if started else decision.outcome)
                if started and rng.random() < 0.5:
                    await entry.end(attempt)

        async with trio.open_nursery() as nursery:
            for entry in entries * 6:
                nursery.start_soon(call, entry)
            for _ in range(12):
                loss = rng.choice((0.0, 0.3))
                delay_s = rng.choice((0.0, 0.01, 0.3))
                faults = Faults(rng.random() < 0.2, delay_s, loss, seed=rng.getrandbits(16))
                scenario.store.set_faults(faults)
                await trio.sleep(0.25)
            scenario.store.set_faults(NO_FAULTS)
        assert scenario.sidecar.runs <= 1
        assert outcomes.count(Outcome.ANSWERED) <= 1
