from tests.conftest import known_red

KNOWN_RED_LIST = """test: tests/a.py::TestA::test_b[1]
command: python -m pytest tests/a.py (seed 3)
seen: fails in 3 runs of 3
issue: 4
"""


class TestKnownRed:
    def test_names_listed_tests_only(self) -> None:
        """Only lines that start with ``test:`` deselect a test."""
        assert list(known_red(KNOWN_RED_LIST)) == ["tests/a.py::TestA::test_b[1]"]
        assert list(known_red("")) == []
