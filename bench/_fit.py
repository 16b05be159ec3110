"""Least-squares line with the standard error of its slope."""

import math
import statistics
from collections.abc import Sequence
from typing import NamedTuple

__all__ = ('Line', 'fit_line')


class Line(NamedTuple):
    """A least-squares line; ``slope_error`` is one standard error."""

    slope: float
    intercept: float
    slope_error: float

    def at(self, size: float) -> float:
        """Return the fitted value for a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a line to values over at least three distinct sizes.

    Raises:
        ValueError: if fewer than three sizes are distinct; the standard error
            of the slope is then undefined.
    """
    if len(set(sizes)) < 3:
        raise ValueError(
            'at least three distinct sizes are required to estimate the error'
        )
    slope, intercept = statistics.linear_regression(sizes, values)
    squared_residuals = sum(
        (value - intercept - slope * size) ** 2
        for size, value in zip(sizes, values, strict=True)
    )
    mean = statistics.fmean(sizes)
    squared_deviations = sum((size - mean) ** 2 for size in sizes)
    error = math.sqrt(squared_residuals / (len(sizes) - 2) / squared_deviations)
    return Line(slope, intercept, error)
