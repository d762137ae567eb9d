"""What the daemons exempt from garbage collections."""

import gc
import weakref
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

import pytest
import trio

from chivehold.direct.__main__ import main as run_direct
from chivehold.entry.__main__ import main as run_entry
from chivehold.garbage import exempt_existing_objects
from chivehold.sidecar.__main__ import main as run_sidecar
from tests.test_settings import DIRECT, ENTRY, SIDECAR

MAX_COLLECTED_SHARE = 0.05
"""Share of all objects that a full collection right after the start may go through."""


class _Cycle:
    """An object that only the collector frees."""

    def __init__(self) -> None:
        self.itself = self


@pytest.fixture(autouse=True)
def unfrozen() -> Iterator[None]:
    """Let the collector see all objects again after each test."""
    gc.unfreeze()
    yield
    gc.unfreeze()


class TestGarbage:
    def test_existing_objects_are_exempt(self) -> None:
        """Later collections find what has been created since, and garbage from before is freed."""
        earlier, garbage = _Cycle(), weakref.ref(_Cycle())
        exempt_existing_objects()
        assert garbage() is None
        later = _Cycle()
        collected = gc.get_objects()
        assert any(known is later for known in collected)
        assert not any(known is earlier for known in collected)

    # Guards against full collections of 30 ms in entries and sidecars, during which nothing runs.
    @pytest.mark.parametrize(
        ("main", "text"), [(run_direct, DIRECT), (run_entry, ENTRY), (run_sidecar, SIDECAR)]
    )
    def test_daemons_exempt_their_modules(
        self,
        monkeypatch: pytest.MonkeyPatch,
        tmp_path: Path,
        main: Callable[[Sequence[str]], int],
        text: str,
    ) -> None:
        """When the event loop of a daemon starts, a full collection has little to go through."""
        settings = tmp_path / "node.toml"
        settings.write_text(text)
        shares: list[float] = []

        def run(*arguments: object) -> None:
            collected = len(gc.get_objects())
            shares.append(collected / (collected + gc.get_freeze_count()))

        monkeypatch.setattr(trio, "run", run)
        for module in ("direct", "entry", "sidecar"):
            name = "set_up_bounded_logging" if module == "direct" else "set_up_logging"
            monkeypatch.setattr(f"chivehold.{module}.__main__.{name}", lambda *arguments: None)
        assert main(["--settings", str(settings)]) == 0
        assert shares[0] < MAX_COLLECTED_SHARE
