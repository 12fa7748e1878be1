"""Least-squares lines through measured values."""

from __future__ import annotations

from collections.abc import Sequence
from statistics import linear_regression
from typing import NamedTuple

import numpy as np


class Fit(NamedTuple):
    """A least-squares line, in the value's unit for each unit of size. The fields are keys of the JSON."""

    slope: float
    intercept: float  # the value at size 0, as the line has it
    r2: float  # 1: all points lie on the line; far below 1: not linear, or no slope beyond the noise
    worst: float  # largest distance of a size's median from the line, in the value's unit
    worst_at: float  # the size at which it is
    slope_min: float  # of the lines through each repeat alone
    slope_max: float
    slope_sd: float  # standard deviation of those slopes; 0 for a single repeat


def fit(sizes: Sequence[int], repeats: Sequence[Sequence[float]]) -> Fit:
    """Fit a line through `repeats`, which hold a value for each size. ValueError below two sizes."""
    if len(set(sizes)) < 2 or not repeats:
        raise ValueError("a slope takes two sizes and a repeat")
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
