"""The platform's names occur only in its adapter, the fakes and the deploy files."""

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
    r"|apiKeys|ratePerS|plainTokens|hasMore|createRevision|platformApi|nodeName|/v1/objects|/v1/report|/v1/order|/v1/ready",
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
        """Fields, headers and paths of the platform occur only in its adapter."""
        assert NAMES.findall(path.read_text()) == []

    def test_names_are_found_where_they_belong(self) -> None:
        """The search matches in each adapter module that contains the platform's names."""
        for name in ("configuration", "dialect", "store"):
            assert NAMES.search((ROOT / "platform" / f"{name}.py").read_text()), name

    def test_adapter_stays_small(self) -> None:
        """The adapter only translates; a limit on its size keeps logic out of it."""
        lines = sum(len(path.read_text().splitlines()) for path in (ROOT / "platform").glob("*.py"))
        assert lines <= MAX_FOLDER_LINES
