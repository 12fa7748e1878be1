"""The limit on all requests that a sparse proxy has in flight."""

from __future__ import annotations

import pytest

from dunecove.policy.models import AttemptResult
from dunecove.policy.settings import RequestClass
from tests.policy.helpers import SPARSE_TIER
from tests.support import Driver, make_backends, make_settings


def run_requests(driver: Driver, n: int, delay: float) -> None:
    for _ in range(n):
        request = driver.send_request(timeout_ms=5000)
        driver.run_ticks(1000)
        if request in driver.forwards:
            driver.end_attempt(request, elapsed_ms=0.0, latency_ms=delay)


def test_the_limit_falls_when_responses_are_late_and_rises_again() -> None:
    driver = Driver(
        make_settings(RequestClass(300.0, 5000.0, late_weight=0.5), **SPARSE_TIER), *make_backends(40)
    )
    run_requests(driver, 20, 50.0)
    calm = driver.balancer.in_flight.limit
    run_requests(driver, 20, 290.0)
    overloaded = driver.balancer.in_flight.limit
    run_requests(driver, 60, 50.0)
    assert overloaded < calm / 4 and driver.balancer.in_flight.limit > 2 * overloaded


def test_work_of_uneven_size_is_not_taken_for_overload() -> None:
    """A first response of 5 ms made usual ones, ten times as long, look late: the limit fell to nothing."""
    driver = Driver(
        make_settings(RequestClass(1000.0, 5000.0), proxy_count=40, zone_count=2), *make_backends(20)
    )
    run_requests(driver, 1, 5.0)
    calm = driver.balancer.in_flight.limit
    for _ in range(40):
        run_requests(driver, 3, 40.0)
        run_requests(driver, 1, 600.0)
    assert driver.balancer.in_flight.limit >= calm


def test_two_that_come_together_after_idling_do_not_wait_for_each_other() -> None:
    driver = Driver(make_settings(**SPARSE_TIER), *make_backends(40))
    run_requests(driver, 10, 50.0)
    names = [driver.send_request(timeout_ms=5000), driver.send_request(timeout_ms=5000)]
    assert all(name in driver.forwards for name in names)


def test_under_a_small_limit_a_burst_is_queued() -> None:
    driver = Driver(make_settings(**SPARSE_TIER), *make_backends(40))
    run_requests(driver, 10, 50.0)
    driver.balancer.in_flight.limit = 0.1
    names = [driver.send_request(timeout_ms=5000) for _ in range(20)]
    assert 1 <= sum(name in driver.forwards for name in names) <= 6


@pytest.mark.parametrize(
    ("result", "delay", "times"),
    [(AttemptResult.TIMEOUT, 650.0, 1), (AttemptResult.CONNECT_FAILED, 150.0, 2)],
)
def test_a_backend_that_hangs_does_not_use_up_the_limit(
    result: AttemptResult, delay: float, times: int
) -> None:
    """Time spent on an unresponsive one was counted as load: the next 0.5 s waited beside idle backends."""
    driver = Driver(make_settings(RequestClass(900.0, 5000.0), **SPARSE_TIER), *make_backends(40))
    run_requests(driver, 20, 40.0)
    driver.balancer.in_flight.limit = 1.0
    driver.run_ticks(1000)
    for _ in range(times):
        driver.end_attempt(
            driver.send_request(timeout_ms=5000),
            result,
            elapsed_ms=0.0,
            latency_ms=delay,
            request_finished=True,
        )
    assert driver.send_request(timeout_ms=5000) in driver.forwards


def test_responses_that_all_take_long_use_up_the_limit() -> None:
    driver = Driver(make_settings(RequestClass(900.0, 5000.0), **SPARSE_TIER), *make_backends(40))
    run_requests(driver, 60, 400.0)
    driver.balancer.in_flight.limit = 0.5
    sent = []
    for _ in range(20):
        request = driver.send_request(timeout_ms=5000)
        sent.append(request in driver.forwards)
        if sent[-1]:
            driver.end_attempt(request, elapsed_ms=0.0, latency_ms=400.0)
    assert 1 <= sum(sent) <= 6
