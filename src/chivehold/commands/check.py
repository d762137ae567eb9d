"""``check-settings``: checks settings and declaration files offline."""

import tomllib
from collections.abc import Callable, Iterator, Sequence
from enum import StrEnum
from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from chivehold.commands.base import PlainCommand
from chivehold.commands.exits import ExitCode
from chivehold.declaration_files import MAX_DECLARATION_BYTES, read_declarations
from chivehold.exceptions import DeclarationInvalid, SettingsInvalid
from chivehold.settings import read_direct_settings, read_entry_settings, read_sidecar_settings


class FileKind(StrEnum):
    """Kind of a settings or declaration file."""

    ENTRY = "entry settings"
    SIDECAR = "sidecar settings"
    DIRECT = "settings of an entry without sidecars"
    DECLARATIONS = "declarations"


_DIRECT_KEYS = ("ready_address", "store_address")
_SIDECAR_KEYS = ("upstream_address", "data_address", "target", "role")


_SETTINGS_READERS: dict[FileKind, Callable[[Path], object]] = {
    FileKind.ENTRY: read_entry_settings,
    FileKind.SIDECAR: read_sidecar_settings,
    FileKind.DIRECT: read_direct_settings,
}


class CheckSettingsCommand(PlainCommand):
    """Checks settings and declaration files, and reports every error."""

    name = "check-settings"
    description = "Checks settings and declaration files, and names every fault"
    arguments: ClassVar[list[Argument]] = [
        argument("files", "Settings of entries or sidecars, declarations", multiple=True)
    ]
    examples = ("chivehold check-settings entry-1.toml lector-d1.toml bruma.toml",)

    def handle(self) -> int:
        """Run the command."""
        kinds = {Path(file): detect_file_kind(Path(file)) for file in self.argument("files")}
        problems = list(_file_problems(kinds))
        for problem in problems:
            self.emit_error(problem)
        if problems:
            return ExitCode.REFUSED
        for path, kind in kinds.items():
            self.emit(f"{path}: {kind}, valid")
        return ExitCode.OK


def detect_file_kind(path: Path) -> FileKind:
    """Return the kind of a file by its keys; ``ENTRY`` if it cannot be read."""
    try:
        with path.open("rb") as file:
            table = tomllib.loads(file.read(MAX_DECLARATION_BYTES).decode())
    except (OSError, ValueError, RecursionError):
        return FileKind.ENTRY
    if "deployments" in table or "services" in table:
        return FileKind.DECLARATIONS
    if any(key in table for key in _DIRECT_KEYS):
        return FileKind.DIRECT
    return FileKind.SIDECAR if any(key in table for key in _SIDECAR_KEYS) else FileKind.ENTRY


def _file_problems(kinds: dict[Path, FileKind]) -> Iterator[str]:
    for path, kind in kinds.items():
        if (read := _SETTINGS_READERS.get(kind)) is not None:
            yield from _settings_problems(read, path)
    declaration_paths = [path for path, kind in kinds.items() if kind is FileKind.DECLARATIONS]
    yield from _declaration_problems(declaration_paths)


def _settings_problems(read: Callable[[Path], object], path: Path) -> Sequence[str]:
    try:
        read(path)
    except SettingsInvalid as error:
        return error.problems
    return ()


def _declaration_problems(paths: Sequence[Path]) -> Sequence[str]:
    try:
        read_declarations(paths)
    except DeclarationInvalid as error:
        return error.problems
    return ()
