"""The entry as a process: start from a settings file, drain on SIGTERM, reload."""

import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import trio

from chivehold.fakes.platform_upstream import PlainUpstream
from tests.direct.harness import ROUTES, EntryHarness, wait_until

SETTINGS = """
name = "entry-1"
zone = "zone-a"
caller_address = "127.0.0.1:0"
ready_address = "127.0.0.1:0"
operator_address = "127.0.0.1:0"
store_address = "{store}"
retry_share = 0.2
retry_extra = 54
retry_window_s = 10
shutdown_s = {shutdown_s}
"""


class Program:
    """A started entry process and its log."""

    def __init__(self, settings: Path) -> None:
        self.output = settings.with_suffix(".log")
        with self.output.open("wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "chivehold", "direct", "--settings", str(settings)],
                stdout=output,
                stderr=subprocess.STDOUT,
                env=dict(os.environ),
            )

    def logged(self, event: str) -> list[dict[str, Any]]:
        lines = self.output.read_text().splitlines()
        events = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in events if line["event"] == event]

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


@asynccontextmanager
async def program(
    tmp_path: Path, shutdown_s: float = 8.0, loop_monitor: bool = False
) -> AsyncIterator[tuple[Program, EntryHarness, PlainUpstream, Path]]:
    settings = tmp_path / "entry.toml"
    async with trio.open_nursery() as nursery:
        harness = EntryHarness(nursery)
        harness.configure(1, ROUTES)
        upstream = PlainUpstream("x")
        await harness.add_upstream(upstream, "plain")
        store = await harness.listen(harness.store)
        text = SETTINGS.format(store=store, shutdown_s=shutdown_s)
        if loop_monitor:
            text += "loop_monitor = true\n"
        settings.write_text(text)
        started = Program(settings)
        try:
            await wait_until(lambda: started.logged("entry started"), 15.0)
            (line,) = started.logged("entry started")
            harness.address, harness.ready_address = line["callers"], line["ready"]
            harness.operator_address = line["operator"]
            await wait_until(lambda: started.logged("upstream listed"))
            yield started, harness, upstream, settings
        finally:
            started.end()
        nursery.cancel_scope.cancel()
    await harness.aclose()


class TestProcess:
    async def test_drain_completes_requests(self, tmp_path: Path) -> None:
        """After SIGTERM the entry is not ready, still serves, closes connections, and exits."""
        async with program(tmp_path) as (started, harness, upstream, _):
            assert await harness.is_ready()
            upstream.work_s = 1.0
            async with trio.open_nursery() as nursery:
                responses = []

                async def call(request: str) -> None:
                    responses.append(await harness.call("/get/a", request))

                nursery.start_soon(call, "before")
                await wait_until(lambda: upstream.runs == ["before"])
                started.process.send_signal(signal.SIGTERM)
                await wait_until(lambda: started.logged("drain started"))
                assert not await harness.is_ready()
                nursery.start_soon(call, "after")
            assert [response.status for response in responses] == [200, 200]
            assert {response.header("connection") for response in responses} == {"close"}
            await wait_until(lambda: started.process.poll() is not None, 8.0)
            assert started.process.returncode == 0
            assert started.logged("entry stopped")[0]["in_progress"] == 0

    async def test_ends_in_time_with_a_caller_that_does_not_read(self, tmp_path: Path) -> None:
        """The response is cut off within the shutdown time, so the process need not be killed."""
        async with program(tmp_path, shutdown_s=5.0) as (started, harness, upstream, _):
            upstream.body = b"x" * 4_000_000
            host, _, port = harness.address.rpartition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            await stream.send_all(
                b"GET /get/a HTTP/1.1\r\nhost: site.example\r\nx-chivehold-request-id: r\r\n\r\n"
            )
            await wait_until(lambda: upstream.runs)
            started.process.send_signal(signal.SIGTERM)
            await wait_until(lambda: started.process.poll() is not None, 5.0)
            assert started.logged("drain overran")
            await stream.aclose()

    async def test_settings_are_reloaded(self, tmp_path: Path) -> None:
        """Settings are reloaded on SIGHUP and on a file change; an invalid file is ignored."""
        async with program(tmp_path) as (started, _, _, settings):
            started.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: len(started.logged("settings reloaded")) == 1)
            good = settings.read_text()
            settings.write_text(good.replace("retry_extra = 54", "retry_extra = 7"))
            await wait_until(lambda: len(started.logged("settings reloaded")) == 2)
            assert started.logged("settings reloaded")[1]["changed"] == ["retry_extra"]
            settings.write_text("name = 3")
            await wait_until(lambda: started.logged("settings not reloaded"))
            assert started.process.poll() is None

    async def test_event_loop_is_measured(self, tmp_path: Path) -> None:
        """With the setting, metrics and dump tell what has held the event loop."""
        async with program(tmp_path, loop_monitor=True) as (_, harness, upstream, _):
            await harness.call("/get/a", "r")
            assert upstream.runs == ["r"]
            metrics = (await harness.metrics()).decode()
            assert 'chivehold_loop_longest_step_seconds{task="chivehold.' in metrics
            assert 'chivehold_loop_longest_delay_seconds{delay="round"}' in metrics
            steps = (await harness.dump())["loop"]["steps"]
            assert any(kind.startswith("chivehold.store.follower.") for kind in steps)

    async def test_event_loop_is_not_measured_by_default(self, tmp_path: Path) -> None:
        """Without the setting there is nothing of it in metrics and dump."""
        async with program(tmp_path) as (_, harness, _, _):
            assert b"chivehold_loop_longest_step_seconds{" not in await harness.metrics()
            assert (await harness.dump())["loop"] is None

    def test_invalid_settings(self, tmp_path: Path) -> None:
        """Every problem is reported with file and key, and the exit code is 1."""
        settings = tmp_path / "entry.toml"
        settings.write_text('name = "entry-1"\nretry_share = 3\ncaller_adress = "x"\n')
        ended = subprocess.run(
            [sys.executable, "-m", "chivehold", "direct", "--settings", str(settings)],
            capture_output=True,
            text=True,
            check=False,
        )
        assert ended.returncode == 1
        for problem in ("retry_share: expected a share", "did you mean 'caller_address'", "zone"):
            assert problem in ended.stderr
        assert str(settings) in ended.stderr
