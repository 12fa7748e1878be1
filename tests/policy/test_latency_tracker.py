"""Tests of mean latencies and work rates."""

from __future__ import annotations

from dunecove.policy.models import AttemptResult
from dunecove.policy.settings import RequestClass
from tests.policy.helpers import SPARSE_TIER, run_successful_requests, run_timed_out_requests
from tests.support import Driver, make_backends, make_settings


def test_sparse_proxy_learns_a_higher_work_rate_within_ten_outcomes() -> None:
    driver = Driver(make_settings(RequestClass(300.0, 2000.0), **SPARSE_TIER), *make_backends(40))
    run_successful_requests(driver, 40, 40.0, 1.0)
    run_successful_requests(driver, 10, 40.0, 4.0)
    assert 2.0 < driver.balancer.latencies.work_rates[0] < 4.0


def test_timeout_is_a_lower_bound_of_the_work_rate() -> None:
    driver = Driver(make_settings(RequestClass(300.0, 2000.0), **SPARSE_TIER), *make_backends(40))
    run_successful_requests(driver, 40, 40.0, 1.0)
    run_timed_out_requests(driver, 10, 75.0)
    raised_work_rate = driver.balancer.latencies.work_rates[0]
    assert raised_work_rate > 2.0
    run_timed_out_requests(driver, 3, 2000.0)  # the bound from a timeout of long work is lower
    assert driver.balancer.latencies.work_rates[0] >= raised_work_rate


def test_response_with_zero_latency_is_recorded() -> None:
    driver = Driver(make_settings(), *make_backends(1))
    for _ in range(20):
        driver.end_attempt(driver.send_request(), elapsed_ms=0.0)
    assert len(driver.forwards) == 20


def test_abandoned_attempt_raises_the_mean_latency() -> None:
    driver = Driver(make_settings(), *make_backends(2))
    for _ in range(20):
        driver.end_attempt(driver.send_request(), elapsed_ms=20)
    mean_latency_ms = driver.balancer.latencies.class_latency_ms(0)
    driver.end_attempt(driver.send_request(), AttemptResult.CANCELLED, elapsed_ms=150)
    assert driver.balancer.latencies.class_latency_ms(0) > mean_latency_ms
