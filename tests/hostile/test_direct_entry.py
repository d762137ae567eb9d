"""Clients that misbehave at the listeners of an entry without sidecars."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import product
from pathlib import Path

import pytest
import trio

from chivehold.fakes.platform_upstream import PlainUpstream
from tests.direct.harness import ROUTES, EntryHarness, wait_until
from tests.direct.test_process import SETTINGS, Program
from tests.hostile.attacks import ATTACKS, COMMON_ATTACKS, Target
from tests.hostile.trial import Listener, call_once, check_survives, limit_descriptors

ANSWER = b"a" * 60_000
LONG_ANSWER = b"a" * 2_000_000
MAX_REQUESTS = 64
MAX_HELD_BYTES = 8 << 20


TARGETS = {
    "callers": Target(
        "/get/a", "/post/a", ("x-chivehold-request-id: r", "x-chivehold-deadline-ms: 5000")
    ),
    "ready": Target("/v1/ready", "/v1/ready"),
    "operator": Target("/metrics", "/explain"),
}


@asynccontextmanager
async def listener(name: str, tmp_path: Path, answer: bytes = ANSWER) -> AsyncIterator[Listener]:
    """Start an entry and yield one of its listeners."""
    settings = tmp_path / "entry.toml"
    async with trio.open_nursery() as nursery:
        harness = EntryHarness(nursery)
        harness.configure(1, ROUTES)
        upstream = PlainUpstream("x")
        upstream.body = answer
        await harness.add_upstream(upstream, "plain")
        store = await harness.listen(harness.store)
        settings.write_text(
            SETTINGS.format(store=store, shutdown_s=8.0)
            + f"max_requests = {MAX_REQUESTS}\nmax_held_bytes = {MAX_HELD_BYTES}\n"
        )
        program = Program(settings)
        limit_descriptors(program.process.pid)
        try:
            await wait_until(lambda: program.logged("entry started"), 15.0)
            (line,) = program.logged("entry started")
            await wait_until(lambda: program.logged("upstream listed"))
            yield _listener(program, name, line[name])
        finally:
            program.end()
        nursery.cancel_scope.cancel()
    await harness.aclose()


def _listener(program: Program, name: str, address: str) -> Listener:
    target = TARGETS[name]

    async def call() -> bool:
        request_id = ("x-chivehold-request-id", "ordinary")
        return await call_once(address, "GET", target.read_path, request_id)

    return Listener(program.process, address, target, call)


ATTACKED = [
    *(("callers", attack) for attack in ATTACKS),
    *product(("ready", "operator"), COMMON_ATTACKS),
]


@pytest.mark.parametrize(("name", "attack"), ATTACKED)
async def test_survives(name: str, attack: str, tmp_path: Path) -> None:
    """Guards against clients that end an entry, or fill its memory or its descriptors."""
    async with listener(name, tmp_path) as attacked:
        await check_survives(attack, attacked)


async def test_survives_unread_long_answers(tmp_path: Path) -> None:
    """Guards against clients that let an entry hold long answers by not reading them."""
    async with listener("callers", tmp_path, LONG_ANSWER) as attacked:
        await check_survives("answer_unread", attacked)
