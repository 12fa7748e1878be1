"""Tests of the limit on all requests that a sparse proxy has in flight."""

from __future__ import annotations

import pytest

from dunecove.policy.models import AttemptResult
from dunecove.policy.settings import RequestClass
from tests.policy.helpers import SPARSE_TIER
from tests.support import Driver, make_backends, make_settings


def run_requests(driver: Driver, count: int, latency_ms: float) -> None:
    for _ in range(count):
        request_id = driver.send_request(timeout_ms=5000)
        driver.run_ticks(1000)
        if request_id in driver.forwards:
            driver.end_attempt(request_id, elapsed_ms=0.0, latency_ms=latency_ms)


def test_limit_falls_with_late_responses_and_rises_again() -> None:
    driver = Driver(
        make_settings(RequestClass(300.0, 5000.0, late_weight=0.5), **SPARSE_TIER), *make_backends(40)
    )
    run_requests(driver, 20, 50.0)
    limit_before = driver.balancer.in_flight_limit.limit
    run_requests(driver, 20, 290.0)
    reduced_limit = driver.balancer.in_flight_limit.limit
    run_requests(driver, 60, 50.0)
    assert reduced_limit < limit_before / 4 and driver.balancer.in_flight_limit.limit > 2 * reduced_limit


def test_uneven_work_does_not_reduce_the_limit() -> None:
    """Guards against a comparison of latencies with their mean.

    After a first response of 5 ms, ordinary ones of 50 ms looked late, and the limit fell to its minimum.
    """
    driver = Driver(
        make_settings(RequestClass(1000.0, 5000.0), proxy_count=40, zone_count=2), *make_backends(20)
    )
    run_requests(driver, 1, 5.0)
    limit_before = driver.balancer.in_flight_limit.limit
    for _ in range(40):
        run_requests(driver, 3, 40.0)
        run_requests(driver, 1, 600.0)
    assert driver.balancer.in_flight_limit.limit >= limit_before


def test_two_concurrent_requests_after_an_idle_time_are_both_sent() -> None:
    driver = Driver(make_settings(**SPARSE_TIER), *make_backends(40))
    run_requests(driver, 10, 50.0)
    request_ids = [driver.send_request(timeout_ms=5000), driver.send_request(timeout_ms=5000)]
    assert all(request_id in driver.forwards for request_id in request_ids)


def test_small_limit_queues_most_of_a_burst() -> None:
    driver = Driver(make_settings(**SPARSE_TIER), *make_backends(40))
    run_requests(driver, 10, 50.0)
    driver.balancer.in_flight_limit.limit = 0.1
    request_ids = [driver.send_request(timeout_ms=5000) for _ in range(20)]
    assert 1 <= sum(request_id in driver.forwards for request_id in request_ids) <= 6


@pytest.mark.parametrize(
    ("result", "latency_ms", "attempt_count"),
    [(AttemptResult.TIMEOUT, 650.0, 1), (AttemptResult.CONNECT_FAILED, 150.0, 2)],
)
def test_hanging_backend_does_not_exhaust_the_limit(
    result: AttemptResult, latency_ms: float, attempt_count: int
) -> None:
    """Guards against charging the time of an unresponsive backend as load.

    Later requests then waited for 0.5 s although other backends were idle.
    """
    driver = Driver(make_settings(RequestClass(900.0, 5000.0), **SPARSE_TIER), *make_backends(40))
    run_requests(driver, 20, 40.0)
    driver.balancer.in_flight_limit.limit = 1.0
    driver.run_ticks(1000)
    for _ in range(attempt_count):
        driver.end_attempt(
            driver.send_request(timeout_ms=5000),
            result,
            elapsed_ms=0.0,
            latency_ms=latency_ms,
            request_finished=True,
        )
    assert driver.send_request(timeout_ms=5000) in driver.forwards


def test_long_responses_of_all_backends_exhaust_the_limit() -> None:
    driver = Driver(make_settings(RequestClass(900.0, 5000.0), **SPARSE_TIER), *make_backends(40))
    run_requests(driver, 60, 400.0)
    driver.balancer.in_flight_limit.limit = 0.5
    sent = []
    for _ in range(20):
        request_id = driver.send_request(timeout_ms=5000)
        sent.append(request_id in driver.forwards)
        if sent[-1]:
            driver.end_attempt(request_id, elapsed_ms=0.0, latency_ms=400.0)
    assert 1 <= sum(sent) <= 6
