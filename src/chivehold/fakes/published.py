"""The load and cache that a stand-in engine reports, delayed by a lag."""

from collections import OrderedDict, deque
from collections.abc import Iterable

from chivehold.sidecar.engine_api import EngineLoad

MAX_PUBLISHED_BLOCKS = 256
MAX_LOAD_SAMPLES = 4_096


class PublishedStatus:
    """Load samples and cache events that become visible only after a lag.

    Args:
        max_blocks: Maximum number of blocks that the engine caches.
    """

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._samples: deque[tuple[float, EngineLoad]] = deque(maxlen=MAX_LOAD_SAMPLES)
        self._events: deque[tuple[float, tuple[int, ...]]] = deque()
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def add_load_sample(
        self, now: float, streams: int, prefill_backlog_tokens: int, token_interval_s: float
    ) -> None:
        """Record the current load."""
        load = EngineLoad(
            streams=streams,
            prefill_backlog_tokens=prefill_backlog_tokens,
            token_interval_s=token_interval_s,
        )
        self._samples.append((now, load))

    def add_cache_event(self, now: float, blocks: tuple[int, ...]) -> None:
        """Record that these blocks were cached at ``now``."""
        self._events.append((now, blocks))

    def clear(self) -> None:
        """Discard the cache and its pending events, as a killed engine does."""
        self._events.clear()
        self._blocks.clear()

    def load(self, now: float, lag_s: float) -> EngineLoad:
        """Return the load as it was ``lag_s`` seconds ago."""
        while len(self._samples) > 1 and self._samples[1][0] <= now - lag_s:
            self._samples.popleft()
        if not self._samples:
            return EngineLoad(streams=0, prefill_backlog_tokens=0, token_interval_s=0.0)
        return self._samples[0][1]

    def prefix_blocks(self, now: float, lag_s: float) -> list[int]:
        """Return blocks from cache events at least ``lag_s`` seconds old, most recent first."""
        while self._events and self._events[0][0] <= now - lag_s:
            _, blocks = self._events.popleft()
            self._add_blocks(blocks)
        return list(reversed(self._blocks))[:MAX_PUBLISHED_BLOCKS]

    def _add_blocks(self, blocks: Iterable[int]) -> None:
        for digest in blocks:
            self._blocks[digest] = None
            self._blocks.move_to_end(digest)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)
