"""Straight lines through measured values."""

from __future__ import annotations

from collections.abc import Sequence
from statistics import linear_regression
from typing import NamedTuple

import numpy as np


class Fit(NamedTuple):
    """A least-squares line, in the value's unit for each unit of size."""

    slope: float
    intercept: float  # the value at size 0, as the line has it
    r2: float  # 1: all points lie on the line; far below 1: not linear, or no slope beyond the noise
    worst: float  # largest distance of a size's median from the line, in the value's unit
    worst_at: float  # the size at which it is
    slope_min: float  # of the lines through each repeat alone
    slope_max: float
    slope_sd: float  # standard deviation of those slopes; 0 for a single repeat


def line(sizes: Sequence[float], values: Sequence[float]) -> tuple[float, float]:
    """Slope and intercept of the least-squares line."""
    slope, intercept = linear_regression(sizes, values)
    return slope, intercept


def fit(sizes: Sequence[int], repeats: Sequence[Sequence[float]]) -> Fit:
    """`repeats` holds a value for each size, repeat by repeat. ValueError below two sizes."""
    if len(set(sizes)) < 2 or not repeats:
        raise ValueError("a slope takes two sizes and a repeat")
    table = np.array(repeats, dtype=float)
    slope, intercept = line(list(sizes) * len(repeats), table.ravel().tolist())
    expected = slope * np.array(sizes) + intercept
    spread = float(((table - table.mean()) ** 2).sum())
    r2 = 1 - float(((table - expected) ** 2).sum()) / spread if spread else 1.0
    off = np.abs(np.median(table, axis=0) - expected)
    slopes = [line(sizes, repeat)[0] for repeat in table.tolist()]
    sd = float(np.std(slopes, ddof=1)) if len(slopes) > 1 else 0.0
    at = int(off.argmax())
    return Fit(slope, intercept, r2, float(off[at]), float(sizes[at]), min(slopes), max(slopes), sd)
