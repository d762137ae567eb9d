"""Whether a decode engine is to prefill a prompt itself, because that is sooner done.

A decode engine prefills more slowly than a prefill engine of the same speed, between the tokens of
its streams. Where engines differ in speed or the prefill engines are busy, it may still be faster:
no other prompt waits there, and the memory for the prompt is reserved already. The comparison is
made per prompt from measured times, so that prefill engines are used as far as they keep up.
"""

from collections import deque
from statistics import median

SAMPLES_KEPT = 40
MIN_SAMPLES = 3
"""With fewer samples the time of a local prefill counts as unknown."""
TOLERANCE = 1.5
"""A separate prefill may take this many times as long, since a local one delays other streams."""
HANDOVER_S = 0.02
"""Time from the end of a separate prefill to the first event, in which the KV cache is fetched."""


class LocalPrefills:
    """Times that the decode engines of one service took to prefill prompts themselves."""

    def __init__(self) -> None:
        self._s_per_token: deque[float] = deque(maxlen=SAMPLES_KEPT)

    def record(self, tokens: int, took_s: float) -> None:
        """Record the time from sending a prompt to a decode engine to its first event."""
        self._s_per_token.append(took_s / max(1, tokens))

    def expected_s(self, tokens: int) -> float | None:
        """Return how long a decode engine takes for a prompt, in seconds; ``None`` if unknown."""
        if len(self._s_per_token) < MIN_SAMPLES:
            return None
        return max(1, tokens) * median(self._s_per_token)

    def is_sooner(self, tokens: int, separate_s: float) -> bool:
        """Return whether a decode engine is to prefill a prompt itself.

        Args:
            tokens: Length of the prompt in tokens.
            separate_s: Expected duration of the prefill at a prefill engine, in seconds.
        """
        local_s = self.expected_s(tokens)
        return local_s is not None and separate_s > TOLERANCE * local_s + HANDOVER_S

    def useful_wait_s(self, tokens: int, left_s: float) -> float:
        """Return how long to wait for a separate prefill before a local one would be late, too.

        Args:
            tokens: Length of the prompt in tokens.
            left_s: Time until the first event is late, in seconds.

        Returns:
            Seconds; 0 if the time of a local prefill is unknown.
        """
        local_s = self.expected_s(tokens)
        return 0.0 if local_s is None else max(0.0, left_s - local_s)
