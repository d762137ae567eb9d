"""Fixtures that run the programs as processes for one test."""

import pytest

from tests.entry.deployed import deploy
from tests.processes import Programs


@pytest.fixture
def programs(tmp_path):
    programs = Programs(tmp_path)
    yield programs
    programs.kill_all()


@pytest.fixture
async def deployed(programs):
    return await deploy(programs)
