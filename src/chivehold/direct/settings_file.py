"""The settings file, read again while the process runs."""

import logging
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import trio

from chivehold.exceptions import SettingsInvalid
from chivehold.logs import log_event
from chivehold.settings import DirectSettings, read_direct_settings

POLL_S = 1.0

_log = logging.getLogger(__name__)


class _Written(NamedTuple):
    """What tells one state of a file from another; zeros where it is missing."""

    at_ns: int = 0
    size: int = 0


class SettingsFile:
    """Reads the settings when asked to, and when the file has changed; ``run`` does the work.

    Args:
        path: The file.
        settings: What it said at the start.
        apply: Called with what it says now, unless that cannot be used.
    """

    def __init__(
        self, path: Path, settings: DirectSettings, apply: Callable[[DirectSettings], None]
    ) -> None:
        self._path = path
        self._settings = settings
        self._apply = apply
        self._asked = trio.Event()
        self._written = _written(path)

    def ask(self) -> None:
        """Have the file read now, changed or not."""
        self._asked.set()

    async def run(self) -> None:
        """Watch the file until cancelled."""
        while True:
            with trio.move_on_after(POLL_S):
                await self._asked.wait()
            asked, self._asked = self._asked.is_set(), trio.Event()
            written = _written(self._path)
            if asked or written != self._written:
                self._written = written
                self._read(asked)

    def _read(self, asked: bool) -> None:
        try:
            settings = read_direct_settings(self._path)
        except SettingsInvalid as error:
            log_event(_log, logging.ERROR, "settings not reloaded", detail=error)
            return
        changed = [
            field
            for field, value in settings._asdict().items()
            if value != getattr(self._settings, field)
        ]
        if changed or asked:
            log_event(_log, logging.INFO, "settings reloaded", changed=changed)
        self._settings = settings
        self._apply(settings)


def _written(path: Path) -> _Written:
    try:
        found = path.stat()
    except OSError:
        return _Written()
    return _Written(found.st_mtime_ns, found.st_size)
