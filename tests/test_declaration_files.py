"""Reading and validating declaration files."""

from pathlib import Path

import pytest

from chivehold.declaration_files import read_declarations
from chivehold.exceptions import DeclarationInvalid

EXAMPLES = Path(__file__).parents[1] / "examples"
SERVICE = """
[[services]]
name = "forja"
rules = [{ method = "POST", path_prefix = "/reservations", idempotent = false }]
classes = [{ name = "booking", urgency = "urgent", deadline_s = 10 }]
[[services.upstreams]]
name = "forja-1"
zone = "sjo-a"
data_address = "192.0.2.1:7000"
control_address = "192.0.2.1:7001"
places = 20
"""


def _write(tmp_path: Path, text: str, name: str = "forja.toml") -> Path:
    path = tmp_path / name
    path.write_text(text)
    return path


def _problems(*paths: Path) -> tuple[str, ...]:
    with pytest.raises(DeclarationInvalid) as caught:
        read_declarations(paths)
    return caught.value.problems


class TestReadDeclarations:
    def test_reads_service(self, tmp_path: Path) -> None:
        """A file is read into typed declarations with defaults for missing keys."""
        (forja,) = read_declarations([_write(tmp_path, SERVICE)])
        assert forja.rules[0].idempotent is False
        assert forja.upstreams[0].honours_fencing is True
        assert forja.classes[0].first_token_target_s == 1.0

    def test_reports_all_schema_errors_at_once(self, tmp_path: Path) -> None:
        """Each schema error is reported with the file, the key and the expected value."""
        invalid_text = SERVICE.replace("places = 20", "place = 20").replace('"urgent"', '"soon"')
        path = _write(tmp_path, invalid_text + 'data_adress = "x"\n')
        assert _problems(path) == (
            f"{path}: services[0].upstreams[0].place: unknown key; did you mean 'places'?",
            f"{path}: services[0].upstreams[0].data_adress: unknown key; "
            "did you mean 'data_address'?",
            f"{path}: services[0].upstreams[0].places: missing; "
            "expected a whole number, 0 to 4294967295",
            f"{path}: services[0].classes[0].urgency: expected one of 'urgent', 'patient', "
            "found 'soon'",
        )

    def test_reports_errors_across_files(self, tmp_path: Path) -> None:
        """An error that involves several files is reported for each of them."""
        other = _write(tmp_path, SERVICE.replace('"forja"', '"loandesk"'), "loandesk.toml")
        path = _write(tmp_path, SERVICE.replace("192.0.2.1:7001", "somewhere"))
        problems = _problems(path, other)
        assert any(line.startswith(f"{path}: forja: upstreams[0].control") for line in problems)
        assert any(line.startswith(f"{other}: loandesk: forja-1: expected") for line in problems)

    @pytest.mark.parametrize("text", ["[[services]]\nname = 1", "services = 3", "x = [[[["])
    def test_rejects_invalid_files(self, tmp_path: Path, text: str) -> None:
        """A file that is not a declaration file raises ``DeclarationInvalid`` with its path."""
        path = _write(tmp_path, text)
        assert all(line.startswith(f"{path}: ") for line in _problems(path))
