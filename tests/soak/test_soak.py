"""Short runs of the soak: one seed always, and each seed that has ever failed."""

import subprocess
import sys
from pathlib import Path

import pytest

LIMIT_S = 120.0
EACH_TIME = 1
"""Seed of the run that every check plays."""
FAILED: dict[int, str] = {}
"""Seeds that have failed, each with a line on the cause."""


@pytest.mark.parametrize("seed", [EACH_TIME, *FAILED])
def test_seed(seed: int, tmp_path: Path) -> None:
    command = [sys.executable, "-m", "tests.soak", f"--seed={seed}", f"--directory={tmp_path}"]
    ended = subprocess.run(command, capture_output=True, text=True, check=False, timeout=LIMIT_S)
    assert ended.returncode == 0, ended.stdout + ended.stderr
