"""Exponentially weighted moving averages."""


class MovingAverage:
    """An exponentially weighted moving average that starts at its first sample.

    Args:
        weight: Weight of the newest sample, above 0 and at most 1.
    """

    def __init__(self, weight: float) -> None:
        self._weight = weight
        self._value: float | None = None

    @property
    def value(self) -> float | None:
        """The average, or ``None`` before the first sample."""
        return self._value

    def add(self, sample: float) -> None:
        """Add a sample."""
        if self._value is None:
            self._value = sample
            return
        self._value += self._weight * (sample - self._value)

    def value_or(self, default: float) -> float:
        """Return the average, or a default before the first sample."""
        return default if self._value is None else self._value
