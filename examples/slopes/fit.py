"""Straight lines through measured points."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

import numpy as np


class Slope(NamedTuple):
    """A line through measured points."""

    role: str
    what: str
    unit: str
    per: str
    slope: float
    intercept: float
    r_squared: float
    least: float
    most: float

    def row(self) -> str:
        """Return the slope as a row of a Markdown table."""
        numbers = f"{self.slope:.4g} | {self.intercept:.4g} | {self.r_squared:.3f}"
        return (
            f"| {self.role} | {self.what} | {self.unit} | {self.per} | {numbers}"
            f" | {self.least:g}–{self.most:g} |"
        )


HEADER = (
    "| role | what | unit | per | slope | intercept | R² | measured at |\n"
    "|---|---|---|---|---:|---:|---:|---|"
)


def fit(
    role: str,
    what: str,
    unit: str,
    per: str,
    sizes: Sequence[float],
    measure: Callable[[int], float],
) -> Slope:
    """Measure at each size and return the line of least squares."""
    values = [measure(int(size)) for size in sizes]
    return line(role, what, unit, per, sizes, values)


def line(
    role: str,
    what: str,
    unit: str,
    per: str,
    sizes: Sequence[float],
    values: Sequence[float],
) -> Slope:
    """Return the line of least squares through given points."""
    x, y = np.asarray(sizes, float), np.asarray(values, float)
    slope, intercept = np.polyfit(x, y, 1)
    rest = float(((y - (slope * x + intercept)) ** 2).sum())
    spread = float(((y - y.mean()) ** 2).sum())
    r_squared = 1.0 - rest / spread if spread else 1.0
    return Slope(role, what, unit, per, float(slope), float(intercept), r_squared, x.min(), x.max())
