"""The facts that entries publish to one another."""

from typing import NamedTuple

from chivehold.core.direct.crash_evidence import UpstreamEnd
from chivehold.core.direct.crash_keys import CrashKey
from chivehold.core.direct.messages import UpstreamIncarnation
from chivehold.core.direct.quarantine import Quarantine


class HarmlessRun(NamedTuple):
    """Content ran without harm."""

    key: CrashKey
    at: float
    """Monotonic time in seconds."""


class UpstreamLeaving(NamedTuple):
    """An upstream has said in a response that it leaves."""

    upstream: UpstreamIncarnation


Fact = UpstreamEnd | HarmlessRun | Quarantine | UpstreamLeaving
