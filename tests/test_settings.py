"""Reading and validating settings files."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from chivehold.core.identity import Role
from chivehold.core.policy import DecodeChoiceKind, Policy
from chivehold.exceptions import SettingsInvalid
from chivehold.settings import (
    PolicyTable,
    read_direct_settings,
    read_entry_settings,
    read_sidecar_settings,
)

ENTRY = """
name = "entry-1"
zone = "sjo-a"
caller_address = "127.0.0.1:8080"
control_address = "127.0.0.1:8081"
operator_address = "[::1]:8082"
platform_address = "127.0.0.1:9000"
token = "0123456789abcdef"
"""
DIRECT = """
name = "entry-1"
zone = "sjo-a"
caller_address = "127.0.0.1:8080"
ready_address = "127.0.0.1:8081"
operator_address = "127.0.0.1:8082"
store_address = "127.0.0.1:9000"
retry_share = 0.2
retry_extra = 54
retry_window_s = 10
shutdown_s = 8
"""
SIDECAR = """
name = "lector-decode-1"
target = "lector"
role = "decode"
zone = "sjo-a"
data_address = "127.0.0.1:0"
control_address = "127.0.0.1:0"
operator_address = "127.0.0.1:0"
upstream_address = "127.0.0.1:9100"
places = 20
token = "0123456789abcdef"
"""


class TestSettings:
    def _write(self, tmp_path: Path, text: str) -> Path:
        path = tmp_path / "node.toml"
        path.write_text(text)
        return path

    def test_reads_entry(self, tmp_path: Path) -> None:
        """Values in the file, including its policy table, replace the defaults."""
        text = ENTRY + 'heartbeat_s = 1\n[policy]\ndecode_choice = "round_robin"\n'
        settings = read_entry_settings(self._write(tmp_path, text))
        assert settings.heartbeat_s == 1.0
        assert settings.policy.decode_choice is DecodeChoiceKind.ROUND_ROBIN
        assert settings.drain_timeout_s == 900.0

    def test_reads_sidecar(self, tmp_path: Path) -> None:
        """Missing keys have their default values."""
        settings = read_sidecar_settings(self._write(tmp_path, SIDECAR))
        assert (settings.role, settings.entry_lease_s) == (Role.DECODE, 1.5)
        assert settings.policy == Policy()

    # Guards against a daemon whose loop is measured unasked, or whose file cannot ask for it.
    @pytest.mark.parametrize(
        ("text", "read"),
        [
            (ENTRY, read_entry_settings),
            (SIDECAR, read_sidecar_settings),
            (DIRECT, read_direct_settings),
        ],
    )
    def test_event_loop_is_measured_on_request(
        self, tmp_path: Path, text: str, read: Callable[[Path], Any]
    ) -> None:
        """Each daemon has the setting, and it is off by default."""
        assert read(self._write(tmp_path, text)).loop_monitor is False
        assert read(self._write(tmp_path, text + "loop_monitor = true\n")).loop_monitor is True

    def test_policy_has_a_key_for_every_decision(self, tmp_path: Path) -> None:
        """Each field of the policy can be set; sidecars accept the same table as entries."""
        assert set(PolicyTable.__annotations__) == set(Policy._fields)
        text = SIDECAR + "[policy]\nurgent_headroom = 1.5\nlink_budget = false\n"
        policy = read_sidecar_settings(self._write(tmp_path, text)).policy
        assert policy == Policy(urgent_headroom=1.5, link_budget=False)

    def test_reports_all_errors_at_once(self, tmp_path: Path) -> None:
        """Each error has the file, the key and the expected value, but never shows a token."""
        text = ENTRY.replace('zone = "sjo-a"\n', "").replace("0123456789abcdef", "short")
        text += 'platform_token = "brief"\n'
        text += 'heartbeats_s = 1\nmax_connections = 0\n[policy]\nwait_list = "no"\n'
        path = self._write(tmp_path, text)
        with pytest.raises(SettingsInvalid) as caught:
            read_entry_settings(path)
        problems = "\n".join(caught.value.problems)
        assert len(caught.value.problems) == 6
        assert all(line.startswith(str(path)) for line in caught.value.problems)
        assert "heartbeats_s: unknown key; did you mean 'heartbeat_s'?" in problems
        assert "zone: missing" in problems
        assert "max_connections: expected a count, 1 to 1000000, found 0" in problems
        assert "policy.wait_list: expected true or false, found 'no'" in problems
        assert "short" not in problems
        assert "brief" not in problems

    @pytest.mark.parametrize(
        "line",
        [
            'caller_address = "127.0.0.1:65536"',
            "heartbeat_s = nan",
            "heartbeat_s = inf",
            "policy = 1",
            'log_level = "loud"',
            "max_body_bytes = true",
            "x = [[[[[[",
            "a." * 30_000 + "b = 1",
            "x = " + "[" * 30_000,
        ],
    )
    def test_rejects_invalid_values(self, tmp_path: Path, line: str) -> None:
        """An invalid value, or a file that is not TOML, raises ``SettingsInvalid``."""
        key = line.split(" = ")[0]
        kept_lines = [row for row in ENTRY.splitlines() if not row.startswith(f"{key} = ")]
        with pytest.raises(SettingsInvalid):
            read_entry_settings(self._write(tmp_path, "\n".join([*kept_lines, line])))

    def test_rejects_unreadable_file(self, tmp_path: Path) -> None:
        """A missing file raises ``SettingsInvalid``."""
        with pytest.raises(SettingsInvalid, match="cannot be read"):
            read_sidecar_settings(tmp_path / "none.toml")


class TestDirect:
    def test_integers_are_accepted_for_floats(self, tmp_path: Path) -> None:
        """Integers are accepted for float settings, since a platform may supply whole numbers."""
        path = tmp_path / "entry.toml"
        path.write_text(DIRECT)
        settings = read_direct_settings(path)
        assert (settings.retry_extra, settings.shutdown_s) == (54.0, 8.0)
        assert settings.decode_per_prefill == 3.0

    def test_reports_every_error(self, tmp_path: Path) -> None:
        """An invalid value, an unknown and a missing key are each reported with file and key."""
        path = tmp_path / "entry.toml"
        path.write_text(DIRECT.replace('zone = "sjo-a"', "decode_per_prefill = 0\nextra = 1"))
        with pytest.raises(SettingsInvalid) as error:
            read_direct_settings(path)
        problems = "\n".join(error.value.problems)
        for fault in ("decode_per_prefill: expected a number", "extra: unknown", "zone: missing"):
            assert f"{path}: {fault}" in problems
