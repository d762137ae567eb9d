"""The documentation: its commands run, and its reference lists are complete."""

import os
import re
import shlex
import shutil
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
import trio
from aioprometheus.collectors import Registry

from chivehold.direct.metrics import DirectMetrics
from chivehold.metrics import EntryMetrics
from chivehold.sidecar.metrics import SidecarMetrics
from examples.demo.children import Children
from examples.demo.sites import BRUMA, Site
from tests.processes import READY_TIMEOUT_S

ROOT = Path(__file__).parents[1]
PAGES = (ROOT / "README.md", ROOT / "docs" / "operators.md")
OPERATORS = PAGES[1].read_text()
DIRECT_OPERATORS = (ROOT / "docs" / "OPERATIONS.md").read_text()
DIRECT_SOURCES = (
    "platform/*.py",
    "direct/*.py",
    "store/follower.py",
    "store/roster.py",
    "store/quarantine_records.py",
    "store/software_records.py",
)
EVENT = re.compile(r'log_event\(\s*_log,\s*(?:logging\.\w+|level),\s*"([^"]+)"')
REQUEST_EVENT = re.compile(r'exchange\.log\(\s*"([^"]+)"')
SIGNAL_EVENT = re.compile(r'_log_signal\(\s*"([^"]+)"')
CHANGE_EVENT = re.compile(r'\("(upstream [a-z]+)", change')
SIDECAR_EVENT = re.compile(r'_event\(\s*logging\.\w+,\s*"([^"]+)"')


def _commands(kind: str) -> Iterator[list[str]]:
    for page in PAGES:
        for block in re.findall(rf"```{kind}\n(.*?)```", page.read_text(), re.DOTALL):
            yield from map(shlex.split, block.splitlines())


@pytest.fixture
async def site(tmp_path: Path):
    """The site Bruma as processes, with example files that contain their addresses."""
    children = Children(tmp_path)
    try:
        site = Site(BRUMA, children)
        await site.start()
        example = tmp_path / "examples" / "bruma"
        example.mkdir(parents=True)
        for name, source_name in (
            ("declarations", ""),
            ("entry", "entry-1"),
            ("decode", "lector-d1"),
        ):
            shutil.copy(tmp_path / f"bruma-{source_name or name}.toml", example / f"{name}.toml")
        yield site
    finally:
        await children.stop()


class TestCommands:
    async def test_operators_commands_run(self, site: Site, tmp_path: Path) -> None:
        """Each operator command succeeds, in the order of the page."""
        token = "change-this-shared-token"
        environment = {"CHIVEHOLD_ENTRY": site.entries[0].control_address, "CHIVEHOLD_TOKEN": token}
        assert f"CHIVEHOLD_TOKEN={token}" in OPERATORS
        commands = [command for command in _commands("sh") if command[0] == "chivehold"]
        assert len(commands) >= 12
        for _, *arguments in commands:
            completed = await trio.run_process(
                [sys.executable, "-m", "chivehold.cli", *arguments],
                cwd=tmp_path,
                env=os.environ | environment,
                capture_stdout=True,
                capture_stderr=True,
                check=False,
            )
            assert completed.returncode == 0, (arguments, completed.stderr.decode())
            assert completed.stdout, arguments
        for _, *arguments in _commands("daemon"):
            await _start_and_stop([sys.executable, "-m", "chivehold.cli", *arguments], tmp_path)

    @pytest.mark.parametrize(
        "command", [words for words in _commands("sh") if words[0] != "chivehold"]
    )
    def test_make_targets_exist(self, command: list[str]) -> None:
        """Each make target in the pages exists."""
        program, target = command
        assert program == "make"
        subprocess.run(["make", "-n", target], cwd=ROOT, check=True, capture_output=True)


class TestReference:
    def test_every_metric_is_documented(self) -> None:
        """Each metric of entries and sidecars is on the operators' page."""
        for metrics in (EntryMetrics(), SidecarMetrics()):
            registry = metrics._registry
            assert isinstance(registry, Registry)
            for name in registry.collectors:
                assert f"`{name.removeprefix('chivehold_sidecar_')}`" in OPERATORS, name

    def test_every_metric_without_sidecars_is_documented(self) -> None:
        """Each metric of an entry without sidecars is on its operations page."""
        registry = DirectMetrics()._registry
        assert len(registry.collectors) >= 9
        for name in registry.collectors:
            assert f"`{name}`" in DIRECT_OPERATORS, name

    def test_every_log_event_without_sidecars_is_documented(self) -> None:
        """Each event logged by an entry without sidecars is on its operations page."""
        sources = [path.read_text() for path in _direct_sources()]
        patterns = (EVENT, REQUEST_EVENT, CHANGE_EVENT, SIGNAL_EVENT)
        events = {
            event for text in sources for pattern in patterns for event in pattern.findall(text)
        }
        assert len(events) >= 25
        for event in events:
            assert f"`{event}`" in DIRECT_OPERATORS, event

    def test_every_log_event_is_documented(self) -> None:
        """Each event logged by the other modules is on the operators' page."""
        other_sources = set((ROOT / "src").rglob("*.py")) - set(_direct_sources())
        sources = [path.read_text() for path in other_sources]
        events = {event for text in sources for event in EVENT.findall(text)}
        events |= {event for text in sources for event in SIDECAR_EVENT.findall(text)}
        assert len(events) >= 12
        for event in events:
            assert f"`{event}`" in OPERATORS, event

    def test_links_are_valid(self) -> None:
        """Each relative link in a page points to an existing file."""
        pages = [*ROOT.glob("*.md"), *(ROOT / "docs").glob("*.md")]
        for page in pages:
            for link in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
                assert (page.parent / link).exists(), (page.name, link)


def _direct_sources() -> Iterator[Path]:
    for pattern in DIRECT_SOURCES:
        yield from (ROOT / "src" / "chivehold").glob(pattern)


async def _start_and_stop(command: list[str], directory: Path) -> None:
    process = await trio.lowlevel.open_process(
        command, cwd=directory, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
    )
    try:
        with trio.fail_after(READY_TIMEOUT_S):
            assert (await process.stdout.receive_some(256)).startswith(b"listening ")
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
