"""Exponentially weighted moving averages, used by the estimates of this package."""

from __future__ import annotations

LATENCY_WEIGHT = 1 / 16  # weight of one response; low, so that a few slow responses do not change a limit
MIN_RESPONSES = 1 / LATENCY_WEIGHT  # a mean of fewer responses is not significant


def ewma(mean: float, sample: float, weight: float) -> float:
    """Return the moving average `mean`, updated with a sample of this weight."""
    return mean + (sample - mean) * weight


def latency_ewma(mean: float, sample: float) -> float:
    """Return the mean latency `mean`, updated with a sample; a mean of 0 is replaced by its first sample."""
    return mean + (sample - mean) * (LATENCY_WEIGHT if mean else 1)
