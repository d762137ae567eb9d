"""Quarantines across several entries and the store, over real sockets."""

import sys
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from chivehold.core.direct.crash_keys import CrashKey, KeyKind
from chivehold.core.direct.quarantine import MAX_TRIALS, TRIAL_BACKOFF
from chivehold.direct.quarantines import TRIAL_OUTCOME_S
from chivehold.fakes.metadata_store import MetadataStore
from chivehold.fakes.platform_upstream import ModelEngine
from chivehold.http_client import HttpResponse, LinkError
from chivehold.store.quarantine_records import QUARANTINE_KIND, QUARANTINE_NAME
from tests.direct.crashing import CrashingService
from tests.direct.harness import EntryHarness, running_entries, running_entry, wait_until

SPREAD_S = 1.0
PART = CrashKey(KeyKind.PROMPT_PART, "badbad")
FIRST_PART = CrashKey(KeyKind.PROMPT_PART, "f1a57")
TRIAL_S = 0.5
PROMPT = {"x-chivehold-prompt-prefix": "f1a57:40,badbad:50,own1:10"}
SOUND_PROMPT = {"x-chivehold-prompt-prefix": "f1a57:40,own2:10"}


def ends_engine(headers: Mapping[str, str], body: bytes) -> bool:
    return f"{PART.value}:" in headers.get("x-chivehold-prompt-prefix", "")


async def ask(harness: EntryHarness, prompt: dict[str, str] = PROMPT) -> HttpResponse:
    tokens = {"x-chivehold-token-count": "100,200"}
    return await harness.call("/tell/a", "r1", "POST", b"prompt", {**prompt, **tokens})


def order(harness: EntryHarness, is_active: bool = True, may_try: bool = False) -> None:
    harness.entry.quarantines.order(PART, is_active, "by the test", may_try)


def quarantined(harness: EntryHarness) -> list[str]:
    dump = harness.entry.dump()["quarantines"]
    return [order["key"] for order in dump if order["active"]]


def is_stored(store: MetadataStore) -> bool:
    return (QUARANTINE_KIND, QUARANTINE_NAME) in store.names()


@asynccontextmanager
async def entries(
    tmp_path: Path, store: MetadataStore, count: int, trial_s: float = 120.0
) -> AsyncIterator[list[EntryHarness]]:
    """Run entries with one engine that share a store."""
    async with running_entries(tmp_path, store, count, quarantine_trial_s=trial_s) as harnesses:
        await harnesses[0].add_upstream(ModelEngine("d1", "decode"), "model")
        for harness in harnesses:
            await wait_until(lambda harness=harness: harness.entry.dump()["upstreams"])
        yield harnesses


class TestQuarantine:
    # Guards against a quarantine that is known to one entry alone.
    async def test_all_entries_refuse_soon(self, tmp_path: Path) -> None:
        """The refusal says when to come back and that nothing has run; other prompts go on."""
        async with entries(tmp_path, MetadataStore(), 3) as harnesses:
            await trio.sleep(0.5)
            order(harnesses[0])
            await trio.sleep(SPREAD_S)
            for harness in harnesses:
                refused = await ask(harness)
                assert refused.status == 503
                assert float(refused.header("retry-after") or 0) > 3_000
                assert b"quarantined" in refused.body
                assert (await ask(harness, SOUND_PROMPT)).status == 200

    # Guards against a quarantine that cannot spread while the store is away.
    async def test_store_away(self, tmp_path: Path) -> None:
        """Entries that know each other tell each other; the store gets it when it is back."""
        store = MetadataStore()
        async with entries(tmp_path, store, 2) as harnesses:
            await trio.sleep(0.5)
            store.error_status = 503
            order(harnesses[0])
            await trio.sleep(SPREAD_S)
            assert quarantined(harnesses[1]) == [str(PART)]
            assert not is_stored(store)
            store.error_status = None
            await wait_until(lambda: is_stored(store))

    # Guards against a quarantine that is forgotten when all entries are killed at once.
    async def test_outlasts_all_entries(self, tmp_path: Path) -> None:
        """An entry that starts later reads it before it is ready."""
        store = MetadataStore()
        async with entries(tmp_path, store, 2) as harnesses:
            order(harnesses[0])
            await wait_until(lambda: is_stored(store))
        async with running_entry(tmp_path, store, name="entry-9") as harness:
            with trio.fail_after(5.0):
                while not await harness.is_ready():
                    await trio.sleep(0.01)
            assert quarantined(harness) == [str(PART)]

    # Guards against a quarantine in the store that only entries started later know.
    async def test_order_read_from_the_store_is_told(self, tmp_path: Path) -> None:
        """An entry was killed after it had written the order and before it told anyone."""
        store = MetadataStore()
        async with running_entry(tmp_path, store, name="entry-1") as harness:
            async with running_entry(
                tmp_path, store, name="entry-2", exchange_address=None
            ) as killed:
                order(killed)
                await wait_until(lambda: is_stored(store))
            assert quarantined(harness) == []
            async with running_entry(tmp_path, store, name="entry-3") as started:
                await wait_until(lambda: quarantined(started) == [str(PART)])
                await wait_until(lambda: quarantined(harness) == [str(PART)])

    async def test_lifted_at_all_entries(self, tmp_path: Path) -> None:
        """A quarantine lifted at one entry is lifted at all, and stays so after a restart."""
        store = MetadataStore()
        async with entries(tmp_path, store, 2) as harnesses:
            order(harnesses[0])
            await wait_until(lambda: bool(quarantined(harnesses[1])))
            order(harnesses[1], False)
            await wait_until(lambda: not quarantined(harnesses[0]))
            assert (await ask(harnesses[0])).status == 200
            await trio.sleep(SPREAD_S)
        async with running_entry(tmp_path, store, name="entry-9") as harness:
            await trio.sleep(0.5)
            assert quarantined(harness) == []

    # Guards against a store restored from an older copy that makes a quarantine undone.
    async def test_restored_store_loses_none(self, tmp_path: Path) -> None:
        """A living entry writes again what the copy lacks, as soon as it has to write at all."""
        store = MetadataStore()
        async with entries(tmp_path, store, 1) as harnesses:
            copy = store.copy()
            order(harnesses[0])
            await wait_until(lambda: is_stored(store))
            store.restore(copy)
            assert not is_stored(store)
            other = CrashKey(KeyKind.PROMPT_PART, "other")
            harnesses[0].entry.quarantines.order(other, True, "by the test")
            await wait_until(lambda: is_stored(store))
            assert sorted(quarantined(harnesses[0])) == sorted([str(PART), str(other)])


class TestTrials:
    # Guards against harmless content that is refused for as long as a quarantine lasts.
    async def test_wrong_quarantine_is_found_out(self, tmp_path: Path) -> None:
        """Once the time has come, one request is let through, and its success lifts it for all."""
        async with entries(tmp_path, MetadataStore(), 3, TRIAL_S) as harnesses:
            await trio.sleep(0.5)
            order(harnesses[0], may_try=True)
            await wait_until(lambda: all(quarantined(harness) for harness in harnesses))
            assert (await ask(harnesses[1])).status == 503
            await trio.sleep(TRIAL_S)
            assert sorted(await ask_all(harnesses)) == [200, 503, 503]
            await wait_until(lambda: not any(quarantined(harness) for harness in harnesses))
            assert await ask_all(harnesses) == [200, 200, 200]

    # Guards against callers who are sent away for long just before their content is cleared.
    async def test_callers_during_a_trial_come_back_soon(self, tmp_path: Path) -> None:
        """Those who are refused while a trial runs are told to wait for its outcome alone."""
        async with entries(tmp_path, MetadataStore(), 1, TRIAL_S) as harnesses:
            engine = ModelEngine("d2", "decode")
            engine.event_s = 0.3
            harnesses[0].store.remove("servers", "d1")
            await harnesses[0].add_upstream(engine, "model")
            order(harnesses[0], may_try=True)
            await wait_until(lambda: bool(quarantined(harnesses[0])))
            await trio.sleep(TRIAL_S)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask, harnesses[0])
                await wait_until(lambda: dumped_trials(harnesses[0]) == 1)
                refused = await ask(harnesses[0])
            assert refused.status == 503
            assert float(refused.header("retry-after") or 0) <= TRIAL_OUTCOME_S

    # Guards against trials of bad content that end one upstream after another.
    async def test_trials_of_bad_content_are_few(self, tmp_path: Path) -> None:
        """All entries together make two, however many requests come."""
        async with (
            entries(tmp_path, MetadataStore(), 3, TRIAL_S) as harnesses,
            trio.open_nursery() as nursery,
        ):
            engines = CrashingService(
                harnesses[0], "model", lambda name: ModelEngine(name, "decode"), ends_engine
            )
            harnesses[0].store.remove("servers", "d1")
            await engines.run(1, nursery)
            await trio.sleep(0.5)
            order(harnesses[0], may_try=True)
            await wait_until(lambda: all(quarantined(harness) for harness in harnesses))
            until = trio.current_time() + TRIAL_S * (1 + TRIAL_BACKOFF) + 2.0
            while trio.current_time() < until:
                await ask_all(harnesses)
                await trio.sleep(0.02)
            assert len(engines.times_of_crashing()) == MAX_TRIALS
            assert all(quarantined(harness) for harness in harnesses)
            nursery.cancel_scope.cancel()

    async def test_none_without_the_store(self, tmp_path: Path) -> None:
        """An entry that cannot claim a trial refuses the request."""
        store = MetadataStore()
        async with entries(tmp_path, store, 1, TRIAL_S) as harnesses:
            order(harnesses[0], may_try=True)
            await wait_until(lambda: is_stored(store))
            store.error_status = 503
            await trio.sleep(TRIAL_S)
            assert await ask_all(harnesses) == [503]

    async def test_none_of_an_operators_order(self, tmp_path: Path) -> None:
        """What an operator has quarantined is refused until it ends or is lifted."""
        async with entries(tmp_path, MetadataStore(), 1, TRIAL_S) as harnesses:
            order(harnesses[0])
            await trio.sleep(TRIAL_S)
            assert await ask_all(harnesses) == [503]

    async def test_none_with_other_quarantined_content(self, tmp_path: Path) -> None:
        """A request that is refused for two reasons shows nothing about one of them."""
        async with entries(tmp_path, MetadataStore(), 1, TRIAL_S) as harnesses:
            order(harnesses[0], may_try=True)
            harnesses[0].entry.quarantines.order(FIRST_PART, True, "by the test")
            await trio.sleep(TRIAL_S)
            assert await ask_all(harnesses) == [503]


class TestOperator:
    async def test_sets_lists_and_lifts(self, tmp_path: Path) -> None:
        """The command changes what all entries refuse, through any of them."""
        async with entries(tmp_path, MetadataStore(), 2) as harnesses:
            await trio.sleep(0.5)
            code, _ = await command(harnesses[0], "set", str(PART))
            assert code == 0
            await wait_until(lambda: bool(quarantined(harnesses[1])))
            code, output = await command(harnesses[1], "list")
            assert (code, str(PART) in output, "refused" in output) == (0, True, True)
            code, output = await command(harnesses[1], "lift", str(PART))
            assert (code, "lifted" in output) == (0, True)
            await wait_until(lambda: not quarantined(harnesses[0]))

    async def test_unreadable_order(self, tmp_path: Path) -> None:
        """An order that cannot be read changes nothing."""
        async with running_entry(tmp_path) as harness:
            for body in (b"", b"{}", b'{"kind":"x","value":"y","active":true}'):
                assert await harness.post_operator("/quarantines", body) == 400
            assert quarantined(harness) == []


def dumped_trials(harness: EntryHarness) -> int:
    (known,) = harness.entry.dump()["quarantines"]
    return int(known["trials"])


async def ask_all(harnesses: list[EntryHarness]) -> list[int]:
    """Send a prompt with the part to each entry at the same moment and return the statuses."""
    statuses: list[int] = []

    async def ask_one(harness: EntryHarness) -> None:
        try:
            statuses.append((await ask(harness)).status)
        except LinkError:
            statuses.append(0)

    async with trio.open_nursery() as nursery:
        for harness in harnesses:
            nursery.start_soon(ask_one, harness)
    return statuses


async def command(harness: EntryHarness, *words: str) -> tuple[int, str]:
    """Run the command line against an entry and return its exit code and output."""
    arguments = ["quarantine", *words, "--operator", harness.operator_address]
    process = await trio.run_process(
        [sys.executable, "-m", "chivehold", *arguments], capture_stdout=True, check=False
    )
    return process.returncode, process.stdout.decode()
