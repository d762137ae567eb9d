"""The facts that entries tell one another."""

from typing import NamedTuple

from chivehold.core.direct.crash_evidence import UpstreamEnd
from chivehold.core.direct.crash_keys import CrashKey
from chivehold.core.direct.messages import UpstreamIncarnation
from chivehold.core.direct.quarantine import Quarantine


class SoundRun(NamedTuple):
    """Content ran without harm."""

    key: CrashKey
    at: float
    """Monotonic time in seconds."""


class Departure(NamedTuple):
    """An upstream has said in a response that it leaves."""

    upstream: UpstreamIncarnation


Fact = UpstreamEnd | SoundRun | Quarantine | Departure
