"""Lines through measured values."""

from __future__ import annotations

import pytest

from scale.fit import fit


def test_the_fit_gives_a_known_line_and_tells_the_spread_of_its_slopes() -> None:
    found = fit([10, 20, 40], [[35.0, 65.0, 125.0], [25.0, 45.0, 85.0]])
    assert found.slope == pytest.approx(2.5) and found.intercept == pytest.approx(5.0)
    assert [found.slope_min, found.slope_max] == pytest.approx([2.0, 3.0])
    assert found.slope_sd == pytest.approx(0.5**0.5)
    assert fit([1, 2, 3], [[5.0, 5.0, 5.0]]).r2 == 1.0


def test_the_fit_shows_what_is_no_line() -> None:
    assert fit([1, 2, 3], [[2.0, 4.0, 6.0]]).worst == pytest.approx(0.0)
    curve = fit([1, 10, 100], [[1.0, 100.0, 10000.0]])
    assert curve.r2 < 0.999 and curve.worst > 100
    with pytest.raises(ValueError):
        fit([5, 5], [[1.0, 1.0]])


def test_values_that_are_all_the_same_make_a_level_line() -> None:
    level = fit([5, 7], [[30572544.0, 30572544.0]])
    assert (level.slope, level.intercept) == (0.0, 30572544.0)
