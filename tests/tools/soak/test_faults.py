"""Draws of faults and of process environments."""

from __future__ import annotations

from random import Random

from soak.faults import draw_faults, draw_process_environment


def test_draws_with_the_same_seed_are_equal() -> None:
    assert draw_faults(Random(3), 20.0, 12) == draw_faults(Random(3), 20.0, 12)
    assert draw_process_environment(Random(3), "shim.so", 1.0) == draw_process_environment(
        Random(3), "shim.so", 1.0
    )
    assert draw_process_environment(Random(3), None, 1.0) == {}
