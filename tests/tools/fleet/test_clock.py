"""The event loop on a virtual clock."""

from __future__ import annotations

from scale.fleet.clock import ORIGIN_S, create_virtual_loop
from tests.tools.fleet.support import advance


def test_callbacks_run_in_order_of_time_then_of_creation() -> None:
    loop = create_virtual_loop()
    ran = list[str]()
    loop.call_later(2.0, ran.append, "not due")
    loop.call_later(1.0, ran.append, "first")
    loop.call_later(1.0, ran.append, "second")
    loop.call_later(1.5, ran.append, "cancelled").cancel()
    loop.call_soon(ran.append, "now")
    advance(loop, 1.6)
    assert ran == ["now", "first", "second"]
    assert loop.time() == ORIGIN_S + 1.6


def test_exception_in_a_callback_is_recorded_and_the_next_callback_runs() -> None:
    loop = create_virtual_loop()
    ran = list[str]()
    loop.call_soon(int, "no number")
    loop.call_soon(ran.append, "next")
    advance(loop, 0.1)
    assert ran == ["next"]
    assert "ValueError" in loop.errors[0]
