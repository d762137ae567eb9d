"""Deselects the known failures listed in KNOWN-RED.txt and prints the list."""

from collections.abc import Iterator
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def known_red(text: str) -> Iterator[str]:
    """Yield the node ids in a list of known failures."""
    for line in text.splitlines():
        if line.startswith(TEST_PREFIX):
            yield line.removeprefix(TEST_PREFIX).strip()


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed_ids = set(known_red(KNOWN_RED.read_text())) if KNOWN_RED.exists() else set()
    known_items = [item for item in items if item.nodeid in listed_ids]
    if known_items and not config.getoption("--known-red"):
        items[:] = [item for item in items if item.nodeid not in listed_ids]
        config.hook.pytest_deselected(items=known_items)


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-red", action="store_true", help="run the tests of KNOWN-RED.txt too")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    if KNOWN_RED.exists():
        terminalreporter.section("KNOWN-RED.txt, not in this verdict")
        terminalreporter.write(KNOWN_RED.read_text())
