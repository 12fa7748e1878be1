"""The limit on requests in flight at one backend."""

from __future__ import annotations

import pytest

from dunecove.policy.backend import Backend
from tests.support import Driver, make_backends, make_settings


def limit_after(latencies: list[float], proxies: int, objective: float = 1000.0, start: float = 4.0) -> float:
    backend = Backend(make_backends(1)[0], proxies)
    backend.limit = start
    for latency in latencies:
        backend.peak_in_flight = max(backend.peak_in_flight, int(max(1, backend.limit)))
        backend.record_latency(latency, latency / objective)
    return backend.limit


def test_the_limit_grows_while_responses_are_quick_and_shrinks_when_they_wait() -> None:
    assert limit_after([50.0] * 100, 2) > 8
    assert limit_after([50.0] * 20 + [200.0] * 200, 2) < 4


def test_the_limit_is_shared_over_the_proxies_and_may_fall_below_one() -> None:
    assert 2 / 6 <= limit_after([50.0] * 20 + [300.0] * 200, 6, start=1.0) < 1
    assert limit_after([50.0] * 20 + [300.0] * 400, 1, start=4.0) >= 2


def test_the_limit_is_reduced_by_saturation_though_the_base_latency_is_high() -> None:
    assert limit_after([150.0] * 200, 2, objective=300.0) == pytest.approx(1.0)
    assert limit_after([150.0] * 200, 2, objective=3000.0) > 8


def test_the_limit_recovers_after_saturation() -> None:
    assert limit_after([50.0] * 20 + [600.0] * 200 + [50.0] * 300, 2) > 8


def test_all_limits_are_reduced_when_all_backends_together_are_saturated() -> None:
    """Two responses of each backend say nothing of it alone; twenty backends together say enough."""
    driver = Driver(make_settings(proxy_count=4), *make_backends(20))
    backends = driver.balancer.backends.active
    before = sum(s.limit for s in backends)
    for _ in range(80):
        driver.end_attempt(driver.send_request(), elapsed_ms=150)
    assert all(s.window_responses < 8 for s in backends)
    assert sum(s.limit for s in backends) == pytest.approx(before / 2)  # two requests of all proxies at each
