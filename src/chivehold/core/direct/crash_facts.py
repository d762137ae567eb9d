"""The facts about content that ends upstreams which entries tell one another."""

from typing import NamedTuple

from chivehold.core.direct.crash_evidence import UpstreamEnd
from chivehold.core.direct.crash_keys import CrashKey
from chivehold.core.direct.quarantine import Quarantine


class SoundRun(NamedTuple):
    """Content ran without harm."""

    key: CrashKey
    at: float
    """Monotonic time in seconds."""


CrashFact = UpstreamEnd | SoundRun | Quarantine
