"""Least-squares line fits through measured values."""

from __future__ import annotations

from collections.abc import Sequence
from statistics import linear_regression
from typing import NamedTuple

import numpy as np


class Fit(NamedTuple):
    """A least-squares line; slopes are in the unit of the values per unit of size.

    The field names are keys in the JSON output.
    """

    slope: float
    intercept: float  # value of the line at size 0
    r2: float  # 1: all points lie on the line; far below 1: not linear, or the slope is lost in the noise
    worst: float  # largest distance of a median from the line, in the unit of the values
    worst_at: float  # size at which that distance occurs
    slope_min: float  # lowest slope of the lines through single repeats
    slope_max: float  # highest slope of the lines through single repeats
    slope_sd: float  # standard deviation of the slopes of single repeats; 0 for one repeat


def fit(sizes: Sequence[int], repeats: Sequence[Sequence[float]]) -> Fit:
    """Fit a line through `repeats`, each with a value per size; raise ValueError for fewer than two sizes."""
    if len(set(sizes)) < 2 or not repeats:
        raise ValueError("a line fit needs at least two different sizes and one repeat")
    values = np.array(repeats, dtype=float)
    slope, intercept = linear_regression(list(sizes) * len(repeats), values.ravel().tolist())
    expected = slope * np.array(sizes) + intercept
    variation = float(((values - values.mean()) ** 2).sum())
    r2 = 1 - float(((values - expected) ** 2).sum()) / variation if variation else 1.0
    distances = np.abs(np.median(values, axis=0) - expected)
    worst = int(distances.argmax())
    slopes = [linear_regression(sizes, repeat).slope for repeat in values.tolist()]
    return Fit(
        slope=slope,
        intercept=intercept,
        r2=r2,
        worst=float(distances[worst]),
        worst_at=float(sizes[worst]),
        slope_min=min(slopes),
        slope_max=max(slopes),
        slope_sd=float(np.std(slopes, ddof=1)) if len(slopes) > 1 else 0.0,
    )
