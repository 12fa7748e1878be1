"""Tests of the concurrency limit of one backend."""

from __future__ import annotations

import pytest

from dunecove.policy.backend import Backend
from tests.support import Driver, make_backends, make_settings


def limit_after(
    latencies_ms: list[float], proxy_count: int, objective_ms: float = 1000.0, initial_limit: float = 4.0
) -> float:
    backend = Backend(make_backends(1)[0], proxy_count)
    backend.limit = initial_limit
    for latency_ms in latencies_ms:
        backend.peak_in_flight = max(backend.peak_in_flight, int(max(1, backend.limit)))
        backend.record_latency(latency_ms, latency_ms / objective_ms)
    return backend.limit


def test_limit_rises_with_quick_responses_and_falls_when_requests_wait() -> None:
    assert limit_after([50.0] * 100, 2) > 8
    assert limit_after([50.0] * 20 + [200.0] * 200, 2) < 4


def test_limit_is_divided_among_proxies_and_may_fall_below_one() -> None:
    assert 2 / 6 <= limit_after([50.0] * 20 + [300.0] * 200, 6, initial_limit=1.0) < 1
    assert limit_after([50.0] * 20 + [300.0] * 400, 1, initial_limit=4.0) >= 2


def test_saturation_reduces_the_limit_despite_a_high_base_latency() -> None:
    assert limit_after([150.0] * 200, 2, objective_ms=300.0) == pytest.approx(1.0)
    assert limit_after([150.0] * 200, 2, objective_ms=3000.0) > 8


def test_limit_recovers_after_saturation() -> None:
    assert limit_after([50.0] * 20 + [600.0] * 200 + [50.0] * 300, 2) > 8


def test_saturation_of_all_backends_together_reduces_all_limits() -> None:
    """Each backend has too few responses to judge it alone, but twenty backends together have enough."""
    driver = Driver(make_settings(proxy_count=4), *make_backends(20))
    backends = driver.balancer.backends.active
    before = sum(backend.limit for backend in backends)
    for _ in range(80):
        driver.end_attempt(driver.send_request(), elapsed_ms=150)
    assert all(backend.window_responses < 8 for backend in backends)
    # To `MIN_LIMIT` at each backend.
    assert sum(backend.limit for backend in backends) == pytest.approx(before / 2)
