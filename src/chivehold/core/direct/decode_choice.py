"""Which decode engine is most likely to have room for a stream and to end it soonest.

Memory is what decode engines lack in a burst. How much of it other entries use follows from the
number of streams that an engine has reported; this entry's own reservations are known exactly. A
slow engine holds each stream's memory for longer, so it counts as fuller than a fast one.
"""

from typing import NamedTuple

REMOTE_SHARE = 0.25
"""An engine in another zone counts as fuller by this share of a request."""
STREAMS_HALF_LIFE_S = 1.5
"""Half-life of what a report says about the streams of other entries, which last some seconds."""


class EngineMemory(NamedTuple):
    """What an entry knows of the memory of a decode engine."""

    refused_for_s: float
    """Remaining time for which a refusal of a request of this size or less is remembered."""
    own_tokens: int
    """Reserved by this entry."""
    other_streams: float
    """Streams of other entries, weighted by the age of the report."""
    slowness: float
    """How many times as long as at the service's median engine a stream takes there now."""
    is_remote: bool = False
    """It reports its load and is in another zone."""


def fullness(engine: EngineMemory, tokens: int, noise: float) -> tuple[float, float]:
    """Return a key that sorts the engines to ask first to the front.

    Args:
        engine: What is known of the engine.
        tokens: Memory that the request needs; the streams of others are taken to need as much.
        noise: A random factor that spreads entries that see the same load.
    """
    used = engine.own_tokens + engine.other_streams * tokens
    used += REMOTE_SHARE * tokens * engine.is_remote
    # Without reports and differences in speed, only the own reservations count.
    return engine.refused_for_s, (used + tokens) * engine.slowness * noise - tokens * noise
