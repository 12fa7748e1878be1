"""Exponential smoothing, as all estimates of this package use it."""

from __future__ import annotations

LATENCY_WEIGHT = 1 / 16  # of one response: a few slow ones must not steer a limit
MIN_RESPONSES = 1 / LATENCY_WEIGHT  # before a mean smoothed with this weight says anything


def ewma(mean: float, sample: float, weight: float) -> float:
    """Return `mean` after one more sample that counts with `weight`."""
    return mean + (sample - mean) * weight


def latency_ewma(mean: float, sample: float) -> float:
    """Return `mean` after one more sample; 0 stands for no mean yet, and the first sample is taken whole."""
    return mean + (sample - mean) * (LATENCY_WEIGHT if mean else 1)
