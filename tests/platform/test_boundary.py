"""The platform's names stay in its adapter, its stand-ins and the deploy files."""

import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2] / "src" / "chivehold"
ALLOWED = {"platform", "fakes"}
NAMES = re.compile(
    r"x-chivehold-(?!not-a-name)|hold-take|hold-drop|kv-handle|kv-from|kv-move|kvRef|kvCapacity"
    r"|coldLeftMs|configApplyMs|graceS|retryBudgetRatio|targetLatencyMs|pathPrefix|trafficSplit"
    r"|timeoutMs|maxAttempts|sessionAffinity|gapAimMs|fenceToken|opType|currentRev"
    r"|hasMore|createRevision|platformApi|nodeName|/v1/objects|/v1/report|/v1/order|/v1/ready",
    re.IGNORECASE,
)
MAX_FOLDER_LINES = 900


def modules() -> Iterator[Path]:
    return (path for path in sorted(ROOT.rglob("*.py")) if "_pb2" not in path.name)


class TestBoundary:
    @pytest.mark.parametrize(
        "path",
        [path for path in modules() if path.relative_to(ROOT).parts[0] not in ALLOWED],
        ids=lambda path: str(path.relative_to(ROOT)),
    )
    def test_no_name_of_the_platform_outside(self, path: Path) -> None:
        """A field, header or path of the platform occurs in its adapter alone."""
        assert NAMES.findall(path.read_text()) == []

    def test_names_are_found_where_they_belong(self) -> None:
        """The search finds something in each module of the adapter that speaks to the platform."""
        for name in ("configuration", "dialect", "store"):
            assert NAMES.search((ROOT / "platform" / f"{name}.py").read_text()), name

    def test_adapter_stays_small(self) -> None:
        """What decides does not belong there."""
        lines = sum(len(path.read_text().splitlines()) for path in (ROOT / "platform").glob("*.py"))
        assert lines <= MAX_FOLDER_LINES
