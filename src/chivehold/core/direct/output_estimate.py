"""How many tokens a stream will generate, from its caller's estimate and from what came of others.

A caller's estimate is right in the middle but often far off, and lengths themselves vary about as
much. So a very long estimate is more often too long than too short, and a very short one too
short: the likely length lies nearer to the usual one. How much nearer is learnt from the streams
that ended, by a line through the logarithms of estimates and lengths.
"""

import math
from collections import deque
from typing import NamedTuple

SAMPLES_KEPT = 400
PRIOR_SLOPE = 0.6
PRIOR_SPREAD = 0.4
"""Of lengths about the line, in logarithms."""
PRIOR_SAMPLES = 20
"""What the assumptions above weigh against streams that were seen."""
ESTIMATE_SPREAD = 0.85
"""Of estimates about their mean, in logarithms, where none were seen."""
MARGIN = 0.9
"""Spreads above the line that are reserved; about one stream in five grows longer."""


class _Sample(NamedTuple):
    estimate: float
    """Logarithm of the caller's estimate."""
    length: float
    """Logarithm of the tokens generated."""


class OutputEstimate:
    """Learns from the streams of one service."""

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque(maxlen=SAMPLES_KEPT)
        self._hints: deque[float] = deque(maxlen=SAMPLES_KEPT)
        self._line: _Line | None = None

    def tokens(self, hint: int, most: int) -> int:
        """Return the tokens to reserve for an answer.

        Args:
            hint: The caller's estimate; 1 or more.
            most: Bound that the caller has set; 0 for none.
        """
        log_hint = math.log(max(1, hint))
        self._hints.append(log_hint)
        line = self._line or self._fitted()
        likely = line.at(log_hint) + MARGIN * line.spread
        tokens = math.ceil(math.exp(likely))
        return min(tokens, most) if most else tokens

    def ended(self, hint: int, generated: int) -> None:
        """Learn from a stream that ended by itself."""
        if hint >= 1 and generated >= 1:
            self._samples.append(_Sample(math.log(hint), math.log(generated)))
            self._line = self._fitted()

    def _fitted(self) -> "_Line":
        """Fit the line; the assumptions count as so many samples."""
        count = len(self._samples)
        if not count:
            centre = sum(self._hints) / len(self._hints)
            return _Line(centre, centre, PRIOR_SLOPE, PRIOR_SPREAD)
        centre = sum(one.estimate for one in self._samples) / count
        height = sum(one.length for one in self._samples) / count
        height = (count * height + PRIOR_SAMPLES * centre) / (count + PRIOR_SAMPLES)
        squares = sum((one.estimate - centre) ** 2 for one in self._samples)
        products = sum((one.estimate - centre) * (one.length - height) for one in self._samples)
        weight = PRIOR_SAMPLES * ESTIMATE_SPREAD**2
        slope = (products + weight * PRIOR_SLOPE) / (squares + weight)
        line = _Line(centre, height, slope, PRIOR_SPREAD)
        rests = sum((one.length - line.at(one.estimate)) ** 2 for one in self._samples)
        rests += PRIOR_SAMPLES * PRIOR_SPREAD**2
        return line._replace(spread=math.sqrt(rests / (count + PRIOR_SAMPLES)))


class _Line(NamedTuple):
    centre: float
    height: float
    slope: float
    spread: float

    def at(self, estimate: float) -> float:
        return self.height + self.slope * (estimate - self.centre)
