"""Least-squares lines through measured values."""

from __future__ import annotations

import pytest

from scale.fit import fit


def test_fit_finds_a_known_line_and_the_spread_of_its_slopes() -> None:
    line = fit([10, 20, 40], [[35.0, 65.0, 125.0], [25.0, 45.0, 85.0]])
    assert line.slope == pytest.approx(2.5) and line.intercept == pytest.approx(5.0)
    assert [line.slope_min, line.slope_max] == pytest.approx([2.0, 3.0])
    assert line.slope_sd == pytest.approx(0.5**0.5)
    assert fit([1, 2, 3], [[5.0, 5.0, 5.0]]).r2 == 1.0


def test_fit_of_a_curve_has_a_large_worst_distance_and_fit_of_one_size_raises_value_error() -> None:
    assert fit([1, 2, 3], [[2.0, 4.0, 6.0]]).worst == pytest.approx(0.0)
    curve = fit([1, 10, 100], [[1.0, 100.0, 10000.0]])
    assert curve.r2 < 0.999 and curve.worst > 100
    with pytest.raises(ValueError):
        fit([5, 5], [[1.0, 1.0]])


def test_equal_values_give_a_line_of_slope_zero() -> None:
    line = fit([5, 7], [[30572544.0, 30572544.0]])
    assert (line.slope, line.intercept) == (0.0, 30572544.0)
