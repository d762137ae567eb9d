import ast
from pathlib import Path

import pytest

import chivehold.core

FORBIDDEN = {"trio", "grpc", "hypercorn", "httpcore", "socket", "time", "datetime", "os", "logging"}
MODULES = sorted(Path(chivehold.core.__file__).parent.rglob("*.py"))


def imported(path: Path) -> set[str]:
    tree = ast.parse(path.read_text())
    names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names |= {alias.name.split(".")[0] for alias in node.names}
        if isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.split(".")[0])
    return names


class TestCore:
    @pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
    def test_imports_no_io(self, path: Path) -> None:
        """A module of the core imports nothing that does I/O or reads a clock."""
        assert not imported(path) & FORBIDDEN
