"""Estimation of how many tokens a stream will generate.

Callers' estimates are unbiased but often far off, and actual lengths vary about as much. Very long
estimates are therefore more often too long, and very short ones too short: the expected length lies
closer to the mean (regression to the mean). How much closer is learned from finished streams, by a
linear regression of log length on log estimate.
"""

import math
from collections import deque
from typing import NamedTuple

SAMPLES_KEPT = 400
PRIOR_SLOPE = 0.6
PRIOR_DEVIATION = 0.4
"""Standard deviation of log lengths about the regression line."""
PRIOR_WEIGHT_SAMPLES = 20
"""Weight of the prior slope and deviation, as a number of observed streams."""
PRIOR_ESTIMATE_DEVIATION = 0.85
"""Standard deviation of log estimates about their mean, assumed before any stream has ended."""
RESERVED_DEVIATIONS = 0.9
"""Standard deviations reserved above the line; about one stream in five still grows longer."""


class _Sample(NamedTuple):
    log_estimate: float
    """Logarithm of the caller's estimate."""
    log_length: float
    """Logarithm of the tokens generated."""


class OutputLengthEstimator:
    """Estimates output lengths for one service, learning from its finished streams."""

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque(maxlen=SAMPLES_KEPT)
        self._hints: deque[float] = deque(maxlen=SAMPLES_KEPT)
        self._line: _RegressionLine | None = None

    def tokens_to_reserve(self, hint: int, max_tokens: int) -> int:
        """Return how many tokens of output to reserve memory for.

        Args:
            hint: The caller's estimate in tokens; values below 1 count as 1.
            max_tokens: The caller's limit; 0 for none.
        """
        log_hint = math.log(max(1, hint))
        self._hints.append(log_hint)
        line = self._line or self._fit()
        likely = line.predict(log_hint) + RESERVED_DEVIATIONS * line.deviation
        tokens = math.ceil(math.exp(likely))
        return min(tokens, max_tokens) if max_tokens else tokens

    def record(self, hint: int, generated: int) -> None:
        """Record the length of a stream that ended normally; values below 1 are ignored."""
        if hint >= 1 and generated >= 1:
            self._samples.append(_Sample(math.log(hint), math.log(generated)))
            self._line = self._fit()

    def _fit(self) -> "_RegressionLine":
        """Fit the regression line; the prior counts as ``PRIOR_WEIGHT_SAMPLES`` samples."""
        count = len(self._samples)
        if not count:
            mean_log_estimate = sum(self._hints) / len(self._hints)
            return _RegressionLine(
                mean_log_estimate, mean_log_estimate, PRIOR_SLOPE, PRIOR_DEVIATION
            )
        mean_log_estimate = sum(sample.log_estimate for sample in self._samples) / count
        log_length_at_mean = sum(sample.log_length for sample in self._samples) / count
        log_length_at_mean = (
            count * log_length_at_mean + PRIOR_WEIGHT_SAMPLES * mean_log_estimate
        ) / (count + PRIOR_WEIGHT_SAMPLES)
        squares = sum((sample.log_estimate - mean_log_estimate) ** 2 for sample in self._samples)
        products = sum(
            (sample.log_estimate - mean_log_estimate) * (sample.log_length - log_length_at_mean)
            for sample in self._samples
        )
        weight = PRIOR_WEIGHT_SAMPLES * PRIOR_ESTIMATE_DEVIATION**2
        slope = (products + weight * PRIOR_SLOPE) / (squares + weight)
        line = _RegressionLine(mean_log_estimate, log_length_at_mean, slope, PRIOR_DEVIATION)
        squared_residuals = sum(
            (sample.log_length - line.predict(sample.log_estimate)) ** 2 for sample in self._samples
        )
        squared_residuals += PRIOR_WEIGHT_SAMPLES * PRIOR_DEVIATION**2
        return line._replace(
            deviation=math.sqrt(squared_residuals / (count + PRIOR_WEIGHT_SAMPLES))
        )


class _RegressionLine(NamedTuple):
    mean_log_estimate: float
    log_length_at_mean: float
    slope: float
    deviation: float

    def predict(self, log_estimate: float) -> float:
        return self.log_length_at_mean + self.slope * (log_estimate - self.mean_log_estimate)
