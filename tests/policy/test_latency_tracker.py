"""Usual latencies and work rates."""

from __future__ import annotations

from dunecove.policy.models import AttemptResult
from dunecove.policy.settings import RequestClass
from tests.policy.helpers import SPARSE_TIER, run_successful_requests, run_timed_out_requests
from tests.support import Driver, make_backends, make_settings


def test_a_sparse_proxy_learns_within_ten_outcomes_that_a_kind_has_slowed() -> None:
    driver = Driver(make_settings(RequestClass(300.0, 2000.0), **SPARSE_TIER), *make_backends(40))
    run_successful_requests(driver, 40, 40.0, 1.0)
    run_successful_requests(driver, 10, 40.0, 4.0)
    assert 2.0 < driver.balancer.latencies.work_rates[0] < 4.0


def test_a_timeout_shows_that_a_kind_is_at_least_so_slow() -> None:
    driver = Driver(make_settings(RequestClass(300.0, 2000.0), **SPARSE_TIER), *make_backends(40))
    run_successful_requests(driver, 40, 40.0, 1.0)
    run_timed_out_requests(driver, 10, 75.0)
    slowed = driver.balancer.latencies.work_rates[0]
    assert slowed > 2.0
    run_timed_out_requests(driver, 3, 2000.0)  # a short wait for long work says nothing
    assert driver.balancer.latencies.work_rates[0] >= slowed


def test_a_response_without_measurable_latency_is_learned_from() -> None:
    driver = Driver(make_settings(), *make_backends(1))
    for _ in range(20):
        driver.end_attempt(driver.send_request(), elapsed_ms=0.0)
    assert len(driver.forwards) == 20


def test_attempts_given_up_raise_the_usual_latency() -> None:
    driver = Driver(make_settings(), *make_backends(2))
    for _ in range(20):
        driver.end_attempt(driver.send_request(), elapsed_ms=20)
    before = driver.balancer.latencies.class_latency_ms(0)
    driver.end_attempt(driver.send_request(), AttemptResult.CANCELLED, elapsed_ms=150)
    assert driver.balancer.latencies.class_latency_ms(0) > before
