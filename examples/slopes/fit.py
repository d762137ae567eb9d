"""Fits straight lines to measured points."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

import numpy as np


class Slope(NamedTuple):
    """A line fitted to measured points."""

    role: str
    quantity: str
    unit: str
    per: str
    slope: float
    intercept: float
    r_squared: float
    min_size: float
    max_size: float

    def row(self) -> str:
        """Return the slope as a row of a Markdown table."""
        numbers = f"{self.slope:.4g} | {self.intercept:.4g} | {self.r_squared:.3f}"
        return (
            f"| {self.role} | {self.quantity} | {self.unit} | {self.per} | {numbers}"
            f" | {self.min_size:g}–{self.max_size:g} |"
        )


HEADER = (
    "| role | what | unit | per | slope | intercept | R² | measured at |\n"
    "|---|---|---|---|---:|---:|---:|---|"
)


def measure_line(
    role: str,
    quantity: str,
    unit: str,
    per: str,
    sizes: Sequence[float],
    measure: Callable[[int], float],
) -> Slope:
    """Measure at each size and return the least-squares line."""
    values = [measure(int(size)) for size in sizes]
    return fit_line(role, quantity, unit, per, sizes, values)


def fit_line(
    role: str,
    quantity: str,
    unit: str,
    per: str,
    sizes: Sequence[float],
    values: Sequence[float],
) -> Slope:
    """Return the least-squares line of the given points."""
    x, y = np.asarray(sizes, float), np.asarray(values, float)
    slope, intercept = np.polyfit(x, y, 1)
    residual = float(((y - (slope * x + intercept)) ** 2).sum())
    total = float(((y - y.mean()) ** 2).sum())
    r_squared = 1.0 - residual / total if total else 1.0
    return Slope(
        role, quantity, unit, per, float(slope), float(intercept), r_squared, x.min(), x.max()
    )
