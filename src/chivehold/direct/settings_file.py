"""Reloading of the settings file at runtime."""

import logging
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import trio

from chivehold.exceptions import SettingsInvalid
from chivehold.logs import log_event
from chivehold.settings import DirectSettings, read_direct_settings

POLL_INTERVAL_S = 1.0

_log = logging.getLogger(__name__)


class _FileVersion(NamedTuple):
    """Modification time and size of a file; zeros if the file is missing."""

    modified_ns: int = 0
    size: int = 0


class SettingsFile:
    """Reloads the settings on request and when the file has changed; ``run`` does the work.

    Args:
        path: The settings file.
        settings: The settings read at the start.
        apply: Called with the new settings, unless they are invalid.
    """

    def __init__(
        self, path: Path, settings: DirectSettings, apply: Callable[[DirectSettings], None]
    ) -> None:
        self._path = path
        self._settings = settings
        self._apply = apply
        self._reload_requested = trio.Event()
        self._file_version = _file_version(path)

    def request_reload(self) -> None:
        """Reload the file now, even if it has not changed."""
        self._reload_requested.set()

    async def run(self) -> None:
        """Watch the file until cancelled."""
        while True:
            with trio.move_on_after(POLL_INTERVAL_S):
                await self._reload_requested.wait()
            requested, self._reload_requested = self._reload_requested.is_set(), trio.Event()
            version = _file_version(self._path)
            if requested or version != self._file_version:
                self._file_version = version
                self._reload(requested)

    def _reload(self, requested: bool) -> None:
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
        if changed or requested:
            log_event(_log, logging.INFO, "settings reloaded", changed=changed)
        self._settings = settings
        self._apply(settings)


def _file_version(path: Path) -> _FileVersion:
    try:
        status = path.stat()
    except OSError:
        return _FileVersion()
    return _FileVersion(status.st_mtime_ns, status.st_size)
