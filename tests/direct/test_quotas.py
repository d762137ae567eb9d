"""Quotas of organisations at real entries over loopback: refusals, refunds, reports, figures."""

from pathlib import Path
from typing import Any

import pytest
import trio

from chivehold.direct import usage_exchange
from chivehold.fakes.metadata_store import MetadataStore
from chivehold.fakes.platform_upstream import ModelEngine, PlainUpstream
from chivehold.http_client import HttpResponse
from tests.direct.harness import ROUTES, EntryHarness, running_entries, running_entry, wait_until

KEY = {"x-api-key": "key-of-o"}
TOKENS = {"x-chivehold-token-count": "60,40"}
COST = 100


def organisation(**fields: Any) -> dict[str, Any]:
    """Return an organisation of the configuration, with some fields replaced."""
    made = {"name": "o", "apiKeys": ["key-of-o"], "unit": "generate", "plainTokens": COST}
    return made | {"ratePerS": 400, "burst": 1_000} | fields


async def configure(harness: EntryHarness, version: int, **fields: Any) -> None:
    harness.configure(version, ROUTES, [organisation(**fields)])
    await wait_until(lambda: harness.entry.dump()["configuration"] == version)


async def send(harness: EntryHarness, request: str, path: str = "/get/a") -> HttpResponse:
    return await harness.call(path, request, headers=KEY | TOKENS)


def own(harness: EntryHarness) -> dict[str, Any]:
    """Return the state of the organisation at an entry."""
    state: dict[str, Any] = harness.entry.dump()["quotas"]["organisations"][0]
    return state


async def full(harness: EntryHarness) -> None:
    await wait_until(lambda: own(harness)["level"] >= 999, 6.0)


class TestOneEntry:
    async def test_over_quota(self, tmp_path: Path) -> None:
        """Guards against requests over the quota that run, or a retry time that is wrong."""
        async with running_entry(tmp_path, entries_most=1) as harness:
            upstream = PlainUpstream("x")
            await harness.add_upstream(upstream, "plain")
            await configure(harness, 2)
            await full(harness)
            responses = [await send(harness, f"r{number}") for number in range(20)]
            rejected = [each for each in responses if each.status == 429]
            assert len(upstream.runs) == 20 - len(rejected)
            assert 10 <= len(upstream.runs) <= 13
            assert b'"quota"' in rejected[0].body
            retry_after_s = float(rejected[0].header("retry-after") or "nan")
            assert 0 < retry_after_s <= 0.25 + 0.06
            await trio.sleep(float(rejected[-1].header("retry-after") or "nan"))
            assert (await send(harness, "again")).status == 200

    async def test_not_run_is_refunded(self, tmp_path: Path) -> None:
        """Guards against charging requests that every upstream has refused without running them."""
        async with running_entry(tmp_path, entries_most=1) as harness:
            upstream = PlainUpstream("x")
            upstream.refuse = True
            await harness.add_upstream(upstream, "plain")
            await configure(harness, 2)
            await full(harness)
            assert (await send(harness, "r1")).status == 503
            # The response may arrive before the refund.
            await wait_until(lambda: own(harness)["used"] == 0)

    async def test_no_upstream_is_refunded(self, tmp_path: Path) -> None:
        """Guards against charging requests that were sent nowhere."""
        async with running_entry(tmp_path, entries_most=1) as harness:
            await configure(harness, 2)
            await full(harness)
            assert (await send(harness, "r1")).status == 503
            # The response may arrive before the refund.
            await wait_until(lambda: own(harness)["used"] == 0)

    async def test_unknown_outcome_is_charged(self, tmp_path: Path) -> None:
        """Guards against refunding a request that may have run."""
        async with running_entry(tmp_path, entries_most=1) as harness:
            upstream = PlainUpstream("x")
            upstream.cut = True
            await harness.add_upstream(upstream, "plain")
            await configure(harness, 2)
            await full(harness)
            assert (await send(harness, "r1", "/post/a")).status == 502
            assert own(harness)["used"] == COST

    async def test_departed_while_it_ran(self, tmp_path: Path) -> None:
        """Guards against refunding a request whose caller left while an upstream ran it."""
        async with running_entry(tmp_path, entries_most=1) as harness:
            upstream = PlainUpstream("x")
            upstream.silent = True
            await harness.add_upstream(upstream, "plain")
            await configure(harness, 2)
            await full(harness)
            with trio.move_on_after(0.2):
                await send(harness, "r1", "/post/a")
            await wait_until(lambda: harness.entry.dump()["in_progress"] == 0)
            assert upstream.runs == ["r1"]
            assert own(harness)["used"] == COST

    async def test_departed_while_waiting(self, tmp_path: Path) -> None:
        """Guards against charging a caller that left before anything was sent to an engine."""
        async with running_entry(tmp_path, entries_most=1) as harness:
            engine = ModelEngine("d", "decode")
            engine.held["other"] = engine.capacity
            await harness.add_upstream(engine, "model")
            await configure(harness, 2)
            await full(harness)
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            with trio.move_on_after(0.2):
                await harness.call("/tell/a", "r1", "POST", headers=KEY | TOKENS)
            assert not engine.runs
            assert own(harness)["used"] == COST
            await wait_until(lambda: harness.entry.dump()["in_progress"] == 0)
            assert own(harness)["used"] == 0

    async def test_resumption_is_charged(self, tmp_path: Path) -> None:
        """Guards against callers that escape their quota by claiming to resume a stream."""
        async with running_entry(tmp_path, entries_most=1) as harness:
            engine = ModelEngine("d", "decode")
            await harness.add_upstream(engine, "model")
            await configure(harness, 2)
            await full(harness)
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            headers = KEY | TOKENS | {"last-event-id": "3"}
            await harness.call("/resume/a", "r1", "POST", headers=headers)
            assert engine.runs
            assert own(harness)["used"] == COST

    async def test_figures(self, tmp_path: Path) -> None:
        """Guards against figures that operators miss, and against one label for each of many."""
        async with running_entry(tmp_path, entries_most=1) as harness:
            many = [organisation(name=f"o{n}", apiKeys=[f"key-{n}"]) for n in range(200)]
            harness.configure(2, ROUTES, many)
            await wait_until(lambda: harness.entry.dump()["configuration"] == 2)
            text = (await harness.metrics()).decode()
            lines = [line for line in text.splitlines() if line.startswith("chivehold_quota_rate{")]
            assert len(lines) == 64
            other = next(line for line in lines if '"other"' in line)
            assert float(other.split()[-1]) == 400 * (200 - 63)
            assert len(harness.entry.dump()["quotas"]["organisations"]) == 200


class TestWithoutOrganisations:
    async def test_nothing_is_sent(self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against messages and tasks of deployments without quotas."""
        encoded = []

        def encode(*arguments: Any) -> bytes:
            encoded.append(arguments)
            return b""

        monkeypatch.setattr(usage_exchange, "encode_usage", encode)
        async with running_entry(tmp_path) as harness:
            await trio.sleep(0.7)
            assert not encoded
            assert "quotas" not in harness.entry.dump()
            await configure(harness, 2)
            await wait_until(lambda: encoded)
            harness.configure(3, ROUTES)
            await wait_until(lambda: harness.entry.dump()["configuration"] == 3)
            encoded.clear()
            await trio.sleep(0.7)
            assert not encoded


class TestTwoEntries:
    async def test_use_is_shared(self, tmp_path: Path) -> None:
        """Guards against entries that each grant the quota of all."""
        async with running_entries(tmp_path, MetadataStore(), 2) as harnesses:
            first, second = harnesses
            await first.add_upstream(PlainUpstream("x"), "plain")
            await configure(first, 2, ratePerS=50)
            await wait_until(lambda: second.entry.dump()["configuration"] == 2)
            for harness in harnesses:
                await wait_until(
                    lambda each=harness: each.entry.dump()["quotas"]["share"] == 1, 8.0
                )
            await wait_until(lambda: own(second)["level"] >= 200, 10.0)
            level = own(second)["level"]
            assert (await send(first, "r1")).status == 200
            await wait_until(lambda: own(second)["level"] <= level - 0.5 * COST, 1.0)
