"""Help of ``entry``, ``sidecar`` and ``direct``; ``cli`` runs these daemons without cleo."""

from typing import ClassVar

from cleo.exceptions import CleoUserError
from cleo.io.inputs.option import Option

from chivehold.commands.base import PlainCommand, value_option


class _DaemonCommand(PlainCommand):
    options: ClassVar[list[Option]] = [value_option("settings", "The settings file in TOML")]

    def handle(self) -> int:
        """Raise a usage error: ``cli`` runs a daemon only if its name is the first argument."""
        raise CleoUserError(f"expected: chivehold {self.name} --settings FILE")


class EntryCommand(_DaemonCommand):
    """Runs an entry until SIGTERM or SIGINT, or a drain."""

    name = "entry"
    description = "Runs an entry until SIGTERM or SIGINT; no request is cut off"
    examples = ("chivehold entry --settings entry-1.toml",)


class SidecarCommand(_DaemonCommand):
    """Runs the sidecar of an upstream until SIGTERM or SIGINT."""

    name = "sidecar"
    description = "Runs the sidecar beside one upstream until SIGTERM or SIGINT"
    examples = ("chivehold sidecar --settings lector-d1.toml",)


class DirectCommand(_DaemonCommand):
    """Runs an entry that calls its upstreams directly until SIGTERM or SIGINT."""

    name = "direct"
    description = "Runs an entry that needs no sidecars until SIGTERM or SIGINT"
    examples = ("chivehold direct --settings /etc/chivehold/entry.toml",)
